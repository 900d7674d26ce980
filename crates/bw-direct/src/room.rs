//! Room that requests which can wait leave to more urgent ones.
//!
//! The load: requests that can wait fill every slot, and an urgent one then waits until a slot frees. A
//! gateway has few home slots, so that this alone takes longer than its latency target allows. Requests
//! that can wait therefore leave some home slots free while slots are scarce: as many as the urgent ones
//! need to be in time at the rate at which they arrive.

use std::time::Duration;

use crate::place::Candidate;

/// Part of the urgent requests that may be late.
const LATE_SHARE: f64 = 0.05;
/// Divisor of a gateway's home slots that gives the most that are kept free.
const ROOM_DIVISOR: u32 = 4;

/// More urgent requests that compete with one that can wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomNeed {
    /// Arrivals a second of the more urgent requests at this gateway.
    pub rate: f64,
    /// Mean time for which a request holds a slot.
    pub hold: Duration,
    /// Time that the more urgent requests can wait and still be in time.
    pub spare: Duration,
    /// More urgent requests that wait at other gateways.
    pub elsewhere: u32,
}

impl RoomNeed {
    /// Returns how many of `count` slots to keep free.
    ///
    /// With slots that free at the rate `1 / interval`, of which the urgent requests use the part `load`,
    /// `room` free slots leave the part `load.powi(room) * exp(-(1 - load) * spare / interval)` of them late.
    pub fn slots(&self, count: u32) -> u32 {
        let room_max = count / ROOM_DIVISOR;
        let interval = self.hold.as_secs_f64() / f64::from(count.max(1));
        let load = self.rate * interval;
        // Room does not help requests that will be late wherever they go.
        if load <= 0.0 || self.spare.is_zero() {
            return 0;
        }
        if load >= 1.0 {
            return room_max;
        }
        let late = (-(1.0 - load) * self.spare.as_secs_f64() / interval).exp();
        let room = ((LATE_SHARE / late).ln() / load.ln()).ceil().max(0.0);
        (room as u32).min(room_max)
    }
}

/// Removes the candidates at which a request that can wait would take the room of the more urgent ones, in a
/// pool that `gateways` gateways share.
///
/// Only home slots are used while slots are scarce in the whole pool, because a slot of another gateway
/// may be the room that it keeps, or may be needed by a more urgent request that waits elsewhere.
pub fn leave_room(candidates: &mut Vec<Candidate>, need: &RoomNeed, gateways: usize) {
    let room = need.slots(candidates.iter().map(|one| one.home_slots).sum());
    let free = |one: &Candidate| one.slots.saturating_sub(one.work.requests);
    let all: u32 = candidates.iter().map(free).sum();
    let scarce = all as usize <= room as usize * gateways + need.elsewhere as usize;
    if !scarce || (room == 0 && need.elsewhere == 0) {
        return;
    }
    let home = |one: &Candidate| free(one).min(one.home_slots.saturating_sub(one.own));
    let homes: u32 = candidates.iter().map(home).sum();
    // An endpoint with half of its slots free has room for all.
    let is_open = |one: &Candidate| free(one) * 2 >= one.slots;
    candidates.retain(|one| is_open(one) || (homes > room && home(one) > 0));
}
