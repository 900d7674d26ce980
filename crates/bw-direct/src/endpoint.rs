//! Table of the endpoints of all services, with the state of each in the endpoint list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_model::arena_key;
use bw_model::Arena;
use bw_model::Key;
use bw_model::Position;

use crate::outage::StoreOutages;

arena_key!(
    /// Key of an endpoint, valid for the lifetime of the process.
    EndpointKey
);

/// Phase of an endpoint according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has and accepts no new ones.
    Leaving,
}

/// Membership of an endpoint in a group whose ranks advance together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the group.
    pub group: String,
    /// Number of the group's incarnation.
    pub epoch: u64,
    /// Rank of the endpoint in the group.
    pub rank: u16,
    /// Number of ranks in the group.
    pub size: u16,
    /// Whether the group accepts requests.
    pub open: bool,
}

/// An endpoint as described by the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of the endpoint in the list.
    pub name: String,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Data centre of the endpoint.
    pub centre: String,
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Phase of the endpoint.
    pub phase: Phase,
    /// Remaining warm-up time, in which the endpoint is slow after its start.
    pub cold: Duration,
    /// Start time in Unix milliseconds; distinguishes the endpoint's incarnations.
    pub born: u64,
    /// Group membership; `None` if the endpoint is not part of a group.
    pub member: Option<Member>,
}

/// State of an endpoint's entry in the list, which decides whether the endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Listed as ready.
    Listed,
    /// The entry lapsed while the store was unavailable; the endpoint is usable until the given
    /// time.
    Lapsed(Duration),
    /// Leaving, or no longer listed.
    Gone,
}

/// An endpoint with the state of its list entry.
#[derive(Clone, Debug)]
pub struct EndpointRecord {
    /// The endpoint as last listed.
    pub endpoint: Endpoint,
    /// State of the list entry.
    pub state: EndpointState,
}

/// Effect of an update on an endpoint in the table, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// No relevant change.
    Same,
    /// The endpoint is new.
    Added,
    /// A known endpoint started a new incarnation.
    Restarted,
    /// The address, service, state or capacity changed.
    Changed,
    /// The endpoint receives no new work.
    Removed,
    /// The list entry lapsed in an outage of the store; the endpoint stays usable for a limited
    /// time.
    Lapsed,
}

/// All endpoints that were ever listed in this process.
#[derive(Clone, Debug, Default)]
pub struct Table {
    records: Arena<EndpointKey, EndpointRecord>,
    names: HashMap<String, EndpointKey>,
    services: HashMap<String, Vec<EndpointKey>>,
    outages: StoreOutages,
    /// Endpoints that had reported their leaving before the store returned from an older copy, with the position of the
    /// copy's list.
    left_before: HashMap<EndpointKey, Position>,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the endpoint with this key.
    pub fn get(&self, key: EndpointKey) -> Option<&EndpointRecord> {
        self.records.get(key)
    }

    /// Returns the key of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<EndpointKey> {
        self.names.get(name).copied()
    }

    /// Returns the keys of a service's endpoints, those that are gone included.
    pub fn of_service(&self, service: &str) -> &[EndpointKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of endpoints whose list entries have lapsed, each with the time until
    /// which it stays usable.
    pub fn lapsed(&self) -> impl Iterator<Item = (&str, Duration)> {
        self.records.iter().filter_map(|(_, record)| match record.state {
            EndpointState::Lapsed(until) => Some((record.endpoint.name.as_str(), until)),
            EndpointState::Listed | EndpointState::Gone => None,
        })
    }

    /// Returns the names of all services that ever had endpoints.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }

    /// Iterates over all endpoints, those that are gone included.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &EndpointRecord)> {
        self.records.iter()
    }

    /// Returns the endpoints of a service that are usable at `now`, whether or not their groups
    /// accept requests.
    pub fn usable<'a>(
        &'a self,
        service: &str,
        now: Duration,
    ) -> impl Iterator<Item = EndpointKey> + 'a {
        self.of_service(service).iter().copied().filter(move |key| self.is_usable(*key, now))
    }

    /// Returns whether the list entry of an endpoint allows new work at `now`, whether or not the
    /// endpoint's group accepts requests.
    pub fn is_usable(&self, key: EndpointKey, now: Duration) -> bool {
        self.records.get(key).is_some_and(|record| match record.state {
            EndpointState::Listed => true,
            EndpointState::Lapsed(until) => now < until,
            EndpointState::Gone => false,
        })
    }

    /// Returns whether the endpoint's group is known to accept requests; true if there is no group.
    fn is_open(&self, key: EndpointKey) -> bool {
        let member = self.records.get(key).and_then(|record| record.endpoint.member.as_ref());
        member.is_none_or(|member| member.open)
    }

    /// Returns the endpoints of a service that are usable at `now` and whose groups, if any, accept
    /// requests.
    pub fn accepting<'a>(
        &'a self,
        service: &str,
        now: Duration,
    ) -> impl Iterator<Item = EndpointKey> + 'a {
        let accepting = move |key: &EndpointKey| self.is_usable(*key, now) && self.is_open(*key);
        self.of_service(service).iter().copied().filter(accepting)
    }

    /// Records that the store, which is the source of the list, answered this gateway or another one at
    /// `at`.
    pub fn record_store_answer(&mut self, at: Duration) {
        self.outages.record_answer(at);
    }

    /// Returns the time since the store last answered any gateway; `None` before the first answer.
    pub fn store_silence(&self, now: Duration) -> Option<Duration> {
        self.outages.silence(now)
    }

    /// Records that the store has returned from an older copy, whose list was read at `position`.
    pub fn record_store_restore(&mut self, position: Position, now: Duration) {
        self.outages.record_restore(now);
        let leaving = self.records.iter().filter(|(_, one)| one.endpoint.phase == Phase::Leaving);
        self.left_before.extend(leaving.map(|(key, _)| (key, position)));
    }

    /// Returns whether an entry that was written at `written` is an older copy's of an endpoint that has reported its
    /// leaving since. The endpoint's own next entry, or that of its next life, is believed.
    pub fn is_outdated(&self, endpoint: &Endpoint, written: Position) -> bool {
        let Some(key) = self.find(&endpoint.name) else { return false };
        let same_life = self.records[key].endpoint.born == endpoint.born;
        same_life && self.left_before.get(&key).is_some_and(|copied| written <= *copied)
    }

    /// Adds or updates an endpoint from the list.
    pub fn upsert(&mut self, endpoint: Endpoint) -> (EndpointKey, EndpointChange) {
        let state = match endpoint.phase {
            Phase::Ready => EndpointState::Listed,
            Phase::Leaving => EndpointState::Gone,
        };
        let Some(key) = self.find(&endpoint.name) else {
            let name = endpoint.name.clone();
            let service = endpoint.service.clone();
            let key = self.records.push(EndpointRecord { endpoint, state });
            self.names.insert(name, key);
            self.services.entry(service).or_default().push(key);
            return (key, EndpointChange::Added);
        };
        let record = &mut self.records[key];
        let change = if record.endpoint.born != endpoint.born {
            EndpointChange::Restarted
        } else if state == EndpointState::Gone && record.state != EndpointState::Gone {
            EndpointChange::Removed
        } else if record.state != state || record.endpoint != endpoint {
            EndpointChange::Changed
        } else {
            EndpointChange::Same
        };
        if record.endpoint.service != endpoint.service {
            let old = record.endpoint.service.clone();
            if let Some(keys) = self.services.get_mut(&old) {
                keys.retain(|other| *other != key);
            }
            self.services.entry(endpoint.service.clone()).or_default().push(key);
        }
        let record = &mut self.records[key];
        record.endpoint = endpoint;
        record.state = state;
        (key, change)
    }

    /// Records that the list no longer contains an endpoint, or that its entry cannot be decoded.
    pub fn remove(&mut self, name: &str, now: Duration) -> EndpointChange {
        let Some(key) = self.find(name) else {
            return EndpointChange::Same;
        };
        let grace_end = self.outages.grace_end(now);
        let record = &mut self.records[key];
        match record.state {
            EndpointState::Listed => match grace_end {
                Some(until) => {
                    record.state = EndpointState::Lapsed(until);
                    EndpointChange::Lapsed
                }
                None => {
                    record.state = EndpointState::Gone;
                    EndpointChange::Removed
                }
            },
            EndpointState::Lapsed(until) if until <= now => {
                record.state = EndpointState::Gone;
                EndpointChange::Removed
            }
            EndpointState::Lapsed(_) | EndpointState::Gone => EndpointChange::Same,
        }
    }

    /// Disables an endpoint whose address turned out to be used by another endpoint.
    pub fn disable(&mut self, key: EndpointKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = EndpointState::Gone;
        }
    }

    /// Replaces the whole list and returns the changes; endpoints missing from `list` are removed.
    pub fn replace(
        &mut self,
        list: Vec<Endpoint>,
        now: Duration,
    ) -> Vec<(EndpointKey, EndpointChange)> {
        let mut changes = Vec::new();
        let named: std::collections::HashSet<String> =
            list.iter().map(|endpoint| endpoint.name.clone()).collect();
        let missing: Vec<String> =
            self.names.keys().filter(|name| !named.contains(*name)).cloned().collect();
        for name in missing {
            let change = self.remove(&name, now);
            if let (Some(key), true) = (self.find(&name), change != EndpointChange::Same) {
                changes.push((key, change));
            }
        }
        for endpoint in list {
            let (key, change) = self.upsert(endpoint);
            if change != EndpointChange::Same {
                changes.push((key, change));
            }
        }
        changes
    }

    /// Returns the number of endpoints ever listed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if no endpoint was ever listed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the key at an index, for tables that are indexed in parallel with this one.
    pub fn key_at(index: usize) -> EndpointKey {
        EndpointKey::from_index(index as u32)
    }
}
