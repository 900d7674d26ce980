//! Limits that endpoints in need name on the requests from all gateways together.
//!
//! Gateways do not agree on each request. A limit is divided into parts, each of which belongs to one gateway by
//! rendezvous hashing over all gateways that may be sending, heard or not, so that no part grows while
//! others are silent. A gateway saves up what its part permits and starts with nothing saved, since
//! a process does not know what its predecessor has sent.

use std::fmt;
use std::time::Duration;

use bw_model::hash::rendezvous_weight;
use bw_model::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointKey;

/// Fraction of a limit that is used; the rest covers gateways that know different peers for a moment.
const USED_FRACTION: f64 = 0.9;
/// Parts of a limit of zero. Each part may bring one request at any moment, so few of them keep bursts
/// small.
const PARTS_MIN: f64 = 2.0;
/// Further parts for each request a second of the limit.
const PARTS_PER_RATE: f64 = 1.0;
/// Time in which saved requests may add up to what a part permits in that time.
const SAVED_TIME: Duration = Duration::from_secs(2);
/// Longest time between two requests of the gateway that has the first part. It learns from the answers
/// whether the endpoint is still in need.
const TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// Time without an answer at any gateway after which the gateways try in turn, each for as long. A gateway
/// that has missed the end of a need would not use the endpoint otherwise.
const TURN: Duration = Duration::from_secs(60);
/// Time for which the others are told that a need has ended.
const ENDED_NEWS: Duration = Duration::from_secs(60);

/// Requests a second; finite and not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(f64);

impl Rate {
    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Rate {
    type Error = LimitError;

    fn try_from(per_second: f64) -> Result<Self, LimitError> {
        if !per_second.is_finite() {
            return Err(LimitError::NotANumber);
        }
        if per_second < 0.0 {
            return Err(LimitError::Negative);
        }
        Ok(Self(per_second))
    }
}

/// What an answer of an endpoint says about the endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Statement {
    /// The endpoint names a limit.
    Named(Rate),
    /// The endpoint names something that is no limit.
    Invalid(LimitError),
    /// The endpoint names no limit.
    NoLimit,
}

/// What an endpoint that is or was in need has last told a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// Limit; `None` if the need has ended.
    pub rate: Option<Rate>,
    /// Time since the endpoint's answer.
    pub age: Duration,
}

/// [`Told`] as gateways send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Requests a second; `None` if the need has ended.
    pub per_second: Option<f64>,
    /// Milliseconds since the endpoint's answer.
    pub age: u32,
}

impl LimitNews {
    /// Encodes what the endpoint with the given hash of its name has told.
    pub fn new(endpoint: u64, told: Told) -> Self {
        let age = u32::try_from(told.age.as_millis()).unwrap_or(u32::MAX);
        Self { endpoint, per_second: told.rate.map(Rate::per_second), age }
    }
}

impl TryFrom<LimitNews> for Told {
    type Error = LimitError;

    fn try_from(news: LimitNews) -> Result<Self, LimitError> {
        let rate = news.per_second.map(Rate::try_from).transpose()?;
        Ok(Self { rate, age: Duration::from_millis(u64::from(news.age)) })
    }
}

/// Whether a gateway may send a request to an endpoint now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The endpoint names no limit.
    Free,
    /// This gateway has saved up a request.
    Granted,
    /// This gateway has a part, but has to save up first.
    Later,
    /// Other gateways have the parts.
    Elsewhere,
}

impl Permission {
    /// Returns whether a request may be sent now.
    pub fn allows(self) -> bool {
        matches!(self, Self::Free | Self::Granted)
    }
}

/// This gateway's part of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Part {
    /// Requests a second; zero if this gateway has no part.
    pub per_second: f64,
    /// Most requests that may be saved up.
    pub saved_max: f64,
    /// Number of parts.
    pub count: usize,
    /// Position of this gateway in the order in which gateways get parts, and the number of
    /// gateways; `None` if this gateway may get none.
    pub place: Option<(usize, usize)>,
}

impl Part {
    /// Returns the part of gateway `own` in a limit of an endpoint; `members` are all gateways that may
    /// get parts.
    fn new(rate: Rate, endpoint: &str, own: &str, members: &[String]) -> Self {
        let wanted = (PARTS_MIN + PARTS_PER_RATE * rate.0).floor() as usize;
        let count = wanted.clamp(1, members.len().max(1));
        if !members.iter().any(|member| member == own) {
            return Self { count, ..Self::default() };
        }
        let rank = |member: &str| (rendezvous_weight(endpoint, member), member.to_string());
        let own = rank(own);
        let position = members.iter().filter(|member| rank(member) > own).count();
        let place = Some((position, members.len()));
        if position >= count {
            return Self { count, place, ..Self::default() };
        }
        let per_second = USED_FRACTION * rate.0 / count as f64;
        let trials = if position == 0 { 1.0 / TRIAL_INTERVAL.as_secs_f64() } else { 0.0 };
        let saved_max = (per_second * SAVED_TIME.as_secs_f64()).max(1.0);
        Self { per_second: per_second.max(trials), saved_max, count, place }
    }
}

/// A limit in force.
#[derive(Clone, Copy, Debug)]
struct Limit {
    rate: Rate,
    part: Part,
    /// Requests saved up, as of `saved_at`.
    saved: f64,
    saved_at: Duration,
    /// Time of the last answer, here or at another gateway, that named the limit.
    named_at: Duration,
    /// Time of the last such answer to this gateway.
    told_at: Option<Duration>,
}

impl Limit {
    /// Returns the requests a second that this gateway saves up, and the most that it may save.
    fn saving(&self, now: Duration) -> (f64, f64) {
        let trials = if self.has_turn(now) { 1.0 / TRIAL_INTERVAL.as_secs_f64() } else { 0.0 };
        let most = if trials > 0.0 { self.part.saved_max.max(1.0) } else { self.part.saved_max };
        (self.part.per_second.max(trials), most)
    }

    /// Returns whether it is this gateway's turn to try, since no gateway has had an answer for long.
    fn has_turn(&self, now: Duration) -> bool {
        let turns = now.saturating_sub(self.named_at).as_millis() / TURN.as_millis();
        let place = self.part.place.filter(|_| turns > 0);
        place.is_some_and(|(position, members)| (turns as usize - 1) % members == position)
    }

    fn save(&mut self, now: Duration) {
        let time = now.saturating_sub(self.saved_at).as_secs_f64();
        let (per_second, most) = self.saving(now);
        self.saved = (self.saved + time * per_second).min(most);
        self.saved_at = self.saved_at.max(now);
    }
}

/// State of one endpoint.
#[derive(Clone, Debug, Default)]
struct Record {
    /// Name of the endpoint.
    endpoint: String,
    limit: Option<Limit>,
    /// Time of the answer to this gateway that showed the end of the last need.
    ended_at: Option<Duration>,
}

/// Change of a limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The endpoint names a limit, of which this gateway has the given part.
    Named(Rate, Part),
    /// The endpoint names no limit any more.
    Ended,
}

/// Limits of all endpoints.
#[derive(Clone, Debug)]
pub struct Limits {
    records: Vec<Record>,
    /// Name of this gateway.
    own: String,
    /// Names of all gateways that may get parts.
    members: Vec<String>,
}

impl Limits {
    /// Creates an empty set of limits for gateway `own`.
    pub fn new(own: String) -> Self {
        Self { records: Vec::new(), members: vec![own.clone()], own }
    }

    /// Sets the names of all gateways that may get parts, in any fixed order.
    pub fn set_members(&mut self, members: Vec<String>, now: Duration) {
        if self.members == members {
            return;
        }
        self.members = members;
        for record in &mut self.records {
            if let Some(limit) = &mut record.limit {
                limit.save(now);
                limit.part = Part::new(limit.rate, &record.endpoint, &self.own, &self.members);
                limit.saved = limit.saved.min(limit.part.saved_max);
            }
        }
    }

    /// Records the head of an answer of `endpoint` to a request that was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        key: EndpointKey,
        endpoint: &str,
        named: Option<Rate>,
        sent_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        match named {
            Some(rate) => {
                let change = self.name(key, endpoint, rate, now, now);
                let record = self.record_mut(key);
                record.ended_at = None;
                if let Some(limit) = &mut record.limit {
                    limit.told_at = Some(now);
                }
                change
            }
            None => {
                let limit = self.limit(key)?;
                // Answers on different connections may overtake each other.
                if sent_at <= limit.named_at {
                    return None;
                }
                let record = self.record_mut(key);
                record.ended_at = Some(now);
                record.limit = None;
                Some(LimitChange::Ended)
            }
        }
    }

    /// Applies what `endpoint` has told another gateway.
    pub fn receive(
        &mut self,
        key: EndpointKey,
        endpoint: &str,
        told: Told,
        now: Duration,
    ) -> Option<LimitChange> {
        let told_at = now.saturating_sub(told.age);
        let ended_at = self.records.get(key.index()).and_then(|record| record.ended_at);
        let known_at = self.limit(key).map(|limit| limit.named_at).max(ended_at);
        if known_at.is_some_and(|at| at >= told_at) {
            return None;
        }
        match told.rate {
            Some(rate) => self.name(key, endpoint, rate, told_at, now),
            None => {
                self.limit(key)?;
                self.record_mut(key).limit = None;
                Some(LimitChange::Ended)
            }
        }
    }

    /// Returns what endpoints have told this gateway itself, for the others.
    pub fn news(&self, now: Duration) -> Vec<(EndpointKey, Told)> {
        let told = |record: &Record| {
            if let Some(limit) = record.limit {
                return Some(Told {
                    rate: Some(limit.rate),
                    age: now.saturating_sub(limit.told_at?),
                });
            }
            let age = now.saturating_sub(record.ended_at?);
            (age <= ENDED_NEWS).then_some(Told { rate: None, age })
        };
        let records = self.records.iter().enumerate();
        let news = records.filter_map(|(index, record)| {
            Some((EndpointKey::from_index(index as u32), told(record)?))
        });
        news.collect()
    }

    /// Returns whether this gateway may send a request to an endpoint.
    pub fn permission(&self, key: EndpointKey, now: Duration) -> Permission {
        let Some(mut limit) = self.limit(key) else { return Permission::Free };
        limit.save(now);
        if limit.saved >= 1.0 {
            Permission::Granted
        } else if limit.saving(now).0 > 0.0 {
            Permission::Later
        } else {
            Permission::Elsewhere
        }
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, key: EndpointKey, now: Duration) {
        let record = self.records.get_mut(key.index());
        if let Some(limit) = record.and_then(|record| record.limit.as_mut()) {
            limit.save(now);
            limit.saved = (limit.saved - 1.0).max(0.0);
        }
    }

    /// Forgets what the last incarnation of an endpoint has named.
    pub fn reset(&mut self, key: EndpointKey) {
        if let Some(record) = self.records.get_mut(key.index()) {
            *record = Record::default();
        }
    }

    fn name(
        &mut self,
        key: EndpointKey,
        endpoint: &str,
        rate: Rate,
        named_at: Duration,
        now: Duration,
    ) -> Option<LimitChange> {
        let known = self.limit(key);
        if let Some(known) = known.filter(|limit| limit.rate == rate) {
            let limit = Limit { named_at: known.named_at.max(named_at), ..known };
            self.record_mut(key).limit = Some(limit);
            return None;
        }
        let part = Part::new(rate, endpoint, &self.own, &self.members);
        let mut limit = known.unwrap_or(Limit {
            rate,
            part,
            saved: 0.0,
            saved_at: now,
            named_at,
            told_at: None,
        });
        limit.save(now);
        limit = Limit {
            rate,
            part,
            saved: limit.saved.min(part.saved_max),
            named_at: limit.named_at.max(named_at),
            ..limit
        };
        let record = self.record_mut(key);
        record.endpoint = endpoint.to_string();
        record.limit = Some(limit);
        Some(LimitChange::Named(rate, part))
    }

    fn limit(&self, key: EndpointKey) -> Option<Limit> {
        self.records.get(key.index())?.limit
    }

    fn record_mut(&mut self, key: EndpointKey) -> &mut Record {
        if self.records.len() <= key.index() {
            self.records.resize(key.index() + 1, Record::default());
        }
        &mut self.records[key.index()]
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Reason why a limit is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitError {
    /// The limit is not a finite decimal number.
    NotANumber,
    /// The limit is below zero.
    Negative,
}

impl fmt::Display for LimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotANumber => write!(f, "the limit must be a finite decimal number"),
            Self::Negative => write!(f, "the limit must not be negative"),
        }
    }
}

impl std::error::Error for LimitError {}
