//! Evidence against requests that crash endpoints, shared by all entries.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_link::Pool;
use bw_once::evidence::Suspicion;
use bw_once::Crash;
use bw_once::Evidence;
use bw_proto::encode;
use bw_proto::EntryRequest;
use futures::future::join_all;
use log::warn;

use crate::config::Config;

/// Maximum time to wait for another entry to confirm the receipt of crashes.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// This entry's copy of the evidence, shared with the other entries.
#[derive(Clone)]
pub struct SharedEvidence {
    instance: String,
    evidence: Arc<Mutex<Evidence>>,
    pool: Pool,
    config: Config,
}

impl SharedEvidence {
    /// Creates an empty copy for the entry named `instance`.
    pub fn new(instance: String, pool: Pool, config: Config) -> Self {
        Self { instance, evidence: Arc::default(), pool, config }
    }

    /// Returns the suspicion against a request.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner).suspicion(fingerprint)
    }

    /// Clears the suspicion against a request that was answered completely.
    pub fn clear(&self, fingerprint: u64) {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner).clear(fingerprint);
    }

    /// Records crashes and announces new ones to the other entries. Returns after every other entry
    /// has replied or timed out, so that the entries know of the crash before the retry.
    pub async fn record(&self, crashes: Vec<Crash>) {
        let fresh: Vec<Crash> = {
            let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
            crashes.into_iter().filter(|crash| evidence.record(crash)).collect()
        };
        for crash in &fresh {
            warn!(
                "event=crash_recorded endpoint={} number={} suspects={}",
                crash.endpoint,
                crash.number,
                crash.fingerprints.len()
            );
        }
        if !fresh.is_empty() {
            self.announce(fresh).await;
        }
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
