//! The configuration in force and the proof that it is the newest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::Catalog;
use bw_model::Version;
use log::info;
use tokio::sync::Notify;

struct State {
    catalog: Option<Arc<Catalog>>,
    /// Time up to which every accepted change is known to be in force here.
    proof: Option<Duration>,
    /// A higher version that a peer has, and the peer.
    ahead: Option<(Version, SocketAddr)>,
}

/// The configuration as the gateway's services share it.
#[derive(Clone)]
pub struct Config {
    state: Arc<Mutex<State>>,
    behind: Arc<Notify>,
}

impl Default for Config {
    fn default() -> Self {
        let state = State { catalog: None, proof: None, ahead: None };
        Self { state: Arc::new(Mutex::new(state)), behind: Arc::default() }
    }
}

impl Config {
    /// The catalog in force.
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.lock().catalog.clone()
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> Version {
        self.lock().catalog.as_ref().map_or(Version(0), |catalog| catalog.version)
    }

    /// Takes a catalog, unless a newer one is in force, and its proof if it has one.
    pub fn take(&self, catalog: Catalog, proof: Option<Duration>) {
        let mut state = self.lock();
        let known = state.catalog.as_ref().map(|known| known.version);
        if known.is_some_and(|known| known > catalog.version) {
            return;
        }
        // What was in force at an earlier proof is part of every later version.
        state.proof = state.proof.max(proof);
        if known == Some(catalog.version) {
            return;
        }
        info!(
            "event=configuration_in_force version={} before={} routes={} workspaces={}",
            catalog.version,
            known.unwrap_or_default(),
            catalog.routes.len(),
            catalog.workspaces.len()
        );
        state.catalog = Some(Arc::new(catalog));
    }

    /// Notes that `version` was the newest at `time`.
    pub fn prove(&self, version: Version, time: Duration) {
        let mut state = self.lock();
        let covers = state.catalog.as_ref().is_some_and(|catalog| catalog.version >= version);
        if covers {
            state.proof = state.proof.max(Some(time));
        }
    }

    /// Age of the proof that the catalog is the newest.
    pub fn proof_age(&self, now: Duration) -> Option<Duration> {
        self.lock().proof.map(|proof| now.saturating_sub(proof))
    }

    /// Notes that a peer has a version, and asks for it when it is newer.
    pub fn hear(&self, version: Version, peer: SocketAddr) {
        let mut state = self.lock();
        let known = state.catalog.as_ref().map_or(Version(0), |catalog| catalog.version);
        if version > known && state.ahead.is_none() {
            state.ahead = Some((version, peer));
            self.behind.notify_one();
        }
    }

    /// Waits until a peer is known to have a newer version, and returns that peer.
    pub async fn behind(&self) -> SocketAddr {
        loop {
            self.behind.notified().await;
            let mut state = self.lock();
            let known = state.catalog.as_ref().map_or(Version(0), |catalog| catalog.version);
            if let Some((version, peer)) = state.ahead.take() {
                if version > known {
                    return peer;
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
