//! The error type of the agent.

use std::fmt;

use bw_conf::Faults;
use bw_http::ClientError;
use bw_kernel::KernelError;
use bw_link::LinkError;
use bw_platform::StoreError;

/// Errors of the agent process and of its expert-map switches.
#[derive(Debug)]
pub enum AgentError {
    /// The settings are not valid.
    Settings(Faults),
    /// A file could not be read, or a socket could not be opened.
    Io(std::io::Error),
    /// The micro-kernel failed, or one of its services.
    Kernel(KernelError),
    /// The link to entries and other agents could not be opened.
    Link(LinkError),
    /// The engine did not answer as expected.
    Engine(ClientError),
    /// A platform call failed.
    Store(StoreError),
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(faults) => write!(f, "{faults}"),
            Self::Io(error) => write!(f, "{error}"),
            Self::Kernel(error) => write!(f, "{error}"),
            Self::Link(error) => write!(f, "{error}"),
            Self::Engine(error) => write!(f, "engine: {error}"),
            Self::Store(error) => write!(f, "platform: {error}"),
        }
    }
}

impl std::error::Error for AgentError {}

impl From<Faults> for AgentError {
    fn from(faults: Faults) -> Self {
        Self::Settings(faults)
    }
}

impl From<std::io::Error> for AgentError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<KernelError> for AgentError {
    fn from(error: KernelError) -> Self {
        Self::Kernel(error)
    }
}

impl From<LinkError> for AgentError {
    fn from(error: LinkError) -> Self {
        Self::Link(error)
    }
}

impl From<ClientError> for AgentError {
    fn from(error: ClientError) -> Self {
        Self::Engine(error)
    }
}

impl From<StoreError> for AgentError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}
