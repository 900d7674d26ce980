//! Which endpoints fail, from the answers that all entries got, and how they come back.
//!
//! An endpoint that fails at once looks idle and draws requests. One entry alone sees few of them,
//! so that entries share their counts. An endpoint is judged against the others of its service: what
//! all do is the service's way, or the load's, and no reason to leave one out.

use std::collections::HashMap;
use std::time::Duration;

use bw_model::Key;

use crate::endpoint::EndpointKey;

/// Length of one slot of a window.
const SLOT: Duration = Duration::from_millis(250);
/// Slots of a window.
const SLOTS: usize = 8;
/// Age at which a peer's counts no longer count.
const PEER_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Failures in the window below which nothing is concluded.
const FAILURES_MIN: u32 = 3;
/// Part of failed answers from which an endpoint may be left out.
const RATE_MIN: f64 = 0.3;
/// Factor by which it has to fail more often than the others of its service.
const RATE_FACTOR: f64 = 2.5;
/// Time for which an endpoint is left out at first; it doubles with each time.
const EJECT_FIRST: Duration = Duration::from_millis(1_000);
/// Longest time for which it is left out.
const EJECT_LONGEST: Duration = Duration::from_secs(8);
/// Answers in a row after which an endpoint that was left out counts as sound.
const TRIALS: u32 = 2;

/// Answers and failures of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that ended there.
    pub ended: u32,
    /// Those of them that failed.
    pub failed: u32,
}

impl Counts {
    fn add(&mut self, other: Counts) {
        self.ended += other.ended;
        self.failed += other.failed;
    }

    fn rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.ended.max(1))
    }
}

/// Counts of the last seconds.
#[derive(Clone, Debug, Default)]
struct Window {
    slots: [Counts; SLOTS],
    newest: u64,
}

impl Window {
    fn slot(&mut self, now: Duration) -> &mut Counts {
        let number = (now.as_millis() / SLOT.as_millis()) as u64;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = Counts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.slots[(self.newest % SLOTS as u64) as usize]
    }

    fn total(&self, now: Duration) -> Counts {
        let number = (now.as_millis() / SLOT.as_millis()) as u64;
        let mut total = Counts::default();
        for back in 0..SLOTS as u64 {
            let slot = self.newest.checked_sub(back);
            if let Some(slot) = slot.filter(|slot| slot + SLOTS as u64 > number) {
                total.add(self.slots[(slot % SLOTS as u64) as usize]);
            }
        }
        total
    }
}

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Sound,
    /// One at a time, to see whether it is sound again.
    Trial,
    /// None.
    Ejected,
}

/// The record of one endpoint.
#[derive(Clone, Debug, Default)]
struct Record {
    window: Window,
    times: u32,
    until: Option<Duration>,
    /// Whole answers since it was left out.
    trials: u32,
}

/// Records of all endpoints, by their keys.
#[derive(Clone, Debug, Default)]
pub struct Health {
    records: Vec<Record>,
    peers: HashMap<String, (Duration, Vec<(EndpointKey, Counts)>)>,
}

impl Health {
    /// Notes a whole answer of an endpoint.
    pub fn succeed(&mut self, key: EndpointKey, now: Duration) {
        let record = self.record(key);
        record.window.slot(now).ended += 1;
        if record.until.is_some_and(|until| until <= now) {
            record.trials += 1;
            if record.trials >= TRIALS {
                *record =
                    Record { window: std::mem::take(&mut record.window), ..Record::default() };
            }
        }
    }

    /// Notes a failure of an endpoint.
    pub fn fail(&mut self, key: EndpointKey, now: Duration) {
        let slot = self.record(key).window.slot(now);
        slot.ended += 1;
        slot.failed += 1;
    }

    /// Takes a peer's counts.
    pub fn hear(&mut self, peer: &str, counts: Vec<(EndpointKey, Counts)>, now: Duration) {
        self.peers.insert(peer.to_string(), (now, counts));
    }

    /// Own counts, for the news to peers.
    pub fn own(&self, now: Duration) -> impl Iterator<Item = (usize, Counts)> + '_ {
        let totals = self.records.iter().map(move |record| record.window.total(now));
        totals.enumerate().filter(|(_, total)| total.ended > 0)
    }

    /// Whether an endpoint gets requests at `now`.
    pub fn verdict(&self, key: EndpointKey, now: Duration) -> Verdict {
        match self.records.get(key.index()).and_then(|record| record.until) {
            None => Verdict::Sound,
            Some(until) if now < until => Verdict::Ejected,
            Some(_) => Verdict::Trial,
        }
    }

    /// Forgets an endpoint's record, as it has begun a new life.
    pub fn restart(&mut self, key: EndpointKey) {
        *self.record(key) = Record::default();
    }

    /// Leaves out the endpoints of a service that fail more than the others, and returns them.
    pub fn judge(&mut self, service: &[EndpointKey], now: Duration) -> Vec<(EndpointKey, Counts)> {
        let totals = self.totals(now);
        let total = |key: &EndpointKey| totals.get(key.index()).copied().unwrap_or_default();
        let mut all = Counts::default();
        service.iter().for_each(|key| all.add(total(key)));
        let mut ejected = Vec::new();
        for key in service {
            let own = total(key);
            let others = Counts { ended: all.ended - own.ended, failed: all.failed - own.failed };
            if own.failed > 0 && service.len() > 1 && self.eject(*key, own, others, now) {
                ejected.push((*key, own));
            }
        }
        ejected
    }

    fn eject(&mut self, key: EndpointKey, own: Counts, others: Counts, now: Duration) -> bool {
        let record = self.record(key);
        if record.until.is_some_and(|until| now < until) {
            return false;
        }
        let on_trial = record.until.is_some();
        let enough = on_trial || own.failed >= FAILURES_MIN;
        if !enough || own.rate() < RATE_MIN.max(others.rate() * RATE_FACTOR) {
            return false;
        }
        let span = EJECT_FIRST.saturating_mul(1 << record.times.min(8)).min(EJECT_LONGEST);
        record.times += 1;
        record.trials = 0;
        record.until = Some(now + span);
        // What was counted before says nothing of the trial that follows.
        record.window = Window::default();
        true
    }

    /// Counts of all entries, by the index of the endpoint.
    fn totals(&self, now: Duration) -> Vec<Counts> {
        let own = self.records.iter().map(|record| record.window.total(now));
        let mut totals: Vec<Counts> = own.collect();
        for (heard, counts) in self.peers.values() {
            if now.saturating_sub(*heard) > PEER_AGE_MAX {
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
