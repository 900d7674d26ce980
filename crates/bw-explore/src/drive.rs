//! Model of a map switch by remote commands: drivers and ranks that may carry commands out late.
//!
//! The ranks follow the published rules of the platform. A command without an answer may be carried
//! out at any later time. A rank refuses a command with a fencing number below the highest that it
//! has carried out, a command for another incarnation of the group, and an arm or a hold of a step
//! that has started. A step does not start while a rank holds it. All ranks start a step together,
//! and those that are armed for it switch their maps.

use bw_expert::drive::Command;
use bw_expert::drive::CommandOutcome;
use bw_expert::drive::Driver;
use bw_expert::drive::Phase;
use bw_expert::drive::RankCommand;
use bw_expert::drive::RankState;
use bw_model::Fence;
use bw_model::MapVersion;

use crate::search::Model;

/// Difference between the fencing numbers of two drivers.
const FENCE_STRIDE: u64 = 100;

/// Rules that the ranks enforce. Faulty variants drop one; the exploration has to find a
/// counterexample for each of them.
pub trait RankRules: Clone + Eq + std::hash::Hash {
    /// Whether ranks refuse commands of replaced drivers by their lower fencing numbers.
    const CHECKS_FENCE: bool;
    /// Whether a held step waits for its release.
    const HOLDS: bool;
    /// Whether reports that are read after all ranks were fenced show the ranks' actual state.
    const FRESH_REPORTS: bool;
}

/// Ranks that follow the published rules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl RankRules for Sound {
    const CHECKS_FENCE: bool = true;
    const HOLDS: bool = true;
    const FRESH_REPORTS: bool = true;
}

/// Ranks that accept commands of replaced drivers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoFencing;

impl RankRules for NoFencing {
    const CHECKS_FENCE: bool = false;
    const HOLDS: bool = true;
    const FRESH_REPORTS: bool = true;
}

/// Ranks that start held steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoHold;

impl RankRules for NoHold {
    const CHECKS_FENCE: bool = true;
    const HOLDS: bool = false;
    const FRESH_REPORTS: bool = true;
}

/// Ranks whose reports omit the armed map and the held step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StaleReports;

impl RankRules for StaleReports {
    const CHECKS_FENCE: bool = true;
    const HOLDS: bool = true;
    const FRESH_REPORTS: bool = false;
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
    /// the same one again. Kept across restarts.
    max_version: MapVersion,
}

/// A command in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SentCommand {
    driver: u8,
    command: RankCommand,
    /// Whether the driver still waits for the answer.
    awaited: bool,
}

/// State of one group: its ranks, its drivers and the commands in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DriveModel<R> {
    ranks: Vec<RankModel>,
    drivers: Vec<Driver>,
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
    R: RankRules,
{
    /// Creates the initial state of a group of `count` ranks with one driver.
    pub fn new(count: u16, faults: Faults) -> Self {
        let open = RankState { epoch: 1, open: true, ..RankState::default() };
        let rank = RankModel { state: open, ..RankModel::default() };
        let mut model = Self {
            ranks: vec![rank; usize::from(count)],
            drivers: vec![Driver::new(count, Fence(FENCE_STRIDE))],
            in_flight: Vec::new(),
            step: 1,
            epoch: 1,
            faults,
            mixed_maps: false,
            rules: std::marker::PhantomData,
        };
        model.send_due();
        model
    }

    /// Returns true if all ranks use a map other than the first.
    pub fn has_switched(&self) -> bool {
        self.ranks.iter().all(|rank| rank.state.map > MapVersion(0))
    }

    /// Returns true if a step is held that no driver will release.
    pub fn is_stuck(&self) -> bool {
        let held = self.ranks.iter().any(|rank| rank.state.held.is_some());
        held && self.in_flight.is_empty() && self.drivers.iter().all(is_quiescent)
    }

    /// Sends the due commands of all drivers. The commands in flight are kept sorted, so that
    /// states that differ only in the order of sending are equal.
    fn send_due(&mut self) {
        for (index, driver) in self.drivers.iter_mut().enumerate() {
            for command in driver.due_commands() {
                let driver = index as u8;
                self.in_flight.push(SentCommand { driver, command, awaited: true });
            }
        }
        self.in_flight.sort_by_key(|sent| {
            let RankCommand { rank, fence, command, .. } = sent.command;
            (sent.driver, rank, fence, format!("{command:?}"), sent.awaited)
        });
    }

    /// Applies a command at its rank and returns the command's outcome.
    fn execute(&mut self, command: &RankCommand) -> CommandOutcome {
        let (step, epoch) = (self.step, self.epoch);
        let rank = &mut self.ranks[usize::from(command.rank)];
        if R::CHECKS_FENCE && command.fence < rank.fence {
            return CommandOutcome::Stale;
        }
        if command.epoch.is_some_and(|expected| expected != epoch) {
            return CommandOutcome::Refused;
        }
        let state = &mut rank.state;
        let outcome = match command.command {
            Command::Prepare(version) => {
                let prepared = state.prepared == Some(version) || state.map == version;
                if prepared {
                    CommandOutcome::Done
                } else if version <= rank.max_version || state.armed.is_some() {
                    CommandOutcome::Refused
                } else {
                    rank.max_version = version;
                    state.prepared = Some(version);
                    CommandOutcome::Done
                }
            }
            Command::Arm { version, step: start } => {
                if state.prepared != Some(version) || start <= step {
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
            // Only the crashed rank, rank 0, loses its fencing number.
            let fence = if index == 0 { Fence(0) } else { rank.fence };
            *rank = RankModel { fence, state, max_version: rank.max_version };
        }
    }

    /// Returns the state that a rank reports to a driver.
    fn report(&self, rank: usize) -> RankState {
        let state = self.ranks[rank].state;
        if R::FRESH_REPORTS {
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
            let outcome = model.execute(&sent.command);
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

    /// Adds the transitions that a driver makes itself: reading reports, starting a switch,
    /// choosing the step to hold.
    fn driver_transitions(&self, next: &mut Vec<Self>) {
        for index in 0..self.drivers.len() {
            let driver = &self.drivers[index];
            if driver.phase() == Phase::Reading {
                let mut model = self.clone();
                for rank in 0..model.ranks.len() {
                    let state = model.report(rank);
                    model.drivers[index].handle_report(rank as u16, state);
                }
                model.send_due();
                next.push(model);
            }
            if driver.phase() == Phase::Idle && self.faults.switches > 0 {
                let mut model = self.clone();
                model.faults.switches -= 1;
                let version = MapVersion(driver.fence().0.max(driver.version().0 + 1));
                model.drivers[index].start_switch(version);
                model.send_due();
                next.push(model);
            }
            if driver.is_prepared() {
                let mut model = self.clone();
                model.drivers[index].hold(self.step + 1, 0);
                model.send_due();
                next.push(model);
            }
        }
    }
}

/// Returns true if a driver is idle or replaced, so that it has no commands to send.
fn is_quiescent(driver: &Driver) -> bool {
    matches!(driver.phase(), Phase::Idle | Phase::Replaced)
}

impl<R> Model for DriveModel<R>
where
    R: RankRules,
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
            let fence = Fence(FENCE_STRIDE * (model.drivers.len() as u64 + 1));
            let count = model.ranks.len() as u16;
            model.drivers.push(Driver::new(count, fence));
            model.send_due();
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
