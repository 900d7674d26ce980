//! Chooses an endpoint for each request.
//!
//! The score of an endpoint is its expected wait minus the time saved by a cached prompt prefix;
//! the lowest score wins. Only a few candidates are scored. Some are drawn at random, so that
//! entries with the same outdated report do not all send to the same endpoint. Others are chosen by
//! rendezvous hashing of the prompt, equally on every entry, so that requests with equal prefixes
//! go to the same endpoint.

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
    /// Key of an endpoint's routing state; stays valid across configuration versions.
    StateKey
);

/// Candidates drawn at random.
const RANDOM_CANDIDATES: usize = 3;
/// Candidates chosen by rendezvous hashing, the same on every entry for equal prompts.
const SHARED_CANDIDATES: usize = 1;
/// Time saved by one cached block, in milliseconds.
pub const BLOCK_SAVING_MS: f64 = 2.0;
/// Penalty for an endpoint in another data centre of the same region, in milliseconds.
const CENTRE_PENALTY_MS: f64 = 4.0;
/// Penalty for an endpoint in another region, in milliseconds.
const REGION_PENALTY_MS: f64 = 80.0;
/// Penalty for a [`Presence::Quiet`] endpoint, in milliseconds.
const QUIET_PENALTY_MS: f64 = 2_000.0;
/// Maximum fraction of the allowed endpoints of a pool that ejection may exclude.
const EJECTED_FRACTION: f64 = 0.34;

/// Reachability of an endpoint, judged by when its agent was last seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Presence {
    /// Never seen, or last seen long ago; gets no requests.
    #[default]
    Unknown,
    /// Seen recently.
    Live,
    /// Not seen for a while; gets requests at a penalty.
    Quiet,
    /// Leaving; gets no new requests.
    Leaving,
}

/// Routing state of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointState {
    name: String,
    presence: Presence,
    incarnation: Option<Incarnation>,
    /// Maximum number of concurrent requests.
    slots: u32,
    load: LoadTrack,
    ejection: Ejection,
    prefixes: PrefixIndex,
    /// Penalty for the distance to the endpoint's data centre, in milliseconds.
    distance_ms: f64,
}

/// The properties of a request that its routing depends on.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Pool that serves the request.
    pub pool: PoolKey,
    /// Workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// Hashes of the prompt's leading blocks; empty for services.
    pub blocks: &'a [u64],
    /// Hash of the request; equal for equal requests.
    pub fingerprint: u64,
    /// Names of endpoints that refused or failed the request before.
    pub exclude: &'a [String],
}

/// A candidate with its score, for logging.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// The candidate.
    pub endpoint: EndpointKey,
    /// Expected wait in milliseconds; the lowest wins.
    pub score: f64,
}

/// The router's choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen endpoint.
    pub endpoint: EndpointKey,
    /// Key of the endpoint's routing state.
    pub state_key: StateKey,
    /// Current incarnation of the endpoint's agent.
    pub incarnation: Incarnation,
    /// All scored candidates, including the chosen one, sorted by score.
    pub candidates: SmallVec<[Scored; 6]>,
    /// Reason for the choice, for logging.
    pub reason: &'static str,
}

/// Chooses endpoints from the routing state that one entry keeps of them.
#[derive(Debug)]
pub struct Router {
    states: Arena<StateKey, EndpointState>,
    names: HashMap<String, StateKey>,
    /// State keys of the current fleet's endpoints, by the index of the endpoint's key.
    keys: Vec<StateKey>,
    random: ChaCha8Rng,
}

impl Router {
    /// Creates a router without endpoints. Routers with equal seeds and inputs make equal choices.
    pub fn new(seed: u64) -> Self {
        Self {
            states: Arena::default(),
            names: HashMap::new(),
            keys: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a new fleet, seen from `centre` and `region`. Endpoints that remain in the fleet
    /// keep their state.
    pub fn set_fleet(&mut self, fleet: &Fleet, centre: &str, region: &str) {
        self.keys.clear();
        for (_, endpoint) in fleet.endpoints.iter() {
            let name = endpoint.name.to_string();
            let key = match self.names.get(&name) {
                Some(key) => *key,
                None => {
                    let state = EndpointState { name: name.clone(), ..EndpointState::default() };
                    let key = self.states.push(state);
                    self.names.insert(name, key);
                    key
                }
            };
            let state = &mut self.states[key];
            state.slots = endpoint.slots;
            let gate = endpoint.gate().map(|gate| &fleet.instances[gate]);
            state.distance_ms = gate.map_or(0.0, |gate| {
                let home = &fleet.centres[gate.centre];
                if home.name.as_str() == centre {
                    0.0
                } else if home.region.as_str() == region {
                    CENTRE_PENALTY_MS
                } else {
                    REGION_PENALTY_MS
                }
            });
            self.keys.push(key);
        }
    }

    /// Returns the state key of an endpoint of the current fleet.
    pub fn state_key(&self, endpoint: EndpointKey) -> Option<StateKey> {
        self.keys.get(endpoint.index()).copied()
    }

    /// Returns the state key of the endpoint with this name, also if it has left the fleet.
    pub fn state_key_by_name(&self, name: &str) -> Option<StateKey> {
        self.names.get(name).copied()
    }

    /// Updates the presence and incarnation of an endpoint's agent. A change of the incarnation
    /// clears load, cached prefixes and failures, and begins a slow start.
    pub fn set_presence(
        &mut self,
        key: StateKey,
        presence: Presence,
        incarnation: Option<Incarnation>,
        now: Duration,
    ) {
        let Some(state) = self.states.get_mut(key) else {
            return;
        };
        state.presence = presence;
        if incarnation.is_some() && state.incarnation != incarnation {
            if state.incarnation.is_some() {
                state.load.reset();
                state.prefixes.clear();
                state.ejection.record_restart(now);
            }
            state.incarnation = incarnation;
        }
    }

    /// Applies a load report.
    pub fn report(&mut self, key: StateKey, report: Report) {
        if let Some(state) = self.states.get_mut(key) {
            state.load.report(report);
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn start(&mut self, key: StateKey, blocks: &[u64], now: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.load.start(now);
            state.prefixes.record(blocks, now);
        }
    }

    /// Records that a request to an endpoint ended; `complete` if its answer was complete.
    pub fn end(&mut self, key: StateKey, complete: bool, now: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.load.end(now);
            if complete {
                state.ejection.record_success();
            }
        }
    }

    /// Records a failure that counts towards the endpoint's ejection.
    pub fn record_failure(&mut self, key: StateKey, now: Duration) {
        if let Some(state) = self.states.get_mut(key) {
            state.ejection.record_failure(now);
        }
    }

    /// Records that an endpoint announced that it is leaving.
    pub fn mark_leaving(&mut self, key: StateKey) {
        if let Some(state) = self.states.get_mut(key) {
            state.presence = Presence::Leaving;
        }
    }

    /// Returns the expected number of free slots of a pool, over all its usable endpoints.
    pub fn free_slots(&self, fleet: &Fleet, pool: PoolKey) -> f64 {
        let Some(pool) = fleet.pools.get(pool) else {
            return 0.0;
        };
        let usable =
            pool.endpoints.iter().filter_map(|key| self.state(*key)).filter(|s| is_usable(s));
        usable.map(|state| (f64::from(state.slots) - state.load.expected()).max(0.0)).sum()
    }

    /// Chooses an endpoint. Returns `None` if none can serve the request.
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
        let state_key = self.state_key(best)?;
        let incarnation = self.states[state_key].incarnation?;
        Some(Choice { endpoint: best, state_key, incarnation, candidates, reason })
    }

    /// Returns the usable endpoints of the pool that the workspace may use and that have not
    /// refused or failed the request before.
    fn allowed(&self, fleet: &Fleet, query: &Query<'_>) -> Vec<EndpointKey> {
        let Some(pool) = fleet.pools.get(query.pool) else {
            return Vec::new();
        };
        let matches = |key: &&EndpointKey| {
            let endpoint = &fleet.endpoints[**key];
            endpoint.allows(query.workspace)
                && !query.exclude.iter().any(|name| name == endpoint.name.as_str())
                && self.state(**key).is_some_and(is_usable)
        };
        pool.endpoints.iter().filter(matches).copied().collect()
    }

    /// Returns the endpoints to choose from and the reason for logging. Excludes ejected endpoints,
    /// unless these are more than [`EJECTED_FRACTION`] of the allowed ones.
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
        if count as f64 > allowed.len() as f64 * EJECTED_FRACTION {
            return (allowed.to_vec(), "too_many_ejected");
        }
        let kept = allowed.iter().filter(|key| !ejected(key)).copied().collect();
        (kept, "others_ejected")
    }

    /// Returns the endpoints to score: the shared candidates and some drawn at random.
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

    /// Returns the candidates that every entry selects for prompts with the same first block. For
    /// requests without blocks, the fingerprint replaces the first block.
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

    /// Returns the score of an endpoint: its expected wait in milliseconds, less the time saved by
    /// cached blocks.
    fn score(&self, endpoint: EndpointKey, query: &Query<'_>, now: Duration) -> f64 {
        let Some(state) = self.state(endpoint) else {
            return f64::INFINITY;
        };
        let slots = f64::from(state.slots.max(1));
        let load = state.load.expected() * state.ejection.load_factor(now);
        let service = state.load.service_ms();
        // A larger batch makes each step longer; once all slots are in use, requests wait for one.
        let batch = service * 0.25 * (load / slots).min(1.0);
        let queue = service * ((load + 1.0 - slots).max(0.0) / slots);
        let saved = BLOCK_SAVING_MS * state.prefixes.expected_hits(query.blocks, now);
        let quiet = if state.presence == Presence::Quiet { QUIET_PENALTY_MS } else { 0.0 };
        batch + queue + state.distance_ms + quiet - saved
    }

    fn state(&self, endpoint: EndpointKey) -> Option<&EndpointState> {
        self.states.get(self.state_key(endpoint)?)
    }
}

/// Returns true if requests may be sent to the endpoint.
fn is_usable(state: &EndpointState) -> bool {
    let reachable = matches!(state.presence, Presence::Live | Presence::Quiet);
    reachable && state.incarnation.is_some()
}
