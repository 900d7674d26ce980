//! The queues in which requests wait until an endpoint of their pool has a free slot.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_kernel::Stop;
use bw_model::fleet::PoolKey;
use bw_model::fleet::WorkspaceKey;
use bw_route::admission::OfferOutcome;
use bw_route::admission::Ticket;
use bw_route::Admission;
use bw_route::Offer;
use tokio::sync::oneshot;
use tokio::sync::Notify;

use crate::config::Config;
use crate::routing::Routing;

/// Interval of processing while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of processing while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time after which a rejected caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// The request was not admitted; the caller may retry after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub Duration);

/// Waiting requests of one pool.
#[derive(Default)]
struct PoolQueue {
    admission: Admission<WorkspaceKey>,
    waiters: HashMap<Ticket, oneshot::Sender<Result<Admitted, Rejected>>>,
    /// Number of admitted requests that have not reached an endpoint yet.
    pending: Arc<AtomicU32>,
}

/// The queues of all pools.
#[derive(Clone)]
pub struct Queue {
    pools: Arc<Mutex<HashMap<PoolKey, PoolQueue>>>,
    tickets: Arc<AtomicU64>,
    routing: Routing,
    config: Config,
    wakeup: Arc<Notify>,
}

/// An admitted request that has not reached an endpoint yet. Dropped when it has reached one or has
/// ended.
pub struct Admitted {
    pending: Arc<AtomicU32>,
}

/// Removes a waiting request from its queue when dropped, also when its caller has disconnected.
struct WaitGuard {
    queue: Queue,
    pool: PoolKey,
    workspace: WorkspaceKey,
    ticket: Ticket,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Pool that serves the request.
    pub pool: PoolKey,
    /// Workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// Service order of the workspace; lower numbers go first.
    pub order: u8,
    /// Weight of the workspace in fair queueing.
    pub share: u32,
    /// Latest start at which the answer is still of use, as time since the process started.
    pub deadline: Duration,
}

impl Queue {
    /// Creates empty queues that admit requests to the slots that `routing` expects to be free.
    pub fn new(routing: Routing, config: Config) -> Self {
        Self {
            pools: Arc::default(),
            tickets: Arc::default(),
            routing,
            config,
            wakeup: Arc::default(),
        }
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    /// [`Rejected`] as soon as it is known that the request would start after its deadline.
    pub async fn admit(&self, request: AdmissionRequest) -> Result<Admitted, Rejected> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let offer = Offer {
            ticket,
            workspace: request.workspace,
            order: request.order,
            share: request.share,
            // Pools have no target latency.
            target_start: request.deadline,
            deadline: request.deadline,
            returned: false,
        };
        let now = self.routing.now();
        let (sender, receiver) = oneshot::channel();
        {
            let mut pools = self.lock();
            let queue = pools.entry(request.pool).or_default();
            if let OfferOutcome::Refused(wait) = queue.admission.offer(offer, now) {
                return Err(Rejected(wait.max(RETRY_AFTER_MIN)));
            }
            queue.waiters.insert(ticket, sender);
        }
        let guard = WaitGuard {
            queue: self.clone(),
            pool: request.pool,
            workspace: request.workspace,
            ticket,
        };
        self.process();
        if !self.is_empty() {
            // The loop in `run` may be sleeping for the longer interval of empty queues.
            self.wake();
        }
        let result = receiver.await.unwrap_or(Err(Rejected(RETRY_AFTER_MIN)));
        drop(guard);
        result
    }

    /// Wakes the loop in [`Queue::run`], which processes the queues at once.
    pub fn wake(&self) {
        self.wakeup.notify_one();
    }

    /// Returns the number of waiting requests in all pools.
    pub fn len(&self) -> usize {
        self.lock().values().map(|queue| queue.admission.len()).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Admits and sheds requests until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        loop {
            // Empty queues have nothing to shed, and `admit` processes new requests on arrival.
            let interval = if self.is_empty() { IDLE_INTERVAL } else { BUSY_INTERVAL };
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.wakeup.notified() => {}
                () = stop.wait() => return Ok(()),
            }
            self.process();
        }
    }

    /// Sheds the requests that would start too late and admits others to free slots.
    fn process(&self) {
        let Some(current) = self.config.current() else {
            return;
        };
        let now = self.routing.now();
        let mut pools = self.lock();
        for (pool, queue) in pools.iter_mut() {
            for ticket in queue.admission.shed(now) {
                queue.resolve(ticket, Err(Rejected(RETRY_AFTER_MIN)));
            }
            if queue.admission.is_empty() {
                continue;
            }
            let free = self.routing.free_slots(&current.fleet, *pool);
            while free - f64::from(queue.pending.load(Ordering::Relaxed)) >= 1.0 {
                let Some(ticket) = queue.admission.next(now) else {
                    break;
                };
                let admitted = Admitted::new(&queue.pending);
                queue.resolve(ticket, Ok(admitted));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolKey, PoolQueue>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PoolQueue {
    /// Sends the result to a waiting request. If its caller has disconnected, the result is dropped
    /// at once.
    fn resolve(&mut self, ticket: Ticket, result: Result<Admitted, Rejected>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter.send(result);
        }
    }
}

impl Admitted {
    /// Counts a request as pending until the value is dropped.
    fn new(pending: &Arc<AtomicU32>) -> Self {
        pending.fetch_add(1, Ordering::Relaxed);
        Self { pending: pending.clone() }
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.lock().get_mut(&self.pool) {
            queue.admission.cancel(self.workspace, self.ticket);
            queue.waiters.remove(&self.ticket);
        }
    }
}
