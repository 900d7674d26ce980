//! Load of each endpoint, computed from the requests of all gateways.

use std::collections::HashMap;
use std::time::Duration;

use bw_model::hash::rendezvous_weight;
use bw_model::Key;
use smallvec::SmallVec;

use crate::endpoint::EndpointKey;
use crate::place::Candidate;
use crate::place::Rivals;

/// Age beyond which a peer's news of its load is ignored.
pub const PEER_AGE_MAX: Duration = Duration::from_millis(1_500);

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Requests that are running or waiting.
    pub requests: u32,
    /// Prompt tokens of the requests that have not started to answer.
    pub prompt: u32,
}

impl Work {
    /// Adds another amount.
    pub fn add(&mut self, other: Work) {
        self.requests += other.requests;
        self.prompt = self.prompt.saturating_add(other.prompt);
    }
}

/// Load of one peer, or the sum of several.
#[derive(Clone, Debug)]
struct PeerLoad {
    /// Hashes of the peers' names.
    hashes: Vec<u64>,
    received_at: Duration,
    /// Age of the load when it arrived, beyond that of a peer's own news.
    lag: Duration,
    works: Vec<(EndpointKey, Work)>,
}

/// Work of this gateway and its peers at each endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    own: Vec<Work>,
    peers: HashMap<String, PeerLoad>,
}

impl Loads {
    /// Records that a request was sent.
    pub fn start(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.requests += 1;
        work.prompt = work.prompt.saturating_add(prompt);
    }

    /// Records that a request started to answer.
    pub fn start_answer(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.prompt = work.prompt.saturating_sub(prompt);
    }

    /// Records that a request ended; `prompt` is zero if the request had started to answer.
    pub fn finish(&mut self, key: EndpointKey, prompt: u32) {
        let work = self.own_mut(key);
        work.requests = work.requests.saturating_sub(1);
        work.prompt = work.prompt.saturating_sub(prompt);
    }

    /// Replaces the load reported by a peer.
    pub fn update_peer(&mut self, peer: &str, works: Vec<(EndpointKey, Work)>, now: Duration) {
        let hashes = vec![gateway_hash(peer)];
        self.update_source(peer, hashes, works, (Duration::ZERO, now));
    }

    /// Replaces the load that a source has reported at `received_at`, when it was `lag` old, of the gateways with
    /// the given hashes.
    pub fn update_source(
        &mut self,
        source: &str,
        hashes: Vec<u64>,
        works: Vec<(EndpointKey, Work)>,
        (lag, received_at): (Duration, Duration),
    ) {
        self.peers.insert(source.to_string(), PeerLoad { hashes, received_at, lag, works });
    }

    /// Forgets the load reported by all sources but those for which `keep` returns true.
    pub fn retain_sources<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.peers.retain(|source, _| keep(source));
    }

    /// Returns the time at which a source's load was received.
    pub fn received_at(&self, source: &str) -> Option<Duration> {
        self.peers.get(source).map(|peer| peer.received_at)
    }

    /// Returns this gateway's own work by endpoint index, without idle endpoints.
    pub fn own(&self) -> impl Iterator<Item = (usize, Work)> + '_ {
        self.own.iter().copied().enumerate().filter(|(_, work)| work.requests > 0)
    }

    /// Returns this gateway's own work at one endpoint.
    pub fn own_at(&self, key: EndpointKey) -> Work {
        self.own.get(key.index()).copied().unwrap_or_default()
    }

    /// Returns the work of all gateways at each of `keys`, in their order.
    ///
    /// The cost grows with the number of reports and of keys, and not with their product: with hundreds of
    /// gateways and thousands of endpoints every placement asks for this.
    pub fn total(&self, keys: &[EndpointKey], now: Duration) -> SmallVec<[Work; 16]> {
        let size = keys.iter().map(|key| key.index() + 1).max().unwrap_or_default();
        let mut reported = vec![Work::default(); size];
        let recent = |peer: &&PeerLoad| now.saturating_sub(peer.received_at) <= PEER_AGE_MAX;
        for (key, work) in self.peers.values().filter(recent).flat_map(|peer| &peer.works) {
            if let Some(total) = reported.get_mut(key.index()) {
                total.add(*work);
            }
        }
        let total = |key: &EndpointKey| {
            let mut work = self.own_at(*key);
            work.add(reported[key.index()]);
            work
        };
        keys.iter().map(total).collect()
    }

    /// Returns the rivals of the gateway with the hash `own` for the free slots of a service, of which
    /// `candidates` are the endpoints: the peers whose home slots are all in use, or all but one, and those
    /// of a sum whose mean is so high that many of them are.
    /// `positions` has the position of each gateway by its hash.
    pub fn rivals(
        &self,
        own: u64,
        positions: &HashMap<u64, usize>,
        candidates: &[Candidate],
        now: Duration,
    ) -> Rivals {
        let slots: u32 = candidates.iter().map(|one| one.slots).sum();
        let homes = slots / positions.len().max(1) as u32;
        // An order that never changes would leave those who come last in it without any slot.
        if homes == 0 {
            return Rivals::default();
        }
        let size = candidates.iter().map(|one| one.key.index() + 1).max().unwrap_or_default();
        let mut by_index: Vec<Option<&Candidate>> = vec![None; size];
        for candidate in candidates {
            by_index[candidate.key.index()] = Some(candidate);
        }
        let recent = |peer: &&PeerLoad| now.saturating_sub(peer.received_at) <= PEER_AGE_MAX;
        let mut rivals = Rivals::new(own, positions.len());
        for peer in self.peers.values().filter(recent) {
            let candidate = |key: &EndpointKey| by_index.get(key.index()).copied().flatten();
            let works = peer.works.iter();
            let works = works.filter_map(|(key, work)| Some((candidate(key)?, work.requests)));
            let requests: u32 = works.clone().map(|(_, requests)| requests).sum();
            match peer.hashes.as_slice() {
                [hash] if requests > 0 && requests + 1 >= homes => {
                    rivals.add(*hash, positions.get(hash).copied(), works);
                }
                [] | [_] => {}
                hashes => {
                    let mean = f64::from(requests) / hashes.len() as f64;
                    // Arrivals at random differ by the root of their number.
                    if mean >= f64::from(homes) - f64::from(homes).sqrt() {
                        hashes.iter().for_each(|hash| rivals.add_full(*hash));
                    }
                }
            }
        }
        rivals
    }

    /// Returns the age of the oldest news that is still counted.
    pub fn oldest_news(&self, now: Duration) -> Duration {
        let ages = self.peers.values().map(|peer| (now.saturating_sub(peer.received_at), peer.lag));
        let counted = ages.filter(|(age, _)| *age <= PEER_AGE_MAX);
        counted.map(|(age, lag)| age + lag).max().unwrap_or_default()
    }

    fn own_mut(&mut self, key: EndpointKey) -> &mut Work {
        if self.own.len() <= key.index() {
            self.own.resize(key.index() + 1, Work::default());
        }
        &mut self.own[key.index()]
    }
}

/// Returns the hash by which gateways order each other for an endpoint.
pub fn gateway_hash(instance: &str) -> u64 {
    rendezvous_weight("gateway", instance)
}
