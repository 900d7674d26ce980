//! Errors of the command line.

use std::fmt;

use bw_conf::Faults;
use bw_http::ClientError;
use bw_kernel::KernelError;
use bw_model::Version;
use bw_platform::StoreError;

/// Why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// A file cannot be read.
    File {
        /// The file.
        file: String,
        /// Why.
        error: std::io::Error,
    },
    /// The configuration has faults.
    Config(Faults),
    /// The platform failed.
    Store(StoreError),
    /// Another change was accepted first.
    Raced {
        /// Version that was accepted.
        version: Version,
        /// Sections in which it differs from the files.
        diff: Vec<String>,
    },
    /// Some processes have not put the version in force in time.
    Behind {
        /// The version.
        version: Version,
        /// Instances that are behind.
        instances: Vec<String>,
    },
    /// No entry answered.
    NoEntry(String),
    /// An entry's reply is not as expected.
    Entry(ClientError),
    /// The process could not be set up.
    Kernel(KernelError),
    /// The command line is not valid.
    Usage(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { file, error } => write!(f, "{file}: {error}"),
            Self::Config(faults) => write!(f, "{faults}"),
            Self::Store(error) => write!(f, "{error}"),
            Self::Raced { version, diff } => {
                writeln!(
                    f,
                    "version {version} was accepted first; nothing of this change is in force"
                )?;
                write!(f, "it differs from the files in:\n{}", diff.join("\n"))
            }
            Self::Behind { version, instances } => {
                write!(
                    f,
                    "version {version} is accepted but not in force at: {}",
                    instances.join(", ")
                )
            }
            Self::NoEntry(reason) => write!(f, "no entry answered: {reason}"),
            Self::Entry(error) => write!(f, "entry: {error}"),
            Self::Kernel(error) => write!(f, "{error}"),
            Self::Usage(reason) => write!(f, "{reason}; see --help"),
        }
    }
}

impl std::error::Error for CtlError {}

impl From<Faults> for CtlError {
    fn from(faults: Faults) -> Self {
        Self::Config(faults)
    }
}

impl From<StoreError> for CtlError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<ClientError> for CtlError {
    fn from(error: ClientError) -> Self {
        Self::Entry(error)
    }
}

impl From<KernelError> for CtlError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}
