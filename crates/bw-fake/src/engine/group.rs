//! An engine group in lock-step: one batch, steps that all ranks start together, and expert maps.

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

use super::cache::PrefixCache;
use super::chat::token;
use super::chat::ChatRequest;
use super::chat::CRASH_MARKER;
use crate::weights::WeightStore;

/// Capacity of the prefix cache, in blocks.
const CACHE_BLOCKS: usize = 4_096;
/// Number of prompt blocks that one step computes for a request.
const PREFILL_BLOCKS: usize = 16;
/// Time that a crashed engine takes to restart.
const RESTART_TIME: Duration = Duration::from_millis(700);
/// Delay after which callers receive a load report.
const LOAD_LAG: Duration = Duration::from_millis(100);

/// Shape and timing of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Number of ranks.
    pub ranks: u16,
    /// Largest number of requests in the batch.
    pub slots: usize,
    /// Number of expert slots of a rank in a layer.
    pub expert_slots: u16,
    /// Number of layers.
    pub layers: u16,
    /// Number of experts in a layer.
    pub experts: u16,
    /// Duration of a step.
    pub step_time: Duration,
    /// Seed of the random expert demand.
    pub seed: u64,
}

/// Receives the tokens of an answer; closes when the answer ends or the engine crashes.
pub type Tokens = mpsc::UnboundedReceiver<String>;

/// A request in the queue or the batch.
struct Sequence {
    prompt: String,
    /// Index of the next token.
    next: usize,
    /// Number of tokens of the whole answer, those of an earlier attempt included.
    total: usize,
    /// Number of steps until the prompt has been computed.
    prefill_steps: usize,
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
    batch: Vec<Sequence>,
    /// Requests with their priority, in the order of scheduling.
    queue: VecDeque<(i64, Sequence)>,
    cache: PrefixCache,
    demand: Vec<Vec<u32>>,
    load: VecDeque<(Instant, LoadReport)>,
    down_until: Option<Instant>,
    stalled_until: Option<Instant>,
    mixed_steps: u64,
    rng: ChaCha8Rng,
}

/// Load report of an engine.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the batch.
    pub running: u32,
    /// Number of requests waiting for the batch.
    pub queued: u32,
}

/// Counters of a group.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct GroupCounters {
    /// Number of steps run.
    pub steps: u64,
    /// Number of steps in which ranks used different maps; must be 0.
    pub mixed: u64,
    /// Version of the map in force at rank 0.
    pub map: u64,
}

/// A group of engine ranks. Clones share the state.
#[derive(Clone)]
pub struct Group {
    settings: GroupSettings,
    weights: WeightStore,
    state: Arc<Mutex<State>>,
}

impl Group {
    /// Creates a group whose ranks all use the initial map.
    pub fn new(settings: GroupSettings, weights: WeightStore) -> Self {
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
            cache: PrefixCache::new(CACHE_BLOCKS),
            demand,
            load: VecDeque::new(),
            down_until: None,
            stalled_until: None,
            mixed_steps: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
        };
        Self { settings, weights, state: Arc::new(Mutex::new(state)) }
    }

    /// Runs steps forever.
    pub async fn run(self) {
        loop {
            sleep(self.settings.step_time).await;
            self.lock().step(&self.settings);
        }
    }

    /// Queues a request; returns `None` while the engine is down, or if the request crashes it.
    pub fn submit(&self, request: &ChatRequest) -> Option<Tokens> {
        let mut state = self.lock();
        if state.is_down() {
            return None;
        }
        let prompt = request.prompt();
        if prompt.contains(CRASH_MARKER) {
            state.crash();
            return None;
        }
        let (sender, tokens) = mpsc::unbounded_channel();
        let prefill_steps = state.cache.insert_prompt(prompt.as_bytes()) / PREFILL_BLOCKS;
        let next = request.produced_tokens();
        let total = next + request.max_tokens;
        let sequence = Sequence { prompt, next, total, prefill_steps, tokens: sender };
        let successor = state.queue.iter().position(|(priority, _)| *priority > request.priority);
        let position = successor.unwrap_or(state.queue.len());
        state.queue.insert(position, (request.priority, sequence));
        Some(tokens)
    }

    /// Returns whether the engine has crashed and not restarted yet.
    pub fn is_down(&self) -> bool {
        self.lock().is_down()
    }

    /// Stops all ranks for `duration` from now.
    pub fn stall(&self, duration: Duration) {
        self.lock().stalled_until = Some(Instant::now() + duration);
    }

    /// Crashes the engine, which restarts after `RESTART_TIME`.
    pub fn kill(&self) {
        self.lock().crash();
    }

    /// Returns the newest load report that is at least `LOAD_LAG` old, or else the oldest one.
    pub fn load(&self) -> LoadReport {
        let state = self.lock();
        let lagged = |(time, _): &&(Instant, LoadReport)| time.elapsed() >= LOAD_LAG;
        let report = state.load.iter().rev().find(lagged).or(state.load.front());
        report.map(|(_, report)| *report).unwrap_or_default()
    }

    /// Returns the number of tokens of each expert of each layer since the last call.
    pub fn take_demand(&self) -> Vec<Vec<u32>> {
        let mut state = self.lock();
        let empty = vec![vec![0; usize::from(self.settings.experts)]; state.demand.len()];
        std::mem::replace(&mut state.demand, empty)
    }

    /// Returns the map in force at a rank.
    pub fn map(&self, rank: usize) -> Option<ExpertMap> {
        let state = self.lock();
        let rank = state.ranks.get(rank)?;
        rank.loaded.iter().find(|map| map.version == rank.map).cloned()
    }

    /// Returns the counters of the group.
    pub fn counters(&self) -> GroupCounters {
        let state = self.lock();
        let map = state.ranks.first().map_or(0, |rank| rank.map.0);
        GroupCounters { steps: state.step, mixed: state.mixed_steps, map }
    }

    /// Returns the state of a rank.
    pub fn rank_state(&self, rank: usize) -> Option<EngineState> {
        let state = self.lock();
        let rank = state.ranks.get(rank)?;
        Some(EngineState {
            map: rank.map,
            step: state.step,
            hold: rank.hold,
            scheduled: rank.scheduled,
            loaded: rank.loaded.iter().map(|map| map.version).collect(),
        })
    }

    /// Carries out an order of a rank's agent; returns false if the order is rejected.
    pub async fn apply_order(&self, rank: usize, order: EngineOrder) -> bool {
        if let EngineOrder::Load(map) = order {
            return self.load_map(rank, map).await;
        }
        let mut state = self.lock();
        let step = state.step;
        let Some(rank) = state.ranks.get_mut(rank) else {
            return false;
        };
        match order {
            EngineOrder::Load(_) => true,
            EngineOrder::Hold(hold) => {
                let accepted = rank.hold.is_none() && step <= hold.step;
                if accepted {
                    rank.hold = Some(hold);
                }
                accepted
            }
            EngineOrder::Schedule(hold) => {
                let matches = rank.hold == Some(hold);
                if matches {
                    rank.hold = None;
                    rank.scheduled = Some(hold);
                }
                matches
            }
            EngineOrder::Release(hold) => {
                if rank.hold == Some(hold) {
                    rank.hold = None;
                }
                true
            }
            EngineOrder::Discard(version) => {
                let in_use = rank.map == version;
                rank.loaded.retain(|map| in_use || map.version != version);
                !in_use
            }
        }
    }

    async fn load_map(&self, rank: usize, map: ExpertMap) -> bool {
        let current = self.map(rank);
        let moves = current.map_or(0, |current| {
            let moves = current.moves_to(&map);
            moves.iter().filter(|expert_move| usize::from(expert_move.rank) == rank).count()
        });
        self.weights.read(moves).await;
        let mut state = self.lock();
        let Some(rank) = state.ranks.get_mut(rank) else {
            return false;
        };
        if !rank.loaded.iter().any(|loaded| loaded.version == map.version) {
            rank.loaded.push(map);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_down(&mut self) -> bool {
        if self.down_until.is_some_and(|until| until <= Instant::now()) {
            self.down_until = None;
        }
        self.down_until.is_some()
    }

    /// Crashes the engine; dropping the senders of tokens breaks off all streams.
    fn crash(&mut self) {
        self.down_until = Some(Instant::now() + RESTART_TIME);
        self.batch.clear();
        self.queue.clear();
    }

    fn step(&mut self, settings: &GroupSettings) {
        let stalled = self.stalled_until.is_some_and(|until| until > Instant::now());
        if self.is_down() || stalled || self.is_held() {
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

    /// Returns whether any rank holds this step or an earlier one; in lock-step, one held rank stops
    /// all ranks.
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
                Some((_, sequence)) => self.batch.push(sequence),
                None => break,
            }
        }
    }

    fn advance_batch(&mut self) {
        self.batch.retain_mut(|sequence| {
            if sequence.prefill_steps > 0 {
                sequence.prefill_steps -= 1;
                return true;
            }
            if sequence.next >= sequence.total {
                return false;
            }
            let token = token(&sequence.prompt, sequence.next);
            sequence.next += 1;
            // A send fails if the receiver was dropped, which cancels the request.
            sequence.tokens.send(token).is_ok() && sequence.next < sequence.total
        });
    }

    fn count_demand(&mut self, settings: &GroupSettings) {
        let tokens = self.batch.len() as u32;
        for layer in &mut self.demand {
            for _ in 0..tokens {
                // The smaller of two draws makes experts with low numbers more popular.
                let first = self.rng.random_range(0..settings.experts);
                let second = self.rng.random_range(0..settings.experts);
                layer[usize::from(first.min(second))] += 1;
            }
        }
    }
}
