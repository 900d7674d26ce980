//! Decides when a process should try to take over a duty whose holder is silent.
//!
//! The decision is only about when to try. A conditional write grants the duty, and the fencing
//! number that comes with the grant makes the orders of a former holder fail.

use std::time::Duration;

use bw_model::Fence;

/// Silence of the holder after which the first process in the order of candidates tries.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// Additional silence required for each further position in the order.
const POSITION_STEP: Duration = Duration::from_millis(400);
/// Time for which a process does not try after it was replaced or had to resign.
const COOLDOWN: Duration = Duration::from_secs(4);

/// A process that is ready to take over a duty.
#[derive(Clone, Debug)]
pub struct Standby {
    /// Start of the current silence of the holder.
    silent_since: Duration,
    /// The highest fencing number received or acquired.
    known: Fence,
    held: Option<Fence>,
    /// Earliest time of the next try.
    retry_at: Duration,
}

impl Standby {
    /// Creates a process that has received nothing from a holder; the silence starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self { silent_since: now, known: Fence(0), held: None, retry_at: Duration::ZERO }
    }

    /// Records that another process announces that it holds the duty with `fence`.
    ///
    /// Announcements with a lower number than the highest known are ignored.
    pub fn observe_holder(&mut self, fence: Fence, now: Duration) {
        if fence < self.known {
            return;
        }
        self.known = fence;
        self.silent_since = now;
        if self.held.is_some_and(|held| held < fence) {
            self.held = None;
        }
    }

    /// Returns whether to try now, with `position` other processes ahead of this one in the order.
    pub fn should_try(&self, position: usize, now: Duration) -> bool {
        let silence = SILENCE_MAX + POSITION_STEP * position as u32;
        self.held.is_none()
            && now >= self.retry_at
            && now.saturating_sub(self.silent_since) >= silence
    }

    /// Records that this process acquired the duty with this fencing number.
    pub fn acquire(&mut self, fence: Fence) {
        self.known = self.known.max(fence);
        self.held = Some(fence);
    }

    /// Records that a try failed because another process was first.
    pub fn record_failure(&mut self, now: Duration) {
        self.silent_since = now;
    }

    /// Gives up the duty, for example when orders fail because of a higher fencing number.
    pub fn resign(&mut self, now: Duration) {
        self.held = None;
        self.silent_since = now;
        self.retry_at = now + COOLDOWN;
    }

    /// Returns the fencing number, while this process believes that it holds the duty.
    pub fn held(&self) -> Option<Fence> {
        self.held
    }
}
