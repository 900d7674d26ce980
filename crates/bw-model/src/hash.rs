//! Deterministic hashes; all processes must compute the same value for the same input.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_128;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::KeyHash;

/// Returns the weight of `node` for `item` in rendezvous hashing; the highest weight wins.
pub fn rendezvous_weight(item: &str, node: &str) -> u64 {
    let seed = xxh3_64_with_seed(item.as_bytes(), 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Returns the weight of `node` for `item` in rendezvous hashing, both given by hashes of their names.
pub fn rendezvous_weight_of(item: u64, node: u64) -> u64 {
    xxh3_64_with_seed(&node.to_le_bytes(), item)
}

/// Returns `nodes` sorted by descending rendezvous weight for `item`.
pub fn rendezvous_order<'a, I>(item: &str, nodes: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order: Vec<&str> = nodes.collect();
    order.sort_by_key(|node| std::cmp::Reverse((rendezvous_weight(item, node), *node)));
    order
}

/// Hashes an idempotency key, scoped to its workspace and service.
///
/// The length prefixes keep different combinations of names from producing the same text.
pub fn hash_key(workspace: &str, service: &str, key: &str) -> KeyHash {
    let text = format!("{}:{workspace}/{}:{service}/{key}", workspace.len(), service.len());
    KeyHash(xxh3_128(text.as_bytes()))
}

/// Fingerprints a request's content, to recognize a repeated request that has another id.
pub fn fingerprint(pool: &str, path: &str, body: &[u8]) -> u64 {
    let seed = xxh3_64_with_seed(pool.as_bytes(), path.len() as u64);
    let seed = xxh3_64_with_seed(path.as_bytes(), seed);
    xxh3_64_with_seed(body, seed)
}

/// Fingerprints of one request, each of which covers more of it than the one before.
///
/// A request that comes again has the same caller, target and body; its headers may differ. Other requests may have the
/// same target and body and run differently, since their callers or headers differ. Evidence is therefore kept for each
/// fingerprint by itself, and an answer is evidence for the fingerprints of the answered request only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Covers the pool of callers, the target and the body, as [`fingerprint`] does.
    pub shared: u64,
    /// Covers the caller as well; equal to `shared` if the caller is not known.
    pub caller: u64,
    /// Covers the method and the headers as well.
    pub exact: u64,
}

impl Fingerprints {
    /// Returns the fingerprints of a request that has the fingerprint `shared`. `head` is the [`hash_head`] of its head.
    pub fn new(shared: u64, caller: Option<&str>, head: u64) -> Self {
        let add = |hash: u64, seed: u64| xxh3_64_with_seed(&hash.to_le_bytes(), seed);
        let caller = caller.map_or(shared, |caller| add(hash_caller(caller), shared));
        let exact = add(head, caller);
        Self { shared, caller, exact }
    }

    /// Returns the different ones among the fingerprints, the one that covers least first.
    pub fn distinct(&self) -> SmallVec<[u64; 3]> {
        let mut all: SmallVec<[u64; 3]> = [self.shared, self.caller, self.exact].into();
        all.dedup();
        all
    }
}

/// Hashes the credential by which a caller is known. The hash is logged and sent to peers, so that it must not reveal the
/// credential.
fn hash_caller(credential: &str) -> u64 {
    let hash = blake3::hash(credential.as_bytes());
    let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(bytes)
}

/// Hashes the method and the headers of a request, whatever the order of the headers.
pub fn hash_head<'a, I>(method: &str, headers: I) -> u64
where
    I: Iterator<Item = (&'a str, &'a [u8])>,
{
    let hash = |(name, value): (&str, &[u8])| {
        xxh3_64_with_seed(value, xxh3_64_with_seed(name.as_bytes(), 0))
    };
    headers.map(hash).fold(xxh3_64_with_seed(method.as_bytes(), 0), u64::wrapping_add)
}

/// Hashes the leading blocks of a prompt; each hash also covers all earlier blocks.
///
/// A cache that holds block `n` of a prompt also holds all earlier blocks, so equal hashes mean an
/// equal prefix. A partial last block is ignored.
pub fn prefix_blocks(prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut hash = 0;
    let mut blocks = Vec::new();
    for block in prompt.chunks_exact(block_bytes) {
        hash = xxh3_64_with_seed(block, hash);
        blocks.push(hash);
    }
    blocks
}
