//! The server side of a link.

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

/// Workers to keep waiting for a request; workers end when four times as many are idle.
const IDLE_WORKERS: usize = 8;
/// Largest number of requests handled concurrently, including long polls.
const WORKERS_MAX: usize = 8_192;

/// Handles the requests of a listener.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Returns the reply to one request.
    fn handle(&self, request: Vec<u8>) -> impl Future<Output = Vec<u8>> + Send;
}

/// Numbers of workers of a listener.
#[derive(Default)]
struct WorkerCounts {
    idle: AtomicUsize,
    total: AtomicUsize,
}

/// Listens on `address` and handles requests until the returned listener is dropped.
///
/// # Errors
/// [`LinkError::Nng`] when the address cannot be used.
pub fn serve<H>(address: SocketAddr, handler: H) -> Result<Listener, LinkError>
where
    H: Handler,
{
    let socket = open_socket(address).map_err(|error| LinkError::from_nng(address, error))?;
    let workers = Arc::new(WorkerCounts::default());
    let (open, closed) = watch::channel(());
    let pool = WorkerPool { address, socket, handler, workers, closed };
    for _ in 0..IDLE_WORKERS {
        pool.start_worker();
    }
    Ok(Listener { _open: open })
}

/// An open listener. Dropping it ends the workers, the last of which closes the socket.
///
/// nng waits for all contexts of a socket before it closes the socket, so nothing may close the
/// socket while a worker holds a context.
pub struct Listener {
    _open: watch::Sender<()>,
}

fn open_socket(address: SocketAddr) -> Result<Socket, nng::Error> {
    let socket = Socket::new(Protocol::Rep0)?;
    socket.set_opt::<RecvMaxSize>(MESSAGE_BYTES_MAX)?;
    socket.listen(&format!("tcp://{address}"))?;
    Ok(socket)
}

/// State shared by all workers of a listener.
#[derive(Clone)]
struct WorkerPool<H> {
    address: SocketAddr,
    handler: H,
    workers: Arc<WorkerCounts>,
    closed: watch::Receiver<()>,
    socket: Socket,
}

impl<H> WorkerPool<H>
where
    H: Handler,
{
    fn start_worker(&self) {
        self.workers.total.fetch_add(1, Ordering::Relaxed);
        self.workers.idle.fetch_add(1, Ordering::Relaxed);
        let pool = self.clone();
        let mut closed = self.closed.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = pool.run_worker() => {
                    if let Err(error) = result {
                        warn!("event=link_worker_ended address={} reason=\"{error}\"", pool.address);
                    }
                }
                // The sender never sends; dropping it is the signal.
                _ = closed.changed() => {}
            }
            pool.workers.total.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Handles requests one after another until enough other workers are idle.
    async fn run_worker(&self) -> Result<(), nng::Error> {
        let workers = &self.workers;
        let mut channel = Channel::open(&self.socket)?;
        loop {
            let received = channel.receive().await;
            let idle = workers.idle.fetch_sub(1, Ordering::Relaxed) - 1;
            let request = received?;
            if idle < IDLE_WORKERS && workers.total.load(Ordering::Relaxed) < WORKERS_MAX {
                self.start_worker();
            }
            let reply = self.handler.handle(request).await;
            // A peer that disconnected before its reply does not stop the worker.
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
