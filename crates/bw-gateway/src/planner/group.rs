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
use bw_expert::drive::StepEstimate;
use bw_expert::policy::held::complete_map;
use bw_expert::policy::held::HeldError;
use bw_expert::policy::held::HeldSets;
use bw_expert::policy::held::MapShape;
use bw_expert::policy::held::RankLists;
use bw_expert::policy::maps::SLOW_PACE;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::sample::SampleTime;
use bw_expert::policy::sample::Sampler;
use bw_http::Client;
use bw_model::Fence;
use bw_model::MapVersion;
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
/// Shortest time between two requests for the experts that ranks hold.
const HELD_INTERVAL: Duration = Duration::from_millis(250);
/// Bytes of an expert in an encoded map, the comma included.
const ENTRY_BYTES: usize = 4;
/// Highest pace that a rank is taken to have.
const PACE_MAX: f64 = 100.0;

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

/// What a rank holds, with the incarnation and the map version that it belongs to.
struct Held {
    epoch: u64,
    version: MapVersion,
    sets: HeldSets,
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
    held_experts: HashMap<u16, Held>,
    /// Time of the last request for the experts that ranks hold.
    held_at: Option<Duration>,
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
    /// Steps that the ranks have reported.
    pub steps: StepEstimate,
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
            held_at: None,
            pending_reads: 0,
            pending_counts: 0,
            phase_since: now,
            phase,
            sampled_at: Duration::ZERO,
            switched_at: Duration::ZERO,
            steps: StepEstimate::new(engine.step.saturating_mul(engine.stride)),
            switch_step: 0,
            copy_poll: Duration::ZERO,
            planning: false,
        }
    }

    /// Returns the addresses of the slow ranks, with their paces.
    pub fn slow_ranks(&self) -> Vec<(SocketAddr, f64)> {
        let slow = self.paces.iter().enumerate().filter(|(_, pace)| **pace >= SLOW_PACE);
        slow.filter_map(|(rank, pace)| Some((self.view.rank(rank as u16)?.address, *pace)))
            .collect()
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
            self.steps.last_step(),
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
                self.held_experts.clear();
                self.held_at = None;
                self.switch_step = 0;
                self.steps.reset();
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

    /// Requests the experts that ranks hold from those whose lists are missing, unless earlier reads are
    /// pending. The lists of all ranks show the map in use.
    pub fn request_held_experts(&mut self, client: &Client, now: Duration, calls: &mut Vec<Call>) {
        let recent = self.held_at.is_some_and(|at| now.saturating_sub(at) < HELD_INTERVAL);
        if self.pending_reads > 0 || recent {
            return;
        }
        self.held_at = Some(now);
        for (rank, address) in self.view.addresses() {
            if self.held_experts.contains_key(&rank) {
                continue;
            }
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
        let pace = pace.clamp(1.0, PACE_MAX);
        self.replan |= (*known >= SLOW_PACE) != (pace >= SLOW_PACE);
        *known = pace;
    }

    /// Returns the map that the engines of a group use before the first switch.
    pub fn initial_map(&self) -> Vec<Placement> {
        let ranks = self.view.ranks.len();
        (0..self.shape.sets).map(|_| Placement::round_robin(ranks, self.shape.experts)).collect()
    }

    /// Records the experts that a rank says it holds, and sets the map in use once all ranks have answered
    /// for the same incarnation and map version.
    ///
    /// # Errors
    /// [`HeldError`] when the lists do not fit the group. They are requested again.
    pub fn record_held(&mut self, rank: u16, held: engines::HeldExperts) -> Result<(), HeldError> {
        let engines::HeldExperts { epoch, version, sets } = held;
        let shape = MapShape { sets: self.shape.sets, experts: self.shape.experts };
        let sets = HeldSets::try_from(RankLists { shape, sets })?;
        self.held_experts.insert(rank, Held { epoch, version, sets });
        let known: Option<Vec<&Held>> =
            (0..self.view.ranks.len()).map(|rank| self.held_experts.get(&(rank as u16))).collect();
        let Some(known) = known else { return Ok(()) };
        let consistent = known.iter().all(|other| (other.epoch, other.version) == (epoch, version));
        let ranks: Vec<&HeldSets> = known.iter().map(|held| &held.sets).collect();
        let map = consistent.then(|| complete_map(&ranks, shape)).transpose();
        if !matches!(map, Ok(Some(_))) {
            self.held_experts.clear();
        }
        self.map = map?.or(self.map.take());
        Ok(())
    }
}
