//! What arrives and is served of each kind of request that shares a pool, by service order.
//!
//! The load: kinds of different urgency arrive at more than the pool serves, at rates that change within
//! seconds. Strict precedence would leave nothing to the kinds that can wait; a kind that is served much
//! less often than the others goes first until it has caught up.

use std::time::Duration;

use smallvec::SmallVec;

/// Time over which arrivals are averaged.
const WINDOW: Duration = Duration::from_secs(4);
/// Served part of a kind's arrivals, relative to that of all kinds, below which the kind goes first.
const FLOOR: f64 = 0.25;
/// Requests that count as served of each kind, so that a kind is not neglected as soon as one waits.
const SPARE_COUNT: f64 = 0.25;

/// Decaying counts of one kind.
#[derive(Clone, Copy, Debug)]
struct Tally {
    order: u8,
    arrived: f64,
    served: f64,
    /// Shortest time recently between an arrival and the latest timely start.
    spare: Duration,
}

/// Decaying counts of the kinds of one pool.
#[derive(Clone, Debug, Default)]
pub struct Kinds {
    tallies: SmallVec<[Tally; 4]>,
    first: Option<Duration>,
    updated_at: Duration,
}

impl Kinds {
    /// Records that a request arrived which can start up to `spare` later and still be in time.
    pub fn record_arrival(&mut self, order: u8, spare: Duration, now: Duration) {
        self.decay(now);
        self.first.get_or_insert(now);
        match self.tallies.iter_mut().find(|tally| tally.order == order) {
            Some(tally) => {
                tally.arrived += 1.0;
                tally.spare = spare;
            }
            None => self.tallies.push(Tally { order, arrived: 1.0, served: 0.0, spare }),
        }
    }

    /// Records that a request was placed at an endpoint.
    pub fn record_served(&mut self, order: u8, now: Duration) {
        self.decay(now);
        if let Some(tally) = self.tallies.iter_mut().find(|tally| tally.order == order) {
            tally.served += 1.0;
        }
    }

    /// Returns whether a kind is served less than [`FLOOR`] times as often as all kinds together.
    pub fn is_neglected(&self, order: u8) -> bool {
        let Some(own) = self.tallies.iter().find(|tally| tally.order == order) else {
            return false;
        };
        let arrived: f64 = self.tallies.iter().map(|tally| tally.arrived).sum();
        let served: f64 = self.tallies.iter().map(|tally| tally.served).sum();
        (own.served + SPARE_COUNT) * arrived < FLOOR * served * own.arrived
    }

    /// Returns the arrivals a second of the kinds that are more urgent than `order`, and the shortest time
    /// that one of them can wait; `None` if there are none.
    pub fn more_urgent(&self, order: u8, now: Duration) -> Option<(f64, Duration)> {
        let urgent = self.tallies.iter().filter(|tally| tally.order < order);
        let spare = urgent.clone().map(|tally| tally.spare).min()?;
        let arrived: f64 = urgent.map(|tally| tally.arrived).sum();
        Some((arrived * self.decayed(now) / self.counted_time(now), spare))
    }

    /// Returns the factor by which the counts have decayed since they were updated.
    fn decayed(&self, now: Duration) -> f64 {
        (-now.saturating_sub(self.updated_at).div_duration_f64(WINDOW)).exp()
    }

    /// Returns the seconds for which the counts stand: fewer than [`WINDOW`] at first.
    fn counted_time(&self, now: Duration) -> f64 {
        let known = now.saturating_sub(self.first.unwrap_or(now)).div_duration_f64(WINDOW);
        WINDOW.as_secs_f64() * (1.0 - (-known).exp()).max(FLOOR)
    }

    fn decay(&mut self, now: Duration) {
        let factor = self.decayed(now);
        self.updated_at = self.updated_at.max(now);
        for tally in &mut self.tallies {
            tally.arrived *= factor;
            tally.served *= factor;
        }
    }
}
