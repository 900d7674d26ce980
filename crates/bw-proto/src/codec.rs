//! Binary encoding of messages: one format byte, then the message in postcard.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Format byte of every message; incremented when older releases cannot decode newer messages.
pub const FORMAT: u8 = 1;

/// Why a message could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The input has no bytes.
    Empty,
    /// The format byte is that of another release.
    Format(u8),
    /// The body is not a message of the expected type; holds postcard's error.
    Body(String),
    /// The message is followed by this number of extra bytes.
    Trailing(usize),
}

impl fmt::Display for CodecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "the message is empty"),
            Self::Format(byte) => {
                write!(f, "message has format {byte}; this release reads format {FORMAT}")
            }
            Self::Body(reason) => write!(f, "not a message: {reason}"),
            Self::Trailing(count) => write!(f, "{count} bytes follow the message"),
        }
    }
}

impl std::error::Error for CodecError {}

/// Encodes a message.
///
/// # Errors
/// [`CodecError::Body`] for a type that postcard cannot encode; no message contains one.
pub fn encode<M>(message: &M) -> Result<Vec<u8>, CodecError>
where
    M: Serialize,
{
    let mut bytes = vec![FORMAT];
    let body = postcard::to_stdvec(message).map_err(|error| CodecError::Body(error.to_string()))?;
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a message.
///
/// # Errors
/// [`CodecError`] for anything that [`encode`] does not produce.
pub fn decode<M>(bytes: &[u8]) -> Result<M, CodecError>
where
    M: DeserializeOwned,
{
    let (format, body) = bytes.split_first().ok_or(CodecError::Empty)?;
    if *format != FORMAT {
        return Err(CodecError::Format(*format));
    }
    let (message, rest) = postcard::take_from_bytes(body)
        .map_err(|error: postcard::Error| CodecError::Body(error.to_string()))?;
    if rest.is_empty() {
        Ok(message)
    } else {
        Err(CodecError::Trailing(rest.len()))
    }
}
