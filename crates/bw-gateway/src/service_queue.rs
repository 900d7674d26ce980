//! Queue of the requests that wait for one service, with what was learned from its requests.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bw_direct::returns::Returns;
use bw_direct::room::RoomNeed;
use bw_direct::waiting::Elsewhere;
use bw_model::hash::rendezvous_weight;
use bw_route::admission::Ticket;
use bw_route::Admission;
use bw_route::Offer;
use tokio::sync::oneshot;

use crate::placement::PlacementRequest;
use crate::waiting::PlacedRequest;
use crate::waiting::Rejected;

/// Weight of the newest sample in the moving average of the time to an answer, which covers about
/// the last 20 answers.
const ANSWER_WEIGHT: f64 = 0.05;

/// A request in a queue.
pub struct Waiter {
    /// What the request asks for.
    pub request: PlacementRequest,
    /// Channel to the task that waits.
    pub result: oneshot::Sender<Result<PlacedRequest, Rejected>>,
}

/// The queue of one service.
#[derive(Default)]
pub struct ServiceQueue {
    /// Order of the waiting requests.
    pub admission: Admission<u64>,
    /// The waiting requests.
    pub waiters: HashMap<Ticket, Waiter>,
    /// Moving average of the time from a request's placement to the start of its answer.
    pub answer_time: Duration,
    /// Moving average of the time for which a request holds its slot.
    pub hold_time: Duration,
    /// Callers that were told when to come back.
    pub returns: Returns,
}

impl ServiceQueue {
    /// Records the time from a request's placement to the start of its answer.
    pub fn record_answer(&mut self, took: Duration) {
        self.answer_time = average(self.answer_time, took);
    }

    /// Returns the room that a request has to leave to more urgent ones.
    pub fn room_need(
        &self,
        request: &PlacementRequest,
        elsewhere: &Elsewhere,
        now: Duration,
    ) -> Option<RoomNeed> {
        let kinds = self.admission.kinds();
        if !request.ranked || kinds.is_neglected(request.order) {
            return None;
        }
        let service = service_hash(&request.service);
        let elsewhere = elsewhere.more_urgent(service, request.order, now);
        let urgent = kinds.more_urgent(request.order, now);
        let (rate, spare) = match urgent {
            None if elsewhere == 0 => return None,
            urgent => urgent.unwrap_or_default(),
        };
        let spare = spare.saturating_sub(self.answer_time);
        Some(RoomNeed { rate, hold: self.hold_time, spare, elsewhere })
    }

    /// Returns the offer of a request to the queue; `returned` tells whether its caller comes back at a time
    /// that it was told.
    pub fn offer(&self, request: &PlacementRequest, ticket: Ticket, returned: bool) -> Offer<u64> {
        Offer {
            ticket,
            workspace: request.workspace,
            order: request.order,
            share: 1,
            target_start: request.target.saturating_sub(self.answer_time),
            deadline: request.deadline,
            returned,
        }
    }

    /// Returns the number of waiting requests by service order, if they differ in urgency.
    pub fn counts(&self) -> BTreeMap<u8, u32> {
        let mut counts = BTreeMap::new();
        for waiter in self.waiters.values().filter(|waiter| waiter.request.ranked) {
            *counts.entry(waiter.request.order).or_default() += 1;
        }
        counts
    }
}

/// Returns the hash of a service's name, by which gateways name it to each other.
pub fn service_hash(service: &str) -> u64 {
    rendezvous_weight("service", service)
}

/// Returns the moving average with a new sample; the first sample is the average.
pub fn average(known: Duration, sample: Duration) -> Duration {
    let known = if known.is_zero() { sample } else { known };
    known.mul_f64(1.0 - ANSWER_WEIGHT) + sample.mul_f64(ANSWER_WEIGHT)
}
