//! What endpoints ask of a gateway in their answers: no more requests since they are leaving, or none for a
//! time.
//!
//! Load pattern: endpoints are replaced or overloaded while the endpoint list is late or the store cannot be
//! reached, so that only the answers tell.
//!
//! A notice that an endpoint leaves holds for the rest of the endpoint's life, whatever the list says later.
//! The time that an endpoint asks for is kept by the gateway that was asked, and ends with one request at a
//! time until an answer shows that the endpoint takes more.

use std::fmt;
use std::time::Duration;

use bw_model::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointKey;

/// Upper bound on the time that an endpoint may ask for.
const WAIT_MAX: Duration = Duration::from_secs(86_400);
/// Time for which the other gateways are told that an endpoint is leaving.
const LEAVING_NEWS: Duration = Duration::from_secs(60);

/// Time for which an endpoint asks a gateway to send nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitTime(Duration);

impl WaitTime {
    /// Returns the time.
    pub fn get(self) -> Duration {
        self.0
    }
}

impl TryFrom<f64> for WaitTime {
    type Error = WaitError;

    /// Converts seconds; times above a day count as a day.
    fn try_from(seconds: f64) -> Result<Self, WaitError> {
        if !seconds.is_finite() {
            return Err(WaitError::NotANumber);
        }
        if seconds < 0.0 {
            return Err(WaitError::Negative);
        }
        Ok(Self(Duration::try_from_secs_f64(seconds).map_or(WAIT_MAX, |time| time.min(WAIT_MAX))))
    }
}

/// Reason why a time that an endpoint asks for is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitError {
    /// The time is not a finite decimal number of seconds.
    NotANumber,
    /// The time is below zero.
    Negative,
}

impl fmt::Display for WaitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber => write!(f, "the time must be a finite decimal number of seconds"),
            Self::Negative => write!(f, "the time must not be negative"),
        }
    }
}

impl std::error::Error for WaitError {}

/// State of the time that an endpoint has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The endpoint has asked for none, or has answered since.
    None,
    /// The endpoint gets nothing until the given time.
    Until(Duration),
    /// The time is over, and no answer has shown yet that the endpoint takes requests.
    Trial,
}

/// A leaving endpoint, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start of the endpoint's life, in Unix milliseconds.
    pub born: u64,
    /// Milliseconds since the endpoint's answer.
    pub age: u32,
}

/// What is known of the first answer, here or at another gateway, that said that an endpoint is leaving. The
/// answer may be older than this process, which a point in time cannot express.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// Time at which this gateway learned of the answer.
    learned_at: Duration,
    /// Age of the answer then.
    age: Duration,
}

impl Leaving {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.learned_at).saturating_add(self.age)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    leaving: Option<Leaving>,
    /// Whether the endpoint has told this gateway itself.
    told_here: bool,
    wait_until: Option<Duration>,
}

/// Notices of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    records: Vec<Record>,
}

impl Notices {
    /// Records an answer that says that the endpoint is leaving; returns whether that is new.
    pub fn record_leaving(&mut self, key: EndpointKey, now: Duration) -> bool {
        let record = self.record_mut(key);
        record.told_here = true;
        let new = record.leaving.is_none();
        record.leaving.get_or_insert(Leaving { learned_at: now, age: Duration::ZERO });
        new
    }

    /// Applies another gateway's notice that an endpoint is leaving, `age` after the answer; returns
    /// whether that is new.
    pub fn receive_leaving(&mut self, key: EndpointKey, age: Duration, now: Duration) -> bool {
        let record = self.record_mut(key);
        let known = record.leaving;
        if known.is_none_or(|known| known.age(now) < age) {
            record.leaving = Some(Leaving { learned_at: now, age });
        }
        known.is_none()
    }

    /// Records a rejection in which the endpoint asks for a time, and returns the end of the time. A
    /// shorter time does not shorten an earlier one.
    pub fn record_wait(&mut self, key: EndpointKey, wait: WaitTime, now: Duration) -> Duration {
        let record = self.record_mut(key);
        let until = record.wait_until.unwrap_or_default().max(now + wait.get());
        record.wait_until = Some(until);
        until
    }

    /// Records an answer other than a rejection, which ends the trial after a time that has passed.
    pub fn record_answer(&mut self, key: EndpointKey, now: Duration) {
        if let Some(record) = self.records.get_mut(key.index()) {
            record.wait_until = record.wait_until.filter(|until| now < *until);
        }
    }

    /// Returns for how long the endpoint is known to have been leaving; `None` if it is not known to leave.
    pub fn leaving_for(&self, key: EndpointKey, now: Duration) -> Option<Duration> {
        Some(self.records.get(key.index())?.leaving?.age(now))
    }

    /// Returns the state of the time that the endpoint has asked for.
    pub fn wait(&self, key: EndpointKey, now: Duration) -> Wait {
        match self.records.get(key.index()).and_then(|record| record.wait_until) {
            None => Wait::None,
            Some(until) if now < until => Wait::Until(until),
            Some(_) => Wait::Trial,
        }
    }

    /// Returns the endpoints that have told this gateway lately that they leave, and the time since.
    pub fn news(&self, now: Duration) -> Vec<(EndpointKey, Duration)> {
        let told = |record: &Record| {
            let age = record.leaving.filter(|_| record.told_here)?.age(now);
            (age <= LEAVING_NEWS).then_some(age)
        };
        let records = self.records.iter().enumerate();
        let news = records.filter_map(|(index, record)| {
            Some((EndpointKey::from_index(index as u32), told(record)?))
        });
        news.collect()
    }

    /// Forgets the notices of an endpoint's last life.
    pub fn reset(&mut self, key: EndpointKey) {
        if let Some(record) = self.records.get_mut(key.index()) {
            *record = Record::default();
        }
    }

    fn record_mut(&mut self, key: EndpointKey) -> &mut Record {
        if self.records.len() <= key.index() {
            self.records.resize(key.index() + 1, Record::default());
        }
        &mut self.records[key.index()]
    }
}
