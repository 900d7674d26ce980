//! The agent of one rank: follows the coordinator and gives its engine orders.

use bw_model::Incarnation;

use crate::message::Ballot;
use crate::message::EngineOrder;
use crate::message::EngineState;
use crate::message::Hold;
use crate::message::Message;
use crate::message::Reason;

/// What the agent does on a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Action {
    /// Order to the engine, carried out first.
    pub order: Option<EngineOrder>,
    /// Answer when there is no order or the engine took it.
    pub done: Option<Message>,
    /// Answer when the engine did not take the order.
    pub failed: Option<Message>,
}

/// One life of the agent of one rank.
///
/// Its promises live in the engine. The ballot it obeyed is lost with the life, so a new life
/// follows nobody until it has learned the newest ballot from a rank that knows it, or until a
/// coordinator to which every rank has reported says so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Rank {
    rank: u32,
    incarnation: Incarnation,
    ballot: Ballot,
    learned: bool,
    settled: u64,
}

impl Rank {
    /// A new life.
    pub fn new(rank: u32, incarnation: Incarnation) -> Self {
        Self { rank, incarnation, ballot: Ballot::default(), learned: false, settled: 0 }
    }

    /// The question to the other ranks while the newest ballot is not known.
    pub fn question(&self) -> Option<Message> {
        let question = Message::Learn { rank: self.rank, incarnation: self.incarnation };
        (!self.learned).then_some(question)
    }

    /// This life.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Takes a message; `engine` is the engine's present state.
    pub fn handle(&mut self, message: &Message, engine: &EngineState) -> Action {
        match message {
            Message::Collect { ballot } => self.collect(*ballot, engine),
            Message::Adopt { ballot, to } => self.adopt(*ballot, *to, engine),
            Message::Learn { incarnation, .. } => self.tell(*incarnation),
            Message::Known { to, ballot } => self.learn(*to, *ballot),
            Message::Prepare { ballot, to, map } => {
                let prepared = self.prepared(map.version);
                if engine.loaded.contains(&map.version) {
                    return self.guarded(*ballot, *to, |_| Action::answer(prepared));
                }
                let order = EngineOrder::Load(map.clone());
                self.guarded(*ballot, *to, |rank| rank.order(order, prepared, *ballot))
            }
            Message::Propose { ballot, to, number, hold } => {
                self.guarded(*ballot, *to, |rank| rank.propose(*ballot, *number, *hold, engine))
            }
            Message::Commit { ballot, to, hold } => {
                self.guarded(*ballot, *to, |rank| rank.commit(*ballot, *hold, engine))
            }
            Message::Abort { ballot, to, number, hold } => {
                self.guarded(*ballot, *to, |rank| rank.abort(*ballot, *number, *hold, engine))
            }
            Message::Discard { ballot, to, version } => {
                let order = EngineOrder::Discard(*version);
                self.guarded(*ballot, *to, |_| Action {
                    order: Some(order),
                    done: None,
                    failed: None,
                })
            }
            Message::Blocked { hold, .. } => blocked(*hold, engine),
            Message::Committed { hold } => committed(*hold, engine),
            _ => Action::nothing(),
        }
    }

    /// The question to ask when the engine waits at a held step.
    pub fn blocked(&self, engine: &EngineState) -> Option<Message> {
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

    fn tell(&self, to: Incarnation) -> Action {
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

    /// Runs `follow` when the message is for this life and from the newest ballot.
    fn guarded<F>(&mut self, ballot: Ballot, to: Incarnation, follow: F) -> Action
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

    fn order(&self, order: EngineOrder, done: Message, ballot: Ballot) -> Action {
        let failed = self.refuse(ballot, Reason::Late).done;
        Action { order: Some(order), done: Some(done), failed }
    }

    fn refuse(&self, ballot: Ballot, reason: Reason) -> Action {
        let (rank, incarnation) = (self.rank, self.incarnation);
        Action::answer(Message::Refuse { rank, incarnation, ballot, reason })
    }

    fn prepared(&self, version: bw_model::MapVersion) -> Message {
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

/// Whether a decided switch has not happened yet.
fn has_pending(engine: &EngineState) -> bool {
    engine.scheduled.is_some_and(|hold| engine.step <= hold.step && engine.map != hold.version)
}

/// Answers another rank from what the own engine shows; a decided switch is decided for all.
fn blocked(hold: Hold, engine: &EngineState) -> Action {
    if engine.scheduled == Some(hold) {
        Action::answer(Message::Committed { hold })
    } else {
        Action::nothing()
    }
}

fn committed(hold: Hold, engine: &EngineState) -> Action {
    let order = (engine.hold == Some(hold)).then_some(EngineOrder::Schedule(hold));
    Action { order, done: None, failed: None }
}
