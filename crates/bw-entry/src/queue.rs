//! Requests wait here until an endpoint of their pool has a free slot.

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

/// Time between two looks at queues in which requests wait.
const TICK: Duration = Duration::from_millis(20);
/// Time between two looks at empty queues.
const IDLE_TICK: Duration = Duration::from_secs(1);
/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// The request was not admitted; the caller may come back after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway(pub Duration);

#[derive(Default)]
struct Lanes {
    admission: Admission<WorkspaceKey>,
    waiters: HashMap<Ticket, oneshot::Sender<Result<Admitted, TurnedAway>>>,
    /// Requests admitted that have not reached an endpoint yet.
    pending: Arc<AtomicU32>,
}

/// The queues of all pools.
#[derive(Clone)]
pub struct Queue {
    lanes: Arc<Mutex<HashMap<PoolKey, Lanes>>>,
    tickets: Arc<AtomicU64>,
    routing: Routing,
    config: Config,
    news: Arc<Notify>,
}

/// An admitted request; dropping it says that it has reached an endpoint or ended.
pub struct Admitted {
    pending: Arc<AtomicU32>,
}

/// A waiting request; dropping it takes the request out of its queue.
struct Place {
    queue: Queue,
    pool: PoolKey,
    workspace: WorkspaceKey,
    ticket: Ticket,
}

/// What the queue needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Pool that serves it.
    pub pool: PoolKey,
    /// Workspace.
    pub workspace: WorkspaceKey,
    /// Service order of the workspace.
    pub order: u8,
    /// Weight of the workspace.
    pub share: u32,
    /// Latest useful start, as time since the process started.
    pub deadline: Duration,
}

impl Queue {
    /// Queues that fill the slots that `routing` expects to be free.
    pub fn new(routing: Routing, config: Config) -> Self {
        Self {
            lanes: Arc::default(),
            tickets: Arc::default(),
            routing,
            config,
            news: Arc::default(),
        }
    }

    /// Waits until the request may be sent.
    ///
    /// # Errors
    /// [`TurnedAway`] when it would start too late, as soon as that is known.
    pub async fn admit(&self, candidate: Candidate) -> Result<Admitted, TurnedAway> {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let offer = Offer {
            ticket,
            workspace: candidate.workspace,
            order: candidate.order,
            share: candidate.share,
            // Pools have no target latency.
            target_start: candidate.deadline,
            deadline: candidate.deadline,
        };
        let now = self.routing.now();
        let (sender, receiver) = oneshot::channel();
        {
            let mut all = self.lock();
            let lanes = all.entry(candidate.pool).or_default();
            if let OfferOutcome::Refused(wait) = lanes.admission.offer(offer, now) {
                return Err(TurnedAway(wait.max(RETRY_AFTER_MIN)));
            }
            lanes.waiters.insert(ticket, sender);
        }
        let place = Place {
            queue: self.clone(),
            pool: candidate.pool,
            workspace: candidate.workspace,
            ticket,
        };
        self.pump();
        if !self.is_empty() {
            // The waiting loop may be asleep over an empty queue.
            self.hurry();
        }
        let result = receiver.await.unwrap_or(Err(TurnedAway(RETRY_AFTER_MIN)));
        drop(place);
        result
    }

    /// Looks at the queues at once.
    pub fn hurry(&self) {
        self.news.notify_one();
    }

    /// Requests that wait, over all pools.
    pub fn len(&self) -> usize {
        self.lock().values().map(|lanes| lanes.admission.len()).sum()
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Admits and sheds until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        loop {
            // An empty queue has nothing to shed; what arrives is looked at as it arrives.
            let tick = if self.is_empty() { IDLE_TICK } else { TICK };
            tokio::select! {
                () = tokio::time::sleep(tick) => {}
                () = self.news.notified() => {}
                () = stop.wait() => return Ok(()),
            }
            self.pump();
        }
    }

    fn pump(&self) {
        let Some(current) = self.config.current() else {
            return;
        };
        let now = self.routing.now();
        let mut all = self.lock();
        for (pool, lanes) in all.iter_mut() {
            for ticket in lanes.admission.shed(now) {
                lanes.answer(ticket, Err(TurnedAway(RETRY_AFTER_MIN)));
            }
            if lanes.admission.is_empty() {
                continue;
            }
            let free = self.routing.free_slots(&current.fleet, *pool);
            while free - f64::from(lanes.pending.load(Ordering::Relaxed)) >= 1.0 {
                let Some(ticket) = lanes.admission.next(now) else {
                    break;
                };
                let admitted = Admitted::new(&lanes.pending);
                lanes.answer(ticket, Ok(admitted));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PoolKey, Lanes>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lanes {
    /// Answers a waiting request. When its caller has left, the result is dropped at once.
    fn answer(&mut self, ticket: Ticket, result: Result<Admitted, TurnedAway>) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            let _ = waiter.send(result);
        }
    }
}

impl Admitted {
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

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(lanes) = self.queue.lock().get_mut(&self.pool) {
            lanes.admission.cancel(self.workspace, self.ticket);
            lanes.waiters.remove(&self.ticket);
        }
    }
}
