//! Claims grouped into objects, with many changes in one conditional write.
//!
//! A shard's head object holds the claims of the running period and names the sealed objects of
//! earlier periods. Whoever changes a claim writes the head at the version it read, having seen
//! all sealed objects that the head names, so the conditional write alone decides; that changes of
//! one shard meet at one entry only saves writes. A sealed object never changes.

use std::collections::BTreeMap;

use bw_model::AttemptId;
use bw_model::KeyHash;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::Claim;
use crate::claim::Swap;

/// Shards of all keys; fixed, since it decides where a key is looked up.
pub const SHARDS: u32 = 8;
/// Claims in the head at which it is sealed; about 200 KB of JSON.
pub const SEAL_CLAIMS: usize = 2_000;

/// The shard of a key.
pub fn shard_of(key: KeyHash) -> u32 {
    (key.0 % u128::from(SHARDS)) as u32
}

/// Claims by key; `None` marks a key that was given back.
pub type Claims = BTreeMap<KeyHash, Option<Claim>>;

/// A sealed object that the head names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Name of the object.
    pub name: String,
    /// When its last claim was written, in milliseconds since the Unix epoch.
    pub until: u64,
}

/// The head object of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHead {
    /// Claims of the running period.
    pub active: Claims,
    /// Earlier periods, the oldest first.
    pub sealed: Vec<Sealed>,
    /// Number of the next sealed object.
    pub next: u64,
}

/// One change that somebody waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: KeyHash,
    /// Attempt that must hold the key; `None`: nobody.
    pub expect: Option<AttemptId>,
    /// The new claim; `None` gives the key back.
    pub claim: Option<Claim>,
}

/// A shard as one process knows it.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    head: ShardHead,
    /// Sealed objects by name.
    past: BTreeMap<String, Claims>,
}

/// What a batch of changes comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The head to write; `None` when no change applies.
    pub head: Option<ShardHead>,
    /// A sealed object to write first.
    pub seal: Option<(String, Claims)>,
    /// Result of each change, provided that the write succeeds.
    pub results: Vec<Swap>,
}

impl Shard {
    /// Takes the head as read from the store and returns the sealed objects still to be read.
    pub fn set_head(&mut self, head: ShardHead) -> Vec<String> {
        self.head = head;
        let names: Vec<String> = self.head.sealed.iter().map(|s| s.name.clone()).collect();
        self.past.retain(|name, _| names.contains(name));
        names.into_iter().filter(|name| !self.past.contains_key(name)).collect()
    }

    /// Takes a sealed object.
    pub fn set_sealed(&mut self, name: String, claims: Claims) {
        self.past.insert(name, claims);
    }

    /// Whether all sealed objects are known, without which no change may be decided.
    pub fn is_complete(&self) -> bool {
        self.head.sealed.iter().all(|sealed| self.past.contains_key(&sealed.name))
    }

    /// The claim of a key.
    pub fn claim(&self, key: KeyHash) -> Option<&Claim> {
        if let Some(claim) = self.head.active.get(&key) {
            return claim.as_ref();
        }
        let newest_first = self.head.sealed.iter().rev();
        let found = newest_first.filter_map(|s| self.past.get(&s.name)?.get(&key)).next();
        found.and_then(Option::as_ref)
    }

    /// Works out the head that carries all changes that apply.
    ///
    /// `now` is in milliseconds since the Unix epoch; sealed objects older than `retention`
    /// milliseconds are no longer named.
    pub fn batch(&self, shard: u32, changes: &[Change], now: u64, retention: u64) -> Batch {
        let mut next = self.clone();
        let results: Vec<Swap> = changes.iter().map(|change| next.change(change)).collect();
        let changed = results.contains(&Swap::Done);
        if !changed {
            return Batch { head: None, seal: None, results };
        }
        next.head.sealed.retain(|sealed| sealed.until + retention > now);
        let seal = next.seal_if_large(shard, now);
        Batch { head: Some(next.head), seal, results }
    }

    fn change(&mut self, change: &Change) -> Swap {
        let current = self.claim(change.key).cloned();
        if current.as_ref().map(|claim| claim.attempt) != change.expect {
            return Swap::Mismatch(current);
        }
        self.head.active.insert(change.key, change.claim.clone());
        Swap::Done
    }

    fn seal_if_large(&mut self, shard: u32, now: u64) -> Option<(String, Claims)> {
        if self.head.active.len() < SEAL_CLAIMS {
            return None;
        }
        let claims = std::mem::take(&mut self.head.active);
        // The head's version names the object; a failed head write leaves one nobody names.
        let name = format!("shard-{shard}-{}-{now}", self.head.next);
        self.head.next += 1;
        self.head.sealed.push(Sealed { name: name.clone(), until: now });
        Some((name, claims))
    }
}
