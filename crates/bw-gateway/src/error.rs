//! Errors that end the gateway.

use std::fmt;

use bw_conf::Faults;
use bw_kernel::KernelError;

/// Error that prevents the gateway from running.
#[derive(Debug)]
pub enum GatewayError {
    /// The settings are not valid.
    Settings(Faults),
    /// A service failed.
    Kernel(KernelError),
    /// A file or socket could not be opened.
    Io(std::io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(faults) => write!(f, "{faults}"),
            Self::Kernel(error) => write!(f, "{error}"),
            Self::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for GatewayError {}

impl From<Faults> for GatewayError {
    fn from(faults: Faults) -> Self {
        Self::Settings(faults)
    }
}

impl From<KernelError> for GatewayError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}

impl From<std::io::Error> for GatewayError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}
