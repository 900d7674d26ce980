//! The configuration in force, and the proof that it is the newest.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::Catalog;
use bw_model::Version;
use log::info;
use rand::Rng;
use tokio::sync::watch;
use tokio::sync::Notify;

use crate::reload::LiveSettings;

/// Time from the first sight of a new era of the store until the store's configuration proves something again.
/// Until then it may lack accepted versions, which the operator is writing again.
const RESTORE_GRACE: Duration = Duration::from_millis(2_000);

/// Era of a store that has never returned from an older copy.
const FIRST_ERA: u64 = 0;

/// Maximum number of announced versions whose times are kept. The first ones matter most.
const MISSING_MAX: usize = 64;

struct State {
    catalog: Option<Arc<Catalog>>,
    /// The version that the store has shown last. Lower than the one in force after the store has
    /// returned from an older copy.
    listed: Version,
    /// Time up to which every accepted change is known to be in force at this gateway.
    proof: Option<Duration>,
    /// Highest era of the store that was seen; `None` before the first one.
    era: watch::Sender<Option<u64>>,
    /// Time before which no configuration proves anything, since an era has begun.
    settled_at: Duration,
    /// Time before which what this gateway reads proves nothing: an era after the first one, which this process has
    /// just seen for the first time, may have begun right before.
    reads_settled_at: Duration,
    /// A peer that has a higher version.
    ahead: Option<AheadPeer>,
    /// Versions above the one in force that peers have announced, in the order of their first
    /// announcements, with the times of these.
    missing: VecDeque<(Version, Duration)>,
}

/// The highest version that peers have announced, with one of these peers.
struct AheadPeer {
    version: Version,
    address: SocketAddr,
    /// Number of announcements of the version that the peer was drawn from.
    announced: u32,
}

/// The configuration, shared by the services of the gateway.
#[derive(Clone)]
pub struct Config {
    state: Arc<Mutex<State>>,
    /// Signals that `ahead` was set.
    version_behind: Arc<Notify>,
}

impl Default for Config {
    fn default() -> Self {
        let state = State {
            catalog: None,
            listed: Version(0),
            proof: None,
            era: watch::Sender::new(None),
            settled_at: Duration::ZERO,
            reads_settled_at: Duration::ZERO,
            ahead: None,
            missing: VecDeque::new(),
        };
        Self { state: Arc::new(Mutex::new(state)), version_behind: Arc::default() }
    }
}

impl State {
    /// Records that the configuration in force was the newest at `proof`, unless the store may then have
    /// lacked accepted versions.
    fn record_proof(&mut self, proof: Option<Duration>) {
        self.proof = self.proof.max(proof.filter(|proof| *proof >= self.settled_at));
    }
}

impl Config {
    /// Returns the catalog in force; `None` before the first one.
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Returns the version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.lock().catalog.as_ref().map_or(Version(0), |catalog| catalog.version)
    }

    /// Puts a catalog into force and records its proof, if the store has shown it. Ignores a catalog
    /// that is older than the one in force.
    pub fn apply(&self, catalog: Catalog, proof: Option<Duration>) {
        let mut state = self.lock();
        let known = state.catalog.as_ref().map(|known| known.version);
        if proof.is_some() {
            state.listed = catalog.version;
        }
        if known.is_some_and(|known| known > catalog.version) {
            return;
        }
        // Every later version includes what was in force at an earlier proof.
        let settled_at = state.reads_settled_at;
        state.record_proof(proof.filter(|proof| *proof >= settled_at));
        if known == Some(catalog.version) {
            return;
        }
        state.missing.retain(|(version, _)| *version > catalog.version);
        info!(
            "event=configuration_in_force version={} before={} routes={} workspaces={}",
            catalog.version,
            known.unwrap_or_default(),
            catalog.routes.len(),
            catalog.workspaces.len()
        );
        state.catalog = Some(Arc::new(catalog));
    }

    /// Records that `version` was the newest at `time`.
    pub fn prove(&self, version: Version, time: Duration) {
        let mut state = self.lock();
        let covers = state.catalog.as_ref().is_some_and(|catalog| catalog.version >= version);
        if covers {
            state.record_proof(Some(time));
        }
    }

    /// Records that the store was seen in `era`, by its own answer or by that of `source`, and logs a new
    /// era. The era that a process sees first may have begun at any time, so that its own reads prove nothing for
    /// a while; peers that prove something know when it began.
    pub fn observe_era(&self, era: u64, source: &str, now: Duration) {
        let mut state = self.lock();
        let before = *state.era.borrow();
        if before < Some(era) {
            state.era.send_replace(Some(era));
        }
        let Some(before) = before else {
            if era > FIRST_ERA {
                state.reads_settled_at = now + RESTORE_GRACE;
                info!(
                    "event=store_era_found era={era} settles_in_ms={}",
                    RESTORE_GRACE.as_millis()
                );
            }
            return;
        };
        if era > before {
            state.settled_at = now + RESTORE_GRACE;
            info!(
                "event=store_era era={era} before={before} source={source} listed={} in_force={} \
                 proof_age_ms={} settles_in_ms={}",
                state.listed,
                state.catalog.as_ref().map_or(Version(0), |catalog| catalog.version),
                state.proof.map_or(-1, |proof| now.saturating_sub(proof).as_millis() as i64),
                RESTORE_GRACE.as_millis()
            );
        }
    }

    /// Returns the highest era of the store that was seen; 0 before the first one.
    pub fn era(&self) -> u64 {
        self.lock().era.borrow().unwrap_or(0)
    }

    /// Waits until a later era of the store than `known` has been seen, and returns it.
    pub async fn later_era(&self, known: u64) -> u64 {
        let mut eras = self.lock().era.subscribe();
        loop {
            let seen = *eras.borrow_and_update();
            match seen {
                Some(era) if era > known => return era,
                // The configuration has the sender.
                _ => drop(eras.changed().await),
            }
        }
    }

    /// Returns whether the store itself has shown the configuration in force, or a newer one.
    pub fn is_listed(&self) -> bool {
        let listed = self.lock().listed;
        listed >= self.version()
    }

    /// Records that the store showed no change of its configuration at `time`. That proves nothing while
    /// the store shows an older version than the one in force: it has lost accepted versions, which may
    /// be newer than both.
    pub fn prove_unchanged(&self, time: Duration) {
        if self.is_listed() && time >= self.lock().reads_settled_at {
            let listed = self.lock().listed;
            self.prove(listed, time);
        }
    }

    /// Records that the store shows a configuration that cannot be read. It may take keys away, so that
    /// answers without a change prove nothing until the store shows one that can be read.
    pub fn record_unreadable(&self) {
        self.lock().listed = Version(0);
    }

    /// Returns the age of the proof that the catalog is the newest; `None` without a proof.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.lock().proof.map(|proof| now.saturating_sub(proof))
    }

    /// Returns whether the configuration may decide about requests that a newer one may treat otherwise.
    pub fn is_current(&self, settings: &LiveSettings, now: Duration) -> bool {
        let proof = self.proof_age(now);
        let proved = proof.is_some_and(|age| age <= settings.proof_age_max());
        proved && !self.is_late(settings, now)
    }

    /// Returns whether a newer version has been known for longer than a change may take.
    pub fn is_late(&self, settings: &LiveSettings, now: Duration) -> bool {
        self.behind_for(now).is_some_and(|behind| behind > settings.behind_max())
    }

    /// Returns the time for which a version above the one in force has been known to exist; `None` if
    /// there is none.
    pub fn behind_for(&self, now: Duration) -> Option<Duration> {
        self.lock().missing.front().map(|(_, since)| now.saturating_sub(*since))
    }

    /// Records at `now` that a peer has a version, and wakes [`Self::newer_peer`] when the version is newer
    /// than the one in force.
    ///
    /// Among peers that announce the same version, one is drawn at random, so that the gateways that
    /// are behind do not all ask the same one.
    pub fn record_peer_version(&self, version: Version, address: SocketAddr, now: Duration) {
        let mut state = self.lock();
        let known = state.catalog.as_ref().map_or(Version(0), |catalog| catalog.version);
        if version <= known {
            return;
        }
        let heard = state.missing.iter().any(|(missing, _)| *missing >= version);
        if !heard && state.missing.len() < MISSING_MAX {
            state.missing.push_back((version, now));
        }
        let ahead = match state.ahead.take() {
            Some(ahead) if ahead.version > version => ahead,
            Some(ahead) if ahead.version == version => {
                let announced = ahead.announced + 1;
                let drawn = rand::rng().random_ratio(1, announced);
                let address = if drawn { address } else { ahead.address };
                AheadPeer { version, address, announced }
            }
            _ => AheadPeer { version, address, announced: 1 },
        };
        state.ahead = Some(ahead);
        self.version_behind.notify_one();
    }

    /// Waits until a peer is known to have a newer version, and returns the peer's address.
    pub async fn newer_peer(&self) -> SocketAddr {
        loop {
            self.version_behind.notified().await;
            let mut state = self.lock();
            let known = state.catalog.as_ref().map_or(Version(0), |catalog| catalog.version);
            if let Some(ahead) = state.ahead.take().filter(|ahead| ahead.version > known) {
                return ahead.address;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
