//! A prefix cache for prompts, with least-recently-used eviction.

use std::collections::HashMap;

use bw_model::hash::prefix_blocks;

/// Size of one cache block, in bytes of prompt.
pub const BLOCK_BYTES: usize = 64;

/// Hashes of cached blocks, with the logical time of their last use.
#[derive(Default)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Creates a cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Inserts the blocks of a prompt and returns how many of them were not cached.
    pub fn insert_prompt(&mut self, prompt: &[u8]) -> usize {
        self.clock += 1;
        let blocks = prefix_blocks(prompt, BLOCK_BYTES);
        let hits = blocks.iter().take_while(|block| self.blocks.contains_key(block)).count();
        for block in &blocks {
            self.blocks.insert(*block, self.clock);
        }
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            match oldest {
                Some(block) => self.blocks.remove(&block),
                None => break,
            };
        }
        blocks.len() - hits
    }
}
