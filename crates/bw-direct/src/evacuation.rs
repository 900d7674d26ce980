//! Decides which endpoints of a lock-step group running streams should leave.
//!
//! Load pattern: one rank turns several times slower than the others. Every rank waits for the slowest
//! one in each step, for as long as that rank has requests of its own, so its few streams make all
//! streams of the group late until the last of them ends. Streams that can be resumed elsewhere therefore
//! move at once.

/// Pace from which an endpoint receives no new work while faster ones exist, and from which its
/// streams move.
pub const PACE_LIMIT: f64 = 2.0;
/// Largest part of a group that is evacuated. When more ranks are slow, their streams would crowd the
/// others.
const EVACUATED_MAX: f64 = 0.25;

/// Returns whether the streams at an endpoint with this pace should move, given the paces of all slow
/// endpoints of its group and the number of ranks of the group.
pub fn should_evacuate(pace: f64, slow_paces: &[f64], ranks: usize) -> bool {
    let slow = slow_paces.iter().filter(|pace| **pace >= PACE_LIMIT).count();
    pace >= PACE_LIMIT && slow as f64 <= ranks as f64 * EVACUATED_MAX
}
