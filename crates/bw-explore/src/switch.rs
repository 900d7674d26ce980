//! Model of the map switch by messages: agents, engines and incarnations of the coordinator around
//! [`bw_expert::switch`].
//!
//! A message may be delivered at any time or never, and some are delivered more than once. An old
//! incarnation of the coordinator may go on beside a new one.

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

/// How agents and engines follow the protocol. Faulty variants drop a rule; the exploration has to
/// find a counterexample for each of them.
pub trait SwitchRules: Clone + Eq + std::hash::Hash {
    /// Whether an engine does not start a step that its agent holds.
    const HOLDS: bool;
    /// Whether an agent refuses messages for another of its incarnations.
    const CHECKS_INCARNATION: bool;
}

/// Agents and engines that follow all rules.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sound;

impl SwitchRules for Sound {
    const HOLDS: bool = true;
    const CHECKS_INCARNATION: bool = true;
}

/// Engines that start held steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoHold;

impl SwitchRules for NoHold {
    const HOLDS: bool = false;
    const CHECKS_INCARNATION: bool = true;
}

/// Agents that accept messages for any of their incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NoIncarnation;

impl SwitchRules for NoIncarnation {
    const HOLDS: bool = true;
    const CHECKS_INCARNATION: bool = false;
}

/// Bounds of the exploration: except for `steps` and `old_coordinators`, the number of times that
/// each fault or action may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of steps that each engine runs.
    pub steps: u64,
    /// Restarts of the agent of rank 0 with a new coordinator.
    pub failovers: u8,
    /// Restarts of other agents.
    pub restarts: u8,
    /// Switches that are started.
    pub switches: u8,
    /// Switches that are cancelled before their decision.
    pub cancels: u8,
    /// Messages that arrive twice.
    pub duplicates: u8,
    /// Rounds in which a coordinator resends messages without an answer.
    pub resends: u8,
    /// Rounds in which a rank queries others for a decision or the newest ballot.
    pub queries: u8,
    /// Whether old incarnations of the coordinator act beside the newest one.
    pub old_coordinators: bool,
}

/// One rank: its agent and its engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    agent: Rank,
    engine: EngineState,
}

/// Sender or recipient of a message. Coordinators are numbered by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Address {
    Rank(usize),
    Coordinator(usize),
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Envelope {
    from: Address,
    to: Address,
    message: Message,
}

thread_local! {
    /// Envelopes by id; states store the ids, which keeps them small.
    static ENVELOPES: RefCell<EnvelopeTable> = RefCell::default();
}

/// Every envelope that any state has sent, each with its id.
#[derive(Default)]
struct EnvelopeTable {
    ids: HashMap<Envelope, u16>,
    envelopes: Vec<Envelope>,
}

/// The messages in flight, as sorted ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct InFlight(Vec<u16>);

impl InFlight {
    fn id(envelope: &Envelope) -> u16 {
        ENVELOPES.with_borrow_mut(|table| {
            if let Some(id) = table.ids.get(envelope) {
                return *id;
            }
            let id = table.envelopes.len() as u16;
            table.envelopes.push(envelope.clone());
            table.ids.insert(envelope.clone(), id);
            id
        })
    }

    fn remove(&mut self, envelope: &Envelope) {
        if let Ok(position) = self.0.binary_search(&Self::id(envelope)) {
            self.0.remove(position);
        }
    }

    fn insert(&mut self, envelope: &Envelope) {
        let id = Self::id(envelope);
        if let Err(position) = self.0.binary_search(&id) {
            self.0.insert(position, id);
        }
    }

    /// Returns the messages in the order of [`Envelope`], which does not depend on their ids.
    fn sorted(&self) -> Vec<Envelope> {
        let mut list: Vec<Envelope> = ENVELOPES.with_borrow(|table| {
            self.0.iter().map(|id| table.envelopes[usize::from(*id)].clone()).collect()
        });
        list.sort();
        list
    }
}

/// State of one group: its ranks, its coordinators and the messages in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SwitchModel<R> {
    nodes: Vec<Node>,
    /// Incarnations of the coordinator, the newest last; [`Bounds::old_coordinators`] determines
    /// whether the older ones act.
    coordinators: Vec<Coordinator>,
    in_flight: InFlight,
    /// Map with which the first rank started each step.
    step_maps: BTreeMap<u64, MapVersion>,
    bounds: Bounds,
    /// Whether a step started with two maps.
    mixed_maps: bool,
    rules: PhantomData<R>,
}

impl<R> SwitchModel<R>
where
    R: SwitchRules,
{
    /// Creates the initial state of a group of `ranks` ranks with its first coordinator.
    pub fn new(ranks: usize, bounds: Bounds) -> Self {
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
            in_flight: InFlight::default(),
            step_maps: BTreeMap::new(),
            bounds,
            mixed_maps: false,
            rules: PhantomData,
        };
        model.add_coordinator(1);
        model
    }

    /// Creates a group whose first coordinator has collected all ranks, which have loaded the next
    /// map, so that the exploration spends its states on the switch itself.
    pub fn prepared(ranks: usize, bounds: Bounds) -> Self {
        let mut model = Self::new(ranks, bounds);
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
        model.in_flight = InFlight::default();
        model
    }

    /// Creates a group whose ranks have all accepted and whose first coordinator has decided to
    /// switch. Its decisions are in flight, and so are late duplicates of its first messages.
    pub fn decided(ranks: usize, bounds: Bounds) -> Self {
        let mut model = Self::prepared(ranks, bounds);
        let outbox = model.coordinators[0].propose(1);
        model.send(0, outbox);
        while matches!(model.coordinators[0].phase(), Phase::Proposing { .. }) {
            for envelope in model.in_flight.sorted() {
                model.in_flight.remove(&envelope);
                model.deliver(&envelope);
            }
        }
        for (rank, message) in Coordinator::new(ranks, 0, 1).resend() {
            if let (1.., Message::Collect { ballot }) = (rank, &message) {
                let to = model.nodes[rank as usize].agent.incarnation();
                let adopt = Message::Adopt { ballot: *ballot, to };
                model.send(0, vec![(rank, message), (rank, adopt)]);
            }
        }
        model
    }

    /// Creates a group as in [`SwitchModel::decided`] whose coordinator has crashed before any
    /// decision arrived, and whose new coordinator has collected all ranks and so decided not to
    /// switch. The old decisions are still in flight.
    pub fn recovered(ranks: usize, bounds: Bounds) -> Self {
        let mut model = Self::decided(ranks, bounds);
        let late = std::mem::take(&mut model.in_flight);
        model.restart_agent(0);
        model.add_coordinator(2);
        while matches!(model.coordinators[1].phase(), Phase::Collecting) {
            model.exchange_once();
            for rank in 0..ranks {
                for query in model.queries(rank) {
                    model.send_query(rank, &query);
                }
            }
        }
        model.in_flight = late;
        let outbox = model.coordinators[1].resend();
        model.send(1, outbox);
        model
    }

    /// Returns the number of maps with which steps started.
    pub fn maps_used(&self) -> usize {
        self.step_maps.values().collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of steps that every rank has finished.
    pub fn steps_done(&self) -> u64 {
        self.nodes.iter().map(|node| node.engine.step).min().unwrap_or(0)
    }

    fn add_coordinator(&mut self, nonce: u64) {
        let step = self.nodes[0].engine.step;
        let coordinator = Coordinator::new(self.nodes.len(), step, nonce);
        let outbox = coordinator.resend();
        self.coordinators.push(coordinator);
        self.send(self.coordinators.len() - 1, outbox);
    }

    /// Puts the messages of a coordinator in flight.
    fn send(&mut self, coordinator: usize, outbox: Vec<(u32, Message)>) {
        for (rank, message) in outbox {
            let from = Address::Coordinator(coordinator);
            self.in_flight.insert(&Envelope { from, to: Address::Rank(rank as usize), message });
        }
    }

    /// Delivers a message and puts its answer to the sender in flight.
    fn deliver(&mut self, envelope: &Envelope) {
        match envelope.to {
            Address::Rank(rank) => {
                if let Some(message) = self.deliver_to_rank(rank, &envelope.message) {
                    let (from, to) = (envelope.to, envelope.from);
                    self.in_flight.insert(&Envelope { from, to, message });
                }
            }
            Address::Coordinator(index) => {
                if !self.bounds.old_coordinators && index + 1 < self.coordinators.len() {
                    return;
                }
                if let Some(coordinator) = self.coordinators.get_mut(index) {
                    let outbox = coordinator.handle(&envelope.message);
                    coordinator.take_events();
                    self.send(index, outbox);
                }
            }
        }
    }

    fn deliver_to_rank(&mut self, rank: usize, message: &Message) -> Option<Message> {
        let node = &mut self.nodes[rank];
        let message = if R::CHECKS_INCARNATION {
            message.clone()
        } else {
            readdressed(message, node.agent.incarnation())
        };
        let action = node.agent.handle(&message, &node.engine);
        let applied = action.order.is_none_or(|order| node.engine.apply(order));
        if applied {
            action.done
        } else {
            action.failed
        }
    }

    /// Sends a query of a rank to the other ranks and the newest coordinator.
    fn send_query(&mut self, rank: usize, query: &Message) {
        let peers = (0..self.nodes.len()).filter(|peer| *peer != rank).map(Address::Rank);
        let newest = Address::Coordinator(self.coordinators.len() - 1);
        let recipients: Vec<Address> = peers.chain([newest]).collect();
        for to in recipients {
            let from = Address::Rank(rank);
            self.in_flight.insert(&Envelope { from, to, message: query.clone() });
        }
    }

    /// Returns the queries that a rank has for others now.
    fn queries(&self, rank: usize) -> Vec<Message> {
        let node = &self.nodes[rank];
        node.agent.learn_query().into_iter().chain(node.agent.blocked_query(&node.engine)).collect()
    }

    /// Starts the next step at a rank; returns false if the rank is ahead of the slowest one, has
    /// run all steps or holds the step.
    fn start_step(&mut self, rank: usize) -> bool {
        let slowest = self.steps_done();
        let engine = &mut self.nodes[rank].engine;
        let step = engine.step;
        let held = R::HOLDS && engine.hold.is_some_and(|hold| hold.step <= step);
        if step > slowest || step >= self.bounds.steps || held {
            return false;
        }
        if let Some(hold) = engine.scheduled.filter(|hold| hold.step == step) {
            engine.map = hold.version;
        }
        engine.step += 1;
        let map = engine.map;
        let first = *self.step_maps.entry(step).or_insert(map);
        self.mixed_maps |= first != map;
        true
    }

    fn coordinator_transitions(&self, index: usize, next: &mut Vec<Self>) {
        let phase = self.coordinators[index].phase();
        match phase {
            Phase::Idle if self.bounds.switches > 0 => {
                let mut after = self.clone();
                after.bounds.switches -= 1;
                after.coordinators[index].prepare(empty_map());
                let outbox = after.coordinators[index].resend();
                after.send(index, outbox);
                next.push(after);
            }
            Phase::Preparing { .. } => {
                let mut after = self.clone();
                let step = after.coordinators[index].step() + 1;
                let outbox = after.coordinators[index].propose(step);
                after.send(index, outbox);
                push_changed(self, after, next);
            }
            _ => {}
        }
        let undecided = matches!(phase, Phase::Preparing { .. } | Phase::Proposing { .. });
        if undecided && self.bounds.cancels > 0 {
            let mut after = self.clone();
            after.bounds.cancels -= 1;
            let outbox = after.coordinators[index].cancel();
            after.send(index, outbox);
            next.push(after);
        }
        if self.bounds.resends > 0 {
            let mut after = self.clone();
            let outbox = after.coordinators[index].resend();
            after.send(index, outbox);
            if after != *self {
                after.bounds.resends -= 1;
                next.push(after);
            }
        }
    }

    fn message_transitions(&self, envelope: &Envelope, next: &mut Vec<Self>) {
        let mut after = self.clone();
        after.in_flight.remove(envelope);
        let mut duplicated = after.clone();
        after.deliver(envelope);
        next.push(after);
        if self.bounds.duplicates > 0 {
            duplicated.bounds.duplicates -= 1;
            duplicated.deliver(envelope);
            duplicated.in_flight.insert(envelope);
            next.push(duplicated);
        }
    }

    fn rank_transitions(&self, rank: usize, next: &mut Vec<Self>) {
        let mut after = self.clone();
        if after.start_step(rank) {
            next.push(after);
        }
        if self.bounds.queries > 0 {
            for query in self.queries(rank) {
                let mut after = self.clone();
                after.bounds.queries -= 1;
                after.send_query(rank, &query);
                next.push(after);
            }
        }
        if rank > 0 && self.bounds.restarts > 0 {
            let mut after = self.clone();
            after.bounds.restarts -= 1;
            after.restart_agent(rank);
            next.push(after);
        }
        if rank == 0 && self.bounds.failovers > 0 {
            let mut after = self.clone();
            after.bounds.failovers -= 1;
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

    /// Returns true if all ranks finish all steps from this state, given the newest coordinator, no
    /// further faults and the delivery of every message.
    pub fn can_finish(&self) -> bool {
        const ROUNDS_MAX: usize = 1_000;
        let mut state = self.clone();
        state.bounds.switches = 0;
        for _ in 0..ROUNDS_MAX {
            if state.steps_done() >= state.bounds.steps {
                return true;
            }
            state.settle_once();
        }
        false
    }

    /// Sends the unanswered messages of the newest coordinator and delivers the messages in flight
    /// once; their answers stay in flight.
    fn exchange_once(&mut self) {
        let newest = self.coordinators.len() - 1;
        let outbox = self.coordinators[newest].resend();
        self.send(newest, outbox);
        for envelope in self.in_flight.sorted() {
            self.in_flight.remove(&envelope);
            self.deliver(&envelope);
        }
    }

    /// Cancels an undecided switch, sends all queries, delivers the messages in flight once and
    /// starts steps where possible.
    fn settle_once(&mut self) {
        let newest = self.coordinators.len() - 1;
        let phase = self.coordinators[newest].phase();
        if matches!(phase, Phase::Preparing { .. } | Phase::Proposing { .. }) {
            let outbox = self.coordinators[newest].cancel();
            self.send(newest, outbox);
        }
        for rank in 0..self.nodes.len() {
            for query in self.queries(rank) {
                self.send_query(rank, &query);
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
        let oldest = if self.bounds.old_coordinators { 0 } else { newest };
        for index in oldest..=newest {
            self.coordinator_transitions(index, &mut next);
        }
        for envelope in self.in_flight.sorted() {
            self.message_transitions(&envelope, &mut next);
        }
        for rank in 0..self.nodes.len() {
            self.rank_transitions(rank, &mut next);
        }
        next
    }

    fn violation(&self) -> Option<String> {
        self.mixed_maps.then(|| "a step started with two maps".to_string())
    }

    fn is_done(&self) -> bool {
        self.steps_done() >= self.bounds.steps
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

/// Returns the message readdressed to `incarnation`.
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

/// Returns a map without layers: the model uses only its version.
fn empty_map() -> ExpertMap {
    ExpertMap { version: MapVersion(0), ranks: 0, slots: 0, layers: Vec::new() }
}
