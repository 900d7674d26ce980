//! Checks fencing numbers at the process that carries out orders.

use bw_model::Fence;

/// Accepts orders whose fencing number is at least the highest known one.
///
/// After a restart the guard accepts nothing until it has learned the current number, because an
/// order of a former holder may still be in flight.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceGuard {
    known: Option<Fence>,
}

/// Result of the check of an order's fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FenceVerdict {
    /// The order may be carried out.
    Pass,
    /// A newer holder exists, with this fencing number.
    Stale(Fence),
    /// The current number has not been read since the restart.
    Unlearned,
}

impl FenceGuard {
    /// Creates a guard that knows no number and accepts nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the number of the lease as read from the store after the restart. A number below the
    /// known one is ignored.
    pub fn learn(&mut self, fence: Fence) {
        self.known = self.known.max(Some(fence));
    }

    /// Checks an order's number and records it when the order passes.
    pub fn check(&mut self, fence: Fence) -> FenceVerdict {
        match self.known {
            None => FenceVerdict::Unlearned,
            Some(known) if fence < known => FenceVerdict::Stale(known),
            Some(_) => {
                self.known = Some(fence);
                FenceVerdict::Pass
            }
        }
    }

    /// Returns the highest known number; `None` before the first [`FenceGuard::learn`].
    pub fn known(&self) -> Option<Fence> {
        self.known
    }
}
