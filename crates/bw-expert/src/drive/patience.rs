//! Decides how long to wait for the answer to a command before it is sent again.
//!
//! Load pattern: ranks leave a part of the commands unanswered while a step is held, and the whole group
//! stands still until the last rank has confirmed. Commands may be repeated at any time, so the wait
//! follows the time that answers take, as in the retransmission timer of TCP.

use std::time::Duration;

/// Weight of a new time in the smoothed time.
const TIME_WEIGHT: f64 = 0.125;
/// Weight of a new deviation in the smoothed deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of deviations added to the smoothed time.
const DEVIATIONS: f64 = 4.0;
/// Bounds of the wait for answers to commands. Below the lower one, commands would be repeated while the
/// process waits for its processor.
pub const COMMAND_WAIT: (Duration, Duration) =
    (Duration::from_millis(25), Duration::from_millis(150));
/// Bounds of the wait for answers to commands that carry a map, whose transfer takes a part of the time.
pub const MAP_WAIT: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1_000));

/// Times that a group's ranks take to answer commands.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Shortest and longest wait.
    range: (Duration, Duration),
    /// Wait before any answer is known.
    first: Duration,
    /// Smoothed time and its smoothed deviation, in seconds; `None` before the first answer.
    answers: Option<(f64, f64)>,
}

impl Default for Patience {
    /// Creates the patience for answers to commands without a map.
    fn default() -> Self {
        Self::new(COMMAND_WAIT, COMMAND_WAIT.1)
    }
}

impl Patience {
    /// Creates a patience of which no answer is known, with the shortest and the longest wait, and the wait
    /// until an answer is known. A new driver may have to prepare maps while a step is held, so that its first wait
    /// must not be long.
    pub fn new(range: (Duration, Duration), first: Duration) -> Self {
        Self { range, first, answers: None }
    }

    /// Creates the patience for answers to commands that carry a map.
    pub fn for_maps() -> Self {
        Self::new(MAP_WAIT, MAP_WAIT.0)
    }

    /// Records the time that an answer took.
    pub fn record(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        self.answers = Some(match self.answers {
            None => (took, took / 2.0),
            Some((time, deviation)) => (
                time + TIME_WEIGHT * (took - time),
                deviation + DEVIATION_WEIGHT * ((took - time).abs() - deviation),
            ),
        });
    }

    /// Returns the time to wait for an answer.
    pub fn wait(&self) -> Duration {
        let (least, most) = self.range;
        let Some((time, deviation)) = self.answers else { return self.first };
        Duration::from_secs_f64(time + DEVIATIONS * deviation).clamp(least, most)
    }
}
