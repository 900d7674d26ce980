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
use tokio::sync::watch;

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
    let (open, closed) = watch::channel(());
    let hub = Hub { address, socket, handler, workers, closed };
    for _ in 0..IDLE_WORKERS {
        hub.start_worker();
    }
    Ok(Listener { _open: open })
}

/// An open listener; dropping it ends the workers, the last of which closes the socket.
///
/// nng waits for all contexts of a socket before it closes it, so the socket must not be closed
/// while a worker holds one.
pub struct Listener {
    _open: watch::Sender<()>,
}

fn open_socket(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// What all workers of a listener share.
#[derive(Clone)]
struct Hub<H> {
    address: SocketAddr,
    handler: H,
    workers: Arc<Workers>,
    closed: watch::Receiver<()>,
    socket: Socket,
}

impl<H> Hub<H>
where
    H: Handler,
{
    fn start_worker(&self) {
        self.workers.all.fetch_add(1, Ordering::Relaxed);
        self.workers.idle.fetch_add(1, Ordering::Relaxed);
        let hub = self.clone();
        let mut closed = self.closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = hub.run_worker() => {
                    if let Err(error) = result {
                        warn!("event=link_worker_ended address={} reason=\"{error}\"", hub.address);
                    }
                }
                // The sender is never used; its end is the signal.
                _ = closed.changed() => {}
            }
            hub.workers.all.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Answers requests one after another until enough other workers are idle.
    async fn run_worker(&self) -> Result<(), nng::Error> {
        let workers = &self.workers;
        let mut channel = Channel::open(&self.socket)?;
        loop {
            let received = channel.receive().await;
            let idle = workers.idle.fetch_sub(1, Ordering::Relaxed) - 1;
            let request = received?;
            if idle < IDLE_WORKERS && workers.all.load(Ordering::Relaxed) < WORKERS_MAX {
                self.start_worker();
            }
            let reply = self.handler.handle(request).await;
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
}
