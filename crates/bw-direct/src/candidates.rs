//! Order in which gateways take over the planning duty.
//!
//! Load pattern: the holder of the duty sends a map to each rank of a group, tens of megabits in all. A gateway
//! with a narrow link or a small part of a processor takes many times as long as the widest ones of the
//! deployment, and every step is longer meanwhile.

use std::cmp::Reverse;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

/// Candidates that the holder of the duty sends news to between the rounds, so that they notice its silence
/// soon and take no lost datagram for it.
pub const WATCHERS: usize = 3;

/// What a gateway has for the planning duty, as its settings state it; more is better.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Capacity(u32);

impl Capacity {
    /// Returns the capacity of a gateway with a link of `link` Mbit/s and this share of a processor.
    pub fn new(link: f64, share: f64) -> Self {
        // Fractions of a megabit do not matter to the order.
        Self((link * share).ceil() as u32)
    }
}

/// Capacity of a gateway, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityNews {
    /// Instance of the gateway.
    pub instance: String,
    /// Capacity of the gateway.
    pub capacity: Capacity,
}

/// Returns the instances in the order in which they take the duty over: by capacity, then by name. Gateways
/// that have not told their capacity come last.
pub fn order<'a, I>(instances: I, capacities: &HashMap<String, Capacity>) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order: Vec<&str> = instances.collect();
    order.sort_by_key(|instance| (Reverse(capacities.get(*instance).copied()), *instance));
    order
}
