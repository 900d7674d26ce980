//! Takes callers' requests to endpoints and the answers back.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::requests::decode_reply;
use bw_adapter::requests::decode_request;
use bw_adapter::requests::encode_request;
use bw_adapter::requests::reply_headers;
use bw_adapter::requests::Dispatch;
use bw_direct::attempts::Attempts;
use bw_direct::attempts::Next;
use bw_direct::attempts::SendEnd;
use bw_direct::budget::Allowance;
use bw_direct::budget::RepeatBudget;
use bw_direct::catalog::pick_target;
use bw_direct::catalog::Route;
use bw_direct::catalog::RouteKey;
use bw_direct::catalog::RouteKind;
use bw_direct::endpoint::EndpointKey;
use bw_direct::events::EventBuffer;
use bw_direct::events::Events;
use bw_direct::request::CallerHead;
use bw_direct::request::ReplyHead;
use bw_direct::Catalog;
use bw_http::Channel;
use bw_http::ChannelError;
use bw_http::Liveness;
use bw_kernel::BootClock;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use hyper::Request;
use hyper::Response;
use log::info;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::config::Config;
use crate::endpoints::Chosen;
use crate::endpoints::Endpoints;
use crate::peers::PeerNews;
use crate::reload::LiveSettings;
use crate::reply::Refusal;
use crate::reply::ReplyBody;
use crate::reply::StreamBroken;

/// Largest answer that is not a stream of events, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1_048_576;
/// Time for a request whose caller names none.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Time to an idempotent answer, in target latencies, after which another endpoint is asked.
const PATIENCE_TARGETS: u32 = 4;
/// Pieces of a stream that wait for the caller to read.
const PIECES_MAX: usize = 8;
/// How dead connections to endpoints are found.
const ENDPOINT_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(3_000),
    probe: Duration::from_millis(1_000),
};

/// What forwarding needs of the other services.
#[derive(Clone)]
pub struct Forwarder {
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: PeerNews,
    /// The budget for sending requests once more.
    pub budget: Arc<Mutex<RepeatBudget>>,
    /// Clock of the process.
    pub clock: BootClock,
    /// The settings in force.
    pub settings: LiveSettings,
}

/// A request on its way.
struct Job {
    parts: request::Parts,
    head: CallerHead,
    body: Bytes,
    catalog: Arc<Catalog>,
    route: RouteKey,
    workspace: Option<String>,
    service: String,
    arrived: Duration,
    deadline: Duration,
    attempts: Attempts,
    tried: SmallVec<[EndpointKey; 4]>,
    /// What became of each send, for the log.
    trace: String,
}

impl Job {
    fn route(&self) -> &Route {
        &self.catalog.routes[self.route]
    }

    fn prompt(&self) -> u32 {
        self.head.tokens.map_or(0, |tokens| tokens.prompt)
    }
}

/// Counts a request at its endpoint until it is dropped.
struct Lease {
    endpoints: Endpoints,
    key: EndpointKey,
    prompt: u32,
}

impl Lease {
    fn answered(&mut self) {
        self.endpoints.answer(self.key, self.prompt);
        self.prompt = 0;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.endpoints.finish(self.key, self.prompt);
    }
}

/// An answer whose head has arrived.
struct Opened {
    channel: Channel,
    lease: Lease,
    reply: ReplyHead,
    parts: response::Parts,
    body: Incoming,
}

/// A whole answer.
struct Whole {
    parts: response::Parts,
    body: Bytes,
}

/// The start of a stream.
struct Started {
    opened: Opened,
    buffer: EventBuffer,
    first: Option<Events>,
}

/// What a send brought.
enum Sent {
    Whole(Whole),
    Started(Box<Started>),
}

/// How a request ended, for the caller and the log.
enum Outcome {
    Answer(Response<ReplyBody>, u16),
    Refused(Refusal, Option<Duration>),
}

impl Forwarder {
    /// Serves one request of a caller.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let arrived = self.clock.now();
        let (parts, body) = request.into_parts();
        let head = match decode_request(&parts) {
            Ok(head) => head,
            Err(_) => return self.refuse("", Refusal::BadHead, None, arrived),
        };
        let attempt = head.attempt.clone();
        match self.accept(parts, head, body, arrived).await {
            Ok(job) => self.forward(job).await,
            Err((refusal, after)) => self.refuse(&attempt, refusal, after, arrived),
        }
    }

    fn refuse(
        &self,
        attempt: &str,
        refusal: Refusal,
        after: Option<Duration>,
        arrived: Duration,
    ) -> Response<ReplyBody> {
        let now = self.clock.now();
        info!(
            "event=refused request={attempt} reason={} version={} proof_age_ms={:?} after_ms={}",
            refusal.code(),
            self.config.version(),
            self.config.proof_age(now).map(|age| age.as_millis()),
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
    ) -> Result<Job, (Refusal, Option<Duration>)> {
        const SOON: Option<Duration> = Some(Duration::from_millis(300));
        let catalog = self.config.current().ok_or((Refusal::Starting, SOON))?;
        let route = catalog
            .route(&head.host, parts.uri.path())
            .ok_or_else(|| self.stale_or(Refusal::NoRoute))?;
        let workspace = if catalog.routes[route].public || !catalog.guarded {
            None
        } else {
            let key = head.key.as_deref().and_then(|key| catalog.workspace(key));
            let workspace = key.ok_or_else(|| self.stale_or(Refusal::UnknownKey))?;
            if !self.is_proved() {
                return Err((Refusal::Unproved, SOON));
            }
            Some(catalog.workspaces[workspace].name.clone())
        };
        let allowed = catalog.routes[route].timeout;
        let left = head.left.unwrap_or(DEADLINE_DEFAULT).min(allowed);
        let deadline = arrived + left;
        let body = self.read_body(body, catalog.limits.body, left).await?;
        let targets = &catalog.routes[route].targets;
        let target = pick_target(targets, rand::random());
        let service = target.map(|target| target.service.clone()).unwrap_or_default();
        let attempts = Attempts::new(&catalog.routes[route]);
        Ok(Job {
            parts,
            head,
            body,
            catalog,
            route,
            workspace,
            service,
            arrived,
            deadline,
            attempts,
            tried: SmallVec::new(),
            trace: String::new(),
        })
    }

    /// A denial, or a refusal while a newer configuration may allow the request.
    fn stale_or(&self, denial: Refusal) -> (Refusal, Option<Duration>) {
        if self.is_proved() {
            (denial, None)
        } else {
            (Refusal::Unproved, Some(Duration::from_millis(300)))
        }
    }

    fn is_proved(&self) -> bool {
        let age = self.config.proof_age(self.clock.now());
        age.is_some_and(|age| age <= self.settings.proof_age_max())
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        left: Duration,
    ) -> Result<Bytes, (Refusal, Option<Duration>)> {
        if hyper::body::Body::is_end_stream(&body) {
            return Ok(Bytes::new());
        }
        match timeout(left, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err((Refusal::LargeBody, None))
            }
            Ok(Err(_)) => Err((Refusal::BadHead, None)),
            Err(_) => Err((Refusal::SlowBody, None)),
        }
    }

    async fn forward(&self, mut job: Job) -> Response<ReplyBody> {
        let window = self.settings.get().window;
        self.lock_budget().note_request(&job.service, window, job.arrived);
        let outcome = self.try_endpoints(&mut job).await;
        match outcome {
            Outcome::Answer(response, status) => {
                self.log_end(&job, "answered", status);
                response
            }
            Outcome::Refused(refusal, after) => {
                self.log_end(&job, refusal.code(), refusal.status().as_u16());
                refusal.response(&job.head.attempt, after)
            }
        }
    }

    fn log_end(&self, job: &Job, result: &str, status: u16) {
        let now = self.clock.now();
        info!(
            "event=request request={} route={} service={} workspace={} result={result} \
             status={status} sends=[{}] version={} proof_age_ms={} took_ms={}",
            job.head.attempt,
            job.route().name,
            job.service,
            job.workspace.as_deref().unwrap_or("-"),
            job.trace.trim_end(),
            job.catalog.version,
            self.config.proof_age(now).map_or(-1, |age| age.as_millis() as i64),
            now.saturating_sub(job.arrived).as_millis()
        );
    }

    async fn try_endpoints(&self, job: &mut Job) -> Outcome {
        loop {
            let now = self.clock.now();
            if now >= job.deadline {
                return Outcome::Refused(self.expired(job), None);
            }
            let chosen = self.endpoints.choose(&job.service, &job.tried, job.prompt(), now);
            let Some(chosen) = chosen else {
                let refusal = if job.attempts.may_have_run() {
                    Refusal::MayHaveRun
                } else {
                    Refusal::NoEndpoint
                };
                return Outcome::Refused(refusal, Some(Duration::from_millis(500)));
            };
            let last = job.head.last_event;
            let end = match self.send(job, &chosen, None).await {
                Ok(Sent::Whole(whole)) => match self.judge(job, whole) {
                    Ok(outcome) => return outcome,
                    Err(failed) => *failed,
                },
                Ok(Sent::Started(started)) => return self.start_stream(job, *started, last),
                Err(end) => (end, None),
            };
            if let Some(outcome) = self.next(job, end.0, end.1) {
                return outcome;
            }
        }
    }

    /// Decides what follows a send without an answer; `None` to send once more.
    fn next(&self, job: &mut Job, end: SendEnd, whole: Option<Whole>) -> Option<Outcome> {
        let now = self.clock.now();
        let before = job.attempts.arrivals();
        let affordable = now < job.deadline;
        let next = job.attempts.note(end, affordable);
        let counted = end != SendEnd::NotSent || before > 0;
        let entries = self.peers.live_count(now);
        let next = match next {
            // Only what follows a request that arrived counts as a repeat.
            Next::Again if counted && !self.take_repeat(&job.service, entries, now) => {
                job.trace.push_str("no_budget ");
                match (end, whole.is_some(), job.attempts.may_have_run()) {
                    (SendEnd::Failed, true, _) => Next::Deliver,
                    (_, _, true) => Next::Unknown,
                    _ => Next::Refuse,
                }
            }
            next => next,
        };
        match (next, whole) {
            (Next::Again, _) => None,
            (Next::Deliver, Some(whole)) => Some(deliver(whole)),
            (Next::Deliver | Next::Unknown, _) => Some(Outcome::Refused(Refusal::MayHaveRun, None)),
            (Next::Refuse, _) => {
                Some(Outcome::Refused(Refusal::TurnedAway, Some(Duration::from_millis(250))))
            }
        }
    }

    fn expired(&self, job: &Job) -> Refusal {
        if job.attempts.may_have_run() {
            Refusal::TimedOut
        } else {
            Refusal::Expired
        }
    }

    /// Decides whether a whole answer goes to the caller.
    fn judge(&self, job: &Job, whole: Whole) -> Result<Outcome, Box<(SendEnd, Option<Whole>)>> {
        let status = whole.parts.status;
        if status.is_server_error() && job.route().is_idempotent() {
            return Err(Box::new((SendEnd::Failed, Some(whole))));
        }
        Ok(deliver(whole))
    }

    /// Sends a request to one endpoint.
    async fn send(
        &self,
        job: &mut Job,
        chosen: &Chosen,
        last_event: Option<u64>,
    ) -> Result<Sent, SendEnd> {
        let started = self.clock.now();
        job.tried.push(chosen.key);
        let result = self.exchange(job, chosen, last_event).await;
        let now = self.clock.now();
        let took = now.saturating_sub(started).as_millis();
        let word = match &result {
            Ok(_) => "ok".to_string(),
            Err((end, reason)) => format!("{end:?}({})", reason.replace([' ', ']'], "_")),
        };
        job.trace.push_str(&format!(
            "{}:{word}:load={}/{}:ms={took} ",
            chosen.name, chosen.work.requests, chosen.candidates
        ));
        result.map_err(|(end, _)| end)
    }

    async fn exchange(
        &self,
        job: &Job,
        chosen: &Chosen,
        last_event: Option<u64>,
    ) -> Result<Sent, (SendEnd, String)> {
        let lease =
            Lease { endpoints: self.endpoints.clone(), key: chosen.key, prompt: job.prompt() };
        let idempotent = job.route().is_idempotent();
        let channel = self.open_channel(chosen).await?;
        let now = self.clock.now();
        let left = job.deadline.saturating_sub(now);
        let dispatch = Dispatch {
            endpoint: &chosen.name,
            workspace: job.workspace.as_deref(),
            left,
            last_event,
            priority: None,
        };
        let request = encode_request(&job.parts, job.body.clone(), &dispatch)
            .map_err(|error| (SendEnd::NotSent, error.to_string()))?;
        let patience = if idempotent && job.route().kind == RouteKind::Safe {
            left.min(job.route().target * PATIENCE_TARGETS)
        } else {
            left
        };
        let answer = self.read_answer(job, channel, lease, request);
        match timeout(patience, answer).await {
            Ok(result) => {
                if let Err((SendEnd::MayHaveRun, _)) = &result {
                    self.endpoints.fail(chosen.key, self.clock.now());
                }
                result
            }
            Err(_) => {
                self.endpoints.fail(chosen.key, self.clock.now());
                Err((SendEnd::MayHaveRun, "no_answer_in_time".to_string()))
            }
        }
    }

    async fn open_channel(&self, chosen: &Chosen) -> Result<Channel, (SendEnd, String)> {
        if let Some(channel) = self.endpoints.take_idle(chosen.key, self.clock.now()) {
            return Ok(channel);
        }
        match Channel::connect(chosen.address, ENDPOINT_LIVENESS).await {
            Ok(channel) => Ok(channel),
            Err(error) => {
                self.endpoints.fail(chosen.key, self.clock.now());
                Err((SendEnd::NotSent, error.to_string()))
            }
        }
    }

    /// Reads a whole answer, or a stream up to its first event.
    async fn read_answer(
        &self,
        job: &Job,
        mut channel: Channel,
        mut lease: Lease,
        request: Request<http_body_util::Full<Bytes>>,
    ) -> Result<Sent, (SendEnd, String)> {
        let response = match channel.send(request).await {
            Ok(response) => response,
            Err(ChannelError::NotSent(reason)) => return Err((SendEnd::NotSent, reason)),
            Err(ChannelError::Broken(reason)) => return Err((SendEnd::MayHaveRun, reason)),
        };
        let (parts, body) = response.into_parts();
        let reply = decode_reply(&parts);
        if reply.attempt.as_deref() != Some(job.head.attempt.as_str()) {
            if reply.not_run && reply.attempt.is_none() {
                return Err(self.note_not_run(&lease, &reply));
            }
            return Err((SendEnd::MayHaveRun, "another_attempt".to_string()));
        }
        if reply.not_run || reply.status == 421 {
            return Err(self.note_not_run(&lease, &reply));
        }
        if reply.encoded || (parts.status.is_success() && !reply.stamped) {
            return Err((SendEnd::MayHaveRun, "not_the_endpoints_body".to_string()));
        }
        if reply.events && parts.status.is_success() {
            let opened = Opened { channel, lease, reply, parts, body };
            return self.read_first(opened).await;
        }
        lease.answered();
        let collected = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let body = collected.map_err(|error| (SendEnd::MayHaveRun, error.to_string()))?.to_bytes();
        self.endpoints.succeed(lease.key);
        if !reply.closing {
            self.endpoints.give_idle(lease.key, channel, reply.idle, self.clock.now());
        }
        Ok(Sent::Whole(Whole { parts, body }))
    }

    /// Notes that an endpoint did not run a request.
    fn note_not_run(&self, lease: &Lease, reply: &ReplyHead) -> (SendEnd, String) {
        if reply.status == 421 {
            self.endpoints.bar(lease.key);
        }
        (SendEnd::NotRun, format!("status_{}", reply.status))
    }

    async fn read_first(&self, mut opened: Opened) -> Result<Sent, (SendEnd, String)> {
        let mut buffer = EventBuffer::default();
        loop {
            match next_bytes(&mut opened.body).await {
                Ok(Some(bytes)) => {
                    if let Some(first) = buffer.push(&bytes) {
                        opened.lease.answered();
                        let first = Some(first);
                        return Ok(Sent::Started(Box::new(Started { opened, buffer, first })));
                    }
                }
                Ok(None) if buffer.is_empty() => {
                    let started = Started { opened, buffer, first: None };
                    return Ok(Sent::Started(Box::new(started)));
                }
                Ok(None) => return Err((SendEnd::MayHaveRun, "partial_event".to_string())),
                Err(reason) => return Err((SendEnd::MayHaveRun, reason)),
            }
        }
    }

    /// Begins to pass a stream on.
    fn start_stream(&self, job: &mut Job, started: Started, last: Option<u64>) -> Outcome {
        let status = started.opened.parts.status;
        let headers = reply_headers(&started.opened.parts);
        let (sender, receiver) = mpsc::channel(PIECES_MAX);
        let first_ms = self.clock.now().saturating_sub(job.arrived).as_millis();
        job.trace.push_str(&format!("first_ms={first_ms} "));
        let job = Job {
            parts: job.parts.clone(),
            head: job.head.clone(),
            body: job.body.clone(),
            catalog: job.catalog.clone(),
            workspace: job.workspace.clone(),
            service: job.service.clone(),
            tried: job.tried.clone(),
            trace: String::new(),
            ..*job
        };
        let stream = Stream { forwarder: self.clone(), job, sender, last, events: 0 };
        tokio::spawn(stream.run(started));
        answer(status.as_u16(), headers, ReplyBody::Events(receiver))
    }

    fn take_repeat(&self, service: &str, entries: usize, now: Duration) -> bool {
        let settings = self.settings.get();
        let (ratio, slack) = (settings.ratio, settings.slack);
        let allowance = Allowance { ratio, slack, window: settings.window };
        self.lock_budget().take(service, allowance, entries, now)
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, RepeatBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that is being passed on.
struct Stream {
    forwarder: Forwarder,
    job: Job,
    sender: mpsc::Sender<Result<Bytes, StreamBroken>>,
    /// Last event that was passed on.
    last: Option<u64>,
    events: u32,
}

/// How passing on one endpoint's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The endpoint broke off.
    Broken(String),
    /// The caller has left.
    Left,
    /// The time ran out.
    Expired,
}

impl Stream {
    async fn run(mut self, started: Started) {
        let mut part = started;
        let result = loop {
            let resumed = part.opened.lease.key;
            match self.pass(part).await {
                PartEnd::Complete => break "complete",
                PartEnd::Left => break "caller_left",
                PartEnd::Expired => {
                    let _ = self.sender.try_send(Err(StreamBroken));
                    break "expired";
                }
                PartEnd::Broken(reason) => {
                    self.forwarder.endpoints.fail(resumed, self.forwarder.clock.now());
                    self.job.trace.push_str(&format!("broken({}) ", reason.replace(' ', "_")));
                    match self.resume().await {
                        Some(next) => part = next,
                        None => {
                            let _ = self.sender.try_send(Err(StreamBroken));
                            break "broken";
                        }
                    }
                }
            }
        };
        let now = self.forwarder.clock.now();
        info!(
            "event=stream_end request={} result={result} events={} last={:?} sends=[{}] took_ms={}",
            self.job.head.attempt,
            self.events,
            self.last,
            self.job.trace.trim_end(),
            now.saturating_sub(self.job.arrived).as_millis()
        );
    }

    /// Passes on what one endpoint sends.
    async fn pass(&mut self, started: Started) -> PartEnd {
        let Started { mut opened, mut buffer, first } = started;
        if let Some(events) = first {
            if !self.give(events).await {
                return PartEnd::Left;
            }
        }
        loop {
            let left = self.job.deadline.saturating_sub(self.forwarder.clock.now());
            let next = tokio::select! {
                next = next_bytes(&mut opened.body) => next,
                () = self.sender.closed() => return PartEnd::Left,
                () = tokio::time::sleep(left) => return PartEnd::Expired,
            };
            match next {
                Ok(Some(bytes)) => {
                    if let Some(events) = buffer.push(&bytes) {
                        if !self.give(events).await {
                            return PartEnd::Left;
                        }
                    }
                    if buffer.is_oversized() {
                        return PartEnd::Broken("event_too_large".to_string());
                    }
                }
                Ok(None) if buffer.is_empty() => {
                    self.forwarder.endpoints.succeed(opened.lease.key);
                    if !opened.reply.closing {
                        let now = self.forwarder.clock.now();
                        let Opened { channel, lease, reply, .. } = opened;
                        self.forwarder.endpoints.give_idle(lease.key, channel, reply.idle, now);
                    }
                    return PartEnd::Complete;
                }
                Ok(None) => return PartEnd::Broken("partial_event".to_string()),
                Err(reason) => return PartEnd::Broken(reason),
            }
        }
    }

    async fn give(&mut self, events: Events) -> bool {
        self.last = events.last.or(self.last);
        self.events += events.count;
        self.sender.send(Ok(events.bytes)).await.is_ok()
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self) -> Option<Started> {
        if !self.job.route().resumable {
            return None;
        }
        let mut end = SendEnd::MayHaveRun;
        loop {
            if self.forwarder.next(&mut self.job, end, None).is_some() {
                return None;
            }
            let now = self.forwarder.clock.now();
            let (service, tried) = (&self.job.service, &self.job.tried);
            let chosen = self.forwarder.endpoints.choose(service, tried, self.job.prompt(), now)?;
            let forwarder = self.forwarder.clone();
            match forwarder.send(&mut self.job, &chosen, self.last).await {
                Ok(Sent::Started(started)) => return Some(*started),
                Ok(Sent::Whole(_)) => end = SendEnd::Failed,
                Err(failed) => end = failed,
            }
        }
    }
}

fn deliver(whole: Whole) -> Outcome {
    let headers = reply_headers(&whole.parts);
    answer(whole.parts.status.as_u16(), headers, ReplyBody::Whole(Some(whole.body)))
}

fn answer(status: u16, headers: HeaderMap, body: ReplyBody) -> Outcome {
    let mut response = Response::new(body);
    if let Ok(code) = hyper::StatusCode::from_u16(status) {
        *response.status_mut() = code;
    }
    *response.headers_mut() = headers;
    Outcome::Answer(response, status)
}

/// The next bytes of a body; `None` at its end.
async fn next_bytes(body: &mut Incoming) -> Result<Option<Bytes>, String> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(error.to_string()),
            Some(Ok(frame)) => {
                if let Ok(bytes) = frame.into_data() {
                    return Ok(Some(bytes));
                }
            }
        }
    }
}
