//! Switches the map of a group whose ranks take commands from afar.
//!
//! The ranks do not compare maps: a step that starts while one of them is armed and another is not
//! runs on two maps. The driver therefore holds the step first, arms all ranks, and releases the
//! step only when each rank has answered that it is armed, or that it is not and never will be. A
//! command without an answer may be carried out seconds later. It is repeated until an answer
//! comes; what may still be on its way then repeats what is done, or carries a fencing number that
//! the rank has seen exceeded, or names a step that has started.

pub mod command;
pub mod driver;

pub use command::Answer;
pub use command::Command;
pub use command::RankState;
pub use command::Sending;
pub use driver::Driver;
pub use driver::Phase;
