//! Priority of a request in the queue of the endpoint that it is sent to.
//!
//! The load: routes of different priority share one pool, more requests arrive than the pool serves, and
//! gateways place them on news that is older than a request needs to start. Some endpoints get more
//! requests than they have slots for, and the excess waits at the endpoint. In order of arrival, the
//! urgent requests would wait there as long as those that can wait.
//!
//! Requests that can meet their latency target go first, by service order; then those that cannot, by
//! service order. One of [`PROMOTION_PERIOD`] requests of each kind goes with the most urgent, since a busy
//! endpoint would otherwise never come to those of the last priority. Streams that are resumed go before
//! all others, because their callers already read.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;

use crate::catalog::Route;

/// Priority of a resumed stream.
const RESUMED: u8 = 0;
/// Highest priority of other requests.
const FIRST: u8 = 1;
/// Number of priorities for requests that can meet their target, and as many for those that cannot;
/// endpoints distinguish ten priorities.
const RANKS_MAX: usize = 4;
/// Requests of one kind among which one goes with the most urgent.
const PROMOTION_PERIOD: u64 = 4;

/// Facts about a request that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    /// Service order; a lower number is served first.
    pub order: u8,
    /// Whether the answer can still start within the latency target.
    pub in_time: bool,
    /// Whether the request resumes a stream.
    pub resumed: bool,
    /// Uniform over all values and independent of the other facts.
    pub draw: u64,
}

/// Service orders of a service whose routes differ in priority or latency target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UrgencyScale {
    /// Orders of the service's requests, ascending.
    orders: SmallVec<[u8; 16]>,
}

impl UrgencyScale {
    /// Creates the scale of a service with these routes, whose requests have these service orders; `None` if
    /// the routes differ in neither priority nor latency target.
    pub fn new<'a, R, O>(routes: R, orders: O) -> Option<Self>
    where
        R: IntoIterator<Item = &'a Route>,
        O: IntoIterator<Item = u8>,
    {
        let kinds: BTreeSet<(u8, Duration)> =
            routes.into_iter().map(|route| (route.priority, route.target)).collect();
        let orders: BTreeSet<u8> = orders.into_iter().collect();
        (kinds.len() > 1).then(|| Self { orders: orders.into_iter().collect() })
    }

    /// Returns the priority of a request at its endpoint; 0 is the most urgent.
    pub fn priority(&self, sending: &Sending) -> u8 {
        if sending.resumed {
            return RESUMED;
        }
        if sending.draw % PROMOTION_PERIOD == 0 {
            return FIRST;
        }
        let ranks = self.orders.len().clamp(1, RANKS_MAX);
        let position = self.orders.iter().filter(|order| **order < sending.order).count();
        let rank = (position * ranks / self.orders.len().max(1)).min(ranks - 1);
        let behind = if sending.in_time { 0 } else { ranks };
        FIRST + (behind + rank) as u8
    }
}
