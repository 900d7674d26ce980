//! Claims grouped into shards, so that one conditional write applies many changes.
//!
//! A shard's head object holds the claims of the current period and lists the sealed objects of
//! earlier periods, which never change. To change a claim, a process reads the head and all sealed
//! objects that it lists, and writes the new head on condition that its version is still the one
//! read. The conditional write alone guarantees consistency; sending all changes of a shard to one
//! entry only saves writes.

use std::collections::BTreeMap;

use bw_model::AttemptId;
use bw_model::KeyHash;
use serde::Deserialize;
use serde::Serialize;

use crate::claim::Claim;
use crate::claim::Swap;

/// Number of shards. The number is fixed, since it determines the shard in which a key is looked
/// up.
pub const SHARDS: u32 = 8;
/// Number of claims in the head at which they are sealed, about 200 KB of JSON.
pub const SEAL_CLAIMS: usize = 2_000;

/// Returns the shard of a key.
pub fn shard_of(key: KeyHash) -> u32 {
    (key.0 % u128::from(SHARDS)) as u32
}

/// Claims by key; `None` marks a key that was released.
pub type Claims = BTreeMap<KeyHash, Option<Claim>>;

/// Reference to a sealed object in the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sealed {
    /// Name of the sealed object.
    pub name: String,
    /// Time at which its last claim was written, in milliseconds since the Unix epoch.
    pub until: u64,
}

/// The head object of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardHead {
    /// Claims of the current period.
    pub active: Claims,
    /// Sealed objects of earlier periods, the oldest first.
    pub sealed: Vec<Sealed>,
    /// Number of the next sealed object.
    pub next: u64,
}

/// A requested change of one claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key whose claim changes.
    pub key: KeyHash,
    /// Attempt that must hold the key for the change to apply; `None` if no attempt may hold it.
    pub expect: Option<AttemptId>,
    /// The new claim; `None` releases the key.
    pub claim: Option<Claim>,
}

/// One process's copy of a shard.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    head: ShardHead,
    /// Claims of the sealed objects, by object name.
    sealed: BTreeMap<String, Claims>,
}

/// The writes and results of a batch of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The head to write; `None` if no change applies.
    pub head: Option<ShardHead>,
    /// A sealed object to write before the head.
    pub seal: Option<(String, Claims)>,
    /// Result of each change, valid if the writes succeed.
    pub results: Vec<Swap>,
}

impl Shard {
    /// Replaces the head by the one read from the store. Returns the names of the sealed objects
    /// that are still to be read.
    pub fn set_head(&mut self, head: ShardHead) -> Vec<String> {
        self.head = head;
        let names: Vec<String> = self.head.sealed.iter().map(|s| s.name.clone()).collect();
        self.sealed.retain(|name, _| names.contains(name));
        names.into_iter().filter(|name| !self.sealed.contains_key(name)).collect()
    }

    /// Adds a sealed object as read from the store.
    pub fn set_sealed(&mut self, name: String, claims: Claims) {
        self.sealed.insert(name, claims);
    }

    /// Returns the head, with the changes that were applied again.
    pub fn head(&self) -> &ShardHead {
        &self.head
    }

    /// Applies a change that a restored store has lost, unless the key has been claimed otherwise since.
    pub fn reapply(&mut self, change: &Change) {
        self.change(change);
    }

    /// Returns true if all sealed objects are present. Otherwise no change may be decided.
    pub fn is_complete(&self) -> bool {
        self.head.sealed.iter().all(|sealed| self.sealed.contains_key(&sealed.name))
    }

    /// Returns the claim of a key, if an attempt holds it.
    pub fn claim(&self, key: KeyHash) -> Option<&Claim> {
        if let Some(claim) = self.head.active.get(&key) {
            return claim.as_ref();
        }
        let newest_first = self.head.sealed.iter().rev();
        let found = newest_first.filter_map(|s| self.sealed.get(&s.name)?.get(&key)).next();
        found.and_then(Option::as_ref)
    }

    /// Computes the new head with all changes that apply.
    ///
    /// `now` is in milliseconds since the Unix epoch. Sealed objects older than `retention`
    /// milliseconds are removed from the list.
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

    /// Applies one change if the expected attempt holds the key.
    fn change(&mut self, change: &Change) -> Swap {
        let current = self.claim(change.key).cloned();
        if current.as_ref().map(|claim| claim.attempt) != change.expect {
            return Swap::Mismatch(current);
        }
        self.head.active.insert(change.key, change.claim.clone());
        Swap::Done
    }

    /// Moves the head's claims to a new sealed object if they are [`SEAL_CLAIMS`] or more.
    fn seal_if_large(&mut self, shard: u32, now: u64) -> Option<(String, Claims)> {
        if self.head.active.len() < SEAL_CLAIMS {
            return None;
        }
        let claims = std::mem::take(&mut self.head.active);
        // The name contains the head's `next` number and the time. If the write of the head
        // fails, the sealed object remains in the store without a reference.
        let name = format!("shard-{shard}-{}-{now}", self.head.next);
        self.head.next += 1;
        self.head.sealed.push(Sealed { name: name.clone(), until: now });
        Some((name, claims))
    }
}
