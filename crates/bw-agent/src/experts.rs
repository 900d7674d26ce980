//! Expert-map switches, carried out together with the agents of the group's other ranks.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bw_duty::fencing::FenceVerdict;
use bw_duty::FenceGuard;
use bw_expert::switch::Event;
use bw_expert::switch::Phase;
use bw_expert::Coordinator;
use bw_expert::EngineOrder;
use bw_expert::GroupReport;
use bw_expert::Message;
use bw_expert::Order;
use bw_expert::OrderReply;
use bw_expert::Rank;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_model::Fence;
use bw_model::Incarnation;
use bw_platform::LeaseObject;
use bw_platform::Purpose;
use bw_platform::Store;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use bw_proto::AgentView;
use futures::future::join_all;
use log::info;
use log::warn;
use tokio::sync::Mutex;

use crate::engine::Engine;
use crate::error::AgentError;
use crate::view::CurrentView;

/// Time between two rounds of proposals, resends and queries.
const TICK: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Rounds of messages and replies in one tick.
const ROUNDS_MAX: usize = 8;
/// Ticks after which an undecided switch is cancelled (5 minutes).
const UNDECIDED_TICKS_MAX: u32 = 3_000;

/// Takes part in the switches of the group's expert map, and coordinates them at rank 0.
#[derive(Clone)]
pub struct MapManager {
    incarnation: Incarnation,
    pool: Pool,
    store: Option<Store>,
    margin_steps: u64,
    view: CurrentView,
    state: Arc<Mutex<State>>,
}

/// State of the current incarnation, which a restart of the agent loses.
#[derive(Default)]
struct State {
    rank: Option<Rank>,
    coordinator: Option<Coordinator>,
    fence: FenceGuard,
    /// Version of the map whose weights are being loaded.
    loading: Option<bw_model::MapVersion>,
    /// Ticks since the current switch started.
    ticks: u32,
}

impl MapManager {
    /// Creates the manager of a new incarnation. `margin_steps` is the number of engine steps
    /// between a proposal and the switch.
    pub fn new(
        incarnation: Incarnation,
        pool: Pool,
        store: Option<Store>,
        margin_steps: u64,
        view: CurrentView,
    ) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        Self { incarnation, pool, store, margin_steps, view, state }
    }

    /// Proposes switches, resends messages and queries decisions until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    if let Some(view) = self.group_view() {
                        if let Err(error) = self.tick(&view).await {
                            warn!("event=switch_delayed reason=\"{error}\"");
                        }
                    }
                }
                () = stop.wait() => return Ok(()),
            }
        }
    }

    /// Handles a message of another rank's agent and returns the replies to it.
    pub async fn handle(&self, message: Message) -> Vec<Message> {
        let Some(view) = self.group_view() else {
            return Vec::new();
        };
        match self.handle_for(&view, message).await {
            Ok(replies) => replies,
            Err(error) => {
                warn!("event=switch_message_unanswered reason=\"{error}\"");
                Vec::new()
            }
        }
    }

    /// Handles the planner's order to switch to another map. Only rank 0 accepts it.
    pub async fn order(&self, order: Order) -> OrderReply {
        let Some(view) = self.group_view() else {
            return OrderReply::Unfit;
        };
        let experts = view.shape.map_or(0, |shape| shape.experts as usize);
        if view.rank != 0 || order.map.check(experts).is_err() {
            return OrderReply::Unfit;
        }
        self.learn_fence(&view).await;
        let mut state = self.state.lock().await;
        match state.fence.check(order.fence) {
            FenceVerdict::Stale(known) => return OrderReply::Stale(known),
            FenceVerdict::Unlearned => return OrderReply::Unlearned,
            FenceVerdict::Pass => {}
        }
        let Some(coordinator) = &mut state.coordinator else {
            return OrderReply::Busy;
        };
        match coordinator.prepare(order.map) {
            Some(version) => {
                state.ticks = 0;
                info!("event=switch_begun endpoint={} map={version}", view.endpoint);
                OrderReply::Begun(version)
            }
            None => OrderReply::Busy,
        }
    }

    /// Returns the group's demand and state for the planner.
    pub async fn report(&self) -> GroupReport {
        let Some(view) = self.group_view() else {
            return GroupReport::default();
        };
        let engine = Engine::new(view.backend);
        let busy = match &self.state.lock().await.coordinator {
            Some(coordinator) => *coordinator.phase() != Phase::Idle,
            None => true,
        };
        let (map, state) = tokio::join!(engine.map(), engine.state());
        let demand = engine.demand().await.unwrap_or_default();
        let step = state.map_or(0, |state| state.step);
        GroupReport { map: map.ok().flatten(), step, busy, demand }
    }

    /// Returns the map version in force at this rank; 0 when it is unknown.
    pub async fn map_version(&self) -> bw_model::MapVersion {
        let Some(view) = self.group_view() else {
            return bw_model::MapVersion(0);
        };
        let state = Engine::new(view.backend).state().await;
        state.map_or(bw_model::MapVersion(0), |state| state.map)
    }

    fn group_view(&self) -> Option<Arc<AgentView>> {
        let view = self.view.borrow().clone();
        view.filter(|view| view.shape.is_some())
    }

    /// Reads the fencing number of the planner's lease if it is not known. After a restart no order
    /// is accepted before the number is known.
    async fn learn_fence(&self, view: &AgentView) {
        let Some(store) = &self.store else { return };
        if self.state.lock().await.fence.known().is_some() {
            return;
        }
        let mut object = LeaseObject::new(format!("plan-{}", view.endpoint));
        if let Ok(lease) = object.read(store, Purpose::Read).await {
            let fence = lease.unwrap_or_default().fence;
            // Holders of earlier eras may have lost their leases to others with a restore.
            self.state.lock().await.fence.learn(fence.max(Fence::new(object.era(), 0)));
        }
    }

    async fn tick(&self, view: &AgentView) -> Result<(), AgentError> {
        if view.rank == 0 {
            self.coordinate(view).await?;
        }
        let engine_state = Engine::new(view.backend).state().await?;
        let (learn, blocked) = {
            let mut state = self.state.lock().await;
            let rank = self.rank_mut(&mut state, view);
            (rank.learn_query(), rank.blocked_query(&engine_state))
        };
        if let Some(query) = learn {
            self.query_ranks(view, query).await;
        }
        if let Some(query) = blocked {
            self.query_ranks(view, query).await;
        }
        Ok(())
    }

    async fn coordinate(&self, view: &AgentView) -> Result<(), AgentError> {
        let step = Engine::new(view.backend).state().await?.step;
        let outbox = {
            let mut state = self.state.lock().await;
            state.ticks += 1;
            let ticks = state.ticks;
            let ranks = view.ranks.len();
            let coordinator = state
                .coordinator
                .get_or_insert_with(|| Coordinator::new(ranks, step, rand::random()));
            let mut outbox = coordinator.propose(step + self.margin_steps);
            if outbox.is_empty() {
                outbox = coordinator.resend();
            }
            let undecided =
                matches!(coordinator.phase(), Phase::Preparing { .. } | Phase::Proposing { .. });
            if undecided && ticks > UNDECIDED_TICKS_MAX {
                warn!("event=switch_given_up endpoint={}", view.endpoint);
                outbox = coordinator.cancel();
            }
            outbox
        };
        self.exchange(view, outbox).await;
        Ok(())
    }

    /// Sends messages to ranks and passes the replies to the coordinator, for a limited number of
    /// rounds. The coordinator resends messages that remain unanswered on the next tick.
    async fn exchange(&self, view: &AgentView, mut outbox: Vec<(u32, Message)>) {
        for _ in 0..ROUNDS_MAX {
            if outbox.is_empty() {
                return;
            }
            let mut calls = Vec::new();
            for (rank, message) in outbox.drain(..) {
                calls.push(self.send(view, rank, message));
            }
            let replies = join_all(calls).await;
            let mut state = self.state.lock().await;
            let Some(coordinator) = &mut state.coordinator else {
                return;
            };
            for reply in replies.into_iter().flatten() {
                outbox.extend(coordinator.handle(&reply));
            }
            log_events(view, coordinator.take_events());
        }
    }

    async fn send(&self, view: &AgentView, rank: u32, message: Message) -> Vec<Message> {
        if rank == view.rank {
            return self.handle_rank(view, &message).await.unwrap_or_default();
        }
        let Some(address) = view.ranks.get(rank as usize) else {
            return Vec::new();
        };
        self.call(*address, message).await
    }

    async fn call(&self, address: SocketAddr, message: Message) -> Vec<Message> {
        let Ok(bytes) = encode(&AgentRequest::Switch(message)) else {
            return Vec::new();
        };
        let Ok(reply) = self.pool.call(address, &bytes, CALL_TIMEOUT).await else {
            return Vec::new();
        };
        match decode(&reply) {
            Ok(AgentReply::Switch(messages)) => messages,
            _ => Vec::new(),
        }
    }

    /// Handles a message from another agent: at rank 0, passes a query for a decision to the
    /// coordinator; then handles the message at this rank.
    async fn handle_for(
        &self,
        view: &AgentView,
        message: Message,
    ) -> Result<Vec<Message>, AgentError> {
        let mut replies = Vec::new();
        if view.rank == 0 && matches!(message, Message::Blocked { .. }) {
            let mut state = self.state.lock().await;
            if let Some(coordinator) = &mut state.coordinator {
                let outbox = coordinator.handle(&message);
                replies.extend(outbox.into_iter().map(|(_, message)| message));
            }
        }
        replies.extend(self.handle_rank(view, &message).await?);
        Ok(replies)
    }

    /// Handles one message at this rank: reads the engine's state, sends the resulting order to the
    /// engine and returns the replies that match the outcome.
    async fn handle_rank(
        &self,
        view: &AgentView,
        message: &Message,
    ) -> Result<Vec<Message>, AgentError> {
        let engine = Engine::new(view.backend);
        // The lock is held throughout, so that no other message changes the engine's state between
        // reading it and sending the order.
        let mut state = self.state.lock().await;
        let before = engine.state().await?;
        let action = self.rank_mut(&mut state, view).handle(message, &before);
        let Some(order) = action.order else {
            return Ok(action.done.into_iter().collect());
        };
        if let EngineOrder::Load(map) = &order {
            // Loading can take minutes, so it runs in the background. The coordinator resends the
            // message until the engine's state shows the map.
            if state.loading != Some(map.version) {
                state.loading = Some(map.version);
                tokio::spawn(self.clone().load(engine, order));
            }
            return Ok(Vec::new());
        }
        let accepted = engine.order(&order).await?;
        let reply = if accepted { action.done } else { action.failed };
        Ok(reply.into_iter().collect())
    }

    async fn load(self, engine: Engine, order: EngineOrder) {
        let result = engine.order(&order).await;
        self.state.lock().await.loading = None;
        if let Err(error) = result {
            warn!("event=weights_not_loaded reason=\"{error}\"");
        }
    }

    /// Sends a query to the coordinator's rank, then to the other ranks, until one replies.
    async fn query_ranks(&self, view: &AgentView, query: Message) {
        let others = (0..view.ranks.len() as u32).filter(|rank| *rank != view.rank);
        for rank in others {
            let replies = self.send(view, rank, query.clone()).await;
            for reply in &replies {
                if let Ok(responses) = self.handle_rank(view, reply).await {
                    self.send_responses(view, rank, responses).await;
                }
            }
            if !replies.is_empty() {
                return;
            }
        }
    }

    /// Sends this rank's responses to a message that was received as a reply, back to the rank that
    /// sent it.
    async fn send_responses(&self, view: &AgentView, rank: u32, responses: Vec<Message>) {
        for response in responses {
            self.send(view, rank, response).await;
        }
    }

    fn rank_mut<'a>(&self, state: &'a mut State, view: &AgentView) -> &'a mut Rank {
        state.rank.get_or_insert_with(|| Rank::new(view.rank, self.incarnation))
    }
}

fn log_events(view: &AgentView, events: Vec<Event>) {
    let endpoint = &view.endpoint;
    for event in events {
        match event {
            Event::Collected => info!("event=ranks_collected endpoint={endpoint}"),
            Event::Settled { hold, commit } => {
                let decision = if commit { "commit" } else { "abort" };
                let (map, step) = (hold.version, hold.step);
                info!(
                    "event=switch_settled endpoint={endpoint} verdict={decision} map={map} step={step}"
                );
            }
            Event::StateLost { rank } => {
                warn!("event=rank_lost_state endpoint={endpoint} rank={rank}");
            }
        }
    }
}
