//! What an entry knows of agents and other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_model::Incarnation;
use bw_model::Version;

use crate::beat::Beat;
use crate::beat::Digest;
use crate::beat::PeerState;

/// Shortest silence after which a process is less preferred.
pub const QUIET_AFTER: Duration = Duration::from_millis(3_000);
/// Heartbeats missed in a row after which a process is less preferred.
const MISSED_BEATS: u32 = 3;
/// Silence after which a process is no longer listed.
pub const GONE_AFTER: Duration = Duration::from_secs(30);
/// Factor by which a leaving is told for longer than other news.
const LEAVING_HOT: u32 = 4;
/// Records in one digest.
const DIGEST_RECORDS_MAX: usize = 512;

/// How a process looks from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// Heard lately.
    Live,
    /// Silent for a while.
    Quiet,
    /// Said that it leaves.
    Leaving,
    /// Silent for long, or never heard.
    Gone,
}

/// A record with the time it arrived and its place in the order of arrivals.
#[derive(Clone, Debug)]
struct Heard<T> {
    record: T,
    time: Duration,
    order: u64,
    /// When it was last put in order to be told to others.
    spread: Duration,
}

/// How news spreads among entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spread {
    /// Shortest time between two tellings of a process whose state is the same but for its load.
    pub every: Duration,
    /// Time for which news is told after its arrival; zero for no limit.
    pub hot: Duration,
}

impl Spread {
    /// Every heartbeat to every entry, for few entries.
    pub const ALL: Spread = Spread { every: Duration::ZERO, hot: Duration::ZERO };
    /// For many entries: each telling reaches all within some rounds and then ends.
    pub const SPARSE: Spread =
        Spread { every: Duration::from_secs(20), hot: Duration::from_millis(900) };
}

/// A record that supersedes older ones of the same process.
trait Record: Clone {
    fn instance(&self) -> &str;
    fn rank(&self) -> (Incarnation, u64);
    fn leaving(&self) -> bool;
    fn set_leaving(&mut self);
    fn quiet_after(&self) -> Duration;
    fn version(&self) -> Version;

    /// Whether it says nothing new but its number and load.
    fn is_routine_after(&self, held: &Self) -> bool {
        self.leaving() == held.leaving() && self.version() == held.version()
    }
}

impl Record for Beat {
    fn instance(&self) -> &str {
        &self.instance
    }

    fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }

    fn leaving(&self) -> bool {
        self.leaving
    }

    fn set_leaving(&mut self) {
        self.leaving = true;
    }

    fn quiet_after(&self) -> Duration {
        let interval = Duration::from_millis(u64::from(self.interval));
        QUIET_AFTER.max(interval * MISSED_BEATS)
    }

    fn version(&self) -> Version {
        self.version
    }
}

impl Record for PeerState {
    fn instance(&self) -> &str {
        &self.instance
    }

    fn rank(&self) -> (Incarnation, u64) {
        (self.incarnation, self.seq)
    }

    fn leaving(&self) -> bool {
        self.leaving
    }

    fn set_leaving(&mut self) {
        self.leaving = true;
    }

    fn quiet_after(&self) -> Duration {
        QUIET_AFTER
    }

    fn version(&self) -> Version {
        self.version
    }
}

/// Records of one kind by instance.
#[derive(Clone, Debug)]
struct Table<T> {
    records: BTreeMap<String, Heard<T>>,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Self { records: BTreeMap::new() }
    }
}

impl<T> Table<T>
where
    T: Record,
{
    /// Takes a record if it is newer than the one held. A direct one always is: it comes from the
    /// process itself, whatever its clock said when it took its incarnation.
    fn take(
        &mut self,
        mut record: T,
        time: Duration,
        order: u64,
        direct: bool,
        every: Duration,
    ) -> bool {
        let mut place = (order, time);
        if let Some(held) = self.records.get(record.instance()) {
            let same_life = held.record.rank().0 == record.rank().0;
            if same_life && record.rank() <= held.record.rank() {
                return false;
            }
            if !direct && record.rank() <= held.record.rank() {
                return false;
            }
            if same_life && held.record.leaving() {
                record.set_leaving();
            }
            let lately = time.saturating_sub(held.spread) < every;
            if same_life && lately && record.is_routine_after(&held.record) {
                place = (held.order, held.spread);
            }
        }
        let instance = record.instance().to_string();
        let (order, spread) = place;
        self.records.insert(instance, Heard { record, time, order, spread });
        true
    }

    fn health(&self, instance: &str, now: Duration, every: Duration) -> Health {
        let Some(held) = self.records.get(instance) else {
            return Health::Gone;
        };
        let silence = now.saturating_sub(held.time);
        if silence > GONE_AFTER + every * MISSED_BEATS {
            Health::Gone
        } else if held.record.leaving() {
            Health::Leaving
        } else if silence > held.record.quiet_after() + every * MISSED_BEATS {
            Health::Quiet
        } else {
            Health::Live
        }
    }

    /// Records that came after `order` and are still news at `now`.
    fn since(&self, order: u64, hot: Duration, now: Duration) -> impl Iterator<Item = &Heard<T>> {
        let is_hot = move |held: &Heard<T>| {
            let leaving = if held.record.leaving() { hot * LEAVING_HOT } else { hot };
            hot.is_zero() || now.saturating_sub(held.spread) <= leaving
        };
        self.records.values().filter(move |held| held.order > order && is_hot(held))
    }
}

/// Membership as one entry sees it. Times are spans since the process started.
#[derive(Clone, Debug)]
pub struct Roster {
    own: PeerState,
    agents: Table<Beat>,
    peers: Table<PeerState>,
    /// Number of the last arrival.
    order: u64,
    /// For each peer, the last arrival it was told of.
    told: BTreeMap<String, u64>,
    spread: Spread,
}

impl Roster {
    /// The roster of the entry whose first state is `own`.
    pub fn new(own: PeerState) -> Self {
        let agents = Table::default();
        let peers = Table::default();
        Self { own, agents, peers, order: 0, told: BTreeMap::new(), spread: Spread::ALL }
    }

    /// Changes how news spreads, by the number of entries.
    pub fn set_spread(&mut self, spread: Spread) {
        self.spread = spread;
    }

    /// The entry's own state.
    pub fn own(&self) -> &PeerState {
        &self.own
    }

    /// Changes the entry's own state; the change gets a new number.
    pub fn update_own<F>(&mut self, change: F)
    where
        F: FnOnce(&mut PeerState),
    {
        change(&mut self.own);
        self.own.seq += 1;
    }

    /// Takes a heartbeat that came from the agent itself; true when it was new.
    pub fn take_beat(&mut self, beat: Beat, now: Duration) -> bool {
        self.order += 1;
        self.agents.take(beat, now, self.order, true, self.spread.every)
    }

    /// Takes a digest and returns the heartbeats in it that were new.
    pub fn take_digest(&mut self, digest: Digest, now: Duration) -> Vec<Beat> {
        self.order += 1;
        self.peers.take(digest.sender, now, self.order, true, self.spread.every);
        for peer in digest.peers {
            if peer.instance != self.own.instance {
                self.order += 1;
                self.peers.take(peer, now, self.order, false, self.spread.every);
            }
        }
        let mut news = Vec::new();
        for beat in digest.beats {
            self.order += 1;
            if self.agents.take(beat.clone(), now, self.order, false, self.spread.every) {
                news.push(beat);
            }
        }
        news
    }

    /// What `peer` has not been told yet, the oldest news first.
    pub fn digest_for(&mut self, peer: &str, now: Duration) -> Digest {
        let told = self.told.get(peer).copied().unwrap_or(0);
        let mut beats: Vec<&Heard<Beat>> = self.agents.since(told, self.spread.hot, now).collect();
        beats.sort_by_key(|held| held.order);
        let cut = beats.len() > DIGEST_RECORDS_MAX;
        beats.truncate(DIGEST_RECORDS_MAX);
        let reached = if cut { beats.last().map_or(told, |held| held.order) } else { self.order };
        let beats = beats.into_iter().map(|held| held.record.clone()).collect();
        let peers = self
            .peers
            .since(told, self.spread.hot, now)
            .filter(|held| held.record.instance != peer);
        let peers = peers.map(|held| held.record.clone()).collect();
        self.told.insert(peer.to_string(), reached);
        Digest { sender: self.own.clone(), peers, beats }
    }

    /// Notes that a digest may not have arrived, so that the next one repeats everything.
    pub fn forget_told(&mut self, peer: &str) {
        self.told.remove(peer);
    }

    /// How an agent looks.
    pub fn agent_health(&self, instance: &str, now: Duration) -> Health {
        self.agents.health(instance, now, self.spread.every)
    }

    /// How another entry looks.
    pub fn peer_health(&self, instance: &str, now: Duration) -> Health {
        self.peers.health(instance, now, self.spread.every)
    }

    /// The last heartbeat of an agent.
    pub fn agent(&self, instance: &str) -> Option<&Beat> {
        self.agents.records.get(instance).map(|held| &held.record)
    }

    /// All agents heard of.
    pub fn agents(&self) -> impl Iterator<Item = &Beat> {
        self.agents.records.values().map(|held| &held.record)
    }

    /// All other entries heard of.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.records.values().map(|held| &held.record)
    }

    /// Drops records that have been silent for long.
    pub fn drop_gone(&mut self, now: Duration) {
        let kept = |time: Duration| now.saturating_sub(time) <= GONE_AFTER * 2;
        self.agents.records.retain(|_, held| kept(held.time));
        self.peers.records.retain(|_, held| kept(held.time));
        let peers = &self.peers.records;
        self.told.retain(|peer, _| peers.contains_key(peer));
    }
}
