//! Requests that wait at other gateways.
//!
//! The load: slots are scarce, urgent requests wait at some gateways while at others only requests wait that
//! are less urgent. A slot that looks free to all of them would go to whoever asks first. Gateways therefore
//! tell each other how many requests wait, by service order, and requests that are less urgent leave the
//! slots of other gateways to them. They go on using home slots of their own gateway, so that not all give
//! way at the same moment.
//!
//! News count for some rounds only: a gateway that is silent or cut off is not waited for.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Rounds of news for which a peer's waiting requests count.
const FRESH_ROUNDS: u32 = 3;

/// Requests of one service and order that wait at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingCount {
    /// Hash of the service's name.
    pub service: u64,
    /// Service order.
    pub order: u8,
    /// Number of requests.
    pub count: u32,
}

/// Requests that wait at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingNews {
    /// Instance of the gateway.
    pub instance: String,
    /// Counts by service and order.
    pub counts: Vec<WaitingCount>,
}

/// Requests that wait at the other gateways.
#[derive(Clone, Debug, Default)]
pub struct Elsewhere {
    /// Counts of each gateway, with the time until which they are fresh.
    peers: HashMap<String, (Duration, Vec<WaitingCount>)>,
}

impl Elsewhere {
    /// Replaces the counts of a peer; `round` is the time between two rounds of news.
    pub fn receive(&mut self, news: WaitingNews, round: Duration, now: Duration) {
        self.peers.retain(|_, (until, _)| *until >= now);
        self.peers.insert(news.instance, (now + round * FRESH_ROUNDS, news.counts));
    }

    /// Returns the number of requests of a service that wait elsewhere and are more urgent than `order`.
    pub fn more_urgent(&self, service: u64, order: u8, now: Duration) -> u32 {
        let fresh = self.peers.values().filter(|(until, _)| *until >= now);
        let counts = fresh.flat_map(|(_, counts)| counts);
        let counts = counts.filter(|one| one.service == service && one.order < order);
        counts.fold(0, |sum, one| sum.saturating_add(one.count))
    }
}
