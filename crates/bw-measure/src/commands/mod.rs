//! One file for each measurement.

mod path;
mod plan;
mod session;
mod skew;

pub use path::Path;
pub use plan::PlanTime;
pub use session::Session;
pub use skew::Skew;
