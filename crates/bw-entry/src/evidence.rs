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

const TELL_LIMIT: Duration = Duration::from_millis(500);

/// The evidence as this entry knows it.
#[derive(Clone)]
pub struct SharedEvidence {
    instance: String,
    evidence: Arc<Mutex<Evidence>>,
    pool: Pool,
    config: Config,
}

impl SharedEvidence {
    /// No evidence yet.
    pub fn new(instance: String, pool: Pool, config: Config) -> Self {
        Self { instance, evidence: Arc::default(), pool, config }
    }

    /// How a request stands.
    pub fn standing(&self, fingerprint: u64) -> Suspicion {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner).suspicion(fingerprint)
    }

    /// Clears a request that was answered whole.
    pub fn clear(&self, fingerprint: u64) {
        self.evidence.lock().unwrap_or_else(PoisonError::into_inner).clear(fingerprint);
    }

    /// Records crashes and tells the other entries those that were not known. Returns once they
    /// have been told, so that a retry follows the evidence.
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
            self.tell(fresh).await;
        }
    }

    async fn tell(&self, crashes: Vec<Crash>) {
        let Some(current) = self.config.current() else {
            return;
        };
        let Ok(bytes) = encode(&EntryRequest::Crashes(crashes)) else {
            return;
        };
        let mut calls = Vec::new();
        for (_, entry, _) in current.fleet.entries() {
            if entry.name.as_str() != self.instance {
                calls.push(self.pool.call(entry.link, &bytes, TELL_LIMIT));
            }
        }
        join_all(calls).await;
    }
}
