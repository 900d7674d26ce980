//! State machine that switches the expert map of one group.

use bw_model::Fence;
use bw_model::MapVersion;

use super::command::Command;
use super::command::CommandOutcome;
use super::command::RankCommand;
use super::command::RankState;
use super::tenure::Owner;
use super::tenure::Tenure;

/// Base of the postponement of a hold whose step has already started: retry `n` postpones the hold
/// by this number of steps times 2 to the power of `n`.
const HOLD_STRIDE: u64 = 2;
/// Retries with a later step when the step to hold has already started.
const HOLD_RETRIES_MAX: u32 = 4;
/// Consecutive refusals to prepare a map after which the driver assumes that a newer one exists.
const PREPARE_REFUSALS_MAX: u32 = 3;

/// State of the driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Waits for a report of each rank that was taken after the end of the previous phase.
    Reading,
    /// Holds the step of an older driver's switch at this driver's rank, to cancel the switch.
    Claiming,
    /// Disarms the ranks that an older driver armed, while the step is held.
    Disarming,
    /// Prepares a new version of the map in use at all ranks, which makes the prepare and arm
    /// commands of older drivers fail.
    Superseding,
    /// No map is armed and no step is held.
    Idle,
    /// Ranks copy experts.
    Preparing,
    /// The first step of the new map is being held.
    Holding,
    /// Ranks are being armed.
    Arming,
    /// The held steps are being released.
    Releasing,
    /// Waits until a step has started for which delayed commands may still arrive.
    Settling,
    /// Another driver has a later lease.
    Replaced,
    /// Another driver holds steps at the same rank, since the store has lost its lease. The lease has to be
    /// acquired again with a higher count of holders.
    Contested,
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
    tenure: Tenure,
    /// Incarnation of the group; `None` before the first complete set of reports.
    epoch: Option<u64>,
    phase: Phase,
    progress: Vec<Progress>,
    reports: Vec<Option<RankState>>,
    version: MapVersion,
    /// The step held last or to be held next at this driver's rank.
    step: u64,
    hold_retries: u32,
    prepare_refusals: u32,
    /// Held steps to release, with their ranks.
    held: Vec<(u16, u64)>,
    /// Ranks to disarm, with the version that an older driver armed.
    armed: Vec<(u16, MapVersion)>,
    /// Whether no arm command of this or of an older driver can still change what the ranks do.
    arms_settled: bool,
    /// Whether this driver has confirmed a hold of `step` and sent no release of it.
    has_hold: bool,
    /// The last step that this driver has released at its own rank; a delayed release may still
    /// arrive, so no later hold may depend on this step or on an earlier one.
    released: u64,
    /// Whether a hold or release of unknown outcome may still be carried out.
    may_linger: bool,
    /// The highest count of holders in the versions of other drivers that at least two ranks have reported.
    holders: u64,
    /// Whether to check that no other driver holds steps at the same rank.
    checks_rank: bool,
}

impl Driver {
    /// Creates a driver for a group of `ranks` ranks; `lease` is the fencing number of the lease
    /// that permits it to drive, and no other driver of the group may use the same one.
    pub fn new(ranks: u16, lease: Fence) -> Self {
        let count = usize::from(ranks);
        Self {
            tenure: Tenure::new(lease, ranks),
            epoch: None,
            phase: Phase::Reading,
            progress: vec![Progress::Done; count],
            reports: vec![None; count],
            version: MapVersion(0),
            step: 0,
            hold_retries: 0,
            prepare_refusals: 0,
            held: Vec::new(),
            armed: Vec::new(),
            arms_settled: false,
            has_hold: false,
            released: 0,
            may_linger: false,
            holders: 0,
            checks_rank: true,
        }
    }

    /// Leaves out the check that no other driver holds steps at the same rank, which shows a model what the
    /// check is for.
    pub fn without_rank_check(self) -> Self {
        Self { checks_rank: false, ..self }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the incarnation of the group; `None` before the first complete set of reports.
    pub fn epoch(&self) -> Option<u64> {
        self.epoch
    }

    /// Returns the map version of the last started switch or cancellation.
    pub fn version(&self) -> MapVersion {
        self.version
    }

    /// Returns the highest count of holders in the leases of other drivers, as far as the versions that the
    /// ranks report show it.
    pub fn known_holders(&self) -> u64 {
        self.holders
    }

    /// Returns whether the current phase, until its end, may keep the group from advancing.
    pub fn may_stall_group(&self) -> bool {
        matches!(
            self.phase,
            Phase::Claiming
                | Phase::Disarming
                | Phase::Superseding
                | Phase::Holding
                | Phase::Arming
                | Phase::Releasing
        )
    }

    /// Starts a switch to a map, whose version it returns; `None` unless the driver is idle.
    pub fn start_switch(&mut self) -> Option<MapVersion> {
        if self.phase != Phase::Idle {
            return None;
        }
        self.version = self.tenure.issue_version();
        self.enter(Phase::Preparing);
        Some(self.version)
    }

    /// Sets the first step of the new map; returns false unless all ranks are prepared. If the step
    /// has already started, later steps are tried.
    pub fn hold(&mut self, step: u64) -> bool {
        if !self.is_prepared() {
            return false;
        }
        self.arms_settled = true;
        self.prepare_refusals = 0;
        self.step = step.max(self.released + 1);
        self.hold_retries = 0;
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
        if matches!(self.phase, Phase::Idle | Phase::Preparing | Phase::Settling) {
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

    /// Returns the number of commands of the current phase whose outcomes are pending.
    pub fn pending(&self) -> usize {
        self.progress.iter().filter(|progress| **progress == Progress::Sent).count()
    }

    /// Returns whether the commands of the current phase carry a map.
    pub fn sends_maps(&self) -> bool {
        matches!(self.phase, Phase::Preparing | Phase::Superseding)
    }

    /// Returns the commands to send now, and marks them as sent.
    pub fn due_commands(&mut self) -> Vec<RankCommand> {
        self.due_commands_within(usize::MAX)
    }

    /// Returns the commands to send now, at most `most`, and marks them as sent.
    pub fn due_commands_within(&mut self, most: usize) -> Vec<RankCommand> {
        let Some(epoch) = self.epoch else { return Vec::new() };
        let fence = self.tenure.fence();
        let mut commands = Vec::new();
        for rank in 0..self.progress.len() {
            if commands.len() >= most {
                break;
            }
            if self.progress[rank] != Progress::Due {
                continue;
            }
            let rank = rank as u16;
            if let Some(command) = self.command(rank) {
                self.progress[usize::from(rank)] = Progress::Sent;
                commands.push(RankCommand { rank, epoch, fence, command });
            }
        }
        commands
    }

    /// Applies the outcome of a command. Outcomes of commands from earlier phases are ignored,
    /// except [`CommandOutcome::Stale`], and so are those of other drivers' commands.
    pub fn handle_outcome(&mut self, sent: &RankCommand, outcome: CommandOutcome) {
        if sent.fence != self.tenure.fence() {
            return;
        }
        let rank = usize::from(sent.rank);
        if outcome == CommandOutcome::Stale {
            self.phase = Phase::Replaced;
            return;
        }
        let current = Some(sent.epoch) == self.epoch
            && self.progress.get(rank) == Some(&Progress::Sent)
            && self.command(sent.rank) == Some(sent.command);
        if !current {
            return;
        }
        match outcome {
            CommandOutcome::Unknown => {
                self.may_linger |= self.sends_holds();
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

    /// Records a report of a rank, and continues when the phase has the reports that it waits for.
    ///
    /// The report must have been requested after the current phase started by at least the lag of
    /// reports, so that it shows the result of the previous phase.
    pub fn handle_report(&mut self, rank: u16, state: RankState) {
        match self.phase {
            Phase::Reading => {
                if let Some(report) = self.reports.get_mut(usize::from(rank)) {
                    *report = Some(state);
                }
                let states: Vec<RankState> = self.reports.iter().flatten().copied().collect();
                if states.len() == self.reports.len() {
                    self.resume_from(&states);
                }
            }
            // A delayed hold of another driver would stop the group.
            Phase::Idle if self.is_foreign_hold(&state) => self.enter(Phase::Reading),
            Phase::Idle if self.is_contested_by(&state) => self.enter(Phase::Reading),
            Phase::Settling => self.settle(rank, &state),
            _ => {}
        }
    }

    /// Returns the command of the current phase for a rank.
    fn command(&self, rank: u16) -> Option<Command> {
        match self.phase {
            Phase::Preparing | Phase::Superseding => Some(Command::Prepare(self.version)),
            Phase::Claiming | Phase::Holding => {
                (rank == self.tenure.hold_rank()).then_some(Command::Hold(self.step))
            }
            Phase::Arming => Some(Command::Arm { version: self.version, step: self.step }),
            Phase::Disarming => {
                let armed = self.armed.iter().find(|(armed, _)| *armed == rank);
                armed.map(|(_, version)| Command::Disarm(*version))
            }
            Phase::Releasing => {
                let held = self.held.iter().find(|(holder, _)| *holder == rank);
                held.map(|(_, step)| Command::Release(*step))
            }
            Phase::Reading | Phase::Idle | Phase::Settling | Phase::Replaced | Phase::Contested => {
                None
            }
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

    /// Returns whether the commands of the current phase set or release holds at this driver's rank.
    fn sends_holds(&self) -> bool {
        matches!(self.phase, Phase::Claiming | Phase::Holding | Phase::Releasing)
    }

    /// Enters the next phase when all ranks have completed the current one.
    fn advance(&mut self) {
        if !self.all_done() {
            return;
        }
        match self.phase {
            Phase::Claiming => {
                self.has_hold = true;
                self.cancel_switch();
            }
            Phase::Disarming => self.supersede(),
            Phase::Superseding => {
                self.prepare_refusals = 0;
                self.release();
            }
            Phase::Holding => {
                self.has_hold = true;
                self.arms_settled = false;
                self.held = vec![(self.tenure.hold_rank(), self.step)];
                self.enter(Phase::Arming);
            }
            Phase::Arming => self.release(),
            Phase::Releasing => {
                self.held.clear();
                self.enter(if self.may_linger { Phase::Settling } else { Phase::Idle });
            }
            Phase::Preparing
            | Phase::Reading
            | Phase::Idle
            | Phase::Settling
            | Phase::Replaced
            | Phase::Contested => {}
        }
    }

    /// Disarms the armed ranks and supersedes the switch that armed them. A hold of this driver
    /// keeps its first step from starting.
    fn cancel_switch(&mut self) {
        if self.armed.is_empty() {
            self.supersede();
        } else {
            self.enter(Phase::Disarming);
        }
    }

    fn supersede(&mut self) {
        self.version = self.tenure.issue_version();
        self.enter(Phase::Superseding);
    }

    /// Releases the held steps; no arm command can change what the ranks do any more.
    fn release(&mut self) {
        let own = self.tenure.hold_rank();
        if let Some((_, step)) = self.held.iter().find(|(rank, _)| *rank == own) {
            self.released = self.released.max(*step);
        }
        self.arms_settled = true;
        self.has_hold = false;
        self.enter(Phase::Releasing);
    }

    fn handle_refusal(&mut self, rank: usize) {
        match self.phase {
            Phase::Holding if self.hold_retries < HOLD_RETRIES_MAX => {
                // The step has started, so a delayed hold of the step has no effect.
                self.step += HOLD_STRIDE << self.hold_retries;
                self.hold_retries += 1;
                self.progress[rank] = Progress::Due;
            }
            Phase::Preparing | Phase::Superseding => {
                self.prepare_refusals += 1;
                if self.prepare_refusals < PREPARE_REFUSALS_MAX {
                    self.enter(Phase::Reading);
                } else {
                    self.phase = Phase::Replaced;
                }
            }
            // The known state no longer matches, for example because the group has a new
            // incarnation, a newer driver has prepared a version, or the step to claim has started.
            _ => self.enter(Phase::Reading),
        }
    }

    /// Returns whether a report that arrives while this driver holds no step shows a held one in this
    /// incarnation.
    fn is_foreign_hold(&self, state: &RankState) -> bool {
        Some(state.epoch) == self.epoch && state.held.is_some()
    }

    /// Returns whether a report shows a version of another driver that holds steps at the same rank.
    fn is_contested_by(&self, state: &RankState) -> bool {
        self.checks_rank && Some(state.epoch) == self.epoch && self.shares_rank(state)
    }

    /// Ends the settling when the step has started, after which delayed commands for it fail.
    fn settle(&mut self, rank: u16, state: &RankState) {
        if Some(state.epoch) != self.epoch {
            self.enter(Phase::Reading);
        } else if state.step >= self.step {
            self.may_linger = false;
            self.enter(Phase::Idle);
        } else if rank == self.tenure.hold_rank() {
            if let Some(step) = state.held {
                self.held = vec![(rank, step)];
                self.release();
            }
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
        if self.epoch != Some(epoch) {
            self.epoch = Some(epoch);
            self.arms_settled = false;
            self.has_hold = false;
            self.may_linger = false;
            self.step = 0;
            self.released = 0;
        }
        if self.has_newer_version(states) {
            self.phase = Phase::Replaced;
            return;
        }
        if self.checks_rank && self.is_contested(states) {
            self.phase = Phase::Contested;
            return;
        }
        if self.has_newer_hold(states) {
            self.phase = Phase::Replaced;
            return;
        }
        self.collect_holds(states);
        let armed = states.iter().enumerate();
        let armed = armed.filter_map(|(rank, state)| Some((rank as u16, state.armed?)));
        let armed: Vec<(u16, (MapVersion, u64))> = armed.collect();
        self.armed = armed.iter().map(|(rank, (version, _))| (*rank, *version)).collect();
        let released = self.held.is_empty() && (self.arms_settled || is_armed_alike(states));
        if self.held.is_empty() && armed.is_empty() {
            let next = if self.may_linger { Phase::Settling } else { Phase::Idle };
            self.enter(next);
        } else if released {
            // The switch takes effect as soon as the group advances.
            self.reports = vec![None; self.progress.len()];
        } else if self.arms_settled {
            self.release();
        } else {
            let steps = self.held.iter().map(|(_, step)| *step);
            let first = steps.chain(armed.iter().map(|(_, (_, step))| *step)).min();
            self.claim(first.unwrap_or_default());
        }
    }

    /// Starts to cancel a switch: makes sure that a hold of this driver keeps `first`, the first
    /// step that is held or armed, from starting.
    fn claim(&mut self, first: u64) {
        let own = self.tenure.hold_rank();
        let own_step = self.held.iter().find(|(rank, _)| *rank == own).map(|(_, step)| *step);
        let protected = own_step.unwrap_or(first);
        if protected > first || protected <= self.released {
            // The rank holds one step at a time, or a delayed release may end the hold. The next
            // driver holds at another rank.
            self.phase = Phase::Replaced;
        } else if own_step.is_some() && self.has_hold {
            self.cancel_switch();
        } else {
            self.step = protected;
            self.held.retain(|(rank, _)| *rank != own);
            self.held.push((own, protected));
            self.enter(Phase::Claiming);
        }
    }

    /// Collects the holds of this and of older drivers. A hold that this driver has placed counts
    /// whether or not the reports show it already.
    fn collect_holds(&mut self, states: &[RankState]) {
        let own = self.tenure.hold_rank();
        let holds = states.iter().enumerate();
        self.held = holds.filter_map(|(rank, state)| Some((rank as u16, state.held?))).collect();
        if self.has_hold && !self.held.iter().any(|(rank, _)| *rank == own) {
            self.held.push((own, self.step));
        }
    }

    /// Returns whether the reports show a version of a newer driver.
    fn has_newer_version(&self, states: &[RankState]) -> bool {
        let newer = |version| self.tenure.version_owner(version) == Owner::Newer;
        states.iter().flat_map(versions).any(newer)
    }

    /// Returns whether the reports show a hold of a newer driver.
    fn has_newer_hold(&self, states: &[RankState]) -> bool {
        let newer = |rank: usize| self.tenure.hold_owner(rank as u16) == Owner::Newer;
        states.iter().enumerate().any(|(rank, state)| state.held.is_some() && newer(rank))
    }

    /// Records the counts of holders that the reports show, and returns whether another driver holds steps
    /// at this driver's rank, or counts at least as many holders as this one.
    ///
    /// A driver has prepared its version at every rank before it arms or releases anything, so reports of all
    /// ranks show each driver whose release may still be under way. A single rank's report does not raise
    /// the count, since it may be wrong.
    fn is_contested(&mut self, states: &[RankState]) -> bool {
        let mut holders: Vec<u64> =
            states.iter().filter_map(|state| self.other_holders(state).max()).collect();
        holders.sort_unstable();
        let confirmed = holders.iter().rev().nth(1).copied().unwrap_or_default();
        self.holders = self.holders.max(confirmed);
        let own = usize::from(self.tenure.hold_rank());
        let held = states.get(own).and_then(|state| state.held);
        let foreign_hold = held.is_some_and(|step| !self.has_hold && step != self.step);
        foreign_hold
            || !self.tenure.follows(confirmed)
            || states.iter().any(|state| self.shares_rank(state))
    }

    /// Returns whether a rank has a version of another driver that holds steps at the same rank.
    fn shares_rank(&self, state: &RankState) -> bool {
        self.other_holders(state).any(|holder| self.tenure.shares_rank(holder))
    }

    /// Returns the counts of holders in the versions of other drivers that a rank has.
    fn other_holders<'a>(&'a self, state: &'a RankState) -> impl Iterator<Item = u64> + 'a {
        versions(state).filter_map(|version| self.tenure.other_holder(version))
    }
}

/// Returns the map versions that a rank has.
fn versions(state: &RankState) -> impl Iterator<Item = MapVersion> {
    let armed = state.armed.map(|(version, _)| version);
    [Some(state.map), state.prepared, armed].into_iter().flatten()
}

/// Returns whether all ranks are armed with the same version for the same step.
fn is_armed_alike(states: &[RankState]) -> bool {
    states[0].armed.is_some() && states.iter().all(|state| state.armed == states[0].armed)
}
