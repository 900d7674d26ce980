//! Agent of one rank: follows the coordinator and gives orders to its engine.

use bw_model::Incarnation;

use crate::message::Ballot;
use crate::message::EngineOrder;
use crate::message::EngineState;
use crate::message::Hold;
use crate::message::Message;
use crate::message::Reason;

/// Reaction of the agent to a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Order to the engine, to be carried out before the answer is sent.
    pub order: Option<EngineOrder>,
    /// Answer if there is no order or the engine accepted it.
    pub done: Option<Message>,
    /// Answer if the engine rejected the order.
    pub failed: Option<Message>,
}

/// One incarnation of the agent of one rank.
///
/// The engine keeps the promises of the agent, but the ballot that the agent follows is lost when
/// it restarts. A new incarnation therefore follows no coordinator until it has learned the newest
/// ballot, either from a rank that knows it or from a coordinator to which every rank has reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rank {
    rank: u32,
    incarnation: Incarnation,
    ballot: Ballot,
    learned: bool,
    /// Highest number of an aborted proposal of this ballot.
    settled: u64,
}

impl Rank {
    /// Creates a new incarnation, which has not learned the newest ballot.
    pub fn new(rank: u32, incarnation: Incarnation) -> Self {
        Self { rank, incarnation, ballot: Ballot::default(), learned: false, settled: 0 }
    }

    /// Returns the query for the newest ballot, to be sent to the other ranks while the ballot is
    /// not known.
    pub fn learn_query(&self) -> Option<Message> {
        let query = Message::Learn { rank: self.rank, incarnation: self.incarnation };
        (!self.learned).then_some(query)
    }

    /// Returns the incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Processes a message; `engine` is the current state of the engine.
    pub fn handle(&mut self, message: &Message, engine: &EngineState) -> Action {
        match message {
            Message::Collect { ballot } => self.collect(*ballot, engine),
            Message::Adopt { ballot, to } => self.adopt(*ballot, *to, engine),
            Message::Learn { incarnation, .. } => self.answer_learn(*incarnation),
            Message::Known { to, ballot } => self.learn(*to, *ballot),
            Message::Prepare { ballot, to, map } => {
                let prepared = self.prepared_message(map.version);
                if engine.loaded.contains(&map.version) {
                    return self.if_current(*ballot, *to, |_| Action::answer(prepared));
                }
                let order = EngineOrder::Load(map.clone());
                self.if_current(*ballot, *to, |rank| rank.order(order, prepared, *ballot))
            }
            Message::Propose { ballot, to, number, hold } => {
                self.if_current(*ballot, *to, |rank| rank.propose(*ballot, *number, *hold, engine))
            }
            Message::Commit { ballot, to, hold } => {
                self.if_current(*ballot, *to, |rank| rank.commit(*ballot, *hold, engine))
            }
            Message::Abort { ballot, to, number, hold } => {
                self.if_current(*ballot, *to, |rank| rank.abort(*ballot, *number, *hold, engine))
            }
            Message::Discard { ballot, to, version } => {
                let order = EngineOrder::Discard(*version);
                self.if_current(*ballot, *to, |_| Action {
                    order: Some(order),
                    done: None,
                    failed: None,
                })
            }
            Message::Blocked { hold, .. } => answer_blocked(*hold, engine),
            Message::Committed { hold } => schedule_committed(*hold, engine),
            _ => Action::nothing(),
        }
    }

    /// Returns the query for a decision, to be sent while the engine waits at a held step.
    pub fn blocked_query(&self, engine: &EngineState) -> Option<Message> {
        let hold = engine.hold.filter(|hold| engine.step >= hold.step)?;
        Some(Message::Blocked { rank: self.rank, hold })
    }

    fn collect(&mut self, ballot: Ballot, engine: &EngineState) -> Action {
        if ballot > self.ballot {
            self.ballot = ballot;
            self.settled = 0;
        }
        Action::answer(self.report(engine))
    }

    fn report(&self, engine: &EngineState) -> Message {
        Message::Report {
            rank: self.rank,
            incarnation: self.incarnation,
            ballot: self.ballot,
            learned: self.learned,
            state: engine.clone(),
        }
    }

    fn adopt(&mut self, ballot: Ballot, to: Incarnation, engine: &EngineState) -> Action {
        if to != self.incarnation {
            return self.refuse(ballot, Reason::OtherIncarnation);
        }
        if ballot != self.ballot {
            return self.refuse(ballot, Reason::OtherBallot(self.ballot));
        }
        self.learned = true;
        Action::answer(self.report(engine))
    }

    fn answer_learn(&self, to: Incarnation) -> Action {
        let known = Message::Known { to, ballot: self.ballot };
        Action { order: None, done: self.learned.then_some(known), failed: None }
    }

    fn learn(&mut self, to: Incarnation, ballot: Ballot) -> Action {
        if to == self.incarnation && !self.learned {
            self.learned = true;
            if ballot > self.ballot {
                self.ballot = ballot;
                self.settled = 0;
            }
        }
        Action::nothing()
    }

    fn propose(&mut self, ballot: Ballot, number: u64, hold: Hold, engine: &EngineState) -> Action {
        let accept =
            Message::Accept { rank: self.rank, incarnation: self.incarnation, ballot, number };
        if number <= self.settled {
            return self.refuse(ballot, Reason::Settled);
        }
        if engine.hold == Some(hold) {
            return Action::answer(accept);
        }
        if engine.hold.is_some() || has_pending(engine) {
            return self.refuse(ballot, Reason::Held);
        }
        if !engine.loaded.contains(&hold.version) {
            return self.refuse(ballot, Reason::Unprepared);
        }
        if engine.step > hold.step {
            return self.refuse(ballot, Reason::Late);
        }
        self.order(EngineOrder::Hold(hold), accept, ballot)
    }

    fn commit(&mut self, ballot: Ballot, hold: Hold, engine: &EngineState) -> Action {
        let settled = self.settled_message(ballot, hold);
        if engine.scheduled == Some(hold) {
            return Action::answer(settled);
        }
        if engine.hold != Some(hold) {
            return self.refuse(ballot, Reason::Held);
        }
        self.order(EngineOrder::Schedule(hold), settled, ballot)
    }

    fn abort(&mut self, ballot: Ballot, number: u64, hold: Hold, engine: &EngineState) -> Action {
        self.settled = self.settled.max(number);
        let settled = self.settled_message(ballot, hold);
        if engine.hold == Some(hold) {
            return self.order(EngineOrder::Release(hold), settled, ballot);
        }
        if engine.scheduled == Some(hold) {
            return self.refuse(ballot, Reason::Settled);
        }
        Action::answer(settled)
    }

    /// Runs `follow` if the message is addressed to this incarnation and comes from the ballot that
    /// the rank follows; otherwise refuses the message.
    fn if_current<F>(&mut self, ballot: Ballot, to: Incarnation, follow: F) -> Action
    where
        F: FnOnce(&mut Self) -> Action,
    {
        if to != self.incarnation {
            return self.refuse(ballot, Reason::OtherIncarnation);
        }
        if ballot != self.ballot {
            return self.refuse(ballot, Reason::OtherBallot(self.ballot));
        }
        if !self.learned {
            return self.refuse(ballot, Reason::Unlearned);
        }
        follow(self)
    }

    /// Returns an order to the engine, answered by `done` on success and by a refusal otherwise.
    fn order(&self, order: EngineOrder, done: Message, ballot: Ballot) -> Action {
        let failed = self.refuse(ballot, Reason::Late).done;
        Action { order: Some(order), done: Some(done), failed }
    }

    fn refuse(&self, ballot: Ballot, reason: Reason) -> Action {
        let (rank, incarnation) = (self.rank, self.incarnation);
        Action::answer(Message::Refuse { rank, incarnation, ballot, reason })
    }

    fn prepared_message(&self, version: bw_model::MapVersion) -> Message {
        Message::Prepared { rank: self.rank, incarnation: self.incarnation, version }
    }

    fn settled_message(&self, ballot: Ballot, hold: Hold) -> Message {
        Message::Settled { rank: self.rank, incarnation: self.incarnation, ballot, hold }
    }
}

impl Action {
    fn answer(message: Message) -> Self {
        Self { order: None, done: Some(message), failed: None }
    }

    fn nothing() -> Self {
        Self { order: None, done: None, failed: None }
    }
}

/// Returns whether a decided switch has not taken effect yet.
fn has_pending(engine: &EngineState) -> bool {
    engine.scheduled.is_some_and(|hold| engine.step <= hold.step && engine.map != hold.version)
}

/// Answers the query of another rank from the state of this rank's engine: a switch scheduled at
/// one rank is decided for all.
fn answer_blocked(hold: Hold, engine: &EngineState) -> Action {
    if engine.scheduled == Some(hold) {
        Action::answer(Message::Committed { hold })
    } else {
        Action::nothing()
    }
}

/// Schedules a switch that another rank reports as decided, if the engine of this rank holds its
/// step.
fn schedule_committed(hold: Hold, engine: &EngineState) -> Action {
    let order = (engine.hold == Some(hold)).then_some(EngineOrder::Schedule(hold));
    Action { order, done: None, failed: None }
}
