//! Destinations of an answer's bytes.

use std::future::Future;

use bw_once::Head;

/// Why a sink takes no more of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SinkError {
    /// The caller has disconnected, or the sink is full; reading of the answer stops.
    CallerGone,
    /// The bytes are no sound answer, which counts as a failure of the endpoint.
    Unsound,
}

/// Receives the bytes of one attempt's answer in order.
pub trait Sink: Send {
    /// Receives status and headers, before any byte.
    fn write_head(&mut self, head: &Head);

    /// Receives the next bytes of the body.
    fn write(&mut self, bytes: Vec<u8>) -> impl Future<Output = Result<(), SinkError>> + Send;

    /// Checks, at the end of a whole answer, that the answer may end there.
    ///
    /// # Errors
    /// [`SinkError::Unsound`] if the end is missing.
    fn finish(&mut self) -> Result<(), SinkError> {
        Ok(())
    }
}

/// Collects an answer in memory.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    /// Status and headers, once received.
    pub head: Option<Head>,
    /// Body bytes received so far.
    pub body: Vec<u8>,
    /// Maximum body size in bytes; a larger body counts as a failure of the endpoint.
    pub limit: usize,
    /// Whether the body exceeded the limit.
    pub overrun: bool,
}

impl Buffer {
    /// Creates an empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }
}

impl Sink for Buffer {
    fn write_head(&mut self, head: &Head) {
        self.head = Some(head.clone());
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), SinkError> {
        if self.body.len() + bytes.len() > self.limit {
            self.overrun = true;
            return Err(SinkError::CallerGone);
        }
        self.body.extend_from_slice(&bytes);
        Ok(())
    }
}
