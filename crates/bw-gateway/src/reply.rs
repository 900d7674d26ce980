//! Answers to callers: whole ones, streams of events, and the gateway's own.

use std::fmt;
use std::pin::Pin;
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

/// A stream that ends before its last event; the caller's connection breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBroken;

impl fmt::Display for StreamBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the stream could not be brought to its end")
    }
}

impl std::error::Error for StreamBroken {}

/// An answer's body with what is held until it is sent.
#[derive(Debug)]
pub struct HeldBody {
    body: ReplyBody,
    _busy: BusyToken,
}

impl HeldBody {
    /// Holds `busy` until `body` is sent or given up.
    pub fn new(body: ReplyBody, busy: BusyToken) -> Self {
        Self { body, _busy: busy }
    }
}

impl Body for HeldBody {
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
    /// All of it.
    Whole(Option<Bytes>),
    /// Events as they come.
    Events(mpsc::Receiver<Result<Bytes, StreamBroken>>),
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
                events.poll_recv(context).map(|next| next.map(|result| result.map(Frame::data)))
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

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Starting,
    /// It cannot be proved that the configuration is the newest.
    Unproved,
    /// No endpoint of the service can take the request.
    NoEndpoint,
    /// Every endpoint that was asked turned the request away.
    TurnedAway,
    /// The time ran out before the request was sent.
    Expired,
    /// The head names no host, or doubles what may stand once.
    BadHead,
    /// No route begins the path.
    NoRoute,
    /// No workspace holds the key.
    UnknownKey,
    /// The body is larger than allowed.
    LargeBody,
    /// The body did not arrive in time.
    SlowBody,
    /// The endpoint failed while it may have run the request.
    MayHaveRun,
    /// The time ran out while an endpoint may have been running the request.
    TimedOut,
    /// The gateway holds as many connections or bytes as it may.
    Overloaded,
    /// The request has crashed too many endpoints.
    Quarantined,
}

impl Refusal {
    /// Name in logs and answers.
    pub fn code(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Unproved => "configuration_unproved",
            Self::NoEndpoint => "no_endpoint",
            Self::TurnedAway => "turned_away",
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
        }
    }

    /// HTTP status. 429, 503, 408 and 421 promise that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Starting
            | Self::Unproved
            | Self::NoEndpoint
            | Self::TurnedAway
            | Self::Expired
            | Self::Overloaded
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the caller.
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
