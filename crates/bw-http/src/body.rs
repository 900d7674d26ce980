//! Reads request bodies with limits on size and time.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use tokio::time::timeout;
use viz::Body;

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the limit, in bytes.
    TooLarge(usize),
    /// The body did not arrive within the time limit.
    TimedOut(Duration),
    /// The caller disconnected, or its data was malformed, before the body was complete.
    Incomplete(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body has more than {limit} bytes"),
            Self::TimedOut(limit) => {
                write!(f, "the body did not arrive within {} s", limit.as_secs())
            }
            Self::Incomplete(reason) => write!(f, "the body was cut short: {reason}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads all of `body`: at most `bytes` bytes within `time`.
///
/// # Errors
/// [`BodyError`]: a limit was exceeded, or the body ended early.
pub async fn read_body(body: Body, bytes: usize, time: Duration) -> Result<Bytes, BodyError> {
    let collect = Limited::new(body, bytes).collect();
    match timeout(time, collect).await {
        Err(_) => Err(BodyError::TimedOut(time)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge(bytes)),
        Ok(Err(error)) => Err(BodyError::Incomplete(error.to_string())),
    }
}
