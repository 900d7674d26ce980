//! Errors of the object store.

use std::fmt;
use std::time::Duration;

use bw_adapter::ObjectError;

/// Why a call to the object store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The object's version is not the expected one; nothing was changed.
    Conflict,
    /// The object does not exist.
    Absent,
    /// The changes after the revision are no longer kept.
    HistoryGone,
    /// The own call budget is spent; nothing was sent.
    Budget {
        /// Time until a call may succeed.
        wait: Duration,
    },
    /// The platform took nothing: no connection, or refused before it acted.
    Unavailable(String),
    /// The platform may or may not have acted.
    Unknown(String),
    /// The object is not of the expected form.
    Form(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => write!(f, "the object has another version"),
            Self::Absent => write!(f, "the object does not exist"),
            Self::HistoryGone => write!(f, "the changes after this revision are gone"),
            Self::Budget { wait } => {
                write!(f, "the call budget is spent for {} ms", wait.as_millis())
            }
            Self::Unavailable(reason) => write!(f, "the platform is unavailable: {reason}"),
            Self::Unknown(reason) => write!(f, "the platform may have acted: {reason}"),
            Self::Form(reason) => write!(f, "the object has another form: {reason}"),
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
            ObjectError::Form(reason) => Self::Form(reason),
        }
    }
}
