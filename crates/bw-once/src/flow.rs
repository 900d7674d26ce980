//! The entry's side of a request that may run at most once.
//!
//! The claim of the key decides which attempt may run. It changes hands only after the agent that
//! holds it has barred the claimed attempt for good. Three rules follow from that:
//!
//! - only the holder of the claim dispatches its attempt, and to the agent life the claim names;
//! - "not run" is answered only when the key was seen without a run after the request arrived;
//! - whatever cannot be known is answered as unknown.

use bw_model::AttemptId;
use bw_model::Incarnation;

use crate::claim::Claim;
use crate::claim::Swap;
use crate::gate::Refusal;
use crate::gate::Standing;
use crate::gate::Verdict;

/// Attempts that one call makes before it gives up.
const ATTEMPTS_MAX: u32 = 4;

/// An endpoint that the router chose, with the id of the attempt to make there.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Fresh attempt id.
    pub attempt: AttemptId,
}

/// What happened since the last step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The router's choice; `None` when no endpoint can take the request.
    Chosen(Option<Target>),
    /// The key's claim as read from the store.
    Read(Result<Option<Claim>, ReadFault>),
    /// Result of a swap.
    Swapped(Swap),
    /// The agent's verdict on the dispatch.
    Verdict(Verdict),
    /// What the agent knows of the attempt asked for.
    Standing(Standing),
    /// The agent did not answer the last dispatch, question or read.
    Silent,
    /// The joined answer ended; true when it is whole.
    Ended(bool),
    /// The joined attempt ran, but its answer is no longer held.
    Gone,
    /// The request's deadline has passed.
    Expired,
}

/// The store could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReadFault;

/// What the entry has to do next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Ask the router for an endpoint and answer with [`Event::Chosen`].
    Choose,
    /// Read the key's claim.
    Read,
    /// Replace the claim of attempt `expect` (`None`: no claim) by `claim`.
    Swap {
        /// Attempt that holds the key now.
        expect: Option<AttemptId>,
        /// The new claim.
        claim: Claim,
    },
    /// Send the request to the claim's endpoint.
    Dispatch(Claim),
    /// Ask the claim's endpoint what has become of its attempt.
    Ask(Claim),
    /// Read the answer of the claim's attempt.
    Join(Claim),
    /// Pause for a moment, then repeat the step inside.
    Pause(Box<Step>),
    /// Answer the caller; the flow is over.
    Finish(Outcome),
}

/// How the request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The caller has the whole answer.
    Whole,
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run; the same key may be used to ask again.
    Unknown(Unknown),
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No endpoint could take it.
    NoEndpoint,
    /// Every endpoint that was tried refused it.
    Refused,
    /// The deadline passed first.
    Expired,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unknown {
    /// The claim could not be read in time, so an earlier call may have run.
    ClaimUnread,
    /// The agent that held the claim has restarted.
    AgentRestarted,
    /// The agent that holds the claim did not answer in time.
    AgentSilent,
    /// The endpoint failed while it ran the request.
    EndpointFailed,
    /// The request ran, but its answer is no longer held.
    AnswerGone,
}

/// Where the flow stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Choosing { expect: Option<AttemptId> },
    Reading { claim: Option<Claim> },
    Swapping { expect: Option<AttemptId>, claim: Claim },
    Dispatching(Claim),
    Asking(Claim),
    Joining(Claim),
    Finished,
}

/// One call that carries an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flow {
    state: State,
    /// The key was seen without a run, and this call has dispatched nothing since.
    unrun: bool,
    refused: bool,
    attempts: u32,
    /// The attempt that is known never to run.
    barred: Option<AttemptId>,
    /// Own barred attempt that still holds the key.
    held: Option<AttemptId>,
}

impl Flow {
    /// Starts a call.
    pub fn start() -> (Self, Step) {
        let state = State::Choosing { expect: None };
        let flow =
            Self { state, unrun: false, refused: false, attempts: 0, barred: None, held: None };
        (flow, Step::Choose)
    }

    /// Whether the call has ended.
    pub fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// The claim whose attempt this call follows.
    pub fn claim(&self) -> Option<&Claim> {
        match &self.state {
            State::Dispatching(claim) | State::Asking(claim) | State::Joining(claim) => Some(claim),
            _ => None,
        }
    }

    /// The attempt to give the key back from after a "not run", which spares the next call a
    /// question to the endpoint. Losing this swap is harmless.
    pub fn releasable(&self) -> Option<AttemptId> {
        self.held.filter(|_| self.is_finished())
    }

    /// Takes an event and says what to do next. Events that do not fit the state are ignored.
    pub fn handle(&mut self, event: Event) -> Option<Step> {
        if self.is_finished() {
            return None;
        }
        if event == Event::Expired {
            return Some(self.expire());
        }
        match (self.state.clone(), event) {
            (State::Choosing { expect }, Event::Chosen(target)) => {
                Some(self.take_target(expect, target))
            }
            (State::Reading { claim }, Event::Read(read)) => Some(self.take_read(claim, read)),
            (State::Swapping { expect, claim }, Event::Swapped(swap)) => {
                Some(self.take_swap(expect, claim, swap))
            }
            (State::Dispatching(claim), Event::Verdict(verdict)) => {
                Some(self.take_verdict(claim, verdict))
            }
            (State::Dispatching(claim), Event::Silent) => Some(self.ask(claim)),
            (State::Asking(claim), Event::Standing(standing)) => {
                Some(self.take_standing(claim, standing))
            }
            (State::Asking(claim), Event::Silent) => Some(Step::Pause(Box::new(Step::Ask(claim)))),
            (State::Joining(_), Event::Ended(true)) => Some(self.finish(Outcome::Whole)),
            (State::Joining(_), Event::Ended(false)) => {
                Some(self.finish(Outcome::Unknown(Unknown::EndpointFailed)))
            }
            (State::Joining(_), Event::Gone) => {
                Some(self.finish(Outcome::Unknown(Unknown::AnswerGone)))
            }
            (State::Joining(claim), Event::Silent) => Some(self.ask(claim)),
            (State::Joining(claim), Event::Standing(standing)) => {
                Some(self.take_standing(claim, standing))
            }
            _ => None,
        }
    }

    fn take_target(&mut self, expect: Option<AttemptId>, target: Option<Target>) -> Step {
        let Some(target) = target else {
            if self.unrun {
                let reason = if self.refused { NotRun::Refused } else { NotRun::NoEndpoint };
                return self.finish(Outcome::NotRun(reason));
            }
            // An earlier call may hold the key, whose answer needs no new endpoint.
            return self.read(None);
        };
        let Target { endpoint, incarnation, attempt } = target;
        self.swap(expect, Claim { endpoint, incarnation, attempt })
    }

    fn take_read(&mut self, own: Option<Claim>, read: Result<Option<Claim>, ReadFault>) -> Step {
        match (read, own) {
            (Err(ReadFault), _) => Step::Pause(Box::new(Step::Read)),
            (Ok(None), Some(own)) => {
                self.unrun = true;
                self.swap(None, own)
            }
            (Ok(None), None) => {
                self.unrun = true;
                self.finish(Outcome::NotRun(NotRun::NoEndpoint))
            }
            (Ok(Some(found)), Some(own)) if found == own => self.dispatch(own),
            (Ok(Some(found)), None) if self.barred == Some(found.attempt) => {
                // The key is still held by an attempt that never runs.
                self.unrun = true;
                self.finish(Outcome::NotRun(NotRun::Refused))
            }
            (Ok(Some(found)), _) => self.ask(found),
        }
    }

    fn take_swap(&mut self, expect: Option<AttemptId>, claim: Claim, swap: Swap) -> Step {
        match swap {
            Swap::Done => self.dispatch(claim),
            Swap::Mismatch(Some(found)) if found == claim => self.dispatch(claim),
            Swap::Mismatch(Some(found)) => self.ask(found),
            Swap::Mismatch(None) => {
                self.unrun = true;
                self.swap(None, claim)
            }
            Swap::Unavailable => Step::Pause(Box::new(Step::Swap { expect, claim })),
            Swap::Unknown => self.read(Some(claim)),
        }
    }

    fn take_verdict(&mut self, claim: Claim, verdict: Verdict) -> Step {
        match verdict {
            Verdict::Run | Verdict::Joined => self.join(claim),
            Verdict::Refused(Refusal::OtherIncarnation) => {
                self.finish(Outcome::Unknown(Unknown::AgentRestarted))
            }
            Verdict::Refused(refusal) => {
                self.refused = true;
                // A fresh refusal comes from the agent that still holds the key.
                self.unrun = refusal.is_fresh();
                self.held = self.unrun.then_some(claim.attempt);
                self.barred = Some(claim.attempt);
                if self.unrun && self.attempts >= ATTEMPTS_MAX {
                    return self.finish(Outcome::NotRun(NotRun::Refused));
                }
                self.choose(Some(claim.attempt))
            }
        }
    }

    fn take_standing(&mut self, claim: Claim, standing: Standing) -> Step {
        match standing {
            Standing::Running | Standing::Ended => self.join(claim),
            Standing::NeverRuns => {
                self.barred = Some(claim.attempt);
                self.choose(Some(claim.attempt))
            }
            Standing::OtherIncarnation => self.finish(Outcome::Unknown(Unknown::AgentRestarted)),
        }
    }

    fn expire(&mut self) -> Step {
        let outcome = match &self.state {
            State::Dispatching(_) | State::Asking(_) | State::Joining(_) => {
                Outcome::Unknown(Unknown::AgentSilent)
            }
            _ if self.unrun => Outcome::NotRun(NotRun::Expired),
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
        self.unrun = false;
        self.held = None;
        self.state = State::Dispatching(claim.clone());
        Step::Dispatch(claim)
    }

    fn ask(&mut self, claim: Claim) -> Step {
        self.unrun = false;
        self.held = None;
        self.state = State::Asking(claim.clone());
        Step::Ask(claim)
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
