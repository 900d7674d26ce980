//! Errors of measurements.

use std::fmt;

use bw_http::ClientError;

/// The reason why a measurement failed.
#[derive(Debug)]
pub enum MeasureError {
    /// An HTTP call failed.
    Call(ClientError),
    /// An unexpected reply, input or state of the system.
    Unexpected(String),
    /// The measured system violates a requirement that the measurement checks.
    Check(String),
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => write!(f, "{error}"),
            Self::Unexpected(reason) => write!(f, "{reason}"),
            Self::Check(reason) => write!(f, "check failed: {reason}"),
        }
    }
}

impl std::error::Error for MeasureError {}

impl From<ClientError> for MeasureError {
    fn from(error: ClientError) -> Self {
        Self::Call(error)
    }
}
