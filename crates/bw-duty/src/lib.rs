//! Leased duties and fencing numbers.

pub mod fencing;
pub mod lease;
pub mod stand_in;

pub use fencing::FenceGuard;
pub use lease::Lease;
pub use lease::LeaseStep;
pub use lease::Tenant;
pub use stand_in::StandIn;
