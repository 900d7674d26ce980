//! Requests wait here until an endpoint of their service has a free slot.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_kernel::BootClock;
use bw_route::admission::OfferOutcome;
use bw_route::admission::Ticket;
use bw_route::Admission;
use bw_route::Offer;
use rand::Rng;
use smallvec::SmallVec;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::endpoints::Chosen;
use crate::endpoints::Endpoints;

/// Shortest time after which a caller that was turned away is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);
/// Spread of that time, as parts of the expected wait; keeps one wave from becoming two.
const RETRY_SPREAD: (f64, f64) = (0.8, 1.6);
/// Weight of the newest time to an answer in the mean one: about the last 20 answers count.
const ANSWER_WEIGHT: f64 = 0.05;

/// What is known of a request that asks for an endpoint.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service that serves it.
    pub service: String,
    /// Workspace of the caller, by a hash of its name.
    pub workspace: u64,
    /// Service order; a lower number goes first.
    pub order: u8,
    /// When its answer should begin.
    pub target: Duration,
    /// Latest useful start.
    pub deadline: Duration,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Endpoints that it should not go to.
    pub exclude: SmallVec<[EndpointKey; 4]>,
}

/// The request gets no endpoint in time; the caller may come back after this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnedAway(pub Duration);

/// A request that waits.
struct Waiter {
    ask: Ask,
    result: oneshot::Sender<Placed>,
}

#[derive(Default)]
struct Lane {
    admission: Admission<u64>,
    waiters: HashMap<Ticket, Waiter>,
    /// Mean time from a request's start at an endpoint to the begin of its answer.
    answer: Duration,
}

impl Lane {
    fn note_answer(&mut self, took: Duration) {
        let known = if self.answer.is_zero() { took } else { self.answer };
        self.answer = known.mul_f64(1.0 - ANSWER_WEIGHT) + took.mul_f64(ANSWER_WEIGHT);
    }
}

#[derive(Default)]
struct State {
    lanes: HashMap<String, Lane>,
    tickets: Ticket,
    waiting: usize,
}

/// The queues of all services.
#[derive(Clone)]
pub struct Waiting {
    state: Arc<Mutex<State>>,
    endpoints: Endpoints,
    clock: BootClock,
}

/// A request at its endpoint; dropping it gives the slot to the next one.
pub struct Placed {
    /// The endpoint.
    pub chosen: Chosen,
    /// Time for which the request waited.
    pub waited: Duration,
    waiting: Waiting,
    service: String,
    placed: Duration,
    prompt: u32,
}

impl Placed {
    /// Notes that the request began to be answered, so that its prompt is read.
    pub fn answered(&mut self) {
        self.waiting.endpoints.answer(self.chosen.key, self.prompt);
        self.prompt = 0;
        let took = self.waiting.clock.now().saturating_sub(self.placed);
        if let Some(lane) = self.waiting.lock().lanes.get_mut(&self.service) {
            lane.note_answer(took);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.waiting.endpoints.finish(self.chosen.key, self.prompt);
        self.waiting.serve();
    }
}

/// Takes a request out of its queue when its caller leaves.
struct Place<'a> {
    waiting: &'a Waiting,
    service: &'a str,
    workspace: u64,
    ticket: Ticket,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.waiting.lock();
        let Some(lane) = state.lanes.get_mut(self.service) else { return };
        lane.admission.cancel(self.workspace, self.ticket);
        if lane.waiters.remove(&self.ticket).is_some() {
            state.waiting -= 1;
        }
    }
}

impl Waiting {
    /// Empty queues before `endpoints`.
    pub fn new(endpoints: Endpoints, clock: BootClock) -> Self {
        Self { state: Arc::default(), endpoints, clock }
    }

    /// Waits until the request has an endpoint.
    ///
    /// # Errors
    /// [`TurnedAway`] as soon as it is known that none will be free in time.
    pub async fn place(&self, ask: Ask) -> Result<Placed, TurnedAway> {
        let arrived = self.clock.now();
        if self.is_idle(&ask.service) {
            if let Some(placed) = self.try_place(&ask) {
                return Ok(placed);
            }
        }
        if !self.endpoints.serves(&ask.service, &ask.exclude, arrived) {
            return Err(TurnedAway(spread(RETRY_AFTER_MIN)));
        }
        let (service, workspace, deadline) = (ask.service.clone(), ask.workspace, ask.deadline);
        let (ticket, receiver) = self.enqueue(ask, arrived)?;
        let place = Place { waiting: self, service: &service, workspace, ticket };
        let left = deadline.saturating_sub(arrived);
        let result = timeout(left, receiver).await;
        drop(place);
        match result {
            Ok(Ok(mut placed)) => {
                placed.waited = self.clock.now().saturating_sub(arrived);
                Ok(placed)
            }
            // The time is over: whoever comes back soon would find the same queue.
            _ => Err(TurnedAway(spread(left.max(RETRY_AFTER_MIN)))),
        }
    }

    /// Gives free slots to requests that wait.
    pub fn serve(&self) {
        loop {
            let placed = {
                let mut state = self.lock();
                if state.waiting == 0 {
                    return;
                }
                self.serve_next(&mut state)
            };
            match placed {
                // Without its receiver the place goes to the next one, from its own drop.
                Some((waiter, placed)) => drop(waiter.send(placed)),
                None => return,
            }
        }
    }

    /// Requests that wait, over all services.
    pub fn len(&self) -> usize {
        self.lock().waiting
    }

    /// True when none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Places the next request of any service that has a free slot.
    fn serve_next(&self, state: &mut State) -> Option<(oneshot::Sender<Placed>, Placed)> {
        let now = self.clock.now();
        for lane in state.lanes.values_mut() {
            let Some(ticket) = lane.admission.peek(now) else { continue };
            let Some(waiter) = lane.waiters.get(&ticket) else { continue };
            let Some(placed) = self.try_place(&waiter.ask) else { continue };
            lane.admission.next(now);
            let waiter = lane.waiters.remove(&ticket)?;
            state.waiting -= 1;
            return Some((waiter.result, placed));
        }
        None
    }

    fn is_idle(&self, service: &str) -> bool {
        self.lock().lanes.get(service).is_none_or(|lane| lane.waiters.is_empty())
    }

    fn try_place(&self, ask: &Ask) -> Option<Placed> {
        let now = self.clock.now();
        let chosen = self.endpoints.place(&ask.service, &ask.exclude, ask.prompt, now)?;
        Some(Placed {
            chosen,
            waited: Duration::ZERO,
            waiting: self.clone(),
            service: ask.service.clone(),
            placed: now,
            prompt: ask.prompt,
        })
    }

    fn enqueue(
        &self,
        ask: Ask,
        now: Duration,
    ) -> Result<(Ticket, oneshot::Receiver<Placed>), TurnedAway> {
        let mut state = self.lock();
        state.tickets += 1;
        let ticket = state.tickets;
        let lane = state.lanes.entry(ask.service.clone()).or_default();
        let offer = Offer {
            ticket,
            workspace: ask.workspace,
            order: ask.order,
            share: 1,
            target_start: ask.target.saturating_sub(lane.answer),
            deadline: ask.deadline,
        };
        if let OfferOutcome::Refused(wait) = lane.admission.offer(offer, now) {
            return Err(TurnedAway(spread(wait.max(RETRY_AFTER_MIN))));
        }
        let (result, receiver) = oneshot::channel();
        lane.waiters.insert(ticket, Waiter { ask, result });
        state.waiting += 1;
        Ok((ticket, receiver))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A time to come back after, different for each caller.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(RETRY_SPREAD.0..RETRY_SPREAD.1))
}
