//! Errors of calls to the object store.

use std::fmt;
use std::time::Duration;

use bw_adapter::ObjectError;

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The stored revision is not the expected one, or an object to create exists; nothing was
    /// changed.
    Conflict,
    /// The object does not exist.
    Absent,
    /// The changes after the revision are no longer kept.
    HistoryGone,
    /// The call budget of this process is exhausted; nothing was sent.
    Budget {
        /// Time until the budget allows the call.
        wait: Duration,
    },
    /// The call had no effect: there was no connection, or the platform rejected the call before
    /// it acted.
    Unavailable(String),
    /// The call may or may not have had an effect.
    Unknown(String),
    /// An object cannot be encoded or decoded, or the platform rejected the call with another 4xx
    /// status.
    Invalid(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => write!(f, "the object has another revision than expected"),
            Self::Absent => write!(f, "the object does not exist"),
            Self::HistoryGone => write!(f, "the changes after this revision are no longer kept"),
            Self::Budget { wait } => {
                write!(f, "the call budget is exhausted for {} ms", wait.as_millis())
            }
            Self::Unavailable(reason) => write!(f, "the platform is unavailable: {reason}"),
            Self::Unknown(reason) => write!(f, "the platform may have acted: {reason}"),
            Self::Invalid(reason) => write!(f, "invalid call or data: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<ObjectError> for StoreError {
    fn from(error: ObjectError) -> Self {
        match error {
            ObjectError::Conflict => Self::Conflict,
            ObjectError::Absent => Self::Absent,
            ObjectError::HistoryGone => Self::HistoryGone,
            ObjectError::Unavailable(reason) => Self::Unavailable(reason),
            ObjectError::Unknown(reason) => Self::Unknown(reason),
            ObjectError::Invalid(reason) => Self::Invalid(reason),
        }
    }
}
