//! State machine that switches the expert map of one group.

use bw_model::Fence;
use bw_model::MapVersion;

use super::command::Command;
use super::command::CommandOutcome;
use super::command::RankCommand;
use super::command::RankState;

/// Base of the postponement of a hold whose step has already started: retry `n` postpones the hold
/// by this number of steps times 2 to the power of `n`.
const HOLD_STRIDE: u64 = 2;
/// Retries with a later step when the step to hold has already started.
const HOLD_RETRIES_MAX: u32 = 4;

/// State of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Sends the fencing number to each rank, which makes the commands of earlier drivers fail.
    Fencing,
    /// Waits for a report of each rank that was taken after the end of the previous phase.
    Reading,
    /// Disarms a map that an earlier driver left armed at some ranks, while the step is held.
    Clearing,
    /// No map is armed and no step is held.
    Idle,
    /// Ranks copy experts.
    Preparing,
    /// The first step of the new map is being held.
    Holding,
    /// Ranks are being armed.
    Arming,
    /// Ranks are being disarmed because one of them refused to be armed.
    Disarming,
    /// The held steps are being released.
    Releasing,
    /// Another driver has a higher fencing number.
    Replaced,
}

/// Progress of one rank in the current phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// The command has to be sent, or sent again.
    Due,
    /// The command was sent and its outcome is pending.
    Sent,
    /// The rank has started the command; [`Driver::poll`] makes the command due again.
    Started,
    /// The rank has completed the command, or the phase has none for it.
    Done,
}

/// Carries out the map switches of one group; the caller transports commands and reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Driver {
    fence: Fence,
    epoch: Option<u64>,
    phase: Phase,
    progress: Vec<Progress>,
    reports: Vec<Option<RankState>>,
    version: MapVersion,
    step: u64,
    hold_retries: u32,
    /// Rank at which the first step of the new map is held.
    holder: u16,
    /// Ranks with a held step to release.
    held: Vec<(u16, u64)>,
    /// Whether a hold or release of unknown outcome may still be carried out.
    may_linger: bool,
}

impl Driver {
    /// Creates a driver; `fence` must differ from the fencing number of every other driver.
    pub fn new(ranks: u16, fence: Fence) -> Self {
        let count = usize::from(ranks);
        Self {
            fence,
            epoch: None,
            phase: Phase::Fencing,
            progress: vec![Progress::Due; count],
            reports: vec![None; count],
            version: MapVersion(0),
            step: 0,
            hold_retries: 0,
            holder: 0,
            held: Vec::new(),
            may_linger: false,
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the incarnation of the group; `None` before the first complete set of reports.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the highest fencing number in use; the driver raises it to invalidate its own
    /// commands.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the map version of the last started switch, or of the last map found armed at some
    /// ranks only.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Starts a switch to a map; returns false unless the driver is idle.
    pub fn start_switch(&mut self, version: MapVersion) -> bool {
        if self.phase != Phase::Idle {
            return false;
        }
        self.version = version;
        self.enter(Phase::Preparing);
        true
    }

    /// Sets the first step of the new map and the rank at which to hold it; returns false unless
    /// all ranks are prepared. If the step has already started, later steps are tried.
    pub fn hold(&mut self, step: u64, holder: u16) -> bool {
        if self.phase != Phase::Preparing || !self.all_done() {
            return false;
        }
        self.step = step;
        self.hold_retries = 0;
        self.holder = holder;
        self.enter(Phase::Holding);
        true
    }

    /// Returns whether all ranks are prepared and the driver waits for [`Driver::hold`].
    pub fn is_prepared(&self) -> bool {
        self.phase == Phase::Preparing && self.all_done()
    }

    /// Reads the state of all ranks again, for example after a change of the group's incarnation.
    ///
    /// Does nothing while a step may be held in the current incarnation.
    pub fn reread(&mut self) {
        if matches!(self.phase, Phase::Idle | Phase::Preparing) {
            self.enter(Phase::Reading);
        }
    }

    /// Makes the commands due again at ranks that have started but not completed them.
    pub fn poll(&mut self) {
        for progress in &mut self.progress {
            if *progress == Progress::Started {
                *progress = Progress::Due;
            }
        }
    }

    /// Returns the commands to send now and marks them as sent.
    pub fn due_commands(&mut self) -> Vec<RankCommand> {
        let due = (0..self.progress.len()).filter(|rank| self.progress[*rank] == Progress::Due);
        let due: Vec<usize> = due.collect();
        let mut commands = Vec::new();
        for rank in due {
            if let Some(command) = self.command(rank as u16) {
                self.progress[rank] = Progress::Sent;
                let epoch = if self.phase == Phase::Fencing { None } else { self.epoch };
                commands.push(RankCommand { rank: rank as u16, epoch, fence: self.fence, command });
            }
        }
        commands
    }

    /// Applies the outcome of a command. Outcomes of commands from earlier phases are ignored,
    /// except [`CommandOutcome::Stale`] for the current fencing number.
    pub fn handle_outcome(&mut self, sent: &RankCommand, outcome: CommandOutcome) {
        let rank = usize::from(sent.rank);
        if outcome == CommandOutcome::Stale && sent.fence == self.fence {
            self.phase = Phase::Replaced;
            return;
        }
        let current = sent.fence == self.fence
            && self.progress.get(rank) == Some(&Progress::Sent)
            && self.command(sent.rank) == Some(sent.command);
        if !current {
            return;
        }
        match outcome {
            CommandOutcome::Unknown => {
                self.may_linger |= matches!(self.phase, Phase::Holding | Phase::Releasing);
                self.progress[rank] = Progress::Due;
            }
            CommandOutcome::Started if self.phase == Phase::Preparing => {
                self.progress[rank] = Progress::Started;
            }
            CommandOutcome::Started | CommandOutcome::Done => {
                self.progress[rank] = Progress::Done;
                self.advance();
            }
            CommandOutcome::Refused => self.handle_refusal(rank),
            CommandOutcome::Stale => {}
        }
    }

    /// Records a report of a rank and continues when every rank has reported.
    ///
    /// The report must have been requested after the current phase started by at least the lag of
    /// reports, so that it shows the result of the previous phase.
    pub fn handle_report(&mut self, rank: u16, state: RankState) {
        if self.phase != Phase::Reading {
            return;
        }
        if let Some(report) = self.reports.get_mut(usize::from(rank)) {
            *report = Some(state);
        }
        let states: Vec<RankState> = self.reports.iter().flatten().copied().collect();
        if states.len() == self.reports.len() {
            self.resume_from(&states);
        }
    }

    /// Returns the command of the current phase for a rank.
    fn command(&self, rank: u16) -> Option<Command> {
        match self.phase {
            // Step 0 is never held, so the command only raises the fencing number of the rank.
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
        let count = self.progress.len();
        for rank in 0..count {
            let has_command = self.command(rank as u16).is_some();
            self.progress[rank] = if has_command { Progress::Due } else { Progress::Done };
        }
        if phase == Phase::Reading {
            self.reports = vec![None; count];
        }
    }

    fn all_done(&self) -> bool {
        self.progress.iter().all(|progress| *progress == Progress::Done)
    }

    /// Enters the next phase when all ranks have completed the current one.
    fn advance(&mut self) {
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
            Phase::Releasing if self.may_linger => {
                // A delayed hold would never be released, and a delayed release could end a later
                // hold. A higher fencing number makes the ranks refuse both.
                self.may_linger = false;
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

    fn handle_refusal(&mut self, rank: usize) {
        match self.phase {
            Phase::Holding if self.hold_retries < HOLD_RETRIES_MAX => {
                // The step has started, so a delayed hold of the step has no effect.
                self.hold_retries += 1;
                self.step += HOLD_STRIDE << self.hold_retries;
                self.progress[rank] = Progress::Due;
            }
            Phase::Arming => {
                // Arm commands that are still in transit must fail, so disarm with a higher fencing
                // number.
                self.fence = Fence(self.fence.0 + 1);
                self.enter(Phase::Disarming);
            }
            // The known state no longer matches, for example because the group has a new
            // incarnation, or every retry of the hold came too late.
            _ => self.enter(Phase::Reading),
        }
    }

    /// Chooses the next phase from the reports of all ranks.
    ///
    /// Discards the reports and waits for new ones unless all ranks are open and in the same
    /// incarnation of the group.
    fn resume_from(&mut self, states: &[RankState]) {
        let epoch = states[0].epoch;
        if states.iter().any(|state| state.epoch != epoch || !state.open) {
            self.reports = vec![None; self.progress.len()];
            return;
        }
        self.epoch = Some(epoch);
        let holds = states.iter().enumerate();
        self.held = holds.filter_map(|(rank, state)| Some((rank as u16, state.held?))).collect();
        let armed: Vec<(MapVersion, u64)> = states.iter().filter_map(|state| state.armed).collect();
        let partly_armed = !armed.is_empty()
            && (armed.len() < states.len() || armed.iter().any(|one| *one != armed[0]));
        if partly_armed {
            // The earlier driver held the step until all ranks were armed; its commands fail now.
            self.version = armed[0].0;
            self.enter(Phase::Clearing);
        } else if self.held.is_empty() {
            self.enter(Phase::Idle);
        } else {
            self.enter(Phase::Releasing);
        }
    }
}
