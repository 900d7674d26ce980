//! Outlier detection: ejects failing endpoints and readmits them after a trial.
//!
//! An endpoint that fails fast looks idle and therefore attracts requests. A single gateway sees
//! only a few of its failures, so gateways share their counts. Each endpoint is compared with the
//! other endpoints of its service: failures common to all of them come from the service or its
//! load, and are no reason to eject one endpoint.

use std::collections::HashMap;
use std::time::Duration;

use bw_model::Key;

use crate::endpoint::EndpointKey;

/// Length of one bucket of a window.
const BUCKET_LENGTH: Duration = Duration::from_millis(250);
/// Buckets in a window.
const BUCKETS: usize = 8;
/// Age beyond which counts from a peer are ignored.
const PEER_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Minimum number of failures in the window before an endpoint can be ejected.
const FAILURES_MIN: u32 = 3;
/// Minimum fraction of failed requests before an endpoint can be ejected.
const FAILURE_RATE_MIN: f64 = 0.3;
/// Minimum ratio of an endpoint's failure rate to that of the rest of its service.
const FAILURE_RATE_FACTOR: f64 = 2.5;
/// Duration of the first ejection; doubled for each further one.
const EJECT_FIRST: Duration = Duration::from_millis(1_000);
/// Upper bound on the duration of an ejection.
const EJECT_MAX: Duration = Duration::from_secs(8);
/// Successful answers in a trial after which an endpoint is healthy again.
const TRIAL_SUCCESSES: u32 = 2;

/// Ended and failed requests of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ended at the endpoint, failed ones included.
    pub ended: u32,
    /// Requests that failed.
    pub failed: u32,
}

impl Counts {
    /// Adds another amount.
    pub fn add(&mut self, other: Counts) {
        self.ended += other.ended;
        self.failed += other.failed;
    }

    fn rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }
}

/// Sliding window of counts over the last seconds, as a ring of buckets.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: [Counts; BUCKETS],
    newest: u64,
}

impl Window {
    fn bucket(&mut self, now: Duration) -> &mut Counts {
        let number = (now.as_millis() / BUCKET_LENGTH.as_millis()) as u64;
        let passed = number.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 1..=passed {
            self.buckets[((self.newest + step) % BUCKETS as u64) as usize] = Counts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.buckets[(self.newest % BUCKETS as u64) as usize]
    }

    fn total(&self, now: Duration) -> Counts {
        let number = (now.as_millis() / BUCKET_LENGTH.as_millis()) as u64;
        let mut total = Counts::default();
        for back in 0..BUCKETS as u64 {
            let bucket = self.newest.checked_sub(back);
            if let Some(bucket) = bucket.filter(|bucket| bucket + BUCKETS as u64 > number) {
                total.add(self.buckets[(bucket % BUCKETS as u64) as usize]);
            }
        }
        total
    }
}

/// Health of an endpoint, which decides whether it receives requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Receives requests without restriction.
    Healthy,
    /// Receives one request at a time, as a test of whether it has recovered.
    Trial,
    /// Receives no requests.
    Ejected,
}

/// Health record of one endpoint.
#[derive(Clone, Debug, Default)]
struct Record {
    window: Window,
    ejections: u32,
    ejected_until: Option<Duration>,
    /// Successful answers since the last ejection ended.
    trial_successes: u32,
}

/// Health records of all endpoints, and the latest counts of each peer.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: Vec<Record>,
    peers: HashMap<String, (Duration, Vec<(EndpointKey, Counts)>)>,
}

impl Health {
    /// Records a complete answer from an endpoint.
    pub fn record_success(&mut self, key: EndpointKey, now: Duration) {
        let record = self.record(key);
        record.window.bucket(now).ended += 1;
        if record.ejected_until.is_some_and(|until| until <= now) {
            record.trial_successes += 1;
            if record.trial_successes >= TRIAL_SUCCESSES {
                *record =
                    Record { window: std::mem::take(&mut record.window), ..Record::default() };
            }
        }
    }

    /// Records a failed request at an endpoint.
    pub fn record_failure(&mut self, key: EndpointKey, now: Duration) {
        let bucket = self.record(key).window.bucket(now);
        bucket.ended += 1;
        bucket.failed += 1;
    }

    /// Replaces the counts reported by a peer.
    pub fn update_peer(&mut self, peer: &str, counts: Vec<(EndpointKey, Counts)>, now: Duration) {
        self.peers.insert(peer.to_string(), (now, counts));
    }

    /// Forgets the counts reported by all sources but those for which `keep` returns true.
    pub fn retain_sources<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|source, _| keep(source));
    }

    /// Returns this gateway's own counts by endpoint index, to be sent to peers as news.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (usize, Counts)> + '_ {
        let totals = self.records.iter().map(move |record| record.window.total(now));
        totals.enumerate().filter(|(_, total)| total.ended > 0)
    }

    /// Returns the health of an endpoint at `now`.
    pub fn state(&self, key: EndpointKey, now: Duration) -> HealthState {
        match self.records.get(key.index()).and_then(|record| record.ejected_until) {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Ejected,
            Some(_) => HealthState::Trial,
        }
    }

    /// Resets the record of an endpoint that has started a new incarnation.
    pub fn reset(&mut self, key: EndpointKey) {
        *self.record(key) = Record::default();
    }

    /// Ejects the endpoints of a service that fail more often than the others, and returns them
    /// with their counts.
    pub fn eject_outliers(
        &mut self,
        service: &[EndpointKey],
        now: Duration,
    ) -> Vec<(EndpointKey, Counts)> {
        let totals = self.totals(now);
        let total = |key: &EndpointKey| totals.get(key.index()).copied().unwrap_or_default();
        let mut all = Counts::default();
        service.iter().for_each(|key| all.add(total(key)));
        let mut ejected = Vec::new();
        for key in service {
            let own = total(key);
            let others = Counts { ended: all.ended - own.ended, failed: all.failed - own.failed };
            if own.failed > 0 && service.len() > 1 && self.try_eject(*key, own, others, now) {
                ejected.push((*key, own));
            }
        }
        ejected
    }

    fn try_eject(&mut self, key: EndpointKey, own: Counts, others: Counts, now: Duration) -> bool {
        let record = self.record(key);
        if record.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        let in_trial = record.ejected_until.is_some();
        let enough = in_trial || own.failed >= FAILURES_MIN;
        if !enough || own.rate() < FAILURE_RATE_MIN.max(others.rate() * FAILURE_RATE_FACTOR) {
            return false;
        }
        let span = EJECT_FIRST.saturating_mul(1 << record.ejections.min(8)).min(EJECT_MAX);
        record.ejections += 1;
        record.trial_successes = 0;
        record.ejected_until = Some(now + span);
        // The counts up to the ejection must not influence the trial that follows.
        record.window = Window::default();
        true
    }

    /// Returns the sums of all gateways' counts, by endpoint index.
    fn totals(&self, now: Duration) -> Vec<Counts> {
        let own = self.records.iter().map(|record| record.window.total(now));
        let mut totals: Vec<Counts> = own.collect();
        for (received_at, counts) in self.peers.values() {
            if now.saturating_sub(*received_at) > PEER_AGE_MAX {
                continue;
            }
            for (key, counts) in counts {
                if totals.len() <= key.index() {
                    totals.resize(key.index() + 1, Counts::default());
                }
                totals[key.index()].add(*counts);
            }
        }
        totals
    }

    fn record(&mut self, key: EndpointKey) -> &mut Record {
        if self.records.len() <= key.index() {
            self.records.resize(key.index() + 1, Record::default());
        }
        &mut self.records[key.index()]
    }
}
