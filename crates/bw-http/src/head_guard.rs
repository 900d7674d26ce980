//! A limit on the time from the first byte of a request's head to its last.
//!
//! A connection may stay idle between requests for long, but a head that has started must complete
//! soon. The server's own timer does not distinguish the two.

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

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// No byte of the next head has arrived.
    Idle,
    /// Part of a head has arrived, the first byte at this time.
    Head(Instant),
    /// A request is being handled.
    Busy,
}

/// The stage of one connection, shared by its stream and its service.
#[derive(Clone, Debug)]
pub struct HeadGuard {
    stage: Arc<Mutex<Stage>>,
    started: Arc<Notify>,
}

impl Default for HeadGuard {
    fn default() -> Self {
        Self { stage: Arc::new(Mutex::new(Stage::Idle)), started: Arc::default() }
    }
}

impl HeadGuard {
    /// Creates the guard of an idle connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Wraps the connection's stream, so that the first byte of a head is detected.
    pub fn watch<S>(&self, stream: S) -> GuardedStream<S> {
        GuardedStream { stream, guard: self.clone() }
    }

    /// Records that a head is complete; its request is being handled until the token is dropped.
    pub fn begin_request(&self) -> BusyToken {
        *self.lock() = Stage::Busy;
        BusyToken { guard: self.clone() }
    }

    /// Waits until a head has been incomplete for `limit`.
    pub async fn expired(&self, limit: Duration) {
        loop {
            let started = match *self.lock() {
                Stage::Head(started) => Some(started),
                Stage::Idle | Stage::Busy => None,
            };
            match started {
                None => self.started.notified().await,
                Some(started) => {
                    tokio::time::sleep_until(started + limit).await;
                    if *self.lock() == Stage::Head(started) {
                        return;
                    }
                }
            }
        }
    }

    /// Starts the timer of a head if the connection was idle.
    fn record_bytes(&self) {
        let mut stage = self.lock();
        if *stage == Stage::Idle {
            *stage = Stage::Head(Instant::now());
            drop(stage);
            self.started.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Held while a request is handled; dropping it marks the connection idle.
#[derive(Debug)]
pub struct BusyToken {
    guard: HeadGuard,
}

impl Drop for BusyToken {
    fn drop(&mut self) {
        *self.guard.lock() = Stage::Idle;
    }
}

/// A stream that records in its guard when bytes arrive.
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
            self.guard.record_bytes();
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
