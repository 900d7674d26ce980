//! The shared table of endpoints with their load, records of failures and connections.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::EndpointChange;
use bw_direct::endpoint::EndpointKey;
use bw_direct::endpoint::EndpointRecord;
use bw_direct::endpoint::EndpointState;
use bw_direct::endpoint::Table;
use bw_direct::health::Counts;
use bw_direct::health::Health;
use bw_direct::health::HealthState;
use bw_direct::load::Loads;
use bw_direct::load::Work;
use bw_direct::peers::PaceNews;
use bw_direct::peers::WorkNews;
use bw_direct::place::assign_home_slots;
use bw_direct::place::place;
use bw_direct::place::Candidate;
use bw_direct::place::SlotKind;
use bw_direct::steps::StepTracker;
use bw_http::Channel;
use bw_model::hash::rendezvous_weight;
use bw_model::Key;
use log::info;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Idle connections kept to one endpoint.
const IDLE_MAX: usize = 4;
/// Idle time that an endpoint is taken to allow where it tells none.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// Margin before an idle connection's end, within which it is not used any more.
const IDLE_MARGIN: Duration = Duration::from_millis(1_000);

/// Age at which news of slow endpoints no longer counts.
const PACE_AGE_MAX: Duration = Duration::from_millis(2_500);

/// An idle connection.
struct Idle {
    channel: Channel,
    until: Duration,
}

/// What is kept for each endpoint beside the table.
#[derive(Default)]
struct Side {
    idle: Vec<Idle>,
    hash: u64,
}

struct State {
    table: Table,
    loads: Loads,
    health: Health,
    sides: Vec<Side>,
    hashes: HashMap<u64, EndpointKey>,
    random: SmallRng,
    /// Place of this gateway among those that are alive, and their number.
    seat: (usize, usize),
    /// Pauses of the streams of each group.
    steps: HashMap<String, StepTracker>,
    /// Slow endpoints as this gateway's planner sees them.
    own_paces: Vec<(EndpointKey, f64)>,
    /// Slow endpoints as the planning gateway tells, and when it last did.
    told_paces: (Duration, Vec<(EndpointKey, f64)>),
}

/// A group as the list names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Its name.
    pub name: String,
    /// Its life.
    pub epoch: u64,
    /// Address of each rank; `None` where the list names none.
    pub ranks: Vec<Option<SocketAddr>>,
    open: bool,
}

impl GroupView {
    /// Whether all ranks are listed and the group takes requests.
    pub fn is_open(&self) -> bool {
        self.open && self.ranks.iter().all(Option::is_some)
    }

    /// Address of one rank.
    pub fn address(&self, rank: u16) -> Option<SocketAddr> {
        self.ranks.get(usize::from(rank)).copied().flatten()
    }

    /// Addresses of the ranks that are listed.
    pub fn addresses(&self) -> Vec<(u16, SocketAddr)> {
        let ranks = self.ranks.iter().enumerate();
        ranks.filter_map(|(rank, address)| Some((rank as u16, (*address)?))).collect()
    }
}

/// An endpoint that was chosen for a request.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// Its key.
    pub key: EndpointKey,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Unix millisecond of its start.
    pub born: u64,
    /// Work there before this request.
    pub work: Work,
    /// How it was found.
    pub found: SlotKind,
    /// Age of the oldest news of another gateway that the choice rests on.
    pub age: Duration,
}

/// All endpoints as the gateway's services share them.
#[derive(Clone)]
pub struct Endpoints {
    state: Arc<Mutex<State>>,
    centre: String,
}

impl Endpoints {
    /// No endpoints, seen from data centre `centre`.
    pub fn new(centre: String, seed: u64) -> Self {
        let state = State {
            table: Table::new(),
            loads: Loads::default(),
            health: Health::default(),
            sides: Vec::new(),
            hashes: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
            seat: (0, 1),
            steps: HashMap::new(),
            own_paces: Vec::new(),
            told_paces: (Duration::ZERO, Vec::new()),
        };
        Self { state: Arc::new(Mutex::new(state)), centre }
    }

    /// Takes the whole list.
    pub fn replace(&self, list: Vec<Endpoint>, now: Duration) {
        let mut state = self.lock();
        for (key, noted) in state.table.replace(list, now) {
            state.follow(key, noted, now);
        }
    }

    /// Takes one entry of the list.
    pub fn upsert(&self, endpoint: Endpoint, now: Duration) {
        let mut state = self.lock();
        let (key, noted) = state.table.upsert(endpoint);
        state.follow(key, noted, now);
    }

    /// Takes the removal of an entry, or an entry that cannot be read.
    pub fn remove(&self, name: &str, now: Duration) -> EndpointChange {
        let mut state = self.lock();
        let noted = state.table.remove(name, now);
        if let Some(key) = state.table.find(name) {
            state.follow(key, noted, now);
        }
        noted
    }

    /// Names of endpoints whose entries have lapsed and may come back.
    pub fn lapsed(&self) -> Vec<String> {
        self.lock().table.lapsed().map(|(name, _)| name.to_string()).collect()
    }

    /// Whether an entry that lapsed has not come back in time.
    pub fn has_overdue_lapse(&self, now: Duration) -> bool {
        self.lock().table.lapsed().any(|(_, until)| until <= now)
    }

    /// Notes that the store does not answer.
    pub fn note_source_down(&self) {
        self.lock().table.mark_source_down();
    }

    /// Notes that the store answers; true when it had been away.
    pub fn note_source_up(&self, now: Duration) -> bool {
        self.lock().table.mark_source_up(now)
    }

    /// Endpoints that are known.
    pub fn len(&self) -> usize {
        self.lock().table.len()
    }

    /// True when none is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets the place of this gateway among those that are alive, and their number.
    pub fn set_seat(&self, place: usize, gateways: usize) {
        self.lock().seat = (place, gateways);
    }

    /// Notes that an event of a stream came `pause` after the one before it.
    pub fn note_pause(&self, key: EndpointKey, pause: Duration, now: Duration) {
        let mut state = self.lock();
        let member = state.table.get(key).and_then(|slot| slot.endpoint.member.as_ref());
        let Some(group) = member.map(|member| member.group.clone()) else { return };
        state.steps.entry(group).or_default().record(pause, now);
    }

    /// Present length of a group's steps; `None` when too few streams show it.
    pub fn step(&self, group: &str, now: Duration) -> Option<Duration> {
        self.lock().steps.get(group)?.current(now)
    }

    /// Whether a group's steps have become longer than load explains.
    pub fn has_step_jumped(&self, group: &str, now: Duration) -> bool {
        self.lock().steps.get(group).is_some_and(|steps| steps.has_jumped(now))
    }

    /// Sets the slow endpoints as this gateway's planner sees them.
    pub fn set_paces(&self, slow: Vec<(SocketAddr, f64)>) {
        let mut state = self.lock();
        if slow.is_empty() && state.own_paces.is_empty() {
            return;
        }
        let table = &state.table;
        let key = |address: SocketAddr| {
            let listed = |slot: &EndpointRecord| {
                slot.endpoint.address == address && slot.state != EndpointState::Gone
            };
            table.iter().find(|(_, slot)| listed(slot)).map(|(key, _)| key)
        };
        let paces = slow.into_iter().filter_map(|(at, pace)| Some((key(at)?, pace))).collect();
        state.own_paces = paces;
    }

    /// Slow endpoints for the news to peers.
    pub fn pace_news(&self) -> Vec<PaceNews> {
        let state = self.lock();
        let paces = state.own_paces.iter();
        let news = paces.map(|(key, pace)| PaceNews {
            endpoint: state.sides[key.index()].hash,
            percent: (pace * 100.0) as u32,
        });
        news.collect()
    }

    /// Takes the slow endpoints that the planning gateway tells.
    pub fn hear_paces(&self, paces: &[PaceNews], now: Duration) {
        let mut state = self.lock();
        let known = paces.iter().filter_map(|news| {
            Some((*state.hashes.get(&news.endpoint)?, f64::from(news.percent) / 100.0))
        });
        let known = known.collect();
        state.told_paces = (now, known);
    }

    /// Places a request at an endpoint of a service with a free slot, and counts it there.
    pub fn place(
        &self,
        service: &str,
        exclude: &[EndpointKey],
        prompt: u32,
        now: Duration,
    ) -> Option<Chosen> {
        let mut state = self.lock();
        let candidates = state.candidates(service, exclude, &self.centre, now);
        let (best, found) = place(&candidates, &mut state.random)?;
        state.loads.start(best.key, prompt);
        let age = state.loads.oldest_news(now);
        let endpoint = &state.table.get(best.key)?.endpoint;
        Some(Chosen {
            key: best.key,
            name: endpoint.name.clone(),
            address: endpoint.address,
            born: endpoint.born,
            work: best.work,
            found,
            age,
        })
    }

    /// Whether a service has endpoints that are not excluded, even if none takes requests now.
    pub fn serves(&self, service: &str, exclude: &[EndpointKey], now: Duration) -> bool {
        let state = self.lock();
        let serves = state.table.listed(service, now).any(|key| !exclude.contains(&key));
        serves
    }

    /// The groups of a service.
    pub fn groups(&self, service: &str, now: Duration) -> Vec<GroupView> {
        let state = self.lock();
        let mut groups: BTreeMap<String, GroupView> = BTreeMap::new();
        for key in state.table.listed(service, now) {
            let Some(slot) = state.table.get(key) else { continue };
            let Some(member) = &slot.endpoint.member else { continue };
            let group = groups.entry(member.group.clone()).or_insert_with(|| GroupView {
                name: member.group.clone(),
                epoch: 0,
                ranks: vec![None; usize::from(member.size)],
                open: true,
            });
            group.epoch = group.epoch.max(member.epoch);
            group.open &= member.open;
            if let Some(rank) = group.ranks.get_mut(usize::from(member.rank)) {
                *rank = Some(slot.endpoint.address);
            }
        }
        groups.into_values().collect()
    }

    /// Notes that a request began to answer.
    pub fn answer(&self, key: EndpointKey, prompt: u32) {
        self.lock().loads.start_answer(key, prompt);
    }

    /// Notes that a request ended at an endpoint.
    pub fn finish(&self, key: EndpointKey, prompt: u32) {
        self.lock().loads.finish(key, prompt);
    }

    /// Notes a whole answer.
    pub fn succeed(&self, key: EndpointKey, now: Duration) {
        self.lock().health.record_success(key, now);
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn fail(&self, key: EndpointKey, now: Duration) {
        let mut state = self.lock();
        state.health.record_failure(key, now);
        let service = state.table.get(key).map(|slot| slot.endpoint.service.clone());
        if let Some(service) = service {
            state.judge(&service, now);
        }
    }

    /// Judges all endpoints by the counts of all gateways.
    pub fn judge_all(&self, now: Duration) {
        let mut state = self.lock();
        let services: Vec<String> = state.table.services().map(str::to_string).collect();
        for service in services {
            state.judge(&service, now);
        }
    }

    /// Takes an endpoint out of use because it is another one or leaving.
    pub fn bar(&self, key: EndpointKey) {
        let mut state = self.lock();
        state.table.disable(key);
        state.sides[key.index()].idle.clear();
    }

    /// Whether an endpoint may get new work.
    pub fn is_usable(&self, key: EndpointKey, now: Duration) -> bool {
        self.lock().table.is_usable(key, now)
    }

    /// Takes an idle connection.
    pub fn take_idle(&self, key: EndpointKey, now: Duration) -> Option<Channel> {
        let mut state = self.lock();
        let idle = &mut state.sides[key.index()].idle;
        while let Some(one) = idle.pop() {
            if one.channel.is_ready() && now < one.until {
                return Some(one.channel);
            }
        }
        None
    }

    /// Gives a connection back that can take another request.
    pub fn give_idle(
        &self,
        key: EndpointKey,
        channel: Channel,
        idle: Option<Duration>,
        now: Duration,
    ) {
        let until = now + idle.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let mut state = self.lock();
        if until <= now || !state.table.is_usable(key, now) {
            return;
        }
        let kept = &mut state.sides[key.index()].idle;
        kept.retain(|one| now < one.until);
        if kept.len() < IDLE_MAX {
            kept.push(Idle { channel, until });
        }
    }

    /// Own work, for the news to peers.
    pub fn news(&self, now: Duration) -> Vec<WorkNews> {
        let state = self.lock();
        let mut news: BTreeMap<usize, (Work, Counts)> = BTreeMap::new();
        for (index, work) in state.loads.own() {
            news.entry(index).or_default().0 = work;
        }
        for (index, counts) in state.health.own(now) {
            news.entry(index).or_default().1 = counts;
        }
        let news = news.into_iter().map(|(index, (work, counts))| WorkNews {
            endpoint: state.sides[index].hash,
            requests: work.requests,
            prompt: work.prompt,
            ended: counts.ended,
            failed: counts.failed,
        });
        news.collect()
    }

    /// Takes a peer's work.
    pub fn hear(&self, peer: &str, works: &[WorkNews], now: Duration) {
        let mut state = self.lock();
        let state = &mut *state;
        let known: Vec<(EndpointKey, &WorkNews)> = works
            .iter()
            .filter_map(|news| Some((*state.hashes.get(&news.endpoint)?, news)))
            .collect();
        let works = known.iter().map(|(key, news)| (*key, news.work())).collect();
        state.loads.update_peer(peer, works, now);
        let counts = known.iter().map(|(key, news)| (*key, news.counts())).collect();
        state.health.update_peer(peer, counts, now);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Follows a change of the table in what is kept beside it, and logs it.
    fn follow(&mut self, key: EndpointKey, noted: EndpointChange, now: Duration) {
        while self.sides.len() < self.table.len() {
            let key = Table::key_at(self.sides.len());
            let name = self.table.get(key).map_or("", |slot| &slot.endpoint.name);
            let hash = rendezvous_weight("endpoint", name);
            self.hashes.insert(hash, key);
            self.sides.push(Side { hash, ..Side::default() });
        }
        let Some(slot) = self.table.get(key) else { return };
        let side = &mut self.sides[key.index()];
        match noted {
            EndpointChange::Same => return,
            EndpointChange::Restarted => {
                side.idle.clear();
                self.health.reset(key);
            }
            EndpointChange::Removed => side.idle.clear(),
            EndpointChange::Added | EndpointChange::Changed | EndpointChange::Lapsed => {}
        }
        let endpoint = &slot.endpoint;
        info!(
            "event=endpoint change={noted:?} endpoint={} service={} address={} born={} at_ms={}",
            endpoint.name,
            endpoint.service,
            endpoint.address,
            endpoint.born,
            now.as_millis()
        );
    }

    /// Endpoints of a service that a request may go to.
    fn candidates(
        &self,
        service: &str,
        exclude: &[EndpointKey],
        centre: &str,
        now: Duration,
    ) -> Vec<Candidate> {
        let mut keys: Vec<EndpointKey> = self.table.usable(service, now).collect();
        // All gateways deal home slots in the same order.
        keys.sort_by_key(|key| self.sides[key.index()].hash);
        let slots: Vec<u32> = keys.iter().map(|key| self.slots(*key)).collect();
        let homes = assign_home_slots(&slots, self.seat.0, self.seat.1);
        let works = self.loads.total(&keys, now);
        let all = keys.iter().zip(slots).zip(homes).zip(works);
        let candidates = all.filter(|(((key, _), _), _)| !exclude.contains(key));
        let candidates: Vec<Candidate> = candidates
            .map(|(((key, slots), homes), work)| Candidate {
                key: *key,
                slots,
                work,
                own: self.loads.own_at(*key).requests,
                home_slots: homes,
                remote: self.table.get(*key).is_some_and(|slot| slot.endpoint.centre != centre),
                slowness: self.pace(*key, now),
            })
            .collect();
        let healthy: Vec<Candidate> =
            candidates.iter().copied().filter(|one| self.may_get_work(one, now)).collect();
        if healthy.len() * 2 >= candidates.len() {
            healthy
        } else {
            candidates
        }
    }

    fn may_get_work(&self, candidate: &Candidate, now: Duration) -> bool {
        match self.health.state(candidate.key, now) {
            HealthState::Healthy => true,
            HealthState::Trial => candidate.own == 0,
            HealthState::Ejected => false,
        }
    }

    /// Leaves out the endpoints of a service that fail more than the others.
    fn judge(&mut self, service: &str, now: Duration) {
        let keys: Vec<EndpointKey> = self.table.usable(service, now).collect();
        for (key, counts) in self.health.eject_outliers(&keys, now) {
            let name = self.table.get(key).map_or("", |slot| &slot.endpoint.name);
            info!(
                "event=endpoint_ejected endpoint={name} failed={} ended={} at_ms={}",
                counts.failed,
                counts.ended,
                now.as_millis()
            );
        }
    }

    /// Factor by which an endpoint is slower than it should be.
    fn pace(&self, key: EndpointKey, now: Duration) -> f64 {
        let (told, paces) = &self.told_paces;
        let told = if now.saturating_sub(*told) <= PACE_AGE_MAX { paces.as_slice() } else { &[] };
        let known = self.own_paces.iter().chain(told).find(|(other, _)| *other == key);
        known.map_or(1.0, |(_, pace)| *pace)
    }

    fn slots(&self, key: EndpointKey) -> u32 {
        self.table.get(key).map_or(0, |slot| slot.endpoint.slots)
    }
}
