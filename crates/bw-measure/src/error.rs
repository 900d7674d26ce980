//! Errors of measurements.

use std::fmt;

use bw_http::ClientError;

/// Why a measurement has no result.
#[derive(Debug)]
pub enum MeasureError {
    /// A call failed.
    Call(ClientError),
    /// Something else is not as it should be.
    State(String),
    /// A check of the measurement failed.
    Check(String),
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => write!(f, "{error}"),
            Self::State(reason) => write!(f, "{reason}"),
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
