//! A pooled HTTP/1.1 client with a timeout on each request.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::header::ACCEPT_ENCODING;
use hyper::header::CONTENT_ENCODING;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use tokio::time::timeout;

use crate::compress::decompress;
use crate::compress::GZIP;
use crate::reply::is_final;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest body of a reply, in bytes.
const REPLY_BYTES_MAX: usize = 16 << 20;
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// The connection could not be opened; the request was not sent.
    Connect(String),
    /// The connection failed during the exchange; the request may have run.
    Broken(String),
    /// No reply arrived within this limit; the request may have run.
    Timeout(Duration),
    /// The request could not be built; nothing was sent.
    InvalidRequest(String),
    /// The reply has an unexpected status or content.
    InvalidReply(String),
}

impl fmt::Display for ClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "cannot connect: {reason}"),
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
            Self::Timeout(limit) => write!(f, "no reply within {} ms", limit.as_millis()),
            Self::InvalidRequest(reason) => write!(f, "request is not valid: {reason}"),
            Self::InvalidReply(reason) => write!(f, "reply is not valid: {reason}"),
        }
    }
}

impl std::error::Error for ClientError {}

/// A reply with its whole body.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An HTTP/1.1 client that reuses connections.
#[derive(Clone)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
    /// Whether replies may be compressed.
    accepts_gzip: bool,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            // A request is sent at most once; the caller decides whether to repeat it.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner, accepts_gzip: false }
    }

    /// Accepts compressed replies, which the client decompresses.
    pub fn accept_gzip(self) -> Self {
        Self { accepts_gzip: true, ..self }
    }

    /// Sends `request` and returns the reply once its head has arrived; the body may still follow.
    ///
    /// # Errors
    /// [`ClientError::Connect`] when nothing was sent; [`ClientError::Broken`], [`ClientError::Timeout`] or
    /// [`ClientError::InvalidReply`] when the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, ClientError> {
        match timeout(limit, self.inner.request(request)).await {
            Ok(Ok(response)) if is_final(response.status()) => Ok(response),
            Ok(Ok(response)) => {
                let reason = format!("status {} ends no exchange", response.status());
                Err(ClientError::InvalidReply(reason))
            }
            Ok(Err(error)) if error.is_connect() => Err(ClientError::Connect(describe(&error))),
            Ok(Err(error)) => Err(ClientError::Broken(describe(&error))),
            Err(_) => Err(ClientError::Timeout(limit)),
        }
    }

    /// Sends a request with an optional JSON body and reads the whole reply, all within `limit`.
    ///
    /// # Errors
    /// As [`Client::send`], and [`ClientError::InvalidRequest`], after which nothing was sent.
    pub async fn call<T>(
        &self,
        method: Method,
        url: &str,
        body: Option<&T>,
        limit: Duration,
    ) -> Result<Reply, ClientError>
    where
        T: Serialize,
    {
        let bytes = match body {
            Some(value) => serde_json::to_vec(value)
                .map_err(|error| ClientError::InvalidRequest(error.to_string()))?,
            None => Vec::new(),
        };
        self.call_encoded(method, url, Bytes::from(bytes), limit).await
    }

    /// Sends a request whose body is JSON text already and reads the whole reply, all within `limit`.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call_encoded(
        &self,
        method: Method,
        url: &str,
        bytes: Bytes,
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        self.call_with_header(method, url, None, bytes, limit).await
    }

    /// Sends a request as [`Client::call_encoded`] does, with one more header.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call_with_header(
        &self,
        method: Method,
        url: &str,
        header: Option<(HeaderName, &str)>,
        bytes: Bytes,
        limit: Duration,
    ) -> Result<Reply, ClientError> {
        let mut request =
            Request::builder().method(method).uri(url).header("content-type", "application/json");
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        if self.accepts_gzip {
            request = request.header(ACCEPT_ENCODING, GZIP);
        }
        let request = request
            .body(Full::new(bytes))
            .map_err(|error| ClientError::InvalidRequest(error.to_string()))?;
        let exchange = async {
            let response = self.send(request, limit).await?;
            let status = response.status().as_u16();
            let (parts, body) = response.into_parts();
            let compressed = is_gzip(&parts.headers);
            let collected = Limited::new(body, REPLY_BYTES_MAX).collect().await;
            let body = collected.map_err(|error| ClientError::Broken(error.to_string()))?;
            let body = body.to_bytes();
            if !compressed {
                return Ok(Reply { status, headers: parts.headers, body });
            }
            let body = decompress(&body)
                .map_err(|error| ClientError::InvalidReply(format!("bad gzip body: {error}")))?;
            Ok(Reply { status, headers: parts.headers, body })
        };
        timeout(limit, exchange).await.unwrap_or(Err(ClientError::Timeout(limit)))
    }

    /// Sends a GET request to `url` and reads the whole reply.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn get(&self, url: &str, limit: Duration) -> Result<Reply, ClientError> {
        self.call::<()>(Method::GET, url, None, limit).await
    }
}

/// Returns whether a message with these headers has a compressed body.
fn is_gzip(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_ENCODING).is_some_and(|value| value.as_bytes() == GZIP.as_bytes())
}

/// Formats an error with its chain of causes, which hyper's own text omits.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
