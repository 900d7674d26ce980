//! Requests that may run once: entries, agents and a claim store around [`bw_once`].
//!
//! A call that times out may have been lost, may have taken effect without an answer, or may take
//! effect later, after any number of other steps.

use std::collections::BTreeSet;
use std::marker::PhantomData;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::claim::Swap;
use bw_once::flow::Event;
use bw_once::flow::Outcome;
use bw_once::flow::ReadFault;
use bw_once::flow::Step;
use bw_once::flow::Target;
use bw_once::gate::AttemptStatus;
use bw_once::gate::Dispatch;
use bw_once::gate::Verdict;
use bw_once::Claim;
use bw_once::Flow;
use bw_once::Gate;

use crate::search::Model;

/// Violation: two attempts ran.
pub const RAN_TWICE: &str = "the request ran twice";

/// Violation: an attempt ran after its caller had a "not run".
pub const RAN_LATE: &str = "an attempt ran after its caller was told that it did not run";

/// Violation: a "not run" was not true.
pub const FALSE_NOT_RUN: &str = "a request that ran was said not to have run";

/// Violation: an answer went astray.
pub const CROSSED_ANSWER: &str = "a caller got the answer of another attempt";

/// How agents follow the protocol; broken variants leave something out.
pub trait Rules: Clone + Eq + std::hash::Hash {
    /// Handles a dispatch.
    fn dispatch(gate: &mut Gate, dispatch: Dispatch) -> Verdict;
    /// Handles a question.
    fn ask(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus;
}

/// Agents as they are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl Rules for Sound {
    fn dispatch(gate: &mut Gate, dispatch: Dispatch) -> Verdict {
        gate.dispatch(dispatch)
    }

    fn ask(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        gate.query(attempt, incarnation)
    }
}

/// Agents that forget what they barred.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoTombstone;

impl Rules for NoTombstone {
    fn dispatch(gate: &mut Gate, dispatch: Dispatch) -> Verdict {
        gate.dispatch(dispatch)
    }

    fn ask(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        let standing = gate.query(attempt, incarnation);
        if standing == AttemptStatus::NeverRuns {
            gate.forget(attempt);
        }
        standing
    }
}

/// Agents that take every message as meant for their present life.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoIncarnation;

impl Rules for NoIncarnation {
    fn dispatch(gate: &mut Gate, dispatch: Dispatch) -> Verdict {
        let incarnation = gate.incarnation();
        gate.dispatch(Dispatch { incarnation, ..dispatch })
    }

    fn ask(gate: &mut Gate, attempt: AttemptId, _incarnation: Incarnation) -> AttemptStatus {
        gate.query(attempt, gate.incarnation())
    }
}

/// Faults that may still happen, which bounds the number of states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Calls that time out.
    pub timeouts: u8,
    /// Dispatches that arrive twice.
    pub repeats: u8,
    /// Agents that start anew.
    pub restarts: u8,
    /// Calls that an outage of the store turns down.
    pub outages: u8,
    /// Agents that begin to leave.
    pub leavings: u8,
    /// Entries that die.
    pub deaths: u8,
}

/// A call that is under way, or one that its caller has given up on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Read,
    Swap { expect: Option<AttemptId>, claim: Option<Claim> },
    Dispatch(Claim),
    Ask(Claim),
    Join(Claim),
}

/// What the entry of a flow waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Waiting {
    /// The call has not arrived yet.
    Sent(Call),
    /// The answer is on its way; made when the key had, or had not, run yet.
    Answer {
        event: Event,
        unrun: bool,
    },
    /// The step is made again after a pause.
    Paused(Step),
    /// The router is to choose.
    Choose,
    Nothing,
}

/// One call of the caller, at one entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Caller {
    flow: Flow,
    waiting: Waiting,
    excluded: BTreeSet<usize>,
    attempts: Vec<AttemptId>,
    /// The key had not run when the last evidence of that, as taken by the flow, was made.
    unrun: bool,
    joined: Option<AttemptId>,
    outcome: Option<Outcome>,
}

/// The system: one key, callers at two entries, agents, and the store's claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceModel<R> {
    callers: Vec<Option<Caller>>,
    agents: Vec<Gate>,
    claim: Option<Claim>,
    /// Calls given up on that may still take effect.
    late: BTreeSet<(usize, Call)>,
    /// Attempts that ran.
    ran: Vec<AttemptId>,
    faults: Faults,
    broken: Option<&'static str>,
    rules: PhantomData<R>,
}

impl<R> OnceModel<R>
where
    R: Rules,
{
    /// A key that is called at `callers` entries before `agents` agents.
    pub fn new(callers: usize, agents: usize, faults: Faults) -> Self {
        let caller = |_| {
            let (flow, _) = Flow::start();
            Some(Caller {
                flow,
                waiting: Waiting::Choose,
                excluded: BTreeSet::new(),
                attempts: Vec::new(),
                unrun: false,
                joined: None,
                outcome: None,
            })
        };
        Self {
            callers: (0..callers).map(caller).collect(),
            agents: (0..agents).map(|n| Gate::new(Incarnation(n as u64 * 100), 2)).collect(),
            claim: None,
            late: BTreeSet::new(),
            ran: Vec::new(),
            faults,
            broken: None,
            rules: PhantomData,
        }
    }

    fn agent_of(&self, claim: &Claim) -> usize {
        claim.endpoint.parse().unwrap_or(0)
    }

    /// Carries out a call and returns its answer, or `None` while there is none yet.
    fn carry_out(&mut self, caller: usize, call: &Call) -> Option<Event> {
        let event = match call {
            Call::Read => Event::Read(Ok(self.claim.clone())),
            Call::Swap { expect, claim } => {
                if self.claim.as_ref().map(|claim| claim.attempt) == *expect {
                    self.claim = claim.clone();
                    Event::Swapped(Swap::Done)
                } else {
                    Event::Swapped(Swap::Mismatch(self.claim.clone()))
                }
            }
            Call::Dispatch(claim) => {
                let agent = self.agent_of(claim);
                let dispatch = Dispatch {
                    attempt: claim.attempt,
                    incarnation: claim.incarnation,
                    suspect: false,
                };
                let verdict = R::dispatch(&mut self.agents[agent], dispatch);
                if verdict == Verdict::Run {
                    self.ran.push(claim.attempt);
                    self.check_runs(claim.attempt);
                }
                Event::Verdict(verdict)
            }
            Call::Ask(claim) => {
                let agent = self.agent_of(claim);
                let gate = &mut self.agents[agent];
                Event::Status(R::ask(gate, claim.attempt, claim.incarnation))
            }
            Call::Join(claim) => {
                let agent = self.agent_of(claim);
                let gate = &mut self.agents[agent];
                match R::ask(gate, claim.attempt, claim.incarnation) {
                    AttemptStatus::Running => return None,
                    AttemptStatus::Ended => Event::Ended(true),
                    other => Event::Status(other),
                }
            }
        };
        if let Some(Some(state)) = self.callers.get_mut(caller) {
            if let (Call::Join(claim), Event::Ended(true)) = (call, &event) {
                state.joined = Some(claim.attempt);
            }
        }
        Some(event)
    }

    fn check_runs(&mut self, attempt: AttemptId) {
        if self.ran.len() > 1 {
            self.broken = Some(RAN_TWICE);
        }
        let denied = self.callers.iter().flatten().any(|caller| {
            matches!(caller.outcome, Some(Outcome::NotRun(_))) && caller.attempts.contains(&attempt)
        });
        if denied {
            self.broken = Some(RAN_LATE);
        }
    }

    /// Hands an event to a flow and starts its next step.
    fn advance(&mut self, caller: usize, event: Event, unrun: bool) {
        let Some(state) = self.callers[caller].as_mut() else {
            return;
        };
        if is_evidence(&event) {
            state.unrun = unrun;
        }
        if let Event::Verdict(Verdict::Refused(_)) = &event {
            if let Some(claim) = state.flow.claim() {
                state.excluded.insert(claim.endpoint.parse().unwrap_or(0));
            }
        }
        state.waiting = Waiting::Nothing;
        if let Some(step) = state.flow.handle(event) {
            self.begin(caller, step);
        }
    }

    fn begin(&mut self, caller: usize, step: Step) {
        let Some(state) = self.callers[caller].as_mut() else {
            return;
        };
        state.waiting = match step {
            Step::Choose => Waiting::Choose,
            Step::Read => Waiting::Sent(Call::Read),
            Step::Swap { expect, claim } => {
                Waiting::Sent(Call::Swap { expect, claim: Some(claim) })
            }
            Step::Dispatch(claim) => {
                state.attempts.push(claim.attempt);
                Waiting::Sent(Call::Dispatch(claim))
            }
            Step::Query(claim) => Waiting::Sent(Call::Ask(claim)),
            Step::Join(claim) => Waiting::Sent(Call::Join(claim)),
            Step::Pause(next) => Waiting::Paused(*next),
            Step::Finish(outcome) => {
                state.outcome = Some(outcome);
                Waiting::Nothing
            }
        };
        self.check_outcome(caller);
    }

    fn check_outcome(&mut self, caller: usize) {
        let Some(state) = self.callers[caller].as_ref() else {
            return;
        };
        let own_ran = state.attempts.iter().any(|attempt| self.ran.contains(attempt));
        match state.outcome {
            Some(Outcome::NotRun(_)) if own_ran || !state.unrun => {
                self.broken = Some(FALSE_NOT_RUN);
            }
            Some(Outcome::Whole) if state.joined != self.ran.first().copied() => {
                self.broken = Some(CROSSED_ANSWER);
            }
            _ => {}
        }
        // What a flow gives back after its end takes effect at any time, or never.
        if let Some(held) = state.flow.releasable() {
            self.late.insert((caller, Call::Swap { expect: Some(held), claim: None }));
        }
    }

    fn caller_steps(&self, caller: usize, next: &mut Vec<Self>) {
        let Some(state) = &self.callers[caller] else {
            return;
        };
        if state.outcome.is_some() {
            return;
        }
        match &state.waiting {
            Waiting::Choose => self.choose_steps(caller, state, next),
            Waiting::Sent(call) => self.call_steps(caller, call, next),
            Waiting::Answer { event, unrun } => {
                let mut after = self.clone();
                after.advance(caller, event.clone(), *unrun);
                next.push(after);
            }
            Waiting::Paused(step) => {
                let mut after = self.clone();
                after.begin(caller, step.clone());
                next.push(after);
            }
            Waiting::Nothing => {}
        }
        self.end_steps(caller, state, next);
    }

    fn choose_steps(&self, caller: usize, state: &Caller, next: &mut Vec<Self>) {
        let number = state.attempts.len() as u128 + 10 * (caller as u128 + 1);
        let free = (0..self.agents.len()).filter(|agent| !state.excluded.contains(agent));
        let mut targets: Vec<Option<Target>> = free
            .map(|agent| {
                Some(Target {
                    endpoint: agent.to_string(),
                    incarnation: self.agents[agent].incarnation(),
                    attempt: AttemptId(number),
                })
            })
            .collect();
        if targets.is_empty() {
            targets.push(None);
        }
        for target in targets {
            let mut after = self.clone();
            after.advance(caller, Event::Chosen(target), false);
            next.push(after);
        }
    }

    fn call_steps(&self, caller: usize, call: &Call, next: &mut Vec<Self>) {
        let mut after = self.clone();
        let unrun = self.ran.is_empty();
        if let Some(event) = after.carry_out(caller, call) {
            let mut repeated = after.clone();
            after.set_waiting(caller, Waiting::Answer { event: event.clone(), unrun });
            if self.faults.timeouts > 0 {
                // The call took effect, but its answer is lost.
                let mut lost = after.clone();
                lost.faults.timeouts -= 1;
                lost.advance(caller, timed_out(call), false);
                next.push(lost);
            }
            if self.faults.repeats > 0 && matches!(call, Call::Dispatch(_)) {
                repeated.faults.repeats -= 1;
                repeated.set_waiting(caller, Waiting::Answer { event, unrun });
                repeated.late.insert((caller, call.clone()));
                next.push(repeated);
            }
            next.push(after);
        }
        if self.faults.timeouts > 0 {
            let mut late = self.clone();
            late.faults.timeouts -= 1;
            late.late.insert((caller, call.clone()));
            late.advance(caller, timed_out(call), false);
            next.push(late);
        }
        if self.faults.outages > 0 {
            let event = match call {
                Call::Read => Some(Event::Read(Err(ReadFault))),
                Call::Swap { .. } => Some(Event::Swapped(Swap::Unavailable)),
                _ => None,
            };
            if let Some(event) = event {
                let mut after = self.clone();
                after.faults.outages -= 1;
                after.advance(caller, event, false);
                next.push(after);
            }
        }
    }

    /// The deadline passes, or the entry dies.
    fn end_steps(&self, caller: usize, state: &Caller, next: &mut Vec<Self>) {
        let mut left = self.clone();
        if let Waiting::Sent(call) = &state.waiting {
            left.late.insert((caller, call.clone()));
        }
        let mut expired = left.clone();
        expired.advance(caller, Event::Expired, false);
        next.push(expired);
        if self.faults.deaths > 0 {
            left.faults.deaths -= 1;
            left.callers[caller] = None;
            next.push(left);
        }
    }

    fn agent_steps(&self, agent: usize, next: &mut Vec<Self>) {
        for attempt in &self.ran {
            let mut after = self.clone();
            let before = after.agents[agent].running();
            after.agents[agent].finish(*attempt);
            if after.agents[agent].running() < before {
                next.push(after);
            }
        }
        if self.faults.restarts > 0 {
            let mut after = self.clone();
            after.faults.restarts -= 1;
            let incarnation = Incarnation(after.agents[agent].incarnation().0 + 1);
            after.agents[agent] = Gate::new(incarnation, 2);
            next.push(after);
        }
        if self.faults.leavings > 0 && !self.agents[agent].is_leaving() {
            let mut after = self.clone();
            after.faults.leavings -= 1;
            after.agents[agent].leave();
            next.push(after);
        }
    }

    fn set_waiting(&mut self, caller: usize, waiting: Waiting) {
        if let Some(state) = self.callers[caller].as_mut() {
            state.waiting = waiting;
        }
    }
}

/// Whether an event lets a flow say that the key has not run.
fn is_evidence(event: &Event) -> bool {
    match event {
        Event::Read(Ok(_)) | Event::Swapped(Swap::Mismatch(None)) => true,
        Event::Verdict(Verdict::Refused(refusal)) => refusal.is_fresh(),
        _ => false,
    }
}

/// What a flow is told when a call gets no answer.
fn timed_out(call: &Call) -> Event {
    match call {
        Call::Read => Event::Read(Err(ReadFault)),
        Call::Swap { .. } => Event::Swapped(Swap::Unknown),
        _ => Event::NoReply,
    }
}

impl<R> Model for OnceModel<R>
where
    R: Rules,
{
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for caller in 0..self.callers.len() {
            self.caller_steps(caller, &mut next);
        }
        for (caller, call) in &self.late {
            let mut after = self.clone();
            after.late.remove(&(*caller, call.clone()));
            // Nobody waits for this answer, and it is no evidence for anyone.
            after.carry_out(usize::MAX, call);
            next.push(after);
        }
        for agent in 0..self.agents.len() {
            self.agent_steps(agent, &mut next);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        self.broken.map(str::to_string)
    }

    fn is_done(&self) -> bool {
        self.callers.iter().flatten().all(|caller| caller.outcome.is_some())
    }
}
