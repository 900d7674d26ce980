//! Switches the expert map of a group by remote commands to its ranks.
//!
//! The ranks do not compare maps: a step that starts while some ranks are armed and others are not
//! runs on two maps. The driver therefore holds the step first, arms all ranks, and releases the
//! step only after each rank has answered that it is armed, or that it is not and never will be. A
//! command without an answer may be carried out seconds later, so the driver repeats it until an
//! answer arrives. A delayed duplicate is harmless: it repeats a completed command, carries a
//! fencing number below one that the rank has already received, or names a step that has started.

pub mod command;
pub mod driver;

pub use command::Command;
pub use command::CommandOutcome;
pub use command::RankCommand;
pub use command::RankState;
pub use driver::Driver;
pub use driver::Phase;
