//! Requests that may run only once.

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

use super::attempt::Place;
use super::attempt::ReadEnd;
use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::sink::Buffer;
use crate::claims::Claims;
use crate::queue::Admitted;

/// First pause before a step is repeated; doubles up to the longest.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
const PAUSE_LONGEST: Duration = Duration::from_millis(500);

/// Where the claim of a request lives.
pub trait ClaimTable: Clone + Send + Sync {
    /// Reads the claim.
    fn read(&self) -> impl Future<Output = Result<Option<Claim>, ReadFault>> + Send;

    /// Replaces the claim of attempt `expect`.
    fn swap(
        &self,
        expect: Option<AttemptId>,
        claim: Option<Claim>,
    ) -> impl Future<Output = Swap> + Send;
}

/// The claim of an idempotency key, in the platform.
#[derive(Clone)]
pub struct KeyClaim {
    /// The claims.
    pub claims: Claims,
    /// The key.
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

/// The claim of a request without a key: nobody else can repeat it, so it needs no store.
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

/// Drives the flow of one request.
struct Driver<'a, T> {
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
    /// The fault to answer with.
    pub async fn run_once<T>(&self, job: &Job, table: T) -> Result<Buffer, Fault>
    where
        T: ClaimTable,
    {
        if self.evidence.standing(job.fingerprint) == Suspicion::Quarantined {
            return Err(Fault::Quarantined);
        }
        let mut driver = Driver {
            services: self,
            job,
            table,
            exclude: Vec::new(),
            choice: None,
            admitted: None,
            answer: Buffer::new(self.settings.get().answer),
            pause: PAUSE_FIRST,
        };
        let (mut flow, mut step) = Flow::start();
        loop {
            if let Step::Finish(outcome) = step {
                driver.give_back(&flow).await;
                return driver.conclude(outcome);
            }
            let left = self.time_left(job);
            let event = tokio::time::timeout(left, driver.take(step)).await;
            let event = event.unwrap_or(Event::Expired);
            step = match flow.handle(event) {
                Some(step) => step,
                // An event that fits no state changes nothing; only the deadline is left.
                None => match flow.handle(Event::Expired) {
                    Some(step) => step,
                    None => return Err(Fault::Unsettled("flow_ended")),
                },
            };
        }
    }
}

impl<T> Driver<'_, T>
where
    T: ClaimTable,
{
    async fn take(&mut self, step: Step) -> Event {
        match step {
            Step::Choose => Event::Chosen(self.choose().await),
            Step::Read => Event::Read(self.table.read().await),
            Step::Swap { expect, claim } => {
                Event::Swapped(self.table.swap(expect, Some(claim)).await)
            }
            Step::Dispatch(claim) => self.dispatch(claim).await,
            Step::Query(claim) => self.ask(claim).await,
            Step::Join(claim) => self.join(claim).await,
            Step::Pause(next) => {
                tokio::time::sleep(self.pause).await;
                self.pause = (self.pause * 2).min(PAUSE_LONGEST);
                Box::pin(self.take(*next)).await
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

    /// The place of a claim's attempt; `None` when the configuration no longer has its endpoint.
    fn place(&self, claim: &Claim) -> Option<Place> {
        let fleet = &self.job.current.fleet;
        let (_, endpoint) = fleet.endpoints.find(|one| one.name.as_str() == claim.endpoint)?;
        let agent = fleet.instances[endpoint.gate()?].link;
        Some(Place { agent, incarnation: claim.incarnation, attempt: claim.attempt })
    }

    async fn dispatch(&mut self, claim: Claim) -> Event {
        let (Some(place), Some(choice)) = (self.place(&claim), self.choice.clone()) else {
            return Event::NoReply;
        };
        let mut dispatch = self.services.dispatch_of(self.job, &choice, true);
        dispatch.attempt = claim.attempt;
        dispatch.incarnation = claim.incarnation;
        let _sent = self.services.routing.start(choice.state_key, &[]);
        self.admitted = None;
        match self.services.agents.dispatch(place.agent, dispatch).await {
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

    async fn ask(&mut self, claim: Claim) -> Event {
        let Some(place) = self.place(&claim) else {
            return Event::NoReply;
        };
        let asked = self.services.agents.ask(place.agent, place.attempt, place.incarnation).await;
        asked.map_or(Event::NoReply, Event::Status)
    }

    async fn join(&mut self, claim: Claim) -> Event {
        let Some(place) = self.place(&claim) else {
            return Event::NoReply;
        };
        self.answer = Buffer::new(self.services.settings.get().answer);
        let end = self.services.read_answer(self.job, place, &mut self.answer).await;
        info!("event=once_read request={} attempt={} end={end:?}", self.job.id, claim.attempt);
        match end {
            ReadEnd::Whole => Event::Ended(true),
            ReadEnd::Crashed(number) => {
                if let Some(choice) = self.choice.clone() {
                    self.services.note_crash(self.job, &choice, number).await;
                }
                Event::Ended(false)
            }
            ReadEnd::Failed | ReadEnd::CallerGone => Event::Ended(false),
            ReadEnd::Lost(gate::AttemptStatus::Ended) => Event::Gone,
            ReadEnd::Lost(standing) => Event::Status(standing),
            ReadEnd::Silent => Event::NoReply,
            ReadEnd::Late => Event::Expired,
        }
    }

    /// Gives the key back after a "not run", so that a repeat need not ask the endpoint.
    async fn give_back(&self, flow: &Flow) {
        /// Losing this swap is harmless, so the caller does not wait long for it.
        const LIMIT: Duration = Duration::from_millis(100);
        if let Some(held) = flow.releasable() {
            let _ = tokio::time::timeout(LIMIT, self.table.swap(Some(held), None)).await;
        }
    }

    fn conclude(self, outcome: Outcome) -> Result<Buffer, Fault> {
        match outcome {
            Outcome::Whole if self.answer.head.is_some() => Ok(self.answer),
            Outcome::Whole => Err(Fault::AnswerGone),
            Outcome::NotRun(reason) => Err(reason.into()),
            Outcome::Unknown(reason) => Err(reason.into()),
        }
    }
}
