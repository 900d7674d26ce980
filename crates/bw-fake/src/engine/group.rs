//! The lock-step group: one batch, steps that all ranks start together, and expert maps.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_expert::EngineOrder;
use bw_expert::EngineState;
use bw_expert::ExpertMap;
use bw_expert::Hold;
use bw_model::MapVersion;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::Instant;

use super::cache::Cache;
use super::chat::token;
use super::chat::ChatRequest;
use super::chat::CRASH_MARK;
use crate::weights::Weights;

const CACHE_BLOCKS: usize = 4_096;
/// Blocks of prompt that one step computes.
const PREFILL_BLOCKS: usize = 16;
/// Time after which a dead engine is back.
const RESTART: Duration = Duration::from_millis(700);
/// Age of the load that is reported.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// Shape of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Ranks.
    pub ranks: u16,
    /// Requests in the batch.
    pub slots: usize,
    /// Expert slots of a rank in a layer.
    pub expert_slots: u16,
    /// Layers.
    pub layers: u16,
    /// Experts in a layer.
    pub experts: u16,
    /// Time of a step with even load.
    pub step: Duration,
    /// Seed of demand.
    pub seed: u64,
}

/// One token, or the end of the stream.
pub type Tokens = mpsc::UnboundedReceiver<String>;

struct Running {
    prompt: String,
    next: usize,
    total: usize,
    prefill: usize,
    tokens: mpsc::UnboundedSender<String>,
}

struct RankState {
    map: MapVersion,
    hold: Option<Hold>,
    scheduled: Option<Hold>,
    loaded: Vec<ExpertMap>,
}

struct State {
    step: u64,
    ranks: Vec<RankState>,
    batch: Vec<Running>,
    queue: VecDeque<(i64, Running)>,
    cache: Cache,
    demand: Vec<Vec<u32>>,
    load: VecDeque<(Instant, LoadReport)>,
    dead_until: Option<Instant>,
    stalled_until: Option<Instant>,
    mixed_steps: u64,
    random: ChaCha8Rng,
}

/// Load as an engine reports it.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// Counters of a group.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GroupCounters {
    /// Steps run.
    pub steps: u64,
    /// Steps in which ranks used different maps; must be 0.
    pub mixed: u64,
    /// Map of rank 0.
    pub map: u64,
}

/// A group of engine ranks.
#[derive(Clone)]
pub struct Group {
    settings: GroupSettings,
    weights: Weights,
    state: Arc<Mutex<State>>,
}

impl Group {
    /// A group with its first map.
    pub fn new(settings: GroupSettings, weights: Weights) -> Self {
        let map = ExpertMap::initial(
            settings.ranks,
            settings.expert_slots,
            settings.layers,
            settings.experts,
        );
        let rank = |_| RankState {
            map: map.version,
            hold: None,
            scheduled: None,
            loaded: vec![map.clone()],
        };
        let demand = vec![vec![0; usize::from(settings.experts)]; usize::from(settings.layers)];
        let state = State {
            step: 0,
            ranks: (0..settings.ranks).map(rank).collect(),
            batch: Vec::new(),
            queue: VecDeque::new(),
            cache: Cache::new(CACHE_BLOCKS),
            demand,
            load: VecDeque::new(),
            dead_until: None,
            stalled_until: None,
            mixed_steps: 0,
            random: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Self { settings, weights, state: Arc::new(Mutex::new(state)) }
    }

    /// Runs steps for ever.
    pub async fn run(self) {
        loop {
            sleep(self.settings.step).await;
            self.lock().step(&self.settings);
        }
    }

    /// Adds a request; `None` while the engine is dead.
    pub fn submit(&self, request: &ChatRequest) -> Option<Tokens> {
        let mut state = self.lock();
        if state.is_dead() {
            return None;
        }
        let prompt = request.prompt();
        if prompt.contains(CRASH_MARK) {
            state.die();
            return None;
        }
        let (sender, tokens) = mpsc::unbounded_channel();
        let prefill = state.cache.admit(prompt.as_bytes()) / PREFILL_BLOCKS;
        let next = request.done();
        let total = next + request.max_tokens;
        let running = Running { prompt, next, total, prefill, tokens: sender };
        let behind = state.queue.iter().position(|(priority, _)| *priority > request.priority);
        let place = behind.unwrap_or(state.queue.len());
        state.queue.insert(place, (request.priority, running));
        Some(tokens)
    }

    /// Whether the engine is dead.
    pub fn is_dead(&self) -> bool {
        self.lock().is_dead()
    }

    /// Stops all ranks for a while.
    pub fn stall(&self, time: Duration) {
        self.lock().stalled_until = Some(Instant::now() + time);
    }

    /// Kills the engine; it is back after a moment.
    pub fn kill(&self) {
        self.lock().die();
    }

    /// Load as it was a moment ago.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let old = |(time, _): &&(Instant, LoadReport)| time.elapsed() >= LOAD_LAG;
        let report = state.load.iter().rev().find(old).or(state.load.front());
        report.map(|(_, report)| *report).unwrap_or_default()
    }

    /// Tokens of each expert of each layer since the last call.
    pub fn take_demand(&self) -> Vec<Vec<u32>> {
        let mut state = self.lock();
        let empty = vec![vec![0; usize::from(self.settings.experts)]; state.demand.len()];
        std::mem::replace(&mut state.demand, empty)
    }

    /// The map in force at a rank.
    pub fn map(&self, rank: usize) -> Option<ExpertMap> {
        let state = self.lock();
        let rank = state.ranks.get(rank)?;
        rank.loaded.iter().find(|map| map.version == rank.map).cloned()
    }

    /// Counters.
    pub fn counters(&self) -> GroupCounters {
        let state = self.lock();
        let map = state.ranks.first().map_or(0, |rank| rank.map.0);
        GroupCounters { steps: state.step, mixed: state.mixed_steps, map }
    }

    /// State of a rank.
    pub fn rank_state(&self, rank: usize) -> Option<EngineState> {
        let state = self.lock();
        let found = state.ranks.get(rank)?;
        Some(EngineState {
            map: found.map,
            step: state.step,
            hold: found.hold,
            scheduled: found.scheduled,
            loaded: found.loaded.iter().map(|map| map.version).collect(),
        })
    }

    /// Carries out an order of a rank's agent; false when it is not taken.
    pub async fn order(&self, rank: usize, order: EngineOrder) -> bool {
        if let EngineOrder::Load(map) = order {
            return self.load_map(rank, map).await;
        }
        let mut state = self.lock();
        let step = state.step;
        let Some(found) = state.ranks.get_mut(rank) else {
            return false;
        };
        match order {
            EngineOrder::Load(_) => true,
            EngineOrder::Hold(hold) => {
                let free = found.hold.is_none() && step <= hold.step;
                if free {
                    found.hold = Some(hold);
                }
                free
            }
            EngineOrder::Schedule(hold) => {
                let held = found.hold == Some(hold);
                if held {
                    found.hold = None;
                    found.scheduled = Some(hold);
                }
                held
            }
            EngineOrder::Release(hold) => {
                if found.hold == Some(hold) {
                    found.hold = None;
                }
                true
            }
            EngineOrder::Discard(version) => {
                let used = found.map == version;
                found.loaded.retain(|map| used || map.version != version);
                !used
            }
        }
    }

    async fn load_map(&self, rank: usize, map: ExpertMap) -> bool {
        let present = self.map(rank);
        let moves = present.map_or(0, |present| {
            let moves = present.moves_to(&map);
            moves.iter().filter(|one| usize::from(one.rank) == rank).count()
        });
        self.weights.read(moves).await;
        let mut state = self.lock();
        let Some(found) = state.ranks.get_mut(rank) else {
            return false;
        };
        if !found.loaded.iter().any(|loaded| loaded.version == map.version) {
            found.loaded.push(map);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_dead(&mut self) -> bool {
        if self.dead_until.is_some_and(|until| until <= Instant::now()) {
            self.dead_until = None;
        }
        self.dead_until.is_some()
    }

    /// Dropping the senders cuts the streams.
    fn die(&mut self) {
        self.dead_until = Some(Instant::now() + RESTART);
        self.batch.clear();
        self.queue.clear();
    }

    fn step(&mut self, settings: &GroupSettings) {
        let stalled = self.stalled_until.is_some_and(|until| until > Instant::now());
        if self.is_dead() || stalled || self.is_held() {
            return;
        }
        self.switch_maps();
        self.fill_batch(settings.slots);
        self.advance_batch();
        self.count_demand(settings);
        self.step += 1;
        let report =
            LoadReport { running: self.batch.len() as u32, queued: self.queue.len() as u32 };
        self.load.push_back((Instant::now(), report));
        while self.load.len() > 256 {
            self.load.pop_front();
        }
    }

    /// Lock-step: one rank that may not start keeps all from starting.
    fn is_held(&self) -> bool {
        self.ranks.iter().any(|rank| rank.hold.is_some_and(|hold| hold.step <= self.step))
    }

    fn switch_maps(&mut self) {
        let step = self.step;
        for rank in &mut self.ranks {
            if let Some(hold) = rank.scheduled.filter(|hold| hold.step == step) {
                rank.map = hold.version;
                rank.loaded.retain(|map| map.version >= hold.version);
            }
        }
        let first = self.ranks.first().map(|rank| rank.map);
        if self.ranks.iter().any(|rank| Some(rank.map) != first) {
            self.mixed_steps += 1;
        }
    }

    fn fill_batch(&mut self, slots: usize) {
        while self.batch.len() < slots {
            match self.queue.pop_front() {
                Some((_, running)) => self.batch.push(running),
                None => break,
            }
        }
    }

    fn advance_batch(&mut self) {
        self.batch.retain_mut(|running| {
            if running.prefill > 0 {
                running.prefill -= 1;
                return true;
            }
            if running.next >= running.total {
                return false;
            }
            let token = token(&running.prompt, running.next);
            running.next += 1;
            // A receiver that is gone cancels the request.
            running.tokens.send(token).is_ok() && running.next < running.total
        });
    }

    fn count_demand(&mut self, settings: &GroupSettings) {
        let tokens = self.batch.len() as u32;
        for layer in &mut self.demand {
            for _ in 0..tokens {
                // Two draws and the smaller one: low-numbered experts are the popular ones.
                let first = self.random.random_range(0..settings.experts);
                let second = self.random.random_range(0..settings.experts);
                layer[usize::from(first.min(second))] += 1;
            }
        }
    }
}
