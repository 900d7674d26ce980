//! A limit on the time from the first byte of a request's head to its last.
//!
//! A connection may stay idle between requests for long, but once a head has begun it has to end
//! soon. The server's own timer does not tell the two apart.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of the next head has come.
    Idle,
    /// A head has begun.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// The stage of one connection, shared by its stream and its service.
#[derive(Clone, Debug)]
pub struct HeadGuard {
    stage: Arc<Mutex<Stage>>,
    begun: Arc<Notify>,
}

impl Default for HeadGuard {
    fn default() -> Self {
        Self { stage: Arc::new(Mutex::new(Stage::Idle)), begun: Arc::default() }
    }
}

impl HeadGuard {
    /// A guard of a connection that is idle.
    pub fn new() -> Self {
        Self::default()
    }

    /// Wraps the connection's stream.
    pub fn watch<S>(&self, stream: S) -> GuardedStream<S> {
        GuardedStream { stream, guard: self.clone() }
    }

    /// Notes that a head is complete; the request is answered until the token is dropped.
    pub fn accept(&self) -> BusyToken {
        *self.lock() = Stage::Busy;
        BusyToken { guard: self.clone() }
    }

    /// Returns once a head has taken longer than `limit`.
    pub async fn expired(&self, limit: Duration) {
        loop {
            let begun = match *self.lock() {
                Stage::Head(begun) => Some(begun),
                Stage::Idle | Stage::Busy => None,
            };
            match begun {
                None => self.begun.notified().await,
                Some(begun) => {
                    tokio::time::sleep_until(begun + limit).await;
                    if *self.lock() == Stage::Head(begun) {
                        return;
                    }
                }
            }
        }
    }

    fn note_bytes(&self) {
        let mut stage = self.lock();
        if *stage == Stage::Idle {
            *stage = Stage::Head(Instant::now());
            drop(stage);
            self.begun.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Held while a request is answered.
#[derive(Debug)]
pub struct BusyToken {
    guard: HeadGuard,
}

impl Drop for BusyToken {
    fn drop(&mut self) {
        *self.guard.lock() = Stage::Idle;
    }
}

/// A stream whose first bytes of a head are noted.
#[derive(Debug)]
pub struct GuardedStream<S> {
    stream: S,
    guard: HeadGuard,
}

impl<S> AsyncRead for GuardedStream<S>
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
        if buffer.filled().len() > before {
            self.guard.note_bytes();
        }
        result
    }
}

impl<S> AsyncWrite for GuardedStream<S>
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

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
