//! Which map a group should have.
//!
//! `demand` estimates the tokens of each expert from noisy reports, `shares` splits the tokens of
//! replicated experts without moving weights, `moves` finds the few moves that are worth their
//! price, `planner` puts these together, and `baseline` holds the plans that measurements compare
//! with.

pub mod baseline;
pub mod demand;
pub mod moves;
pub mod planner;
pub mod replicas;
pub mod sample;
pub mod shares;
pub mod skew;
pub mod urgency;

pub use demand::Estimator;
pub use planner::Plan;
pub use planner::Planner;
pub use planner::Tuning;
