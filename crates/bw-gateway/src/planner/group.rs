//! State of one group in the planner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::engines;
use bw_adapter::ObjectError;
use bw_direct::catalog::Engine;
use bw_direct::catalog::ExpertShape;
use bw_expert::drive::maps_allowed;
use bw_expert::drive::Command;
use bw_expert::drive::Driver;
use bw_expert::drive::Hearing;
use bw_expert::drive::Patience;
use bw_expert::drive::Phase;
use bw_expert::drive::RankCommand;
use bw_expert::policy::maps::SLOW_PACE;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankExperts;
use bw_expert::policy::sample::SampleTime;
use bw_expert::policy::sample::Sampler;
use bw_http::Client;
use bw_model::Fence;
use bytes::Bytes;
use log::info;

use super::calls::read_held_experts;
use super::calls::read_report;
use super::calls::Call;
use crate::endpoints::GroupView;

/// Interval between two reads of the reports of all ranks.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// The same interval while steps are longer than before: either demand has shifted, or a rank has
/// become slow.
const REPORT_INTERVAL_JUMP: Duration = Duration::from_millis(250);
/// Shortest and longest length that a step is assumed to have.
const STEP_LENGTH_RANGE: (Duration, Duration) =
    (Duration::from_millis(10), Duration::from_millis(1_000));
/// Bytes of an expert in an encoded map, the comma included.
const ENTRY_BYTES: usize = 4;
/// Maximum number of steps after the last known one that are assumed to have started.
const STEPS_AHEAD_MAX: u64 = 10;

/// Purpose of the next counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sampling {
    /// Follow demand while it is steady.
    Steady,
    /// Set a new baseline, since demand has shifted.
    Rebase,
    /// Estimate the demand after the shift.
    Shift,
    /// Refine the estimate after the shift.
    Refine,
}

impl Sampling {
    /// Returns the time of the sample relative to the last shift; `None` for counts that only set a
    /// baseline.
    pub fn sample_time(self) -> Option<SampleTime> {
        match self {
            Self::Steady => Some(SampleTime::Steady),
            Self::Rebase => None,
            Self::Shift => Some(SampleTime::Shift),
            Self::Refine => Some(SampleTime::Refine),
        }
    }

    /// Returns the purpose of the counts after these.
    pub fn next(self) -> Self {
        match self {
            Self::Shift => Self::Refine,
            Self::Steady | Self::Rebase | Self::Refine => Self::Steady,
        }
    }
}

/// A group with its driver, its estimate of demand and its pending calls.
pub struct Group {
    pub view: GroupView,
    pub shape: ExpertShape,
    /// Age of the data in a rank's reports.
    pub report_lag: Duration,
    pub driver: Driver,
    /// Time to wait for answers to commands that carry no map.
    pub patience: Patience,
    /// Time to wait for answers to commands that carry a map.
    pub map_patience: Patience,
    /// Encoded order of the last prepare command, which is the same for all ranks.
    prepare_order: Option<(RankCommand, Bytes)>,
    /// Answers of the ranks, which show that this gateway is not cut off.
    pub hearing: Hearing,
    pub sampler: Sampler,
    /// Pace of each rank: the factor by which the rank is slower than it should be.
    pub paces: Vec<f64>,
    /// Time of the last request for reports.
    pub reports_at: Duration,
    /// Time from which requested reports show the result of the previous phase.
    pub fresh_after: Duration,
    /// Whether a plan is due without new counts: a rank has become slow, or is no longer, or the last
    /// switch was only a part of the change.
    pub replan: bool,
    /// Shortest target pause among the routes of the service; zero if no route has one.
    pub max_pause: Duration,
    /// Purpose of the next counts.
    pub sampling: Sampling,
    /// Map in use; `None` until it is known.
    pub map: Option<Vec<Placement>>,
    /// Map that the current switch leads to.
    pub next_map: Option<Vec<Placement>>,
    /// Experts of each rank that has answered while the map in use is being read.
    pub held_experts: HashMap<u16, engines::HeldExperts>,
    /// Number of pending requests for reports and for held experts.
    pub pending_reads: usize,
    /// Number of pending requests for counts.
    pub pending_counts: usize,
    /// Start of the current phase.
    pub phase_since: Duration,
    /// Phase of the driver that this group has last entered.
    pub phase: Phase,
    /// Time of the last request for counts.
    pub sampled_at: Duration,
    /// Start of the last switch.
    pub switched_at: Duration,
    /// The last known step and the time at which it was known to have started.
    pub last_step: (u64, Duration),
    /// Length of a step: as configured at first, later as measured between known steps.
    pub step_length: Duration,
    /// First step of the map of the last switch.
    pub switch_step: u64,
    /// Time of the next query of whether ranks have copied their experts; the first query is at the
    /// expected end of the copies.
    pub copy_poll: Duration,
    /// Whether a plan is being computed.
    pub planning: bool,
}

impl Group {
    pub fn new(
        view: GroupView,
        engine: &Engine,
        shape: ExpertShape,
        lease: Fence,
        now: Duration,
    ) -> Self {
        let driver = Driver::new(view.ranks.len() as u16, lease);
        let phase = driver.phase();
        Self {
            sampler: Sampler::new(shape.sets, shape.experts),
            shape,
            report_lag: engine.report_lag,
            fresh_after: now + engine.report_lag,
            replan: false,
            paces: vec![1.0; view.ranks.len()],
            reports_at: now,
            max_pause: Duration::ZERO,
            sampling: Sampling::Rebase,
            view,
            driver,
            patience: Patience::default(),
            map_patience: Patience::for_maps(),
            prepare_order: None,
            hearing: Hearing::new(now),
            map: None,
            next_map: None,
            held_experts: HashMap::new(),
            pending_reads: 0,
            pending_counts: 0,
            phase_since: now,
            phase,
            sampled_at: Duration::ZERO,
            switched_at: Duration::ZERO,
            last_step: (0, now),
            step_length: engine.step * engine.stride,
            switch_step: 0,
            copy_poll: Duration::ZERO,
            planning: false,
        }
    }

    /// Returns the addresses of the slow ranks, with their paces.
    pub fn slow_ranks(&self) -> Vec<(SocketAddr, f64)> {
        let slow = self.paces.iter().enumerate().filter(|(_, pace)| **pace >= SLOW_PACE);
        slow.filter_map(|(rank, pace)| Some((self.view.address(rank as u16)?, *pace))).collect()
    }

    /// Enters the driver's current phase, and updates the map in use.
    pub fn enter_phase(&mut self, now: Duration) {
        let before = self.phase;
        self.phase = self.driver.phase();
        info!(
            "event=switch_phase group={} phase={:?} before={before:?} after_ms={} step={} target={}",
            self.view.name,
            self.phase,
            now.saturating_sub(self.phase_since).as_millis(),
            self.last_step.0,
            self.switch_step
        );
        self.phase_since = now;
        self.fresh_after = now + self.report_lag;
        match (before, self.phase) {
            (Phase::Releasing, Phase::Idle) => {
                if let Some(next) = self.next_map.take() {
                    self.map = Some(next);
                }
            }
            (_, Phase::Reading) => {
                self.map = None;
                self.next_map = None;
                self.switch_step = 0;
                self.last_step = (0, now);
            }
            _ => {}
        }
    }

    /// Returns the map that the prepare commands of the current phase carry; `None` while it is
    /// unknown.
    pub fn map_to_prepare(&self) -> Option<&[Placement]> {
        match self.driver.phase() {
            Phase::Superseding => self.map.as_deref(),
            _ => self.next_map.as_deref().or(Some(&[])),
        }
    }

    /// Returns the commands to send now. Those that carry a map are sent a few at a time.
    pub fn due_commands(&mut self) -> Vec<RankCommand> {
        if !self.driver.sends_maps() {
            return self.driver.due_commands();
        }
        let bytes = self.prepare_order.as_ref().map_or(0, |(_, body)| body.len());
        let bytes = bytes.max(self.map_bytes());
        let allowed = maps_allowed(bytes, self.driver.pending());
        self.driver.due_commands_within(allowed)
    }

    /// Returns the approximate size of an order that carries a map.
    fn map_bytes(&self) -> usize {
        let map = self.map_to_prepare().unwrap_or_default();
        let entries: usize = map.iter().flat_map(|set| &set.ranks).map(|held| held.len()).sum();
        entries * ENTRY_BYTES
    }

    /// Encodes a command as an order.
    ///
    /// # Errors
    /// Those of [`engines::encode_order`].
    pub fn encode_order(&mut self, command: &RankCommand) -> Result<Bytes, ObjectError> {
        let same = |known: &RankCommand| RankCommand { rank: command.rank, ..*known } == *command;
        if let Some((_, body)) = self.prepare_order.as_ref().filter(|(known, _)| same(known)) {
            return Ok(body.clone());
        }
        let body = engines::encode_order(command, self.map_to_prepare().unwrap_or_default())?;
        if matches!(command.command, Command::Prepare(_)) {
            self.prepare_order = Some((*command, body.clone()));
        }
        Ok(body)
    }

    /// Returns whether calls to ranks of an open group are under way.
    pub fn is_asking(&self) -> bool {
        let calls = self.pending_reads + self.pending_counts + self.driver.pending();
        calls > 0 && self.view.is_open()
    }

    /// Requests the experts that the ranks hold, which show the map in use, unless earlier reads are
    /// pending.
    pub fn request_held_experts(&mut self, client: &Client, calls: &mut Vec<Call>) {
        if self.pending_reads > 0 {
            return;
        }
        self.held_experts.clear();
        for (rank, address) in self.view.addresses() {
            self.pending_reads += 1;
            let name = self.view.name.clone();
            calls.push(Box::pin(read_held_experts(client.clone(), name, rank, address)));
        }
    }

    /// Requests the reports of all ranks.
    pub fn request_reports(&mut self, client: &Client, now: Duration, calls: &mut Vec<Call>) {
        self.reports_at = now;
        for (rank, address) in self.view.addresses() {
            self.pending_reads += 1;
            let name = self.view.name.clone();
            calls.push(Box::pin(read_report(client.clone(), name, rank, address, now)));
        }
    }

    /// Returns whether to request reports now. `jumped` tells whether steps have become longer.
    pub fn are_reports_due(&self, jumped: bool, now: Duration) -> bool {
        if self.pending_reads > 0 || !self.view.is_open() {
            return false;
        }
        let age = now.saturating_sub(self.reports_at);
        match self.phase {
            Phase::Reading | Phase::Settling => {
                now >= self.fresh_after && age >= self.report_lag.min(REPORT_INTERVAL_JUMP)
            }
            _ if jumped => age >= REPORT_INTERVAL_JUMP,
            _ => age >= REPORT_INTERVAL,
        }
    }

    /// Records the pace that a rank reports.
    pub fn record_pace(&mut self, rank: u16, pace: f64) {
        let Some(known) = self.paces.get_mut(usize::from(rank)) else { return };
        let pace = pace.max(1.0);
        self.replan |= (*known >= SLOW_PACE) != (pace >= SLOW_PACE);
        *known = pace;
    }

    /// Records that a step had started at a time; data older than the last known step is ignored.
    pub fn record_step(&mut self, step: u64, at: Duration) {
        let (known, then) = self.last_step;
        if known > 0 && step > known && at > then {
            let length = (at - then) / (step - known) as u32;
            self.step_length = length.clamp(STEP_LENGTH_RANGE.0, STEP_LENGTH_RANGE.1);
        }
        if known == 0 || (step > known && at > then) {
            self.last_step = (step, at);
        }
    }

    /// Returns the step that is expected to be in progress at `now`; `observed` is the length of
    /// steps as the streams show it.
    pub fn expected_step(&self, observed: Option<Duration>, now: Duration) -> u64 {
        let (step, at) = self.last_step;
        let length = observed.map_or(self.step_length, |observed| observed.min(self.step_length));
        let passed = now.saturating_sub(at).as_secs_f64() / length.as_secs_f64().max(1e-3);
        step + (passed as u64).min(STEPS_AHEAD_MAX)
    }

    /// Returns the map that the engines of a group use before the first switch.
    pub fn initial_map(&self) -> Vec<Placement> {
        let ranks = self.view.ranks.len();
        (0..self.shape.sets).map(|_| Placement::round_robin(ranks, self.shape.experts)).collect()
    }

    /// Sets the map in use from the experts that the ranks hold, once all ranks have answered for
    /// the same incarnation and map version.
    pub fn assemble_map(&mut self) {
        let ranks = self.view.ranks.len();
        if self.held_experts.len() < ranks {
            return;
        }
        let first = self.held_experts.values().next().map(|held| (held.epoch, held.version));
        let consistent =
            self.held_experts.values().all(|held| Some((held.epoch, held.version)) == first);
        if !consistent {
            return;
        }
        let mut map = vec![Placement { ranks: vec![RankExperts::new(); ranks] }; self.shape.sets];
        for (rank, held) in &self.held_experts {
            for (set, experts) in map.iter_mut().zip(&held.sets) {
                set.ranks[usize::from(*rank)] = experts.clone();
            }
        }
        self.map = Some(map);
    }
}
