//! Evidence against requests that crash the endpoints they run on.
//!
//! When its engine crashes, an agent reports the fingerprints of the requests in flight. Each of
//! them gets a strike for the crash. A request with a strike is suspect, and the agent's gate never
//! runs two suspect requests side by side, so that a second crash distinguishes the cause from the
//! requests that were in flight with it. At [`STRIKES_MAX`] strikes a request is quarantined; a
//! complete answer before that clears its strikes.

use std::collections::HashMap;
use std::collections::VecDeque;

use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// Crashes after which a request is quarantined.
pub const STRIKES_MAX: usize = 2;
/// Maximum number of fingerprints with strikes; the oldest is dropped first.
const SUSPECTS_MAX: usize = 4_096;

/// Crash of an engine, identified by its agent's incarnation and a number within the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Endpoint whose engine crashed.
    pub endpoint: String,
    /// Incarnation of the agent that reported the crash.
    pub incarnation: Incarnation,
    /// Number of the crash within the incarnation.
    pub number: u32,
    /// Fingerprints of the requests in flight.
    pub fingerprints: Vec<u64>,
}

/// Endpoint, incarnation and number, which together identify a crash.
type CrashId = (String, Incarnation, u32);

/// Degree to which a request is suspected of crashing endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Suspicion {
    /// The request has no strikes.
    Clear,
    /// The request was in flight at a crash.
    Suspect,
    /// The request was in flight at too many crashes and is not sent again.
    Quarantined,
}

/// Strikes by fingerprint.
#[derive(Clone, Debug)]
pub struct Evidence {
    strikes: HashMap<u64, Vec<CrashId>>,
    /// Fingerprints in the order of their first strike.
    order: VecDeque<u64>,
    /// Crashes after which a request is quarantined.
    limit: usize,
}

impl Default for Evidence {
    fn default() -> Self {
        Self::with_limit(STRIKES_MAX)
    }
}

impl Evidence {
    /// Creates a record without strikes that quarantines at [`STRIKES_MAX`] crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a record without strikes that quarantines at `limit` crashes.
    pub fn with_limit(limit: usize) -> Self {
        Self { strikes: HashMap::new(), order: VecDeque::new(), limit }
    }

    /// Records a crash. Returns true if this added a strike.
    pub fn record(&mut self, crash: &Crash) -> bool {
        let id = (crash.endpoint.clone(), crash.incarnation, crash.number);
        let mut added = false;
        for fingerprint in &crash.fingerprints {
            let strikes = self.strikes.entry(*fingerprint).or_insert_with(|| {
                self.order.push_back(*fingerprint);
                Vec::new()
            });
            if !strikes.contains(&id) {
                strikes.push(id.clone());
                added = true;
            }
        }
        self.drop_oldest();
        added
    }

    /// Clears the strikes of a request that was answered completely, unless it is quarantined.
    pub fn clear(&mut self, fingerprint: u64) {
        if self.suspicion(fingerprint) == Suspicion::Suspect {
            self.strikes.remove(&fingerprint);
            self.order.retain(|other| *other != fingerprint);
        }
    }

    /// Returns the suspicion against the requests with this fingerprint.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        match self.strikes.get(&fingerprint).map_or(0, Vec::len) {
            0 => Suspicion::Clear,
            strikes if strikes < self.limit => Suspicion::Suspect,
            _ => Suspicion::Quarantined,
        }
    }

    /// Returns the strikes of quarantined requests, each with its endpoint and incarnation; the requests that
    /// were suspected last come first.
    pub fn quarantined(&self) -> impl Iterator<Item = (u64, &str, Incarnation)> {
        let fingerprints = self.order.iter().rev().copied();
        let quarantined = fingerprints
            .filter(|fingerprint| self.suspicion(*fingerprint) == Suspicion::Quarantined);
        quarantined.flat_map(|fingerprint| {
            let strikes = self.strikes.get(&fingerprint).into_iter().flatten();
            strikes.map(move |(endpoint, incarnation, _)| {
                (fingerprint, endpoint.as_str(), *incarnation)
            })
        })
    }

    /// Returns the number of fingerprints with a strike.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// Returns true if no fingerprint has a strike.
    pub fn is_empty(&self) -> bool {
        self.strikes.is_empty()
    }

    fn drop_oldest(&mut self) {
        while self.order.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.strikes.remove(&oldest);
            }
        }
    }
}
