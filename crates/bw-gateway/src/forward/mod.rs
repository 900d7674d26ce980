//! Takes callers' requests to endpoints and the answers back.

pub mod exchange;
pub mod job;
pub mod outcome;
pub mod stream;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::requests::decode_request;
use bw_direct::attempts::Attempts;
use bw_direct::attempts::Decision;
use bw_direct::attempts::SendEnd;
use bw_direct::budget::Allowance;
use bw_direct::budget::RetryBudget;
use bw_direct::catalog::pick_target;
use bw_direct::request::CallerHead;
use bw_kernel::BootClock;
use bw_model::hash::fingerprint;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::http::request;
use hyper::Request;
use hyper::Response;
use log::info;
use smallvec::SmallVec;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use self::exchange::Sent;
use self::exchange::Whole;
use self::job::service_order;
use self::job::Job;
use self::outcome::deliver;
use self::outcome::Outcome;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::peers::SharedPeers;
use crate::reload::LiveSettings;
use crate::reply::Refusal;
use crate::reply::ReplyBody;
use crate::suspects::Suspects;
use crate::waiting::Rejected;
use crate::waiting::WaitQueues;

/// Time for a request whose caller names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Time after which a caller comes back when this gateway lacks what it needs to serve any.
const RETRY_SOON: Duration = Duration::from_millis(300);
/// Time after which a caller comes back when endpoints turned its request away.
const RETRY_TURNED_AWAY: Duration = Duration::from_millis(250);

/// Bytes of a request's body that are counted together.
pub const BODY_UNIT: usize = 1_024;
/// Part of the process's memory that bodies of requests may take.
const BODIES_PART: u64 = 4;
/// Time after which a caller comes back whose body found no memory.
const RETRY_MEMORY: Duration = Duration::from_millis(1_000);
/// Time after which the caller of a request that crashes endpoints may ask again.
const RETRY_QUARANTINED: Duration = Duration::from_secs(30);

/// Units of memory that bodies of requests may take, for a process with so many megabytes.
pub fn body_units(memory: u64) -> usize {
    (memory * 1_048_576 / BODIES_PART) as usize / BODY_UNIT
}

/// What forwarding needs of the other services.
#[derive(Clone)]
pub struct Forwarder {
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// Requests that wait for endpoints.
    pub waiting: WaitQueues,
    /// Requests that crash endpoints.
    pub suspects: Suspects,
    /// Memory for bodies of requests, in units of [`BODY_UNIT`].
    pub bytes: Arc<Semaphore>,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// The other gateways.
    pub peers: SharedPeers,
    /// The budget for sending requests once more.
    pub budget: Arc<Mutex<RetryBudget>>,
    /// Clock of the process.
    pub clock: BootClock,
    /// The settings in force.
    pub settings: LiveSettings,
}

/// Result of a request that got an endpoint's answer.
const ANSWERED: &str = "answered";

/// A refusal with the time after which the caller may come back.
type Refused = (Refusal, Option<Duration>);

impl Forwarder {
    /// Serves one request of a caller.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = match decode_request(&parts) {
            Ok(head) => head,
            Err(_) => return self.refuse("", (Refusal::BadHead, None), arrived),
        };
        let attempt = head.attempt.clone();
        match self.accept(parts, head, body, arrived).await {
            Ok(job) => self.forward(job).await,
            Err(refused) => self.refuse(&attempt, refused, arrived),
        }
    }

    fn refuse(&self, attempt: &str, refused: Refused, arrived: Duration) -> Response<ReplyBody> {
        let (refusal, after) = refused;
        let now = self.clock.now();
        // Names that callers make up are no labels.
        self.metrics.record_request("", refusal.code());
        info!(
            "event=refused request={attempt} reason={} status={} version={} proof_age_ms={} \
             retry_after_ms={} took_ms={}",
            refusal.code(),
            refusal.status().as_u16(),
            self.config.version(),
            self.config.proof_age(now).map_or(-1, |age| age.as_millis() as i64),
            after.map_or(-1, |after| after.as_millis() as i64),
            now.saturating_sub(arrived).as_millis()
        );
        refusal.response(attempt, after)
    }

    /// Checks a request and reads its body.
    async fn accept(
        &self,
        parts: request::Parts,
        head: CallerHead,
        body: Incoming,
        arrived: Duration,
    ) -> Result<Job, Refused> {
        let catalog = self.config.current().ok_or((Refusal::Starting, Some(RETRY_SOON)))?;
        let key = catalog
            .route(&head.host, parts.uri.path())
            .ok_or_else(|| self.stale_or(Refusal::NoRoute))?;
        let route = &catalog.routes[key];
        let mut workspace = None;
        if !route.public && catalog.requires_key {
            let known = head.key.as_deref().and_then(|key| catalog.workspace(key));
            let known = known.ok_or_else(|| self.stale_or(Refusal::UnknownKey))?;
            if !self.is_proved() {
                return Err((Refusal::Unproved, Some(RETRY_SOON)));
            }
            workspace = Some(&catalog.workspaces[known]);
        }
        let left = head.remaining.unwrap_or(DEADLINE_DEFAULT).min(route.timeout);
        let memory = self.reserve(&body, catalog.limits.body)?;
        let body = self.read_body(body, catalog.limits.body, left).await?;
        let caller = workspace.map_or("", |workspace| workspace.name.as_str());
        let fingerprint = fingerprint(caller, parts.uri.path(), &body);
        if self.suspects.is_quarantined(fingerprint) {
            return Err((Refusal::Quarantined, Some(RETRY_QUARANTINED)));
        }
        let target = pick_target(&route.targets, rand::random());
        let service = target.map(|target| target.service.clone()).unwrap_or_default();
        Ok(Job {
            order: service_order(workspace.map(|workspace| workspace.priority), route.priority),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            service,
            attempts: Attempts::new(route),
            deadline: arrived + left,
            arrived,
            route: key,
            catalog,
            parts,
            head,
            body,
            fingerprint,
            _memory: memory,
            tried: SmallVec::new(),
            trace: String::new(),
        })
    }

    /// A denial, or a refusal while a newer configuration may allow the request.
    fn stale_or(&self, denial: Refusal) -> Refused {
        if self.is_proved() {
            (denial, None)
        } else {
            (Refusal::Unproved, Some(RETRY_SOON))
        }
    }

    fn is_proved(&self) -> bool {
        let age = self.config.proof_age(self.clock.now());
        age.is_some_and(|age| age <= self.settings.proof_age_max())
    }

    /// Takes memory for a body that is still to come.
    fn reserve(&self, body: &Incoming, limit: usize) -> Result<OwnedSemaphorePermit, Refused> {
        let hint = body.size_hint();
        let length = hint.upper().unwrap_or(limit as u64).min(limit as u64);
        let units = length.div_ceil(BODY_UNIT as u64) as u32;
        let permit = self.bytes.clone().try_acquire_many_owned(units);
        permit.map_err(|_| (Refusal::Overloaded, Some(RETRY_MEMORY)))
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        left: Duration,
    ) -> Result<Bytes, Refused> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        match timeout(left, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Refusal::LargeBody, None)),
            Ok(Err(_)) => Err((Refusal::BadHead, None)),
            Err(_) => Err((Refusal::SlowBody, None)),
        }
    }

    async fn forward(&self, mut job: Job) -> Response<ReplyBody> {
        let window = self.settings.get().retry_window;
        self.lock_budget().record_request(&job.service, window, job.arrived);
        let outcome = loop {
            let ask = job.ask(job.arrived);
            let placed = match self.waiting.place(ask).await {
                Ok(placed) => placed,
                Err(turned_away) => break self.no_place(&job, turned_away),
            };
            let last = job.head.last_event;
            let (end, whole) = match self.send(&mut job, placed, last).await {
                Ok(Sent::Started(started)) => {
                    // From here on the stream's own line tells how it ends.
                    match self.start_stream(job, *started) {
                        Outcome::Answer(response) => return response,
                        Outcome::Refused(refusal, after) => return refusal.response("", after),
                    }
                }
                Ok(Sent::Whole(whole)) => {
                    if !whole.parts.status.is_server_error() || !job.route().is_idempotent() {
                        break deliver(whole);
                    }
                    (SendEnd::Failed, Some(whole))
                }
                Err(end) => (end, None),
            };
            if let Some(outcome) = self.next(&mut job, end, whole) {
                break outcome;
            }
        };
        self.finish(&job, outcome)
    }

    fn finish(&self, job: &Job, outcome: Outcome) -> Response<ReplyBody> {
        let (result, response, after) = match outcome {
            Outcome::Answer(response) => (ANSWERED, response, None),
            Outcome::Refused(refusal, after) => {
                (refusal.code(), refusal.response(&job.head.attempt, after), after)
            }
        };
        let now = self.clock.now();
        self.metrics.record_request(&job.service, result);
        if result == ANSWERED {
            self.metrics.record_first_byte(&job.service, now.saturating_sub(job.arrived));
            self.metrics.record_total(&job.service, now.saturating_sub(job.arrived));
        }
        info!(
            "event=request request={} route={} service={} workspace={} result={result} status={} \
             sends=[{}] waiting={} version={} proof_age_ms={} retry_after_ms={} took_ms={}",
            job.head.attempt,
            job.route().name,
            job.service,
            job.workspace.as_deref().unwrap_or("-"),
            response.status().as_u16(),
            job.trace.trim_end(),
            self.waiting.len(),
            job.catalog.version,
            self.config.proof_age(now).map_or(-1, |age| age.as_millis() as i64),
            after.map_or(-1, |after| after.as_millis() as i64),
            now.saturating_sub(job.arrived).as_millis()
        );
        response
    }

    /// The end of a request that got no endpoint.
    fn no_place(&self, job: &Job, turned_away: Rejected) -> Outcome {
        let expired = self.clock.now() >= job.deadline;
        match (job.attempts.may_have_run(), expired) {
            (true, true) => Outcome::Refused(Refusal::TimedOut, None),
            (true, false) => Outcome::Refused(Refusal::MayHaveRun, None),
            (false, _) => Outcome::Refused(Refusal::NoEndpoint, Some(turned_away.0)),
        }
    }

    /// Decides what follows a send without an answer; `None` to send once more.
    pub(self) fn next(&self, job: &mut Job, end: SendEnd, whole: Option<Whole>) -> Option<Outcome> {
        let now = self.clock.now();
        let expired = now >= job.deadline;
        let repeat = job.attempts.arrivals() > 0 || end != SendEnd::NotSent;
        let next = match job.attempts.record(end, !expired) {
            // Only what follows a request that arrived counts as a repeat.
            Decision::Retry if repeat && !self.take_repeat(&job.service, now) => {
                job.note("no_budget");
                job.attempts.give_up(end)
            }
            next => next,
        };
        match (next, whole) {
            (Decision::Retry, _) => None,
            (Decision::Deliver, Some(whole)) => Some(deliver(whole)),
            (Decision::Deliver | Decision::Unknown, _) if expired => {
                Some(Outcome::Refused(Refusal::TimedOut, None))
            }
            (Decision::Deliver | Decision::Unknown, _) => {
                Some(Outcome::Refused(Refusal::MayHaveRun, None))
            }
            (Decision::Refuse, _) if expired => Some(Outcome::Refused(Refusal::Expired, None)),
            (Decision::Refuse, _) => {
                Some(Outcome::Refused(Refusal::TurnedAway, Some(RETRY_TURNED_AWAY)))
            }
        }
    }

    fn take_repeat(&self, service: &str, now: Duration) -> bool {
        let settings = self.settings.get();
        let (ratio, slack) = (settings.retry_ratio, settings.retry_slack);
        let allowance = Allowance { ratio, slack, window: settings.retry_window };
        let entries = self.peers.live_count(now);
        self.lock_budget().try_spend(service, allowance, entries, now)
    }

    fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
