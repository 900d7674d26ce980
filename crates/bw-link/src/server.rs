//! The answering side of a link.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use log::warn;
use nng::options::Options;
use nng::options::RecvMaxSize;
use nng::Protocol;
use nng::Socket;

use crate::call::Channel;
use crate::error::LinkError;
use crate::MESSAGE_BYTES_MAX;

/// Workers that wait for a request at any time.
const IDLE_WORKERS: usize = 8;
/// Requests that are answered at a time, long polls among them.
const WORKERS_MAX: usize = 8_192;

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// The reply to one request.
    fn handle(&self, request: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send;
}

/// Counts workers by what they do.
#[derive(Default)]
struct Workers {
    idle: AtomicUsize,
    all: AtomicUsize,
}

/// Listens at `address` and answers requests until the returned listener is dropped.
///
/// # Errors
/// [`LinkError::Nng`] when the address cannot be used.
pub fn serve<H>(address: SocketAddr, handler: H) -> Result<Listener, LinkError>
where
    H: Handler,
{
    let socket = open_socket(address).map_err(|error| LinkError::from_nng(address, error))?;
    let workers = Arc::new(Workers::default());
    for _ in 0..IDLE_WORKERS {
        start_worker(address, socket.clone(), handler.clone(), workers.clone());
    }
    Ok(Listener { socket })
}

/// An open listener; dropping it closes the socket.
pub struct Listener {
    socket: Socket,
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.socket.close();
    }
}

fn open_socket(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

fn start_worker<H>(address: SocketAddr, socket: Socket, handler: H, workers: Arc<Workers>)
where
    H: Handler,
{
    workers.all.fetch_add(1, Ordering::Relaxed);
    workers.idle.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        let result = run_worker(address, &socket, &handler, &workers).await;
        workers.all.fetch_sub(1, Ordering::Relaxed);
        if let Err(error) = result {
            if error != nng::Error::Closed {
                warn!("event=link_worker_ended address={address} reason=\"{error}\"");
            }
        }
    });
}

/// Answers requests one after another until enough other workers are idle.
async fn run_worker<H>(
    address: SocketAddr,
    socket: &Socket,
    handler: &H,
    workers: &Arc<Workers>,
) -> Result<(), nng::Error>
where
    H: Handler,
{
    let mut channel = Channel::open(socket)?;
    loop {
        let received = channel.receive().await;
        let idle = workers.idle.fetch_sub(1, Ordering::Relaxed) - 1;
        let request = received?;
        if idle < IDLE_WORKERS && workers.all.load(Ordering::Relaxed) < WORKERS_MAX {
            start_worker(address, socket.clone(), handler.clone(), workers.clone());
        }
        let reply = handler.handle(request).await;
        // A peer that left before its reply is no reason to stop the worker.
        if let Err(error) = channel.send(&reply).await {
            if error == nng::Error::Closed {
                return Err(error);
            }
        }
        if workers.idle.load(Ordering::Relaxed) >= IDLE_WORKERS * 4 {
            return Ok(());
        }
        workers.idle.fetch_add(1, Ordering::Relaxed);
    }
}
