//! Membership: heartbeats of agents, digests between entries, leaving, and addresses for callers.
//!
//! Nothing here proves that a process is dead. A missing heartbeat lowers preference only.

pub mod addresses;
pub mod beat;
pub mod roster;

pub use addresses::Address;
pub use beat::Beat;
pub use beat::Digest;
pub use beat::Load;
pub use beat::PeerState;
pub use roster::Health;
pub use roster::Roster;
pub use roster::Spread;
