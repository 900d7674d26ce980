//! How long the steps of a group last, as the streams that pass through this entry show it.
//!
//! All ranks of a group advance together, so that every stream of the group gets its events with
//! the same pauses. When demand for experts shifts, the pauses of all streams grow at once: that is
//! seen here without asking the group.

use std::collections::VecDeque;
use std::time::Duration;

/// Pauses that are remembered.
const PAUSES_MAX: usize = 256;
/// Span of the newest pauses, which make the present length of a step.
const PRESENT: Duration = Duration::from_millis(150);
/// Span of the pauses with which it is compared.
const PAST: Duration = Duration::from_millis(3_000);
/// Pauses in the newest span below which it says nothing.
const PRESENT_MIN: usize = 4;
/// Factor by which a step has to be longer than the usual one for demand to have shifted.
const JUMP: f64 = 1.2;
/// Part of the sorted pauses that is taken for the usual length, from the shortest.
const USUAL_PART: f64 = 0.3;

/// The pauses of the streams of one group.
#[derive(Clone, Debug, Default)]
pub struct StepTrack {
    pauses: VecDeque<(Duration, Duration)>,
}

impl StepTrack {
    /// Notes that an event came `pause` after the one before it in its stream.
    pub fn note(&mut self, pause: Duration, now: Duration) {
        self.pauses.push_back((now, pause));
        let old = |at: &Duration| now.saturating_sub(*at) > PAST;
        while self.pauses.len() > PAUSES_MAX || self.pauses.front().is_some_and(|(at, _)| old(at)) {
            self.pauses.pop_front();
        }
    }

    /// Length of the steps just now; `None` when too few streams show it.
    pub fn present(&self, now: Duration) -> Option<Duration> {
        let newest = self.pauses.iter().rev();
        let newest = newest.take_while(|(at, _)| now.saturating_sub(*at) <= PRESENT);
        let mut pauses: Vec<Duration> = newest.map(|(_, pause)| *pause).collect();
        if pauses.len() < PRESENT_MIN {
            return None;
        }
        pauses.sort_unstable();
        Some(pauses[pauses.len() / 2])
    }

    /// Usual length of a step in the last seconds.
    pub fn usual(&self, now: Duration) -> Option<Duration> {
        let recent = self.pauses.iter().filter(|(at, _)| now.saturating_sub(*at) <= PAST);
        let mut pauses: Vec<Duration> = recent.map(|(_, pause)| *pause).collect();
        if pauses.len() < PRESENT_MIN {
            return None;
        }
        pauses.sort_unstable();
        Some(pauses[(pauses.len() as f64 * USUAL_PART) as usize])
    }

    /// Whether steps have become longer than load explains.
    pub fn has_jumped(&self, now: Duration) -> bool {
        match (self.present(now), self.usual(now)) {
            (Some(present), Some(usual)) => present > usual.mul_f64(JUMP),
            _ => false,
        }
    }

    /// Forgets everything, as when the group has begun another life or map.
    pub fn clear(&mut self) {
        self.pauses.clear();
    }
}
