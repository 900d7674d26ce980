//! Membership: the state of agents and other entries, from heartbeats and digests, and the digests
//! that this entry sends.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_kernel::Drain;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_member::addresses::pick_addresses;
use bw_member::addresses::Candidate;
use bw_member::Address;
use bw_member::Digest;
use bw_member::GossipLimits;
use bw_member::Health;
use bw_member::Heartbeat;
use bw_member::PeerState;
use bw_member::Roster;
use bw_model::fleet::Role;
use bw_model::hash::rendezvous_weight;
use bw_model::Fleet;
use bw_model::Version;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use futures::future::join_all;
use log::info;
use rand::seq::SliceRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config::Config;

/// Maximum number of other entries to which every digest is sent in each round.
const MESH_MAX: usize = 12;
/// Number of randomly chosen entries that receive a digest in one round when there are more than
/// [`MESH_MAX`].
const FANOUT: usize = 3;
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Membership as this entry sees it.
#[derive(Clone)]
pub struct Members {
    roster: Arc<Mutex<Roster>>,
    started_at: Instant,
    centre: String,
    region: Arc<Mutex<String>>,
    digest_due: Arc<Notify>,
}

impl Members {
    /// Creates the membership of the entry with initial state `own` in data centre `centre`.
    pub fn new(own: PeerState, centre: String, started_at: Instant) -> Self {
        Self {
            roster: Arc::new(Mutex::new(Roster::new(own))),
            started_at,
            centre,
            region: Arc::default(),
            digest_due: Arc::default(),
        }
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Returns the data centre of this entry.
    pub fn centre(&self) -> &str {
        &self.centre
    }

    /// Locks the roster.
    pub fn lock(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the region of this entry; empty until the configuration has named it.
    pub fn region(&self) -> String {
        self.region.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets the region from the entry's data centre in the configuration.
    pub fn set_fleet(&self, fleet: &Fleet) {
        let home = fleet.centres.find(|centre| centre.name.as_str() == self.centre);
        if let Some((_, home)) = home {
            let region = home.region.to_string();
            *self.region.lock().unwrap_or_else(PoisonError::into_inner) = region;
        }
    }

    /// Records a heartbeat received from an agent, and returns whether it was new. Digests are sent
    /// at once when an agent starts leaving.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let leaving = heartbeat.leaving;
        let now = self.now();
        let mut roster = self.lock();
        let was_leaving = roster.agent(&heartbeat.instance).is_some_and(|known| known.leaving);
        let fresh = roster.record_heartbeat(heartbeat, now);
        drop(roster);
        if leaving && !was_leaving {
            self.digest_due.notify_one();
        }
        fresh
    }

    /// Merges a digest of another entry and returns those of its heartbeats that were new.
    pub fn merge_digest(&self, digest: Digest) -> Vec<Heartbeat> {
        let now = self.now();
        let fresh = self.lock().merge_digest(digest, now);
        if fresh.iter().any(|heartbeat| heartbeat.leaving) {
            self.digest_due.notify_one();
        }
        fresh
    }

    /// Marks this entry as leaving and sends digests at once.
    pub fn leave(&self) {
        self.lock().update_own(|own| own.leaving = true);
        self.digest_due.notify_one();
    }

    /// Returns the names of the live entries in this entry's data centre, including this entry
    /// unless it is leaving.
    pub fn live_entries_in_centre(&self, fleet: &Fleet) -> Vec<String> {
        let same_centre = |centre: &str| centre == self.centre;
        self.live_entries(fleet, same_centre)
    }

    /// Returns the names of all live entries, including this entry unless it is leaving.
    pub fn live_entries_all(&self, fleet: &Fleet) -> Vec<String> {
        self.live_entries(fleet, |_| true)
    }

    fn live_entries<F>(&self, fleet: &Fleet, keep: F) -> Vec<String>
    where
        F: Fn(&str) -> bool,
    {
        let now = self.now();
        let roster = self.lock();
        let own = roster.own();
        let live = |name: &str| {
            let own_live = name == own.instance && !own.leaving;
            own_live || roster.peer_health(name, now) == Health::Live
        };
        let entries = fleet.entries().map(|(_, entry, _)| entry);
        let entries = entries.filter(|entry| keep(fleet.centres[entry.centre].name.as_str()));
        let names = entries.map(|entry| entry.name.to_string());
        names.filter(|name| live(name)).collect()
    }

    /// Returns the entry addresses for a caller. Different values of `caller` distribute callers
    /// over otherwise equal entries.
    pub fn addresses(&self, fleet: &Fleet, caller: &str) -> Vec<Address> {
        let now = self.now();
        let roster = self.lock();
        let own = roster.own().clone();
        let candidates = fleet.entries().map(|(_, entry, http)| {
            let name = entry.name.as_str();
            let health = if name != own.instance {
                roster.peer_health(name, now)
            } else if own.leaving {
                Health::Leaving
            } else {
                Health::Live
            };
            let centre = &fleet.centres[entry.centre];
            Candidate {
                address: Address { http, centre: centre.name.to_string() },
                region: centre.region.to_string(),
                health,
                weight: rendezvous_weight(caller, name),
            }
        });
        pick_addresses(candidates.collect(), &self.centre, &self.region())
    }

    /// Sends digests until `stop`, and then a last round with this entry's final state, in which it
    /// is leaving.
    ///
    /// # Errors
    /// None.
    pub async fn run(
        self,
        config: Config,
        pool: Pool,
        interval: Duration,
        mut stop: Stop,
    ) -> Result<(), Infallible> {
        loop {
            self.send_digests(&config, &pool).await;
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.digest_due.notified() => {}
                () = stop.wait() => break,
            }
        }
        self.send_digests(&config, &pool).await;
        Ok(())
    }

    async fn send_digests(&self, config: &Config, pool: &Pool) {
        let Some(current) = config.current() else {
            return;
        };
        self.set_fleet(&current.fleet);
        let version = current.version();
        self.lock().update_own(|own| own.version = version);
        let now = self.now();
        self.lock().drop_gone(now);
        let mut peers = self.other_entries(&current.fleet);
        let sparse = peers.len() > MESH_MAX;
        self.lock().set_limits(if sparse { GossipLimits::SPARSE } else { GossipLimits::UNLIMITED });
        if sparse {
            peers.shuffle(&mut rand::rng());
            peers.truncate(FANOUT);
        }
        let mut sends = Vec::new();
        for (name, link) in peers {
            sends.push(self.send_digest(config, pool, name, link));
        }
        join_all(sends).await;
    }

    async fn send_digest(&self, config: &Config, pool: &Pool, name: String, link: SocketAddr) {
        let digest = self.lock().digest_for(&name, self.now());
        let Ok(bytes) = encode(&EntryRequest::Digest(digest)) else {
            return;
        };
        let reply = pool.call(link, &bytes, CALL_TIMEOUT).await;
        match reply.ok().and_then(|reply| decode(&reply).ok()) {
            Some(EntryReply::Version(version)) if version > config.version() => {
                config.fetch(link).await;
            }
            Some(EntryReply::Version(_)) => {}
            _ => self.lock().reset_sent(&name),
        }
    }

    fn other_entries(&self, fleet: &Fleet) -> Vec<(String, SocketAddr)> {
        let own = self.lock().own().instance.clone();
        let entries = fleet.entries().filter(|(_, entry, _)| entry.name.as_str() != own);
        entries.map(|(_, entry, _)| (entry.name.to_string(), entry.link)).collect()
    }

    /// Returns the role, version in force and health of the process on each instance of the fleet;
    /// the version is `None` if no message about the process was received.
    pub fn versions(&self, fleet: &Fleet) -> Vec<(String, &'static str, Option<Version>, Health)> {
        let now = self.now();
        let roster = self.lock();
        let own = roster.own();
        let mut versions = Vec::new();
        for (_, instance) in fleet.instances.iter() {
            let name = instance.name.as_str();
            let row = match instance.role {
                Role::Entry { .. } if name == own.instance => {
                    let health = if own.leaving { Health::Leaving } else { Health::Live };
                    (name.to_string(), "entry", Some(own.version), health)
                }
                Role::Entry { .. } => {
                    let peer = roster.peers().find(|peer| peer.instance == name);
                    let version = peer.map(|peer| peer.version);
                    (name.to_string(), "entry", version, roster.peer_health(name, now))
                }
                Role::Agent { .. } => {
                    let version = roster.agent(name).map(|heartbeat| heartbeat.version);
                    (name.to_string(), "agent", version, roster.agent_health(name, now))
                }
            };
            versions.push(row);
        }
        versions
    }
}

/// Waits for `stop`, then announces to the other entries that this entry is leaving, so that callers
/// no longer get its address, and bounds what may still start within `grace`.
///
/// # Errors
/// None.
pub async fn leave_on_stop(
    members: Members,
    drain: Drain,
    grace: Duration,
    mut stop: Stop,
) -> Result<(), Infallible> {
    /// Time for the digest with the announcement to reach the other entries.
    const DIGEST_TIME: Duration = Duration::from_millis(300);
    /// Part of the grace time in which requests may start whatever time they have.
    const START_FRACTION: f64 = 0.3;
    /// Time before the end of the grace time at which unfinished requests are answered.
    const ANSWER_MARGIN: Duration = Duration::from_millis(200);
    stop.wait().await;
    members.leave();
    drain.begin(grace.mul_f64(START_FRACTION), grace.saturating_sub(ANSWER_MARGIN));
    info!("event=leaving");
    tokio::time::sleep(DIGEST_TIME).await;
    Ok(())
}
