//! One send of a request to one endpoint, up to a whole answer or the first event of a stream.

use std::time::Duration;

use bw_adapter::requests::decode_reply;
use bw_adapter::requests::encode_request;
use bw_adapter::requests::Dispatch;
use bw_direct::attempts::SendEnd;
use bw_direct::catalog::RouteKind;
use bw_direct::events::EventBuffer;
use bw_direct::events::Events;
use bw_direct::request::ReplyHead;
use bw_http::Channel;
use bw_http::ChannelError;
use bw_http::Liveness;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::Request;
use tokio::time::timeout;

use super::job::Job;
use super::Forwarder;
use crate::waiting::Placement;

/// Largest answer that is not a stream of events, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1_048_576;
/// Time to an idempotent answer, in target latencies, after which another endpoint is asked.
const PATIENCE_TARGETS: u32 = 4;
/// Status of an endpoint that is not the one that was meant.
const MISDIRECTED: u16 = 421;
/// How dead connections to endpoints are found.
const ENDPOINT_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(400),
    unacknowledged: Duration::from_millis(3_000),
    probe: Duration::from_millis(1_000),
};

/// An answer whose head has arrived.
pub struct Opened {
    /// Its connection.
    pub channel: Channel,
    /// Its endpoint.
    pub placed: Placement,
    /// What was read from the head.
    pub reply: ReplyHead,
    /// The head as it came.
    pub parts: response::Parts,
    /// Its body.
    pub body: Incoming,
}

/// A whole answer.
pub struct Whole {
    /// Its head as it came.
    pub parts: response::Parts,
    /// Its body.
    pub body: Bytes,
}

/// The start of a stream.
pub struct Started {
    /// The answer.
    pub opened: Opened,
    /// Bytes of an unfinished event.
    pub buffer: EventBuffer,
    /// The first events; `None` for an empty stream.
    pub first: Option<Events>,
}

/// What a send brought.
pub enum Sent {
    /// A whole answer.
    Whole(Whole),
    /// The start of a stream.
    Started(Box<Started>),
}

/// Why a send brought no answer.
pub struct Failure {
    /// What it means for the request.
    pub end: SendEnd,
    /// What happened.
    pub reason: String,
    /// Whether another endpoint had the address.
    misdirected: bool,
    /// Whether the connection broke while the request may have been running.
    broke: bool,
}

impl Failure {
    fn new(end: SendEnd, reason: impl Into<String>) -> Self {
        Self { end, reason: reason.into(), misdirected: false, broke: false }
    }

    /// The connection broke while the request may have been running.
    fn broke(reason: impl Into<String>) -> Self {
        Self { broke: true, ..Self::new(SendEnd::MayHaveRun, reason) }
    }
}

impl Forwarder {
    /// Sends a request to the endpoint that it was given.
    pub(super) async fn send(
        &self,
        job: &mut Job,
        mut placed: Placement,
        last_event: Option<u64>,
    ) -> Result<Sent, SendEnd> {
        let started = self.clock.now();
        let key = placed.chosen.key;
        job.tried.push(key);
        let result = self.exchange(job, &mut placed, last_event).await;
        let took = self.clock.now().saturating_sub(started);
        let end = result.as_ref().err().map(|failure| failure.end);
        self.metrics.record_send(&job.service, end, placed.waited);
        match result {
            Ok((channel, response)) => {
                job.note_send(&placed, Ok(()), took);
                Ok(match response {
                    Response::Whole(whole) => {
                        self.suspects.clear(job.fingerprint);
                        self.keep_channel(&placed, &decode_reply(&whole.parts), channel);
                        Sent::Whole(whole)
                    }
                    Response::Started { reply, parts, body, buffer, first } => {
                        let opened = Opened { channel, placed, reply, parts, body };
                        Sent::Started(Box::new(Started { opened, buffer, first }))
                    }
                })
            }
            Err(failure) => {
                job.note_send(&placed, Err((failure.end, &failure.reason)), took);
                // Nothing speaks against an endpoint that is another one by now.
                if !failure.misdirected {
                    self.endpoints.record_failure(key, self.clock.now());
                }
                if failure.broke {
                    self.suspects.record_broken(&placed.chosen, job.fingerprint);
                }
                Err(failure.end)
            }
        }
    }

    async fn exchange(
        &self,
        job: &Job,
        placed: &mut Placement,
        last_event: Option<u64>,
    ) -> Result<(Channel, Response), Failure> {
        let mut channel = self.open_channel(placed).await?;
        let left = job.deadline.saturating_sub(self.clock.now());
        let dispatch = Dispatch {
            endpoint: &placed.chosen.name,
            workspace: job.workspace.as_deref(),
            remaining: left,
            last_event,
            priority: None,
        };
        let request = encode_request(&job.parts, job.body.clone(), &dispatch)
            .map_err(|error| Failure::new(SendEnd::NotSent, error.to_string()))?;
        let patience = match job.route().kind {
            RouteKind::Safe => left.min(job.route().target * PATIENCE_TARGETS),
            RouteKind::Unsafe | RouteKind::Streaming => left,
        };
        let answer = self.read_answer(job, &mut channel, placed, request);
        match timeout(patience, answer).await {
            Ok(response) => response.map(|response| (channel, response)),
            Err(_) => Err(Failure::new(SendEnd::MayHaveRun, "no answer in time")),
        }
    }

    async fn open_channel(&self, placed: &Placement) -> Result<Channel, Failure> {
        let key = placed.chosen.key;
        if let Some(channel) = self.endpoints.take_idle(key, self.clock.now()) {
            return Ok(channel);
        }
        match Channel::connect(placed.chosen.address, ENDPOINT_LIVENESS).await {
            Ok(channel) => Ok(channel),
            Err(error) => Err(Failure::new(SendEnd::NotSent, error.to_string())),
        }
    }

    /// Reads a whole answer, or a stream up to its first event.
    async fn read_answer(
        &self,
        job: &Job,
        channel: &mut Channel,
        placed: &mut Placement,
        request: Request<Full<Bytes>>,
    ) -> Result<Response, Failure> {
        let response = match channel.send(request).await {
            Ok(response) => response,
            Err(ChannelError::NotSent(reason)) => {
                return Err(Failure::new(SendEnd::NotSent, reason))
            }
            Err(ChannelError::Broken(reason)) => return Err(Failure::broke(reason)),
        };
        let (parts, body) = response.into_parts();
        let reply = decode_reply(&parts);
        self.check_reply(job, placed, &reply)?;
        if reply.events && parts.status.is_success() {
            return read_first(placed, reply, parts, body).await;
        }
        placed.mark_answered();
        let collected = Limited::new(body, ANSWER_BYTES_MAX).collect().await;
        let collected = collected.map_err(|error| Failure::broke(error.to_string()))?;
        if parts.status.is_server_error() {
            self.endpoints.record_failure(placed.chosen.key, self.clock.now());
        } else {
            self.endpoints.record_success(placed.chosen.key, self.clock.now());
        }
        Ok(Response::Whole(Whole { parts, body: collected.to_bytes() }))
    }

    /// Checks that an answer belongs to the request and says that it ran.
    fn check_reply(&self, job: &Job, placed: &Placement, reply: &ReplyHead) -> Result<(), Failure> {
        let own = reply.attempt.as_deref() == Some(job.head.attempt.as_str());
        let other = reply.attempt.is_some() && !own;
        let not_run = reply.not_run || reply.status == MISDIRECTED;
        if not_run && !other {
            let misdirected = reply.status == MISDIRECTED;
            if misdirected {
                self.endpoints.disable(placed.chosen.key);
            }
            let reason = format!("status {}", reply.status);
            return Err(Failure { misdirected, ..Failure::new(SendEnd::NotRun, reason) });
        }
        if !own {
            return Err(Failure::new(SendEnd::MayHaveRun, "answer to another attempt"));
        }
        let success = (200..300).contains(&reply.status);
        if reply.encoded || (success && !reply.stamped) {
            return Err(Failure::new(SendEnd::MayHaveRun, "not the endpoint's body"));
        }
        Ok(())
    }

    /// Keeps the connection of a finished answer for the next request.
    pub(super) fn keep_channel(&self, placed: &Placement, reply: &ReplyHead, channel: Channel) {
        if !reply.closing {
            let now = self.clock.now();
            self.endpoints.put_idle(placed.chosen.key, channel, reply.idle, now);
        }
    }
}

/// An answer while its connection is still at hand.
enum Response {
    Whole(Whole),
    Started {
        reply: ReplyHead,
        parts: response::Parts,
        body: Incoming,
        buffer: EventBuffer,
        first: Option<Events>,
    },
}

async fn read_first(
    placed: &mut Placement,
    reply: ReplyHead,
    parts: response::Parts,
    mut body: Incoming,
) -> Result<Response, Failure> {
    let mut buffer = EventBuffer::default();
    let first = loop {
        match next_bytes(&mut body).await {
            Ok(Some(bytes)) => {
                if let Some(first) = buffer.push(&bytes) {
                    break Some(first);
                }
            }
            Ok(None) if buffer.is_empty() => break None,
            Ok(None) => return Err(Failure::broke("partial event")),
            Err(reason) => return Err(Failure::broke(reason)),
        }
    };
    placed.mark_answered();
    Ok(Response::Started { reply, parts, body, buffer, first })
}

/// The next bytes of a body; `None` at its end.
pub async fn next_bytes(body: &mut Incoming) -> Result<Option<Bytes>, String> {
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
