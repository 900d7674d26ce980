//! Plans expert maps for the groups of model services, and switches to them.
//!
//! One gateway holds the duty. It reads the counts of a few ranks, and when another map would make
//! steps shorter by more than a switch costs, it drives the switch.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::engines;
use bw_adapter::Object;
use bw_direct::catalog::Engine;
use bw_direct::catalog::ExpertShape;
use bw_duty::Lease;
use bw_expert::drive::Answer;
use bw_expert::drive::Driver;
use bw_expert::drive::Phase;
use bw_expert::drive::Sending;
use bw_expert::policy::replicas::improve;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankExperts;
use bw_expert::policy::replicas::Room;
use bw_expert::policy::sample::Moment;
use bw_expert::policy::sample::Sampler;
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
use hyper::Method;
use log::info;
use log::warn;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::endpoints::GroupView;
use crate::metrics::GatewayMetrics;
use crate::peers::PeerNews;

/// Kind of the objects that give duties.
const LEASES: &str = "leases";
/// Name of the lease for planning.
const LEASE: &str = "expert-maps";
/// Bits of a fencing number that a holder may use up by itself.
const FENCE_BITS: u32 = 24;
/// Time between two looks at what is to be done.
const TICK: Duration = Duration::from_millis(50);
/// Time between two readings of counts.
const SAMPLE_EVERY: Duration = Duration::from_millis(1_000);
/// Time between the two readings that show the new demand after steps have become longer.
const SAMPLE_SHIFT: Duration = Duration::from_millis(150);
/// Time after those to the one that shows it better.
const SAMPLE_REFINE: Duration = Duration::from_millis(400);
/// Part of the ranks that are read after a shift: one in so many.
const SHIFT_RANKS_PART: usize = 18;
/// Most ranks that are read then.
const SHIFT_RANKS_MAX: usize = 6;
/// Time between two readings of all ranks' reports.
const LOOK_EVERY: Duration = Duration::from_millis(1_500);
/// Pace from which a rank counts as slow.
const SLOW_PACE: f64 = 1.15;
/// Time after counts were read or a switch was begun in which longer steps mean no shift.
const JUMP_CALM: Duration = Duration::from_millis(350);
/// Time in which a rank answers an order.
const ORDER_LIMIT: Duration = Duration::from_millis(150);
/// Time in which a rank answers a reading.
const READ_LIMIT: Duration = Duration::from_millis(300);
/// Time for which a switch may be stuck before another gateway should try.
const STUCK_MAX: Duration = Duration::from_millis(1_500);
/// Steps between the present one and the one of a switch.
const STEP_MARGIN: u64 = 2;
/// Shortest and longest time that a step is taken to last.
const PACE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(1_000));
/// Steps beyond the last known one that are taken to have started at most.
const STEPS_AHEAD_MAX: u64 = 10;
/// Part of the mean load that a new map has to save on the busiest rank, averaged over the sets,
/// while steps are short against the longest timely pause.
const GAIN_MIN: f64 = 1.0;
/// The same while steps are so long that callers are close to being late.
const GAIN_URGENT: f64 = 0.20;
/// Parts of the longest timely pause that steps take, between which the gain falls.
const URGENCY: (f64, f64) = (0.45, 0.65);
/// Part of the mean load that a received expert has to save on the busiest rank of its set.
const COPY_PRICE: f64 = 0.015;
/// Time between two questions whether a rank has received its experts.
const COPY_POLL: Duration = Duration::from_millis(60);
/// Shortest time between two switches.
const SWITCH_PAUSE: Duration = Duration::from_millis(300);

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
    pub peers: PeerNews,
    /// Counters.
    pub metrics: GatewayMetrics,
    /// Clock of the process.
    pub clock: BootClock,
}

/// What a call to a rank brought.
enum Event {
    Answered(String, Sending, Answer),
    Reported(String, u16, Option<engines::RankReport>),
    Counted(String, u16, Option<engines::Counts>),
    Held(String, u16, Option<engines::Held>),
    Planned(String, MapPlan),
}

/// What the next counts are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sampling {
    /// To follow demand.
    Steady,
    /// To begin anew, since demand has shifted.
    Rebase,
    /// To learn the demand after the shift.
    Shifted,
    /// To learn it better.
    Refining,
}

impl Sampling {
    /// What the counts that have come mean for the estimate; `None` while they only mark a start.
    fn moment(self) -> Option<Moment> {
        match self {
            Self::Steady => Some(Moment::Steady),
            Self::Rebase => None,
            Self::Shifted => Some(Moment::Shift),
            Self::Refining => Some(Moment::Refine),
        }
    }

    /// What the counts after those are for.
    fn next(self) -> Self {
        match self {
            Self::Shifted => Self::Refining,
            Self::Steady | Self::Rebase | Self::Refining => Self::Steady,
        }
    }
}

/// A call to a rank that is on its way.
type Call = futures::future::BoxFuture<'static, Event>;

/// One group as its planner sees it.
struct Group {
    view: GroupView,
    shape: ExpertShape,
    lag: Duration,
    driver: Driver,
    sampler: Sampler,
    /// Factor by which each rank is slower than it should be.
    paces: Vec<f64>,
    /// When reports were last read.
    looked: Duration,
    /// Longest timely pause between the events of the service's streams.
    pause: Duration,
    /// What the next counts are for.
    sampling: Sampling,
    /// Map in use, once it is known.
    map: Option<Vec<Placement>>,
    /// Map that is being switched to.
    next: Option<Vec<Placement>>,
    /// Experts of each rank while the map in use is being read.
    reading: HashMap<u16, engines::Held>,
    /// Reports and lists of experts that are on their way.
    pending: usize,
    /// Counts that are on their way.
    counting: usize,
    /// When the driver's phase began.
    since: Duration,
    phase: Phase,
    sampled: Duration,
    switched: Duration,
    /// The last known step and when it was read.
    step: (u64, Duration),
    /// Length of a step.
    pace: Duration,
    /// Step from which the last switch is in force.
    target: u64,
    /// When ranks are expected to have received their experts.
    copied: Duration,
    /// Whether a plan is being made.
    planning: bool,
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
        if !self.peers.should_take_duty(now) || self.config.current().is_none() {
            return;
        }
        match self.take_lease().await {
            Ok(Some(fence)) => {
                info!("event=duty_taken duty={LEASE} fence={fence}");
                self.peers.take_duty(fence);
            }
            Ok(None) => self.peers.miss_duty(self.clock.now()),
            Err(error) => {
                warn!("event=duty_unsettled duty={LEASE} reason=\"{error}\"");
                self.peers.miss_duty(self.clock.now());
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
                group.driver.answer(&sending, answer);
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
                    group.driver.report(rank, state);
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
                            group.sampler.take(rank, counts.epoch, &counts.counts);
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

    /// Calls that a group needs now.
    fn advance(&self, group: &mut Group, client: &Client) -> Vec<Call> {
        let now = self.clock.now();
        let mut calls: Vec<Call> = Vec::new();
        if group.driver.phase() != group.phase {
            self.metrics.note_switch(phase_name(group.driver.phase()));
            group.enter(now);
        }
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
        if group.driver.phase() != group.phase {
            self.metrics.note_switch(phase_name(group.driver.phase()));
            group.enter(now);
        }
        let map = group.next.as_deref().unwrap_or(&[]);
        for sending in group.driver.sendings() {
            let Some(address) = group.view.address(sending.rank) else {
                group.driver.answer(&sending, Answer::Silent);
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

    /// Samples demand and begins a switch that is worth it.
    fn plan(&self, group: &mut Group, client: &Client, now: Duration, calls: &mut Vec<Call>) {
        if group.map.is_none() {
            if group.pending > 0 {
                return;
            }
            group.reading.clear();
            for (rank, address) in group.view.addresses() {
                group.pending += 1;
                let name = group.view.name.clone();
                calls.push(Box::pin(read_held(client.clone(), name, rank, address)));
            }
            return;
        }
        if group.counting == 0 && group.driver.phase() == Phase::Idle {
            if let Some(moment) = group.sampling.moment() {
                if group.sampler.settle(moment) {
                    group.sampling = group.sampling.next();
                    calls.extend(self.begin_plan(group, now));
                }
            }
        }
        if group.driver.phase() != Phase::Idle || group.planning {
            return;
        }
        if group.pending == 0 && now.saturating_sub(group.looked) >= LOOK_EVERY {
            group.looked = now;
            group.push_reports(client, calls);
        }
        let steps = self.endpoints.steps(&group.view.name);
        let since = now.saturating_sub(group.sampled);
        // Reading counts and copying experts make steps longer, too.
        let calm = since >= JUMP_CALM && now.saturating_sub(group.switched) >= JUMP_CALM;
        let jumped = calm && steps.has_jumped(now);
        let due = match group.sampling {
            _ if group.counting > 0 => false,
            Sampling::Steady if jumped => {
                group.sampling = Sampling::Rebase;
                true
            }
            Sampling::Steady => since >= SAMPLE_EVERY,
            // An idle group shows nothing, however often it is asked.
            _ if steps.present(now).is_none() => since >= SAMPLE_EVERY,
            Sampling::Rebase | Sampling::Shifted => since >= SAMPLE_SHIFT,
            Sampling::Refining => since >= SAMPLE_REFINE,
        };
        if due {
            group.sampled = now;
            let ranks = match group.sampling {
                Sampling::Steady => 1,
                _ => (group.view.ranks.len() / SHIFT_RANKS_PART).clamp(1, SHIFT_RANKS_MAX),
            };
            for (rank, address) in group.view.addresses().into_iter().take(ranks) {
                group.counting += 1;
                let name = group.view.name.clone();
                calls.push(Box::pin(read_counts(client.clone(), name, rank, address)));
            }
        }
    }

    /// Begins to plan, if a switch may follow.
    fn begin_plan(&self, group: &mut Group, now: Duration) -> Option<Call> {
        let in_force = group.step.0 >= group.target;
        if !in_force || now.saturating_sub(group.switched) < SWITCH_PAUSE || group.planning {
            return None;
        }
        let (map, demand) = (group.map.clone()?, group.sampler.demand()?.to_vec());
        let room = Room { places: group.shape.places, spare: group.shape.spare, price: COPY_PRICE };
        group.planning = true;
        let (name, paces) = (group.view.name.clone(), group.paces.clone());
        Some(Box::pin(make_plan(name, map, demand, paces, room)))
    }

    /// Present length of the group's steps in milliseconds; 0 when no stream shows it.
    fn step_millis(&self, group: &Group, now: Duration) -> u128 {
        let present = self.endpoints.steps(&group.view.name).present(now);
        present.unwrap_or_default().as_millis()
    }

    /// Gain for which a switch is made: the longer the steps, the less.
    fn gain_min(&self, group: &Group, now: Duration) -> f64 {
        let present = self.endpoints.steps(&group.view.name).present(now);
        let Some(present) = present.filter(|_| !group.pause.is_zero()) else { return GAIN_MIN };
        let part = present.as_secs_f64() / group.pause.as_secs_f64();
        let urgency = ((part - URGENCY.0) / (URGENCY.1 - URGENCY.0)).clamp(0.0, 1.0);
        GAIN_MIN + (GAIN_URGENT - GAIN_MIN) * urgency
    }

    /// Switches to a planned map, unless it brings too little or the group has moved on.
    fn take_plan(&self, group: &mut Group, plan: MapPlan, now: Duration) {
        group.planning = false;
        let same = group.map.as_ref() == Some(&plan.before);
        if !same || group.driver.phase() != Phase::Idle || plan.gain() < self.gain_min(group, now) {
            return;
        }
        let received: usize =
            plan.next.iter().zip(&plan.before).map(|(next, set)| next.received(set)).sum();
        let copying = group.shape.bytes / group.shape.copying.max(1.0);
        let most = most_received(&plan.next, &plan.before);
        group.copied = now + Duration::from_secs_f64(copying * most as f64);
        let version = MapVersion(group.driver.fence().0.max(group.driver.version().0 + 1));
        info!(
            "event=place group={} version={version} skew_before={:.3} skew_after={:.3} \
             received={received} step={} step_ms={}",
            group.view.name,
            plan.skew_before,
            plan.skew_after,
            group.step.0,
            self.step_millis(group, now)
        );
        group.next = Some(plan.next);
        group.switched = now;
        group.driver.begin(version);
    }
}

/// A map that was planned, and what it was planned from.
struct MapPlan {
    before: Vec<Placement>,
    next: Vec<Placement>,
    skew_before: f64,
    skew_after: f64,
}

impl MapPlan {
    /// Part of the mean load that the new map saves on the busiest rank.
    fn gain(&self) -> f64 {
        self.skew_before - self.skew_after
    }
}

/// Plans set by set, and lets requests through in between.
async fn make_plan(
    group: String,
    before: Vec<Placement>,
    demand: Vec<Vec<f64>>,
    paces: Vec<f64>,
    room: Room,
) -> Event {
    let sets = before.len().max(1) as f64;
    let (mut skew_before, mut skew_after) = (0.0, 0.0);
    let mut next = Vec::with_capacity(before.len());
    for (set, demand) in before.iter().zip(&demand) {
        let placement = improve(set, demand, &paces, room);
        skew_before += set.skew(demand, &paces) / sets;
        skew_after += placement.skew(demand, &paces) / sets;
        next.push(placement);
        tokio::task::yield_now().await;
    }
    Event::Planned(group, MapPlan { before, next, skew_before, skew_after })
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

/// Experts that the rank with the most of them receives, over all sets.
fn most_received(next: &[Placement], map: &[Placement]) -> usize {
    let ranks = next.first().map_or(0, |set| set.ranks.len());
    let received = |rank: usize| -> usize {
        let sets = next.iter().zip(map);
        let new = sets.map(|(next, set)| {
            let held = &set.ranks[rank];
            next.ranks[rank].iter().filter(|expert| !held.contains(expert)).count()
        });
        new.sum()
    };
    (0..ranks).map(received).max().unwrap_or(0)
}

impl Group {
    fn new(
        view: GroupView,
        engine: &Engine,
        shape: ExpertShape,
        fence: Fence,
        now: Duration,
    ) -> Self {
        let driver = Driver::new(view.ranks.len() as u16, Fence(fence.0 << FENCE_BITS));
        let phase = driver.phase();
        Self {
            sampler: Sampler::new(shape.sets, shape.experts),
            shape,
            lag: engine.lag,
            paces: vec![1.0; view.ranks.len()],
            looked: now,
            pause: Duration::ZERO,
            sampling: Sampling::Rebase,
            view,
            driver,
            map: None,
            next: None,
            reading: HashMap::new(),
            pending: 0,
            counting: 0,
            since: now,
            phase,
            sampled: Duration::ZERO,
            switched: Duration::ZERO,
            step: (0, now),
            pace: engine.step * engine.stride,
            target: 0,
            copied: Duration::ZERO,
            planning: false,
        }
    }

    /// Names of slow ranks with their paces.
    fn slow_ranks(&self) -> Vec<(SocketAddr, f64)> {
        let slow = self.paces.iter().enumerate().filter(|(_, pace)| **pace >= SLOW_PACE);
        slow.filter_map(|(rank, pace)| Some((self.view.address(rank as u16)?, *pace))).collect()
    }

    /// Follows the driver into its next phase.
    fn enter(&mut self, now: Duration) {
        let before = self.phase;
        self.phase = self.driver.phase();
        info!(
            "event=switch_phase group={} phase={:?} before={before:?} after_ms={} step={} target={}",
            self.view.name,
            self.phase,
            now.saturating_sub(self.since).as_millis(),
            self.step.0,
            self.target
        );
        self.since = now;
        match (before, self.phase) {
            (Phase::Releasing, Phase::Idle) => {
                if let Some(next) = self.next.take() {
                    self.map = Some(next);
                }
            }
            (_, Phase::Reading | Phase::Fencing | Phase::Clearing | Phase::Disarming) => {
                self.map = None;
                self.next = None;
                self.target = 0;
                self.step = (0, now);
            }
            _ => {}
        }
    }

    /// Asks all ranks for their reports.
    fn push_reports(&mut self, client: &Client, calls: &mut Vec<Call>) {
        for (rank, address) in self.view.addresses() {
            self.pending += 1;
            let name = self.view.name.clone();
            calls.push(Box::pin(read_report(client.clone(), name, rank, address)));
        }
    }

    /// Whether all ranks can be asked for reports that show what the last phase has done.
    fn may_read(&self, now: Duration) -> bool {
        let aged = now.saturating_sub(self.since) >= self.lag;
        self.pending == 0 && aged && self.view.is_open()
    }

    /// Notes that a step had started at a time. What is older than known says nothing.
    fn note_step(&mut self, step: u64, at: Duration) {
        let (known, then) = self.step;
        if known > 0 && step > known && at > then {
            let pace = (at - then) / (step - known) as u32;
            self.pace = pace.clamp(PACE.0, PACE.1);
        }
        if known == 0 || (step > known && at > then) {
            self.step = (step, at);
        }
    }

    /// The step that is expected to run at `now`.
    fn step_at(&self, now: Duration) -> u64 {
        let (step, at) = self.step;
        let passed = now.saturating_sub(at).as_secs_f64() / self.pace.as_secs_f64();
        step + (passed as u64).min(STEPS_AHEAD_MAX)
    }

    fn first_map(&self) -> Vec<Placement> {
        let ranks = self.view.ranks.len();
        (0..self.shape.sets).map(|_| Placement::in_turn(ranks, self.shape.experts)).collect()
    }

    /// Joins what all ranks hold to the map in use.
    fn join_map(&mut self) {
        let ranks = self.view.ranks.len();
        if self.reading.len() < ranks {
            return;
        }
        let first = self.reading.values().next().map(|held| (held.epoch, held.version));
        let same = self.reading.values().all(|held| Some((held.epoch, held.version)) == first);
        if !same {
            return;
        }
        let mut map = vec![Placement { ranks: vec![RankExperts::new(); ranks] }; self.shape.sets];
        for (rank, held) in &self.reading {
            for (set, experts) in map.iter_mut().zip(&held.sets) {
                set.ranks[usize::from(*rank)] = experts.clone();
            }
        }
        self.map = Some(map);
    }
}

async fn read_report(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let url = format!("http://{address}{}", engines::REPORT_PATH);
    let state = match client.get(&url, READ_LIMIT).await {
        Ok(reply) if reply.status == 200 => engines::decode_report(&reply.body).ok(),
        _ => None,
    };
    Event::Reported(group, rank, state)
}

async fn read_counts(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let url = format!("http://{address}{}", engines::COUNTS_PATH);
    let counts = match client.get(&url, READ_LIMIT).await {
        Ok(reply) if reply.status == 200 => engines::decode_counts(&reply.body).ok(),
        _ => None,
    };
    Event::Counted(group, rank, counts)
}

async fn read_held(client: Client, group: String, rank: u16, address: SocketAddr) -> Event {
    let url = format!("http://{address}{}", engines::EXPERTS_PATH);
    let held = match client.get(&url, READ_LIMIT).await {
        Ok(reply) if reply.status == 200 => engines::decode_held(&reply.body).ok(),
        _ => None,
    };
    Event::Held(group, rank, held)
}

async fn send_order(
    client: Client,
    group: String,
    address: SocketAddr,
    sending: Sending,
    body: serde_json::Value,
) -> Event {
    let url = format!("http://{address}{}", engines::ORDER_PATH);
    let answer = match client.call(Method::POST, &url, Some(&body), ORDER_LIMIT).await {
        Ok(reply) => engines::decode_answer(reply.status),
        Err(_) => Answer::Silent,
    };
    Event::Answered(group, sending, answer)
}
