//! Requests that may run more than once: retried within a budget until one answer is whole.

use std::time::Duration;

use bw_once::evidence::Suspicion;
use bw_once::gate::Refusal;
use bw_once::gate::Verdict;
use bw_once::Crash;
use bw_route::router::Choice;

use super::attempt::Place;
use super::attempt::ReadEnd;
use super::attempt::Waiting;
use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::sink::Sink;

/// Pause before an endpoint that refused is tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);

/// How one attempt ended.
enum AttemptEnd {
    /// The sink has the whole answer.
    Whole,
    /// It did not run.
    Refused(Refusal),
    /// It may have run and did not end well.
    Failed(&'static str),
    /// The time has passed.
    Late,
    /// The caller has left.
    CallerGone,
}

/// How the answer of a repeatable request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answered {
    /// The sink has the whole answer.
    Whole,
    /// The caller has left.
    CallerGone,
}

/// A sink that can start over, or go on, after a failed attempt.
pub trait Restart: Sink {
    /// Makes `job` the next attempt, after a failed one; false when that is not possible.
    fn restart(&mut self, job: &mut Job) -> bool;
}

impl Services {
    /// Runs a repeatable request until its answer is whole.
    ///
    /// # Errors
    /// The fault to answer with.
    pub async fn run_repeatable<S>(&self, mut job: Job, sink: &mut S) -> Result<Answered, Fault>
    where
        S: Restart,
    {
        let mut exclude: Vec<String> = Vec::new();
        let mut dispatched = false;
        loop {
            if self.evidence.standing(job.fingerprint) == Suspicion::Quarantined {
                return Err(Fault::Quarantined);
            }
            let admitted = self.admit(&job).await.map_err(|fault| late_if(dispatched, fault))?;
            let Some(choice) = self.choose(&job, &exclude) else {
                drop(admitted);
                if exclude.is_empty() {
                    let fault = Fault::Refused { code: "no_endpoint", after: REFUSED_PAUSE };
                    return Err(late_if(dispatched, fault));
                }
                // All have refused or failed; start over with all of them after a moment.
                exclude.clear();
                self.pause(&job).await.map_err(|fault| late_if(dispatched, fault))?;
                continue;
            };
            let endpoint = job.current.fleet.endpoints[choice.endpoint].name.to_string();
            match self.attempt(&job, &choice, admitted, sink).await {
                AttemptEnd::Whole => {
                    self.routing.record_success(job.pool_name());
                    self.evidence.clear(job.fingerprint);
                    return Ok(Answered::Whole);
                }
                AttemptEnd::CallerGone => return Ok(Answered::CallerGone),
                AttemptEnd::Late => return Err(Fault::Late),
                AttemptEnd::Refused(refusal) => {
                    if refusal == Refusal::Leaving {
                        self.routing.lock().mark_leaving(choice.state_key);
                    }
                    exclude.push(endpoint);
                }
                AttemptEnd::Failed(reason) => {
                    dispatched = true;
                    self.routing.record_failure(choice.state_key);
                    exclude.push(endpoint);
                    if !self.routing.take_retry(job.pool_name()) {
                        return Err(Fault::Failed("retry_budget_spent"));
                    }
                    if !sink.restart(&mut job) {
                        return Err(Fault::Failed(reason));
                    }
                }
            }
        }
    }

    async fn attempt<S>(
        &self,
        job: &Job,
        choice: &Choice,
        admitted: crate::queue::Admitted,
        sink: &mut S,
    ) -> AttemptEnd
    where
        S: Sink,
    {
        let endpoint = &job.current.fleet.endpoints[choice.endpoint];
        let Some(gate) = endpoint.gate() else {
            return AttemptEnd::Failed("no_gate");
        };
        let agent = job.current.fleet.instances[gate].link;
        let dispatch = self.dispatch_of(job, choice, false);
        let place = Place { agent, incarnation: choice.incarnation, attempt: dispatch.attempt };
        let mut sent = self.routing.start(choice.state_key, &job.blocks);
        drop(admitted);
        let waiting = Waiting::new(&self.agents, place);
        let verdict = self.agents.dispatch(agent, dispatch).await;
        if let Ok((_, running)) = &verdict {
            self.routing.record_running(choice.state_key, *running);
        }
        let end = match verdict {
            Ok((Verdict::Refused(refusal), _)) => {
                self.count_attempt("refused");
                return AttemptEnd::Refused(refusal);
            }
            // After a lost verdict the answer is read all the same: the attempt may run.
            Ok(_) | Err(_) => self.read_answer(job, place, sink).await,
        };
        drop(waiting);
        match end {
            ReadEnd::Whole => {
                sent.succeed();
                self.count_attempt("whole");
                AttemptEnd::Whole
            }
            ReadEnd::CallerGone => AttemptEnd::CallerGone,
            ReadEnd::Late => AttemptEnd::Late,
            ReadEnd::Crashed(number) => {
                self.count_attempt("crashed");
                self.note_crash(job, choice, number).await;
                AttemptEnd::Failed("endpoint_died")
            }
            ReadEnd::Failed => self.failed("endpoint_broke_off"),
            ReadEnd::Silent => self.failed("endpoint_silent"),
            ReadEnd::Lost(_) => self.failed("agent_restarted"),
        }
    }

    /// Shares the evidence before anything is retried, so that the retry is known as a suspect.
    pub async fn note_crash(&self, job: &Job, choice: &Choice, number: u32) {
        let crash = Crash {
            endpoint: job.current.fleet.endpoints[choice.endpoint].name.to_string(),
            incarnation: choice.incarnation,
            number,
            fingerprints: vec![job.fingerprint],
        };
        self.evidence.record(vec![crash]).await;
    }

    /// Waits a moment.
    ///
    /// # Errors
    /// [`Fault::Refused`] when the deadline passes first.
    async fn pause(&self, job: &Job) -> Result<(), Fault> {
        if self.time_left(job) <= REFUSED_PAUSE {
            return Err(Fault::Refused { code: "refused", after: Duration::from_secs(1) });
        }
        tokio::time::sleep(REFUSED_PAUSE).await;
        Ok(())
    }

    fn failed(&self, reason: &'static str) -> AttemptEnd {
        self.count_attempt("failed");
        AttemptEnd::Failed(reason)
    }

    /// Counts an attempt of a repeatable request.
    fn count_attempt(&self, result: &str) {
        self.metrics.attempts.with_label_values(&["repeatable", result]).inc();
    }
}

/// A refusal after an attempt that may have run is no "not run".
fn late_if(dispatched: bool, fault: Fault) -> Fault {
    if dispatched {
        Fault::Failed("no_endpoint_left")
    } else {
        fault
    }
}
