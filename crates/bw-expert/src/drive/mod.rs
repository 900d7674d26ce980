//! Switches the expert map of a group by remote commands to its ranks.
//!
//! The ranks do not compare maps: a step that starts while some ranks are armed and others are not
//! runs on two maps. The driver therefore prepares a new version at all ranks, holds a step at one
//! rank, arms all ranks for that step, and releases it only after each rank has confirmed that it is
//! armed.
//!
//! A command without an answer may be carried out seconds later, and a driver that was suspended may
//! continue after another one has taken over. Fencing numbers stop neither where ranks ignore them.
//! Safety rests on what every rank does:
//!
//! - It prepares only versions above all that it has had, and none while it is armed, and it arms
//!   only the version prepared last. Once every rank has confirmed a version, all prepare and arm
//!   commands for lower versions fail, and no rank is armed with one.
//! - It refuses a hold of, or an arming for, a step that has started, and commands for another
//!   incarnation of the group.
//!
//! Each driver holds steps at a rank of its own ([`Tenure`]) and releases only its own holds and those of
//! older drivers. It cancels the switch of an older driver behind a hold of its own.
//! `docs/design/drive.md` has the full argument.

pub mod command;
pub mod driver;
pub mod hearing;
pub mod patience;
pub mod steps;
pub mod tenure;
pub mod window;

pub use command::Command;
pub use command::CommandOutcome;
pub use command::RankCommand;
pub use command::RankState;
pub use driver::Driver;
pub use driver::Phase;
pub use hearing::Hearing;
pub use patience::Patience;
pub use steps::StepEstimate;
pub use tenure::Owner;
pub use tenure::Tenure;
pub use tenure::RANKS_MIN;
pub use window::maps_allowed;
