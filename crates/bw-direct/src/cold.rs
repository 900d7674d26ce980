//! Requests that cold endpoints may get from all gateways together.
//!
//! Load pattern: the endpoints of a data centre return cold at once while demand is high, and most gateways
//! have just restarted or cannot hear each other.
//!
//! As with limits that endpoints name, what is allowed is divided into parts, each of which belongs to one
//! gateway by rendezvous hashing over all gateways that may be sending. A part is one request in a window. A
//! gateway uses no part before it has known all others for so long that neither its last process nor a former
//! owner of the part can have used it in the same window.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use bw_model::hash::rendezvous_weight;
use bw_model::hash::rendezvous_weight_of;
use bw_model::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointKey;
use crate::limits::Permission;

/// Fraction of an allowance that is divided; the rest covers gateways that know different peers for a moment.
const USED_FRACTION: f64 = 0.9;
/// Time in which endpoints count requests.
const COUNTED: Duration = Duration::from_secs(1);
/// Longest time from the permission for a request until the request is written.
const SEND_DELAY: Duration = Duration::from_millis(100);
/// Time for which a request occupies a part.
const WINDOW: Duration = COUNTED.saturating_add(SEND_DELAY);
/// Rounds of news in which gateways hear of each other.
const HEARD_ROUNDS: u32 = 3;
/// Least time in which gateways hear of each other, so that short stalls make no difference.
const HEARD_MIN: Duration = Duration::from_secs(1);
/// Time in which the endpoint list shows that an endpoint which accepts no connections has started again, unless
/// the store is out of reach.
const LIST_DELAY: Duration = Duration::from_secs(5);
/// Gateways that ask an endpoint for its health while the store is silent.
const CHECKERS: u64 = 2;
/// Most parts of an endpoint; more make no difference to gateways that are fewer.
const PARTS_MAX: f64 = 1_024.0;

/// What the cold endpoints of a service may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Number of parts, each of which is one request in a window.
    parts: u32,
    /// Time for which an endpoint is cold after its start.
    start: Duration,
}

impl ColdRule {
    /// Creates the rule of a service whose cold endpoints may get `allowance` requests in any second;
    /// `start` is the time for which endpoints are cold after their start.
    pub fn new(allowance: f64, start: Duration) -> Self {
        let whole = allowance.clamp(0.0, PARTS_MAX).floor();
        let parts = (USED_FRACTION * allowance).clamp(whole.min(1.0), PARTS_MAX).floor();
        Self { parts: parts as u32, start }
    }
}

/// Why an endpoint is taken for cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSign {
    /// Its list entry, or another gateway, says that it stays cold for this time.
    Told(Duration),
    /// The list shows that it has started.
    Started,
    /// No process listens at its address. It may start again before the list shows it.
    Refused,
    /// It answers after [`Self::Refused`], so that it has started meanwhile.
    Answered,
    /// It has said itself that it stays cold for this time.
    Said(Duration),
}

/// An endpoint whose start a gateway has seen without the list, as gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Start of the endpoint's last life that the list shows, in Unix milliseconds.
    pub born: u64,
    /// Milliseconds for which the endpoint stays cold.
    pub remaining: u32,
}

/// State of an endpoint that has turned cold, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Time until the endpoint is taken for warm.
    pub remaining: Duration,
    /// Parts of this gateway.
    pub parts: u32,
    /// Number of parts of all gateways.
    pub count: u32,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// Hash of the endpoint's name; zero for an endpoint that is not known yet.
    hash: u64,
    rule: Option<ColdRule>,
    service: String,
    /// Time until which the endpoint's list entry, or another gateway, says that it is cold.
    told_until: Duration,
    started_at: Option<Duration>,
    /// Time of the last connection that was refused since the endpoint last answered or started.
    refused_at: Option<Duration>,
    /// Whether the last start or end, or what the endpoint says, is not known from the list.
    seen_here: bool,
    /// Permissions of the last window, oldest first; also those of before the endpoint turned cold.
    sends: VecDeque<Duration>,
    /// This gateway's parts; only kept up to date while the endpoint is cold.
    parts: u32,
}

impl Record {
    /// Returns the time until which the endpoint is taken for cold, and its rule; `None` if it has no rule
    /// or is warm.
    fn cold(&self, now: Duration) -> Option<(ColdRule, Duration)> {
        let rule = self.rule?;
        let since = self.started_at.max(self.refused_at.map(|at| at + LIST_DELAY));
        let started = since.map_or(Duration::ZERO, |at| at.saturating_add(rule.start));
        let until = self.told_until.max(started);
        (now < until).then_some((rule, until))
    }

    /// Returns the permissions that count at `now`.
    fn counted(&self, now: Duration) -> impl Iterator<Item = Duration> + '_ {
        self.sends.iter().copied().filter(move |at| now.saturating_sub(*at) < WINDOW)
    }
}

/// Endpoints that are cold, with what this gateway may send them.
#[derive(Clone, Debug)]
pub struct ColdEndpoints {
    records: Vec<Record>,
    rules: HashMap<String, ColdRule>,
    /// Hash of this gateway's name.
    own: u64,
    /// Hashes of all gateways that may have parts, each with the time at which it was last one of them.
    members: HashMap<u64, Duration>,
    /// Time of the last round in which all gateways were known.
    known_at: Option<Duration>,
    /// Time from which on this gateway may use its parts.
    settled_at: Duration,
    /// Time in which gateways hear of each other.
    heard: Duration,
}

impl ColdEndpoints {
    /// Creates an empty set for gateway `own`.
    pub fn new(own: &str) -> Self {
        Self {
            records: Vec::new(),
            rules: HashMap::new(),
            own: hash(own),
            members: HashMap::new(),
            known_at: None,
            settled_at: Duration::MAX,
            heard: HEARD_MIN,
        }
    }

    /// Replaces the rules of all services; a service without a rule has no cold endpoints.
    pub fn set_rules(&mut self, rules: HashMap<String, ColdRule>, now: Duration) {
        if self.rules == rules {
            return;
        }
        self.rules = rules;
        for record in &mut self.records {
            record.rule = self.rules.get(&record.service).copied();
        }
        self.divide(now);
    }

    /// Sets the names of all gateways that may have parts, as known in a round of news; none if this
    /// gateway may not know all of them. `round` is the time between two rounds.
    pub fn set_members(&mut self, members: &[String], round: Duration, now: Duration) {
        if members.is_empty() {
            self.known_at = None;
            return;
        }
        self.heard = HEARD_MIN.max(round * HEARD_ROUNDS);
        let handover = WINDOW + self.heard;
        if !self.knows_members(now) {
            self.settled_at = now + handover;
        }
        self.known_at = Some(now);
        let mut changed = false;
        for member in members.iter().map(|member| hash(member)) {
            changed |= self.members.insert(member, now).is_none();
        }
        // A gateway that is gone counts for a while, so that nobody takes its parts in the same window.
        let before = self.members.len();
        self.members.retain(|_, last| now.saturating_sub(*last) <= handover);
        if changed || before != self.members.len() {
            self.divide(now);
        }
    }

    /// Records an endpoint of a service, and a sign that it is cold, if there is one. Returns its state if it
    /// was warm before.
    pub fn record(
        &mut self,
        key: EndpointKey,
        (name, service): (&str, &str),
        sign: Option<ColdSign>,
        now: Duration,
    ) -> Option<ColdChange> {
        if self.records.len() <= key.index() {
            self.records.resize(key.index() + 1, Record::default());
        }
        let record = &mut self.records[key.index()];
        if record.hash == 0 || record.service != service {
            record.hash = hash(name);
            record.service = service.to_string();
            record.rule = self.rules.get(service).copied();
        }
        let was_cold = record.cold(now).is_some();
        match sign? {
            ColdSign::Told(time) => {
                record.told_until = record.told_until.max(now.saturating_add(time));
            }
            ColdSign::Started => {
                record.told_until = Duration::ZERO;
                (record.started_at, record.refused_at) = (Some(now), None);
                record.seen_here = false;
            }
            ColdSign::Said(time) => {
                record.told_until = record.told_until.max(now.saturating_add(time));
                record.seen_here = true;
            }
            // A gateway that starts now has the list of before, and finds the endpoint listening again.
            ColdSign::Refused => (record.refused_at, record.seen_here) = (Some(now), true),
            ColdSign::Answered => {
                if record.refused_at.take().is_some() {
                    (record.started_at, record.seen_here) = (Some(now), true);
                }
            }
        }
        let (rule, until) = record.cold(now).filter(|_| !was_cold)?;
        let parts = self.own_parts(key.index());
        self.records[key.index()].parts = parts;
        Some(ColdChange { remaining: until.saturating_sub(now), parts, count: rule.parts })
    }

    /// Returns the endpoints of which only this gateway may know that they are cold, with the time for which they stay cold,
    /// for the news to others.
    pub fn news(&self, now: Duration) -> Vec<(EndpointKey, Duration)> {
        let seen = self.records.iter().enumerate().filter(|(_, record)| record.seen_here);
        let news = seen.filter_map(|(index, record)| {
            let (_, until) = record.cold(now)?;
            Some((EndpointKey::from_index(index as u32), until.saturating_sub(now)))
        });
        news.collect()
    }

    /// Returns the endpoints that this gateway has to ask whether they are cold, as `position`th of `count` live
    /// gateways: those that may be cold and are not known to be.
    ///
    /// Each endpoint is asked by few gateways, however many there are, and the others hear of it.
    pub fn to_check(&self, position: usize, count: usize, now: Duration) -> Vec<EndpointKey> {
        let (position, count) = (position as u64, count.max(1) as u64);
        let asks = |record: &Record| {
            (0..CHECKERS).any(|turn| record.hash.wrapping_add(turn) % count == position)
        };
        let unknown =
            |record: &Record| record.rule.is_some() && record.cold(now).is_none() && asks(record);
        let records = self.records.iter().enumerate().filter(|(_, record)| unknown(record));
        records.map(|(index, _)| EndpointKey::from_index(index as u32)).collect()
    }

    /// Returns whether any service has a rule.
    pub fn has_rules(&self) -> bool {
        !self.rules.is_empty()
    }

    /// Returns whether this gateway may send a request to an endpoint.
    pub fn permission(&self, key: EndpointKey, now: Duration) -> Permission {
        let Some(record) = self.records.get(key.index()) else { return Permission::Free };
        if record.cold(now).is_none() {
            return Permission::Free;
        }
        let parts = self.usable_parts(record, now);
        if parts == 0 {
            Permission::Elsewhere
        } else if record.counted(now).count() < parts {
            Permission::Granted
        } else {
            Permission::Later
        }
    }

    /// Returns the time at which this gateway may send a request to an endpoint that it has no permission for
    /// now: when one of its parts is free, or else when the endpoint is warm.
    pub fn opens_at(&self, key: EndpointKey, now: Duration) -> Option<Duration> {
        let record = self.records.get(key.index())?;
        let (_, until) = record.cold(now)?;
        let parts = record.parts as usize;
        if parts == 0 || !self.knows_members(now) {
            return Some(until);
        }
        let sends: Vec<Duration> = record.counted(now).collect();
        let freed = sends.len().checked_sub(parts).map_or(now, |index| sends[index] + WINDOW);
        Some(freed.max(self.settled_at).min(until))
    }

    /// Records that a request is placed at an endpoint, to be sent to it next.
    pub fn record_send(&mut self, key: EndpointKey, now: Duration) {
        let Some(record) = self.records.get_mut(key.index()) else { return };
        let Some(rule) = record.rule else { return };
        record.sends.retain(|at| now.saturating_sub(*at) < WINDOW);
        // No gateway has more parts than there are.
        if record.sends.len() > rule.parts as usize {
            record.sends.pop_front();
        }
        record.sends.push_back(now);
    }

    /// Returns whether a request that was placed at `placed_at` may be written now. It may not if the endpoint
    /// has turned cold since and this gateway has no part left for it, or if it was held up for so long that
    /// its part may be in use again.
    pub fn confirm_send(&mut self, key: EndpointKey, placed_at: Duration, now: Duration) -> bool {
        let Some(record) = self.records.get(key.index()) else { return true };
        if record.cold(now).is_none() {
            return true;
        }
        let index = record.sends.iter().position(|at| *at == placed_at);
        let used = record.counted(now).filter(|at| *at <= placed_at).count();
        let in_time = now.saturating_sub(placed_at) <= SEND_DELAY;
        if index.is_some() && in_time && used <= self.usable_parts(record, now) {
            return true;
        }
        if let Some(index) = index {
            self.records[key.index()].sends.remove(index);
        }
        let allowed = self.permission(key, now).allows();
        if allowed {
            self.record_send(key, now);
        }
        allowed
    }

    /// Returns the number of endpoints that are cold, and this gateway's parts of them.
    pub fn totals(&self, now: Duration) -> (usize, usize) {
        let cold = self.records.iter().filter(|record| record.cold(now).is_some());
        cold.fold((0, 0), |(count, parts), record| {
            (count + 1, parts + self.usable_parts(record, now))
        })
    }

    /// Returns whether this gateway's last round is so recent that no other can have joined and taken parts
    /// unheard.
    fn knows_members(&self, now: Duration) -> bool {
        self.known_at.is_some_and(|at| now.saturating_sub(at) <= self.heard)
    }

    fn usable_parts(&self, record: &Record, now: Duration) -> usize {
        let usable = self.knows_members(now) && now >= self.settled_at;
        if usable {
            record.parts as usize
        } else {
            0
        }
    }

    /// Finds this gateway's parts of all cold endpoints.
    fn divide(&mut self, now: Duration) {
        for index in 0..self.records.len() {
            if self.records[index].cold(now).is_some() {
                self.records[index].parts = self.own_parts(index);
            }
        }
    }

    /// Returns the number of parts of an endpoint that belong to this gateway.
    fn own_parts(&self, index: usize) -> u32 {
        let record = &self.records[index];
        let Some(rule) = record.rule else { return 0 };
        let owner = |part: u32| {
            let item = record.hash.wrapping_add(u64::from(part));
            let members = self.members.keys().copied();
            members.max_by_key(|member| (rendezvous_weight_of(item, *member), *member))
        };
        (0..rule.parts).filter(|part| owner(*part) == Some(self.own)).count() as u32
    }
}

fn hash(name: &str) -> u64 {
    rendezvous_weight("cold", name)
}
