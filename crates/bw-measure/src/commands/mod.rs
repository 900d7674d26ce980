//! The measurements, one module for each subcommand.

mod config;
mod control;
mod path;
mod plan;
mod requests;
mod session;
mod skew;

pub use config::ConfigSize;
pub use control::Control;
pub use path::Path;
pub use plan::PlanTime;
pub use requests::Requests;
pub use session::Session;
pub use skew::Skew;
