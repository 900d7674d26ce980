//! Model of a map switch by remote commands: drivers and ranks that may carry commands out late.
//!
//! The ranks follow the published rules of the platform. A command without an answer may be carried
//! out at any later time. A rank prepares only versions above all that it has had, and none while it
//! is armed; it refuses a command for another incarnation of the group, and an arm or a hold of a
//! step that has started. A step does not start while a rank holds it. All ranks start a step
//! together, and those that are armed for it switch their maps. Drivers that were replaced go on at
//! any time, as processes do that were suspended.

use bw_expert::drive::Command;
use bw_expert::drive::CommandOutcome;
use bw_expert::drive::Driver;
use bw_expert::drive::Phase;
use bw_expert::drive::RankCommand;
use bw_expert::drive::RankState;
use bw_model::Fence;
use bw_model::MapVersion;

use crate::search::Model;

/// Rules of ranks and drivers. Faulty variants drop one; the exploration has to find a
/// counterexample for each of them.
pub trait DriveRules: Clone + Eq + std::hash::Hash {
    /// Whether ranks refuse commands of replaced drivers by their lower fencing numbers.
    const CHECKS_FENCE: bool = false;
    /// Whether a held step waits for its release.
    const HOLDS: bool = true;
    /// Whether reports show armed maps and held steps.
    const FULL_REPORTS: bool = true;
    /// Whether a rank refuses to prepare versions that are not above all that it has had.
    const ORDERS_VERSIONS: bool = true;
    /// Whether a rank arms only the version that it has prepared last.
    const ARMS_PREPARED: bool = true;
    /// Whether each driver holds steps at a rank of its own.
    const OWN_RANKS: bool = true;
    /// Whether a driver holds a step before it cancels another driver's switch.
    const CLAIMS: bool = true;
    /// Whether a driver supersedes the version of a switch that it cancels.
    const SUPERSEDES: bool = true;
    /// Whether each driver acquires its lease in an era of its own, since the store is restored before.
    const RESTORES: bool = false;
    /// Whether the store never hands the number of a lease out again.
    const UNIQUE_LEASES: bool = true;
    /// Whether the store has lost all earlier leases whenever a driver acquires its own, so that the count
    /// of holders starts again.
    const LOSES_LEASES: bool = false;
    /// Whether drivers check that no other driver holds steps at their rank.
    const CHECKS_RANK: bool = true;
}

/// Ranks that follow the published rules and ignore fencing numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unfenced;

impl DriveRules for Unfenced {}

/// Ranks that follow the published rules and enforce fencing numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Fenced;

impl DriveRules for Fenced {
    const CHECKS_FENCE: bool = true;
}

/// Ranks that start held steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoHold;

impl DriveRules for NoHold {
    const HOLDS: bool = false;
}

/// Ranks whose reports omit the armed map and the held step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PartialReports;

impl DriveRules for PartialReports {
    const FULL_REPORTS: bool = false;
}

/// Ranks that prepare any version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AnyVersion;

impl DriveRules for AnyVersion {
    const ORDERS_VERSIONS: bool = false;
}

/// Ranks that arm any version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AnyArm;

impl DriveRules for AnyArm {
    const ARMS_PREPARED: bool = false;
}

/// Drivers that all hold steps at the same rank and do not check that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SharedRank;

impl DriveRules for SharedRank {
    const OWN_RANKS: bool = false;
    const CHECKS_RANK: bool = false;
}

/// Drivers whose leases all give them the same rank to hold steps at.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CheckedSharedRank;

impl DriveRules for CheckedSharedRank {
    const OWN_RANKS: bool = false;
}

/// Drivers that cancel a switch without a hold of their own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoClaim;

impl DriveRules for NoClaim {
    const CLAIMS: bool = false;
}

/// Drivers that only disarm the ranks of a switch that they cancel.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoSuperseding;

impl DriveRules for NoSuperseding {
    const SUPERSEDES: bool = false;
}

/// A store that is restored from an older copy before each takeover, in a new era.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Restored;

impl DriveRules for Restored {
    const RESTORES: bool = true;
}

/// A store that is restored from an older copy and hands out the same number to all drivers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReusedLease;

impl DriveRules for ReusedLease {
    const UNIQUE_LEASES: bool = false;
}

/// A store that has lost all leases before each takeover, and drivers that have heard of no other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LostLeases;

impl DriveRules for LostLeases {
    const LOSES_LEASES: bool = true;
}

/// The same where ranks enforce fencing numbers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencedLostLeases;

impl DriveRules for FencedLostLeases {
    const CHECKS_FENCE: bool = true;
    const LOSES_LEASES: bool = true;
}

/// The same with drivers that do not check whether another driver holds steps at their rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UncheckedLostLeases;

impl DriveRules for UncheckedLostLeases {
    const LOSES_LEASES: bool = true;
    const CHECKS_RANK: bool = false;
}

/// Number of times that each fault or action may still happen, which bounds the state space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Commands whose answer does not arrive.
    pub timeouts: u8,
    /// New drivers that take over the group.
    pub takeovers: u8,
    /// Restarts of the group.
    pub restarts: u8,
    /// Steps that start.
    pub steps: u8,
    /// Switches that are started.
    pub switches: u8,
}

/// A rank with its fencing number and its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RankModel {
    fence: Fence,
    state: RankState,
    /// Highest version that the rank has started to prepare; it prepares neither a lower one nor
    /// the same one again.
    max_version: MapVersion,
}

/// A command in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentCommand {
    driver: u8,
    command: RankCommand,
    /// Whether the driver still waits for the answer.
    awaited: bool,
    /// Whether a faulty driver leaves the command out and goes on as if it had succeeded.
    omitted: bool,
}

/// State of one group: its ranks, its drivers and the commands in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DriveModel<R> {
    ranks: Vec<RankModel>,
    drivers: Vec<Driver>,
    /// The lease of each driver.
    leases: Vec<Fence>,
    /// For each driver, the rank whose report it reads next.
    next_reads: Vec<u16>,
    in_flight: Vec<SentCommand>,
    step: u64,
    epoch: u64,
    faults: Faults,
    /// Whether a step started with two maps.
    mixed_maps: bool,
    rules: std::marker::PhantomData<R>,
}

impl<R> DriveModel<R>
where
    R: DriveRules,
{
    /// Creates the initial state of a group of `count` ranks with one driver.
    pub fn new(count: u16, faults: Faults) -> Self {
        let open = RankState { epoch: 1, open: true, ..RankState::default() };
        let rank = RankModel { state: open, ..RankModel::default() };
        let mut model = Self {
            ranks: vec![rank; usize::from(count)],
            drivers: Vec::new(),
            leases: Vec::new(),
            next_reads: Vec::new(),
            in_flight: Vec::new(),
            step: 1,
            epoch: 1,
            faults,
            mixed_maps: false,
            rules: std::marker::PhantomData,
        };
        model.add_driver();
        model
    }

    /// Adds a driver with the next lease.
    fn add_driver(&mut self) {
        let count = self.ranks.len() as u16;
        let stride = if R::OWN_RANKS { 1 } else { u64::from(count) };
        let holder = stride * (self.drivers.len() as u64 + 1);
        let lease = match (R::UNIQUE_LEASES, R::RESTORES) {
            (false, _) => Fence::new(1, 1),
            (true, _) if R::LOSES_LEASES => Fence::new(holder, 1),
            (true, false) => Fence::new(1, holder),
            (true, true) => Fence::new(holder, holder),
        };
        self.drivers.push(Self::driver(count, lease));
        self.leases.push(lease);
        self.next_reads.push(0);
    }

    fn driver(count: u16, lease: Fence) -> Driver {
        let driver = Driver::new(count, lease);
        if R::CHECKS_RANK {
            driver
        } else {
            driver.without_rank_check()
        }
    }

    /// Replaces a driver whose rank is contested by one with the next lease of the same era.
    fn renew_lease(&mut self, index: usize) {
        let (lease, known) = (self.leases[index], self.drivers[index].known_holders());
        let renewed = Fence::new(lease.era(), lease.holder().max(known) + 1);
        self.leases[index] = renewed;
        self.drivers[index] = Self::driver(self.ranks.len() as u16, renewed);
        self.next_reads[index] = 0;
    }

    /// Returns true if all ranks use a map other than the first.
    pub fn has_switched(&self) -> bool {
        self.ranks.iter().all(|rank| rank.state.map > MapVersion(0))
    }

    /// Returns true if a step is held, a driver is in charge, and no driver will notice the hold.
    pub fn is_stuck(&self) -> bool {
        let held = self.ranks.iter().any(|rank| rank.state.held.is_some());
        let replaced = |driver: &Driver| driver.phase() == Phase::Replaced;
        held && self.in_flight.is_empty()
            && !self.drivers.iter().all(replaced)
            && self.drivers.iter().all(|driver| replaced(driver) || self.is_unaware(driver))
    }

    /// Returns true if a driver stays idle whatever reports it receives.
    fn is_unaware(&self, driver: &Driver) -> bool {
        let mut driver = driver.clone();
        for rank in 0..self.ranks.len() {
            driver.handle_report(rank as u16, self.report(rank));
        }
        driver.phase() == Phase::Idle
    }

    /// Sends the due commands of all drivers. The commands in flight are kept sorted, so that
    /// states that differ only in the order of sending are equal.
    fn send_due(&mut self) {
        for (index, driver) in self.drivers.iter_mut().enumerate() {
            let omitted = match driver.phase() {
                Phase::Claiming => !R::CLAIMS,
                Phase::Superseding => !R::SUPERSEDES,
                _ => false,
            };
            for command in driver.due_commands() {
                let driver = index as u8;
                self.in_flight.push(SentCommand { driver, command, awaited: true, omitted });
            }
        }
        self.in_flight.sort_unstable();
    }

    /// Applies a command at its rank and returns the command's outcome.
    fn execute(&mut self, command: &RankCommand) -> CommandOutcome {
        let (step, epoch) = (self.step, self.epoch);
        let rank = &mut self.ranks[usize::from(command.rank)];
        if R::CHECKS_FENCE && command.fence < rank.fence {
            return CommandOutcome::Stale;
        }
        if command.epoch != epoch {
            return CommandOutcome::Refused;
        }
        let state = &mut rank.state;
        let outcome = match command.command {
            Command::Prepare(version) => {
                let prepared = state.prepared == Some(version) || state.map == version;
                if prepared {
                    CommandOutcome::Done
                } else if (R::ORDERS_VERSIONS && version <= rank.max_version)
                    || state.armed.is_some()
                {
                    CommandOutcome::Refused
                } else {
                    rank.max_version = version;
                    state.prepared = Some(version);
                    CommandOutcome::Done
                }
            }
            Command::Arm { version, step: start } => {
                if (R::ARMS_PREPARED && state.prepared != Some(version)) || start <= step {
                    CommandOutcome::Refused
                } else {
                    state.armed = Some((version, start));
                    CommandOutcome::Done
                }
            }
            Command::Disarm(version) if state.map == version => CommandOutcome::Refused,
            Command::Disarm(version) => {
                if state.armed.is_some_and(|(armed, _)| armed == version) {
                    state.armed = None;
                }
                CommandOutcome::Done
            }
            Command::Hold(start) if start <= step => CommandOutcome::Refused,
            Command::Hold(start) => match state.held {
                Some(held) if held != start => CommandOutcome::Refused,
                _ => {
                    state.held = Some(start);
                    CommandOutcome::Done
                }
            },
            Command::Release(start) => {
                if state.held == Some(start) {
                    state.held = None;
                }
                CommandOutcome::Done
            }
        };
        if outcome != CommandOutcome::Refused {
            rank.fence = rank.fence.max(command.fence);
        }
        outcome
    }

    /// Starts the next step at all ranks; returns false if a rank holds it.
    fn start_step(&mut self) -> bool {
        let next = self.step + 1;
        let held = self.ranks.iter().any(|rank| rank.state.held == Some(next));
        if held && R::HOLDS {
            return false;
        }
        self.step = next;
        for rank in &mut self.ranks {
            rank.state.step = next;
            if let Some((version, step)) = rank.state.armed {
                if step == next {
                    rank.state.map = version;
                    rank.state.armed = None;
                    rank.state.prepared = None;
                }
            }
        }
        let first = self.ranks[0].state.map;
        self.mixed_maps |= self.ranks.iter().any(|rank| rank.state.map != first);
        true
    }

    /// Restarts the group with a new incarnation.
    fn restart(&mut self) {
        self.epoch += 1;
        for (index, rank) in self.ranks.iter_mut().enumerate() {
            let state = RankState {
                epoch: self.epoch,
                open: true,
                step: self.step,
                ..RankState::default()
            };
            // Only the crashed rank, rank 0, loses its fencing number. Whether the others remember
            // the versions that they have had is not published.
            let fence = if index == 0 { Fence(0) } else { rank.fence };
            *rank = RankModel { fence, state, max_version: MapVersion(0) };
        }
    }

    /// Returns the state that a rank reports to a driver.
    fn report(&self, rank: usize) -> RankState {
        let state = self.ranks[rank].state;
        if R::FULL_REPORTS {
            state
        } else {
            RankState { armed: None, held: None, ..state }
        }
    }

    /// Adds the transitions of each command in flight: it is carried out and answered, it is
    /// carried out and the answer is lost, or its driver times out before it is carried out.
    fn delivery_transitions(&self, next: &mut Vec<Self>) {
        for index in 0..self.in_flight.len() {
            let mut model = self.clone();
            let sent = model.in_flight.remove(index);
            let outcome =
                if sent.omitted { CommandOutcome::Done } else { model.execute(&sent.command) };
            if sent.awaited {
                let mut unanswered = model.clone();
                model.deliver_outcome(&sent, outcome);
                if unanswered.faults.timeouts > 0 {
                    unanswered.faults.timeouts -= 1;
                    unanswered.deliver_outcome(&sent, CommandOutcome::Unknown);
                    next.push(unanswered);
                }
            }
            next.push(model);
            if sent.awaited && self.faults.timeouts > 0 {
                let mut late = self.clone();
                late.faults.timeouts -= 1;
                late.in_flight[index].awaited = false;
                late.deliver_outcome(&sent, CommandOutcome::Unknown);
                next.push(late);
            }
        }
    }

    fn deliver_outcome(&mut self, sent: &SentCommand, outcome: CommandOutcome) {
        self.drivers[usize::from(sent.driver)].handle_outcome(&sent.command, outcome);
        self.send_due();
    }

    /// Adds the transition in which a reading driver receives the next report. Reports of different
    /// ranks arrive one after another, so they may show different times.
    fn reading_transition(&self, index: usize, next: &mut Vec<Self>) {
        let mut model = self.clone();
        let rank = model.next_reads[index];
        model.drivers[index].handle_report(rank, self.report(usize::from(rank)));
        let reading = model.drivers[index].phase() == Phase::Reading;
        let following = (rank + 1) % model.ranks.len() as u16;
        model.next_reads[index] = if reading { following } else { 0 };
        model.send_due();
        next.push(model);
    }

    /// Adds the transitions in which a driver that is not reading reacts to a report.
    fn report_transitions(&self, index: usize, next: &mut Vec<Self>) {
        for rank in 0..self.ranks.len() {
            let mut model = self.clone();
            model.drivers[index].handle_report(rank as u16, self.report(rank));
            if model.drivers[index] != self.drivers[index] {
                model.send_due();
                next.push(model);
            }
        }
    }

    /// Adds the transitions that a driver makes itself: reading reports, starting a switch,
    /// choosing the step to hold.
    fn driver_transitions(&self, next: &mut Vec<Self>) {
        for index in 0..self.drivers.len() {
            let driver = &self.drivers[index];
            if driver.phase() == Phase::Contested {
                let mut model = self.clone();
                model.renew_lease(index);
                next.push(model);
                continue;
            }
            if driver.phase() == Phase::Reading {
                self.reading_transition(index, next);
            } else {
                self.report_transitions(index, next);
            }
            if driver.phase() == Phase::Idle && self.faults.switches > 0 {
                let mut model = self.clone();
                model.faults.switches -= 1;
                model.drivers[index].start_switch();
                model.send_due();
                next.push(model);
            }
            if driver.is_prepared() {
                let mut model = self.clone();
                model.drivers[index].hold(self.step + 1);
                model.send_due();
                next.push(model);
            }
        }
    }
}

/// Returns true if a driver has no commands to send.
fn is_quiescent(driver: &Driver) -> bool {
    matches!(driver.phase(), Phase::Idle | Phase::Settling | Phase::Replaced)
}

impl<R> Model for DriveModel<R>
where
    R: DriveRules,
{
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.delivery_transitions(&mut next);
        self.driver_transitions(&mut next);
        if self.faults.steps > 0 {
            let mut model = self.clone();
            model.faults.steps -= 1;
            if model.start_step() {
                next.push(model);
            }
        }
        if self.faults.restarts > 0 {
            let mut model = self.clone();
            model.faults.restarts -= 1;
            model.restart();
            next.push(model);
        }
        if self.faults.takeovers > 0 {
            let mut model = self.clone();
            model.faults.takeovers -= 1;
            model.add_driver();
            next.push(model);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        if self.mixed_maps {
            return Some(format!("step {} started with two maps", self.step));
        }
        self.is_stuck().then(|| "a step is held and no driver will release it".to_string())
    }

    fn is_done(&self) -> bool {
        self.in_flight.is_empty() && self.drivers.iter().all(is_quiescent)
    }
}
