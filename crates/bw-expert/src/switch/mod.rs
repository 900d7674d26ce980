//! Switches a lock-step group from one expert map to another.
//!
//! The agent of rank 0 is the coordinator. The protocol needs neither a store nor a clock. It is
//! safe for three reasons. A rank that accepts a proposal has its engine hold the step, so the
//! promise survives a restart of the agent. Each decision is addressed to one incarnation of one
//! agent. A coordinator decides only after every rank has reported to its ballot.
//! `docs/design/switch.md` explains why this suffices, and `bw-explore` searches for
//! counterexamples.

mod coordinator;
mod rank;

pub use coordinator::Coordinator;
pub use coordinator::Event;
pub use coordinator::Phase;
pub use rank::Action;
pub use rank::Rank;
