//! Errors of the service registry and of the service life cycle.

use std::fmt;

/// Why a service could not be looked up, started or stopped, or a metric could not be registered.
#[derive(Debug)]
pub enum KernelError {
    /// No service is registered under this name.
    NotFound(String),
    /// The handle registered under this name has another type than the requested one.
    WrongType(String),
    /// A handle is already registered under this name.
    AlreadyRegistered(String),
    /// A service returned an error or panicked.
    Service {
        /// Name of the service.
        name: String,
        /// Text of the error or of the panic.
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
            Self::NotFound(name) => write!(f, "service {name:?} is not registered"),
            Self::WrongType(name) => write!(f, "service {name:?} has another type"),
            Self::AlreadyRegistered(name) => write!(f, "service {name:?} is already registered"),
            Self::Service { name, reason } => write!(f, "service {name:?} failed: {reason}"),
            Self::Metric(reason) => write!(f, "cannot register metric: {reason}"),
            Self::Signal(error) => write!(f, "cannot install signal handler: {error}"),
        }
    }
}

impl std::error::Error for KernelError {}
