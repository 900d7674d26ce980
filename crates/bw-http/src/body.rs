//! Reads request bodies within limits of size and time.

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
    /// It passes the limit, in bytes.
    Large(usize),
    /// It did not arrive within the limit.
    Slow(Duration),
    /// The caller broke off.
    Short(String),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Large(limit) => write!(f, "the body has more than {limit} bytes"),
            Self::Slow(limit) => write!(f, "the body did not arrive within {} s", limit.as_secs()),
            Self::Short(reason) => write!(f, "the body was cut short: {reason}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads all of `body`: at most `bytes` bytes within `time`.
///
/// # Errors
/// [`BodyError`], one variant for each limit.
pub async fn read_body(body: Body, bytes: usize, time: Duration) -> Result<Bytes, BodyError> {
    let collect = Limited::new(body, bytes).collect();
    match timeout(time, collect).await {
        Err(_) => Err(BodyError::Slow(time)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(BodyError::Large(bytes)),
        Ok(Err(error)) => Err(BodyError::Short(error.to_string())),
    }
}
