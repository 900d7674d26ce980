//! Sessions of requests that may run once: callers, agents and the claim of one key in the store.

use std::collections::BTreeMap;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::claim::Swap;
use bw_once::flow::Event;
use bw_once::flow::ReadFault;
use bw_once::flow::Step;
use bw_once::flow::Target;
use bw_once::gate::AttemptStatus;
use bw_once::gate::GateDispatch;
use bw_once::gate::Verdict;
use bw_once::Claim;
use bw_once::Flow;
use bw_once::Gate;

use crate::Player;

/// Number of requests that an agent runs concurrently.
const GATE_SLOTS: usize = 1;

/// A caller's flow with the step whose result the flow awaits.
struct Caller {
    flow: Flow,
    step: Step,
}

/// Player for one idempotency key.
///
/// Commands: `call C`, `choose C AGENT|none`, `store C [lost|outage]`, `agent C [lost|silent]`,
/// `wait C`, `expire C`, `finish AGENT`, `restart AGENT`, `leave AGENT`, `fill AGENT`, `runs`.
#[derive(Default)]
pub struct OncePlayer {
    callers: BTreeMap<String, Caller>,
    agents: BTreeMap<String, Gate>,
    claim: Option<Claim>,
    attempts: u128,
    runs: Vec<AttemptId>,
}

impl Player for OncePlayer {
    fn play(&mut self, words: &[&str]) -> Result<Vec<String>, String> {
        match words {
            ["call", caller] => {
                let (flow, step) = Flow::start();
                let line = describe(&step);
                self.callers.insert(caller.to_string(), Caller { flow, step });
                Ok(vec![line])
            }
            ["choose", caller, agent] => {
                let target = self.target(agent);
                self.handle_event(caller, Event::Chosen(target))
            }
            ["store", caller, fault @ ..] => self.call_store(caller, fault.first().copied()),
            ["agent", caller, fault @ ..] => self.call_agent(caller, fault.first().copied()),
            ["wait", caller] => {
                let caller = self.caller(caller)?;
                if let Step::Pause(next) = caller.step.clone() {
                    caller.step = *next;
                }
                Ok(vec![describe(&caller.step)])
            }
            ["expire", caller] => self.handle_event(caller, Event::Expired),
            ["finish", agent] => {
                let runs = self.runs.clone();
                let gate = self.gate(agent);
                runs.into_iter().for_each(|attempt| gate.finish(attempt));
                Ok(Vec::new())
            }
            ["restart", agent] => {
                let next = Incarnation(self.gate(agent).incarnation().0 + 1);
                self.agents.insert(agent.to_string(), Gate::new(next, GATE_SLOTS));
                Ok(vec![format!("{agent} has life {}", next.0)])
            }
            ["leave", agent] => {
                self.gate(agent).leave();
                Ok(Vec::new())
            }
            ["fill", agent] => {
                let gate = self.gate(agent);
                let incarnation = gate.incarnation();
                let attempt = AttemptId(u128::MAX);
                gate.dispatch(GateDispatch { attempt, incarnation, suspect: false });
                Ok(Vec::new())
            }
            ["runs"] => Ok(vec![format!("the request ran {} times", self.runs.len())]),
            _ => Err(format!("unknown command: {}", words.join(" "))),
        }
    }
}

impl OncePlayer {
    fn caller(&mut self, name: &str) -> Result<&mut Caller, String> {
        self.callers.get_mut(name).ok_or(format!("unknown caller {name}"))
    }

    /// Returns the gate of an agent; an agent named for the first time has incarnation 1.
    fn gate(&mut self, name: &str) -> &mut Gate {
        let first = Gate::new(Incarnation(1), GATE_SLOTS);
        self.agents.entry(name.to_string()).or_insert(first)
    }

    /// Returns the router's choice of an agent, with a new attempt id; `None` for the word `none`.
    fn target(&mut self, agent: &str) -> Option<Target> {
        if agent == "none" {
            return None;
        }
        self.attempts += 1;
        let incarnation = self.gate(agent).incarnation();
        let attempt = AttemptId(self.attempts);
        Some(Target { endpoint: agent.to_string(), incarnation, attempt })
    }

    /// Passes an event to a caller's flow and describes its next step.
    fn handle_event(&mut self, name: &str, event: Event) -> Result<Vec<String>, String> {
        let caller = self.caller(name)?;
        match caller.flow.handle(event) {
            Some(step) => {
                caller.step = step;
                Ok(vec![describe(&caller.step)])
            }
            None => Ok(vec!["ignored".to_string()]),
        }
    }

    /// Carries out the store call whose result a caller awaits.
    fn call_store(&mut self, name: &str, fault: Option<&str>) -> Result<Vec<String>, String> {
        let step = self.caller(name)?.step.clone();
        let event = match (step, fault) {
            (Step::Read, None) => Event::Read(Ok(self.claim.clone())),
            (Step::Read, Some(_)) => Event::Read(Err(ReadFault)),
            (Step::Swap { .. }, Some("outage")) => Event::Swapped(Swap::Unavailable),
            (Step::Swap { expect, claim }, lost) => {
                let holder = self.claim.as_ref().map(|claim| claim.attempt);
                let swap = if holder == expect {
                    self.claim = Some(claim);
                    Swap::Done
                } else {
                    Swap::Mismatch(self.claim.clone())
                };
                Event::Swapped(if lost.is_some() { Swap::Unknown } else { swap })
            }
            (step, _) => return Err(format!("{name} is at another step: {}", describe(&step))),
        };
        self.handle_event(name, event)
    }

    /// Carries out the call to an agent whose result a caller awaits.
    fn call_agent(&mut self, name: &str, fault: Option<&str>) -> Result<Vec<String>, String> {
        let step = self.caller(name)?.step.clone();
        if fault == Some("silent") {
            return self.handle_event(name, Event::NoReply);
        }
        let event = match step {
            Step::Dispatch(claim) => Event::Verdict(self.dispatch(&claim)),
            Step::Query(claim) => {
                let gate = self.gate(&claim.endpoint);
                Event::Status(gate.query(claim.attempt, claim.incarnation))
            }
            Step::Join(claim) => {
                let gate = self.gate(&claim.endpoint);
                match gate.query(claim.attempt, claim.incarnation) {
                    AttemptStatus::Running => return Ok(vec!["still running".to_string()]),
                    AttemptStatus::Ended => Event::Ended(true),
                    other => Event::Status(other),
                }
            }
            step => return Err(format!("{name} is at another step: {}", describe(&step))),
        };
        let event = if fault == Some("lost") { Event::NoReply } else { event };
        self.handle_event(name, event)
    }

    fn dispatch(&mut self, claim: &Claim) -> Verdict {
        let gate = self.gate(&claim.endpoint);
        let verdict = gate.dispatch(GateDispatch {
            attempt: claim.attempt,
            incarnation: claim.incarnation,
            suspect: false,
        });
        if verdict == Verdict::Run {
            self.runs.push(claim.attempt);
        }
        verdict
    }
}

fn describe(step: &Step) -> String {
    let name = |claim: &Claim| format!("attempt {} at {}", claim.attempt.0, claim.endpoint);
    match step {
        Step::Choose => "choose an endpoint".to_string(),
        Step::Read => "read the claim".to_string(),
        Step::Swap { expect: None, claim } => format!("claim for {}", name(claim)),
        Step::Swap { expect: Some(old), claim } => {
            format!("claim for {} in place of attempt {}", name(claim), old.0)
        }
        Step::Dispatch(claim) => format!("dispatch {}", name(claim)),
        Step::Query(claim) => format!("ask for {}", name(claim)),
        Step::Join(claim) => format!("read the answer of {}", name(claim)),
        Step::Pause(next) => format!("pause, then {}", describe(next)),
        Step::Finish(outcome) => format!("answer: {outcome:?}"),
    }
}
