//! Bounds on the bytes that a peer may send before its answer begins.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that may still be received; shared by a connection and its owner.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicU64>);

impl Allowance {
    /// Creates an allowance of `bytes`.
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(AtomicU64::new(bytes)))
    }

    /// Sets the bytes that may still be received.
    pub fn set(&self, bytes: u64) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Takes `bytes`; returns false if fewer are left.
    fn take(&self, bytes: u64) -> bool {
        let taken = |left: u64| left.checked_sub(bytes);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken).is_ok()
    }
}

/// A connection that fails when it receives more bytes than its allowance.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    allowance: Allowance,
}

impl<S> Metered<S> {
    /// Bounds what `stream` receives by `allowance`.
    pub fn new(stream: S, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S> AsyncRead for Metered<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if self.allowance.take(received as u64) {
            return result;
        }
        let text = "too many bytes before the answer";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)))
    }
}

impl<S> AsyncWrite for Metered<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }
}
