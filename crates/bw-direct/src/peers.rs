//! The entries of the deployment as one of them sees the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_member::PeerState;
use bw_model::Fence;
use serde::Deserialize;
use serde::Serialize;

use crate::health::Counts;
use crate::load::Work;
use crate::relay::Near;

/// Silence after which callers are no longer sent to a peer.
pub const LIVE_FOR: Duration = Duration::from_millis(1_200);
/// Silence after which a peer is told no more news.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Where an entry can be reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Instance of the entry.
    pub instance: String,
    /// Data centre that it stands in.
    pub centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for news of other entries.
    pub news: SocketAddr,
}

/// Work at an endpoint and what became of it, by a hash of the endpoint's name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Requests of the sender that run or wait there.
    pub requests: u32,
    /// Their prompt tokens that are not yet read.
    pub prompt: u32,
    /// Requests of the sender that ended there in the last seconds.
    pub ended: u32,
    /// Those of them that failed.
    pub failed: u32,
}

impl WorkNews {
    /// The work without the endpoint.
    pub fn work(&self) -> Work {
        Work { requests: self.requests, prompt: self.prompt }
    }

    /// What became of the requests that ended.
    pub fn counts(&self) -> Counts {
        Counts { ended: self.ended, failed: self.failed }
    }
}

/// A slow endpoint, by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Time that its work takes, in percent of what it should.
    pub percent: u32,
}

/// A request that was in flight when an endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Endpoint that crashed.
    pub endpoint: String,
    /// The life that ended, as the Unix millisecond of its start.
    pub born: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// Bytes that follow the news in a datagram: the receiver's last stamp.
const ECHO_BYTES: usize = 8;

/// A datagram: the same news for all peers, and the last stamp that came from this one.
pub fn add_echo(news: &[u8], echo: u64) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(news.len() + ECHO_BYTES);
    datagram.extend_from_slice(news);
    datagram.extend_from_slice(&echo.to_le_bytes());
    datagram
}

/// The news of a datagram and the stamp that it returns; `None` when it is too short for one.
pub fn split_echo(datagram: &[u8]) -> Option<(&[u8], u64)> {
    let (news, echo) = datagram.split_last_chunk::<ECHO_BYTES>()?;
    Some((news, u64::from_le_bytes(*echo)))
}

/// What one entry tells another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// State of the sender.
    pub state: PeerState,
    /// Where the sender can be reached.
    pub address: PeerAddress,
    /// The sender's clock in milliseconds, to be returned by the receiver.
    pub stamp: u64,
    /// Whether callers should be sent to it.
    pub ready: bool,
    /// Age in milliseconds of the sender's proof that its configuration is the newest.
    pub proof: Option<u32>,
    /// Time in milliseconds since the store itself has answered the sender.
    pub store: Option<u32>,
    /// Revision of the last change of the endpoints' list that the sender knows.
    pub listing: u64,
    /// Fencing number of the planning duty, while the sender holds it.
    pub duty: Option<Fence>,
    /// Slow endpoints as the planning duty sees them.
    pub paces: Vec<PaceNews>,
    /// Work of the sender at endpoints.
    pub works: Vec<WorkNews>,
    /// Requests in flight at crashes of the last seconds.
    pub suspects: Vec<SuspectNews>,
    /// Other entries that the sender knows; only in some of the news.
    pub others: Vec<PeerAddress>,
}

/// One peer.
#[derive(Clone, Debug)]
struct Peer {
    address: PeerAddress,
    state: Option<PeerState>,
    ready: bool,
    /// Time since the store had answered it when it was heard.
    store: Option<Duration>,
    heard: Option<Duration>,
    /// When it was first named.
    named: Duration,
}

impl Peer {
    /// Whether it was heard lately and stays.
    fn is_present(&self, now: Duration) -> bool {
        let leaving = self.state.as_ref().is_some_and(|state| state.leaving);
        !leaving && self.heard.is_some_and(|at| now.saturating_sub(at) <= LIVE_FOR)
    }

    fn is_live(&self, now: Duration) -> bool {
        self.ready && self.is_present(now)
    }

    fn is_worth_telling(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard.unwrap_or(self.named)) <= FORGET_AFTER
    }
}

/// How news was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Older than what is known.
    Stale,
    /// Newer news of a known peer.
    Known,
    /// First news of a peer, or of its new life.
    First,
}

/// All other entries.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
    own: String,
}

impl Peers {
    /// No peers yet of the entry on instance `own`.
    pub fn new(own: String) -> Self {
        Self { peers: BTreeMap::new(), own }
    }

    /// Notes that an entry exists, as the store or a peer says.
    pub fn name(&mut self, address: PeerAddress, now: Duration) {
        if address.instance == self.own {
            return;
        }
        let peer =
            Peer { address, state: None, ready: false, store: None, heard: None, named: now };
        self.peers.entry(peer.address.instance.clone()).or_insert(peer);
    }

    /// Takes news from the peer itself.
    pub fn hear(&mut self, news: &News, now: Duration) -> Heard {
        let instance = &news.state.instance;
        if *instance == self.own {
            return Heard::Stale;
        }
        let known = self.peers.get(instance).and_then(|peer| peer.state.as_ref());
        let same_life = known.is_some_and(|state| state.incarnation == news.state.incarnation);
        if same_life && known.is_some_and(|state| state.seq >= news.state.seq) {
            return Heard::Stale;
        }
        let peer = Peer {
            address: news.address.clone(),
            state: Some(news.state.clone()),
            ready: news.ready,
            store: news.store.map(|age| Duration::from_millis(u64::from(age))),
            heard: Some(now),
            named: now,
        };
        self.peers.insert(instance.clone(), peer);
        for other in &news.others {
            self.name(other.clone(), now);
        }
        if same_life {
            Heard::Known
        } else {
            Heard::First
        }
    }

    /// Addresses for news of all peers that may be alive.
    pub fn news_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let worth = self.peers.values().filter(|peer| peer.is_worth_telling(now));
        worth.map(|peer| peer.address.news).collect()
    }

    /// Addresses of all peers that may be alive, to be told to others.
    pub fn addresses(&self, now: Duration) -> Vec<PeerAddress> {
        let worth = self.peers.values().filter(|peer| peer.is_worth_telling(now));
        worth.map(|peer| peer.address.clone()).collect()
    }

    /// Peers that callers may be sent to.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &PeerAddress> {
        self.peers.values().filter(move |peer| peer.is_live(now)).map(|peer| &peer.address)
    }

    /// Peers of a data centre that are present.
    pub fn near(&self, centre: &str, now: Duration) -> Vec<Near<SocketAddr>> {
        let present = self
            .peers
            .values()
            .filter(|peer| peer.address.centre == centre && peer.is_present(now));
        let near = present.map(|peer| {
            let silence = now.saturating_sub(peer.heard.unwrap_or_default());
            Near {
                instance: peer.address.instance.clone(),
                store: peer.store.map(|age| age + silence),
                address: peer.address.news,
            }
        });
        near.collect()
    }

    /// Number of entries believed to be alive, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        1 + self.live(now).count()
    }
}
