//! Evidence against parts of prompts that crash the endpoints which answer requests with them.
//!
//! Load pattern: the requests that share one part of their prompts crash one endpoint after
//! another, no two of them are alike, and sound requests share their other parts. Evidence against
//! single requests then never adds up. Each crash therefore counts against all parts of the
//! requests that were in flight at the endpoint. A part is quarantined when it was in flight at
//! several crashes without an answer in between, and that is too unlikely to be a coincidence: a
//! frequent part is in flight at most crashes, whatever causes them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use smallvec::SmallVec;

/// Identifiers of parts of prompts.
pub type Parts = SmallVec<[u64; 4]>;

/// Occasions on which a part must have been in flight at a crash before it is quarantined.
const OCCASIONS_MIN: usize = 3;
/// Time within which crashes count as one occasion. They may have one cause, such as a lost rack.
pub const OCCASION_LENGTH: Duration = Duration::from_millis(1_000);
/// Occasions from which on a lower certainty is enough, since each further one costs an endpoint.
const OCCASIONS_MANY: usize = 5;
/// Greatest probability of a coincidence at which a part is quarantined that was never in an answered
/// request.
const COINCIDENCE_MAX: f64 = 0.1;
/// The same after [`OCCASIONS_MANY`] occasions.
const COINCIDENCE_MANY: f64 = 0.3;
/// Greatest probability of a coincidence at which a part is quarantined that was in an answered
/// request before.
const COINCIDENCE_ANSWERED: f64 = 0.001;
/// Time after the last crash for which a part or a request stays quarantined. After it, one more crash
/// shows whether it still crashes endpoints.
pub const QUARANTINE_DURATION: Duration = Duration::from_secs(600);
/// Maximum number of crashes that are kept; the oldest is dropped first.
const CRASHES_MAX: usize = 64;
/// Maximum number of parts under suspicion; the one with the oldest last crash is dropped first.
const SUSPECTS_MAX: usize = 512;
/// Maximum number of parts that are remembered as answered; the oldest is dropped first.
const ANSWERED_MAX: usize = 4_096;

/// A request that was in flight at an endpoint when the endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashedRequest {
    /// Identifies the crash: the same value for all requests that were in flight at it.
    pub crash: u64,
    /// Identifies the request among those in flight.
    pub request: u64,
    /// Parts of the prompt that other requests may share.
    pub parts: Parts,
}

/// A crash with the requests that are known to have been in flight at it.
#[derive(Clone, Debug)]
struct Crash {
    id: u64,
    at: Duration,
    requests: SmallVec<[u64; 8]>,
}

/// A part that was in flight at a crash and has not been answered since.
#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: SmallVec<[u64; 4]>,
    /// Requests that arrived since the first of the crashes.
    arrivals: u32,
    /// Those of them that have the part.
    carriers: u32,
}

/// Changes of the quarantines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Parts that are quarantined from now on.
    pub quarantined: Parts,
    /// Parts whose quarantine has turned out to be wrong and has ended.
    pub released: Parts,
}

impl Verdict {
    /// Returns whether nothing changes.
    pub fn is_empty(&self) -> bool {
        self.quarantined.is_empty() && self.released.is_empty()
    }
}

/// Evidence against parts of prompts, as collected by one gateway.
#[derive(Clone, Debug, Default)]
pub struct PartEvidence {
    crashes: VecDeque<Crash>,
    suspects: HashMap<u64, Suspect>,
    /// Quarantined parts, with the time of the last crash.
    quarantined: HashMap<u64, Duration>,
    /// Parts that were in answered requests.
    answered: HashSet<u64>,
    /// The same parts in the order of their first answer.
    answered_order: VecDeque<u64>,
}

impl PartEvidence {
    /// Creates a record without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a request with the given parts. Arrivals tell how frequent a part is.
    pub fn record_arrival(&mut self, parts: &[u64]) {
        for (part, suspect) in &mut self.suspects {
            suspect.arrivals = suspect.arrivals.saturating_add(1);
            suspect.carriers += u32::from(parts.contains(part));
        }
    }

    /// Records that a request was in flight at a crash. Returns whether that was not known.
    pub fn record_crash(&mut self, crashed: &CrashedRequest, now: Duration) -> bool {
        match self.crashes.iter_mut().find(|crash| crash.id == crashed.crash) {
            Some(crash) if crash.requests.contains(&crashed.request) => return false,
            Some(crash) => crash.requests.push(crashed.request),
            None => {
                let requests = [crashed.request].into_iter().collect();
                self.crashes.push_back(Crash { id: crashed.crash, at: now, requests });
                self.drop_oldest_crashes();
            }
        }
        for part in &crashed.parts {
            let suspect = self.suspects.entry(*part).or_default();
            if !suspect.crashes.contains(&crashed.crash) {
                suspect.crashes.push(crashed.crash);
            }
        }
        self.drop_oldest_suspects();
        true
    }

    /// Records that a request with the given parts was answered completely. Returns the parts among
    /// them that were suspected.
    pub fn record_answer(&mut self, parts: &[u64]) -> Parts {
        let mut cleared = Parts::new();
        for part in parts {
            if self.answered.insert(*part) {
                self.answered_order.push_back(*part);
            }
            if self.clear(*part) {
                cleared.push(*part);
            }
        }
        while self.answered_order.len() > ANSWERED_MAX {
            if let Some(oldest) = self.answered_order.pop_front() {
                self.answered.remove(&oldest);
            }
        }
        cleared
    }

    /// Drops all evidence against a part. Returns whether there was any.
    pub fn clear(&mut self, part: u64) -> bool {
        let suspected = self.suspects.remove(&part).is_some();
        self.quarantined.remove(&part).is_some() || suspected
    }

    /// Quarantines the parts against which the evidence suffices. Does nothing unless one of `parts`, of
    /// a request that arrives, is among them.
    ///
    /// The part that is least likely to have been in flight by coincidence comes first. It explains its
    /// crashes, which then no longer count against the parts of requests that ran beside it. A part that
    /// was quarantined before is released if the new one explains all its crashes and more.
    pub fn quarantine_new(&mut self, parts: &[u64], now: Duration) -> Verdict {
        let mut verdict = Verdict::default();
        while parts.iter().any(|part| self.coincidence(*part).is_some()) {
            let suspects = self.suspects.keys();
            let guilty = suspects.filter_map(|part| Some((self.coincidence(*part)?, *part)));
            let Some((_, part)) = guilty.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            else {
                break;
            };
            self.quarantined.insert(part, self.last_crash(part).unwrap_or(now));
            verdict.quarantined.push(part);
            let wrong = self.quarantined.keys().filter(|other| self.is_covered(**other, part));
            let wrong: Parts = wrong.copied().collect();
            for other in wrong {
                self.clear(other);
                verdict.released.push(other);
            }
        }
        verdict
    }

    /// Quarantines a part on the evidence of another gateway. Returns whether it was not quarantined
    /// yet.
    pub fn adopt(&mut self, part: u64, now: Duration) -> bool {
        let known = self.quarantined.contains_key(&part);
        self.quarantined.entry(part).or_insert(now);
        !known
    }

    /// Returns the first quarantined part among `parts`.
    pub fn quarantined(&self, parts: &[u64]) -> Option<u64> {
        parts.iter().find(|part| self.quarantined.contains_key(part)).copied()
    }

    /// Returns all quarantined parts.
    pub fn quarantined_parts(&self) -> impl Iterator<Item = u64> + '_ {
        self.quarantined.keys().copied()
    }

    /// Ends the quarantines that have lasted long enough, and returns their parts. The evidence stays
    /// but for one occasion, so that the next crash with a part is enough to quarantine it again.
    pub fn expire(&mut self, now: Duration) -> Parts {
        let over = |since: &Duration| now.saturating_sub(*since) >= QUARANTINE_DURATION;
        let ended: Parts =
            self.quarantined.iter().filter(|(_, at)| over(at)).map(|(part, _)| *part).collect();
        for part in &ended {
            self.quarantined.remove(part);
            let Some(suspect) = self.suspects.get_mut(part) else { continue };
            let excess = suspect.crashes.len().saturating_sub(OCCASIONS_MIN - 1);
            let dropped: SmallVec<[u64; 4]> = suspect.crashes.drain(..excess).collect();
            self.crashes.retain(|crash| !dropped.contains(&crash.id));
        }
        ended
    }

    /// Returns the time at which the next quarantine ends.
    pub fn next_expiry(&self) -> Option<Duration> {
        self.quarantined.values().min().map(|since| *since + QUARANTINE_DURATION)
    }

    fn last_crash(&self, part: u64) -> Option<Duration> {
        let ids = &self.suspects.get(&part)?.crashes;
        self.crashes.iter().rev().find(|crash| ids.contains(&crash.id)).map(|crash| crash.at)
    }

    /// Returns the probability that a part was in flight at its crashes by coincidence, if that is low
    /// enough to quarantine the part. `None` also if it is quarantined already.
    fn coincidence(&self, part: u64) -> Option<f64> {
        let suspect = self.suspects.get(&part)?;
        if self.quarantined.contains_key(&part) {
            return None;
        }
        // Without arrivals yet, a part counts as frequent.
        let share = f64::from(suspect.carriers + 1) / f64::from(suspect.arrivals + 2);
        let mut occasions = 0;
        let mut last_start = None;
        let mut probability = 1.0;
        let counted = |crash: &&Crash| suspect.crashes.contains(&crash.id);
        for crash in self.crashes.iter().filter(counted) {
            let same = |start| crash.at.saturating_sub(start) < OCCASION_LENGTH;
            if last_start.is_some_and(same) || self.is_explained(crash.id) {
                continue;
            }
            last_start = Some(crash.at);
            occasions += 1;
            probability *= 1.0 - (1.0 - share).powi(crash.requests.len() as i32);
        }
        let bound = match self.answered.contains(&part) {
            true => COINCIDENCE_ANSWERED,
            false if occasions >= OCCASIONS_MANY => COINCIDENCE_MANY,
            false => COINCIDENCE_MAX,
        };
        (occasions >= OCCASIONS_MIN && probability <= bound).then_some(probability)
    }

    /// Returns whether a quarantined part explains a crash at which it was in flight. It explains none
    /// any more once a later crash shows that something else crashes endpoints, too.
    fn is_explained(&self, crash: u64) -> bool {
        self.quarantined.iter().any(|(part, since)| {
            let later = || self.crashes.iter().filter(|crash| crash.at > *since);
            self.was_in_flight(*part, crash) && later().all(|crash| self.has_quarantined(crash.id))
        })
    }

    /// Returns whether a quarantined part was in flight at a crash.
    fn has_quarantined(&self, crash: u64) -> bool {
        self.quarantined.keys().any(|part| self.was_in_flight(*part, crash))
    }

    /// Returns whether `other` was in flight at all crashes of `part` and at others besides.
    fn is_covered(&self, part: u64, other: u64) -> bool {
        let (Some(part), Some(other)) = (self.suspects.get(&part), self.suspects.get(&other))
        else {
            return false;
        };
        part.crashes.len() < other.crashes.len()
            && part.crashes.iter().all(|crash| other.crashes.contains(crash))
    }

    fn was_in_flight(&self, part: u64, crash: u64) -> bool {
        self.suspects.get(&part).is_some_and(|suspect| suspect.crashes.contains(&crash))
    }

    fn drop_oldest_crashes(&mut self) {
        while self.crashes.len() > CRASHES_MAX {
            let Some(oldest) = self.crashes.pop_front() else { return };
            for suspect in self.suspects.values_mut() {
                suspect.crashes.retain(|id| *id != oldest.id);
            }
        }
    }

    fn drop_oldest_suspects(&mut self) {
        while self.suspects.len() > SUSPECTS_MAX {
            let oldest = self.suspects.keys().min_by_key(|part| self.last_crash(**part)).copied();
            let Some(oldest) = oldest else { return };
            self.suspects.remove(&oldest);
        }
    }
}
