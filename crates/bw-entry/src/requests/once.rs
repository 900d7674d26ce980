//! Requests that may run at most once.
//!
//! [`bw_once::Flow`] decides each step; this module executes the steps.

use std::future::Future;
use std::time::Duration;

use bw_model::AttemptId;
use bw_model::KeyHash;
use bw_once::claim::Swap;
use bw_once::evidence::Suspicion;
use bw_once::flow::Event;
use bw_once::flow::Outcome;
use bw_once::flow::ReadFault;
use bw_once::flow::Step;
use bw_once::flow::Target;
use bw_once::gate;
use bw_once::Claim;
use bw_once::Flow;
use bw_route::router::Choice;
use log::info;

use super::attempt::AttemptLocation;
use super::attempt::ReadEnd;
use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::sink::Buffer;
use crate::claims::Claims;
use crate::queue::Admitted;

/// Pause before the first repetition of a step; doubles with each repetition up to [`PAUSE_MAX`].
const PAUSE_MIN: Duration = Duration::from_millis(20);
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Store of the claim of one request.
pub trait ClaimTable: Clone + Send + Sync {
    /// Reads the claim.
    fn read(&self) -> impl Future<Output = Result<Option<Claim>, ReadFault>> + Send;

    /// Replaces the claim of attempt `expect` (`None`: no claim) by `claim`; `None` removes the
    /// claim.
    fn swap(
        &self,
        expect: Option<AttemptId>,
        claim: Option<Claim>,
    ) -> impl Future<Output = Swap> + Send;
}

/// Claim of an idempotency key, stored in the platform.
#[derive(Clone)]
pub struct KeyClaim {
    /// Access to the claims of all keys.
    pub claims: Claims,
    /// Hash of the idempotency key, its workspace and its service.
    pub key: KeyHash,
}

impl ClaimTable for KeyClaim {
    async fn read(&self) -> Result<Option<Claim>, ReadFault> {
        self.claims.read(self.key).await
    }

    async fn swap(&self, expect: Option<AttemptId>, claim: Option<Claim>) -> Swap {
        self.claims.swap(self.key, expect, claim).await
    }
}

/// Claim of a request without an idempotency key. No other call can repeat such a request, so the
/// claim needs no store.
#[derive(Clone)]
pub struct LocalClaim;

impl ClaimTable for LocalClaim {
    async fn read(&self) -> Result<Option<Claim>, ReadFault> {
        Ok(None)
    }

    async fn swap(&self, _expect: Option<AttemptId>, _claim: Option<Claim>) -> Swap {
        Swap::Done
    }
}

/// Executes the steps of one request's flow.
struct FlowExecutor<'a, T> {
    services: &'a Services,
    job: &'a Job,
    table: T,
    exclude: Vec<String>,
    choice: Option<Choice>,
    admitted: Option<Admitted>,
    answer: Buffer,
    pause: Duration,
}

impl Services {
    /// Runs a request at most once and returns its answer.
    ///
    /// # Errors
    /// Returns the fault to answer the caller with.
    pub async fn run_once<T>(&self, job: &Job, table: T) -> Result<Buffer, Fault>
    where
        T: ClaimTable,
    {
        if self.evidence.request_suspicion(&job.fingerprints) == Suspicion::Quarantined {
            return Err(Fault::Quarantined);
        }
        let mut executor = FlowExecutor {
            services: self,
            job,
            table,
            exclude: Vec::new(),
            choice: None,
            admitted: None,
            answer: Buffer::new(self.settings.get().answer),
            pause: PAUSE_MIN,
        };
        let (mut flow, mut step) = Flow::start();
        loop {
            if let Step::Finish(outcome) = step {
                executor.release_key(&flow).await;
                return executor.into_result(outcome);
            }
            let remaining = self.remaining_time(job);
            let event = tokio::time::timeout(remaining, executor.execute(step)).await;
            let event = event.unwrap_or(Event::Expired);
            step = match flow.handle(event) {
                Some(step) => step,
                // The event did not match the flow's state and was ignored, so no next step exists.
                // Expire the request, as its deadline would.
                None => match flow.handle(Event::Expired) {
                    Some(step) => step,
                    None => return Err(Fault::OutcomeUnknown("flow_ended")),
                },
            };
        }
    }
}

impl<T> FlowExecutor<'_, T>
where
    T: ClaimTable,
{
    /// Executes a step and returns its result.
    async fn execute(&mut self, step: Step) -> Event {
        match step {
            Step::Choose => Event::Chosen(self.choose().await),
            Step::Read => Event::Read(self.table.read().await),
            Step::Swap { expect, claim } => {
                Event::Swapped(self.table.swap(expect, Some(claim)).await)
            }
            Step::Dispatch(claim) => self.dispatch(claim).await,
            Step::Query(claim) => self.query(claim).await,
            Step::Join(claim) => self.join(claim).await,
            Step::Pause(next) => {
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(PAUSE_MAX);
                Box::pin(self.execute(*next)).await
            }
            Step::Finish(_) => Event::Expired,
        }
    }

    async fn choose(&mut self) -> Option<Target> {
        self.admitted = None;
        self.admitted = Some(self.services.admit(self.job).await.ok()?);
        let choice = self.services.choose(self.job, &self.exclude)?;
        let endpoint = self.job.current.fleet.endpoints[choice.endpoint].name.to_string();
        let incarnation = choice.incarnation;
        self.choice = Some(choice);
        Some(Target { endpoint, incarnation, attempt: super::context::new_attempt() })
    }

    /// Returns the location of a claim's attempt, or `None` if the configuration no longer contains
    /// the endpoint.
    fn locate(&self, claim: &Claim) -> Option<AttemptLocation> {
        let fleet = &self.job.current.fleet;
        let (_, endpoint) =
            fleet.endpoints.find(|endpoint| endpoint.name.as_str() == claim.endpoint)?;
        let agent = fleet.instances[endpoint.gate()?].link;
        Some(AttemptLocation { agent, incarnation: claim.incarnation, attempt: claim.attempt })
    }

    async fn dispatch(&mut self, claim: Claim) -> Event {
        let (Some(location), Some(choice)) = (self.locate(&claim), self.choice.clone()) else {
            return Event::NoReply;
        };
        let mut dispatch = self.services.build_dispatch(self.job, &choice, true);
        dispatch.attempt = claim.attempt;
        dispatch.incarnation = claim.incarnation;
        let _sent = self.services.routing.start(choice.state_key, &[]);
        self.admitted = None;
        match self.services.agents.dispatch(location.agent, dispatch).await {
            Ok((verdict, running)) => {
                self.services.routing.record_running(choice.state_key, running);
                if let gate::Verdict::Refused(refusal) = verdict {
                    if refusal == gate::Refusal::Leaving {
                        self.services.routing.lock().mark_leaving(choice.state_key);
                    }
                    self.exclude.push(claim.endpoint);
                }
                Event::Verdict(verdict)
            }
            Err(_) => Event::NoReply,
        }
    }

    async fn query(&mut self, claim: Claim) -> Event {
        let Some(location) = self.locate(&claim) else {
            return Event::NoReply;
        };
        let status = self
            .services
            .agents
            .query_attempt(location.agent, location.attempt, location.incarnation)
            .await;
        status.map_or(Event::NoReply, Event::Status)
    }

    async fn join(&mut self, claim: Claim) -> Event {
        let Some(location) = self.locate(&claim) else {
            return Event::NoReply;
        };
        self.answer = Buffer::new(self.services.settings.get().answer);
        let end = self.services.read_answer(self.job, location, &mut self.answer).await;
        info!("event=once_read request={} attempt={} end={end:?}", self.job.id, claim.attempt);
        match end {
            ReadEnd::Whole(_) => Event::Ended(true),
            ReadEnd::Crashed(number) => {
                if let Some(choice) = self.choice.clone() {
                    self.services.record_crash(self.job, &choice, number).await;
                }
                Event::Ended(false)
            }
            ReadEnd::Failed | ReadEnd::CallerGone => Event::Ended(false),
            ReadEnd::Lost(gate::AttemptStatus::Ended) => Event::Gone,
            ReadEnd::Lost(status) => Event::Status(status),
            ReadEnd::Silent => Event::NoReply,
            ReadEnd::Late => Event::Expired,
        }
    }

    /// Releases the key after a "not run", so that a retry need not query the endpoint.
    async fn release_key(&self, flow: &Flow) {
        /// Short, because the caller waits meanwhile and the release is only an optimisation: a lost
        /// swap does no harm.
        const TIMEOUT: Duration = Duration::from_millis(100);
        if let Some(holder) = flow.releasable() {
            let _ = tokio::time::timeout(TIMEOUT, self.table.swap(Some(holder), None)).await;
        }
    }

    fn into_result(self, outcome: Outcome) -> Result<Buffer, Fault> {
        match outcome {
            Outcome::Whole if self.answer.head.is_some() => Ok(self.answer),
            Outcome::Whole => Err(Fault::AnswerGone),
            Outcome::NotRun(reason) => Err(reason.into()),
            Outcome::Unknown(reason) => Err(reason.into()),
        }
    }
}
