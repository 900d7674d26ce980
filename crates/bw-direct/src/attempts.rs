//! Decides whether a request may be retried, and what is reported to its caller otherwise.

use crate::catalog::Route;

/// Number of endpoints that reject a request after which the request is given up. None of these
/// endpoints ran the request.
const REJECTIONS_MAX: u32 = 3;

/// How a send to an endpoint ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// No part of the request was written.
    NotSent,
    /// The endpoint stated that it did not run the request.
    NotRun,
    /// The endpoint ran the request and answered with a failure of its own.
    Failed,
    /// The request was written, and no complete answer was received.
    MayHaveRun,
}

/// Action that follows a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to another endpoint.
    Retry,
    /// Return the endpoint's own failure to the caller.
    Deliver,
    /// Report to the caller that the request did not run.
    Refuse,
    /// Report to the caller that the request may have run.
    Unknown,
}

/// History of the sends of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    limit: u32,
    /// Number of sends after which the request may have run.
    runs: u32,
    rejections: u32,
}

impl Attempts {
    /// Creates the history of a request of `route` that has not been sent.
    pub fn new(route: &Route) -> Self {
        Self { idempotent: route.is_idempotent(), limit: route.attempts, runs: 0, rejections: 0 }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns whether the route allows to run the request at one more endpoint after the present one,
    /// which is not recorded yet.
    pub fn may_run_again(&self) -> bool {
        self.idempotent && self.runs + 1 < self.limit
    }

    /// Returns the number of sends that reached an endpoint, whether or not it ran the request.
    pub fn arrivals(&self) -> u32 {
        self.runs + self.rejections
    }

    /// Records the end of a send and decides what follows. `affordable` states whether time and
    /// budget allow a retry.
    pub fn record(&mut self, end: SendEnd, affordable: bool) -> Decision {
        match end {
            // An endpoint that cannot be reached says nothing about the request, which is not sent
            // to it again. The others may still run it.
            SendEnd::NotSent => {}
            SendEnd::NotRun => self.rejections += 1,
            SendEnd::Failed | SendEnd::MayHaveRun => self.runs += 1,
        }
        let ran = self.runs > 0;
        let within_limits = self.runs < self.limit && self.rejections < REJECTIONS_MAX;
        if affordable && within_limits && (self.idempotent || !ran) {
            return Decision::Retry;
        }
        self.give_up(end)
    }

    /// Returns the decision after a send that ended with `end` if there is no retry.
    pub fn give_up(&self, end: SendEnd) -> Decision {
        match end {
            SendEnd::Failed => Decision::Deliver,
            _ if self.runs > 0 => Decision::Unknown,
            _ => Decision::Refuse,
        }
    }
}
