//! The configuration in force: the newest one received. An older one never replaces it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_conf::build_fleet;
use bw_conf::Delta;
use bw_conf::Document;
use bw_conf::Update;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_model::hash::rendezvous_order;
use bw_model::Fleet;
use bw_model::Position;
use bw_model::Version;
use bw_platform::config::HeadRead;
use bw_platform::ConfigStore;
use bw_platform::StoreError;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use log::info;
use log::warn;
use tokio::sync::watch;

use crate::members::Members;

/// Maximum number of deltas kept for peers that have an older version.
const DELTAS_MAX: usize = 64;
/// Number of entries in each data centre that watch the store.
const WATCHERS: usize = 2;
/// Longest wait of one watch call for a new head.
const WATCH_WAIT: Duration = Duration::from_secs(20);
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// First delay after a failed read; doubles up to [`BACKOFF_MAX`].
const BACKOFF_MIN: Duration = Duration::from_millis(200);
const BACKOFF_MAX: Duration = Duration::from_secs(10);
/// Interval at which an entry that does not watch the store checks whether it has to.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// An accepted configuration.
#[derive(Debug)]
pub struct CurrentConfig {
    /// Sections as accepted, from which deltas to other versions are computed.
    pub document: Document,
    /// Validated form of the document.
    pub fleet: Fleet,
}

impl CurrentConfig {
    /// Returns the version of the configuration.
    pub fn version(&self) -> Version {
        self.fleet.version
    }
}

/// Receives the configuration in force and its replacements; `None` before the first one.
pub type ConfigReceiver = watch::Receiver<Option<Arc<CurrentConfig>>>;

/// Obtains the configuration from the store or from peers, and forwards it to peers.
#[derive(Clone)]
pub struct Config {
    instance: String,
    store: ConfigStore,
    pool: Pool,
    current: watch::Sender<Option<Arc<CurrentConfig>>>,
    deltas: Arc<Mutex<VecDeque<Delta>>>,
    /// Parts of the accepted document by object name, so that only changed parts are read again.
    parts: Arc<tokio::sync::Mutex<HashMap<String, Document>>>,
}

impl Config {
    /// Creates the service without a configuration.
    pub fn new(instance: String, store: ConfigStore, pool: Pool) -> Self {
        Self {
            instance,
            store,
            pool,
            current: watch::Sender::new(None),
            deltas: Arc::default(),
            parts: Arc::default(),
        }
    }

    /// Returns a receiver of the configuration in force and its replacements.
    pub fn subscribe(&self) -> ConfigReceiver {
        self.current.subscribe()
    }

    /// Returns the configuration in force, if there is one.
    pub fn current(&self) -> Option<Arc<CurrentConfig>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force; 0 before the first configuration.
    pub fn version(&self) -> Version {
        self.current().map_or(Version(0), |current| current.version())
    }

    /// Returns the update for a process that has version `have`: the merged deltas if they are
    /// kept from that version on, else the whole configuration.
    pub fn update_since(&self, have: Version) -> Update {
        let Some(current) = self.current() else {
            return Update::Current(Version(0));
        };
        if have >= current.version() {
            return Update::Current(current.version());
        }
        let deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        let first = deltas.iter().position(|delta| delta.from == have);
        let Some(first) = first else {
            return Update::Whole(current.version(), current.document.clone());
        };
        Update::Delta(merge_deltas(deltas.iter().skip(first)))
    }

    /// Requests an update from a peer and applies it.
    pub async fn fetch(&self, peer: SocketAddr) {
        let Ok(bytes) = encode(&EntryRequest::Fetch(self.version())) else {
            return;
        };
        let Ok(reply) = self.pool.call(peer, &bytes, FETCH_TIMEOUT).await else {
            return;
        };
        match decode(&reply) {
            Ok(EntryReply::Update(update)) => self.apply_update(update),
            Ok(_) => warn!("event=configuration_refused peer={peer} reason=\"not an update\""),
            Err(error) => warn!("event=configuration_refused peer={peer} reason=\"{error}\""),
        }
    }

    /// Applies an update from a peer; an outdated or repeated one has no effect.
    pub fn apply_update(&self, update: Update) {
        match update {
            Update::Current(_) => {}
            Update::Whole(version, document) => self.accept(version, document, "peer"),
            Update::Delta(delta) => {
                let Some(current) = self.current() else {
                    return;
                };
                if current.version() == delta.from {
                    let mut document = current.document.clone();
                    document.apply(&delta);
                    self.accept(delta.to, document, "peer");
                }
            }
        }
    }

    /// Puts a configuration in force if it is valid and newer than the current one.
    pub fn accept(&self, version: Version, document: Document, source: &str) {
        if version <= self.version() {
            return;
        }
        let fleet = match build_fleet(version, &[document.to_file("accepted configuration")]) {
            Ok(fleet) => fleet,
            Err(faults) => {
                warn!("event=configuration_faulty version={version} faults=\"{faults}\"");
                return;
            }
        };
        let next = Arc::new(CurrentConfig { document, fleet });
        let replaced = self.current.send_if_modified(|current| {
            // Another task may have put a newer configuration in force since the check above.
            let is_newer = current.as_ref().is_none_or(|current| current.version() < version);
            if is_newer {
                self.record_delta(current.as_deref(), &next);
                *current = Some(next.clone());
            }
            is_newer
        });
        if replaced {
            info!("event=configuration_in_force version={version} source={source}");
        }
    }

    /// Watches the store, or relies on updates from peers if other entries watch it, until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(
        self,
        members: Members,
        seeds: Vec<SocketAddr>,
        mut stop: Stop,
    ) -> Result<(), Infallible> {
        tokio::select! {
            () = self.follow(&members, &seeds) => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn follow(&self, members: &Members, seeds: &[SocketAddr]) {
        let mut backoff = BACKOFF_MIN;
        let mut position = None;
        loop {
            if self.current().is_none() {
                for seed in seeds {
                    self.fetch(*seed).await;
                }
            } else if !self.is_watcher(members) {
                position = None;
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
            match self.follow_store(&mut position).await {
                Ok(()) => backoff = BACKOFF_MIN,
                Err(error) => {
                    warn!("event=platform_unread reason=\"{error}\"");
                    position = None;
                    // Jitter spreads the calls of many processes when the store recovers from an
                    // outage.
                    let jitter = 0.5 + rand::random::<f64>();
                    tokio::time::sleep(backoff.mul_f64(jitter)).await;
                    backoff = (backoff * 2).min(BACKOFF_MAX);
                }
            }
        }
    }

    /// Reads the head object, or waits for one after `position`, and accepts the configuration that the
    /// head refers to. `position` is that of the last head read.
    async fn follow_store(&self, position: &mut Option<Position>) -> Result<(), StoreError> {
        let read = match *position {
            None => Some(self.store.head().await?),
            Some(position) => self.store.watch(position, WATCH_WAIT).await?,
        };
        let Some(read) = read else { return Ok(()) };
        if read.revision == 0 {
            tokio::time::sleep(BACKOFF_MIN).await;
            return Ok(());
        }
        self.read_document(&read).await?;
        *position = Some(read.position());
        Ok(())
    }

    async fn read_document(&self, read: &HeadRead) -> Result<(), StoreError> {
        if read.head.version <= self.version() {
            return Ok(());
        }
        let mut parts = self.parts.lock().await;
        parts.retain(|name, _| read.head.parts.contains(name));
        let missing = self.store.parts(&read.head, &parts).await?;
        parts.extend(missing);
        let document = Document::join(parts.values().cloned().collect());
        self.accept(read.head.version, document, "store");
        Ok(())
    }

    /// Returns whether this entry is one of the [`WATCHERS`] of its data centre that watch the
    /// store. Every entry does so before the first configuration.
    fn is_watcher(&self, members: &Members) -> bool {
        let Some(current) = self.current() else {
            return true;
        };
        let names = members.live_entries_in_centre(&current.fleet);
        let order = rendezvous_order("watch", names.iter().map(String::as_str));
        order.iter().take(WATCHERS).any(|name| *name == self.instance)
    }

    /// Records the delta from `current` to `next` for peers, and drops the oldest ones beyond
    /// [`DELTAS_MAX`].
    fn record_delta(&self, current: Option<&CurrentConfig>, next: &CurrentConfig) {
        let Some(current) = current else { return };
        let delta = current.document.delta(current.version(), &next.document, next.version());
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        deltas.push_back(delta);
        while deltas.len() > DELTAS_MAX {
            deltas.pop_front();
        }
    }
}

/// Merges consecutive deltas into one.
fn merge_deltas<'a, I>(deltas: I) -> Delta
where
    I: Iterator<Item = &'a Delta>,
{
    let mut merged: Option<Delta> = None;
    for delta in deltas {
        let Some(target) = &mut merged else {
            merged = Some(delta.clone());
            continue;
        };
        target.to = delta.to;
        for header in &delta.removed {
            target.changed.remove(header);
            target.removed.push(header.clone());
        }
        for (header, keys) in &delta.changed {
            target.removed.retain(|removed| removed != header);
            target.changed.insert(header.clone(), keys.clone());
        }
    }
    merged.unwrap_or_default()
}
