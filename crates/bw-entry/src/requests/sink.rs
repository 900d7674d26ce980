//! Destinations of an answer's bytes.

use std::future::Future;

use bw_once::Head;

/// The caller has disconnected, or the sink is full; reading of the answer stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Receives the bytes of one attempt's answer in order.
pub trait Sink: Send {
    /// Receives status and headers, before any byte.
    fn write_head(&mut self, head: &Head);

    /// Receives the next bytes of the body.
    fn write(&mut self, bytes: Vec<u8>) -> impl Future<Output = Result<(), CallerGone>> + Send;
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

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), CallerGone> {
        if self.body.len() + bytes.len() > self.limit {
            self.overrun = true;
            return Err(CallerGone);
        }
        self.body.extend_from_slice(&bytes);
        Ok(())
    }
}
