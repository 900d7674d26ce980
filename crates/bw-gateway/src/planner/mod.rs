//! Plans expert maps for the groups of model services and switches the groups to them.
//!
//! One gateway holds the planning duty. It samples the expert counts of a few ranks, and when
//! another map would shorten steps by more than a switch costs, it drives the switch.

mod calls;
mod decide;
mod group;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::Object;
use bw_duty::Lease;
use bw_expert::drive::Command;
use bw_expert::drive::CommandOutcome;
use bw_expert::drive::Phase;
use bw_expert::drive::RankCommand;
use bw_expert::drive::RANKS_MIN;
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

use self::calls::send_command;
use self::calls::Call;
use self::calls::Event;
use self::calls::Recipient;
use self::group::Group;
use self::group::Sampling;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::peers::SharedPeers;

/// Kind of the store objects that grant duties.
const LEASE_KIND: &str = "leases";
/// Name of the lease that grants the planning duty.
const LEASE_NAME: &str = "expert-maps";
/// Interval at which the duty and the list of groups are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a switch counts as stuck in a phase in which a step is held or may be held. The
/// gateway then resigns the duty, so that another gateway can finish the switch.
const STUCK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time before the expected start of the first step of a new map in which the step has to be held.
const HOLD_LEAD: Duration = Duration::from_millis(40);
/// Interval between queries of whether ranks have copied their experts.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Service that plans for the groups of all model services while this gateway holds the planning
/// duty.
pub struct PlanService {
    /// Instance of this gateway, entered into the lease as its holder.
    pub instance: String,
    /// Store with the lease.
    pub store: Store,
    /// Configuration in force.
    pub config: Config,
    /// Endpoints, which list the groups and their ranks.
    pub endpoints: Endpoints,
    /// State of the other gateways, and of the planning duty.
    pub peers: SharedPeers,
    /// Metrics of the gateway.
    pub metrics: GatewayMetrics,
    /// Clock of the process.
    pub clock: BootClock,
}

impl PlanService {
    /// Plans and drives switches until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let client = Client::new();
        let mut groups: BTreeMap<String, Group> = BTreeMap::new();
        // The fencing number with which the drivers of `groups` were created.
        let mut driven = None;
        let mut calls = FuturesUnordered::new();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    self.try_acquire_duty().await;
                    if self.peers.duty() != driven {
                        driven = self.peers.duty();
                        groups.clear();
                    }
                    if let Some(fence) = driven {
                        self.update_groups(&mut groups, fence);
                    }
                    self.report_paces(&groups);
                }
                Some(event) = calls.next() => self.handle_event(&mut groups, event),
                () = stop.wait() => return Ok(()),
            }
            // A driver that gave the duty up sends nothing more.
            if self.peers.duty().is_none() {
                groups.clear();
            }
            for group in groups.values_mut() {
                for call in self.advance(group, &client) {
                    calls.push(call);
                }
            }
        }
    }

    /// Reports the slow ranks to this gateway's endpoint table, from which the news to the other
    /// gateways takes them.
    fn report_paces(&self, groups: &BTreeMap<String, Group>) {
        let slow = groups.values().flat_map(Group::slow_ranks);
        self.endpoints.set_paces(slow.collect());
    }

    /// Tries to acquire the duty when its holder is silent.
    async fn try_acquire_duty(&self) {
        let now = self.clock.now();
        if !self.peers.should_acquire_duty(now) || self.config.current().is_none() {
            return;
        }
        match self.acquire_lease().await {
            Ok(Some(fence)) => {
                info!("event=duty_taken duty={LEASE_NAME} fence={fence}");
                self.peers.acquire_duty(fence);
            }
            Ok(None) => self.peers.record_duty_failure(self.clock.now()),
            Err(error) => {
                warn!("event=duty_unsettled duty={LEASE_NAME} reason=\"{error}\"");
                self.peers.record_duty_failure(self.clock.now());
            }
        }
    }

    /// Acquires the lease by a conditional write that raises its fencing number; returns `None` when
    /// another gateway was first, or the store has lost what was read.
    async fn acquire_lease(&self) -> Result<Option<Fence>, StoreError> {
        let (known, era) = self.store.get_in_era(Purpose::Lease, LEASE_KIND, LEASE_NAME).await?;
        let revision = known.as_ref().map_or(0, |object| object.revision);
        let lease = known.map(|object| object.content::<Lease>()).transpose()?.unwrap_or_default();
        let fence = self.peers.next_duty(lease.fence, era);
        let next = Lease { holder: self.instance.clone(), fence, renewal: 0 };
        let object = Object::new(LEASE_KIND, LEASE_NAME, revision, &next)?;
        match self.store.put_in_era(Purpose::Lease, &object).await {
            Ok((_, written)) if written == era => Ok(Some(fence)),
            // The revision was given out again; another holder may have the number.
            Ok(_) => Ok(None),
            Err(StoreError::Conflict) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Updates the groups from the configuration and the endpoint list. The driver of a group with
    /// a new incarnation reads the state of all ranks again.
    ///
    /// Keeps the drivers of groups that are not listed for a time, because a second driver under the
    /// same lease would not know which commands of the first one are still on the way.
    fn update_groups(&self, groups: &mut BTreeMap<String, Group>, fence: Fence) {
        let Some(catalog) = self.config.current() else { return };
        let now = self.clock.now();
        let mut views = BTreeMap::new();
        for (_, service) in catalog.services.iter() {
            let Some(engine) = &service.engine else { continue };
            let Some(shape) = &engine.experts else { continue };
            let pause = catalog.shortest_pause(&service.name).unwrap_or_default();
            for view in self.endpoints.groups(&service.name, now) {
                if view.ranks.len() >= usize::from(RANKS_MIN) {
                    views.insert(view.name.clone(), (view, engine.clone(), shape.clone(), pause));
                }
            }
        }
        for (name, group) in groups.iter_mut() {
            if !views.contains_key(name) {
                group.view.ranks.fill(None);
            }
        }
        for (name, (view, engine, shape, pause)) in views {
            match groups.get_mut(&name) {
                Some(group) if group.view.ranks.len() == view.ranks.len() => {
                    let changed = group.view.epoch != view.epoch;
                    group.view = view;
                    group.max_pause = pause;
                    if changed && group.driver.epoch() != Some(group.view.epoch) {
                        group.driver.reread();
                    }
                }
                Some(_) => {
                    info!("event=group_resized group={name} ranks={}", view.ranks.len());
                    self.peers.resign_duty(now);
                }
                None => {
                    let mut group = Group::new(view, &engine, shape, fence, now);
                    group.max_pause = pause;
                    groups.insert(name, group);
                }
            }
        }
    }

    /// Applies the outcome of a call or of the computation of a plan.
    fn handle_event(&self, groups: &mut BTreeMap<String, Group>, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Answered(name, command, outcome, took) => {
                let Some(group) = groups.get_mut(&name) else { return };
                if outcome != CommandOutcome::Unknown {
                    group.hearing.record(now);
                    match carries_map(&command) {
                        true => group.map_patience.record(took),
                        false => group.patience.record(took),
                    }
                }
                if matches!(outcome, CommandOutcome::Refused | CommandOutcome::Stale) {
                    info!(
                        "event=order_refused group={name} rank={} order={:?} epoch={} \
                         outcome={outcome:?} phase={:?} step={}",
                        command.rank,
                        command.command,
                        command.epoch,
                        group.driver.phase(),
                        group.steps.last_step()
                    );
                }
                group.driver.handle_outcome(&command, outcome);
            }
            Event::Reported(name, rank, report, asked_at) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.pending_reads = group.pending_reads.saturating_sub(1);
                if let Some(report) = report {
                    group.hearing.record(now);
                    let state = report.state;
                    self.record_step(group, state.step, now.saturating_sub(group.report_lag));
                    if asked_at >= group.fresh_after {
                        group.driver.handle_report(rank, state);
                    }
                    group.record_pace(rank, report.pace);
                    // Version 0 is the map that engines use before the first switch.
                    if group.driver.phase() != Phase::Reading && state.map == MapVersion(0) {
                        group.map = Some(group.initial_map());
                    }
                }
            }
            Event::Counted(name, rank, counts) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.pending_counts = group.pending_counts.saturating_sub(1);
                if let Some(counts) = counts {
                    group.hearing.record(now);
                    self.record_step(group, counts.step, now);
                    match group.sampling {
                        Sampling::Rebase => {
                            group.sampler.rebase(rank, counts.epoch, &counts.counts);
                        }
                        Sampling::Steady | Sampling::Shift | Sampling::Refine => {
                            group.sampler.add_counts(rank, counts.epoch, &counts.counts);
                        }
                    }
                }
                if group.pending_counts == 0 && group.sampling == Sampling::Rebase {
                    group.sampling = Sampling::Shift;
                }
            }
            Event::Planned(name, plan) => {
                if let Some(group) = groups.get_mut(&name) {
                    self.apply_plan(group, plan, now);
                }
            }
            Event::HeldExperts(name, rank, held) => {
                let Some(group) = groups.get_mut(&name) else { return };
                group.pending_reads = group.pending_reads.saturating_sub(1);
                if let Some(held) = held {
                    group.hearing.record(now);
                    if let Err(error) = group.record_held(rank, held) {
                        self.metrics.record_invalid("held_experts");
                        warn!(
                            "event=held_experts_invalid group={name} rank={rank} reason=\"{error}\""
                        );
                    }
                }
            }
        }
    }

    /// Records a step that a rank has reported.
    fn record_step(&self, group: &mut Group, step: u64, at: Duration) {
        if !group.steps.record(step, at) {
            self.metrics.record_invalid("step");
            warn!(
                "event=step_doubted group={} step={step} last={}",
                group.view.name,
                group.steps.last_step()
            );
        }
    }

    /// Enters the driver's phase if it has changed, and counts the change.
    fn update_phase(&self, group: &mut Group, now: Duration) {
        if group.driver.phase() != group.phase {
            self.metrics.record_switch(phase_label(group.driver.phase()));
            group.enter_phase(now);
            match group.phase {
                Phase::Replaced => {
                    info!("event=duty_lost duty={LEASE_NAME} group={}", group.view.name);
                    self.peers.resign_duty(now);
                }
                Phase::Contested => {
                    let holders = group.driver.known_holders();
                    warn!(
                        "event=duty_contested duty={LEASE_NAME} group={} holders={holders} \
                         reason=\"the store has lost an earlier lease\"",
                        group.view.name
                    );
                    self.peers.renew_duty(holders, now);
                }
                _ => {}
            }
        }
    }

    /// Returns the calls that a group needs now.
    fn advance(&self, group: &mut Group, client: &Client) -> Vec<Call> {
        let now = self.clock.now();
        let mut calls: Vec<Call> = Vec::new();
        self.update_phase(group, now);
        if group.driver.may_stall_group() && now.saturating_sub(group.phase_since) > STUCK_TIMEOUT {
            warn!("event=switch_stuck group={} phase={:?}", group.view.name, group.phase);
            self.peers.resign_duty(now);
            return calls;
        }
        if !group.is_asking() {
            group.hearing.record(now);
        }
        if group.hearing.is_cut_off(now) {
            warn!("event=ranks_unheard group={} phase={:?}", group.view.name, group.phase);
            self.peers.resign_duty(now);
            return calls;
        }
        let jumped = self.endpoints.has_step_jumped(&group.view.name, now);
        if group.are_reports_due(jumped, now) {
            group.request_reports(client, now, &mut calls);
        }
        match group.phase {
            Phase::Idle => self.plan(group, client, now, &mut calls),
            Phase::Preparing => {
                if group.driver.is_prepared() {
                    let observed = self.endpoints.step_length(&group.view.name, now);
                    let step = group.steps.expected(observed, now + HOLD_LEAD).saturating_add(1);
                    group.switch_step = step;
                    group.driver.hold(step);
                } else if now >= group.copy_poll {
                    group.copy_poll = now + COPY_POLL_INTERVAL;
                    group.driver.poll();
                }
            }
            _ => {}
        }
        self.update_phase(group, now);
        if group.map_to_prepare().is_none() {
            group.request_held_experts(client, now, &mut calls);
            return calls;
        }
        for command in group.due_commands() {
            let Some(rank) = group.view.rank(command.rank) else {
                group.driver.handle_outcome(&command, CommandOutcome::Unknown);
                continue;
            };
            let body = match group.encode_order(&command) {
                Ok(body) => body,
                Err(error) => {
                    warn!("event=order_unsent rank={} reason=\"{error}\"", rank.address);
                    continue;
                }
            };
            let wait = if carries_map(&command) {
                group.map_patience.wait()
            } else {
                group.patience.wait()
            };
            let (client, name) = (client.clone(), group.view.name.clone());
            let recipient =
                Recipient { name: self.endpoints.name(rank.key), address: rank.address };
            calls.push(Box::pin(send_command(client, name, recipient, command, body, wait)));
        }
        calls
    }
}

/// Returns whether a command carries a map, which takes longer to send to many ranks than the others.
fn carries_map(command: &RankCommand) -> bool {
    matches!(command.command, Command::Prepare(_))
}

/// Returns the label of a phase in metrics.
fn phase_label(phase: Phase) -> &'static str {
    match phase {
        Phase::Reading => "reading",
        Phase::Claiming => "claiming",
        Phase::Disarming => "disarming",
        Phase::Superseding => "superseding",
        Phase::Idle => "idle",
        Phase::Preparing => "preparing",
        Phase::Holding => "holding",
        Phase::Arming => "arming",
        Phase::Releasing => "releasing",
        Phase::Settling => "settling",
        Phase::Replaced => "replaced",
        Phase::Contested => "contested",
    }
}
