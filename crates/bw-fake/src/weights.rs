//! Stand-in of the weight store: a rate limit on bytes.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

/// Bytes of one expert of one layer.
pub const EXPERT_BYTES: f64 = 5e6;

/// A store that gives bytes at a limited rate, one reader after another.
#[derive(Clone)]
pub struct Weights {
    rate: f64,
    turn: Arc<Mutex<u64>>,
}

impl Weights {
    /// A store that gives `rate` bytes a second.
    pub fn new(rate: f64) -> Self {
        Self { rate, turn: Arc::default() }
    }

    /// Reads the weights of `experts` experts; takes as long as the rate demands.
    pub async fn read(&self, experts: usize) {
        let bytes = experts as f64 * EXPERT_BYTES;
        let mut read = self.turn.lock().await;
        sleep(Duration::from_secs_f64(bytes / self.rate)).await;
        *read += bytes as u64;
    }

    /// Bytes given so far.
    pub async fn total(&self) -> u64 {
        *self.turn.lock().await
    }
}
