//! Errors of links between processes.

use std::fmt;
use std::net::SocketAddr;

/// Why a call or a listener failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No reply within the call's timeout; the server may have received the request.
    Timeout(SocketAddr),
    /// The connection closed before the reply; the server may have received the request.
    Closed(SocketAddr),
    /// An nng operation failed.
    Nng {
        /// Address of the peer, or of the listener itself.
        address: SocketAddr,
        /// Text of nng's error.
        reason: String,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Timeout(address) => write!(f, "no reply from {address} within the timeout"),
            Self::Closed(address) => write!(f, "connection to {address} closed"),
            Self::Nng { address, reason } => write!(f, "link {address}: {reason}"),
        }
    }
}

impl std::error::Error for LinkError {}

impl LinkError {
    /// Converts an nng error and adds the address.
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
