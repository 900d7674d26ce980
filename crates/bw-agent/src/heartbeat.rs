//! Heartbeats and crash reports to entries.

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
use crate::view::ViewCache;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Heartbeat interval of a rank that takes no requests, as a multiple of the interval of one that
/// does.
const FOLLOWER_FACTOR: u32 = 6;
/// Time for which an entry that did not answer is tried after the others.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(15);
/// Number of consecutive unanswered heartbeats after which the configuration is read from the
/// platform, again after each further as many.
const UNANSWERED_MAX: u64 = 10;

/// Sends heartbeats and crash reports to the preferred entries.
#[derive(Clone)]
pub struct HeartbeatSender {
    /// Instance of the agent.
    pub instance: String,
    /// Settings in force: entries to contact before a view is known, and the heartbeat interval.
    pub settings: Live<Settings>,
    /// Connections to entries.
    pub pool: Pool,
    /// Attempts, from which the reported load is taken.
    pub attempts: Attempts,
    /// Configuration in force.
    pub views: ViewCache,
    /// Mean service time, reported with the load.
    pub service_time: ServiceTime,
    /// Crashes not yet reported.
    pub crashes: Crashes,
    /// Entries that did not answer recently.
    pub unresponsive: UnresponsiveEntries,
}

/// Entries that did not answer their last heartbeat.
#[derive(Clone, Default)]
pub struct UnresponsiveEntries {
    /// Time of the last failed call of each entry.
    failed_at: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl UnresponsiveEntries {
    fn record(&self, entry: SocketAddr, answered: bool) {
        let mut failed_at = self.failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        if answered {
            failed_at.remove(&entry);
        } else {
            failed_at.insert(entry, Instant::now());
        }
    }

    /// Returns true if an entry failed to answer so recently that others are tried first.
    fn contains(&self, entry: &SocketAddr) -> bool {
        let failed_at = self.failed_at.lock().unwrap_or_else(PoisonError::into_inner);
        failed_at.get(entry).is_some_and(|time| time.elapsed() < UNRESPONSIVE_FOR)
    }
}

/// Queue of crashes to report to entries.
#[derive(Clone, Default)]
pub struct Crashes {
    pending: Arc<Mutex<Vec<Crash>>>,
    wake: Arc<Notify>,
}

impl Crashes {
    /// Adds a crash and wakes the heartbeat task, which reports it at once.
    pub fn add(&self, crash: Crash) {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).push(crash);
        self.wake.notify_one();
    }

    /// Waits until a heartbeat is due at once, because of a crash or of [`Crashes::wake`].
    pub async fn wait(&self) {
        self.wake.notified().await;
    }

    /// Makes the heartbeat task send the next heartbeat at once.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    fn take(&self) -> Vec<Crash> {
        std::mem::take(&mut *self.pending.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn put_back(&self, crashes: Vec<Crash>) {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner).extend(crashes);
    }
}

impl HeartbeatSender {
    /// Sends heartbeats until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut seq = 0;
        let mut unanswered = 0;
        let mut announced = self.views.version();
        loop {
            seq += 1;
            let answered = self.send_heartbeat(seq).await;
            if self.views.version() > announced {
                // The next heartbeat announces at once that the new version is in force here.
                announced = self.views.version();
                continue;
            }
            unanswered = if answered { 0 } else { unanswered + 1 };
            if unanswered > 0 && unanswered % UNANSWERED_MAX == 0 {
                warn!("event=no_entry_answers heartbeats={unanswered}");
                self.views.fetch_from_platform().await;
            }
            self.attempts.sweep();
            tokio::select! {
                () = tokio::time::sleep(self.next_delay()) => {}
                () = self.crashes.wait() => {}
                () = stop.wait() => break,
            }
        }
        self.send_heartbeat(seq + 1).await;
        Ok(())
    }

    /// Returns true if this rank takes no requests, so that it can report to entries less often.
    fn is_follower(&self) -> bool {
        self.views.current().is_some_and(|view| view.rank > 0)
    }

    /// Returns the nominal time between two heartbeats of this rank.
    fn interval(&self) -> Duration {
        self.settings.get().heartbeat_interval
            * if self.is_follower() { FOLLOWER_FACTOR } else { 1 }
    }

    fn next_delay(&self) -> Duration {
        // Jitter over a tenth of the interval, so that the heartbeats of agents that were started
        // together do not stay in phase.
        let jitter = 0.95 + 0.1 * rand::random::<f64>();
        self.interval().mul_f64(jitter)
    }

    /// Sends one heartbeat to the preferred entries, and to the next ones if none of those answers.
    /// Returns true if an entry answered. Crash reports that reached no entry are queued again.
    async fn send_heartbeat(&self, seq: u64) -> bool {
        let targets = self.targets();
        let heartbeat = encode(&EntryRequest::Heartbeat(self.heartbeat(seq)));
        let Ok(bytes) = heartbeat else { return false };
        let crashes = self.crashes.take();
        let crash_report = if crashes.is_empty() {
            None
        } else {
            encode(&EntryRequest::Crashes(crashes.clone())).ok()
        };
        let mut answered = 0;
        let group_size = if self.is_follower() { 1 } else { HEARTBEAT_TARGETS };
        for group in targets.chunks(group_size) {
            let mut calls = Vec::new();
            for entry in group {
                calls.push(self.send_to(*entry, &bytes, crash_report.as_deref()));
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

    async fn send_to(
        &self,
        entry: SocketAddr,
        heartbeat: &[u8],
        crash_report: Option<&[u8]>,
    ) -> bool {
        if let Some(bytes) = crash_report {
            // The result is ignored: the call below shows whether the entry is reachable.
            let _ = self.pool.call(entry, bytes, CALL_TIMEOUT).await;
        }
        let reply = self.pool.call(entry, heartbeat, CALL_TIMEOUT).await;
        self.unresponsive.record(entry, reply.is_ok());
        let Ok(reply) = reply else { return false };
        let Ok(EntryReply::Version(version)) = decode(&reply) else {
            return false;
        };
        if version > self.views.version() {
            return self.views.fetch_from_entry(entry).await;
        }
        version > Version(0)
    }

    fn targets(&self) -> Vec<SocketAddr> {
        let mut targets = match self.views.current() {
            Some(view) => view.entries.clone(),
            None => self.settings.get().entries.clone(),
        };
        targets.sort_by_key(|entry| self.unresponsive.contains(entry));
        targets
    }

    fn heartbeat(&self, seq: u64) -> Heartbeat {
        let view = self.views.current();
        let takes_requests = view.as_ref().is_some_and(|view| view.rank == 0);
        let load = takes_requests.then(|| Load {
            running: self.attempts.running() as u32,
            queued: 0,
            slots: view.as_ref().map_or(0, |view| view.slots),
            service: self.service_time.millis(),
        });
        Heartbeat {
            instance: self.instance.clone(),
            incarnation: self.attempts.incarnation(),
            seq,
            leaving: self.attempts.is_leaving(),
            version: self.views.version(),
            interval: self.interval().as_millis() as u32,
            load,
        }
    }
}
