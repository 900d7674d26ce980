//! The other gateways of the deployment, as seen by this one.

mod sightings;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bw_member::PeerState;
use bw_model::Fence;
use bw_model::Position;
use rand::seq::IndexedRandom;
use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::health::Counts;
use crate::load::Work;
use crate::relay::LocalPeer;
use crate::reports::GatewayKey;

/// Shortest and longest time between two rounds of news.
const ROUND_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_000));
/// Time that each live gateway adds to the interval between rounds, so that the rate at which one
/// gateway sends stays bounded.
const INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(5);
/// Least time without news after which callers are no longer sent to a peer.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Rounds without news after which callers are no longer sent to a peer, if that is longer. One lost datagram is
/// no reason.
const LIVE_ROUNDS: f64 = 2.4;
/// Time without news after which a peer is no longer sent news.
const FORGET_AFTER: Duration = Duration::from_secs(20);

/// Time without news after which a peer is taken for gone although it has not announced that it leaves.
/// Until then it may be alive behind a cut of the network.
const GONE_AFTER: Duration = Duration::from_secs(600);

/// Addresses of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Instance of the gateway.
    pub instance: String,
    /// Data centre of the gateway.
    pub centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for news from other gateways.
    pub news: SocketAddr,
}

/// Load and outcomes at an endpoint, which is identified by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Requests of the sender that are running or waiting at the endpoint.
    pub requests: u32,
    /// Prompt tokens of these requests that are not yet read.
    pub prompt: u32,
    /// Requests of the sender that ended at the endpoint in the last seconds.
    pub ended: u32,
    /// Those of the ended requests that failed.
    pub failed: u32,
}

impl WorkNews {
    /// Returns the load at the endpoint.
    pub fn work(&self) -> Work {
        Work { requests: self.requests, prompt: self.prompt }
    }

    /// Returns the outcomes of the requests that ended.
    pub fn counts(&self) -> Counts {
        Counts { ended: self.ended, failed: self.failed }
    }
}

/// A slow endpoint, which is identified by a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNews {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Time that the endpoint's work takes, in percent of the expected time.
    pub percent: u32,
}

/// A request that was in flight when an endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Endpoint that crashed.
    pub endpoint: String,
    /// Incarnation that crashed, as the Unix millisecond of its start.
    pub born: u64,
    /// Fingerprint of the request.
    pub fingerprint: u64,
}

/// Draws the addresses that a caller gets, of which it takes `most` at most. Every gateway is drawn equally
/// often, whatever the order of `addresses`.
pub fn draw_addresses<R>(addresses: &[SocketAddr], most: usize, random: &mut R) -> Vec<SocketAddr>
where
    R: Rng,
{
    addresses.choose_multiple(random, most.min(addresses.len())).copied().collect()
}

/// Returns the time between two rounds of news of each of `gateways` gateways.
pub fn news_interval(gateways: usize) -> Duration {
    (INTERVAL_PER_GATEWAY * gateways as u32).clamp(ROUND_INTERVAL.0, ROUND_INTERVAL.1)
}

/// Length of the echoed stamp that follows the news in a datagram.
const ECHO_BYTES: usize = 8;

/// Builds a datagram from news, which are the same for all peers, and the last stamp received from
/// this peer.
pub fn add_echo(news: &[u8], echo: u64) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(news.len() + ECHO_BYTES);
    datagram.extend_from_slice(news);
    datagram.extend_from_slice(&echo.to_le_bytes());
    datagram
}

/// Splits a datagram into the news and the echoed stamp; `None` if the datagram is too short for a
/// stamp.
pub fn split_echo(datagram: &[u8]) -> Option<(&[u8], u64)> {
    let (news, echo) = datagram.split_last_chunk::<ECHO_BYTES>()?;
    Some((news, u64::from_le_bytes(*echo)))
}

/// State that a gateway sends to the other gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// State of the sender.
    pub state: PeerState,
    /// Addresses of the sender.
    pub address: PeerAddress,
    /// Clock of the sender in milliseconds, which the receiver echoes.
    pub stamp: u64,
    /// Whether callers should be sent to the sender.
    pub ready: bool,
    /// Age in milliseconds of the sender's proof that its configuration is the newest.
    pub proof: Option<u32>,
    /// Time in milliseconds since the store last answered the sender directly.
    pub store: Option<u32>,
    /// Position of the last change to the endpoint list that the sender knows.
    pub listing: Position,
    /// Fencing number of the planning duty, while the sender holds it.
    pub duty: Option<Fence>,
    /// Slow endpoints as determined by the holder of the planning duty.
    pub paces: Vec<PaceNews>,
    /// Work of the sender at endpoints.
    pub works: Vec<WorkNews>,
    /// Requests that were in flight at crashes of the last seconds.
    pub suspects: Vec<SuspectNews>,
    /// Other gateways known to the sender; only included in some datagrams.
    pub others: Vec<PeerAddress>,
}

/// Latest news and contact times of one peer.
#[derive(Clone, Debug)]
struct Peer {
    address: PeerAddress,
    state: Option<PeerState>,
    /// Key of the life that `state` is of.
    key: Option<GatewayKey>,
    ready: bool,
    /// Time since the store last answered the peer, as of `last_seen`.
    store_age: Option<Duration>,
    last_seen: Option<Duration>,
    /// Time at which another gateway of its data centre last heard the peer.
    sighted: Option<Duration>,
    /// Time at which the peer first became known.
    first_seen: Duration,
}

impl Peer {
    /// Returns whether the peer was seen within `timeout` and is not leaving.
    fn is_present(&self, timeout: Duration, now: Duration) -> bool {
        let leaving = self.state.as_ref().is_some_and(|state| state.leaving);
        let heard = self.last_seen.max(self.sighted);
        !leaving && heard.is_some_and(|at| now.saturating_sub(at) <= timeout)
    }

    fn is_live(&self, timeout: Duration, now: Duration) -> bool {
        self.ready && self.is_present(timeout, now)
    }

    /// Returns the time since the last news of the peer, or since it became known.
    fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_seen.unwrap_or(self.first_seen))
    }

    fn receives_news(&self, now: Duration) -> bool {
        self.silence(now) <= FORGET_AFTER
    }

    /// Returns whether the peer has announced that it leaves, and has been silent for `window` since.
    fn has_left(&self, window: Duration, now: Duration) -> bool {
        self.state.as_ref().is_some_and(|state| state.leaving) && self.silence(now) > window
    }
}

/// Outcome of receiving news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NewsOutcome {
    /// Not newer than the known news, or sent by this gateway itself.
    Stale,
    /// Newer news of a known peer.
    Known,
    /// First news of a peer or of its new incarnation.
    First,
}

/// All known peers of one gateway, by instance.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    peers: BTreeMap<String, Peer>,
    own: String,
    /// Whether the store's list of gateways was read.
    listed: bool,
}

impl Peers {
    /// Creates an empty set of peers for the gateway on instance `own`.
    pub fn new(own: String) -> Self {
        Self { peers: BTreeMap::new(), own, listed: false }
    }

    /// Records that the store's list of gateways was read, so that all that have registered are known.
    pub fn record_listed(&mut self) {
        self.listed = true;
    }

    /// Returns whether the store's list of gateways was read.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Adds a gateway that the store or a peer reported, unless it is already known.
    pub fn add(&mut self, address: PeerAddress, now: Duration) {
        if address.instance == self.own {
            return;
        }
        let peer = Peer {
            address,
            state: None,
            key: None,
            ready: false,
            store_age: None,
            last_seen: None,
            sighted: None,
            first_seen: now,
        };
        self.peers.entry(peer.address.instance.clone()).or_insert(peer);
    }

    /// Applies news received from the peer itself.
    pub fn receive(&mut self, news: &News, now: Duration) -> NewsOutcome {
        let instance = &news.state.instance;
        if *instance == self.own {
            return NewsOutcome::Stale;
        }
        let known = self.peers.get(instance).and_then(|peer| peer.state.as_ref());
        let same_incarnation =
            known.is_some_and(|state| state.incarnation == news.state.incarnation);
        if same_incarnation && known.is_some_and(|state| state.seq >= news.state.seq) {
            return NewsOutcome::Stale;
        }
        let peer = Peer {
            address: news.address.clone(),
            state: Some(news.state.clone()),
            key: Some(GatewayKey::new(instance, news.state.incarnation)),
            ready: news.ready,
            store_age: news.store.map(|age| Duration::from_millis(u64::from(age))),
            last_seen: Some(now),
            sighted: None,
            first_seen: now,
        };
        self.peers.insert(instance.clone(), peer);
        for other in &news.others {
            self.add(other.clone(), now);
        }
        if same_incarnation {
            NewsOutcome::Known
        } else {
            NewsOutcome::First
        }
    }

    /// Returns the addresses of all peers that may be alive.
    pub fn receivers(&self, now: Duration) -> impl Iterator<Item = &PeerAddress> {
        let receivers = self.peers.values().filter(move |peer| peer.receives_news(now));
        receivers.map(|peer| &peer.address)
    }

    /// Returns the news address of a peer.
    pub fn news_address(&self, instance: &str) -> Option<SocketAddr> {
        self.peers.get(instance).map(|peer| peer.address.news)
    }

    /// Draws the addresses of at most `most` peers that may be alive, to be sent to other peers.
    pub fn draw_peers<R>(&self, most: usize, random: &mut R, now: Duration) -> Vec<PeerAddress>
    where
        R: Rng,
    {
        let receivers = self.peers.values().filter(|peer| peer.receives_news(now));
        let receivers: Vec<&PeerAddress> = receivers.map(|peer| &peer.address).collect();
        receivers.choose_multiple(random, most).map(|address| (*address).clone()).collect()
    }

    /// Returns the peers that callers may be sent to.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &PeerAddress> {
        let timeout = self.live_timeout();
        let live = self.peers.values().filter(move |peer| peer.is_live(timeout, now));
        live.map(|peer| &peer.address)
    }

    /// Returns the peers that are alive and not leaving, whether or not they are ready.
    pub fn present(&self, now: Duration) -> impl Iterator<Item = &PeerAddress> {
        let timeout = self.live_timeout();
        let present = self.peers.values().filter(move |peer| peer.is_present(timeout, now));
        present.map(|peer| &peer.address)
    }

    /// Returns the peers in a data centre that are present.
    pub fn in_centre(&self, centre: &str, now: Duration) -> Vec<LocalPeer<SocketAddr>> {
        let timeout = self.live_timeout();
        let local = self.peers.values().filter(|peer| peer.address.centre == centre);
        let present = local.filter(|peer| peer.is_present(timeout, now));
        let peers = present.map(|peer| {
            let silence = now.saturating_sub(peer.last_seen.unwrap_or_default());
            LocalPeer {
                instance: peer.address.instance.clone(),
                store_age: peer.store_age.map(|age| age + silence),
                address: peer.address.news,
            }
        });
        peers.collect()
    }

    /// Returns the number of parts into which an amount that all gateways may spend within `window` is
    /// divided; `None` if this gateway has no part.
    ///
    /// A peer counts until what it has spent is out of the window. Otherwise the parts of the others
    /// would grow while it leaves, or while the network is cut. A gateway that has heard less than half of the
    /// others for long has no part, since they may have forgotten it. One that knows of no other has none
    /// until it has read the store's list.
    pub fn part_count(&self, window: Duration, now: Duration) -> Option<usize> {
        let members = self.members(window, now).count();
        self.hears_half(window, now).then_some(1 + members)
    }

    /// Returns the instances of the gateways that [`Self::part_count`] counts, this one included; `None` if
    /// this gateway has no part.
    pub fn part_owners(&self, window: Duration, now: Duration) -> Option<Vec<String>> {
        let peers = self.members(window, now).map(|peer| peer.address.instance.clone());
        self.hears_half(window, now).then(|| peers.chain([self.own.clone()]).collect())
    }

    /// Forgets the peers that have left, and those that have been silent for so long that they are taken for
    /// gone. A gateway that hears less than half of the others may itself be cut off and forgets none of them.
    pub fn forget_gone(&mut self, window: Duration, now: Duration) {
        let hears_half = self.hears_half(window, now);
        self.peers.retain(|_, peer| {
            let gone = hears_half && peer.silence(now) > GONE_AFTER;
            !gone && !peer.has_left(window.max(FORGET_AFTER), now)
        });
    }

    fn members(&self, window: Duration, now: Duration) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| !peer.has_left(window, now))
    }

    /// Returns whether at least half of the other gateways have been heard so recently that none of
    /// them can have forgotten this one, nor spent its part, for a window.
    fn hears_half(&self, window: Duration, now: Duration) -> bool {
        if self.peers.is_empty() && !self.listed {
            return false;
        }
        let recent = GONE_AFTER.saturating_sub(window);
        let heard =
            |peer: &&Peer| peer.last_seen.is_some_and(|at| now.saturating_sub(at) <= recent);
        let heard = self.members(window, now).filter(heard).count();
        2 * heard >= self.members(window, now).count()
    }

    /// Returns the time without news after which a peer counts as gone for callers. Peers that have been silent
    /// for a while count, so that the loss of many does not shorten it at once.
    fn live_timeout(&self) -> Duration {
        LIVE_TIMEOUT.max(news_interval(1 + self.peers.len()).mul_f64(LIVE_ROUNDS))
    }

    /// Returns the number of gateways believed to be alive, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        1 + self.live(now).count()
    }
}
