//! Hashes that every process computes alike.

use xxhash_rust::xxh3::xxh3_128;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::KeyHash;

/// Weight of `node` for `item` in rendezvous hashing; the highest weight goes first.
pub fn rendezvous_weight(item: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(item.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Sorts `nodes` by their rendezvous weight for `item`, the preferred one first.
pub fn rendezvous_order<'a, I>(item: &str, nodes: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order: Vec<&str> = nodes.collect();
    order.sort_by_key(|node| std::cmp::Reverse((rendezvous_weight(item, node), *node)));
    order
}

/// Hash of an idempotency key in its scope of workspace and service.
pub fn hash_key(workspace: &str, service: &str, key: &str) -> KeyHash {
    let text = format!("{}:{workspace}/{}:{service}/{key}", workspace.len(), service.len());
    KeyHash(xxh3_128(text.as_bytes()))
}

/// Fingerprint of a request's content, which recognizes a repeat under another id.
pub fn fingerprint(pool: &str, path: &str, body: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(pool.as_bytes(), path.len() as u64);
    xxh3_64_with_seed(body, seed)
}

/// Hashes of a prompt's leading blocks, each covering all blocks before it.
///
/// A cache that holds block `n` of a prompt holds all blocks before it, so equal hashes mean an
/// equal prefix. The last, partial block is left out.
pub fn prefix_blocks(prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut hash = 0;
    let mut blocks = Vec::new();
    for block in prompt.chunks_exact(block_bytes) {
        hash = xxh3_64_with_seed(block, hash);
        blocks.push(hash);
    }
    blocks
}
