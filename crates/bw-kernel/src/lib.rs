//! The micro-kernel of each process: service registry and life cycle, metrics, logging, settings
//! that are reloaded at run time, and clocks.

pub mod drain;
pub mod error;
pub mod kernel;
pub mod live;
pub mod logging;
pub mod metrics;
pub mod registry;
pub mod time;

pub use drain::Drain;
pub use error::KernelError;
pub use kernel::Kernel;
pub use kernel::Stop;
pub use metrics::Metrics;
pub use registry::Registry;
pub use time::unix_millis;
pub use time::BootClock;
