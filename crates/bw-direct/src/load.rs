//! How loaded each endpoint is, from what all entries have sent there.

use std::collections::HashMap;
use std::time::Duration;

use bw_model::Key;
use smallvec::SmallVec;

use crate::endpoint::EndpointKey;

/// Age at which a peer's news of its load no longer counts.
const PEER_AGE_MAX: Duration = Duration::from_millis(1_500);
/// Work that is at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests that are running or waiting there.
    pub requests: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub prompt: u32,
}

impl Work {
    fn add(&mut self, other: Work) {
        self.requests += other.requests;
        self.prompt += other.prompt;
    }
}

/// News of one peer.
#[derive(Clone, Debug)]
struct PeerLoad {
    heard: Duration,
    works: Vec<(EndpointKey, Work)>,
}

/// Work of this entry and its peers at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: Vec<Work>,
    peers: HashMap<String, PeerLoad>,
}

impl Loads {
    /// Notes that a request was sent.
    pub fn start(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.requests += 1;
        work.prompt += prompt;
    }

    /// Notes that a request began to answer.
    pub fn answer(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.prompt = work.prompt.saturating_sub(prompt);
    }

    /// Notes that a request ended; `prompt` as far as it had not begun to answer.
    pub fn finish(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.requests = work.requests.saturating_sub(1);
        work.prompt = work.prompt.saturating_sub(prompt);
    }

    /// Takes the news of a peer.
    pub fn hear(&mut self, peer: &str, works: Vec<(EndpointKey, Work)>, now: Duration) {
        self.peers.insert(peer.to_string(), PeerLoad { heard: now, works });
    }

    /// Own work at each endpoint that has any.
    pub fn own(&self) -> impl Iterator<Item = (usize, Work)> + '_ {
        self.own.iter().copied().enumerate().filter(|(_, work)| work.requests > 0)
    }

    /// Own work at one endpoint.
    pub fn own_at(&self, key: EndpointKey) -> Work {
        self.own.get(key.index()).copied().unwrap_or_default()
    }

    /// Work of all entries at each of `keys`.
    pub fn total(&self, keys: &[EndpointKey], now: Duration) -> SmallVec<[Work; 16]> {
        let mut totals: SmallVec<[Work; 16]> = keys.iter().map(|key| self.own_at(*key)).collect();
        for peer in self.peers.values() {
            if now.saturating_sub(peer.heard) > PEER_AGE_MAX {
                continue;
            }
            for (key, work) in &peer.works {
                if let Some(place) = keys.iter().position(|other| other == key) {
                    totals[place].add(*work);
                }
            }
        }
        totals
    }

    /// Age of the oldest news of a peer that counts.
    pub fn oldest(&self, now: Duration) -> Duration {
        let ages = self.peers.values().map(|peer| now.saturating_sub(peer.heard));
        ages.filter(|age| *age <= PEER_AGE_MAX).max().unwrap_or_default()
    }

    fn own_mut(&mut self, key: EndpointKey) -> &mut Work {
        if self.own.len() <= key.index() {
            self.own.resize(key.index() + 1, Work::default());
        }
        &mut self.own[key.index()]
    }
}
