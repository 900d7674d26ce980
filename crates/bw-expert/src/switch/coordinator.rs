//! Coordinator of the map switches of a group, run by the agent of rank 0.

use std::collections::BTreeSet;

use bw_model::Incarnation;
use bw_model::MapVersion;

use crate::map::ExpertMap;
use crate::message::Ballot;
use crate::message::EngineState;
use crate::message::Hold;
use crate::message::Message;
use crate::message::Reason;

/// State of the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Collecting a report of every rank, without which nothing may be decided.
    Collecting,
    /// No switch is in progress.
    Idle,
    /// Ranks are loading the weights of the map.
    Preparing {
        /// Map to switch to.
        map: ExpertMap,
        /// Ranks that have loaded the weights.
        ready: BTreeSet<u32>,
    },
    /// Ranks are requested to hold the step.
    Proposing {
        /// Proposed switch.
        hold: Hold,
        /// Ranks that hold the step.
        accepted: BTreeSet<u32>,
    },
    /// The decision is being sent to all ranks.
    Deciding {
        /// Decided switch.
        hold: Hold,
        /// True to use the map, false to keep the current one.
        commit: bool,
        /// Ranks that have applied the decision.
        settled: BTreeSet<u32>,
    },
    /// A newer incarnation of the coordinator exists.
    Superseded,
}

/// Events for the log of the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// All ranks have reported to this incarnation.
    Collected,
    /// All ranks have applied the decision.
    Settled {
        /// Decided switch.
        hold: Hold,
        /// True if the map is used, false if the current one stays.
        commit: bool,
    },
    /// The engine of a rank lost the state of the group; the group has to restart.
    StateLost {
        /// Rank of the engine.
        rank: u32,
    },
}

/// Last report of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RankReport {
    incarnation: Incarnation,
    learned: bool,
    state: EngineState,
}

/// Messages to send, each with its destination rank.
pub type Outbox = Vec<(u32, Message)>;

/// Coordinator of a group, for one incarnation of the agent of rank 0.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    ballot: Ballot,
    reports: Vec<Option<RankReport>>,
    phase: Phase,
    /// Number of the last proposal.
    number: u64,
    /// Highest step of any known proposal.
    last_step: u64,
    /// Highest known map version.
    last_version: MapVersion,
    events: Vec<Event>,
}

impl Coordinator {
    /// Creates a new incarnation for a group with `ranks` ranks.
    ///
    /// `step` is the next step of the engine of rank 0, and `nonce` a random number. The ballot is
    /// derived from the step, so an incarnation that starts at a later step has a higher ballot
    /// even if no rank remembers the earlier ballots.
    pub fn new(ranks: usize, step: u64, nonce: u64) -> Self {
        Self {
            ballot: Ballot { number: step + 1, nonce },
            reports: vec![None; ranks],
            phase: Phase::Collecting,
            number: 0,
            last_step: 0,
            last_version: MapVersion(0),
            events: Vec::new(),
        }
    }

    /// Returns the current state.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Returns the highest next step reported by any rank.
    pub fn step(&self) -> u64 {
        self.reports.iter().flatten().map(|report| report.state.step).max().unwrap_or(0)
    }

    /// Returns the events since the previous call and removes them.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Starts a switch and returns the version assigned to the map; `None` unless idle.
    pub fn prepare(&mut self, mut map: ExpertMap) -> Option<MapVersion> {
        if self.phase != Phase::Idle {
            return None;
        }
        self.last_version = MapVersion(self.last_version.0 + 1);
        map.version = self.last_version;
        self.phase = Phase::Preparing { map, ready: BTreeSet::new() };
        Some(self.last_version)
    }

    /// Proposes to use the prepared map from `step`, or from the step after the highest one
    /// proposed so far if that is later; does nothing unless all ranks are prepared.
    pub fn propose(&mut self, step: u64) -> Outbox {
        let Phase::Preparing { map, ready } = &self.phase else {
            return Vec::new();
        };
        if ready.len() < self.reports.len() {
            return Vec::new();
        }
        let step = step.max(self.last_step + 1);
        let hold = Hold { version: map.version, step };
        self.last_step = step;
        self.number += 1;
        self.phase = Phase::Proposing { hold, accepted: BTreeSet::new() };
        self.resend()
    }

    /// Cancels a switch that has not been decided.
    pub fn cancel(&mut self) -> Outbox {
        match self.phase.clone() {
            Phase::Preparing { map, .. } => {
                self.phase = Phase::Idle;
                self.to_all(|ballot, to| Message::Discard { ballot, to, version: map.version })
            }
            Phase::Proposing { hold, .. } => self.decide(hold, false),
            _ => Vec::new(),
        }
    }

    /// Returns the messages that have no answer yet, to be sent at the start and on each tick.
    pub fn resend(&self) -> Outbox {
        let unanswered = |done: &BTreeSet<u32>| {
            (0..self.reports.len() as u32).filter(|rank| !done.contains(rank)).collect::<Vec<u32>>()
        };
        let ballot = self.ballot;
        let collect = |rank: u32| (rank, Message::Collect { ballot });
        match &self.phase {
            Phase::Idle | Phase::Superseded => Vec::new(),
            Phase::Collecting => {
                let missing = (0..self.reports.len()).filter(|rank| self.reports[*rank].is_none());
                let mut outbox: Outbox = missing.map(|rank| collect(rank as u32)).collect();
                if outbox.is_empty() {
                    outbox = self.adopt_unlearned();
                }
                outbox
            }
            Phase::Preparing { map, ready } => self.to_some(&unanswered(ready), |to| {
                Message::Prepare { ballot, to, map: map.clone() }
            }),
            Phase::Proposing { hold, accepted } => {
                let (number, hold) = (self.number, *hold);
                self.to_some(&unanswered(accepted), |to| Message::Propose {
                    ballot,
                    to,
                    number,
                    hold,
                })
            }
            Phase::Deciding { hold, commit, settled } => {
                let (number, hold, commit) = (self.number, *hold, *commit);
                self.to_some(&unanswered(settled), |to| {
                    if commit {
                        Message::Commit { ballot, to, hold }
                    } else {
                        Message::Abort { ballot, to, number, hold }
                    }
                })
            }
        }
    }

    /// Processes a message of a rank and returns the messages to send.
    pub fn handle(&mut self, message: &Message) -> Outbox {
        match message {
            Message::Report { rank, incarnation, ballot, learned, state } => {
                let report = RankReport {
                    incarnation: *incarnation,
                    learned: *learned,
                    state: state.clone(),
                };
                self.handle_report(*rank, *ballot, report)
            }
            Message::Prepared { rank, incarnation, version } => {
                if self.is_current(*rank, *incarnation) {
                    self.handle_prepared(*rank, *version);
                }
                Vec::new()
            }
            Message::Accept { rank, incarnation, ballot, number } => {
                let current = *ballot == self.ballot && *number == self.number;
                if current && self.is_current(*rank, *incarnation) {
                    return self.handle_accept(*rank);
                }
                Vec::new()
            }
            Message::Settled { rank, ballot, hold, .. } => {
                if *ballot == self.ballot {
                    self.handle_settled(*rank, *hold);
                }
                Vec::new()
            }
            Message::Refuse { rank, ballot, reason, .. } if *ballot == self.ballot => {
                self.handle_refusal(*rank, *reason)
            }
            Message::Blocked { rank, hold } => self.handle_blocked(*rank, *hold),
            _ => Vec::new(),
        }
    }

    /// Processes the incarnation of the agent of a rank, for example from a heartbeat; a new
    /// incarnation is treated as a refusal.
    pub fn handle_incarnation(&mut self, rank: u32, incarnation: Incarnation) -> Outbox {
        let report = self.reports.get(rank as usize).and_then(Option::as_ref);
        if report.is_some_and(|report| report.incarnation != incarnation) {
            return self.handle_refusal(rank, Reason::OtherIncarnation);
        }
        Vec::new()
    }

    fn handle_report(&mut self, rank: u32, ballot: Ballot, report: RankReport) -> Outbox {
        if rank as usize >= self.reports.len() || ballot < self.ballot {
            return Vec::new();
        }
        if ballot > self.ballot {
            return self.handle_higher_ballot(ballot);
        }
        let state = &report.state;
        let holds = [state.hold, state.scheduled].into_iter().flatten();
        self.last_step = holds.clone().map(|hold| hold.step).fold(self.last_step, u64::max);
        let versions = holds.map(|hold| hold.version).chain(state.loaded.iter().copied());
        self.last_version = versions.fold(self.last_version.max(state.map), MapVersion::max);
        self.reports[rank as usize] = Some(report);
        match self.phase.clone() {
            Phase::Collecting => self.finish_collecting(),
            Phase::Deciding { hold, commit, .. } => self.resume_deciding(rank, hold, commit),
            _ => Vec::new(),
        }
    }

    /// Raises the ballot of this incarnation above a higher one while still collecting; afterwards,
    /// a higher ballot belongs to a newer incarnation, which supersedes this one.
    fn handle_higher_ballot(&mut self, ballot: Ballot) -> Outbox {
        if self.phase != Phase::Collecting {
            self.phase = Phase::Superseded;
            return Vec::new();
        }
        self.ballot.number = ballot.number + 1;
        self.reports.iter_mut().for_each(|report| *report = None);
        self.resend()
    }

    /// Resumes an undecided or partly applied switch of an earlier incarnation, or becomes idle,
    /// once every rank has reported.
    fn finish_collecting(&mut self) -> Outbox {
        if self.reports.iter().any(Option::is_none) {
            return Vec::new();
        }
        if self.unlearned().next().is_some() {
            return self.adopt_unlearned();
        }
        self.events.push(Event::Collected);
        let states = || self.reports.iter().flatten().map(|report| &report.state);
        let Some(hold) = states().find_map(|state| state.hold) else {
            self.phase = Phase::Idle;
            return Vec::new();
        };
        let commit = states().any(|state| state.scheduled == Some(hold));
        self.decide(hold, commit)
    }

    /// Returns the ranks that have reported without knowing the newest ballot.
    fn unlearned(&self) -> impl Iterator<Item = u32> + '_ {
        let pairs = (0u32..).zip(&self.reports);
        pairs
            .filter(|(_, report)| report.as_ref().is_some_and(|report| !report.learned))
            .map(|(rank, _)| rank)
    }

    /// Requests the ranks that have not learned the newest ballot to accept this one.
    ///
    /// Every rank has reported to this ballot, so none can follow a newer one. Only a coordinator
    /// that is still collecting may send the request: for an older incarnation that has decided, a
    /// newer ballot may exist by now.
    fn adopt_unlearned(&self) -> Outbox {
        let ranks: Vec<u32> = self.unlearned().collect();
        let ballot = self.ballot;
        self.to_some(&ranks, |to| Message::Adopt { ballot, to })
    }

    /// Sends the decision again to a rank that reports while the decision is being sent.
    fn resume_deciding(&mut self, rank: u32, hold: Hold, commit: bool) -> Outbox {
        let Some(report) = &self.reports[rank as usize] else {
            return Vec::new();
        };
        let (ballot, to, number) = (self.ballot, report.incarnation, self.number);
        if !commit {
            return vec![(rank, Message::Abort { ballot, to, number, hold })];
        }
        if report.state.scheduled == Some(hold) {
            self.handle_settled(rank, hold);
            return Vec::new();
        }
        vec![(rank, Message::Commit { ballot, to, hold })]
    }

    fn handle_prepared(&mut self, rank: u32, version: MapVersion) {
        if let Phase::Preparing { map, ready } = &mut self.phase {
            if map.version == version {
                ready.insert(rank);
            }
        }
    }

    fn handle_accept(&mut self, rank: u32) -> Outbox {
        let ranks = self.reports.len();
        let Phase::Proposing { hold, accepted } = &mut self.phase else {
            return Vec::new();
        };
        accepted.insert(rank);
        let (hold, all) = (*hold, accepted.len() == ranks);
        if all {
            self.decide(hold, true)
        } else {
            Vec::new()
        }
    }

    fn handle_settled(&mut self, rank: u32, decided: Hold) {
        let ranks = self.reports.len();
        let Phase::Deciding { hold, commit, settled } = &mut self.phase else {
            return;
        };
        if *hold != decided {
            return;
        }
        settled.insert(rank);
        if settled.len() == ranks {
            let event = Event::Settled { hold: *hold, commit: *commit };
            self.phase = Phase::Idle;
            self.events.push(event);
        }
    }

    fn handle_refusal(&mut self, rank: u32, reason: Reason) -> Outbox {
        match (self.phase.clone(), reason) {
            (Phase::Superseded, _) => Vec::new(),
            (_, Reason::OtherBallot(ballot)) if ballot > self.ballot => {
                self.handle_higher_ballot(ballot)
            }
            (Phase::Deciding { commit: true, .. }, Reason::Held) => {
                self.events.push(Event::StateLost { rank });
                Vec::new()
            }
            (Phase::Proposing { hold, .. }, _) => {
                let mut outbox = self.decide(hold, false);
                outbox.extend(self.collect_again(rank, reason));
                outbox
            }
            _ => self.collect_again(rank, reason),
        }
    }

    /// Requests a new report if the reason shows a restarted rank or another ballot.
    ///
    /// A restarted rank follows no coordinator until it has reported again.
    fn collect_again(&self, rank: u32, reason: Reason) -> Outbox {
        match reason {
            Reason::OtherIncarnation | Reason::OtherBallot(_) => {
                vec![(rank, Message::Collect { ballot: self.ballot })]
            }
            _ => Vec::new(),
        }
    }

    /// Answers a rank whose engine waits at a held step: sends the pending decision again, or
    /// requests a new report of a rank that should not be waiting.
    fn handle_blocked(&mut self, rank: u32, blocked: Hold) -> Outbox {
        let collect = || vec![(rank, Message::Collect { ballot: self.ballot })];
        match &self.phase {
            Phase::Deciding { hold, settled, .. } if *hold == blocked => {
                if settled.contains(&rank) {
                    return collect();
                }
                let all = self.resend();
                all.into_iter().filter(|(to, _)| *to == rank).collect()
            }
            Phase::Idle => collect(),
            _ => Vec::new(),
        }
    }

    /// Fixes the decision and sends it to all ranks.
    fn decide(&mut self, hold: Hold, commit: bool) -> Outbox {
        self.phase = Phase::Deciding { hold, commit, settled: BTreeSet::new() };
        self.resend()
    }

    /// Returns whether `incarnation` is the reported incarnation of the agent of a rank.
    fn is_current(&self, rank: u32, incarnation: Incarnation) -> bool {
        let report = self.reports.get(rank as usize).and_then(Option::as_ref);
        report.is_some_and(|report| report.incarnation == incarnation)
    }

    /// Addresses a message to the reported incarnation of each of the given ranks; skips ranks that
    /// have not reported.
    fn to_some<F>(&self, ranks: &[u32], message: F) -> Outbox
    where
        F: Fn(Incarnation) -> Message,
    {
        let address = |rank: &u32| {
            let report = self.reports[*rank as usize].as_ref()?;
            Some((*rank, message(report.incarnation)))
        };
        ranks.iter().filter_map(address).collect()
    }

    fn to_all<F>(&self, message: F) -> Outbox
    where
        F: Fn(Ballot, Incarnation) -> Message,
    {
        let ranks: Vec<u32> = (0..self.reports.len() as u32).collect();
        self.to_some(&ranks, |to| message(self.ballot, to))
    }
}
