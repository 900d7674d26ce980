//! A prompt prefix cache with limited memory.

use std::collections::HashMap;

use bw_model::hash::prefix_blocks;

/// Bytes of prompt in one block.
pub const BLOCK_BYTES: usize = 64;

/// Cached blocks with the time of their last use.
#[derive(Default)]
pub struct Cache {
    limit: usize,
    clock: u64,
    blocks: HashMap<u64, u64>,
}

impl Cache {
    /// A cache of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Caches a prompt's blocks and returns how many of them had to be computed.
    pub fn admit(&mut self, prompt: &[u8]) -> usize {
        self.clock += 1;
        let blocks = prefix_blocks(prompt, BLOCK_BYTES);
        let hits = blocks.iter().take_while(|block| self.blocks.contains_key(block)).count();
        for block in &blocks {
            self.blocks.insert(*block, self.clock);
        }
        while self.blocks.len() > self.limit {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            match oldest {
                Some(block) => self.blocks.remove(&block),
                None => break,
            };
        }
        blocks.len() - hits
    }
}
