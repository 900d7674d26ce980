//! What a process that is stopping may still start.
//!
//! A process that stops as planned finishes what it has accepted, within its grace time. Requests also arrive during
//! that time, on connections whose next head was on the way, and leave queues. What starts late and may last
//! beyond the end would be cut off, so that it is turned away while that is still harmless.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::time::BootClock;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bounds {
    /// Time until which everything may start.
    start: Duration,
    /// Time at which what is unfinished is cut off.
    end: Duration,
}

/// The planned stop of this process, shared by its services.
#[derive(Clone, Debug)]
pub struct Drain {
    bounds: Arc<watch::Sender<Option<Bounds>>>,
    clock: BootClock,
}

impl Drain {
    /// Creates the handle of a process that is not stopping.
    pub fn new(clock: BootClock) -> Self {
        Self { bounds: Arc::new(watch::Sender::new(None)), clock }
    }

    /// Records that the process is stopping: all work may start for `start` more, and is cut off after `end`.
    pub fn begin(&self, start: Duration, end: Duration) {
        let now = self.clock.now();
        self.bounds.send_replace(Some(Bounds { start: now + start, end: now + end }));
    }

    /// Returns the time after `remaining`, on the clock by which deadlines are given here.
    pub fn after(&self, remaining: Duration) -> Duration {
        self.clock.now() + remaining
    }

    /// Returns whether work that lasts until `deadline` at most may start now.
    pub fn admits(&self, deadline: Duration) -> bool {
        let bounds = *self.bounds.borrow();
        bounds.is_none_or(|bounds| deadline <= bounds.end || self.clock.now() < bounds.start)
    }

    /// Waits until work that lasts until `deadline` at most may not start any more.
    pub async fn closed_to(&self, deadline: Duration) {
        let bounds = self.begun().await;
        if deadline <= bounds.end {
            std::future::pending::<()>().await;
        }
        self.sleep_until(bounds.start).await;
    }

    /// Waits until what is unfinished is cut off.
    pub async fn over(&self) {
        let bounds = self.begun().await;
        self.sleep_until(bounds.end).await;
    }

    /// Returns at once after `time`, where a sleep of no length would let other branches go first.
    async fn sleep_until(&self, time: Duration) {
        let remaining = time.saturating_sub(self.clock.now());
        if !remaining.is_zero() {
            tokio::time::sleep(remaining).await;
        }
    }

    async fn begun(&self) -> Bounds {
        let mut bounds = self.bounds.subscribe();
        loop {
            let current = *bounds.borrow_and_update();
            match current {
                Some(bounds) => return bounds,
                // The sender lives as long as this handle.
                None => drop(bounds.changed().await),
            }
        }
    }
}
