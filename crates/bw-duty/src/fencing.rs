//! The check of fencing numbers where orders are carried out.

use bw_model::Fence;

/// Lets orders pass whose fencing number is the highest known.
///
/// After a restart the guard passes nothing until it has learned the current number, because an
/// old order may still be on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceGuard {
    known: Option<Fence>,
}

/// Verdict on an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Passage {
    /// The order may be carried out.
    Pass,
    /// A newer holder exists.
    Stale(Fence),
    /// The current number has not been learned since the restart.
    Unlearned,
}

impl FenceGuard {
    /// A guard that has learned nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns the number of the lease as read from the store after the restart.
    pub fn learn(&mut self, fence: Fence) {
        self.known = self.known.max(Some(fence));
    }

    /// Checks an order's number and remembers it when it passes.
    pub fn check(&mut self, fence: Fence) -> Passage {
        match self.known {
            None => Passage::Unlearned,
            Some(known) if fence < known => Passage::Stale(known),
            Some(_) => {
                self.known = Some(fence);
                Passage::Pass
            }
        }
    }

    /// The highest number known.
    pub fn known(&self) -> Option<Fence> {
        self.known
    }
}
