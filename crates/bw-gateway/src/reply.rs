//! Answers to callers: whole answers, streams of events, and refusals by the gateway.

use std::fmt;
use std::pin::Pin;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bw_adapter::requests::attempt_header;
use bw_http::BusyToken;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::Response;
use hyper::StatusCode;
use tokio::sync::mpsc;

/// Error of a stream that ends before its last event; the error breaks the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream ended before its last event")
    }
}

impl std::error::Error for StreamBroken {}

/// An answer's body that marks its connection as busy until the body is sent or dropped.
#[derive(Debug)]
pub struct GuardedBody {
    body: ReplyBody,
    _busy: BusyToken,
}

impl GuardedBody {
    /// Creates a body that holds `busy` as long as `body`.
    pub fn new(body: ReplyBody, busy: BusyToken) -> Self {
        Self { body, _busy: busy }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Body of an answer.
#[derive(Debug)]
pub enum ReplyBody {
    /// Complete body; `None` once it was sent.
    Whole(Option<Bytes>),
    /// Stream of events, sent as they are received.
    Events(EventReceiver),
}

/// Creates a stream of events to a caller that buffers at most `capacity` batches.
pub fn event_stream(capacity: usize) -> (EventSender, ReplyBody) {
    let (sender, receiver) = mpsc::channel(capacity);
    let complete = Arc::new(AtomicBool::new(false));
    let body = EventReceiver { receiver, complete: complete.clone() };
    (EventSender { sender, complete }, ReplyBody::Events(body))
}

/// Sending half of a stream of events. Dropping it breaks the caller's connection after the buffered
/// events, unless [`Self::finish`] was called.
#[derive(Debug)]
pub struct EventSender {
    sender: mpsc::Sender<Bytes>,
    complete: Arc<AtomicBool>,
}

impl EventSender {
    /// Sends a batch of events; waits while the buffer is full. Returns false if the caller has
    /// disconnected.
    pub async fn send(&self, events: Bytes) -> bool {
        self.sender.send(events).await.is_ok()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }

    /// Ends the stream as complete.
    pub fn finish(self) {
        self.complete.store(true, Ordering::Release);
    }
}

/// Receiving half of a stream of events.
#[derive(Debug)]
pub struct EventReceiver {
    receiver: mpsc::Receiver<Bytes>,
    complete: Arc<AtomicBool>,
}

impl EventReceiver {
    fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, StreamBroken>>> {
        self.receiver.poll_recv(context).map(|next| match next {
            Some(events) => Some(Ok(events)),
            None if self.complete.load(Ordering::Acquire) => None,
            None => Some(Err(StreamBroken)),
        })
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_next(context).map(|next| next.map(|result| result.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Returns whether callers take an answer with this status for a promise that the request has not run and
/// never will.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Reason why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The gateway has no configuration yet.
    Starting,
    /// The gateway cannot prove that its configuration is the newest.
    Unproved,
    /// No endpoint of the service can start the request in time.
    NoEndpoint,
    /// No endpoint has run the request: each one tried rejected it or could not be reached.
    AllRejected,
    /// The deadline passed, and the request has not run.
    Expired,
    /// The head has no host or repeats a header that may occur once, or the connection broke before
    /// the body was received.
    BadHead,
    /// No route of the host has a prefix of the path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
    /// The body exceeds the size limit.
    LargeBody,
    /// The body was not received in time.
    SlowBody,
    /// An endpoint failed, and it may have run the request.
    MayHaveRun,
    /// The deadline passed, and an endpoint may have run the request.
    TimedOut,
    /// The memory for request bodies is exhausted.
    Overloaded,
    /// The request has crashed too many endpoints.
    Quarantined,
    /// The gateway is stopping, and may end before the request does.
    Stopping,
}

impl Refusal {
    /// Returns the reason code in logs, metrics and answers.
    pub fn code(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Unproved => "configuration_unproved",
            Self::NoEndpoint => "no_endpoint",
            Self::AllRejected => "turned_away",
            Self::Expired => "expired",
            Self::BadHead => "bad_head",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::LargeBody => "body_too_large",
            Self::SlowBody => "body_too_slow",
            Self::MayHaveRun => "may_have_run",
            Self::TimedOut => "timed_out",
            Self::Overloaded => "overloaded",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
        }
    }

    /// Returns the HTTP status. The statuses 429, 503, 408 and 421 state that the request has not
    /// run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Starting
            | Self::Unproved
            | Self::NoEndpoint
            | Self::AllRejected
            | Self::Expired
            | Self::Overloaded
            | Self::Quarantined
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the answer to the caller, with a `Retry-After` header in seconds if `retry_after` is
    /// given.
    pub fn response(self, attempt: &str, retry_after: Option<Duration>) -> Response<ReplyBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.code());
        let mut response = Response::new(ReplyBody::Whole(Some(Bytes::from(text))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(after) = retry_after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        if let Some((name, value)) = attempt_header(attempt) {
            headers.insert(name, value);
        }
        response
    }
}
