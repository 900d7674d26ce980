//! Membership: heartbeats of agents, digests exchanged by entries, leaving processes, and the entry
//! addresses returned to callers.
//!
//! Nothing in this crate proves that a process is dead. A missing heartbeat only lowers preference.

pub mod addresses;
pub mod heartbeat;
pub mod roster;

pub use addresses::Address;
pub use heartbeat::Digest;
pub use heartbeat::Heartbeat;
pub use heartbeat::Load;
pub use heartbeat::PeerState;
pub use roster::GossipLimits;
pub use roster::Health;
pub use roster::Roster;
