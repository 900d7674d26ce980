//! Errors of the kernel.

use std::fmt;

/// What can go wrong while services are found, started or stopped.
#[derive(Debug)]
pub enum KernelError {
    /// No service has this name.
    Absent(String),
    /// The service of this name has another type.
    Type(String),
    /// Another service has this name already.
    Taken(String),
    /// A service ended with an error.
    Service {
        /// Name of the service.
        name: String,
        /// Its error.
        reason: String,
    },
    /// A metric could not be registered.
    Metric(String),
    /// The signal handler could not be installed.
    Signal(std::io::Error),
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Absent(name) => write!(f, "no service is called {name:?}"),
            Self::Type(name) => write!(f, "service {name:?} is of another type"),
            Self::Taken(name) => write!(f, "service {name:?} is registered twice"),
            Self::Service { name, reason } => write!(f, "service {name:?} failed: {reason}"),
            Self::Metric(reason) => write!(f, "metric cannot be registered: {reason}"),
            Self::Signal(error) => write!(f, "signal handler cannot be installed: {error}"),
        }
    }
}

impl std::error::Error for KernelError {}
