//! Chooses the expert map of a group.
//!
//! `demand` estimates the tokens of each expert from noisy reports, `shares` splits the tokens of
//! replicated experts without moving weights, `moves` finds the few expert moves that are worth
//! their price, `planner` combines the three, and `baseline` holds simpler plans against which the
//! planner is measured. For groups that share each expert evenly among its holders, `sample`
//! estimates demand from the counts of a few ranks, whose number `reading` sets, `held` checks what the
//! ranks say they hold, `replicas` searches for a placement, `reserve` adds holders in free places, `maps`
//! plans all sets of a group, and `urgency` sets the gain that a new map has to bring.

pub mod baseline;
pub mod demand;
pub mod held;
pub mod maps;
pub mod moves;
pub mod planner;
pub mod reading;
pub mod replicas;
pub mod reserve;
pub mod sample;
pub mod shares;
pub mod skew;
pub mod urgency;

pub use demand::Estimator;
pub use planner::Plan;
pub use planner::Planner;
pub use planner::Tuning;
