//! The driver of one group's switches.

use bw_model::Fence;
use bw_model::MapVersion;

use super::command::Answer;
use super::command::Command;
use super::command::RankState;
use super::command::Sending;

/// Steps by which a held step is put off when it turns out to have started.
const HOLD_STRIDE: u64 = 2;
/// Steps that are tried for one switch.
const HOLDS_MAX: u32 = 4;

/// What the driver is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Tells each rank its fencing number, so that commands of earlier drivers fail from now on.
    Fencing,
    /// Needs a report of each rank that is younger than the end of the last phase.
    Reading,
    /// Disarms what an earlier driver has left, under a hold.
    Clearing,
    /// Nothing is armed or held.
    Idle,
    /// Ranks copy experts.
    Preparing,
    /// The step of the switch is being held.
    Holding,
    /// Ranks are being armed.
    Arming,
    /// Ranks are being disarmed, since one has refused.
    Disarming,
    /// The held steps are being released.
    Releasing,
    /// Another driver has a higher fencing number.
    Replaced,
}

/// Whether a rank has done its part of the phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Part {
    /// To be sent, or sent again.
    Due,
    /// Sent, and neither answered nor given up.
    Sent,
    /// Begun; to be asked again when the driver is polled.
    Begun,
    /// Done.
    Done,
}

/// Drives the switches of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    fence: Fence,
    epoch: Option<u64>,
    phase: Phase,
    parts: Vec<Part>,
    reports: Vec<Option<RankState>>,
    version: MapVersion,
    step: u64,
    holds: u32,
    /// Rank at which the step of the switch is held.
    holder: u16,
    /// Steps to be released, with their ranks.
    held: Vec<(u16, u64)>,
    /// Whether a hold or a release may still be carried out late.
    late: bool,
}

impl Driver {
    /// A driver with a fencing number that no other driver has.
    pub fn new(ranks: u16, fence: Fence) -> Self {
        let count = usize::from(ranks);
        Self {
            fence,
            epoch: None,
            phase: Phase::Fencing,
            parts: vec![Part::Due; count],
            reports: vec![None; count],
            version: MapVersion(0),
            step: 0,
            holds: 0,
            holder: 0,
            held: Vec::new(),
            late: false,
        }
    }

    /// What the driver is doing.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Life of the group that the driver works on.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// The highest fencing number used.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Version of the last switch that was begun.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Begins a switch to a map; false unless the driver is idle.
    pub fn begin(&mut self, version: MapVersion) -> bool {
        if self.phase != Phase::Idle {
            return false;
        }
        self.version = version;
        self.enter(Phase::Preparing);
        true
    }

    /// Sets the step of the switch, once all ranks are prepared; later steps are tried when it
    /// has started.
    pub fn hold(&mut self, step: u64, holder: u16) -> bool {
        if self.phase != Phase::Preparing || !self.all_done() {
            return false;
        }
        self.step = step;
        self.holds = 0;
        self.holder = holder;
        self.enter(Phase::Holding);
        true
    }

    /// Whether all ranks are prepared and the driver waits for a step.
    pub fn is_prepared(&self) -> bool {
        self.phase == Phase::Preparing && self.all_done()
    }

    /// Starts over with the group as its ranks report it, as after a change of its life.
    ///
    /// Without effect while a step may be held in the present life.
    pub fn reread(&mut self) {
        if matches!(self.phase, Phase::Idle | Phase::Preparing) {
            self.enter(Phase::Reading);
        }
    }

    /// Asks again ranks that had begun.
    pub fn poll(&mut self) {
        for part in &mut self.parts {
            if *part == Part::Begun {
                *part = Part::Due;
            }
        }
    }

    /// Commands to be sent now.
    pub fn sendings(&mut self) -> Vec<Sending> {
        let due = (0..self.parts.len()).filter(|rank| self.parts[*rank] == Part::Due);
        let due: Vec<usize> = due.collect();
        let mut sendings = Vec::new();
        for rank in due {
            if let Some(command) = self.command(rank as u16) {
                self.parts[rank] = Part::Sent;
                let epoch = if self.phase == Phase::Fencing { None } else { self.epoch };
                sendings.push(Sending { rank: rank as u16, epoch, fence: self.fence, command });
            }
        }
        sendings
    }

    /// Takes the answer to a command; answers to those of earlier phases are without effect.
    pub fn answer(&mut self, sending: &Sending, answer: Answer) {
        let rank = usize::from(sending.rank);
        if answer == Answer::Outdated && sending.fence == self.fence {
            self.phase = Phase::Replaced;
            return;
        }
        let current = sending.fence == self.fence
            && self.parts.get(rank) == Some(&Part::Sent)
            && self.command(sending.rank) == Some(sending.command);
        if !current {
            return;
        }
        match answer {
            Answer::Silent => {
                self.late |= matches!(self.phase, Phase::Holding | Phase::Releasing);
                self.parts[rank] = Part::Due;
            }
            Answer::Begun if self.phase == Phase::Preparing => self.parts[rank] = Part::Begun,
            Answer::Begun | Answer::Done => {
                self.parts[rank] = Part::Done;
                self.proceed();
            }
            Answer::Refused => self.refused(rank),
            Answer::Outdated => {}
        }
    }

    /// Takes a report that was asked for after the present phase began, and is to be younger than
    /// that by its lag.
    pub fn report(&mut self, rank: u16, state: RankState) {
        if self.phase != Phase::Reading {
            return;
        }
        if let Some(report) = self.reports.get_mut(usize::from(rank)) {
            *report = Some(state);
        }
        let states: Vec<RankState> = self.reports.iter().flatten().copied().collect();
        if states.len() == self.reports.len() {
            self.judge(&states);
        }
    }

    /// What a rank is to do in the present phase.
    fn command(&self, rank: u16) -> Option<Command> {
        match self.phase {
            // A step that is never held: the command changes nothing but the fencing number.
            Phase::Fencing => Some(Command::Release(0)),
            Phase::Preparing => Some(Command::Prepare(self.version)),
            Phase::Holding => (rank == self.holder).then_some(Command::Hold(self.step)),
            Phase::Arming => Some(Command::Arm { version: self.version, step: self.step }),
            Phase::Disarming | Phase::Clearing => Some(Command::Disarm(self.version)),
            Phase::Releasing => {
                let held = self.held.iter().find(|(holder, _)| *holder == rank);
                held.map(|(_, step)| Command::Release(*step))
            }
            Phase::Reading | Phase::Idle | Phase::Replaced => None,
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        let count = self.parts.len();
        for rank in 0..count {
            let has_part = self.command(rank as u16).is_some();
            self.parts[rank] = if has_part { Part::Due } else { Part::Done };
        }
        if phase == Phase::Reading {
            self.reports = vec![None; count];
        }
    }

    fn all_done(&self) -> bool {
        self.parts.iter().all(|part| *part == Part::Done)
    }

    /// Goes to the next phase when all ranks have done their part.
    fn proceed(&mut self) {
        if !self.all_done() {
            return;
        }
        match self.phase {
            Phase::Fencing => self.enter(Phase::Reading),
            Phase::Holding => {
                self.held = vec![(self.holder, self.step)];
                self.enter(Phase::Arming);
            }
            Phase::Arming | Phase::Disarming | Phase::Clearing => self.enter(Phase::Releasing),
            Phase::Releasing if self.late => {
                // A late hold would have no release, and a late release could end a later hold.
                self.late = false;
                self.fence = Fence(self.fence.0 + 1);
                self.enter(Phase::Fencing);
            }
            Phase::Releasing => {
                self.held.clear();
                self.enter(Phase::Idle);
            }
            Phase::Preparing | Phase::Reading | Phase::Idle | Phase::Replaced => {}
        }
    }

    fn refused(&mut self, rank: usize) {
        match self.phase {
            Phase::Holding if self.holds < HOLDS_MAX => {
                // The step has started, so no hold of it can come into force later.
                self.holds += 1;
                self.step += HOLD_STRIDE << self.holds;
                self.parts[rank] = Part::Due;
            }
            Phase::Arming => {
                // Arms that are still on their way must fail, so disarm with a higher number.
                self.fence = Fence(self.fence.0 + 1);
                self.enter(Phase::Disarming);
            }
            // Nothing fits any more: the group has begun another life.
            _ => self.enter(Phase::Reading),
        }
    }

    /// Decides what to do with the group as all ranks report it.
    fn judge(&mut self, states: &[RankState]) {
        let epoch = states[0].epoch;
        if states.iter().any(|state| state.epoch != epoch || !state.open) {
            self.reports = vec![None; self.parts.len()];
            return;
        }
        self.epoch = Some(epoch);
        let holds = states.iter().enumerate();
        self.held = holds.filter_map(|(rank, state)| Some((rank as u16, state.held?))).collect();
        let armed: Vec<(MapVersion, u64)> = states.iter().filter_map(|state| state.armed).collect();
        let partly = !armed.is_empty()
            && (armed.len() < states.len() || armed.iter().any(|one| *one != armed[0]));
        if partly {
            // The earlier driver holds the step until all ranks are armed; its commands fail now.
            self.version = armed[0].0;
            self.enter(Phase::Clearing);
        } else if self.held.is_empty() {
            self.enter(Phase::Idle);
        } else {
            self.enter(Phase::Releasing);
        }
    }
}
