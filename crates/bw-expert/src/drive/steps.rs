//! Estimates which step of a group is in progress from the steps that ranks report.
//!
//! A wrong digit in one report must not set the estimate: a driver that believed a step far ahead would arm
//! the ranks for it, and could not start another switch until the group got there.

use std::time::Duration;

/// Shortest and longest length that a step is assumed to have.
const LENGTH_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(1_000));
/// Length of a step below which steps that have passed are not believed.
const LENGTH_MIN: Duration = Duration::from_millis(1);
/// Maximum number of steps after the last known one that are assumed to have started. Reports of different
/// ranks differ by less.
const STEPS_AHEAD_MAX: u64 = 10;

/// A step, and the time at which it was known to have started.
type Sighting = (u64, Duration);

/// Steps of one incarnation of a group.
#[derive(Clone, Copy, Debug)]
pub struct StepEstimate {
    last: Option<Sighting>,
    /// A report that did not fit the last known step. It counts if the next one fits it.
    doubted: Option<Sighting>,
    /// Length of a step: as configured at first, later as measured between known steps.
    length: Duration,
}

impl StepEstimate {
    /// Creates the estimate of a group whose steps take `length` by its configuration.
    pub fn new(length: Duration) -> Self {
        Self { last: None, doubted: None, length }
    }

    /// Forgets the known step, since the group may have a new incarnation.
    pub fn reset(&mut self) {
        self.last = None;
        self.doubted = None;
    }

    /// Returns the last known step; 0 if none is known.
    pub fn last_step(&self) -> u64 {
        self.last.map_or(0, |(step, _)| step)
    }

    /// Records that a step had started at a time; data older than the last known step is ignored. Returns
    /// false for a step that is not believed yet.
    pub fn record(&mut self, step: u64, at: Duration) -> bool {
        let new = (step, at);
        match self.last {
            Some(last) if follows(last, new) => {
                self.doubted = None;
                let (known, then) = last;
                if step > known && at > then {
                    let steps = u32::try_from(step - known).unwrap_or(u32::MAX);
                    self.length = ((at - then) / steps).clamp(LENGTH_RANGE.0, LENGTH_RANGE.1);
                    self.last = Some(new);
                }
                true
            }
            Some(_) if !self.doubted.is_some_and(|doubted| follows(doubted, new)) => {
                self.doubted = Some(new);
                false
            }
            _ => {
                self.doubted = None;
                self.last = Some(new);
                true
            }
        }
    }

    /// Returns the step that is expected to be in progress at `now`; `observed` is the length of steps as
    /// the streams show it.
    pub fn expected(&self, observed: Option<Duration>, now: Duration) -> u64 {
        let Some((step, at)) = self.last else { return 0 };
        let length = observed.map_or(self.length, |observed| observed.min(self.length));
        let passed = now.saturating_sub(at).as_secs_f64() / length.as_secs_f64().max(1e-3);
        step.saturating_add((passed as u64).min(STEPS_AHEAD_MAX))
    }
}

/// Returns whether a group may have gone from one sighting to the other.
fn follows((known, then): Sighting, (step, at): Sighting) -> bool {
    let passed = at.saturating_sub(then).as_micros() / LENGTH_MIN.as_micros();
    let passed = u64::try_from(passed).unwrap_or(u64::MAX);
    let most = known.saturating_add(passed).saturating_add(STEPS_AHEAD_MAX);
    step <= most && step.saturating_add(STEPS_AHEAD_MAX) >= known
}
