//! Where the bytes of an answer go.

use std::future::Future;

use bw_once::Head;

/// The caller has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Takes the bytes of one attempt's answer in order.
pub trait Sink: Send {
    /// Status and headers, before any byte.
    fn head(&mut self, head: &Head);

    /// The next bytes.
    fn bytes(&mut self, bytes: Vec<u8>) -> impl Future<Output = Result<(), CallerGone>> + Send;
}

/// Keeps an answer in memory.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    /// Status and headers.
    pub head: Option<Head>,
    /// Body.
    pub body: Vec<u8>,
    /// Largest body; more counts as a failure of the endpoint.
    pub limit: usize,
    /// Whether the body passed the limit.
    pub overrun: bool,
}

impl Buffer {
    /// An empty buffer for at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }
}

impl Sink for Buffer {
    fn head(&mut self, head: &Head) {
        self.head = Some(head.clone());
    }

    async fn bytes(&mut self, bytes: Vec<u8>) -> Result<(), CallerGone> {
        if self.body.len() + bytes.len() > self.limit {
            self.overrun = true;
            return Err(CallerGone);
        }
        self.body.extend_from_slice(&bytes);
        Ok(())
    }
}
