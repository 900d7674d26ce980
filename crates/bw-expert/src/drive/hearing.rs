//! Decides when a driver takes itself for cut off from the ranks of its group.
//!
//! Load pattern: the driver's machine is cut off, and every command and read ends without an answer and is repeated
//! at once, for as long as nobody else takes the group over.

use std::time::Duration;

/// Time without any answer, while calls are under way, after which a driver counts as cut off.
const UNHEARD_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Answers of the ranks of one group to its driver.
#[derive(Clone, Copy, Debug)]
pub struct Hearing {
    /// Time of the last answer, or of the last moment at which no call was under way.
    heard_at: Duration,
}

impl Hearing {
    /// Creates the hearing of a driver that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { heard_at: now }
    }

    /// Records that a rank answered, or that no call is under way.
    pub fn record(&mut self, now: Duration) {
        self.heard_at = now;
    }

    /// Returns whether the driver is cut off.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard_at) > UNHEARD_TIMEOUT
    }
}
