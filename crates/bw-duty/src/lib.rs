//! Duties that one process at a time performs, guarded by leases and fencing numbers.

pub mod fencing;
pub mod lease;
pub mod standby;

pub use fencing::FenceGuard;
pub use lease::Lease;
pub use lease::LeaseCandidate;
pub use lease::LeaseStep;
pub use standby::Standby;
