//! When a process should try to take a duty over from one that it no longer hears.
//!
//! This decides only when to try. A conditional write gives the duty, and the fencing number that
//! comes with it makes a former holder's orders fail.

use std::time::Duration;

use bw_model::Fence;

/// Silence of the holder after which others try, by their place in the order.
const SILENCE_MAX: Duration = Duration::from_millis(900);
/// Time between two places in the order.
const PLACE_STEP: Duration = Duration::from_millis(400);
/// Time for which a process that was replaced or had to resign does not try.
const REST: Duration = Duration::from_secs(4);

/// One process that stands ready to take a duty.
#[derive(Clone, Debug)]
pub struct StandIn {
    /// Since when no holder has been heard.
    silent: Duration,
    /// The highest fencing number heard of.
    known: Fence,
    held: Option<Fence>,
    rest: Duration,
}

impl StandIn {
    /// A process that has heard no holder since `now`.
    pub fn new(now: Duration) -> Self {
        Self { silent: now, known: Fence(0), held: None, rest: Duration::ZERO }
    }

    /// Notes that another process says it holds the duty.
    pub fn hear(&mut self, fence: Fence, now: Duration) {
        if fence < self.known {
            return;
        }
        self.known = fence;
        self.silent = now;
        if self.held.is_some_and(|held| held < fence) {
            self.held = None;
        }
    }

    /// Whether to try now, with `place` others before this process in the order.
    pub fn should_try(&self, place: usize, now: Duration) -> bool {
        let patience = SILENCE_MAX + PLACE_STEP * place as u32;
        self.held.is_none() && now >= self.rest && now.saturating_sub(self.silent) >= patience
    }

    /// Notes that the duty was taken with this fencing number.
    pub fn take(&mut self, fence: Fence) {
        self.known = self.known.max(fence);
        self.held = Some(fence);
    }

    /// Notes that a try failed because another process was first.
    pub fn miss(&mut self, now: Duration) {
        self.silent = now;
    }

    /// Gives the duty up, as when orders fail on a higher fencing number.
    pub fn resign(&mut self, now: Duration) {
        self.held = None;
        self.silent = now;
        self.rest = now + REST;
    }

    /// The fencing number, while the duty is believed to be held.
    pub fn held(&self) -> Option<Fence> {
        self.held
    }
}
