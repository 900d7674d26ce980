//! Selects the endpoint for a request.
//!
//! Gateways decide independently, on news of each other's load that is some hundred milliseconds
//! old. If every gateway chose the endpoint that looks least loaded, all of them would choose the
//! same one. Each slot of each endpoint is therefore the home slot of exactly one gateway, and
//! gateways do not compete for home slots. Only a gateway whose home slots are all in use looks for
//! a free slot among a few endpoints drawn at random. If none is free, the request waits in the
//! gateway and not at an endpoint.

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
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Known work of all gateways at the endpoint.
    pub work: Work,
    /// Requests of this gateway at the endpoint.
    pub own: u32,
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

/// Selects the endpoint for one more request, or `None` if no slot is free.
pub fn place<R>(candidates: &[Candidate], random: &mut R) -> Option<(Candidate, SlotKind)>
where
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
    let free: SmallVec<[Candidate; 16]> =
        candidates.iter().copied().filter(Candidate::is_free).collect();
    let sample: SmallVec<[Candidate; SAMPLE_SIZE]> =
        free.choose_multiple(random, SAMPLE_SIZE).copied().collect();
    least_loaded(&sample, random).map(|one| (one, SlotKind::Borrowed))
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
    let gateways = gateways.max(1) as u64;
    let mut next = 0;
    let mut homes = Vec::with_capacity(slots.len());
    for count in slots {
        let count = u64::from(*count);
        // Assigns slots `next..next + count`; those congruent to `position` modulo `gateways` are
        // home slots of this gateway.
        let before = (next + gateways - 1 - position as u64) / gateways;
        let after = (next + count + gateways - 1 - position as u64) / gateways;
        homes.push((after - before) as u32);
        next += count;
    }
    homes
}
