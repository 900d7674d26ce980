//! Which endpoint a request goes to.
//!
//! Entries decide by themselves, on news of each other's work that is some hundred milliseconds
//! old. If all took the endpoint that looks least loaded, they would meet there. Each slot of each
//! endpoint is therefore the home slot of one entry: on its home slots an entry meets nobody else.
//! Only an entry whose home slots are taken looks for a free slot among a few endpoints drawn at
//! random. Where none is free the request waits with the entry, not at an endpoint.

use rand::seq::IndexedRandom;
use rand::Rng;
use smallvec::SmallVec;

use crate::endpoint::EndpointKey;
use crate::load::Work;

/// Endpoints that are looked at beyond the home slots.
const DRAWN: usize = 4;
/// Prompt tokens that weigh as much as one running request while they are not yet read.
const PROMPT_UNIT: f64 = 2_000.0;
/// Score added for an endpoint in another data centre; breaks ties between equal loads.
const FAR: f64 = 0.02;
/// Factor from which a slow endpoint gets no new work while others may: in a group whose ranks
/// advance together it would make the requests of all ranks wait.
const SLOW_MAX: f64 = 2.0;
/// Largest random part of a score.
const NOISE: f64 = 0.05;

/// An endpoint that a request may go to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub key: EndpointKey,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Work of all entries there, as far as is known.
    pub work: Work,
    /// Requests of this entry there.
    pub own: u32,
    /// Slots that are home slots of this entry.
    pub homes: u32,
    /// Whether it stands in another data centre.
    pub far: bool,
    /// Factor by which it is slower than its peers; 1 for none.
    pub slowness: f64,
}

impl Candidate {
    /// Requests per slot after one more, with unread prompts counted as requests.
    fn score(&self) -> f64 {
        let work = f64::from(self.work.requests + 1) + f64::from(self.work.prompt) / PROMPT_UNIT;
        self.slowness * work / f64::from(self.slots.max(1)) + if self.far { FAR } else { 0.0 }
    }

    fn is_free(&self) -> bool {
        self.work.requests < self.slots
    }

    fn is_slow(&self) -> bool {
        self.slowness >= SLOW_MAX
    }

    fn has_free_home(&self) -> bool {
        self.own < self.homes && self.is_free()
    }
}

/// How an endpoint was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// On a home slot.
    Home,
    /// On a slot of another entry that seemed free.
    Borrowed,
}

/// The endpoint for one more request; `None` when no slot is free.
pub fn place<R>(candidates: &[Candidate], random: &mut R) -> Option<(Candidate, Found)>
where
    R: Rng,
{
    let all_slow = candidates.iter().all(Candidate::is_slow);
    let candidates: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(|one| all_slow || !one.is_slow()).collect();
    let homes: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(Candidate::has_free_home).collect();
    if let Some(home) = least(&homes, random) {
        return Some((home, Found::Home));
    }
    let free: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(Candidate::is_free).collect();
    let drawn: SmallVec<[Candidate; DRAWN]> =
        free.choose_multiple(random, DRAWN).copied().collect();
    least(&drawn, random).map(|one| (one, Found::Borrowed))
}

fn least<R>(candidates: &[Candidate], random: &mut R) -> Option<Candidate>
where
    R: Rng,
{
    let scored = candidates.iter().map(|one| (one.score() + random.random_range(0.0..NOISE), one));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, one)| *one)
}

/// Number of home slots of entry `place` of `entries` at each endpoint with so many slots.
///
/// Slots are dealt in turn over the endpoints, so that shares differ by one slot at most. Entries
/// that see other entries or endpoints deal otherwise, which costs some collisions for a while.
pub fn deal_homes(slots: &[u32], place: usize, entries: usize) -> Vec<u32> {
    let entries = entries.max(1) as u64;
    let mut next = 0;
    let mut homes = Vec::with_capacity(slots.len());
    for count in slots {
        let count = u64::from(*count);
        // Slots `next..next + count` are dealt; those congruent to `place` are homes.
        let before = (next + entries - 1 - place as u64) / entries;
        let after = (next + count + entries - 1 - place as u64) / entries;
        homes.push((after - before) as u32);
        next += count;
    }
    homes
}
