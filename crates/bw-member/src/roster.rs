//! What an entry knows of agents and other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_model::Incarnation;

use crate::beat::Beat;
use crate::beat::Digest;
use crate::beat::PeerState;

/// Shortest silence after which a process is less preferred.
pub const QUIET_AFTER: Duration = Duration::from_millis(3_000);
/// Heartbeats missed in a row after which a process is less preferred.
const MISSED_BEATS: u32 = 3;
/// Silence after which a process is no longer listed.
pub const GONE_AFTER: Duration = Duration::from_secs(30);
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
}

/// A record that supersedes older ones of the same process.
trait Record: Clone {
    fn instance(&self) -> &str;
    fn rank(&self) -> (Incarnation, u64);
    fn leaving(&self) -> bool;
    fn set_leaving(&mut self);
    fn quiet_after(&self) -> Duration;
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
    fn take(&mut self, mut record: T, time: Duration, order: u64, direct: bool) -> bool {
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
        }
        let instance = record.instance().to_string();
        self.records.insert(instance, Heard { record, time, order });
        true
    }

    fn health(&self, instance: &str, now: Duration) -> Health {
        let Some(held) = self.records.get(instance) else {
            return Health::Gone;
        };
        let silence = now.saturating_sub(held.time);
        if silence > GONE_AFTER {
            Health::Gone
        } else if held.record.leaving() {
            Health::Leaving
        } else if silence > held.record.quiet_after() {
            Health::Quiet
        } else {
            Health::Live
        }
    }

    fn since(&self, order: u64) -> impl Iterator<Item = &Heard<T>> {
        self.records.values().filter(move |held| held.order > order)
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
}

impl Roster {
    /// The roster of the entry whose first state is `own`.
    pub fn new(own: PeerState) -> Self {
        let agents = Table::default();
        let peers = Table::default();
        Self { own, agents, peers, order: 0, told: BTreeMap::new() }
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
        self.agents.take(beat, now, self.order, true)
    }

    /// Takes a digest and returns the heartbeats in it that were new.
    pub fn take_digest(&mut self, digest: Digest, now: Duration) -> Vec<Beat> {
        self.order += 1;
        self.peers.take(digest.sender, now, self.order, true);
        for peer in digest.peers {
            if peer.instance != self.own.instance {
                self.order += 1;
                self.peers.take(peer, now, self.order, false);
            }
        }
        let mut news = Vec::new();
        for beat in digest.beats {
            self.order += 1;
            if self.agents.take(beat.clone(), now, self.order, false) {
                news.push(beat);
            }
        }
        news
    }

    /// What `peer` has not been told yet, the oldest news first.
    pub fn digest_for(&mut self, peer: &str) -> Digest {
        let told = self.told.get(peer).copied().unwrap_or(0);
        let mut beats: Vec<&Heard<Beat>> = self.agents.since(told).collect();
        beats.sort_by_key(|held| held.order);
        let cut = beats.len() > DIGEST_RECORDS_MAX;
        beats.truncate(DIGEST_RECORDS_MAX);
        let reached = if cut { beats.last().map_or(told, |held| held.order) } else { self.order };
        let beats = beats.into_iter().map(|held| held.record.clone()).collect();
        let peers = self.peers.since(told).filter(|held| held.record.instance != peer);
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
        self.agents.health(instance, now)
    }

    /// How another entry looks.
    pub fn peer_health(&self, instance: &str, now: Duration) -> Health {
        self.peers.health(instance, now)
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
