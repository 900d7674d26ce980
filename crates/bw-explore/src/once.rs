//! Model of requests that may run once: entries, agents and a claim store around [`bw_once`].
//!
//! A call that times out may have been lost, may have taken effect without an answer, or may take
//! effect later, after any number of other transitions.

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
use bw_once::gate::GateDispatch;
use bw_once::gate::Verdict;
use bw_once::Claim;
use bw_once::Flow;
use bw_once::Gate;

use crate::search::Model;

/// Violation: two attempts ran.
pub const RAN_TWICE: &str = "the request ran twice";

/// Violation: an attempt ran after its caller had received a "not run".
pub const RAN_LATE: &str = "an attempt ran after its caller was told that it did not run";

/// Violation: a caller received a "not run" that was wrong or not backed by evidence.
pub const FALSE_NOT_RUN: &str = "a request that ran was said not to have run";

/// Violation: a caller received an answer other than that of the attempt that ran.
pub const CROSSED_ANSWER: &str = "a caller got the answer of another attempt";

/// How agents follow the protocol. Faulty variants drop a rule; the exploration has to find a
/// counterexample for each of them.
pub trait AgentRules: Clone + Eq + std::hash::Hash {
    /// Handles a dispatch and returns the agent's verdict.
    fn dispatch(gate: &mut Gate, dispatch: GateDispatch) -> Verdict;
    /// Handles a status query for an attempt.
    fn query(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus;
}

/// Agents that follow all rules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl AgentRules for Sound {
    fn dispatch(gate: &mut Gate, dispatch: GateDispatch) -> Verdict {
        gate.dispatch(dispatch)
    }

    fn query(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        gate.query(attempt, incarnation)
    }
}

/// Agents that keep no tombstone of an attempt that they have barred.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoTombstone;

impl AgentRules for NoTombstone {
    fn dispatch(gate: &mut Gate, dispatch: GateDispatch) -> Verdict {
        gate.dispatch(dispatch)
    }

    fn query(gate: &mut Gate, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        let status = gate.query(attempt, incarnation);
        if status == AttemptStatus::NeverRuns {
            gate.forget(attempt);
        }
        status
    }
}

/// Agents that accept messages for any of their incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoIncarnation;

impl AgentRules for NoIncarnation {
    fn dispatch(gate: &mut Gate, dispatch: GateDispatch) -> Verdict {
        let incarnation = gate.incarnation();
        gate.dispatch(GateDispatch { incarnation, ..dispatch })
    }

    fn query(gate: &mut Gate, attempt: AttemptId, _incarnation: Incarnation) -> AttemptStatus {
        gate.query(attempt, gate.incarnation())
    }
}

/// Number of times that each fault may still happen, which bounds the state space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Calls that time out.
    pub timeouts: u8,
    /// Dispatches that arrive twice.
    pub duplicates: u8,
    /// Agents that restart.
    pub restarts: u8,
    /// Store calls that fail in an outage without taking effect.
    pub outages: u8,
    /// Agents that start to leave.
    pub departures: u8,
    /// Entries that crash.
    pub crashes: u8,
}

/// A call to the store or to an agent, in flight or abandoned by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Call {
    Read,
    Swap { expect: Option<AttemptId>, claim: Option<Claim> },
    Dispatch(Claim),
    Query(Claim),
    Join(Claim),
}

/// What the entry that runs a flow waits for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Waiting {
    /// The call has not arrived yet.
    Sent(Call),
    /// The answer is in flight; `not_run` is true if the key had not run when the answer was
    /// made.
    Answer {
        event: Event,
        not_run: bool,
    },
    /// The step is carried out again after a pause.
    Paused(Step),
    /// The router has to choose an endpoint.
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
    /// Whether the key had not run when the flow's last evidence of "not run" was made.
    not_run: bool,
    joined: Option<AttemptId>,
    outcome: Option<Outcome>,
}

/// State of one key: the callers, each at its own entry, the agents, and the claim in the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnceModel<R> {
    callers: Vec<Option<Caller>>,
    agents: Vec<Gate>,
    claim: Option<Claim>,
    /// Abandoned calls that may still take effect, with the index of their caller.
    late_calls: BTreeSet<(usize, Call)>,
    /// Attempts that ran.
    ran: Vec<AttemptId>,
    faults: Faults,
    violation: Option<&'static str>,
    rules: PhantomData<R>,
}

impl<R> OnceModel<R>
where
    R: AgentRules,
{
    /// Creates the initial state of a key that is called at `callers` entries and may run at
    /// `agents` agents.
    pub fn new(callers: usize, agents: usize, faults: Faults) -> Self {
        let caller = |_| {
            let (flow, _) = Flow::start();
            Some(Caller {
                flow,
                waiting: Waiting::Choose,
                excluded: BTreeSet::new(),
                attempts: Vec::new(),
                not_run: false,
                joined: None,
                outcome: None,
            })
        };
        Self {
            callers: (0..callers).map(caller).collect(),
            agents: (0..agents).map(|n| Gate::new(Incarnation(n as u64 * 100), 2)).collect(),
            claim: None,
            late_calls: BTreeSet::new(),
            ran: Vec::new(),
            faults,
            violation: None,
            rules: PhantomData,
        }
    }

    fn agent_of(&self, claim: &Claim) -> usize {
        claim.endpoint.parse().unwrap_or(0)
    }

    /// Carries out a call and returns its answer; `None` while the joined attempt is running.
    fn execute(&mut self, caller: usize, call: &Call) -> Option<Event> {
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
                let dispatch = GateDispatch {
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
            Call::Query(claim) => {
                let agent = self.agent_of(claim);
                let gate = &mut self.agents[agent];
                Event::Status(R::query(gate, claim.attempt, claim.incarnation))
            }
            Call::Join(claim) => {
                let agent = self.agent_of(claim);
                let gate = &mut self.agents[agent];
                match R::query(gate, claim.attempt, claim.incarnation) {
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

    /// Checks the invariants on attempts that run: one run of the key at most, and none after its
    /// caller received a "not run".
    fn check_runs(&mut self, attempt: AttemptId) {
        if self.ran.len() > 1 {
            self.violation = Some(RAN_TWICE);
        }
        let contradicted = self.callers.iter().flatten().any(|caller| {
            matches!(caller.outcome, Some(Outcome::NotRun(_))) && caller.attempts.contains(&attempt)
        });
        if contradicted {
            self.violation = Some(RAN_LATE);
        }
    }

    /// Passes an event to a caller's flow and starts its next step.
    fn advance(&mut self, caller: usize, event: Event, not_run: bool) {
        let Some(state) = self.callers[caller].as_mut() else {
            return;
        };
        if is_evidence(&event) {
            state.not_run = not_run;
        }
        if let Event::Verdict(Verdict::Refused(_)) = &event {
            if let Some(claim) = state.flow.claim() {
                state.excluded.insert(claim.endpoint.parse().unwrap_or(0));
            }
        }
        state.waiting = Waiting::Nothing;
        if let Some(step) = state.flow.handle(event) {
            self.start_step(caller, step);
        }
    }

    fn start_step(&mut self, caller: usize, step: Step) {
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
            Step::Query(claim) => Waiting::Sent(Call::Query(claim)),
            Step::Join(claim) => Waiting::Sent(Call::Join(claim)),
            Step::Pause(next) => Waiting::Paused(*next),
            Step::Finish(outcome) => {
                state.outcome = Some(outcome);
                Waiting::Nothing
            }
        };
        self.check_outcome(caller);
    }

    /// Checks the invariants on the outcome of a call, and adds the release of its claim to the
    /// late calls.
    fn check_outcome(&mut self, caller: usize) {
        let Some(state) = self.callers[caller].as_ref() else {
            return;
        };
        let own_ran = state.attempts.iter().any(|attempt| self.ran.contains(attempt));
        match state.outcome {
            Some(Outcome::NotRun(_)) if own_ran || !state.not_run => {
                self.violation = Some(FALSE_NOT_RUN);
            }
            Some(Outcome::Whole) if state.joined != self.ran.first().copied() => {
                self.violation = Some(CROSSED_ANSWER);
            }
            _ => {}
        }
        // The release of a claim after the end of a flow takes effect at any later time, or never.
        if let Some(attempt) = state.flow.releasable() {
            self.late_calls.insert((caller, Call::Swap { expect: Some(attempt), claim: None }));
        }
    }

    fn caller_transitions(&self, caller: usize, next: &mut Vec<Self>) {
        let Some(state) = &self.callers[caller] else {
            return;
        };
        if state.outcome.is_some() {
            return;
        }
        match &state.waiting {
            Waiting::Choose => self.choice_transitions(caller, state, next),
            Waiting::Sent(call) => self.call_transitions(caller, call, next),
            Waiting::Answer { event, not_run } => {
                let mut after = self.clone();
                after.advance(caller, event.clone(), *not_run);
                next.push(after);
            }
            Waiting::Paused(step) => {
                let mut after = self.clone();
                after.start_step(caller, step.clone());
                next.push(after);
            }
            Waiting::Nothing => {}
        }
        self.end_transitions(caller, state, next);
    }

    fn choice_transitions(&self, caller: usize, state: &Caller, next: &mut Vec<Self>) {
        let id = state.attempts.len() as u128 + 10 * (caller as u128 + 1);
        let candidates = (0..self.agents.len()).filter(|agent| !state.excluded.contains(agent));
        let mut targets: Vec<Option<Target>> = candidates
            .map(|agent| {
                Some(Target {
                    endpoint: agent.to_string(),
                    incarnation: self.agents[agent].incarnation(),
                    attempt: AttemptId(id),
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

    fn call_transitions(&self, caller: usize, call: &Call, next: &mut Vec<Self>) {
        let mut after = self.clone();
        let not_run = self.ran.is_empty();
        if let Some(event) = after.execute(caller, call) {
            let mut duplicated = after.clone();
            after.set_waiting(caller, Waiting::Answer { event: event.clone(), not_run });
            if self.faults.timeouts > 0 {
                // The call took effect, but its answer is lost.
                let mut lost = after.clone();
                lost.faults.timeouts -= 1;
                lost.advance(caller, timeout_event(call), false);
                next.push(lost);
            }
            if self.faults.duplicates > 0 && matches!(call, Call::Dispatch(_)) {
                duplicated.faults.duplicates -= 1;
                duplicated.set_waiting(caller, Waiting::Answer { event, not_run });
                duplicated.late_calls.insert((caller, call.clone()));
                next.push(duplicated);
            }
            next.push(after);
        }
        if self.faults.timeouts > 0 {
            let mut late = self.clone();
            late.faults.timeouts -= 1;
            late.late_calls.insert((caller, call.clone()));
            late.advance(caller, timeout_event(call), false);
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

    /// Adds the transitions that end a call: its deadline passes, or its entry crashes.
    fn end_transitions(&self, caller: usize, state: &Caller, next: &mut Vec<Self>) {
        let mut abandoned = self.clone();
        if let Waiting::Sent(call) = &state.waiting {
            abandoned.late_calls.insert((caller, call.clone()));
        }
        let mut expired = abandoned.clone();
        expired.advance(caller, Event::Expired, false);
        next.push(expired);
        if self.faults.crashes > 0 {
            abandoned.faults.crashes -= 1;
            abandoned.callers[caller] = None;
            next.push(abandoned);
        }
    }

    fn agent_transitions(&self, agent: usize, next: &mut Vec<Self>) {
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
        if self.faults.departures > 0 && !self.agents[agent].is_leaving() {
            let mut after = self.clone();
            after.faults.departures -= 1;
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

/// Returns true if an event is evidence for a flow that the key has not run.
fn is_evidence(event: &Event) -> bool {
    match event {
        Event::Read(Ok(_)) | Event::Swapped(Swap::Mismatch(None)) => true,
        Event::Verdict(Verdict::Refused(refusal)) => refusal.is_fresh(),
        _ => false,
    }
}

/// Returns the event for a call that got no answer.
fn timeout_event(call: &Call) -> Event {
    match call {
        Call::Read => Event::Read(Err(ReadFault)),
        Call::Swap { .. } => Event::Swapped(Swap::Unknown),
        _ => Event::NoReply,
    }
}

impl<R> Model for OnceModel<R>
where
    R: AgentRules,
{
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for caller in 0..self.callers.len() {
            self.caller_transitions(caller, &mut next);
        }
        for (caller, call) in &self.late_calls {
            let mut after = self.clone();
            after.late_calls.remove(&(*caller, call.clone()));
            // No caller has this index: the answer is dropped and is evidence for no flow.
            after.execute(usize::MAX, call);
            next.push(after);
        }
        for agent in 0..self.agents.len() {
            self.agent_transitions(agent, &mut next);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        self.violation.map(str::to_string)
    }

    fn is_done(&self) -> bool {
        self.callers.iter().flatten().all(|caller| caller.outcome.is_some())
    }
}
