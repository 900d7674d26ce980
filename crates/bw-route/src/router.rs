//! Chooses an endpoint for each request.
//!
//! The score of an endpoint is the wait expected there, minus the time that a cached prefix saves.
//! Only a few candidates are scored: some drawn at random, so that entries that hold the same late
//! report do not all send to the same endpoint, and some that every entry prefers for the prompt,
//! so that equal prefixes meet.

use std::collections::HashMap;
use std::time::Duration;

use bw_model::arena_key;
use bw_model::fleet::EndpointKey;
use bw_model::fleet::PoolKey;
use bw_model::fleet::WorkspaceKey;
use bw_model::hash::rendezvous_weight;
use bw_model::Arena;
use bw_model::Fleet;
use bw_model::Incarnation;
use bw_model::Key;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;

use crate::eject::Ejection;
use crate::load::LoadTrack;
use crate::load::Report;
use crate::prefix::PrefixIndex;

arena_key!(
    /// Key of an endpoint's state, which outlives configuration versions.
    SlotKey
);

/// Candidates drawn at random.
const RANDOM_CANDIDATES: usize = 3;
/// Candidates that every entry prefers for a prompt.
const SHARED_CANDIDATES: usize = 1;
/// Time that one cached block saves, in milliseconds.
pub const BLOCK_SAVES: f64 = 2.0;
/// Wait added for an endpoint in another data centre, in milliseconds.
const FAR_CENTRE: f64 = 4.0;
/// Wait added for an endpoint in another region, in milliseconds.
const FAR_REGION: f64 = 80.0;
/// Wait added for an endpoint that has not been heard for a while, in milliseconds.
const QUIET: f64 = 2_000.0;
/// At most this part of a pool is ejected.
const EJECTED_PART: f64 = 0.34;

/// How an endpoint looks to the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// Never heard, or silent for long.
    #[default]
    Unknown,
    /// Heard lately.
    Live,
    /// Silent for a while.
    Quiet,
    /// Leaving; gets no new work.
    Leaving,
}

/// State of one endpoint.
#[derive(Clone, Debug, Default)]
struct Slot {
    name: String,
    presence: Presence,
    incarnation: Option<Incarnation>,
    slots: u32,
    load: LoadTrack,
    ejection: Ejection,
    prefixes: PrefixIndex,
    /// Distance in milliseconds.
    distance: f64,
}

/// A request as the router sees it.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Pool that can serve it.
    pub pool: PoolKey,
    /// Workspace that sent it.
    pub workspace: WorkspaceKey,
    /// Hashes of the prompt's leading blocks; empty for services.
    pub blocks: &'a [u64],
    /// Hash that equal requests share.
    pub fingerprint: u64,
    /// Endpoints that refused or failed it before.
    pub exclude: &'a [String],
}

/// One candidate with its score, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Expected wait in milliseconds; lower is better.
    pub score: f64,
}

/// The router's choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Its state.
    pub slot: SlotKey,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// All candidates, the choice among them.
    pub candidates: SmallVec<[Scored; 6]>,
    /// Why no better one was there, or why this one.
    pub reason: &'static str,
}

/// Chooses endpoints from what one entry knows.
#[derive(Debug)]
pub struct Router {
    slots: Arena<SlotKey, Slot>,
    names: HashMap<String, SlotKey>,
    /// State of each endpoint of the fleet in force.
    keys: Vec<SlotKey>,
    random: ChaCha8Rng,
}

impl Router {
    /// A router without endpoints; equal seeds choose alike.
    pub fn new(seed: u64) -> Self {
        Self {
            slots: Arena::default(),
            names: HashMap::new(),
            keys: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Takes a new fleet; what is known of endpoints that stay is kept.
    pub fn set_fleet(&mut self, fleet: &Fleet, centre: &str, region: &str) {
        self.keys.clear();
        for (_, endpoint) in fleet.endpoints.iter() {
            let name = endpoint.name.to_string();
            let key = match self.names.get(&name) {
                Some(key) => *key,
                None => {
                    let key = self.slots.push(Slot { name: name.clone(), ..Slot::default() });
                    self.names.insert(name, key);
                    key
                }
            };
            let slot = &mut self.slots[key];
            slot.slots = endpoint.slots;
            let gate = endpoint.gate().map(|gate| &fleet.instances[gate]);
            slot.distance = gate.map_or(0.0, |gate| {
                let home = &fleet.centres[gate.centre];
                if home.name.as_str() == centre {
                    0.0
                } else if home.region.as_str() == region {
                    FAR_CENTRE
                } else {
                    FAR_REGION
                }
            });
            self.keys.push(key);
        }
    }

    /// State key of an endpoint of the fleet in force.
    pub fn slot(&self, endpoint: EndpointKey) -> Option<SlotKey> {
        self.keys.get(endpoint.index()).copied()
    }

    /// State key of an endpoint by its name.
    pub fn slot_by_name(&self, name: &str) -> Option<SlotKey> {
        self.names.get(name).copied()
    }

    /// Notes the life and presence of an endpoint's agent.
    pub fn set_presence(
        &mut self,
        slot: SlotKey,
        presence: Presence,
        incarnation: Option<Incarnation>,
        now: Duration,
    ) {
        let Some(state) = self.slots.get_mut(slot) else {
            return;
        };
        state.presence = presence;
        if incarnation.is_some() && state.incarnation != incarnation {
            if state.incarnation.is_some() {
                state.load.reset();
                state.prefixes.clear();
                state.ejection.restart(now);
            }
            state.incarnation = incarnation;
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, slot: SlotKey, report: Report) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.load.report(report);
        }
    }

    /// Notes that a request was sent to an endpoint.
    pub fn start(&mut self, slot: SlotKey, blocks: &[u64], now: Duration) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.load.start(now);
            state.prefixes.note(blocks, now);
        }
    }

    /// Notes that a request ended there; `whole` when it was answered in whole.
    pub fn end(&mut self, slot: SlotKey, whole: bool, now: Duration) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.load.end(now);
            if whole {
                state.ejection.succeed();
            }
        }
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn fail(&mut self, slot: SlotKey, now: Duration) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.ejection.fail(now);
        }
    }

    /// Notes that an endpoint said it is leaving.
    pub fn note_leaving(&mut self, slot: SlotKey) {
        if let Some(state) = self.slots.get_mut(slot) {
            state.presence = Presence::Leaving;
        }
    }

    /// Free slots expected over all endpoints of a pool.
    pub fn free_slots(&self, fleet: &Fleet, pool: PoolKey) -> f64 {
        let Some(pool) = fleet.pools.get(pool) else {
            return 0.0;
        };
        let usable =
            pool.endpoints.iter().filter_map(|key| self.state(*key)).filter(|s| is_usable(s));
        usable.map(|state| (f64::from(state.slots) - state.load.expected()).max(0.0)).sum()
    }

    /// Chooses an endpoint; `None` when none can take the request.
    pub fn choose(&mut self, fleet: &Fleet, query: &Query<'_>, now: Duration) -> Option<Choice> {
        let allowed = self.allowed(fleet, query);
        let (usable, reason) = self.preferred(&allowed, now);
        let picked = self.pick_candidates(&usable, query);
        let mut candidates: SmallVec<[Scored; 6]> = picked
            .iter()
            .map(|endpoint| Scored {
                endpoint: *endpoint,
                score: self.score(*endpoint, query, now),
            })
            .collect();
        candidates.sort_by(|a, b| a.score.total_cmp(&b.score));
        let best = candidates.first()?.endpoint;
        let slot = self.slot(best)?;
        let incarnation = self.slots[slot].incarnation?;
        Some(Choice { endpoint: best, slot, incarnation, candidates, reason })
    }

    /// Endpoints that the rules and earlier refusals leave, and that may be spoken to.
    fn allowed(&self, fleet: &Fleet, query: &Query<'_>) -> Vec<EndpointKey> {
        let Some(pool) = fleet.pools.get(query.pool) else {
            return Vec::new();
        };
        let fits = |key: &&EndpointKey| {
            let endpoint = &fleet.endpoints[**key];
            endpoint.allows(query.workspace)
                && !query.exclude.iter().any(|name| name == endpoint.name.as_str())
                && self.state(**key).is_some_and(is_usable)
        };
        pool.endpoints.iter().filter(fits).copied().collect()
    }

    /// Leaves out ejected endpoints, unless that would take too much of the pool.
    fn preferred(
        &self,
        allowed: &[EndpointKey],
        now: Duration,
    ) -> (Vec<EndpointKey>, &'static str) {
        let ejected = |key: &EndpointKey| {
            self.state(*key).is_some_and(|state| state.ejection.is_ejected(now))
        };
        let count = allowed.iter().filter(|key| ejected(key)).count();
        if count == 0 {
            return (allowed.to_vec(), "lowest_score");
        }
        if count as f64 > allowed.len() as f64 * EJECTED_PART {
            return (allowed.to_vec(), "too_many_ejected");
        }
        let kept = allowed.iter().filter(|key| !ejected(key)).copied().collect();
        (kept, "others_ejected")
    }

    fn pick_candidates(
        &mut self,
        usable: &[EndpointKey],
        query: &Query<'_>,
    ) -> SmallVec<[EndpointKey; 6]> {
        let mut picked: SmallVec<[EndpointKey; 6]> = self.shared_candidates(usable, query);
        let drawn = usable.choose_multiple(&mut self.random, RANDOM_CANDIDATES);
        for key in drawn {
            if !picked.contains(key) {
                picked.push(*key);
            }
        }
        picked
    }

    /// Candidates that every entry prefers for the same prompt.
    fn shared_candidates(
        &self,
        usable: &[EndpointKey],
        query: &Query<'_>,
    ) -> SmallVec<[EndpointKey; 6]> {
        let affinity = query.blocks.first().copied().unwrap_or(query.fingerprint);
        let item = affinity.to_string();
        let mut order: Vec<(u64, EndpointKey)> = usable
            .iter()
            .filter_map(|key| {
                let state = self.state(*key)?;
                Some((rendezvous_weight(&item, &state.name), *key))
            })
            .collect();
        order.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        order.into_iter().take(SHARED_CANDIDATES).map(|(_, key)| key).collect()
    }

    /// Expected wait in milliseconds.
    fn score(&self, endpoint: EndpointKey, query: &Query<'_>, now: Duration) -> f64 {
        let Some(state) = self.state(endpoint) else {
            return f64::INFINITY;
        };
        let slots = f64::from(state.slots.max(1));
        let load = state.load.expected() * state.ejection.load_factor(now);
        let service = state.load.service();
        // A fuller batch makes each step longer; past the last slot, requests wait for one.
        let batch = service * 0.25 * (load / slots).min(1.0);
        let queue = service * ((load + 1.0 - slots).max(0.0) / slots);
        let saved = BLOCK_SAVES * state.prefixes.expected_hits(query.blocks, now);
        let quiet = if state.presence == Presence::Quiet { QUIET } else { 0.0 };
        batch + queue + state.distance + quiet - saved
    }

    fn state(&self, endpoint: EndpointKey) -> Option<&Slot> {
        self.slots.get(self.slot(endpoint)?)
    }
}

fn is_usable(state: &Slot) -> bool {
    let heard = matches!(state.presence, Presence::Live | Presence::Quiet);
    heard && state.incarnation.is_some()
}
