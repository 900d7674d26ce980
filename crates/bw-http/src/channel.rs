//! One connection to one endpoint, with one request at a time on it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
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

/// Most bytes of an answer's head.
const HEAD_BYTES_MAX: usize = 65_536;

/// Times after which a connection whose other end has vanished is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Time for the connection to open.
    pub connect: Duration,
    /// Time for which written bytes may stay unacknowledged.
    pub unacknowledged: Duration,
    /// Silence after which the kernel asks whether the other end is there, and its pause between
    /// two questions.
    pub probe: Duration,
}

/// Why an exchange on a channel has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChannelError {
    /// Nothing of the request was written.
    NotSent(String),
    /// It was written at least in part, and no answer came back.
    Broken(String),
}

impl fmt::Display for ChannelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(reason) => write!(f, "not sent: {reason}"),
            Self::Broken(reason) => write!(f, "connection broke: {reason}"),
        }
    }
}

impl std::error::Error for ChannelError {}

/// A connection that closes when it is dropped.
#[derive(Debug)]
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Channel {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`ChannelError::NotSent`].
    pub async fn connect(address: SocketAddr, liveness: Liveness) -> Result<Self, ChannelError> {
        let stream = match timeout(liveness.connect, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ChannelError::NotSent(error.to_string())),
            Err(_) => return Err(ChannelError::NotSent("no connection in time".to_string())),
        };
        watch_peer(&stream, liveness).map_err(|error| ChannelError::NotSent(error.to_string()))?;
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_BYTES_MAX)
            .handshake::<_, Full<Bytes>>(TokioIo::new(stream));
        let (sender, connection) =
            handshake.await.map_err(|error| ChannelError::NotSent(error.to_string()))?;
        let task = tokio::spawn(async move {
            // An error shows in the exchange that it ends, or closes an idle connection.
            let _ = connection.await;
        });
        Ok(Self { sender, task: task.abort_handle() })
    }

    /// Whether the connection can take a request now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the last answer is read to its end and the connection can take a request.
    pub async fn ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    /// [`ChannelError`], which tells whether anything was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ChannelError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
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

/// Lets the kernel notice that the other end has vanished.
///
/// # Errors
/// The operating system's.
pub fn watch_peer(stream: &TcpStream, liveness: Liveness) -> std::io::Result<()> {
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
