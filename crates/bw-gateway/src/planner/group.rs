//! One group as its planner sees it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::engines;
use bw_direct::catalog::Engine;
use bw_direct::catalog::ExpertShape;
use bw_expert::drive::Driver;
use bw_expert::drive::Phase;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankExperts;
use bw_expert::policy::sample::SampleTime;
use bw_expert::policy::sample::Sampler;
use bw_http::Client;
use bw_model::Fence;
use log::info;

use super::calls::read_report;
use super::calls::Call;
use crate::endpoints::GroupView;

/// Bits of a fencing number that a holder may use up by itself.
const FENCE_BITS: u32 = 24;
/// Pace from which a rank counts as slow.
const SLOW_PACE: f64 = 1.15;
/// Shortest and longest time that a step is taken to last.
const PACE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(1_000));
/// Steps beyond the last known one that are taken to have started at most.
const STEPS_AHEAD_MAX: u64 = 10;

/// What the next counts are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sampling {
    /// To follow demand.
    Steady,
    /// To begin anew, since demand has shifted.
    Rebase,
    /// To learn the demand after the shift.
    Shifted,
    /// To learn it better.
    Refining,
}

impl Sampling {
    /// What the counts that have come mean for the estimate; `None` while they only mark a start.
    pub fn moment(self) -> Option<SampleTime> {
        match self {
            Self::Steady => Some(SampleTime::Steady),
            Self::Rebase => None,
            Self::Shifted => Some(SampleTime::Shift),
            Self::Refining => Some(SampleTime::Refine),
        }
    }

    /// What the counts after those are for.
    pub fn next(self) -> Self {
        match self {
            Self::Shifted => Self::Refining,
            Self::Steady | Self::Rebase | Self::Refining => Self::Steady,
        }
    }
}

/// One group as its planner sees it.
pub struct Group {
    pub view: GroupView,
    pub shape: ExpertShape,
    pub lag: Duration,
    pub driver: Driver,
    pub sampler: Sampler,
    /// Factor by which each rank is slower than it should be.
    pub paces: Vec<f64>,
    /// When reports were last read.
    pub looked: Duration,
    /// Longest timely pause between the events of the service's streams.
    pub pause: Duration,
    /// What the next counts are for.
    pub sampling: Sampling,
    /// Map in use, once it is known.
    pub map: Option<Vec<Placement>>,
    /// Map that is being switched to.
    pub next: Option<Vec<Placement>>,
    /// Experts of each rank while the map in use is being read.
    pub reading: HashMap<u16, engines::HeldExperts>,
    /// Reports and lists of experts that are on their way.
    pub pending: usize,
    /// Counts that are on their way.
    pub counting: usize,
    /// When the driver's phase began.
    pub since: Duration,
    pub phase: Phase,
    pub sampled: Duration,
    pub switched: Duration,
    /// The last known step and when it was read.
    pub step: (u64, Duration),
    /// Length of a step.
    pub pace: Duration,
    /// Step from which the last switch is in force.
    pub target: u64,
    /// When ranks are expected to have received their experts.
    pub copied: Duration,
    /// Whether a plan is being made.
    pub planning: bool,
}

impl Group {
    pub fn new(
        view: GroupView,
        engine: &Engine,
        shape: ExpertShape,
        fence: Fence,
        now: Duration,
    ) -> Self {
        let driver = Driver::new(view.ranks.len() as u16, Fence(fence.0 << FENCE_BITS));
        let phase = driver.phase();
        Self {
            sampler: Sampler::new(shape.sets, shape.experts),
            shape,
            lag: engine.report_lag,
            paces: vec![1.0; view.ranks.len()],
            looked: now,
            pause: Duration::ZERO,
            sampling: Sampling::Rebase,
            view,
            driver,
            map: None,
            next: None,
            reading: HashMap::new(),
            pending: 0,
            counting: 0,
            since: now,
            phase,
            sampled: Duration::ZERO,
            switched: Duration::ZERO,
            step: (0, now),
            pace: engine.step * engine.stride,
            target: 0,
            copied: Duration::ZERO,
            planning: false,
        }
    }

    /// Names of slow ranks with their paces.
    pub fn slow_ranks(&self) -> Vec<(SocketAddr, f64)> {
        let slow = self.paces.iter().enumerate().filter(|(_, pace)| **pace >= SLOW_PACE);
        slow.filter_map(|(rank, pace)| Some((self.view.address(rank as u16)?, *pace))).collect()
    }

    /// Follows the driver into its next phase.
    pub fn enter(&mut self, now: Duration) {
        let before = self.phase;
        self.phase = self.driver.phase();
        info!(
            "event=switch_phase group={} phase={:?} before={before:?} after_ms={} step={} target={}",
            self.view.name,
            self.phase,
            now.saturating_sub(self.since).as_millis(),
            self.step.0,
            self.target
        );
        self.since = now;
        match (before, self.phase) {
            (Phase::Releasing, Phase::Idle) => {
                if let Some(next) = self.next.take() {
                    self.map = Some(next);
                }
            }
            (_, Phase::Reading | Phase::Fencing | Phase::Clearing | Phase::Disarming) => {
                self.map = None;
                self.next = None;
                self.target = 0;
                self.step = (0, now);
            }
            _ => {}
        }
    }

    /// Asks all ranks for their reports.
    pub fn push_reports(&mut self, client: &Client, calls: &mut Vec<Call>) {
        for (rank, address) in self.view.addresses() {
            self.pending += 1;
            let name = self.view.name.clone();
            calls.push(Box::pin(read_report(client.clone(), name, rank, address)));
        }
    }

    /// Whether all ranks can be asked for reports that show what the last phase has done.
    pub fn may_read(&self, now: Duration) -> bool {
        let aged = now.saturating_sub(self.since) >= self.lag;
        self.pending == 0 && aged && self.view.is_open()
    }

    /// Notes that a step had started at a time. What is older than known says nothing.
    pub fn note_step(&mut self, step: u64, at: Duration) {
        let (known, then) = self.step;
        if known > 0 && step > known && at > then {
            let pace = (at - then) / (step - known) as u32;
            self.pace = pace.clamp(PACE.0, PACE.1);
        }
        if known == 0 || (step > known && at > then) {
            self.step = (step, at);
        }
    }

    /// The step that is expected to run at `now`.
    pub fn step_at(&self, now: Duration) -> u64 {
        let (step, at) = self.step;
        let passed = now.saturating_sub(at).as_secs_f64() / self.pace.as_secs_f64();
        step + (passed as u64).min(STEPS_AHEAD_MAX)
    }

    pub fn first_map(&self) -> Vec<Placement> {
        let ranks = self.view.ranks.len();
        (0..self.shape.sets).map(|_| Placement::round_robin(ranks, self.shape.experts)).collect()
    }

    /// Joins what all ranks hold to the map in use.
    pub fn join_map(&mut self) {
        let ranks = self.view.ranks.len();
        if self.reading.len() < ranks {
            return;
        }
        let first = self.reading.values().next().map(|held| (held.epoch, held.version));
        let same = self.reading.values().all(|held| Some((held.epoch, held.version)) == first);
        if !same {
            return;
        }
        let mut map = vec![Placement { ranks: vec![RankExperts::new(); ranks] }; self.shape.sets];
        for (rank, held) in &self.reading {
            for (set, experts) in map.iter_mut().zip(&held.sets) {
                set.ranks[usize::from(*rank)] = experts.clone();
            }
        }
        self.map = Some(map);
    }
}
