//! Requests that may run more than once: retried within a budget until an answer is complete.

use std::time::Duration;

use bw_once::evidence::Suspicion;
use bw_once::gate::Refusal;
use bw_once::gate::Verdict;
use bw_once::Crash;
use bw_route::router::Choice;

use super::attempt::AttemptLocation;
use super::attempt::ReadEnd;
use super::attempt::ReleaseGuard;
use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::sink::Sink;

/// Pause before endpoints that refused or failed are tried again.
const REFUSED_PAUSE: Duration = Duration::from_millis(25);

/// Lowest status of answers by which an endpoint reports a failure of its own.
const SERVER_ERROR: u16 = 500;

/// Result of one attempt.
enum AttemptEnd {
    /// The sink has received the complete answer, which has this status.
    Whole(u16),
    /// The attempt did not run.
    Refused(Refusal),
    /// The attempt may have run, but its answer is incomplete; holds the reason.
    Failed(&'static str),
    /// The deadline has passed.
    Late,
    /// The caller has disconnected, or the answer was too large.
    CallerGone,
}

/// How the answer to a repeatable request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The sink has received the complete answer.
    Whole,
    /// The caller has disconnected, or the answer was too large.
    CallerGone,
}

/// A sink that can restart or continue the answer after a failed attempt.
pub trait Restart: Sink {
    /// Prepares `job` and the sink for the next attempt after a failed one. Returns false if the
    /// answer cannot be retried.
    fn restart(&mut self, job: &mut Job) -> bool;
}

impl Services {
    /// Runs a repeatable request until its answer is complete.
    ///
    /// # Errors
    /// Returns the fault to answer the caller with.
    pub async fn run_repeatable<S>(&self, mut job: Job, sink: &mut S) -> Result<AnswerEnd, Fault>
    where
        S: Restart,
    {
        let mut exclude: Vec<String> = Vec::new();
        let mut dispatched = false;
        loop {
            if self.evidence.request_suspicion(&job.fingerprints) == Suspicion::Quarantined {
                return Err(Fault::Quarantined);
            }
            let admitted =
                self.admit(&job).await.map_err(|fault| failed_if_dispatched(dispatched, fault))?;
            let Some(choice) = self.choose(&job, &exclude) else {
                drop(admitted);
                if exclude.is_empty() {
                    let fault = Fault::Refused { code: "no_endpoint", retry_after: REFUSED_PAUSE };
                    return Err(failed_if_dispatched(dispatched, fault));
                }
                // Every endpoint has refused or failed: pause, then try all of them again.
                exclude.clear();
                self.pause(&job).await.map_err(|fault| failed_if_dispatched(dispatched, fault))?;
                continue;
            };
            let endpoint = job.current.fleet.endpoints[choice.endpoint].name.to_string();
            match self.attempt(&job, &choice, admitted, sink).await {
                AttemptEnd::Whole(status) => {
                    self.routing.record_success(job.pool_name());
                    // A failure does not show that the request is sound.
                    if status < SERVER_ERROR {
                        self.evidence.clear(&job.fingerprints);
                    }
                    return Ok(AnswerEnd::Whole);
                }
                AttemptEnd::CallerGone => return Ok(AnswerEnd::CallerGone),
                AttemptEnd::Late => return Err(Fault::DeadlinePassed),
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
                    if !self.routing.try_spend_retry(job.pool_name()) {
                        return Err(Fault::Failed("retry_budget_spent"));
                    }
                    if !sink.restart(&mut job) {
                        return Err(Fault::Failed(reason));
                    }
                }
            }
        }
    }

    /// Runs one attempt at the chosen endpoint and reads its answer into `sink`.
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
        let dispatch = self.build_dispatch(job, choice, false);
        let location =
            AttemptLocation { agent, incarnation: choice.incarnation, attempt: dispatch.attempt };
        let mut sent = self.routing.start(choice.state_key, &job.blocks);
        drop(admitted);
        let guard = ReleaseGuard::new(&self.agents, location);
        let verdict = self.agents.dispatch(agent, dispatch).await;
        if let Ok((_, running)) = &verdict {
            self.routing.record_running(choice.state_key, *running);
        }
        let end = match verdict {
            Ok((Verdict::Refused(refusal), _)) => {
                self.count_attempt("refused");
                return AttemptEnd::Refused(refusal);
            }
            // If the verdict is lost, the attempt may still run, so its answer is read anyway.
            Ok(_) | Err(_) => self.read_answer(job, location, sink).await,
        };
        drop(guard);
        match end {
            ReadEnd::Whole(status) => {
                sent.succeed();
                self.count_attempt("whole");
                AttemptEnd::Whole(status)
            }
            ReadEnd::CallerGone => AttemptEnd::CallerGone,
            ReadEnd::Late => AttemptEnd::Late,
            ReadEnd::Crashed(number) => {
                self.count_attempt("crashed");
                self.record_crash(job, choice, number).await;
                AttemptEnd::Failed("endpoint_died")
            }
            ReadEnd::Failed => self.failed("endpoint_broke_off"),
            ReadEnd::Silent => self.failed("endpoint_silent"),
            ReadEnd::Lost(_) => self.failed("agent_restarted"),
        }
    }

    /// Records a crash and shares it with the other entries. Called before a retry, so that the
    /// retry is already known as a suspect.
    pub async fn record_crash(&self, job: &Job, choice: &Choice, number: u32) {
        let crash = Crash {
            endpoint: job.current.fleet.endpoints[choice.endpoint].name.to_string(),
            incarnation: choice.incarnation,
            number,
            fingerprints: job.fingerprints.distinct().to_vec(),
        };
        self.evidence.record(vec![crash]).await;
    }

    /// Waits for [`REFUSED_PAUSE`].
    ///
    /// # Errors
    /// Returns [`Fault::Refused`] without waiting if the deadline would pass first.
    async fn pause(&self, job: &Job) -> Result<(), Fault> {
        if self.remaining_time(job) <= REFUSED_PAUSE {
            return Err(Fault::Refused { code: "refused", retry_after: Duration::from_secs(1) });
        }
        tokio::time::sleep(REFUSED_PAUSE).await;
        Ok(())
    }

    /// Counts a failed attempt.
    fn failed(&self, reason: &'static str) -> AttemptEnd {
        self.count_attempt("failed");
        AttemptEnd::Failed(reason)
    }

    /// Counts an attempt of a repeatable request by result.
    fn count_attempt(&self, result: &str) {
        self.metrics.attempts.with_label_values(&["repeatable", result]).inc();
    }
}

/// Replaces a refusal by a failure if an attempt may have run, because the request can no longer be
/// reported as "not run".
fn failed_if_dispatched(dispatched: bool, fault: Fault) -> Fault {
    if dispatched {
        Fault::Failed("no_endpoint_left")
    } else {
        fault
    }
}
