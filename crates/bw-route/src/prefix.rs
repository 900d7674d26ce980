//! Which endpoint probably caches which prompt prefix.
//!
//! An entry learns from what it sent and from cache events, which are late and have gaps. Each
//! block's chance of being cached halves with its age.

use std::collections::HashMap;
use std::time::Duration;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Age at which half of the blocks are taken for evicted.
const HALF_LIFE: Duration = Duration::from_secs(300);
/// Blocks remembered for each endpoint.
const BLOCKS_MAX: usize = 8_192;
/// Blocks of one prompt that are remembered.
pub const PROMPT_BLOCKS_MAX: usize = 64;

/// Blocks that one endpoint probably caches, with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixIndex {
    blocks: HashMap<u64, Duration>,
}

impl PrefixIndex {
    /// Notes that a prompt with these leading blocks was sent or reported.
    pub fn note(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks.iter().take(PROMPT_BLOCKS_MAX) {
            self.blocks.insert(*block, now);
        }
        if self.blocks.len() > BLOCKS_MAX {
            self.drop_older_half();
        }
    }

    /// Notes that a block was evicted.
    pub fn evict(&mut self, block: u64) {
        self.blocks.remove(&block);
    }

    /// Leading blocks that are probably cached, as an expected number.
    pub fn expected_hits(&self, blocks: &[u64], now: Duration) -> f64 {
        let ages = blocks.iter().take(PROMPT_BLOCKS_MAX).map_while(|block| self.blocks.get(block));
        let chance = |used: &Duration| {
            let age = now.saturating_sub(*used).as_secs_f64() / HALF_LIFE.as_secs_f64();
            0.5f64.powf(age)
        };
        ages.map(chance).sum()
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.blocks.clear();
    }

    /// Number of blocks remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// True when nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.blocks.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.blocks.retain(|_, used| *used >= median);
        // Blocks noted at one time all pass the median; drop any of them then.
        let excess = self.blocks.len().saturating_sub(BLOCKS_MAX);
        let surplus: Vec<u64> = self.blocks.keys().take(excess).copied().collect();
        for block in surplus {
            self.blocks.remove(&block);
        }
    }
}
