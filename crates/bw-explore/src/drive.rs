//! Drivers of a map switch before ranks that carry commands out late, as a model to explore.
//!
//! The ranks follow what the platform publishes: a command without an answer may be carried out at
//! any later time; a rank refuses a fencing number below one that it has carried out, a command of
//! another life of the group, and an arm or a hold of a step that has started; a step does not
//! start while a rank holds it; all ranks start it together, and those that are armed for it switch.

use bw_expert::drive::Answer;
use bw_expert::drive::Command;
use bw_expert::drive::Driver;
use bw_expert::drive::Phase;
use bw_expert::drive::RankCommand;
use bw_expert::drive::RankState;
use bw_model::Fence;
use bw_model::MapVersion;

use crate::search::Model;

/// Difference between the fencing numbers of two drivers.
const FENCE_STRIDE: u64 = 100;

/// What the ranks leave out, for models that have to be caught.
pub trait Ranks: Clone + Eq + std::hash::Hash {
    /// Whether ranks refuse old fencing numbers.
    const FENCED: bool;
    /// Whether a held step waits for its release.
    const HOLDING: bool;
    /// Whether reports show the ranks as they are once all of them were fenced.
    const FRESH: bool;
}

/// Ranks as they are published.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Published;

impl Ranks for Published {
    const FENCED: bool = true;
    const HOLDING: bool = true;
    const FRESH: bool = true;
}

/// Ranks that obey drivers which have been replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unfenced;

impl Ranks for Unfenced {
    const FENCED: bool = false;
    const HOLDING: bool = true;
    const FRESH: bool = true;
}

/// Ranks that start held steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unheld;

impl Ranks for Unheld {
    const FENCED: bool = true;
    const HOLDING: bool = false;
    const FRESH: bool = true;
}

/// Ranks whose reports leave out what is armed and held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Stale;

impl Ranks for Stale {
    const FENCED: bool = true;
    const HOLDING: bool = true;
    const FRESH: bool = false;
}

/// How often each fault may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Faults {
    /// Answers that do not come.
    pub silences: u8,
    /// Drivers that take over.
    pub drivers: u8,
    /// Lives of the group that end.
    pub lives: u8,
    /// Steps that start.
    pub steps: u8,
    /// Switches that are begun.
    pub switches: u8,
}

/// One rank.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct RankModel {
    fence: Fence,
    state: RankState,
    /// The highest version that it was told to prepare.
    highest: MapVersion,
}

/// A command on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flying {
    driver: u8,
    sending: RankCommand,
    /// Whether its driver still waits for the answer.
    awaited: bool,
}

/// Ranks, drivers and commands on their way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DriveModel<R> {
    ranks: Vec<RankModel>,
    drivers: Vec<Driver>,
    flying: Vec<Flying>,
    step: u64,
    epoch: u64,
    faults: Faults,
    mixed: bool,
    kind: std::marker::PhantomData<R>,
}

impl<R> DriveModel<R>
where
    R: Ranks,
{
    /// A group of `count` ranks with one driver.
    pub fn new(count: u16, faults: Faults) -> Self {
        let open = RankState { epoch: 1, open: true, ..RankState::default() };
        let rank = RankModel { state: open, ..RankModel::default() };
        let mut model = Self {
            ranks: vec![rank; usize::from(count)],
            drivers: vec![Driver::new(count, Fence(FENCE_STRIDE))],
            flying: Vec::new(),
            step: 1,
            epoch: 1,
            faults,
            mixed: false,
            kind: std::marker::PhantomData,
        };
        model.send_due();
        model
    }

    /// Whether a map beyond the first is in use.
    pub fn has_switched(&self) -> bool {
        self.ranks.iter().all(|rank| rank.state.map > MapVersion(0))
    }

    /// Whether a step is held that no driver is going to release.
    pub fn is_stuck(&self) -> bool {
        let held = self.ranks.iter().any(|rank| rank.state.held.is_some());
        held && self.flying.is_empty() && self.drivers.iter().all(is_at_rest)
    }

    /// Puts the commands that drivers have to send on their way.
    fn send_due(&mut self) {
        for (number, driver) in self.drivers.iter_mut().enumerate() {
            for sending in driver.due_commands() {
                let driver = number as u8;
                self.flying.push(Flying { driver, sending, awaited: true });
            }
        }
        self.flying.sort_by_key(|flying| {
            let RankCommand { rank, fence, command, .. } = flying.sending;
            (flying.driver, rank, fence, format!("{command:?}"), flying.awaited)
        });
    }

    /// Carries a command out and returns the rank's answer.
    fn carry_out(&mut self, sending: &RankCommand) -> Answer {
        let (step, epoch) = (self.step, self.epoch);
        let rank = &mut self.ranks[usize::from(sending.rank)];
        if R::FENCED && sending.fence < rank.fence {
            return Answer::Outdated;
        }
        if sending.epoch.is_some_and(|meant| meant != epoch) {
            return Answer::Refused;
        }
        let state = &mut rank.state;
        let answer = match sending.command {
            Command::Prepare(version) => {
                let known = state.prepared == Some(version) || state.map == version;
                if known {
                    Answer::Done
                } else if version <= rank.highest || state.armed.is_some() {
                    Answer::Refused
                } else {
                    rank.highest = version;
                    state.prepared = Some(version);
                    Answer::Done
                }
            }
            Command::Arm { version, step: start } => {
                if state.prepared != Some(version) || start <= step {
                    Answer::Refused
                } else {
                    state.armed = Some((version, start));
                    Answer::Done
                }
            }
            Command::Disarm(version) if state.map == version => Answer::Refused,
            Command::Disarm(version) => {
                if state.armed.is_some_and(|(armed, _)| armed == version) {
                    state.armed = None;
                }
                Answer::Done
            }
            Command::Hold(start) if start <= step => Answer::Refused,
            Command::Hold(start) => match state.held {
                Some(held) if held != start => Answer::Refused,
                _ => {
                    state.held = Some(start);
                    Answer::Done
                }
            },
            Command::Release(start) => {
                if state.held == Some(start) {
                    state.held = None;
                }
                Answer::Done
            }
        };
        if answer != Answer::Refused {
            rank.fence = rank.fence.max(sending.fence);
        }
        answer
    }

    /// Starts the next step at all ranks, unless one holds it.
    fn start_step(&mut self) -> bool {
        let next = self.step + 1;
        let held = self.ranks.iter().any(|rank| rank.state.held == Some(next));
        if held && R::HOLDING {
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
        self.mixed |= self.ranks.iter().any(|rank| rank.state.map != first);
        true
    }

    /// Ends the group's life and begins another one.
    fn restart(&mut self) {
        self.epoch += 1;
        for (number, rank) in self.ranks.iter_mut().enumerate() {
            let state = RankState {
                epoch: self.epoch,
                open: true,
                step: self.step,
                ..RankState::default()
            };
            // Only the rank that has crashed forgets its fencing number.
            let fence = if number == 0 { Fence(0) } else { rank.fence };
            *rank = RankModel { fence, state, highest: rank.highest };
        }
    }

    fn report(&self, rank: usize) -> RankState {
        let state = self.ranks[rank].state;
        if R::FRESH {
            state
        } else {
            RankState { armed: None, held: None, ..state }
        }
    }

    /// States after each command on its way is carried out, answered or not.
    fn deliveries(&self, next: &mut Vec<Self>) {
        for index in 0..self.flying.len() {
            let mut model = self.clone();
            let flying = model.flying.remove(index);
            let answer = model.carry_out(&flying.sending);
            if flying.awaited {
                let mut unanswered = model.clone();
                model.answer(&flying, answer);
                if unanswered.faults.silences > 0 {
                    unanswered.faults.silences -= 1;
                    unanswered.answer(&flying, Answer::Unknown);
                    next.push(unanswered);
                }
            }
            next.push(model);
            if flying.awaited && self.faults.silences > 0 {
                let mut late = self.clone();
                late.faults.silences -= 1;
                late.flying[index].awaited = false;
                late.answer(&flying, Answer::Unknown);
                next.push(late);
            }
        }
    }

    fn answer(&mut self, flying: &Flying, answer: Answer) {
        self.drivers[usize::from(flying.driver)].handle_answer(&flying.sending, answer);
        self.send_due();
    }

    /// States after each driver's own steps.
    fn decisions(&self, next: &mut Vec<Self>) {
        for number in 0..self.drivers.len() {
            let driver = &self.drivers[number];
            if driver.phase() == Phase::Reading {
                let mut model = self.clone();
                for rank in 0..model.ranks.len() {
                    let state = model.report(rank);
                    model.drivers[number].handle_report(rank as u16, state);
                }
                model.send_due();
                next.push(model);
            }
            if driver.phase() == Phase::Idle && self.faults.switches > 0 {
                let mut model = self.clone();
                model.faults.switches -= 1;
                let version = MapVersion(driver.fence().0.max(driver.version().0 + 1));
                model.drivers[number].begin(version);
                model.send_due();
                next.push(model);
            }
            if driver.is_prepared() {
                let mut model = self.clone();
                model.drivers[number].hold(self.step + 1, 0);
                model.send_due();
                next.push(model);
            }
        }
    }
}

/// Whether a driver has nothing on its way and nothing to do.
fn is_at_rest(driver: &Driver) -> bool {
    matches!(driver.phase(), Phase::Idle | Phase::Replaced)
}

impl<R> Model for DriveModel<R>
where
    R: Ranks,
{
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        self.deliveries(&mut next);
        self.decisions(&mut next);
        if self.faults.steps > 0 {
            let mut model = self.clone();
            model.faults.steps -= 1;
            if model.start_step() {
                next.push(model);
            }
        }
        if self.faults.lives > 0 {
            let mut model = self.clone();
            model.faults.lives -= 1;
            model.restart();
            next.push(model);
        }
        if self.faults.drivers > 0 {
            let mut model = self.clone();
            model.faults.drivers -= 1;
            let fence = Fence(FENCE_STRIDE * (model.drivers.len() as u64 + 1));
            let count = model.ranks.len() as u16;
            model.drivers.push(Driver::new(count, fence));
            model.send_due();
            next.push(model);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        if self.mixed {
            return Some(format!("step {} has started with two maps", self.step));
        }
        self.is_stuck().then(|| "a step is held and nobody will release it".to_string())
    }

    fn is_done(&self) -> bool {
        self.flying.is_empty() && self.drivers.iter().all(is_at_rest)
    }
}
