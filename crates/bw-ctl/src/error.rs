//! Errors of `bwctl` commands.

use std::fmt;
use std::net::SocketAddr;

use bw_conf::Faults;
use bw_http::ClientError;
use bw_kernel::KernelError;
use bw_model::Version;
use bw_platform::StoreError;

/// Reason why a command failed.
#[derive(Debug)]
pub enum CtlError {
    /// A file or standard input cannot be read.
    File {
        /// Path of the file, or `standard input`.
        file: String,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The configuration is not valid.
    Config(Faults),
    /// A call to the object store failed.
    Store(StoreError),
    /// Another change was accepted first.
    Conflict {
        /// Version that was accepted instead.
        version: Version,
        /// Sections in which that version differs from the files.
        diff: Vec<String>,
    },
    /// The version was not in force at every process before the time limit.
    Behind {
        /// The accepted version.
        version: Version,
        /// Instances where the version is not in force, or why their state is unknown.
        instances: Vec<String>,
    },
    /// No entry returned a usable answer.
    NoEntry(String),
    /// A request to an entry failed, or the reply is not as expected.
    Entry(ClientError),
    /// A gateway did not answer a question.
    Gateway {
        /// Address of the gateway.
        gateway: SocketAddr,
        /// Why there is no usable answer.
        reason: String,
    },
    /// The client of the object store could not be set up.
    Kernel(KernelError),
    /// The arguments are not valid.
    Usage(String),
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { file, error } => write!(f, "{file}: {error}"),
            Self::Config(faults) => write!(f, "{faults}"),
            Self::Store(error) => write!(f, "{error}"),
            Self::Conflict { version, diff } => {
                writeln!(f, "version {version} was accepted first; this change was not applied")?;
                write!(f, "sections that differ from the files:\n{}", diff.join("\n"))
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
            Self::Gateway { gateway, reason } => write!(f, "gateway {gateway}: {reason}"),
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
