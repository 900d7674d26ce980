//! Estimates the step length of a group from the streams that pass through this gateway.
//!
//! All ranks of a group advance together, so all streams of the group receive events with the same
//! pauses. A shift in the demand for experts lengthens the pauses of all streams at the same time,
//! which makes the shift visible here without querying the group.

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of stored pauses.
const PAUSES_MAX: usize = 256;
/// Window over which the current step length is measured.
const CURRENT_SPAN: Duration = Duration::from_millis(150);
/// Window over which the baseline is measured.
const BASELINE_SPAN: Duration = Duration::from_millis(3_000);
/// Minimum number of pauses in a window for an estimate.
const PAUSES_MIN: usize = 4;
/// Ratio of the current to the baseline step length above which demand is considered to have
/// shifted.
const JUMP_FACTOR: f64 = 1.2;
/// Quantile of the pauses, from the shortest, that serves as the baseline.
const BASELINE_QUANTILE: f64 = 0.3;

/// Recent pauses in the streams of one group.
#[derive(Clone, Debug, Default)]
pub struct StepTracker {
    pauses: VecDeque<(Duration, Duration)>,
}

impl StepTracker {
    /// Records that an event arrived `pause` after the previous event of its stream.
    pub fn record(&mut self, pause: Duration, now: Duration) {
        self.pauses.push_back((now, pause));
        let old = |at: &Duration| now.saturating_sub(*at) > BASELINE_SPAN;
        while self.pauses.len() > PAUSES_MAX || self.pauses.front().is_some_and(|(at, _)| old(at)) {
            self.pauses.pop_front();
        }
    }

    /// Returns the current step length, or `None` if there are too few pauses to estimate one.
    pub fn current(&self, now: Duration) -> Option<Duration> {
        let newest = self.pauses.iter().rev();
        let newest = newest.take_while(|(at, _)| now.saturating_sub(*at) <= CURRENT_SPAN);
        let mut pauses: Vec<Duration> = newest.map(|(_, pause)| *pause).collect();
        if pauses.len() < PAUSES_MIN {
            return None;
        }
        pauses.sort_unstable();
        Some(pauses[pauses.len() / 2])
    }

    /// Returns the baseline step length over the last seconds.
    pub fn baseline(&self, now: Duration) -> Option<Duration> {
        let recent = self.pauses.iter().filter(|(at, _)| now.saturating_sub(*at) <= BASELINE_SPAN);
        let mut pauses: Vec<Duration> = recent.map(|(_, pause)| *pause).collect();
        if pauses.len() < PAUSES_MIN {
            return None;
        }
        pauses.sort_unstable();
        Some(pauses[(pauses.len() as f64 * BASELINE_QUANTILE) as usize])
    }

    /// Returns whether steps have become longer than load explains.
    pub fn has_jumped(&self, now: Duration) -> bool {
        match (self.current(now), self.baseline(now)) {
            (Some(current), Some(baseline)) => current > baseline.mul_f64(JUMP_FACTOR),
            _ => false,
        }
    }

    /// Discards all pauses, for example when the group has started a new incarnation or switched
    /// its map.
    pub fn clear(&mut self) {
        self.pauses.clear();
    }
}
