//! The map switch: agents, engines and lives of the coordinator around [`bw_expert::switch`].
//!
//! A message may be delivered at any time or never, and some are delivered again after they were
//! delivered. An old life of the coordinator goes on beside a new one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::marker::PhantomData;

use bw_expert::switch::Phase;
use bw_expert::Coordinator;
use bw_expert::EngineState;
use bw_expert::ExpertMap;
use bw_expert::Message;
use bw_expert::Rank;
use bw_model::Incarnation;
use bw_model::MapVersion;

use crate::search::Model;

/// How agents and engines follow the protocol; broken variants leave something out.
pub trait SwitchRules: Clone + Eq + std::hash::Hash {
    /// Whether an engine holds a step that its agent promised not to start.
    const HOLDS: bool;
    /// Whether an agent refuses messages meant for another life of it.
    const CHECKS_LIFE: bool;
}

/// Agents and engines as they are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl SwitchRules for Sound {
    const HOLDS: bool = true;
    const CHECKS_LIFE: bool = true;
}

/// Engines that start a held step all the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoPromise;

impl SwitchRules for NoPromise {
    const HOLDS: bool = false;
    const CHECKS_LIFE: bool = true;
}

/// Agents that take every verdict as meant for their present life.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoIncarnation;

impl SwitchRules for NoIncarnation {
    const HOLDS: bool = true;
    const CHECKS_LIFE: bool = false;
}

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Steps that engines run.
    pub steps: u64,
    /// New lives of the coordinating agent.
    pub coordinators: u8,
    /// New lives of other agents.
    pub restarts: u8,
    /// Switches that are begun.
    pub switches: u8,
    /// Switches that are given up before their verdict.
    pub give_ups: u8,
    /// Messages that arrive twice.
    pub repeats: u8,
    /// Rounds in which a coordinator sends again what has no answer.
    pub resends: u8,
    /// Rounds in which a rank asks others for a verdict or the newest ballot.
    pub questions: u8,
    /// Whether old lives of the coordinator act beside the newest one.
    pub old_lives: bool,
}

/// One rank: its agent and its engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    agent: Rank,
    engine: EngineState,
}

/// Who sends or gets a message. Coordinators are numbered by life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Party {
    Rank(usize),
    Coordinator(usize),
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Letter {
    from: Party,
    to: Party,
    message: Message,
}

thread_local! {
    /// Messages by number, which keeps states small.
    static MESSAGES: RefCell<Messages> = RefCell::default();
}

/// Every message that any state has sent, each with its number.
#[derive(Default)]
struct Messages {
    numbers: HashMap<Letter, u16>,
    list: Vec<Letter>,
}

/// The messages on their way, as sorted numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Sent(Vec<u16>);

impl Sent {
    fn number(letter: &Letter) -> u16 {
        MESSAGES.with_borrow_mut(|messages| {
            if let Some(number) = messages.numbers.get(letter) {
                return *number;
            }
            let number = messages.list.len() as u16;
            messages.list.push(letter.clone());
            messages.numbers.insert(letter.clone(), number);
            number
        })
    }

    fn remove(&mut self, letter: &Letter) {
        if let Ok(place) = self.0.binary_search(&Self::number(letter)) {
            self.0.remove(place);
        }
    }

    fn insert(&mut self, letter: &Letter) {
        let number = Self::number(letter);
        if let Err(place) = self.0.binary_search(&number) {
            self.0.insert(place, number);
        }
    }

    /// The messages in their own order, which does not depend on their numbers.
    fn list(&self) -> Vec<Letter> {
        let mut list: Vec<Letter> = MESSAGES.with_borrow(|messages| {
            self.0.iter().map(|number| messages.list[usize::from(*number)].clone()).collect()
        });
        list.sort();
        list
    }
}

/// The system: one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SwitchModel<R> {
    nodes: Vec<Node>,
    /// All lives of the coordinator that may still act.
    coordinators: Vec<Coordinator>,
    sent: Sent,
    /// The map that each step was started with.
    used: BTreeMap<u64, MapVersion>,
    left: Bounds,
    broken: bool,
    rules: PhantomData<R>,
}

impl<R> SwitchModel<R>
where
    R: SwitchRules,
{
    /// A group of `ranks` with its first coordinator.
    pub fn new(ranks: usize, left: Bounds) -> Self {
        let engine = EngineState {
            map: MapVersion(1),
            step: 0,
            hold: None,
            scheduled: None,
            loaded: vec![MapVersion(1)],
        };
        let node = |rank: usize| Node {
            agent: Rank::new(rank as u32, Incarnation(100 * (rank as u64 + 1))),
            engine: engine.clone(),
        };
        let mut model = Self {
            nodes: (0..ranks).map(node).collect(),
            coordinators: Vec::new(),
            sent: Sent::default(),
            used: BTreeMap::new(),
            left,
            broken: false,
            rules: PhantomData,
        };
        model.add_coordinator(1);
        model
    }

    /// A group whose first coordinator has collected all ranks and loaded the next map, so that
    /// the exploration can spend its states on the switch itself.
    pub fn prepared(ranks: usize, left: Bounds) -> Self {
        let mut model = Self::new(ranks, left);
        while *model.coordinators[0].phase() != Phase::Idle {
            model.exchange_once();
        }
        model.coordinators[0].prepare(empty_map());
        let ready = |model: &Self| match model.coordinators[0].phase() {
            Phase::Preparing { ready, .. } => ready.len() == ranks,
            _ => true,
        };
        while !ready(&model) {
            model.exchange_once();
        }
        model.sent = Sent::default();
        model
    }

    /// A group whose ranks have all accepted and whose first coordinator has decided to switch,
    /// with its verdicts on their way. Its first messages are on their way once more, late.
    pub fn decided(ranks: usize, left: Bounds) -> Self {
        let mut model = Self::prepared(ranks, left);
        let outbox = model.coordinators[0].propose(1);
        model.post(0, outbox);
        while matches!(model.coordinators[0].phase(), Phase::Proposing { .. }) {
            for letter in model.sent.list() {
                model.sent.remove(&letter);
                model.deliver(&letter);
            }
        }
        for (rank, message) in Coordinator::new(ranks, 0, 1).resend() {
            if let (1.., Message::Collect { ballot }) = (rank, &message) {
                let to = model.nodes[rank as usize].agent.incarnation();
                let adopt = Message::Adopt { ballot: *ballot, to };
                model.post(0, vec![(rank, message), (rank, adopt)]);
            }
        }
        model
    }

    /// A group as in [`SwitchModel::decided`], whose coordinator has died before any verdict
    /// arrived, and whose new coordinator has collected all ranks and so decided not to switch.
    /// The old verdicts are still on their way.
    pub fn recovered(ranks: usize, left: Bounds) -> Self {
        let mut model = Self::decided(ranks, left);
        let late = std::mem::take(&mut model.sent);
        model.restart_agent(0);
        model.add_coordinator(2);
        while matches!(model.coordinators[1].phase(), Phase::Collecting) {
            model.exchange_once();
            for rank in 0..ranks {
                for question in model.questions(rank) {
                    model.ask(rank, &question);
                }
            }
        }
        model.sent = late;
        let outbox = model.coordinators[1].resend();
        model.post(1, outbox);
        model
    }

    /// Number of maps that steps were started with.
    pub fn maps_used(&self) -> usize {
        self.used.values().collect::<BTreeSet<_>>().len()
    }

    /// Steps that every rank has finished.
    pub fn steps_done(&self) -> u64 {
        self.nodes.iter().map(|node| node.engine.step).min().unwrap_or(0)
    }

    fn add_coordinator(&mut self, nonce: u64) {
        let step = self.nodes[0].engine.step;
        let coordinator = Coordinator::new(self.nodes.len(), step, nonce);
        let outbox = coordinator.resend();
        self.coordinators.push(coordinator);
        self.post(self.coordinators.len() - 1, outbox);
    }

    /// Puts what a coordinator sends on its way.
    fn post(&mut self, coordinator: usize, outbox: Vec<(u32, Message)>) {
        for (rank, message) in outbox {
            let from = Party::Coordinator(coordinator);
            self.sent.insert(&Letter { from, to: Party::Rank(rank as usize), message });
        }
    }

    /// Hands a message over; its answer goes back to the sender.
    fn deliver(&mut self, letter: &Letter) {
        match letter.to {
            Party::Rank(rank) => {
                if let Some(message) = self.deliver_to_rank(rank, &letter.message) {
                    let (from, to) = (letter.to, letter.from);
                    self.sent.insert(&Letter { from, to, message });
                }
            }
            Party::Coordinator(index) => {
                if !self.left.old_lives && index + 1 < self.coordinators.len() {
                    return;
                }
                if let Some(coordinator) = self.coordinators.get_mut(index) {
                    let outbox = coordinator.handle(&letter.message);
                    coordinator.take_events();
                    self.post(index, outbox);
                }
            }
        }
    }

    fn deliver_to_rank(&mut self, rank: usize, message: &Message) -> Option<Message> {
        let node = &mut self.nodes[rank];
        let message = if R::CHECKS_LIFE {
            message.clone()
        } else {
            readdressed(message, node.agent.incarnation())
        };
        let action = node.agent.handle(&message, &node.engine);
        let taken = action.order.is_none_or(|order| node.engine.apply(order));
        if taken {
            action.done
        } else {
            action.failed
        }
    }

    /// Has a rank ask the newest coordinator and the other ranks.
    fn ask(&mut self, rank: usize, question: &Message) {
        let peers = (0..self.nodes.len()).filter(|peer| *peer != rank).map(Party::Rank);
        let newest = Party::Coordinator(self.coordinators.len() - 1);
        let parties: Vec<Party> = peers.chain([newest]).collect();
        for to in parties {
            let from = Party::Rank(rank);
            self.sent.insert(&Letter { from, to, message: question.clone() });
        }
    }

    /// What a rank would ask others now.
    fn questions(&self, rank: usize) -> Vec<Message> {
        let node = &self.nodes[rank];
        node.agent.learn_query().into_iter().chain(node.agent.blocked_query(&node.engine)).collect()
    }

    /// Starts the next step at a rank if lock-step and its holds let it.
    fn start_step(&mut self, rank: usize) -> bool {
        let slowest = self.steps_done();
        let engine = &mut self.nodes[rank].engine;
        let step = engine.step;
        let held = R::HOLDS && engine.hold.is_some_and(|hold| hold.step <= step);
        if step > slowest || step >= self.left.steps || held {
            return false;
        }
        if let Some(hold) = engine.scheduled.filter(|hold| hold.step == step) {
            engine.map = hold.version;
        }
        engine.step += 1;
        let map = engine.map;
        let first = *self.used.entry(step).or_insert(map);
        self.broken |= first != map;
        true
    }

    fn coordinator_steps(&self, index: usize, next: &mut Vec<Self>) {
        let phase = self.coordinators[index].phase();
        match phase {
            Phase::Idle if self.left.switches > 0 => {
                let mut after = self.clone();
                after.left.switches -= 1;
                after.coordinators[index].prepare(empty_map());
                let outbox = after.coordinators[index].resend();
                after.post(index, outbox);
                next.push(after);
            }
            Phase::Preparing { .. } => {
                let mut after = self.clone();
                let step = after.coordinators[index].step() + 1;
                let outbox = after.coordinators[index].propose(step);
                after.post(index, outbox);
                push_changed(self, after, next);
            }
            _ => {}
        }
        let undecided = matches!(phase, Phase::Preparing { .. } | Phase::Proposing { .. });
        if undecided && self.left.give_ups > 0 {
            let mut after = self.clone();
            after.left.give_ups -= 1;
            let outbox = after.coordinators[index].cancel();
            after.post(index, outbox);
            next.push(after);
        }
        if self.left.resends > 0 {
            let mut after = self.clone();
            let outbox = after.coordinators[index].resend();
            after.post(index, outbox);
            if after != *self {
                after.left.resends -= 1;
                next.push(after);
            }
        }
    }

    fn message_steps(&self, letter: &Letter, next: &mut Vec<Self>) {
        let mut after = self.clone();
        after.sent.remove(letter);
        let mut repeated = after.clone();
        after.deliver(letter);
        next.push(after);
        if self.left.repeats > 0 {
            repeated.left.repeats -= 1;
            repeated.deliver(letter);
            repeated.sent.insert(letter);
            next.push(repeated);
        }
    }

    fn rank_steps(&self, rank: usize, next: &mut Vec<Self>) {
        let mut after = self.clone();
        if after.start_step(rank) {
            next.push(after);
        }
        if self.left.questions > 0 {
            for question in self.questions(rank) {
                let mut after = self.clone();
                after.left.questions -= 1;
                after.ask(rank, &question);
                next.push(after);
            }
        }
        if rank > 0 && self.left.restarts > 0 {
            let mut after = self.clone();
            after.left.restarts -= 1;
            after.restart_agent(rank);
            next.push(after);
        }
        if rank == 0 && self.left.coordinators > 0 {
            let mut after = self.clone();
            after.left.coordinators -= 1;
            after.restart_agent(rank);
            let nonce = 1 + after.coordinators.len() as u64;
            after.add_coordinator(nonce);
            next.push(after);
        }
    }

    fn restart_agent(&mut self, rank: usize) {
        let incarnation = Incarnation(self.nodes[rank].agent.incarnation().0 + 1);
        self.nodes[rank].agent = Rank::new(rank as u32, incarnation);
    }

    /// Whether the newest coordinator and all ranks finish all steps once nothing fails any more
    /// and every message arrives.
    pub fn can_finish(&self) -> bool {
        const ROUNDS_MAX: usize = 1_000;
        let mut state = self.clone();
        state.left.switches = 0;
        for _ in 0..ROUNDS_MAX {
            if state.steps_done() >= state.left.steps {
                return true;
            }
            state.settle_once();
        }
        false
    }

    /// Delivers what the newest coordinator sends and what comes of it.
    fn exchange_once(&mut self) {
        let newest = self.coordinators.len() - 1;
        let outbox = self.coordinators[newest].resend();
        self.post(newest, outbox);
        for letter in self.sent.list() {
            self.sent.remove(&letter);
            self.deliver(&letter);
        }
    }

    fn settle_once(&mut self) {
        let newest = self.coordinators.len() - 1;
        let phase = self.coordinators[newest].phase();
        if matches!(phase, Phase::Preparing { .. } | Phase::Proposing { .. }) {
            let outbox = self.coordinators[newest].cancel();
            self.post(newest, outbox);
        }
        for rank in 0..self.nodes.len() {
            for question in self.questions(rank) {
                self.ask(rank, &question);
            }
        }
        self.exchange_once();
        for rank in 0..self.nodes.len() {
            self.start_step(rank);
        }
    }
}

impl<R> Model for SwitchModel<R>
where
    R: SwitchRules,
{
    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        let newest = self.coordinators.len() - 1;
        let oldest = if self.left.old_lives { 0 } else { newest };
        for index in oldest..=newest {
            self.coordinator_steps(index, &mut next);
        }
        for letter in self.sent.list() {
            self.message_steps(&letter, &mut next);
        }
        for rank in 0..self.nodes.len() {
            self.rank_steps(rank, &mut next);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        self.broken.then(|| "a step was started with two maps".to_string())
    }

    fn is_done(&self) -> bool {
        self.steps_done() >= self.left.steps
    }
}

fn push_changed<R>(before: &SwitchModel<R>, after: SwitchModel<R>, next: &mut Vec<SwitchModel<R>>)
where
    R: SwitchRules,
{
    if after != *before {
        next.push(after);
    }
}

/// The message as if it were meant for `incarnation`.
fn readdressed(message: &Message, incarnation: Incarnation) -> Message {
    let mut message = message.clone();
    match &mut message {
        Message::Prepare { to, .. }
        | Message::Propose { to, .. }
        | Message::Commit { to, .. }
        | Message::Abort { to, .. }
        | Message::Adopt { to, .. }
        | Message::Known { to, .. }
        | Message::Discard { to, .. } => *to = incarnation,
        _ => {}
    }
    message
}

/// A map without layers: only its version matters here.
fn empty_map() -> ExpertMap {
    ExpertMap { version: MapVersion(0), ranks: 0, slots: 0, layers: Vec::new() }
}
