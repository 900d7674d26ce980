//! Which entry addresses a caller gets.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::roster::Health;

/// Addresses in one answer.
pub const ADDRESSES_MAX: usize = 6;
/// Addresses of the caller's own data centre that go first.
const NEAR_MAX: usize = 4;

/// An entry that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// Address for callers.
    pub http: SocketAddr,
    /// Data centre it stands in.
    pub centre: String,
}

/// An entry with how it looks and how far it is.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The address.
    pub address: Address,
    /// Region it stands in.
    pub region: String,
    /// How the entry looks.
    pub health: Health,
    /// Rank of the entry for this caller; spreads callers over equal entries.
    pub weight: u64,
}

/// Picks several entries: near ones first, then one of each other data centre, near regions first.
///
/// Leaving entries are never listed. Silent ones are listed only when nothing else is left, since
/// silence proves nothing.
pub fn pick_addresses(mut candidates: Vec<Candidate>, centre: &str, region: &str) -> Vec<Address> {
    candidates.retain(|candidate| candidate.health != Health::Leaving);
    candidates.sort_by_key(|candidate| (candidate.health, std::cmp::Reverse(candidate.weight)));
    let live = |candidate: &&Candidate| candidate.health == Health::Live;
    let mut picked: Vec<&Candidate> = Vec::new();
    let near = candidates.iter().filter(live).filter(|c| c.address.centre == centre);
    picked.extend(near.take(NEAR_MAX));
    let mut centres: Vec<&str> = vec![centre];
    for same_region in [true, false] {
        for candidate in candidates.iter().filter(live) {
            let matches = (candidate.region == region) == same_region;
            if matches && !centres.contains(&candidate.address.centre.as_str()) {
                centres.push(&candidate.address.centre);
                picked.push(candidate);
            }
        }
    }
    for candidate in &candidates {
        let listed = picked.iter().any(|other| other.address.http == candidate.address.http);
        if !listed && (candidate.health == Health::Live || picked.is_empty()) {
            picked.push(candidate);
        }
    }
    picked.truncate(ADDRESSES_MAX);
    picked.into_iter().map(|candidate| candidate.address.clone()).collect()
}
