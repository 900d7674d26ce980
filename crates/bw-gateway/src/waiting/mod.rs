//! Queues in which requests wait until an endpoint of their service has a free slot.

mod preview;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::eligibility::Outlook;
use bw_direct::homes::Homes;
use bw_direct::room::RoomNeed;
use bw_direct::waiting::Elsewhere;
use bw_direct::waiting::WaitingCount;
use bw_direct::waiting::WaitingNews;
use bw_kernel::BootClock;
use bw_route::admission::OfferOutcome;
use bw_route::admission::Ticket;
use rand::Rng;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::timeout;

pub use self::preview::Fate;
pub use self::preview::QueuePreview;
use crate::endpoints::ChosenEndpoint;
use crate::endpoints::Endpoints;
use crate::placement::PlacementRequest;
use crate::service_queue::average;
use crate::service_queue::service_hash;
use crate::service_queue::ServiceQueue;
use crate::service_queue::Waiter;

/// Lower bound on the retry-after time of a rejected request, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Range of the random factor applied to the expected wait to get a retry-after time. The jitter
/// spreads retries, so that one wave of rejected requests does not cause a second one.
const RETRY_JITTER: (f64, f64) = (0.8, 1.6);
/// Fraction of the time that all endpoints of a service ask for within which callers return after its end.
const RETRY_SPREAD: f64 = 0.5;
/// Rejection of a request that would get no endpoint in time, with the retry-after time of its
/// caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected(pub Duration);

#[derive(Default)]
struct State {
    queues: HashMap<String, ServiceQueue>,
    last_ticket: Ticket,
    /// Number of requests in all queues.
    waiting_count: usize,
    /// Requests that wait at other gateways.
    elsewhere: Elsewhere,
}

/// Handle to the queues of all services, shared by the gateway's services.
#[derive(Clone)]
pub struct WaitQueues {
    state: Arc<Mutex<State>>,
    endpoints: Endpoints,
    clock: BootClock,
}

/// A request that occupies a slot at an endpoint. Dropping the value frees the slot for the next
/// request in the queue.
pub struct PlacedRequest {
    /// Endpoint that the request was placed at.
    pub chosen: ChosenEndpoint,
    /// Time that the request spent in the queue.
    pub waited: Duration,
    /// Room that the request had to leave to more urgent ones.
    pub room: Option<RoomNeed>,
    waiting: WaitQueues,
    service: String,
    placed_at: Duration,
    prompt: u32,
}

impl PlacedRequest {
    /// Returns the time at which the request was placed.
    pub fn placed_at(&self) -> Duration {
        self.placed_at
    }

    /// Records that the endpoint started to answer, which means that it has read the prompt.
    pub fn start_answer(&mut self) {
        self.waiting.endpoints.start_answer(self.chosen.key, self.prompt);
        self.prompt = 0;
        let took = self.waiting.clock.now().saturating_sub(self.placed_at);
        if let Some(queue) = self.waiting.lock().queues.get_mut(&self.service) {
            queue.record_answer(took);
        }
    }
}

impl Drop for PlacedRequest {
    fn drop(&mut self) {
        self.waiting.endpoints.finish(self.chosen.key, self.prompt);
        let held = self.waiting.clock.now().saturating_sub(self.placed_at);
        if let Some(queue) = self.waiting.lock().queues.get_mut(&self.service) {
            queue.hold_time = average(queue.hold_time, held);
        }
        self.waiting.dispatch();
    }
}

/// Removes a request from its queue when dropped, in particular when its caller disconnects.
struct QueueGuard<'a> {
    waiting: &'a WaitQueues,
    service: &'a str,
    workspace: u64,
    ticket: Ticket,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.waiting.lock();
        let Some(queue) = state.queues.get_mut(self.service) else { return };
        queue.admission.cancel(self.workspace, self.ticket);
        if queue.waiters.remove(&self.ticket).is_some() {
            state.waiting_count -= 1;
        }
    }
}

impl WaitQueues {
    /// Creates empty queues for requests to `endpoints`.
    pub fn new(endpoints: Endpoints, clock: BootClock) -> Self {
        Self { state: Arc::default(), endpoints, clock }
    }

    /// Waits until the request is placed at an endpoint.
    ///
    /// # Errors
    /// [`Rejected`] as soon as it is known that no endpoint will be free in time.
    pub async fn place(&self, mut request: PlacementRequest) -> Result<PlacedRequest, Rejected> {
        let arrived_at = self.clock.now();
        let is_returned = self.record_arrival(&mut request, arrived_at);
        if self.is_queue_empty(&request.service) {
            if let Some(placed) = self.try_place(&request) {
                self.record_served(&request, arrived_at);
                return Ok(placed);
            }
        }
        let told = request.ranked.then(|| (request.service.clone(), request.fingerprint));
        let result = self.wait(request, is_returned, arrived_at).await;
        if let (Some((service, fingerprint)), Err(Rejected(wait))) = (told, &result) {
            let now = self.clock.now();
            if let Some(queue) = self.lock().queues.get_mut(&service) {
                queue.returns.record(fingerprint, *wait, now);
            }
        }
        result
    }

    async fn wait(
        &self,
        request: PlacementRequest,
        is_returned: bool,
        arrived_at: Duration,
    ) -> Result<PlacedRequest, Rejected> {
        let PlacementRequest { service, exclude, homes, .. } = &request;
        let outlook = self.endpoints.outlook(service, exclude, homes, arrived_at);
        if let Some(rejected) = reject_unserved(outlook, arrived_at) {
            return Err(rejected);
        }
        let (service, workspace, deadline) =
            (request.service.clone(), request.workspace, request.deadline);
        let ranked = request.ranked;
        let (ticket, receiver) = self.enqueue(request, is_returned, arrived_at)?;
        let guard = QueueGuard { waiting: self, service: &service, workspace, ticket };
        // Those that wait may be leaving a slot to this one.
        if ranked {
            self.dispatch();
        }
        let remaining = deadline.saturating_sub(arrived_at);
        let result = timeout(remaining, receiver).await;
        drop(guard);
        match result {
            Ok(Ok(Err(rejected))) => Err(rejected),
            Ok(Ok(Ok(mut placed))) => {
                placed.waited = self.clock.now().saturating_sub(arrived_at);
                Ok(placed)
            }
            // The deadline has passed. A caller that retried soon would find the same queue.
            _ => Err(Rejected(jitter(remaining.max(RETRY_AFTER_MIN)))),
        }
    }

    /// Places waiting requests while slots are free.
    pub fn dispatch(&self) {
        loop {
            let placed = {
                let mut state = self.lock();
                if state.waiting_count == 0 {
                    return;
                }
                self.dispatch_next(&mut state)
            };
            match placed {
                // If the receiver is gone, dropping the placed request dispatches the next one.
                Some((result, placed)) => drop(result.send(Ok(placed))),
                None => return,
            }
        }
    }

    /// Rejects the waiting requests of a service whose endpoints take none for a time, or are all leaving.
    pub fn reject_unserved(&self, service: &str) {
        let now = self.clock.now();
        let mut all_homes: SmallVec<[Homes; 2]> = SmallVec::new();
        for waiter in
            self.lock().queues.get(service).iter().flat_map(|queue| queue.waiters.values())
        {
            if !all_homes.contains(&waiter.request.homes) {
                all_homes.push(waiter.request.homes.clone());
            }
        }
        for homes in all_homes {
            let outlook = self.endpoints.outlook(service, &[], &homes, now);
            if outlook != Outlook::Open {
                self.reject(service, &homes, outlook, now);
            }
        }
    }

    /// Rejects the waiting requests of a service with these homes.
    fn reject(&self, service: &str, homes: &Homes, outlook: Outlook, now: Duration) {
        let mut state = self.lock();
        let Some(queue) = state.queues.get_mut(service) else { return };
        let waiters = std::mem::take(&mut queue.waiters);
        let (rejected, others): (HashMap<Ticket, Waiter>, HashMap<Ticket, Waiter>) =
            waiters.into_iter().partition(|(_, waiter)| waiter.request.homes == *homes);
        queue.waiters = others;
        state.waiting_count -= rejected.len();
        drop(state);
        for waiter in rejected.into_values() {
            if let Some(rejected) = reject_unserved(outlook, now) {
                // A waiter whose caller has left needs no answer.
                let _ = waiter.result.send(Err(rejected));
            }
        }
    }

    /// Returns the usual time from a request's placement to the start of its answer.
    pub fn answer_time(&self, service: &str) -> Duration {
        self.lock().queues.get(service).map(|queue| queue.answer_time).unwrap_or_default()
    }

    /// Returns the requests that wait for services whose requests differ in urgency; `None` if there are none.
    pub fn waiting_news(&self, instance: &str) -> Option<WaitingNews> {
        let state = self.lock();
        let counts = state.queues.iter().flat_map(|(service, queue)| {
            let service = service_hash(service);
            let counts = queue.counts().into_iter();
            counts.map(move |(order, count)| WaitingCount { service, order, count })
        });
        let counts: Vec<WaitingCount> = counts.collect();
        (!counts.is_empty()).then(|| WaitingNews { instance: instance.to_string(), counts })
    }

    /// Records the requests that wait at another gateway; `round` is the time between two rounds of news.
    pub fn receive_waiting(&self, news: WaitingNews, round: Duration) {
        let now = self.clock.now();
        self.lock().elsewhere.receive(news, round, now);
    }

    /// Places and rejects waiting requests after a change in which endpoints may get requests.
    pub fn apply_eligibility(&self) {
        let services: Vec<String> = self.lock().queues.keys().cloned().collect();
        for service in services {
            self.reject_unserved(&service);
        }
        self.dispatch();
    }

    /// Returns the number of waiting requests of all services.
    pub fn len(&self) -> usize {
        self.lock().waiting_count
    }

    /// Returns true if no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Places the next request of any service that has a free slot, and returns it with the channel
    /// to its waiting task.
    fn dispatch_next(
        &self,
        state: &mut State,
    ) -> Option<(oneshot::Sender<Result<PlacedRequest, Rejected>>, PlacedRequest)> {
        let now = self.clock.now();
        let State { queues, elsewhere, waiting_count, .. } = state;
        for queue in queues.values_mut() {
            let mut order_max = u8::MAX;
            while let Some((_, ticket)) = queue.admission.peek_of(order_max, now) {
                let Some(waiter) = queue.waiters.get(&ticket) else { break };
                let room = queue.room_need(&waiter.request, elsewhere, now);
                let Some(waiter) = queue.waiters.get_mut(&ticket) else { break };
                waiter.request.room = room;
                let order = waiter.request.order;
                if let Some(placed) = self.try_place(&waiter.request) {
                    queue.admission.next_of(order_max, now);
                    let waiter = queue.waiters.remove(&ticket)?;
                    if waiter.request.ranked {
                        queue.admission.kinds_mut().record_served(order, now);
                    }
                    *waiting_count -= 1;
                    return Some((waiter.result, placed));
                }
                // A more urgent one may take the room.
                match order.checked_sub(1) {
                    Some(lower) if room.is_some() => order_max = lower,
                    _ => break,
                }
            }
        }
        None
    }

    /// Records the arrival of a request whose service has requests of different urgency, and sets the room
    /// that it has to leave. Returns whether its caller comes back at a time that it was told.
    fn record_arrival(&self, request: &mut PlacementRequest, now: Duration) -> bool {
        if !request.ranked {
            return false;
        }
        let mut state = self.lock();
        let State { queues, elsewhere, .. } = &mut *state;
        let queue = queues.entry(request.service.clone()).or_default();
        queue.admission.set_urgent_first(true);
        let spare = request.target.saturating_sub(now);
        queue.admission.kinds_mut().record_arrival(request.order, spare, now);
        request.room = queue.room_need(request, elsewhere, now);
        queue.returns.take(request.fingerprint, now)
    }

    fn record_served(&self, request: &PlacementRequest, now: Duration) {
        if !request.ranked {
            return;
        }
        if let Some(queue) = self.lock().queues.get_mut(&request.service) {
            queue.admission.kinds_mut().record_served(request.order, now);
        }
    }

    fn is_queue_empty(&self, service: &str) -> bool {
        self.lock().queues.get(service).is_none_or(|queue| queue.waiters.is_empty())
    }

    /// Places a request that leaves an endpoint which delays its whole group, before all that wait.
    pub fn place_displaced(&self, request: PlacementRequest) -> Option<PlacedRequest> {
        self.try_place(&PlacementRequest { displaced: true, ..request })
    }

    fn try_place(&self, request: &PlacementRequest) -> Option<PlacedRequest> {
        let now = self.clock.now();
        let chosen = self.endpoints.place(request, now)?;
        Some(PlacedRequest {
            chosen,
            waited: Duration::ZERO,
            room: request.room,
            waiting: self.clone(),
            service: request.service.clone(),
            placed_at: now,
            prompt: request.prompt,
        })
    }

    fn enqueue(
        &self,
        request: PlacementRequest,
        is_returned: bool,
        now: Duration,
    ) -> Result<(Ticket, oneshot::Receiver<Result<PlacedRequest, Rejected>>), Rejected> {
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let queue = state.queues.entry(request.service.clone()).or_default();
        let offer = queue.offer(&request, ticket, is_returned);
        queue.admission.set_urgent_first(request.ranked);
        if let OfferOutcome::Refused(wait) = queue.admission.offer(offer, now) {
            return Err(Rejected(jitter(wait.max(RETRY_AFTER_MIN))));
        }
        let (result, receiver) = oneshot::channel();
        queue.waiters.insert(ticket, Waiter { request, result });
        state.waiting_count += 1;
        Ok((ticket, receiver))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the rejection of a request whose service takes none, with a time after which it does; `None` if
/// the service takes requests.
fn reject_unserved(outlook: Outlook, now: Duration) -> Option<Rejected> {
    match outlook {
        Outlook::Open => None,
        Outlook::NotBefore(at) => {
            // Callers return after the end of the time, and not all at once.
            let wait = at.saturating_sub(now);
            let spread = wait.mul_f64(RETRY_SPREAD).max(RETRY_AFTER_MIN);
            Some(Rejected(wait + spread.mul_f64(rand::rng().random_range(0.0..1.0))))
        }
        Outlook::Closed => Some(Rejected(jitter(RETRY_AFTER_MIN))),
    }
}

/// Returns a retry-after time around `wait`, randomised so that callers do not retry together.
fn jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(RETRY_JITTER.0..RETRY_JITTER.1))
}
