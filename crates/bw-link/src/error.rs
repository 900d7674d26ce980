//! Errors of links.

use std::fmt;
use std::net::SocketAddr;

/// Why a call or a listener failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No reply within the call's timeout; the request may have arrived.
    Timeout(SocketAddr),
    /// The connection closed before the reply; the request may have arrived.
    Closed(SocketAddr),
    /// nng refused an operation.
    Nng {
        /// The other side, or the own address of a listener.
        address: SocketAddr,
        /// What nng says.
        reason: String,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout(address) => write!(f, "no reply from {address} in time"),
            Self::Closed(address) => write!(f, "connection to {address} closed"),
            Self::Nng { address, reason } => write!(f, "link {address}: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Turns an nng error into one that names the address.
    pub fn from_nng(address: SocketAddr, error: nng::Error) -> Self {
        match error {
            nng::Error::TimedOut => Self::Timeout(address),
            nng::Error::Closed | nng::Error::ConnectionReset | nng::Error::ConnectionShutdown => {
                Self::Closed(address)
            }
            other => Self::Nng { address, reason: other.to_string() },
        }
    }
}
