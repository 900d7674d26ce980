//! Evidence against requests that crash the endpoints they run on.
//!
//! An agent that sees its engine die names the fingerprints in flight. Each gets a strike for that
//! crash. A request with a strike is sent only where no other such request runs (the agent's gate
//! sees to that), so a second crash tells the guilty one from those that died beside it. At
//! [`STRIKES_MAX`] strikes a request is quarantined; an answer in whole clears it.

use std::collections::HashMap;
use std::collections::VecDeque;

use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// Crashes after which a request is quarantined.
pub const STRIKES_MAX: usize = 2;
/// Fingerprints remembered; the oldest is dropped first.
const SUSPECTS_MAX: usize = 4_096;

/// The death of an engine, named by the life of its agent and a number within that life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Crash {
    /// Endpoint whose engine died.
    pub endpoint: String,
    /// Life of the agent that saw it.
    pub incarnation: Incarnation,
    /// Number of the crash within that life.
    pub number: u32,
    /// Fingerprints of the requests in flight.
    pub fingerprints: Vec<u64>,
}

/// Name of a crash without its fingerprints.
type CrashId = (String, Incarnation, u32);

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was in flight at a crash.
    Suspect,
    /// It crashed too many endpoints; it is not sent again.
    Quarantined,
}

/// The strikes of each fingerprint.
#[derive(Clone, Debug)]
pub struct Evidence {
    strikes: HashMap<u64, Vec<CrashId>>,
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
    /// Evidence against nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Evidence that quarantines at another number of crashes than [`STRIKES_MAX`].
    pub fn with_limit(limit: usize) -> Self {
        Self { strikes: HashMap::new(), order: VecDeque::new(), limit }
    }

    /// Records a crash; true when it was not known.
    pub fn record(&mut self, crash: &Crash) -> bool {
        let id = (crash.endpoint.clone(), crash.incarnation, crash.number);
        let mut news = false;
        for fingerprint in &crash.fingerprints {
            let strikes = self.strikes.entry(*fingerprint).or_insert_with(|| {
                self.order.push_back(*fingerprint);
                Vec::new()
            });
            if !strikes.contains(&id) {
                strikes.push(id.clone());
                news = true;
            }
        }
        self.drop_oldest();
        news
    }

    /// Clears a request that was answered whole, unless it is quarantined.
    pub fn clear(&mut self, fingerprint: u64) {
        if self.standing(fingerprint) == Standing::Suspect {
            self.strikes.remove(&fingerprint);
            self.order.retain(|other| *other != fingerprint);
        }
    }

    /// How a request stands.
    pub fn standing(&self, fingerprint: u64) -> Standing {
        match self.strikes.get(&fingerprint).map_or(0, Vec::len) {
            0 => Standing::Clear,
            strikes if strikes < self.limit => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    /// Number of fingerprints with a strike.
    pub fn len(&self) -> usize {
        self.strikes.len()
    }

    /// True when nothing is suspected.
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
