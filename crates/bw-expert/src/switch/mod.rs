//! The switch of a lock-step group from one expert map to another.
//!
//! The agent of rank 0 coordinates. No store and no clock takes part. A rank that accepts a
//! proposal has its engine hold the step, so the promise outlives the agent; verdicts are meant
//! for one life of one agent; a coordinator decides only what every rank has reported to its own
//! ballot. `docs/design/switch.md` has the argument, and `bw-explore` attacks it.

mod coordinator;
mod rank;

pub use coordinator::Coordinator;
pub use coordinator::Event;
pub use coordinator::Phase;
pub use rank::Action;
pub use rank::Rank;
