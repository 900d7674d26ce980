//! Selects the endpoint for a request.
//!
//! Gateways decide independently, on news of each other's load that is some hundred milliseconds
//! old. If every gateway chose the endpoint that looks least loaded, all of them would choose the
//! same one. Each slot of each endpoint is therefore the home slot of exactly one gateway, and
//! gateways do not compete for home slots. Only a gateway whose home slots are all in use looks for
//! a free slot among a few endpoints drawn at random. If none is free, the request waits in the
//! gateway and not at an endpoint.
//!
//! Above capacity the home slots of all gateways are in use, and each of them sees the same few free
//! slots until the next news. Free slots that are fewer than the gateways that may want them are
//! therefore divided: a free home slot of one of these gateways is left to it, and each other free
//! slot of an endpoint is for one of them, in the endpoint's rendezvous order.

use bw_model::hash::rendezvous_weight_of;
use bw_model::Key;
use rand::seq::IndexedRandom;
use rand::Rng;
use smallvec::SmallVec;

use crate::endpoint::EndpointKey;
use crate::evacuation::PACE_LIMIT;
use crate::load::Work;

/// Endpoints sampled when no home slot is free.
const SAMPLE_SIZE: usize = 4;
/// Unread prompt tokens that count as one running request.
const PROMPT_UNIT: f64 = 2_000.0;
/// Penalty for an endpoint in another data centre; small enough to only break ties between equal
/// loads.
const REMOTE_PENALTY: f64 = 0.02;
/// Upper bound on the random part of a score.
const NOISE_MAX: f64 = 0.05;

/// An endpoint that is eligible for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Hash of the endpoint's name, which is the same at all gateways.
    pub hash: u64,
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Known work of all gateways at the endpoint.
    pub work: Work,
    /// Requests of this gateway at the endpoint.
    pub own: u32,
    /// Number of the endpoint's first slot among the slots of the service.
    pub first_slot: u64,
    /// Home slots of this gateway at the endpoint.
    pub home_slots: u32,
    /// Whether the endpoint is in another data centre.
    pub remote: bool,
    /// Factor by which the endpoint is slower than it should be; 1 if it is not slower.
    pub pace: f64,
}

impl Candidate {
    /// Returns the load per slot with one more request, where unread prompts count as requests.
    /// Lower is better.
    fn score(&self) -> f64 {
        let work = f64::from(self.work.requests + 1) + f64::from(self.work.prompt) / PROMPT_UNIT;
        self.pace * work / f64::from(self.slots.max(1))
            + if self.remote { REMOTE_PENALTY } else { 0.0 }
    }

    fn is_free(&self) -> bool {
        self.work.requests < self.slots
    }

    /// Returns the number of slots that are free by the known work.
    pub fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.work.requests)
    }

    fn is_slow(&self) -> bool {
        self.pace >= PACE_LIMIT
    }

    fn has_free_home_slot(&self) -> bool {
        self.own < self.home_slots && self.is_free()
    }
}

/// Kind of slot that a request was placed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotKind {
    /// Home slot of this gateway.
    Home,
    /// Home slot of another gateway that appeared to be free.
    Borrowed,
}

/// The gateways that may want to borrow the same free slots as this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rivals {
    /// Hash of this gateway.
    own: u64,
    /// Hashes of the other gateways.
    others: Vec<u64>,
    /// Whether the gateway at a position among all gateways is a rival.
    positions: Vec<bool>,
    /// Home slots of the rivals that these use themselves, by endpoint index.
    used: Vec<u32>,
}

impl Rivals {
    /// Creates the rivals of the gateway with the hash `own` among `gateways` gateways; it has none yet.
    pub fn new(own: u64, gateways: usize) -> Self {
        Self { own, positions: vec![false; gateways], ..Self::default() }
    }

    /// Adds a gateway with its position among all gateways, if known, and its requests at endpoints.
    pub fn add<'a, I>(&mut self, hash: u64, position: Option<usize>, works: I)
    where
        I: Iterator<Item = (&'a Candidate, u32)>,
    {
        self.others.push(hash);
        let gateways = self.positions.len();
        let Some(position) = position.filter(|position| *position < gateways) else { return };
        self.positions[position] = true;
        for (candidate, requests) in works {
            let index = candidate.key.index();
            if self.used.len() <= index {
                self.used.resize(index + 1, 0);
            }
            let homes = home_slots(candidate.first_slot, candidate.slots, position, gateways);
            self.used[index] += requests.min(homes);
        }
    }

    /// Adds a rival whose work is only known in a sum with others'; it has no free home slot.
    pub fn add_full(&mut self, hash: u64) {
        self.others.push(hash);
    }

    /// Returns the number of rivals.
    pub fn len(&self) -> usize {
        self.others.len()
    }

    /// Returns true if there is no rival.
    pub fn is_empty(&self) -> bool {
        self.others.is_empty()
    }

    /// Returns whether one of the free slots of an endpoint is for this gateway.
    fn allow(&self, candidate: &Candidate) -> bool {
        let slots = candidate.first_slot..candidate.first_slot + u64::from(candidate.slots);
        let gateways = self.positions.len().max(1) as u64;
        let is_home = |slot: &u64| self.positions.get((slot % gateways) as usize) == Some(&true);
        let homes = slots.filter(is_home).count() as u32;
        let used = self.used.get(candidate.key.index()).copied().unwrap_or_default();
        let free = candidate.free_slots().saturating_sub(homes.saturating_sub(used)) as usize;
        let own = rendezvous_weight_of(candidate.hash, self.own);
        let weights = self.others.iter().map(|other| rendezvous_weight_of(candidate.hash, *other));
        weights.filter(|weight| *weight > own).take(free).count() < free
    }
}

/// Selects the endpoint for one more request, or `None` if no slot is free for this gateway. `rivals` is
/// asked only if no home slot is free.
pub fn place<F, R>(
    candidates: &[Candidate],
    rivals: F,
    random: &mut R,
) -> Option<(Candidate, SlotKind)>
where
    F: FnOnce() -> Rivals,
    R: Rng,
{
    let all_slow = candidates.iter().all(Candidate::is_slow);
    let candidates: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(|one| all_slow || !one.is_slow()).collect();
    let homes: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(Candidate::has_free_home_slot).collect();
    if let Some(home) = least_loaded(&homes, random) {
        return Some((home, SlotKind::Home));
    }
    let mut free: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(Candidate::is_free).collect();
    if free.is_empty() {
        return None;
    }
    let rivals = rivals();
    let free_slots: u32 = free.iter().map(Candidate::free_slots).sum();
    if (free_slots as usize) < rivals.len() {
        free.retain(|one| rivals.allow(one));
    }
    let sample: SmallVec<[Candidate; SAMPLE_SIZE]> =
        free.choose_multiple(random, SAMPLE_SIZE).copied().collect();
    least_loaded(&sample, random).map(|one| (one, SlotKind::Borrowed))
}

/// Lets each endpoint have one request more than it has slots. A stream that leaves a rank which delays its whole
/// group harms fewer callers in the queue of another endpoint than where it is.
pub fn allow_one_more(candidates: &mut [Candidate]) {
    for candidate in candidates {
        candidate.slots += 1;
        candidate.home_slots += 1;
    }
}

fn least_loaded<R>(candidates: &[Candidate], random: &mut R) -> Option<Candidate>
where
    R: Rng,
{
    let scored =
        candidates.iter().map(|one| (one.score() + random.random_range(0.0..NOISE_MAX), one));
    scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, one)| *one)
}

/// Returns the number of home slots at each endpoint for the gateway at `position` among
/// `gateways`.
///
/// Slots are assigned round-robin across the endpoints, so that the gateways' totals differ by at
/// most one slot. Gateways with different views of the gateways or endpoints compute different
/// assignments, which causes some collisions until their views converge.
pub fn assign_home_slots(slots: &[u32], position: usize, gateways: usize) -> Vec<u32> {
    let mut next = 0;
    let mut homes = Vec::with_capacity(slots.len());
    for count in slots {
        homes.push(home_slots(next, *count, position, gateways));
        next += u64::from(*count);
    }
    homes
}

/// Returns the number of slots from `first` to `first + count` that are congruent to `position` modulo
/// `gateways`, which are home slots of the gateway at that position.
fn home_slots(first: u64, count: u32, position: usize, gateways: usize) -> u32 {
    let (position, gateways) = (position as u64, gateways.max(1) as u64);
    let before = (first + gateways - 1 - position) / gateways;
    let after = (first + u64::from(count) + gateways - 1 - position) / gateways;
    (after - before) as u32
}
