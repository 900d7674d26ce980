//! The configuration in force: the newest one seen, never an older one.

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

/// Changes kept for peers that are behind.
const DELTAS_MAX: usize = 64;
/// Entries of each data centre that watch the store.
const WATCHERS: usize = 2;
const WATCH_WAIT: Duration = Duration::from_secs(20);
const FETCH_LIMIT: Duration = Duration::from_secs(2);
/// First pause after a failed read; doubles up to the longest.
const PAUSE_FIRST: Duration = Duration::from_millis(200);
const PAUSE_LONGEST: Duration = Duration::from_secs(10);
/// Time between two looks of an entry that does not watch.
const IDLE: Duration = Duration::from_secs(2);

/// One accepted configuration.
#[derive(Debug)]
pub struct Current {
    /// Its text.
    pub document: Document,
    /// Its checked form.
    pub fleet: Fleet,
}

impl Current {
    /// Its version.
    pub fn version(&self) -> Version {
        self.fleet.version
    }
}

/// The configuration in force, now and later; `None` before the first one.
pub type Watched = watch::Receiver<Option<Arc<Current>>>;

/// Learns, keeps and hands on the configuration.
#[derive(Clone)]
pub struct Config {
    instance: String,
    store: ConfigStore,
    pool: Pool,
    current: watch::Sender<Option<Arc<Current>>>,
    deltas: Arc<Mutex<VecDeque<Delta>>>,
    parts: Arc<tokio::sync::Mutex<HashMap<String, Document>>>,
}

impl Config {
    /// Knows no configuration yet.
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

    /// The configuration in force, now and later.
    pub fn subscribe(&self) -> Watched {
        self.current.subscribe()
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<Arc<Current>> {
        self.current.borrow().clone()
    }

    /// The version in force; 0 before the first one.
    pub fn version(&self) -> Version {
        self.current().map_or(Version(0), |current| current.version())
    }

    /// What a process that has version `have` lacks.
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
        Update::Delta(join_deltas(deltas.iter().skip(first)))
    }

    /// Fetches from a peer what is missing here.
    pub async fn fetch(&self, peer: SocketAddr) {
        let Ok(bytes) = encode(&EntryRequest::Fetch(self.version())) else {
            return;
        };
        let Ok(reply) = self.pool.call(peer, &bytes, FETCH_LIMIT).await else {
            return;
        };
        match decode(&reply) {
            Ok(EntryReply::Update(update)) => self.take_update(update),
            Ok(_) => warn!("event=configuration_refused peer={peer} reason=\"not an update\""),
            Err(error) => warn!("event=configuration_refused peer={peer} reason=\"{error}\""),
        }
    }

    /// Takes an update from a peer; a late or repeated one changes nothing.
    pub fn take_update(&self, update: Update) {
        match update {
            Update::Current(_) => {}
            Update::Whole(version, document) => self.take(version, document, "peer"),
            Update::Delta(delta) => {
                let Some(current) = self.current() else {
                    return;
                };
                if current.version() == delta.from {
                    let mut document = current.document.clone();
                    document.apply(&delta);
                    self.take(delta.to, document, "peer");
                }
            }
        }
    }

    /// Puts a configuration in force unless it is not newer than the present one.
    pub fn take(&self, version: Version, document: Document, source: &str) {
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
        let next = Arc::new(Current { document, fleet });
        let replaced = self.current.send_if_modified(|current| {
            // Another task may have put a newer one in force in the meantime.
            let newer = current.as_ref().is_none_or(|current| current.version() < version);
            if newer {
                self.keep_delta(current.as_deref(), &next);
                *current = Some(next.clone());
            }
            newer
        });
        if replaced {
            info!("event=configuration_in_force version={version} source={source}");
        }
    }

    /// Follows the store or leaves that to the peers, until `stop`.
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
        let mut pause = PAUSE_FIRST;
        let mut object = 0;
        loop {
            if self.current().is_none() {
                for seed in seeds {
                    self.fetch(*seed).await;
                }
            } else if !self.is_watcher(members) {
                object = 0;
                tokio::time::sleep(IDLE).await;
                continue;
            }
            match self.follow_store(&mut object).await {
                Ok(()) => pause = PAUSE_FIRST,
                Err(error) => {
                    warn!("event=platform_unread reason=\"{error}\"");
                    object = 0;
                    // Spread the return of many processes after an outage.
                    let spread = 0.5 + rand::random::<f64>();
                    tokio::time::sleep(pause.mul_f64(spread)).await;
                    pause = (pause * 2).min(PAUSE_LONGEST);
                }
            }
        }
    }

    /// Reads the head, or waits for the next one when it was read before.
    async fn follow_store(&self, object: &mut u64) -> Result<(), StoreError> {
        let read = if *object == 0 {
            Some(self.store.head().await?)
        } else {
            self.store.watch(*object, WATCH_WAIT).await?
        };
        let Some(read) = read else { return Ok(()) };
        if read.revision == 0 {
            tokio::time::sleep(PAUSE_FIRST).await;
            return Ok(());
        }
        self.read_document(&read).await?;
        *object = read.revision;
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
        self.take(read.head.version, document, "store");
        Ok(())
    }

    /// Whether this entry is one of the few of its data centre that watch the store.
    fn is_watcher(&self, members: &Members) -> bool {
        let Some(current) = self.current() else {
            return true;
        };
        let names = members.live_entries_near(&current.fleet);
        let order = rendezvous_order("watch", names.iter().map(String::as_str));
        order.iter().take(WATCHERS).any(|name| *name == self.instance)
    }

    fn keep_delta(&self, current: Option<&Current>, next: &Current) {
        let Some(current) = current else { return };
        let delta = current.document.delta(current.version(), &next.document, next.version());
        let mut deltas = self.deltas.lock().unwrap_or_else(PoisonError::into_inner);
        deltas.push_back(delta);
        while deltas.len() > DELTAS_MAX {
            deltas.pop_front();
        }
    }
}

/// Joins changes that follow each other into one.
fn join_deltas<'a, I>(deltas: I) -> Delta
where
    I: Iterator<Item = &'a Delta>,
{
    let mut joined: Option<Delta> = None;
    for delta in deltas {
        let Some(sum) = &mut joined else {
            joined = Some(delta.clone());
            continue;
        };
        sum.to = delta.to;
        for header in &delta.removed {
            sum.changed.remove(header);
            sum.removed.push(header.clone());
        }
        for (header, keys) in &delta.changed {
            sum.removed.retain(|removed| removed != header);
            sum.changed.insert(header.clone(), keys.clone());
        }
    }
    joined.unwrap_or_default()
}
