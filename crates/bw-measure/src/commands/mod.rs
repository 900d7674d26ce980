//! One file for each measurement.

mod path;
mod session;

pub use path::Path;
pub use session::Session;
