//! Membership: digests to other entries, and what they and the agents say.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

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

/// Entries up to which each digest goes to all others.
const MESH_MAX: usize = 12;
/// Entries that get a digest in one round beyond that.
const FANOUT: usize = 3;
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// Membership as this entry sees it.
#[derive(Clone)]
pub struct Members {
    roster: Arc<Mutex<Roster>>,
    start: Instant,
    centre: String,
    region: Arc<Mutex<String>>,
    news: Arc<Notify>,
}

impl Members {
    /// Membership of the entry whose first state is `own`, in data centre `centre`.
    pub fn new(own: PeerState, centre: String, start: Instant) -> Self {
        Self {
            roster: Arc::new(Mutex::new(Roster::new(own))),
            start,
            centre,
            region: Arc::default(),
            news: Arc::default(),
        }
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The own data centre.
    pub fn centre(&self) -> &str {
        &self.centre
    }

    /// Looks at the roster.
    pub fn lock(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The own region, once the configuration names it.
    pub fn region(&self) -> String {
        self.region.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes the region of the own data centre from the configuration.
    pub fn set_fleet(&self, fleet: &Fleet) {
        let home = fleet.centres.find(|centre| centre.name.as_str() == self.centre);
        if let Some((_, home)) = home {
            let region = home.region.to_string();
            *self.region.lock().unwrap_or_else(PoisonError::into_inner) = region;
        }
    }

    /// Takes an agent's heartbeat; true when it was new.
    pub fn take_beat(&self, beat: Heartbeat) -> bool {
        let urgent = beat.leaving;
        let now = self.now();
        let mut roster = self.lock();
        let known = roster.agent(&beat.instance).is_some_and(|known| known.leaving);
        let fresh = roster.record_heartbeat(beat, now);
        drop(roster);
        if urgent && !known {
            self.news.notify_one();
        }
        fresh
    }

    /// Takes another entry's digest and returns the heartbeats in it that were new.
    pub fn take_digest(&self, digest: Digest) -> Vec<Heartbeat> {
        let now = self.now();
        let fresh = self.lock().merge_digest(digest, now);
        if fresh.iter().any(|beat| beat.leaving) {
            self.news.notify_one();
        }
        fresh
    }

    /// Starts leaving.
    pub fn leave(&self) {
        self.lock().update_own(|own| own.leaving = true);
        self.news.notify_one();
    }

    /// Names of the live entries of the own data centre, this one among them.
    pub fn live_entries_near(&self, fleet: &Fleet) -> Vec<String> {
        let near = |centre: &str| centre == self.centre;
        self.live_entries(fleet, near)
    }

    /// Names of all live entries, this one among them.
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
            let listed = name == own.instance && !own.leaving;
            listed || roster.peer_health(name, now) == Health::Live
        };
        let entries = fleet.entries().map(|(_, entry, _)| entry);
        let entries = entries.filter(|entry| keep(fleet.centres[entry.centre].name.as_str()));
        let names = entries.map(|entry| entry.name.to_string());
        names.filter(|name| live(name)).collect()
    }

    /// Addresses for a caller; `caller` spreads callers over equal entries.
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

    /// Sends digests until `stop`, and a last one that says that this entry has left.
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
            self.tell_peers(&config, &pool).await;
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.news.notified() => {}
                () = stop.wait() => break,
            }
        }
        self.tell_peers(&config, &pool).await;
        Ok(())
    }

    async fn tell_peers(&self, config: &Config, pool: &Pool) {
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
        let mut calls = Vec::new();
        for (name, link) in peers {
            calls.push(self.tell(config, pool, name, link));
        }
        join_all(calls).await;
    }

    async fn tell(&self, config: &Config, pool: &Pool, name: String, link: SocketAddr) {
        let digest = self.lock().digest_for(&name, self.now());
        let Ok(bytes) = encode(&EntryRequest::Digest(digest)) else {
            return;
        };
        let reply = pool.call(link, &bytes, CALL_LIMIT).await;
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

    /// The versions in force at all processes heard of, by instance; `None` for those not heard.
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
                    let version = roster.agent(name).map(|beat| beat.version);
                    (name.to_string(), "agent", version, roster.agent_health(name, now))
                }
            };
            versions.push(row);
        }
        versions
    }
}

/// Waits for `stop`, then takes this entry out of the addresses and of the digests.
///
/// # Errors
/// None.
pub async fn leave_on_stop(members: Members, mut stop: Stop) -> Result<(), Infallible> {
    /// Time for the digest that says so to reach the other entries.
    const SPREAD: Duration = Duration::from_millis(300);
    stop.wait().await;
    members.leave();
    info!("event=leaving");
    tokio::time::sleep(SPREAD).await;
    Ok(())
}
