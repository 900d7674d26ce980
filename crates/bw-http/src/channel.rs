//! One HTTP/1.1 client connection that carries one request at a time.

use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::Request;
use hyper::Response;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::meter::Allowance;
use crate::meter::Metered;
use crate::reply::is_final;

/// Largest head of a response, in bytes.
const HEAD_BYTES_MAX: usize = 65_536;
/// Most bytes that may arrive before the head of an answer, interim answers included, and between two parts of
/// its body. What follows them may arrive before they are seen.
const BYTES_BETWEEN: u64 = 1 << 20;

/// Timeouts that detect a connection whose peer has vanished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Timeout for opening the connection.
    pub connect: Duration,
    /// Longest time for which written bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub unacknowledged: Duration,
    /// Idle time after which the operating system sends the first TCP keepalive probe, and the
    /// interval between two probes.
    pub probe: Duration,
}

/// Body of a response on a channel. Framing without data is bounded; whoever reads the body bounds the data.
#[derive(Debug)]
pub struct ChannelBody {
    body: Incoming,
    allowance: Allowance,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let result = Pin::new(&mut self.body).poll_frame(context);
        if result.is_ready() {
            self.allowance.set(BYTES_BETWEEN);
        }
        result
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Why opening a channel or an exchange on it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChannelError {
    /// Nothing of the request was written.
    NotSent(String),
    /// No process listens at the address.
    Refused(String),
    /// The request was written at least in part, and no response arrived.
    Broken(String),
}

impl fmt::Display for ChannelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) | Self::Refused(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
        }
    }
}

impl std::error::Error for ChannelError {}

/// A client connection, which is closed when dropped.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    task: AbortHandle,
    /// Whether a request was sent on it.
    used: bool,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Channel {
    /// Opens a connection to `address` and applies `liveness` to it.
    ///
    /// # Errors
    /// [`ChannelError::NotSent`] when it cannot be opened in time, and [`ChannelError::Refused`].
    pub async fn connect(address: SocketAddr, liveness: Liveness) -> Result<Self, ChannelError> {
        let stream = match timeout(liveness.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ChannelError::Refused(error.to_string()))
            }
            Ok(Err(error)) => return Err(ChannelError::NotSent(error.to_string())),
            Err(_) => return Err(ChannelError::NotSent("connection timed out".to_string())),
        };
        set_liveness(&stream, liveness)
            .map_err(|error| ChannelError::NotSent(error.to_string()))?;
        let allowance = Allowance::new(BYTES_BETWEEN);
        let stream = Metered::new(stream, allowance.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
        let (sender, connection) =
            handshake.await.map_err(|error| ChannelError::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // An error also fails the exchange in progress; without one, it only closes the
            // connection.
            let _ = connection.await;
        });
        Ok(Self { sender, allowance, task: task.abort_handle(), used: false })
    }

    /// Returns whether the connection can accept a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether a request was sent on the connection before. The answer to the next one may then be
    /// a late one to an earlier request.
    pub fn is_used(&self) -> bool {
        self.used
    }

    /// Waits until the last response is read to its end, and returns whether the connection can
    /// accept another request.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the response once its head has arrived. The channel is of no use after an
    /// error.
    ///
    /// # Errors
    /// [`ChannelError`], whose variant says whether anything may have been written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ChannelBody>, ChannelError> {
        self.allowance.set(BYTES_BETWEEN);
        self.used = true;
        match self.sender.try_send_request(request).await {
            Ok(response) if !is_final(response.status()) => {
                Err(ChannelError::Broken(format!("status {} ends no exchange", response.status())))
            }
            Ok(response) => {
                self.allowance.set(BYTES_BETWEEN);
                let allowance = self.allowance.clone();
                Ok(response.map(|body| ChannelBody { body, allowance }))
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let reason = error.into_error().to_string();
                Err(if unsent {
                    ChannelError::NotSent(reason)
                } else {
                    ChannelError::Broken(reason)
                })
            }
        }
    }
}

/// Configures TCP keepalive and `TCP_USER_TIMEOUT`, so that the operating system detects a vanished
/// peer, and turns off Nagle's algorithm.
///
/// `liveness.connect` is not used here.
///
/// # Errors
/// The operating system's error when it rejects an option.
pub fn set_liveness(stream: &TcpStream, liveness: Liveness) -> std::io::Result<()> {
    const PROBES: u32 = 2;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.probe)
        .with_interval(liveness.probe)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(liveness.unacknowledged))
}
