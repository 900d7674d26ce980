//! Selection of the entry addresses that are returned to a caller.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::roster::Health;

/// Maximum number of addresses in one answer.
pub const ADDRESSES_MAX: usize = 6;
/// Maximum number of addresses in the caller's own data centre that are listed first.
const LOCAL_MAX: usize = 4;

/// Address of an entry that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// HTTP address for callers.
    pub http: SocketAddr,
    /// Data centre of the entry.
    pub centre: String,
}

/// An entry that may be returned, with the properties that determine its position in the answer.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Address returned to the caller.
    pub address: Address,
    /// Region of the entry.
    pub region: String,
    /// Health of the entry.
    pub health: Health,
    /// Weight of the entry for this caller, higher first. Weights that differ between callers
    /// distribute them over otherwise equal entries.
    pub weight: u64,
}

/// Selects up to [`ADDRESSES_MAX`] live entries: first up to `LOCAL_MAX` in the caller's data
/// centre, then one from each other data centre, with data centres of the caller's region first,
/// then the remaining ones.
///
/// Leaving entries are never listed. When no entry is live, one that is silent is listed, since
/// silence does not prove that a process is dead.
pub fn pick_addresses(mut candidates: Vec<Candidate>, centre: &str, region: &str) -> Vec<Address> {
    candidates.retain(|candidate| candidate.health != Health::Leaving);
    candidates.sort_by_key(|candidate| (candidate.health, std::cmp::Reverse(candidate.weight)));
    let live = |candidate: &&Candidate| candidate.health == Health::Live;
    let mut picked: Vec<&Candidate> = Vec::new();
    let local = candidates.iter().filter(live).filter(|c| c.address.centre == centre);
    picked.extend(local.take(LOCAL_MAX));
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
