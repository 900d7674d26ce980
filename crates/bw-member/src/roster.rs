//! An entry's view of agents and other entries.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_model::Incarnation;
use bw_model::Version;

use crate::heartbeat::Digest;
use crate::heartbeat::Heartbeat;
use crate::heartbeat::PeerState;

/// Minimum silence after which a process is less preferred.
pub const QUIET_AFTER: Duration = Duration::from_millis(3_000);
/// Consecutive missed heartbeats after which a process is less preferred.
const MISSED_HEARTBEATS: u32 = 3;
/// Minimum silence after which a process is no longer listed.
pub const GONE_AFTER: Duration = Duration::from_secs(30);
/// Factor by which the record of a leaving process is sent for longer than other records.
const LEAVING_FACTOR: u32 = 4;
/// Maximum number of heartbeats in one digest.
const DIGEST_RECORDS_MAX: usize = 512;

/// Health of a process, judged by its own announcements and by its silence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// A record of the process arrived recently.
    Live,
    /// No record arrived for at least [`QUIET_AFTER`].
    Quiet,
    /// Announced that it is leaving.
    Leaving,
    /// No record arrived for at least [`GONE_AFTER`], or none ever did.
    Gone,
}

/// A record with its arrival time and its position in the order of arrivals.
#[derive(Clone, Debug)]
struct Received<T> {
    record: T,
    received_at: Duration,
    order: u64,
    /// When the record was last queued for digests to other entries.
    queued_at: Duration,
}

/// Limits on how often and for how long entries forward records to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipLimits {
    /// Minimum time between two forwarded records of a process that differ only in their load.
    pub interval: Duration,
    /// Time for which a record is forwarded after it was queued; zero for no limit.
    pub lifetime: Duration,
}

impl GossipLimits {
    /// Forwards every heartbeat to every entry; for a small number of entries.
    pub const UNLIMITED: GossipLimits =
        GossipLimits { interval: Duration::ZERO, lifetime: Duration::ZERO };
    /// For many entries: a record reaches all of them within some rounds, after which it is no
    /// longer sent.
    pub const SPARSE: GossipLimits =
        GossipLimits { interval: Duration::from_secs(20), lifetime: Duration::from_millis(900) };
}

/// A record that supersedes older records of the same process.
trait Record: Clone {
    fn instance(&self) -> &str;
    /// Returns the incarnation and sequence number, by which records of a process are ordered.
    fn order_key(&self) -> (Incarnation, u64);
    fn leaving(&self) -> bool;
    fn set_leaving(&mut self);
    fn quiet_after(&self) -> Duration;
    fn version(&self) -> Version;

    /// Returns whether the record differs from `held` only in its sequence number and load.
    fn differs_only_in_load(&self, held: &Self) -> bool {
        self.leaving() == held.leaving() && self.version() == held.version()
    }
}

impl Record for Heartbeat {
    fn instance(&self) -> &str {
        &self.instance
    }

    fn order_key(&self) -> (Incarnation, u64) {
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
        QUIET_AFTER.max(interval * MISSED_HEARTBEATS)
    }

    fn version(&self) -> Version {
        self.version
    }
}

impl Record for PeerState {
    fn instance(&self) -> &str {
        &self.instance
    }

    fn order_key(&self) -> (Incarnation, u64) {
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
    records: BTreeMap<String, Received<T>>,
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
    /// Stores a record if it is newer than the one held, and returns whether it was stored.
    ///
    /// A direct record comes from the process itself. One of another incarnation is always stored,
    /// whatever the clock of the process showed when it chose its incarnation. A process that has
    /// announced that it is leaving stays leaving within its incarnation.
    fn insert(
        &mut self,
        mut record: T,
        time: Duration,
        order: u64,
        direct: bool,
        interval: Duration,
    ) -> bool {
        let mut queued = (order, time);
        if let Some(held) = self.records.get(record.instance()) {
            let same_incarnation = held.record.order_key().0 == record.order_key().0;
            if same_incarnation && record.order_key() <= held.record.order_key() {
                return false;
            }
            if !direct && record.order_key() <= held.record.order_key() {
                return false;
            }
            if same_incarnation && held.record.leaving() {
                record.set_leaving();
            }
            let recent = time.saturating_sub(held.queued_at) < interval;
            if same_incarnation && recent && record.differs_only_in_load(&held.record) {
                queued = (held.order, held.queued_at);
            }
        }
        let instance = record.instance().to_string();
        let (order, queued_at) = queued;
        self.records.insert(instance, Received { record, received_at: time, order, queued_at });
        true
    }

    /// Returns the health of a process, whose records may be forwarded only once per `interval`.
    ///
    /// The limits on its silence are therefore longer by [`MISSED_HEARTBEATS`] times `interval`.
    fn health(&self, instance: &str, now: Duration, interval: Duration) -> Health {
        let Some(held) = self.records.get(instance) else {
            return Health::Gone;
        };
        let silence = now.saturating_sub(held.received_at);
        if silence > GONE_AFTER + interval * MISSED_HEARTBEATS {
            Health::Gone
        } else if held.record.leaving() {
            Health::Leaving
        } else if silence > held.record.quiet_after() + interval * MISSED_HEARTBEATS {
            Health::Quiet
        } else {
            Health::Live
        }
    }

    /// Returns the records queued after `order` whose `lifetime` has not ended at `now`.
    fn since(
        &self,
        order: u64,
        lifetime: Duration,
        now: Duration,
    ) -> impl Iterator<Item = &Received<T>> {
        let is_fresh = move |held: &Received<T>| {
            let limit = if held.record.leaving() { lifetime * LEAVING_FACTOR } else { lifetime };
            lifetime.is_zero() || now.saturating_sub(held.queued_at) <= limit
        };
        self.records.values().filter(move |held| held.order > order && is_fresh(held))
    }
}

/// Membership as seen by one entry. Times are durations since the start of the process.
#[derive(Clone, Debug)]
pub struct Roster {
    own: PeerState,
    agents: Table<Heartbeat>,
    peers: Table<PeerState>,
    /// Number of the most recent arrival.
    order: u64,
    /// For each peer, the number of the last arrival covered by digests to it.
    sent: BTreeMap<String, u64>,
    limits: GossipLimits,
}

impl Roster {
    /// Creates the roster of the entry whose initial state is `own`.
    pub fn new(own: PeerState) -> Self {
        let agents = Table::default();
        let peers = Table::default();
        let limits = GossipLimits::UNLIMITED;
        Self { own, agents, peers, order: 0, sent: BTreeMap::new(), limits }
    }

    /// Sets the limits on forwarding, which depend on the number of entries.
    pub fn set_limits(&mut self, limits: GossipLimits) {
        self.limits = limits;
    }

    /// Returns the entry's own state.
    pub fn own(&self) -> &PeerState {
        &self.own
    }

    /// Changes the entry's own state and increments its sequence number.
    pub fn update_own<F>(&mut self, change: F)
    where
        F: FnOnce(&mut PeerState),
    {
        change(&mut self.own);
        self.own.seq += 1;
    }

    /// Records a heartbeat received from the agent itself, and returns whether it was new.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> bool {
        self.order += 1;
        self.agents.insert(heartbeat, now, self.order, true, self.limits.interval)
    }

    /// Merges a digest into the roster and returns those of its heartbeats that were new.
    pub fn merge_digest(&mut self, digest: Digest, now: Duration) -> Vec<Heartbeat> {
        self.order += 1;
        self.peers.insert(digest.sender, now, self.order, true, self.limits.interval);
        for peer in digest.peers {
            if peer.instance != self.own.instance {
                self.order += 1;
                self.peers.insert(peer, now, self.order, false, self.limits.interval);
            }
        }
        let mut fresh = Vec::new();
        for heartbeat in digest.heartbeats {
            self.order += 1;
            let interval = self.limits.interval;
            if self.agents.insert(heartbeat.clone(), now, self.order, false, interval) {
                fresh.push(heartbeat);
            }
        }
        fresh
    }

    /// Returns a digest of the records not yet sent to `peer`, with the oldest heartbeats first.
    ///
    /// Heartbeats beyond `DIGEST_RECORDS_MAX` are left for the next digest.
    pub fn digest_for(&mut self, peer: &str, now: Duration) -> Digest {
        let sent = self.sent.get(peer).copied().unwrap_or(0);
        let lifetime = self.limits.lifetime;
        let mut heartbeats: Vec<&Received<Heartbeat>> =
            self.agents.since(sent, lifetime, now).collect();
        heartbeats.sort_by_key(|held| held.order);
        let truncated = heartbeats.len() > DIGEST_RECORDS_MAX;
        heartbeats.truncate(DIGEST_RECORDS_MAX);
        let reached =
            if truncated { heartbeats.last().map_or(sent, |held| held.order) } else { self.order };
        let heartbeats = heartbeats.into_iter().map(|held| held.record.clone()).collect();
        let peers =
            self.peers.since(sent, lifetime, now).filter(|held| held.record.instance != peer);
        let peers = peers.map(|held| held.record.clone()).collect();
        self.sent.insert(peer.to_string(), reached);
        Digest { sender: self.own.clone(), peers, heartbeats }
    }

    /// Forgets what was sent to `peer`, so that the next digest repeats every record. Used when a
    /// digest may not have arrived.
    pub fn reset_sent(&mut self, peer: &str) {
        self.sent.remove(peer);
    }

    /// Returns the health of an agent.
    pub fn agent_health(&self, instance: &str, now: Duration) -> Health {
        self.agents.health(instance, now, self.limits.interval)
    }

    /// Returns the health of another entry.
    pub fn peer_health(&self, instance: &str, now: Duration) -> Health {
        self.peers.health(instance, now, self.limits.interval)
    }

    /// Returns the most recent heartbeat of an agent.
    pub fn agent(&self, instance: &str) -> Option<&Heartbeat> {
        self.agents.records.get(instance).map(|held| &held.record)
    }

    /// Returns the most recent heartbeats of all known agents.
    pub fn agents(&self) -> impl Iterator<Item = &Heartbeat> {
        self.agents.records.values().map(|held| &held.record)
    }

    /// Returns the states of all other known entries.
    pub fn peers(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.records.values().map(|held| &held.record)
    }

    /// Drops the records of processes that have been silent for more than twice [`GONE_AFTER`].
    pub fn drop_gone(&mut self, now: Duration) {
        let kept = |time: Duration| now.saturating_sub(time) <= GONE_AFTER * 2;
        self.agents.records.retain(|_, held| kept(held.received_at));
        self.peers.records.retain(|_, held| kept(held.received_at));
        let peers = &self.peers.records;
        self.sent.retain(|peer, _| peers.contains_key(peer));
    }
}
