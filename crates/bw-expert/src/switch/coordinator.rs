//! The agent of rank 0 as coordinator of the group.

use std::collections::BTreeSet;

use bw_model::Incarnation;
use bw_model::MapVersion;

use crate::map::ExpertMap;
use crate::message::Ballot;
use crate::message::EngineState;
use crate::message::Hold;
use crate::message::Message;
use crate::message::Reason;

/// What the coordinator is doing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Every rank has to report before anything is decided.
    Collecting,
    /// No switch is under way.
    Idle,
    /// Ranks load the weights.
    Preparing {
        /// The map.
        map: ExpertMap,
        /// Ranks that are done.
        ready: BTreeSet<u32>,
    },
    /// Ranks are asked to hold the step.
    Proposing {
        /// Map and step.
        hold: Hold,
        /// Ranks that accepted.
        accepted: BTreeSet<u32>,
    },
    /// The verdict is carried to all ranks.
    Deciding {
        /// Map and step.
        hold: Hold,
        /// Whether the map is used.
        commit: bool,
        /// Ranks that have followed.
        settled: BTreeSet<u32>,
    },
    /// A newer life of the coordinator exists.
    Deposed,
}

/// What is worth a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// All ranks report to this life.
    Collected,
    /// All ranks follow the verdict.
    Settled {
        /// Map and step.
        hold: Hold,
        /// Whether the map is used.
        commit: bool,
    },
    /// A rank's engine lost the group's state; the group has to start anew.
    Broken {
        /// The rank.
        rank: u32,
    },
}

/// What is known of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Known {
    incarnation: Incarnation,
    learned: bool,
    state: EngineState,
}

/// Messages with the ranks they go to.
pub type Outbox = Vec<(u32, Message)>;

/// One life of a group's coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Coordinator {
    ballot: Ballot,
    ranks: Vec<Option<Known>>,
    phase: Phase,
    /// Number of the last proposal.
    number: u64,
    /// Steps up to this one were named by some proposal.
    floor: u64,
    /// Version of the newest map seen.
    newest: MapVersion,
    events: Vec<Event>,
}

impl Coordinator {
    /// A new life for a group of `ranks`, whose own engine stands at `step`; `nonce` is drawn at
    /// random. Lives that begin at a later step have a higher ballot even when no rank remembers
    /// the earlier ones.
    pub fn new(ranks: usize, step: u64, nonce: u64) -> Self {
        Self {
            ballot: Ballot { number: step + 1, nonce },
            ranks: vec![None; ranks],
            phase: Phase::Collecting,
            number: 0,
            floor: 0,
            newest: MapVersion(0),
            events: Vec::new(),
        }
    }

    /// What the coordinator is doing.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// The highest step that a rank has reported as its next one.
    pub fn step(&self) -> u64 {
        self.ranks.iter().flatten().map(|known| known.state.step).max().unwrap_or(0)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Starts a switch and returns the version given to the map; `None` unless idle.
    pub fn prepare(&mut self, mut map: ExpertMap) -> Option<MapVersion> {
        if self.phase != Phase::Idle {
            return None;
        }
        self.newest = MapVersion(self.newest.0 + 1);
        map.version = self.newest;
        self.phase = Phase::Preparing { map, ready: BTreeSet::new() };
        Some(self.newest)
    }

    /// Proposes the prepared map from `step` on, or from the first free step after it.
    pub fn propose(&mut self, step: u64) -> Outbox {
        let Phase::Preparing { map, ready } = &self.phase else {
            return Vec::new();
        };
        if ready.len() < self.ranks.len() {
            return Vec::new();
        }
        let step = step.max(self.floor + 1);
        let hold = Hold { version: map.version, step };
        self.floor = step;
        self.number += 1;
        self.phase = Phase::Proposing { hold, accepted: BTreeSet::new() };
        self.resend()
    }

    /// Gives up a switch that has not been decided.
    pub fn give_up(&mut self) -> Outbox {
        match self.phase.clone() {
            Phase::Preparing { map, .. } => {
                self.phase = Phase::Idle;
                self.to_all(|ballot, to| Message::Discard { ballot, to, version: map.version })
            }
            Phase::Proposing { hold, .. } => self.decide(hold, false),
            _ => Vec::new(),
        }
    }

    /// Messages that have no answer yet. Sent at the start and on each tick.
    pub fn resend(&self) -> Outbox {
        let waiting = |done: &BTreeSet<u32>| {
            (0..self.ranks.len() as u32).filter(|rank| !done.contains(rank)).collect::<Vec<u32>>()
        };
        let ballot = self.ballot;
        let collect = |rank: u32| (rank, Message::Collect { ballot });
        match &self.phase {
            Phase::Idle | Phase::Deposed => Vec::new(),
            Phase::Collecting => {
                let unknown = (0..self.ranks.len()).filter(|rank| self.ranks[*rank].is_none());
                let mut outbox: Outbox = unknown.map(|rank| collect(rank as u32)).collect();
                if outbox.is_empty() {
                    outbox = self.adopt_unlearned();
                }
                outbox
            }
            Phase::Preparing { map, ready } => self
                .to_some(&waiting(ready), |to| Message::Prepare { ballot, to, map: map.clone() }),
            Phase::Proposing { hold, accepted } => {
                let (number, hold) = (self.number, *hold);
                self.to_some(&waiting(accepted), |to| Message::Propose { ballot, to, number, hold })
            }
            Phase::Deciding { hold, commit, settled } => {
                let (number, hold, commit) = (self.number, *hold, *commit);
                self.to_some(&waiting(settled), |to| {
                    if commit {
                        Message::Commit { ballot, to, hold }
                    } else {
                        Message::Abort { ballot, to, number, hold }
                    }
                })
            }
        }
    }

    /// Takes a message of a rank.
    pub fn handle(&mut self, message: &Message) -> Outbox {
        match message {
            Message::Report { rank, incarnation, ballot, learned, state } => {
                let known =
                    Known { incarnation: *incarnation, learned: *learned, state: state.clone() };
                self.take_report(*rank, *ballot, known)
            }
            Message::Prepared { rank, incarnation, version } => {
                if self.is_current(*rank, *incarnation) {
                    self.take_prepared(*rank, *version);
                }
                Vec::new()
            }
            Message::Accept { rank, incarnation, ballot, number } => {
                let current = *ballot == self.ballot && *number == self.number;
                if current && self.is_current(*rank, *incarnation) {
                    return self.take_accept(*rank);
                }
                Vec::new()
            }
            Message::Settled { rank, ballot, hold, .. } => {
                if *ballot == self.ballot {
                    self.take_settled(*rank, *hold);
                }
                Vec::new()
            }
            Message::Refuse { rank, ballot, reason, .. } if *ballot == self.ballot => {
                self.take_refusal(*rank, *reason)
            }
            Message::Blocked { rank, hold } => self.take_blocked(*rank, *hold),
            _ => Vec::new(),
        }
    }

    /// Notes that a rank's agent has a new life, for example from its heartbeat.
    pub fn note_restart(&mut self, rank: u32, incarnation: Incarnation) -> Outbox {
        let known = self.ranks.get(rank as usize).and_then(Option::as_ref);
        if known.is_some_and(|known| known.incarnation != incarnation) {
            return self.take_refusal(rank, Reason::OtherIncarnation);
        }
        Vec::new()
    }

    fn take_report(&mut self, rank: u32, ballot: Ballot, known: Known) -> Outbox {
        if rank as usize >= self.ranks.len() || ballot < self.ballot {
            return Vec::new();
        }
        if ballot > self.ballot {
            return self.outbid(ballot);
        }
        let state = &known.state;
        let holds = [state.hold, state.scheduled].into_iter().flatten();
        self.floor = holds.clone().map(|hold| hold.step).fold(self.floor, u64::max);
        let versions = holds.map(|hold| hold.version).chain(state.loaded.iter().copied());
        self.newest = versions.fold(self.newest.max(state.map), MapVersion::max);
        self.ranks[rank as usize] = Some(known);
        match self.phase.clone() {
            Phase::Collecting => self.finish_collecting(),
            Phase::Deciding { hold, commit, .. } => self.resume_deciding(rank, hold, commit),
            _ => Vec::new(),
        }
    }

    /// Another life had a higher ballot. While starting, go above it; later on, it is the newer.
    fn outbid(&mut self, ballot: Ballot) -> Outbox {
        if self.phase != Phase::Collecting {
            self.phase = Phase::Deposed;
            return Vec::new();
        }
        self.ballot.number = ballot.number + 1;
        self.ranks.iter_mut().for_each(|known| *known = None);
        self.resend()
    }

    fn finish_collecting(&mut self) -> Outbox {
        if self.ranks.iter().any(Option::is_none) {
            return Vec::new();
        }
        if self.unlearned().next().is_some() {
            return self.adopt_unlearned();
        }
        self.events.push(Event::Collected);
        let states = || self.ranks.iter().flatten().map(|known| &known.state);
        let Some(hold) = states().find_map(|state| state.hold) else {
            self.phase = Phase::Idle;
            return Vec::new();
        };
        let commit = states().any(|state| state.scheduled == Some(hold));
        self.decide(hold, commit)
    }

    /// Ranks that have reported and do not know the newest ballot.
    fn unlearned(&self) -> impl Iterator<Item = u32> + '_ {
        let pairs = (0u32..).zip(&self.ranks);
        pairs.filter(|(_, known)| known.as_ref().is_some_and(|k| !k.learned)).map(|(rank, _)| rank)
    }

    /// Every rank has reported to this ballot, so none can obey a newer one. Only a coordinator
    /// that is still collecting may say so: an old life that decided long ago may not.
    fn adopt_unlearned(&self) -> Outbox {
        let ranks: Vec<u32> = self.unlearned().collect();
        let ballot = self.ballot;
        self.to_some(&ranks, |to| Message::Adopt { ballot, to })
    }

    fn resume_deciding(&mut self, rank: u32, hold: Hold, commit: bool) -> Outbox {
        let Some(known) = &self.ranks[rank as usize] else {
            return Vec::new();
        };
        let (ballot, to, number) = (self.ballot, known.incarnation, self.number);
        if !commit {
            return vec![(rank, Message::Abort { ballot, to, number, hold })];
        }
        if known.state.scheduled == Some(hold) {
            self.take_settled(rank, hold);
            return Vec::new();
        }
        vec![(rank, Message::Commit { ballot, to, hold })]
    }

    fn take_prepared(&mut self, rank: u32, version: MapVersion) {
        if let Phase::Preparing { map, ready } = &mut self.phase {
            if map.version == version {
                ready.insert(rank);
            }
        }
    }

    fn take_accept(&mut self, rank: u32) -> Outbox {
        let ranks = self.ranks.len();
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

    fn take_settled(&mut self, rank: u32, verdict: Hold) {
        let ranks = self.ranks.len();
        let Phase::Deciding { hold, commit, settled } = &mut self.phase else {
            return;
        };
        if *hold != verdict {
            return;
        }
        settled.insert(rank);
        if settled.len() == ranks {
            let event = Event::Settled { hold: *hold, commit: *commit };
            self.phase = Phase::Idle;
            self.events.push(event);
        }
    }

    fn take_refusal(&mut self, rank: u32, reason: Reason) -> Outbox {
        match (self.phase.clone(), reason) {
            (Phase::Deposed, _) => Vec::new(),
            (_, Reason::OtherBallot(ballot)) if ballot > self.ballot => self.outbid(ballot),
            (Phase::Deciding { commit: true, .. }, Reason::Held) => {
                self.events.push(Event::Broken { rank });
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

    /// A rank with a new life obeys nobody until it is collected again.
    fn collect_again(&self, rank: u32, reason: Reason) -> Outbox {
        match reason {
            Reason::OtherIncarnation | Reason::OtherBallot(_) => {
                vec![(rank, Message::Collect { ballot: self.ballot })]
            }
            _ => Vec::new(),
        }
    }

    fn take_blocked(&mut self, rank: u32, asked: Hold) -> Outbox {
        let collect = || vec![(rank, Message::Collect { ballot: self.ballot })];
        match &self.phase {
            Phase::Deciding { hold, settled, .. } if *hold == asked => {
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

    fn decide(&mut self, hold: Hold, commit: bool) -> Outbox {
        self.phase = Phase::Deciding { hold, commit, settled: BTreeSet::new() };
        self.resend()
    }

    fn is_current(&self, rank: u32, incarnation: Incarnation) -> bool {
        let known = self.ranks.get(rank as usize).and_then(Option::as_ref);
        known.is_some_and(|known| known.incarnation == incarnation)
    }

    fn to_some<F>(&self, ranks: &[u32], message: F) -> Outbox
    where
        F: Fn(Incarnation) -> Message,
    {
        let address = |rank: &u32| {
            let known = self.ranks[*rank as usize].as_ref()?;
            Some((*rank, message(known.incarnation)))
        };
        ranks.iter().filter_map(address).collect()
    }

    fn to_all<F>(&self, message: F) -> Outbox
    where
        F: Fn(Ballot, Incarnation) -> Message,
    {
        let ranks: Vec<u32> = (0..self.ranks.len() as u32).collect();
        self.to_some(&ranks, |to| message(self.ballot, to))
    }
}
