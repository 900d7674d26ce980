//! Evidence against requests that crash the endpoints they run on.
//!
//! When its engine crashes, an agent reports the fingerprints of the requests in flight. Each of
//! them gets a strike for the crash. A request with a strike is suspect, and the agent's gate never
//! runs two suspect requests side by side, so that a second crash distinguishes the cause from the
//! requests that were in flight with it. At [`STRIKES_MAX`] strikes a request is quarantined for
//! [`QUARANTINE_DURATION`] after its last crash; a complete answer before that clears its strikes.
//!
//! Requests of many callers may share a fingerprint, so that several may be in flight when endpoints are lost
//! together, whatever the cause. Crashes within [`OCCASION_LENGTH`] therefore
//! count once against a request that was answered before.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::parts::OCCASION_LENGTH;
use crate::parts::QUARANTINE_DURATION;

/// Crashes after which a request is quarantined.
pub const STRIKES_MAX: usize = 2;
/// Maximum number of fingerprints with strikes; the oldest is dropped first.
const SUSPECTS_MAX: usize = 12_288;
/// Maximum number of fingerprints that are remembered as answered; the oldest is dropped first.
const ANSWERED_MAX: usize = 12_288;

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

/// Identifies a crash: the endpoint, its incarnation and the number of the crash within it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Endpoint that crashed.
    pub endpoint: String,
    /// Incarnation that crashed.
    pub incarnation: Incarnation,
    /// Number of the crash within the incarnation.
    pub number: u32,
}

/// Crashes at which a request was in flight.
#[derive(Clone, Debug, Default)]
struct Strikes {
    /// The crashes, oldest first.
    crashes: Vec<CrashId>,
    /// Their times.
    times: Vec<Duration>,
}

impl Strikes {
    /// Returns the number of crashes of which each came [`OCCASION_LENGTH`] after the start of the last occasion.
    fn occasions(&self) -> usize {
        let mut start: Option<Duration> = None;
        let mut count = 0;
        for time in &self.times {
            if start.is_none_or(|start| time.saturating_sub(start) >= OCCASION_LENGTH) {
                start = Some(*time);
                count += 1;
            }
        }
        count
    }
}

/// Degree to which a request is suspected of crashing endpoints, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
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
    strikes: HashMap<u64, Strikes>,
    /// Fingerprints in the order of their first strike.
    order: VecDeque<u64>,
    /// Fingerprints of requests that were answered.
    answered: HashSet<u64>,
    /// The same in the order of their first answer.
    answered_order: VecDeque<u64>,
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
        Self {
            strikes: HashMap::new(),
            order: VecDeque::new(),
            answered: HashSet::new(),
            answered_order: VecDeque::new(),
            limit,
        }
    }

    /// Records a crash. Returns true if this added a strike.
    pub fn record(&mut self, crash: &Crash, now: Duration) -> bool {
        let id = CrashId {
            endpoint: crash.endpoint.clone(),
            incarnation: crash.incarnation,
            number: crash.number,
        };
        let mut added = false;
        for fingerprint in &crash.fingerprints {
            added |= self.add_strike(*fingerprint, &id, now);
        }
        self.drop_oldest();
        added
    }

    /// Records the crashes for which a request was quarantined before.
    pub fn restore(&mut self, fingerprint: u64, crashes: &[CrashId], now: Duration) {
        for id in crashes.iter().take(self.limit) {
            self.add_strike(fingerprint, id, now);
        }
        self.drop_oldest();
    }

    fn add_strike(&mut self, fingerprint: u64, id: &CrashId, now: Duration) -> bool {
        let strikes = self.strikes.entry(fingerprint).or_insert_with(|| {
            self.order.push_back(fingerprint);
            Strikes::default()
        });
        let added = !strikes.crashes.contains(id);
        if added {
            strikes.crashes.push(id.clone());
            strikes.times.push(now);
        }
        added
    }

    /// Records that a request was answered completely, which clears its strikes unless it is quarantined. Returns
    /// whether it had any.
    pub fn clear(&mut self, fingerprint: u64) -> bool {
        let suspicion = self.suspicion(fingerprint);
        if suspicion == Suspicion::Quarantined {
            return false;
        }
        if self.answered.insert(fingerprint) {
            self.answered_order.push_back(fingerprint);
            while self.answered_order.len() > ANSWERED_MAX {
                if let Some(oldest) = self.answered_order.pop_front() {
                    self.answered.remove(&oldest);
                }
            }
        }
        suspicion == Suspicion::Suspect && self.absolve(fingerprint)
    }

    /// Drops all evidence against a request that was answered at another process. Returns whether there was any.
    pub fn absolve(&mut self, fingerprint: u64) -> bool {
        self.order.retain(|other| *other != fingerprint);
        self.strikes.remove(&fingerprint).is_some()
    }

    /// Returns the suspicion against the requests with this fingerprint.
    pub fn suspicion(&self, fingerprint: u64) -> Suspicion {
        let Some(strikes) = self.strikes.get(&fingerprint) else { return Suspicion::Clear };
        let counted = if self.answered.contains(&fingerprint) {
            strikes.occasions()
        } else {
            strikes.crashes.len()
        };
        match counted {
            0 => Suspicion::Clear,
            counted if counted < self.limit => Suspicion::Suspect,
            _ => Suspicion::Quarantined,
        }
    }

    /// Returns the crashes at which a request was in flight, oldest first.
    pub fn crashes(&self, fingerprint: u64) -> &[CrashId] {
        self.strikes.get(&fingerprint).map_or(&[], |strikes| &strikes.crashes)
    }

    /// Returns the quarantined requests; those that were suspected last come first.
    pub fn quarantined(&self) -> impl Iterator<Item = u64> + '_ {
        let fingerprints = self.order.iter().rev().copied();
        fingerprints.filter(|fingerprint| self.suspicion(*fingerprint) == Suspicion::Quarantined)
    }

    /// Returns the requests that have strikes, the last one at `since` or later, and are not quarantined; those that were
    /// suspected last come first.
    pub fn suspected(&self, since: Duration) -> impl Iterator<Item = u64> + '_ {
        let fingerprints = self.order.iter().rev().copied();
        fingerprints.filter(move |fingerprint| {
            self.last_strike(*fingerprint).is_some_and(|at| at >= since)
                && self.suspicion(*fingerprint) == Suspicion::Suspect
        })
    }

    /// Ends the quarantines that have lasted long enough, and returns their requests. All strikes but one
    /// stay, so that the next crash is enough to quarantine a request again.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let over = |fingerprint: &u64| self.ends_at(*fingerprint).is_some_and(|at| at <= now);
        let ended: Vec<u64> = self.quarantined().filter(over).collect();
        for fingerprint in &ended {
            let Some(strikes) = self.strikes.get_mut(fingerprint) else { continue };
            let excess = strikes.crashes.len().saturating_sub(self.limit.saturating_sub(1));
            strikes.crashes.drain(..excess);
            strikes.times.drain(..excess);
        }
        ended
    }

    /// Returns the time at which the next quarantine ends.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.quarantined().filter_map(|fingerprint| self.ends_at(fingerprint)).min()
    }

    fn ends_at(&self, fingerprint: u64) -> Option<Duration> {
        self.last_strike(fingerprint).map(|last| last + QUARANTINE_DURATION)
    }

    fn last_strike(&self, fingerprint: u64) -> Option<Duration> {
        self.strikes.get(&fingerprint)?.times.iter().max().copied()
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
