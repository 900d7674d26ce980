//! Forwarding of callers' requests to endpoints and of the answers to the callers.

pub mod exchange;
pub mod job;
pub mod outcome;
pub mod stream;

use std::sync::Arc;
use std::time::Duration;

use bw_adapter::requests::decode_request;
use bw_adapter::requests::hash_request_head;
use bw_direct::attempts::Attempts;
use bw_direct::attempts::Decision;
use bw_direct::attempts::SendEnd;
use bw_direct::catalog::pick_target;
use bw_direct::catalog::service_order;
use bw_direct::catalog::RouteKey;
use bw_direct::catalog::WorkspaceKey;
use bw_direct::homes::Homes;
use bw_direct::request::CallerHead;
use bw_direct::Catalog;
use bw_kernel::BootClock;
use bw_kernel::Drain;
use bw_model::hash::fingerprint;
use bw_model::hash::Fingerprints;
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

use self::exchange::EndpointAnswer;
use self::exchange::WholeAnswer;
use self::job::Job;
use self::outcome::deliver;
use self::outcome::Outcome;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::reload::LiveSettings;
use crate::reply::promises_not_run;
use crate::reply::Refusal;
use crate::reply::ReplyBody;
use crate::retries::Retries;
use crate::retries::RetryDecision;
use crate::suspects::Suspects;
use crate::waiting::Rejected;
use crate::waiting::WaitQueues;

/// Deadline of a request that states no remaining time.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Retry-after time while this gateway has no configuration, or cannot prove that its configuration
/// is current.
const RETRY_UNREADY: Duration = Duration::from_millis(300);
/// Retry-after time of a request that endpoints rejected without running it.
const RETRY_REJECTED: Duration = Duration::from_millis(250);

/// Unit in which the memory of request bodies is counted, in bytes.
pub const BODY_UNIT: usize = 1_024;
/// Divisor of the process's memory that gives the capacity for request bodies.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Retry-after time of a request whose body exceeds the free capacity for bodies.
const RETRY_OVERLOADED: Duration = Duration::from_millis(1_000);
/// Retry-after time of a request that comes too late in a planned stop; other gateways are ready.
const RETRY_STOPPING: Duration = Duration::from_millis(100);
/// Retry-after time of a request that is quarantined because it crashes endpoints.
const RETRY_QUARANTINED: Duration = Duration::from_secs(30);

/// Returns the capacity for request bodies, in units of [`BODY_UNIT`], of a process whose memory is
/// `memory` mebibytes.
pub fn body_units(memory: u64) -> usize {
    (memory * 1_048_576 / BODY_MEMORY_DIVISOR) as usize / BODY_UNIT
}

/// Forwards requests, with handles to the state that it shares with the gateway's other services.
#[derive(Clone)]
pub struct Forwarder {
    /// Current configuration and its proof.
    pub config: Config,
    /// Listed endpoints with their load and health.
    pub endpoints: Endpoints,
    /// Queues of requests that wait for endpoints.
    pub waiting: WaitQueues,
    /// Evidence against requests that crash endpoints.
    pub suspects: Suspects,
    /// Free capacity for request bodies, in units of [`BODY_UNIT`].
    pub body_memory: Arc<Semaphore>,
    /// Free capacity for whole answers while they are read, in units of [`BODY_UNIT`].
    pub answer_memory: Arc<Semaphore>,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Retry budgets of the services.
    pub retries: Retries,
    /// Planned stop of the process.
    pub drain: Drain,
    /// Monotonic clock of the process.
    pub clock: BootClock,
    /// Settings, which may be reloaded while the process runs.
    pub settings: LiveSettings,
}

/// Result, in logs and metrics, of a request that an endpoint answered.
const ANSWERED: &str = "answered";

/// A refusal and the retry-after time, if the caller may retry.
pub type Refused = (Refusal, Option<Duration>);

/// How a request tells its workspace.
#[derive(Clone, Copy, Debug)]
pub enum Caller<'a> {
    /// By the caller's key, if it sends one.
    Key(Option<&'a str>),
    /// By name, in operators' questions.
    Workspace(&'a str),
}

/// A request that was routed and authenticated.
pub struct Admitted {
    /// Configuration in force.
    pub catalog: Arc<Catalog>,
    /// Route in `catalog`.
    pub route: RouteKey,
    /// Workspace in `catalog`; `None` if the route needs no key.
    pub workspace: Option<WorkspaceKey>,
}

impl Forwarder {
    /// Returns the answer to a caller's request: an endpoint's answer or a refusal by the gateway.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let arrived_at = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = match decode_request(&parts) {
            Ok(head) => head,
            Err(_) => return self.refuse("", (Refusal::BadHead, None), arrived_at),
        };
        let attempt = head.attempt.clone();
        match self.accept(parts, head, body, arrived_at).await {
            Ok(job) => self.forward(job).await,
            Err(refused) => self.refuse(&attempt, refused, arrived_at),
        }
    }

    fn refuse(&self, attempt: &str, refused: Refused, arrived_at: Duration) -> Response<ReplyBody> {
        let (refusal, after) = refused;
        let now = self.clock.now();
        // The service label stays empty: names that callers choose must not become label values.
        self.metrics.record_request("", refusal.code());
        info!(
            "event=refused request={attempt} reason={} status={} version={} proof_age_ms={} \
             behind_ms={} retry_after_ms={} took_ms={}",
            refusal.code(),
            refusal.status().as_u16(),
            self.config.version(),
            self.config.proof_age(now).map_or(-1, |age| age.as_millis() as i64),
            self.config.behind_for(now).map_or(-1, |behind| behind.as_millis() as i64),
            after.map_or(-1, |after| after.as_millis() as i64),
            now.saturating_sub(arrived_at).as_millis()
        );
        refusal.response(attempt, after)
    }

    /// Routes and authenticates a request, reads its body and selects its service.
    async fn accept(
        &self,
        parts: request::Parts,
        head: CallerHead,
        body: Incoming,
        arrived_at: Duration,
    ) -> Result<Job, Refused> {
        let caller = Caller::Key(head.key.as_deref());
        let Admitted { catalog, route: key, workspace: found } =
            self.admit(&head.host, parts.uri.path(), caller)?;
        let route = &catalog.routes[key];
        let workspace = found.map(|found| &catalog.workspaces[found]);
        let remaining = head.remaining.unwrap_or(DEADLINE_DEFAULT).min(route.timeout);
        let deadline = arrived_at + remaining;
        let memory = self.reserve_memory(&body, catalog.limits.body)?;
        let body = tokio::select! {
            biased;
            () = self.drain.closed_to(deadline) => {
                return Err((Refusal::Stopping, Some(RETRY_STOPPING)));
            }
            body = self.read_body(body, catalog.limits.body, remaining) => body?,
        };
        let workspace_name = workspace.map_or("", |workspace| workspace.name.as_str());
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let fingerprints = Fingerprints::new(
            fingerprint(workspace_name, target, &body),
            head.key.as_deref(),
            hash_request_head(&parts),
        );
        let shared = head.shared_parts();
        self.suspects.record_arrival(&shared);
        if let Some(subject) = self.suspects.find_quarantine(&fingerprints, &shared) {
            info!("event=quarantine_matched request={} subject={subject}", head.attempt);
            return Err((Refusal::Quarantined, Some(RETRY_QUARANTINED)));
        }
        let target = pick_target(&route.targets, rand::random());
        let service = target.map(|target| target.service.clone()).unwrap_or_default();
        Ok(Job {
            order: service_order(workspace.map(|workspace| workspace.priority), route.priority),
            workspace: found,
            homes: Homes::of(&route.homes, workspace.map_or(&[], |workspace| &workspace.homes)),
            service,
            attempts: Attempts::new(route),
            deadline,
            arrived_at,
            route: key,
            catalog,
            parts,
            head,
            body,
            fingerprints,
            _memory: memory,
            retry: None,
            tried: SmallVec::new(),
            priority: None,
            trace: String::new(),
        })
    }

    /// Routes and authenticates a request by its head.
    ///
    /// # Errors
    /// Why the request is refused, whatever its body and the load.
    pub fn admit(&self, host: &str, path: &str, caller: Caller<'_>) -> Result<Admitted, Refused> {
        let catalog = self.config.current().ok_or((Refusal::Starting, Some(RETRY_UNREADY)))?;
        let route = catalog.route(host, path).ok_or_else(|| self.unless_stale(Refusal::NoRoute))?;
        // The newer version may send the request elsewhere.
        if self.config.is_late(&self.settings, self.clock.now()) {
            return Err((Refusal::Unproved, Some(RETRY_UNREADY)));
        }
        let mut workspace = None;
        if !catalog.routes[route].public && catalog.requires_key {
            let found = match caller {
                Caller::Key(key) => key.and_then(|key| catalog.workspace(key)),
                Caller::Workspace(name) => catalog.workspace_named(name),
            };
            let found = found.ok_or_else(|| self.unless_stale(Refusal::UnknownKey))?;
            if !self.is_proved() {
                return Err((Refusal::Unproved, Some(RETRY_UNREADY)));
            }
            workspace = Some(found);
        }
        Ok(Admitted { catalog, route, workspace })
    }

    /// Returns `denial` if the configuration is proved current. Otherwise returns
    /// [`Refusal::Unproved`], because a newer configuration may allow the request.
    fn unless_stale(&self, denial: Refusal) -> Refused {
        if self.is_proved() {
            (denial, None)
        } else {
            (Refusal::Unproved, Some(RETRY_UNREADY))
        }
    }

    fn is_proved(&self) -> bool {
        self.config.is_current(&self.settings, self.clock.now())
    }

    /// Reserves memory for a body before it is read; a body of unknown length reserves the limit.
    fn reserve_memory(
        &self,
        body: &Incoming,
        limit: usize,
    ) -> Result<OwnedSemaphorePermit, Refused> {
        let hint = body.size_hint();
        let length = hint.upper().unwrap_or(limit as u64).min(limit as u64);
        let units = length.div_ceil(BODY_UNIT as u64) as u32;
        let permit = self.body_memory.clone().try_acquire_many_owned(units);
        permit.map_err(|_| (Refusal::Overloaded, Some(RETRY_OVERLOADED)))
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        remaining: Duration,
    ) -> Result<Bytes, Refused> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        match timeout(remaining, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err((Refusal::LargeBody, None)),
            Ok(Err(_)) => Err((Refusal::BadHead, None)),
            Err(_) => Err((Refusal::SlowBody, None)),
        }
    }

    async fn forward(&self, mut job: Job) -> Response<ReplyBody> {
        self.retries.record_request(&job.service, job.arrived_at);
        let outcome = loop {
            let request = job.placement_request(job.arrived_at);
            let placed = tokio::select! {
                biased;
                () = self.drain.closed_to(job.deadline) => break self.stopped_outcome(&job),
                placed = self.waiting.place(request) => placed,
            };
            let placed = match placed {
                Ok(placed) => placed,
                Err(rejected) => {
                    if job.catalog.urgency(&job.service).is_some() {
                        job.append_trace(&format!("unplaced:order={}", job.order));
                    }
                    let evacuated = self.endpoints.evacuated_text();
                    if !evacuated.is_empty() {
                        job.append_trace(&format!("evacuated:{evacuated}"));
                    }
                    if !job.homes.is_any() {
                        job.append_trace(&format!("homes:{}", job.homes));
                    }
                    break self.unplaced_outcome(&job, rejected);
                }
            };
            let last_event = job.head.last_event;
            let (end, whole) = match self.send(&mut job, placed, last_event).await {
                Ok(EndpointAnswer::Started(started)) => {
                    // The end of the stream is logged as `stream_end`.
                    match self.start_stream(job, *started) {
                        Outcome::Answer(response) => return response,
                        Outcome::Refused(refusal, after) => return refusal.response("", after),
                    }
                }
                // The caller would take the status for a promise that the request has not run.
                Ok(EndpointAnswer::Whole(whole))
                    if !job.route().is_idempotent() && promises_not_run(whole.parts.status) =>
                {
                    (SendEnd::MayHaveRun, None)
                }
                Ok(EndpointAnswer::Whole(whole)) => {
                    if !whole.parts.status.is_server_error() || !job.route().is_idempotent() {
                        break deliver(whole);
                    }
                    (SendEnd::Failed, Some(whole))
                }
                Err(end) => (end, None),
            };
            if let Some(outcome) = self.after_send(&mut job, end, whole) {
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
            self.metrics.record_first_byte(&job.service, now.saturating_sub(job.arrived_at));
            self.metrics.record_total(&job.service, now.saturating_sub(job.arrived_at));
        }
        info!(
            "event=request request={} route={} service={} workspace={} result={result} status={} \
             sends=[{}] waiting={} version={} proof_age_ms={} retry_after_ms={} took_ms={}",
            job.head.attempt,
            job.route().name,
            job.service,
            job.workspace_name().unwrap_or("-"),
            response.status().as_u16(),
            job.trace.trim_end(),
            self.waiting.len(),
            job.catalog.version,
            self.config.proof_age(now).map_or(-1, |age| age.as_millis() as i64),
            after.map_or(-1, |after| after.as_millis() as i64),
            now.saturating_sub(job.arrived_at).as_millis()
        );
        response
    }

    /// Returns the outcome of a request that was not placed at an endpoint.
    fn unplaced_outcome(&self, job: &Job, rejected: Rejected) -> Outcome {
        let expired = self.clock.now() >= job.deadline;
        match (job.attempts.may_have_run(), expired) {
            (true, true) => Outcome::Refused(Refusal::TimedOut, None),
            (true, false) => Outcome::Refused(Refusal::MayHaveRun, None),
            (false, _) => Outcome::Refused(Refusal::NoEndpoint, Some(rejected.0)),
        }
    }

    /// Returns the outcome of a request that is not sent, or not sent again, because the gateway is stopping.
    fn stopped_outcome(&self, job: &Job) -> Outcome {
        if job.attempts.may_have_run() {
            Outcome::Refused(Refusal::MayHaveRun, None)
        } else {
            Outcome::Refused(Refusal::Stopping, Some(RETRY_STOPPING))
        }
    }

    /// Returns the outcome after a send that ended without an answer for the caller, or `None` if
    /// the request is to be sent to another endpoint. `whole` is the endpoint's own failure, if
    /// it answered with one.
    pub(self) fn after_send(
        &self,
        job: &mut Job,
        end: SendEnd,
        whole: Option<WholeAnswer>,
    ) -> Option<Outcome> {
        let now = self.clock.now();
        let expired = now >= job.deadline;
        let is_retry = job.attempts.arrivals() > 0 || end != SendEnd::NotSent;
        let decision = match job.attempts.record(end, !expired) {
            Decision::Retry if self.is_quarantined(job) => {
                job.append_trace("quarantined");
                job.attempts.give_up(end)
            }
            // A send spends the retry budget only if an earlier send reached an endpoint.
            Decision::Retry if is_retry && !self.try_take_retry(job) => {
                job.append_trace("no_budget");
                job.attempts.give_up(end)
            }
            decision => decision,
        };
        match (decision, whole) {
            (Decision::Retry, _) => None,
            (Decision::Deliver, Some(whole)) => Some(deliver(whole)),
            (Decision::Deliver | Decision::Unknown, _) if expired => {
                Some(Outcome::Refused(Refusal::TimedOut, None))
            }
            (Decision::Deliver | Decision::Unknown, _) => {
                Some(Outcome::Refused(Refusal::MayHaveRun, None))
            }
            (Decision::Refuse, _) if self.is_quarantined(job) => {
                Some(Outcome::Refused(Refusal::Quarantined, Some(RETRY_QUARANTINED)))
            }
            (Decision::Refuse, _) if expired => Some(Outcome::Refused(Refusal::Expired, None)),
            (Decision::Refuse, _) => {
                Some(Outcome::Refused(Refusal::AllRejected, Some(RETRY_REJECTED)))
            }
        }
    }

    fn is_quarantined(&self, job: &Job) -> bool {
        self.suspects.find_quarantine(&job.fingerprints, &job.head.shared_parts()).is_some()
    }

    /// Takes a retry from the budget, unless the request has one that it did not use; returns whether it
    /// has one now.
    fn try_take_retry(&self, job: &mut Job) -> bool {
        if job.retry.is_some() {
            return true;
        }
        let RetryDecision { retry, usage, parts, age } = self.retries.decide(&job.service);
        job.append_trace(&format!(
            "retry:granted={}:spent={}:limit={:.1}:parts={}:life_ms={}",
            retry.is_some(),
            usage.spent,
            usage.limit,
            parts.unwrap_or(0),
            age.as_millis()
        ));
        job.retry = retry;
        job.retry.is_some()
    }
}
