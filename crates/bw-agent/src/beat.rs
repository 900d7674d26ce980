//! Heartbeats to entries.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_kernel::live::Live;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_member::Heartbeat;
use bw_member::Load;
use bw_model::Version;
use bw_once::Crash;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::view::HEARTBEAT_TARGETS;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use futures::future::join_all;
use log::warn;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::runner::ServiceTime;
use crate::settings::Settings;
use crate::view::Viewer;

const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Time between two heartbeats of a rank that takes no requests, in heartbeats of one that does.
const FOLLOWER_BEATS: u32 = 6;
/// Time for which an entry that did not answer is tried after the others.
const SILENT_FOR: Duration = Duration::from_secs(15);
/// Heartbeats without an answer after which the platform is asked for the configuration.
const LONELY_BEATS: u64 = 10;

/// Sends heartbeats and crash evidence.
#[derive(Clone)]
pub struct Beater {
    /// Instance of the agent.
    pub instance: String,
    /// The settings: entries to ask before a view is known, time between two heartbeats.
    pub settings: Live<Settings>,
    /// Links.
    pub pool: Pool,
    /// Attempts, for the load.
    pub attempts: Attempts,
    /// Configuration.
    pub viewer: Viewer,
    /// Mean service time.
    pub time: ServiceTime,
    /// Crashes not yet told.
    pub crashes: Crashes,
    /// Entries that did not answer lately.
    pub silent: SilentEntries,
}

/// Entries that did not answer, with the time of the last try.
#[derive(Clone, Default)]
pub struct SilentEntries {
    times: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl SilentEntries {
    fn note(&self, entry: SocketAddr, answered: bool) {
        let mut times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        if answered {
            times.remove(&entry);
        } else {
            times.insert(entry, Instant::now());
        }
    }

    /// Whether an entry was silent so lately that others go first.
    fn contains(&self, entry: &SocketAddr) -> bool {
        let times = self.times.lock().unwrap_or_else(PoisonError::into_inner);
        times.get(entry).is_some_and(|time| time.elapsed() < SILENT_FOR)
    }
}

/// Crashes that entries have to be told of.
#[derive(Clone, Default)]
pub struct Crashes {
    waiting: Arc<Mutex<Vec<Crash>>>,
    news: Arc<Notify>,
}

impl Crashes {
    /// Adds a crash, which is told at once.
    pub fn add(&self, crash: Crash) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).push(crash);
        self.news.notify_one();
    }

    /// Waits for a crash or another reason to send a heartbeat at once.
    pub async fn wait(&self) {
        self.news.notified().await;
    }

    /// Sends the next heartbeat at once.
    pub fn hurry(&self) {
        self.news.notify_one();
    }

    fn take(&self) -> Vec<Crash> {
        std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn put_back(&self, crashes: Vec<Crash>) {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).extend(crashes);
    }
}

impl Beater {
    /// Sends heartbeats until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut seq = 0;
        let mut lonely = 0;
        let mut told = self.viewer.version();
        loop {
            seq += 1;
            let answered = self.beat_once(seq).await;
            if self.viewer.version() > told {
                // Says at once that the new version is in force here.
                told = self.viewer.version();
                continue;
            }
            lonely = if answered { 0 } else { lonely + 1 };
            if lonely > 0 && lonely % LONELY_BEATS == 0 {
                warn!("event=no_entry_answers heartbeats={lonely}");
                self.viewer.ask_platform().await;
            }
            self.attempts.sweep();
            tokio::select! {
                () = tokio::time::sleep(self.wait()) => {}
                () = self.crashes.wait() => {}
                () = stop.wait() => break,
            }
        }
        self.beat_once(seq + 1).await;
        Ok(())
    }

    /// Whether this rank takes no requests, so that entries need not hear of it often.
    fn is_follower(&self) -> bool {
        self.viewer.current().is_some_and(|view| view.rank > 0)
    }

    /// Time between two heartbeats of this rank.
    fn own_interval(&self) -> Duration {
        self.settings.get().beat * if self.is_follower() { FOLLOWER_BEATS } else { 1 }
    }

    fn wait(&self) -> Duration {
        // Spread over a tenth, so that agents started together do not stay together.
        let spread = 0.95 + 0.1 * rand::random::<f64>();
        self.own_interval().mul_f64(spread)
    }

    /// Sends one heartbeat to the preferred entries; true when one of them answered.
    async fn beat_once(&self, seq: u64) -> bool {
        let targets = self.targets();
        let beat = encode(&EntryRequest::Heartbeat(self.beat(seq)));
        let Ok(bytes) = beat else { return false };
        let crashes = self.crashes.take();
        let evidence = if crashes.is_empty() {
            None
        } else {
            encode(&EntryRequest::Crashes(crashes.clone())).ok()
        };
        let mut answered = 0;
        let hearers = if self.is_follower() { 1 } else { HEARTBEAT_TARGETS };
        for group in targets.chunks(hearers) {
            let mut calls = Vec::new();
            for entry in group {
                calls.push(self.tell(*entry, &bytes, evidence.as_deref()));
            }
            let results = join_all(calls).await;
            answered += results.into_iter().filter(|answered| *answered).count();
            if answered > 0 {
                break;
            }
        }
        if answered == 0 && !crashes.is_empty() {
            self.crashes.put_back(crashes);
        }
        answered > 0
    }

    async fn tell(&self, entry: SocketAddr, beat: &[u8], evidence: Option<&[u8]>) -> bool {
        if let Some(bytes) = evidence {
            // The heartbeat that follows tells whether the entry can be reached.
            let _ = self.pool.call(entry, bytes, CALL_LIMIT).await;
        }
        let reply = self.pool.call(entry, beat, CALL_LIMIT).await;
        self.silent.note(entry, reply.is_ok());
        let Ok(reply) = reply else { return false };
        let Ok(EntryReply::Version(version)) = decode(&reply) else {
            return false;
        };
        if version > self.viewer.version() {
            return self.viewer.ask_entry(entry).await;
        }
        version > Version(0)
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = match self.viewer.current() {
            Some(view) => view.entries.clone(),
            None => self.settings.get().entries.clone(),
        };
        targets.sort_by_key(|entry| self.silent.contains(entry));
        targets
    }

    fn beat(&self, seq: u64) -> Heartbeat {
        let view = self.viewer.current();
        let takes_requests = view.as_ref().is_some_and(|view| view.rank == 0);
        let load = takes_requests.then(|| Load {
            running: self.attempts.running() as u32,
            queued: 0,
            slots: view.as_ref().map_or(0, |view| view.slots),
            service: self.time.millis(),
        });
        Heartbeat {
            instance: self.instance.clone(),
            incarnation: self.attempts.incarnation(),
            seq,
            leaving: self.attempts.is_leaving(),
            version: self.viewer.version(),
            interval: self.own_interval().as_millis() as u32,
            load,
        }
    }
}
