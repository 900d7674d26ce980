//! Errors that end the entry process.

use std::fmt;

use bw_conf::Faults;
use bw_kernel::KernelError;
use bw_link::LinkError;

/// Reason for which an entry cannot start or continue.
#[derive(Debug)]
pub enum EntryError {
    /// The settings are not valid.
    Settings(Faults),
    /// A file cannot be read or a socket opened.
    Io(std::io::Error),
    /// The micro-kernel failed.
    Kernel(KernelError),
    /// A link could not be opened or failed.
    Link(LinkError),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(faults) => write!(f, "{faults}"),
            Self::Io(error) => write!(f, "{error}"),
            Self::Kernel(error) => write!(f, "{error}"),
            Self::Link(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for EntryError {}

impl From<Faults> for EntryError {
    fn from(faults: Faults) -> Self {
        Self::Settings(faults)
    }
}

impl From<std::io::Error> for EntryError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<KernelError> for EntryError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}

impl From<LinkError> for EntryError {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}
