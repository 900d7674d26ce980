//! Sending of a request to one endpoint, up to a whole answer or the first events of a stream.

use std::time::Duration;

use bw_adapter::requests::decode_reply;
use bw_adapter::requests::encode_request;
use bw_adapter::requests::DispatchHead;
use bw_direct::attempts::SendEnd;
use bw_direct::catalog::RouteKind;
use bw_direct::events::EventBuffer;
use bw_direct::events::Events;
use bw_direct::request::ReplyHead;
use bw_direct::request::MISDIRECTED;
use bw_http::Channel;
use bw_http::ChannelBody;
use bw_http::ChannelError;
use bw_http::Liveness;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::http::response;
use hyper::Request;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;

use super::job::Job;
use super::Forwarder;
use super::BODY_UNIT;
use crate::waiting::PlacedRequest;

/// Maximum size in bytes of the body of an answer that is not a stream of events.
const ANSWER_BYTES_MAX: usize = 16 * 1_048_576;
/// Time, in target latencies of the route, after which an idempotent request without an answer is
/// sent to another endpoint.
const ANSWER_TIMEOUT_TARGETS: u32 = 4;
/// Greatest age of what the runtime knows of the callers' connections when a request is sent. Other
/// work may keep a gateway busy for longer, and callers leave meanwhile.
const CALLER_AGE_MAX: Duration = Duration::from_millis(200);
/// Times that a send waits for the runtime to learn which callers have left, so that a gateway that is
/// always busy still sends requests.
const CALLER_CHECKS_MAX: u32 = 3;
/// Reason, in logs, of the end of a stream whose next event exceeds the accepted size.
pub const EVENT_TOO_LARGE: &str = "event too large";
/// Timeouts that detect dead connections to endpoints.
const ENDPOINT_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(3_000),
    probe: Duration::from_millis(1_000),
};

/// An answer whose head was received and whose body is still to be read.
pub struct OpenAnswer {
    /// Connection that carries the body.
    pub channel: Channel,
    /// Slot at the endpoint, occupied until the body ends.
    pub placed: PlacedRequest,
    /// Decoded head.
    pub reply: ReplyHead,
    /// Head as received.
    pub parts: response::Parts,
    /// Remaining body.
    pub body: ChannelBody,
}

/// An answer that was received completely.
pub struct WholeAnswer {
    /// Head as received.
    pub parts: response::Parts,
    /// Complete body.
    pub body: Bytes,
}

/// A stream of events, received up to its first events.
pub struct StartedStream {
    /// Answer that carries the stream.
    pub opened: OpenAnswer,
    /// Buffer with the bytes of an incomplete event.
    pub buffer: EventBuffer,
    /// First events; `None` for an empty stream.
    pub first: Option<Events>,
}

/// Answer of an endpoint to a request: complete, or with the connection that carries the rest.
pub enum EndpointAnswer {
    /// The answer was received completely.
    Whole(WholeAnswer),
    /// The answer is a stream of events that has started.
    Started(Box<StartedStream>),
}

/// Reason why a send ended without an answer.
pub struct SendFailure {
    /// Class of the failure: whether the request was sent, and whether it may have run.
    pub end: SendEnd,
    /// Description for the log.
    pub reason: String,
    /// Whether the failure says nothing about the health of the endpoint.
    blameless: bool,
    /// Whether the connection broke while the request may have been running.
    broken: bool,
}

impl SendFailure {
    fn new(end: SendEnd, reason: impl Into<String>) -> Self {
        Self { end, reason: reason.into(), blameless: false, broken: false }
    }

    /// Returns the failure of a connection that broke while the request may have been running.
    fn broken(reason: impl Into<String>) -> Self {
        Self { broken: true, ..Self::new(SendEnd::MayHaveRun, reason) }
    }
}

impl Forwarder {
    /// Sends a request to the endpoint that it was placed at, and records the result for the log,
    /// the metrics, the endpoint's health and the evidence against the request.
    pub(super) async fn send(
        &self,
        job: &mut Job,
        mut placed: PlacedRequest,
        last_event: Option<u64>,
    ) -> Result<EndpointAnswer, SendEnd> {
        self.check_callers().await;
        let sent_at = self.clock.now();
        let key = placed.chosen.key;
        // It may have been quarantined while it waited.
        if self.is_quarantined(job) {
            return Err(SendEnd::NotSent);
        }
        if let Some(bar) = self.endpoints.bar_to_send(key, sent_at) {
            job.append_trace(&format!("{}:{bar}", placed.chosen.name));
            return Err(SendEnd::NotSent);
        }
        if let Some(retry) = &mut job.retry {
            if !retry.is_covered() {
                job.retry = None;
                job.append_trace("retry_not_covered");
                return Err(SendEnd::NotSent);
            }
            retry.set_sent(true);
        }
        job.tried.push(key);
        job.set_priority(last_event, self.waiting.answer_time(&job.service), sent_at);
        let result = self.exchange(job, &mut placed, last_event).await;
        match (&mut job.retry, &result) {
            (Some(retry), Err(failure)) if failure.end == SendEnd::NotSent => retry.set_sent(false),
            _ => job.retry = None,
        }
        let took = self.clock.now().saturating_sub(sent_at);
        let end = result.as_ref().err().map(|failure| failure.end);
        self.metrics.record_send(&job.service, end, placed.waited);
        self.metrics.record_priority(&job.service, job.priority);
        self.metrics.record_slot(&job.service, placed.chosen.slot_kind);
        match result {
            Ok((channel, answer)) => {
                job.record_send(&placed, Ok(()), took);
                Ok(match answer {
                    ReceivedAnswer::Whole(whole) => {
                        // A failure does not show that the request is sound.
                        if !whole.parts.status.is_server_error() {
                            self.suspects.clear(&job.fingerprints);
                        }
                        if whole.parts.status.is_success() {
                            self.suspects.clear_parts(&job.head);
                        }
                        self.keep_channel(&placed, &decode_reply(&whole.parts), channel);
                        EndpointAnswer::Whole(whole)
                    }
                    ReceivedAnswer::Started(stream) => {
                        let ReceivedStream { reply, parts, body, buffer, first } = *stream;
                        let opened = OpenAnswer { channel, placed, reply, parts, body };
                        EndpointAnswer::Started(Box::new(StartedStream { opened, buffer, first }))
                    }
                })
            }
            Err(failure) => {
                job.record_send(&placed, Err((failure.end, &failure.reason)), took);
                if !failure.blameless {
                    self.endpoints.record_failure(key, self.clock.now());
                }
                if failure.broken {
                    self.suspects.record_broken(&placed.chosen, &job.head, job.fingerprints);
                }
                Err(failure.end)
            }
        }
    }

    /// Lets the runtime learn from the system which callers have closed their connections. The
    /// connection of a caller that has left drops the request, which waits here, before it is sent.
    async fn check_callers(&self) {
        for _ in 0..CALLER_CHECKS_MAX {
            let asked_at = self.clock.now();
            // The runtime resumes a task that yields after it has polled the connections. The yield
            // is in a task of its own, since the caller's connection may poll this one again at once.
            // The task cannot fail.
            let _ = tokio::spawn(tokio::task::yield_now()).await;
            if self.clock.now().saturating_sub(asked_at) <= CALLER_AGE_MAX {
                return;
            }
        }
    }

    async fn exchange(
        &self,
        job: &Job,
        placed: &mut PlacedRequest,
        last_event: Option<u64>,
    ) -> Result<(Channel, ReceivedAnswer), SendFailure> {
        let mut channel = self.open_channel(placed).await?;
        let remaining = job.deadline.saturating_sub(self.clock.now());
        let head = DispatchHead {
            endpoint: &placed.chosen.name,
            workspace: job.workspace_name(),
            remaining,
            last_event,
            priority: job.priority,
        };
        // The endpoint may have said something else on another connection meanwhile.
        let (key, placed_at) = (placed.chosen.key, placed.placed_at());
        if let Some(bar) = self.endpoints.confirm_send(key, placed_at, self.clock.now()) {
            let failure = SendFailure::new(SendEnd::NotSent, bar.to_string());
            return Err(SendFailure { blameless: true, ..failure });
        }
        let request = encode_request(&job.parts, job.body.clone(), &head)
            .map_err(|error| SendFailure::new(SendEnd::NotSent, error.to_string()))?;
        let answer_timeout = match job.route().kind {
            RouteKind::Safe => remaining.min(job.route().target * ANSWER_TIMEOUT_TARGETS),
            RouteKind::Unsafe | RouteKind::Streaming => remaining,
        };
        let answer = self.read_answer(job, &mut channel, placed, request);
        let answered = tokio::select! {
            answered = timeout(answer_timeout, answer) => answered,
            () = self.drain.over() => {
                let failure = SendFailure::new(SendEnd::MayHaveRun, "the gateway is stopping");
                return Err(SendFailure { blameless: true, ..failure });
            }
        };
        match answered {
            Ok(result) => result.map(|answer| (channel, answer)),
            Err(_) => Err(SendFailure::new(SendEnd::MayHaveRun, "no answer in time")),
        }
    }

    async fn open_channel(&self, placed: &PlacedRequest) -> Result<Channel, SendFailure> {
        let key = placed.chosen.key;
        if let Some(channel) = self.endpoints.take_idle(key, self.clock.now()) {
            return Ok(channel);
        }
        match Channel::connect(placed.chosen.address, ENDPOINT_LIVENESS).await {
            Ok(channel) => Ok(channel),
            Err(error) => {
                if matches!(error, ChannelError::Refused(_)) {
                    self.endpoints.record_refused(key, self.clock.now());
                }
                Err(SendFailure::new(SendEnd::NotSent, error.to_string()))
            }
        }
    }

    /// Sends `request` and reads a whole answer, or a stream up to its first events.
    async fn read_answer(
        &self,
        job: &Job,
        channel: &mut Channel,
        placed: &mut PlacedRequest,
        request: Request<Full<Bytes>>,
    ) -> Result<ReceivedAnswer, SendFailure> {
        let sent_at = self.clock.now();
        let first = !channel.is_used();
        let response = match channel.send(request).await {
            Ok(response) => response,
            Err(ChannelError::NotSent(reason) | ChannelError::Refused(reason)) => {
                return Err(SendFailure::new(SendEnd::NotSent, reason))
            }
            Err(ChannelError::Broken(reason)) => return Err(SendFailure::broken(reason)),
        };
        let (parts, body) = response.into_parts();
        let reply = decode_reply(&parts);
        if let Some(statement) = reply.limit_statement(&job.head.attempt) {
            self.endpoints.record_limit(placed.chosen.key, statement, sent_at, self.clock.now());
        }
        // At an address that is used again, another endpoint speaks for itself.
        if reply.status != MISDIRECTED {
            self.endpoints.record_alive(placed.chosen.key, self.clock.now());
        }
        if reply.status != MISDIRECTED
            && self.endpoints.record_notices(placed.chosen.key, &reply, self.clock.now())
        {
            self.waiting.reject_unserved(&job.service);
        }
        self.check_reply(job, placed, &reply, first)?;
        if reply.events && parts.status.is_success() {
            return read_first_events(placed, reply, parts, body).await;
        }
        placed.start_answer();
        let (body, _memory) = self.read_body_whole(body).await?;
        if parts.status.is_server_error() {
            self.endpoints.record_failure(placed.chosen.key, self.clock.now());
        } else {
            self.endpoints.record_success(placed.chosen.key, self.clock.now());
        }
        Ok(ReceivedAnswer::Whole(WholeAnswer { parts, body }))
    }

    /// Reads a body to its end, with the memory that it occupies while it is read.
    async fn read_body_whole(
        &self,
        mut body: ChannelBody,
    ) -> Result<(Bytes, Option<OwnedSemaphorePermit>), SendFailure> {
        let mut bytes = BytesMut::new();
        let mut memory: Option<OwnedSemaphorePermit> = None;
        while let Some(part) = next_bytes(&mut body).await.map_err(SendFailure::broken)? {
            if bytes.len() + part.len() > ANSWER_BYTES_MAX {
                return Err(SendFailure::broken("answer too large"));
            }
            let units = part.len().div_ceil(BODY_UNIT) as u32;
            let permit = self.answer_memory.clone().try_acquire_many_owned(units);
            let permit = permit.map_err(|_| SendFailure::broken("no memory for the answer"))?;
            match &mut memory {
                Some(memory) => memory.merge(permit),
                None => memory = Some(permit),
            }
            bytes.extend_from_slice(&part);
        }
        Ok((bytes.freeze(), memory))
    }

    /// Checks that an answer belongs to the request and that the endpoint ran the request. `first` tells
    /// whether it is the first answer on its connection.
    fn check_reply(
        &self,
        job: &Job,
        placed: &PlacedRequest,
        reply: &ReplyHead,
        first: bool,
    ) -> Result<(), SendFailure> {
        let same_attempt = reply.attempt.as_deref() == Some(job.head.attempt.as_str());
        if reply.refuses(&job.head.attempt, first) {
            // Another endpoint uses the address now.
            let blameless = reply.status == MISDIRECTED;
            if blameless {
                self.endpoints.disable(placed.chosen.key);
            }
            let reason = format!("status {}", reply.status);
            return Err(SendFailure { blameless, ..SendFailure::new(SendEnd::NotRun, reason) });
        }
        if !same_attempt {
            let reason = if reply.is_refusal() {
                "refusal of another attempt"
            } else {
                "answer to another attempt"
            };
            return Err(SendFailure::new(SendEnd::MayHaveRun, reason));
        }
        let success = (200..300).contains(&reply.status);
        if reply.encoded || (success && !reply.stamped) {
            return Err(SendFailure::new(SendEnd::MayHaveRun, "not the endpoint's body"));
        }
        Ok(())
    }

    /// Keeps the connection of a finished answer for another request, unless the endpoint closes
    /// the connection.
    pub(super) fn keep_channel(&self, placed: &PlacedRequest, reply: &ReplyHead, channel: Channel) {
        if !reply.closing {
            let now = self.clock.now();
            self.endpoints.put_idle(placed.chosen.key, channel, reply.idle, now);
        }
    }
}

/// An answer before it is combined with its connection.
enum ReceivedAnswer {
    Whole(WholeAnswer),
    Started(Box<ReceivedStream>),
}

/// A stream, received up to its first events, before it is combined with its connection.
struct ReceivedStream {
    reply: ReplyHead,
    parts: response::Parts,
    body: ChannelBody,
    buffer: EventBuffer,
    first: Option<Events>,
}

/// Reads a stream up to its first events, or up to its end if it has none.
async fn read_first_events(
    placed: &mut PlacedRequest,
    reply: ReplyHead,
    parts: response::Parts,
    mut body: ChannelBody,
) -> Result<ReceivedAnswer, SendFailure> {
    let mut buffer = EventBuffer::default();
    let first = loop {
        match next_bytes(&mut body).await {
            Ok(Some(bytes)) => {
                if let Some(first) = buffer.push(&bytes) {
                    break Some(first);
                }
                if buffer.is_oversized() {
                    return Err(SendFailure::broken(EVENT_TOO_LARGE));
                }
            }
            Ok(None) if buffer.is_empty() => break None,
            Ok(None) => return Err(SendFailure::broken("partial event")),
            Err(reason) => return Err(SendFailure::broken(reason)),
        }
    };
    placed.start_answer();
    Ok(ReceivedAnswer::Started(Box::new(ReceivedStream { reply, parts, body, buffer, first })))
}

/// Returns the next bytes of a body, or `None` at its end.
///
/// # Errors
/// The text of the connection's error.
pub async fn next_bytes(body: &mut ChannelBody) -> Result<Option<Bytes>, String> {
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
