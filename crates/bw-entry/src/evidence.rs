//! Evidence against requests that crash endpoints, shared by all entries and kept in the store.

use std::collections::HashSet;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_model::hash::rendezvous_order;
use bw_model::hash::Fingerprints;
use bw_once::evidence::Suspicion;
use bw_once::Crash;
use bw_once::Evidence;
use bw_platform::Quarantine;
use bw_platform::Quarantines;
use bw_platform::Subject;
use bw_proto::encode;
use bw_proto::EntryRequest;
use futures::future::join_all;
use log::info;
use log::warn;
use tokio::sync::Notify;

use crate::config::Config;

/// Maximum time to wait for another entry to confirm the receipt of crashes.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Entries that write a quarantine, besides those that have seen the crash themselves.
const WRITERS: usize = 3;
/// Time between a failed call to the store and its retry.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Wait for the end of a quarantine while there is none.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

#[derive(Default)]
struct State {
    evidence: Evidence,
    /// Quarantined requests that this entry has to write.
    unstored: HashSet<u64>,
    /// Quarantined requests that this entry has written or read.
    stored: HashSet<u64>,
}

/// This entry's copy of the evidence, shared with the other entries.
#[derive(Clone)]
pub struct SharedEvidence {
    instance: String,
    state: Arc<Mutex<State>>,
    /// Signals that a request was quarantined.
    changed: Arc<Notify>,
    clock: BootClock,
    pool: Pool,
    config: Config,
}

impl SharedEvidence {
    /// Creates an empty copy for the entry named `instance`.
    pub fn new(instance: String, pool: Pool, config: Config) -> Self {
        let clock = BootClock::start();
        Self { instance, state: Arc::default(), changed: Arc::default(), clock, pool, config }
    }

    /// Returns the strongest suspicion against the fingerprints of a request.
    pub fn request_suspicion(&self, fingerprints: &Fingerprints) -> Suspicion {
        let state = self.lock();
        let all = fingerprints.distinct().into_iter();
        let suspicions = all.map(|fingerprint| state.evidence.suspicion(fingerprint));
        suspicions.max().unwrap_or(Suspicion::Clear)
    }

    /// Returns the suspicion against a fingerprint.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        self.lock().evidence.suspicion(fingerprint)
    }

    /// Clears the suspicion against the fingerprints of a request that was answered completely.
    pub fn clear(&self, fingerprints: &Fingerprints) {
        let mut state = self.lock();
        for fingerprint in fingerprints.distinct() {
            state.evidence.clear(fingerprint);
        }
    }

    /// Records crashes that this entry has seen and announces new ones to the other entries. Returns after
    /// every other entry has replied or timed out, so that the entries know of the crash before the retry.
    pub async fn record(&self, crashes: Vec<Crash>) {
        self.add(crashes, |_| true).await;
    }

    /// Records and announces crashes as [`Self::record`] does, which an agent or another entry has reported.
    pub async fn receive(&self, crashes: Vec<Crash>) {
        let current = self.config.current();
        let writes = |fingerprint: u64| {
            let Some(current) = &current else { return false };
            let names = current.fleet.entries().map(|(_, entry, _)| entry.name.as_str());
            let order = rendezvous_order(&fingerprint.to_string(), names);
            order.into_iter().take(WRITERS).any(|name| name == self.instance)
        };
        self.add(crashes, writes).await;
    }

    async fn add<W>(&self, crashes: Vec<Crash>, writes: W)
    where
        W: Fn(u64) -> bool,
    {
        let now = self.clock.now();
        let mut fresh = Vec::new();
        for crash in crashes {
            let mut state = self.lock();
            if !state.evidence.record(&crash, now) {
                continue;
            }
            for fingerprint in &crash.fingerprints {
                if state.evidence.suspicion(*fingerprint) != Suspicion::Quarantined {
                    continue;
                }
                if !state.stored.contains(fingerprint) && writes(*fingerprint) {
                    state.unstored.insert(*fingerprint);
                }
                // Also for the time at which the quarantine ends.
                self.changed.notify_one();
            }
            drop(state);
            warn!(
                "event=crash_recorded endpoint={} number={} suspects={}",
                crash.endpoint,
                crash.number,
                crash.fingerprints.len()
            );
            fresh.push(crash);
        }
        if !fresh.is_empty() {
            self.announce(fresh).await;
        }
    }

    /// Reads the quarantines from the store, writes new ones and deletes those that have ended, until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn keep(self, store: Quarantines, mut stop: Stop) -> Result<(), Infallible> {
        let keep = async {
            while !self.restore(&store).await {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
            loop {
                let written = self.write(&store).await && self.delete_ended(&store).await;
                let expiry = self.lock().evidence.next_expiry();
                let expiry = expiry.map(|at| at.saturating_sub(self.clock.now()));
                let wait = if written { expiry.unwrap_or(IDLE_WAIT) } else { RETRY_INTERVAL };
                tokio::select! {
                    () = self.changed.notified() => {}
                    () = tokio::time::sleep(wait) => {}
                }
            }
        };
        tokio::select! {
            () = keep => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    /// Reads the quarantines; returns false if the store does not answer.
    async fn restore(&self, store: &Quarantines) -> bool {
        let list = match store.list().await {
            Ok((list, _)) => list,
            Err(error) => {
                warn!("event=quarantine_not_read reason=\"{error}\"");
                return false;
            }
        };
        let now = self.clock.now();
        let mut state = self.lock();
        for quarantine in list {
            // Parts of prompts are quarantined by gateways only.
            let Quarantine::Request { request, crashes } = quarantine else { continue };
            warn!("event=request_quarantined fingerprint={request:016x} reason=store");
            state.evidence.restore(request, &crashes, now);
            state.stored.insert(request);
        }
        true
    }

    /// Writes new quarantines; returns false if the store does not answer.
    async fn write(&self, store: &Quarantines) -> bool {
        let unstored: Vec<u64> = self.lock().unstored.iter().copied().collect();
        for request in unstored {
            let crashes = self.lock().evidence.crashes(request).to_vec();
            if let Err(error) = store.write(&Quarantine::Request { request, crashes }).await {
                warn!("event=quarantine_not_written reason=\"{error}\"");
                return false;
            }
            info!("event=request_quarantined fingerprint={request:016x} reason=crashes");
            let mut state = self.lock();
            state.unstored.remove(&request);
            state.stored.insert(request);
        }
        true
    }

    /// Deletes the quarantines that have ended; returns false if the store does not answer.
    async fn delete_ended(&self, store: &Quarantines) -> bool {
        for request in self.lock().evidence.expire(self.clock.now()) {
            info!("event=request_released fingerprint={request:016x}");
        }
        let ended: Vec<u64> = {
            let state = self.lock();
            let quarantined =
                |request: &u64| state.evidence.suspicion(*request) == Suspicion::Quarantined;
            state.stored.iter().copied().filter(|request| !quarantined(request)).collect()
        };
        for request in ended {
            if let Err(error) = store.delete(Subject::Request(request)).await {
                warn!("event=quarantine_not_deleted reason=\"{error}\"");
                return false;
            }
            self.lock().stored.remove(&request);
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends crashes to all other entries in parallel.
    async fn announce(&self, crashes: Vec<Crash>) {
        let Some(current) = self.config.current() else {
            return;
        };
        let Ok(bytes) = encode(&EntryRequest::Crashes(crashes)) else {
            return;
        };
        let mut calls = Vec::new();
        for (_, entry, _) in current.fleet.entries() {
            if entry.name.as_str() != self.instance {
                calls.push(self.pool.call(entry.link, &bytes, ANNOUNCE_TIMEOUT));
            }
        }
        join_all(calls).await;
    }
}
