//! Estimates which prompt prefixes an endpoint has in its cache.
//!
//! An entry infers cached blocks from the prompts that it sent and from cache events, which are
//! late and incomplete. The probability that a block is still cached halves with each half-life
//! since its last use.

use std::collections::HashMap;
use std::time::Duration;

/// Prompt bytes in one block.
pub const BLOCK_BYTES: usize = 64;
/// Time since last use after which half of the blocks are assumed to be evicted.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Maximum number of blocks tracked for each endpoint.
const BLOCKS_MAX: usize = 8_192;
/// Maximum number of leading blocks tracked for one prompt.
pub const PROMPT_BLOCKS_MAX: usize = 64;

/// Blocks that one endpoint probably caches.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    /// Time of last use, by block hash.
    blocks: HashMap<u64, Duration>,
}

impl PrefixIndex {
    /// Records that a prompt with these leading blocks was sent or reported.
    pub fn record(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks.iter().take(PROMPT_BLOCKS_MAX) {
            self.blocks.insert(*block, now);
        }
        if self.blocks.len() > BLOCKS_MAX {
            self.drop_older_half();
        }
    }

    /// Records that a block was evicted.
    pub fn evict(&mut self, block: u64) {
        self.blocks.remove(&block);
    }

    /// Returns the expected number of leading blocks that are cached.
    pub fn expected_hits(&self, blocks: &[u64], now: Duration) -> f64 {
        let last_uses =
            blocks.iter().take(PROMPT_BLOCKS_MAX).map_while(|block| self.blocks.get(block));
        let probability = |last_use: &Duration| {
            let half_lives = now.saturating_sub(*last_use).as_secs_f64() / HALF_LIFE.as_secs_f64();
            0.5f64.powf(half_lives)
        };
        last_uses.map(probability).sum()
    }

    /// Removes all blocks, for example after a restart of the engine.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Returns the number of tracked blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns true if no block is tracked.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Removes the blocks whose last use is before the median.
    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.blocks.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.blocks.retain(|_, last_use| *last_use >= median);
        // Blocks with the same time of last use may all pass the comparison with the median; in
        // this case, arbitrary ones are removed.
        let excess = self.blocks.len().saturating_sub(BLOCKS_MAX);
        let surplus: Vec<u64> = self.blocks.keys().take(excess).copied().collect();
        for block in surplus {
            self.blocks.remove(&block);
        }
    }
}
