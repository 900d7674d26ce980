//! The entry's state machine for a request that may run at most once.
//!
//! The claim of the idempotency key determines which attempt may run. A claim is replaced only
//! after the agent that it names has permanently barred the claimed attempt. Three rules follow:
//!
//! - Only the call that wrote the claim dispatches its attempt, and only to the agent incarnation
//!   in the claim.
//! - "Not run" is answered only if the key was seen without a run after the request arrived.
//! - If it can't be known whether the request ran, the answer is "unknown".

use bw_model::AttemptId;
use bw_model::Incarnation;

use crate::claim::Claim;
use crate::claim::Swap;
use crate::gate::AttemptStatus;
use crate::gate::Refusal;
use crate::gate::Verdict;

/// Number of dispatched attempts after which a refused call gives up.
const ATTEMPTS_MAX: u32 = 4;

/// An endpoint chosen by the router, with the id of the attempt to dispatch to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Incarnation of the endpoint's agent.
    pub incarnation: Incarnation,
    /// New attempt id.
    pub attempt: AttemptId,
}

/// Result of the last step, or expiry of the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The router's choice; `None` if no endpoint can serve the request.
    Chosen(Option<Target>),
    /// The key's claim, as read from the store.
    Read(Result<Option<Claim>, ReadFault>),
    /// Result of a compare-and-swap of the claim.
    Swapped(Swap),
    /// The agent's verdict on the dispatch.
    Verdict(Verdict),
    /// The status of the queried or joined attempt, as reported by the agent.
    Status(AttemptStatus),
    /// The agent did not reply to the last dispatch, status query or read.
    NoReply,
    /// The joined answer ended; true if it is complete.
    Ended(bool),
    /// The joined attempt ran, but its answer is no longer in the agent's memory.
    Gone,
    /// The request's deadline has passed.
    Expired,
}

/// The claim could not be read from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadFault;

/// Action that the entry has to carry out next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Request an endpoint from the router and pass the result as [`Event::Chosen`].
    Choose,
    /// Read the key's claim.
    Read,
    /// Replace the claim of attempt `expect` (`None`: no claim) by `claim`.
    Swap {
        /// Attempt expected to hold the key.
        expect: Option<AttemptId>,
        /// The new claim.
        claim: Claim,
    },
    /// Send the request to the claim's endpoint.
    Dispatch(Claim),
    /// Query the status of the claim's attempt from its endpoint.
    Query(Claim),
    /// Read the answer of the claim's attempt.
    Join(Claim),
    /// Wait briefly, then carry out the inner step again.
    Pause(Box<Step>),
    /// Answer the caller; the flow has ended.
    Finish(Outcome),
}

/// How the request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller received the complete answer.
    Whole,
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run; the caller may retry with the same key.
    Unknown(Unknown),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No endpoint could serve the request.
    NoEndpoint,
    /// Every endpoint that was tried refused the request.
    Refused,
    /// The deadline passed before the request ran.
    Expired,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unknown {
    /// The claim could not be read in time, so an earlier call's attempt may have run.
    ClaimUnread,
    /// The agent named in the claim has restarted.
    AgentRestarted,
    /// The agent named in the claim did not reply in time.
    AgentSilent,
    /// The endpoint failed while running the request.
    EndpointFailed,
    /// The request ran, but its answer is no longer in the agent's memory.
    AnswerGone,
}

/// State of the flow, named by the step whose result it awaits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Choosing { expect: Option<AttemptId> },
    Reading { claim: Option<Claim> },
    Swapping { expect: Option<AttemptId>, claim: Claim },
    Dispatching(Claim),
    Querying(Claim),
    Joining(Claim),
    Finished,
}

/// State machine of one call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    state: State,
    /// The key was seen without a run, and this call has dispatched nothing since.
    not_run: bool,
    /// An agent has refused an attempt of this call.
    refused: bool,
    /// Number of attempts dispatched.
    attempts: u32,
    /// The attempt that is known never to run.
    barred: Option<AttemptId>,
    /// Barred attempt of this call that still holds the key.
    barred_holder: Option<AttemptId>,
}

impl Flow {
    /// Starts a call and returns its first step.
    pub fn start() -> (Self, Step) {
        let state = State::Choosing { expect: None };
        let flow = Self {
            state,
            not_run: false,
            refused: false,
            attempts: 0,
            barred: None,
            barred_holder: None,
        };
        (flow, Step::Choose)
    }

    /// Returns true if the call has ended.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Returns the claim whose attempt this call dispatches, queries or joins.
    pub fn claim(&self) -> Option<&Claim> {
        match &self.state {
            State::Dispatching(claim) | State::Querying(claim) | State::Joining(claim) => {
                Some(claim)
            }
            _ => None,
        }
    }

    /// Returns the attempt whose key may be released after a "not run". A release saves the next
    /// call a status query to the endpoint; if the swap fails or is lost, no harm is done.
    pub fn releasable(&self) -> Option<AttemptId> {
        self.barred_holder.filter(|_| self.is_finished())
    }

    /// Handles an event and returns the next step. Events that do not match the state are ignored
    /// and return `None`.
    pub fn handle(&mut self, event: Event) -> Option<Step> {
        if self.is_finished() {
            return None;
        }
        if event == Event::Expired {
            return Some(self.expire());
        }
        match (self.state.clone(), event) {
            (State::Choosing { expect }, Event::Chosen(target)) => {
                Some(self.on_chosen(expect, target))
            }
            (State::Reading { claim }, Event::Read(read)) => Some(self.on_read(claim, read)),
            (State::Swapping { expect, claim }, Event::Swapped(swap)) => {
                Some(self.on_swapped(expect, claim, swap))
            }
            (State::Dispatching(claim), Event::Verdict(verdict)) => {
                Some(self.on_verdict(claim, verdict))
            }
            (State::Dispatching(claim), Event::NoReply) => Some(self.query(claim)),
            (State::Querying(claim), Event::Status(status)) => Some(self.on_status(claim, status)),
            (State::Querying(claim), Event::NoReply) => {
                Some(Step::Pause(Box::new(Step::Query(claim))))
            }
            (State::Joining(_), Event::Ended(true)) => Some(self.finish(Outcome::Whole)),
            (State::Joining(_), Event::Ended(false)) => {
                Some(self.finish(Outcome::Unknown(Unknown::EndpointFailed)))
            }
            (State::Joining(_), Event::Gone) => {
                Some(self.finish(Outcome::Unknown(Unknown::AnswerGone)))
            }
            (State::Joining(claim), Event::NoReply) => Some(self.query(claim)),
            (State::Joining(claim), Event::Status(status)) => Some(self.on_status(claim, status)),
            _ => None,
        }
    }

    fn on_chosen(&mut self, expect: Option<AttemptId>, target: Option<Target>) -> Step {
        let Some(target) = target else {
            if self.not_run {
                let reason = if self.refused { NotRun::Refused } else { NotRun::NoEndpoint };
                return self.finish(Outcome::NotRun(reason));
            }
            // An earlier call may hold the key; joining its answer needs no new endpoint.
            return self.read(None);
        };
        let Target { endpoint, incarnation, attempt } = target;
        self.swap(expect, Claim { endpoint, incarnation, attempt })
    }

    fn on_read(&mut self, own: Option<Claim>, read: Result<Option<Claim>, ReadFault>) -> Step {
        match (read, own) {
            (Err(ReadFault), _) => Step::Pause(Box::new(Step::Read)),
            (Ok(None), Some(own)) => {
                self.not_run = true;
                self.swap(None, own)
            }
            (Ok(None), None) => {
                self.not_run = true;
                self.finish(Outcome::NotRun(NotRun::NoEndpoint))
            }
            (Ok(Some(found)), Some(own)) if found == own => self.dispatch(own),
            (Ok(Some(found)), None) if self.barred == Some(found.attempt) => {
                // The attempt that still holds the key never runs.
                self.not_run = true;
                self.finish(Outcome::NotRun(NotRun::Refused))
            }
            (Ok(Some(found)), _) => self.query(found),
        }
    }

    fn on_swapped(&mut self, expect: Option<AttemptId>, claim: Claim, swap: Swap) -> Step {
        match swap {
            Swap::Done => self.dispatch(claim),
            Swap::Mismatch(Some(found)) if found == claim => self.dispatch(claim),
            Swap::Mismatch(Some(found)) => self.query(found),
            Swap::Mismatch(None) => {
                self.not_run = true;
                self.swap(None, claim)
            }
            Swap::Unavailable => Step::Pause(Box::new(Step::Swap { expect, claim })),
            Swap::Unknown => self.read(Some(claim)),
        }
    }

    fn on_verdict(&mut self, claim: Claim, verdict: Verdict) -> Step {
        match verdict {
            Verdict::Run | Verdict::Joined => self.join(claim),
            Verdict::Refused(Refusal::OtherIncarnation) => {
                self.finish(Outcome::Unknown(Unknown::AgentRestarted))
            }
            Verdict::Refused(refusal) => {
                self.refused = true;
                // A fresh refusal means that the claimed attempt holds the key and has not run.
                self.not_run = refusal.is_fresh();
                self.barred_holder = self.not_run.then_some(claim.attempt);
                self.barred = Some(claim.attempt);
                if self.not_run && self.attempts >= ATTEMPTS_MAX {
                    return self.finish(Outcome::NotRun(NotRun::Refused));
                }
                self.choose(Some(claim.attempt))
            }
        }
    }

    fn on_status(&mut self, claim: Claim, status: AttemptStatus) -> Step {
        match status {
            AttemptStatus::Running | AttemptStatus::Ended => self.join(claim),
            AttemptStatus::NeverRuns => {
                self.barred = Some(claim.attempt);
                self.choose(Some(claim.attempt))
            }
            AttemptStatus::OtherIncarnation => {
                self.finish(Outcome::Unknown(Unknown::AgentRestarted))
            }
        }
    }

    fn expire(&mut self) -> Step {
        let outcome = match &self.state {
            State::Dispatching(_) | State::Querying(_) | State::Joining(_) => {
                Outcome::Unknown(Unknown::AgentSilent)
            }
            _ if self.not_run => Outcome::NotRun(NotRun::Expired),
            _ => Outcome::Unknown(Unknown::ClaimUnread),
        };
        self.finish(outcome)
    }

    fn choose(&mut self, expect: Option<AttemptId>) -> Step {
        self.state = State::Choosing { expect };
        Step::Choose
    }

    fn read(&mut self, claim: Option<Claim>) -> Step {
        self.state = State::Reading { claim };
        Step::Read
    }

    fn swap(&mut self, expect: Option<AttemptId>, claim: Claim) -> Step {
        self.state = State::Swapping { expect, claim: claim.clone() };
        Step::Swap { expect, claim }
    }

    fn dispatch(&mut self, claim: Claim) -> Step {
        self.attempts += 1;
        self.not_run = false;
        self.barred_holder = None;
        self.state = State::Dispatching(claim.clone());
        Step::Dispatch(claim)
    }

    fn query(&mut self, claim: Claim) -> Step {
        self.not_run = false;
        self.barred_holder = None;
        self.state = State::Querying(claim.clone());
        Step::Query(claim)
    }

    fn join(&mut self, claim: Claim) -> Step {
        self.state = State::Joining(claim.clone());
        Step::Join(claim)
    }

    fn finish(&mut self, outcome: Outcome) -> Step {
        self.state = State::Finished;
        Step::Finish(outcome)
    }
}
