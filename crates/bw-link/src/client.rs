//! The client side of a link.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use nng::options::protocol::reqrep::ResendTime;
use nng::options::Options;
use nng::options::ReconnectMaxTime;
use nng::options::ReconnectMinTime;
use nng::options::RecvMaxSize;
use nng::Protocol;
use nng::Socket;
use tokio::time::timeout;

use crate::call::Channel;
use crate::error::LinkError;
use crate::MESSAGE_BYTES_MAX;

const RECONNECT_MIN: Duration = Duration::from_millis(20);
const RECONNECT_MAX: Duration = Duration::from_millis(500);
/// Channels kept for reuse.
const IDLE_CHANNELS_MAX: usize = 64;

/// A connection to one process that many calls can share concurrently.
pub struct Client {
    address: SocketAddr,
    /// Declared, and so dropped, before the socket: closing a socket waits for all of its contexts.
    idle: Mutex<Vec<Channel>>,
    socket: Socket,
}

impl Client {
    /// Starts to connect to `address` in the background; calls wait for the connection within their
    /// own timeouts.
    ///
    /// # Errors
    /// [`LinkError::Nng`] when the socket cannot be set up.
    pub fn connect(address: SocketAddr) -> Result<Self, LinkError> {
        let socket = open_socket(address).map_err(|error| LinkError::from_nng(address, error))?;
        Ok(Self { address, socket, idle: Mutex::new(Vec::new()) })
    }

    /// Sends `request` once and waits for its reply.
    ///
    /// # Errors
    /// [`LinkError::Timeout`] after `limit`; the server may still have received the request.
    /// Otherwise [`LinkError::Closed`] or [`LinkError::Nng`].
    pub async fn call(&self, request: &[u8], limit: Duration) -> Result<Vec<u8>, LinkError> {
        let mut channel = self.acquire_channel()?;
        let exchange = async {
            channel.send(request).await?;
            channel.receive().await
        };
        match timeout(limit, exchange).await {
            Ok(Ok(reply)) => {
                self.release_channel(channel);
                Ok(reply)
            }
            Ok(Err(error)) => Err(LinkError::from_nng(self.address, error)),
            // Dropping the channel cancels the operation that is still pending in nng.
            Err(_) => Err(LinkError::Timeout(self.address)),
        }
    }

    /// Returns an idle channel, or opens one.
    fn acquire_channel(&self) -> Result<Channel, LinkError> {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
        match idle {
            Some(channel) => Ok(channel),
            None => Channel::open(&self.socket)
                .map_err(|error| LinkError::from_nng(self.address, error)),
        }
    }

    /// Keeps a channel for reuse unless enough are idle.
    fn release_channel(&self, channel: Channel) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < IDLE_CHANNELS_MAX {
            idle.push(channel);
        }
    }
}

fn open_socket(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Req0)?;
    socket.set_opt::<ResendTime>(None)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
    socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
    socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
    socket.dial_async(&format!("tcp://{address}"))?;
    Ok(socket)
}
