//! Fake of the weight store, which only limits the rate of reads.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

/// Size of one expert's weights in one layer, in bytes.
pub const EXPERT_BYTES: f64 = 5e6;

/// A store with a limited read rate, which serves one reader at a time.
#[derive(Clone)]
pub struct WeightStore {
    rate: f64,
    /// Bytes read so far; the lock is held during a read, so that readers queue.
    bytes_read: Arc<Mutex<u64>>,
}

impl WeightStore {
    /// Creates a store that is read at `rate` bytes per second.
    pub fn new(rate: f64) -> Self {
        Self { rate, bytes_read: Arc::default() }
    }

    /// Waits for as long as a read of the weights of `experts` experts takes at the store's rate.
    pub async fn read(&self, experts: usize) {
        let bytes = experts as f64 * EXPERT_BYTES;
        let mut bytes_read = self.bytes_read.lock().await;
        sleep(Duration::from_secs_f64(bytes / self.rate)).await;
        *bytes_read += bytes as u64;
    }

    /// Returns the number of bytes read so far.
    pub async fn bytes_read(&self) -> u64 {
        *self.bytes_read.lock().await
    }
}
