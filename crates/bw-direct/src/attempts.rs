//! Whether a request may be sent once more, and what its caller is told when it may not.

use crate::catalog::Route;

/// Endpoints that may turn a request away before it is given up; those did not run it.
const REJECTIONS_MAX: u32 = 3;

/// How one send to an endpoint ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// Nothing of the request was written.
    NotSent,
    /// The endpoint stated that it did not run the request.
    NotRun,
    /// The endpoint ran it and answered with a failure of its own.
    Failed,
    /// It was written, and no whole answer came back.
    MayHaveRun,
}

/// What is to be done after a send has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it to another endpoint.
    Again,
    /// Give the endpoint's own failure to the caller.
    Deliver,
    /// Tell the caller that it did not run.
    Refuse,
    /// Tell the caller that it may have run.
    Unknown,
}

/// The sends of one request so far.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    limit: u32,
    /// Sends after which the request may have run.
    runs: u32,
    rejections: u32,
    /// Sends of which nothing was written.
    unsent: u32,
}

impl Attempts {
    /// A request of `route` that was not sent yet.
    pub fn new(route: &Route) -> Self {
        Self {
            idempotent: route.is_idempotent(),
            limit: route.attempts,
            runs: 0,
            rejections: 0,
            unsent: 0,
        }
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Sends that reached an endpoint, whether it ran the request or not.
    pub fn arrivals(&self) -> u32 {
        self.runs + self.rejections
    }

    /// Notes the end of a send. `affordable` tells whether time and budget allow another one.
    pub fn note(&mut self, end: SendEnd, affordable: bool) -> Next {
        match end {
            SendEnd::NotSent => self.unsent += 1,
            SendEnd::NotRun => self.rejections += 1,
            SendEnd::Failed | SendEnd::MayHaveRun => self.runs += 1,
        }
        let ran = self.runs > 0;
        let open = self.runs < self.limit && self.rejections + self.unsent < REJECTIONS_MAX;
        if affordable && open && (self.idempotent || !ran) {
            return Next::Again;
        }
        self.last(end)
    }

    /// What follows a send that ended so when there is none after it.
    pub fn last(&self, end: SendEnd) -> Next {
        match end {
            SendEnd::Failed => Next::Deliver,
            _ if self.runs > 0 => Next::Unknown,
            _ => Next::Refuse,
        }
    }
}
