//! Plans expert maps for the groups of model services, and switches to them.
//!
//! One gateway holds the duty. It reads the counts of a few ranks, and when another map would make
//! steps shorter by more than a switch costs, it drives the switch.

mod calls;
mod decide;
mod group;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::engines;
use bw_adapter::Object;
use bw_duty::Lease;
use bw_expert::drive::Answer;
use bw_expert::drive::Phase;
use bw_http::Client;
use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_model::Fence;
use bw_model::MapVersion;
use bw_platform::Purpose;
use bw_platform::Store;
use bw_platform::StoreError;
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use log::info;
use log::warn;

use self::calls::send_order;
use self::calls::Call;
use self::calls::Event;
use self::group::Group;
use self::group::Sampling;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::peers::SharedPeers;

/// Kind of the objects that give duties.
const LEASES: &str = "leases";
/// Name of the lease for planning.
const LEASE: &str = "expert-maps";
/// Time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(50);
/// Time for which a switch may be stuck before another gateway should try.
const STUCK_MAX: Duration = Duration::from_millis(1_500);
/// Steps between the present one and the one of a switch.
const STEP_MARGIN: u64 = 2;
/// Time between two questions whether a rank has received its experts.
const COPY_POLL: Duration = Duration::from_millis(60);

/// Plans for the groups of all model services while this gateway holds the duty.
pub struct PlanService {
    /// Instance of the gateway.
    pub instance: String,
    /// The store.
    pub store: Store,
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: SharedPeers,
    /// Counters.
    pub metrics: GatewayMetrics,
    /// Clock of the process.
    pub clock: BootClock,
}

impl PlanService {
    /// Plans until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let client = Client::new();
        let mut groups: BTreeMap<String, Group> = BTreeMap::new();
        let mut calls = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    self.hold_duty().await;
                    match self.peers.duty() {
                        Some(fence) => self.follow_groups(&mut groups, fence),
                        None => groups.clear(),
                    }
                    self.share_paces(&groups);
                }
                Some(event) = calls.next() => self.take(&mut groups, event),
                () = stop.wait() => return Ok(()),
            }
            for group in groups.values_mut() {
                for call in self.advance(group, &client) {
                    calls.push(call);
                }
            }
        }
    }

    /// Tells this gateway's endpoints, and with its news all others, which ranks are slow.
    fn share_paces(&self, groups: &BTreeMap<String, Group>) {
        let slow = groups.values().flat_map(Group::slow_ranks);
        self.endpoints.set_paces(slow.collect());
    }

    /// Takes the duty over when its holder is silent.
    async fn hold_duty(&self) {
        let now = self.clock.now();
        if !self.peers.should_acquire_duty(now) || self.config.current().is_none() {
            return;
        }
        match self.take_lease().await {
            Ok(Some(fence)) => {
                info!("event=duty_taken duty={LEASE} fence={fence}");
                self.peers.acquire_duty(fence);
            }
            Ok(None) => self.peers.record_duty_failure(self.clock.now()),
            Err(error) => {
                warn!("event=duty_unsettled duty={LEASE} reason=\"{error}\"");
                self.peers.record_duty_failure(self.clock.now());
            }
        }
    }

    /// Raises the lease's fencing number by conditional write; `None` when another was first.
    async fn take_lease(&self) -> Result<Option<Fence>, StoreError> {
        let known = self.store.get(Purpose::Lease, LEASES, LEASE).await?;
        let revision = known.as_ref().map_or(0, |object| object.revision);
        let lease = known.map(|object| object.content::<Lease>()).transpose()?.unwrap_or_default();
        let fence = Fence(lease.fence.0 + 1);
        let next = Lease { holder: self.instance.clone(), fence, renewal: 0 };
        let object = Object::new(LEASES, LEASE, revision, &next)?;
        match self.store.put(Purpose::Lease, &object).await {
            Ok(_) => Ok(Some(fence)),
            Err(StoreError::Conflict) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Follows the list of groups.
    fn follow_groups(&self, groups: &mut BTreeMap<String, Group>, fence: Fence) {
        let Some(catalog) = self.config.current() else { return };
        let now = self.clock.now();
        let mut views = BTreeMap::new();
        for (_, service) in catalog.services.iter() {
            let Some(engine) = &service.engine else { continue };
            let Some(shape) = &engine.experts else { continue };
            let pause = catalog.shortest_pause(&service.name).unwrap_or_default();
            for view in self.endpoints.groups(&service.name, now) {
                views.insert(view.name.clone(), (view, engine.clone(), shape.clone(), pause));
            }
        }
        groups.retain(|name, _| views.contains_key(name));
        for (name, (view, engine, shape, pause)) in views {
            match groups.get_mut(&name) {
                Some(group) if group.view.ranks.len() == view.ranks.len() => {
                    let changed = group.view.epoch != view.epoch;
                    group.view = view;
                    group.pause = pause;
                    if changed && group.driver.epoch() != Some(group.view.epoch) {
                        group.driver.reread();
                    }
                }
                _ => {
                    let mut group = Group::new(view, &engine, shape, fence, now);
                    group.pause = pause;
                    groups.insert(name, group);
                }
            }
        }
    }

    /// Takes what a call brought.
    fn take(&self, groups: &mut BTreeMap<String, Group>, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Answered(name, sending, answer) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.driver.handle_answer(&sending, answer);
                if group.driver.phase() == Phase::Replaced {
                    info!("event=duty_lost duty={LEASE} group={name} fence={}", sending.fence);
                    self.peers.resign_duty(now);
                }
            }
            Event::Reported(name, rank, report) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.pending = group.pending.saturating_sub(1);
                if let Some(report) = report {
                    let state = report.state;
                    group.note_step(state.step, now.saturating_sub(group.lag));
                    group.driver.handle_report(rank, state);
                    if let Some(pace) = group.paces.get_mut(usize::from(rank)) {
                        *pace = report.pace.max(1.0);
                    }
                    if group.driver.phase() != Phase::Reading && state.map == MapVersion(0) {
                        group.map = Some(group.first_map());
                    }
                }
            }
            Event::Counted(name, rank, counts) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.counting = group.counting.saturating_sub(1);
                if let Some(counts) = counts {
                    group.note_step(counts.step, now);
                    match group.sampling {
                        Sampling::Rebase => {
                            group.sampler.rebase(rank, counts.epoch, &counts.counts);
                        }
                        Sampling::Steady | Sampling::Shifted | Sampling::Refining => {
                            group.sampler.add_counts(rank, counts.epoch, &counts.counts);
                        }
                    }
                }
                if group.counting == 0 && group.sampling == Sampling::Rebase {
                    group.sampling = Sampling::Shifted;
                }
            }
            Event::Planned(name, plan) => {
                if let Some(group) = groups.get_mut(&name) {
                    self.take_plan(group, plan, now);
                }
            }
            Event::Held(name, rank, held) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.pending = group.pending.saturating_sub(1);
                if let Some(held) = held {
                    group.reading.insert(rank, held);
                    group.join_map();
                }
            }
        }
    }

    /// Counts and enters the driver's phase where it has changed.
    fn follow_phase(&self, group: &mut Group, now: Duration) {
        if group.driver.phase() != group.phase {
            self.metrics.record_switch(phase_name(group.driver.phase()));
            group.enter(now);
        }
    }

    /// Calls that a group needs now.
    fn advance(&self, group: &mut Group, client: &Client) -> Vec<Call> {
        let now = self.clock.now();
        let mut calls: Vec<Call> = Vec::new();
        self.follow_phase(group, now);
        let stuck = matches!(group.phase, Phase::Holding | Phase::Arming | Phase::Disarming);
        if stuck && now.saturating_sub(group.since) > STUCK_MAX {
            warn!("event=switch_stuck group={} phase={:?}", group.view.name, group.phase);
            self.peers.resign_duty(now);
            return calls;
        }
        match group.phase {
            Phase::Reading if group.may_read(now) => {
                group.since = now;
                group.push_reports(client, &mut calls);
            }
            Phase::Idle => self.plan(group, client, now, &mut calls),
            Phase::Preparing => {
                if group.driver.is_prepared() {
                    let step = group.step_at(now) + STEP_MARGIN;
                    group.target = step;
                    group.driver.hold(step, 0);
                } else if now >= group.copied {
                    group.copied = now + COPY_POLL;
                    group.driver.poll();
                }
            }
            _ => {}
        }
        self.follow_phase(group, now);
        let map = group.next.as_deref().unwrap_or(&[]);
        for sending in group.driver.due_commands() {
            let Some(address) = group.view.address(sending.rank) else {
                group.driver.handle_answer(&sending, Answer::Unknown);
                continue;
            };
            let body = engines::encode_order(&sending, map);
            calls.push(Box::pin(send_order(
                client.clone(),
                group.view.name.clone(),
                address,
                sending,
                body,
            )));
        }
        calls
    }
}

/// Name of a phase in metrics.
fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Fencing => "fencing",
        Phase::Reading => "reading",
        Phase::Clearing => "clearing",
        Phase::Idle => "idle",
        Phase::Preparing => "preparing",
        Phase::Holding => "holding",
        Phase::Arming => "arming",
        Phase::Disarming => "disarming",
        Phase::Releasing => "releasing",
        Phase::Replaced => "replaced",
    }
}
