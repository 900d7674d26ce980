//! News between gateways, as datagrams.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::peers::add_echo;
use bw_direct::peers::split_echo;
use bw_direct::peers::News;
use bw_direct::peers::NewsOutcome;
use bw_direct::peers::PeerAddress;
use bw_direct::peers::Peers;
use bw_direct::relay::LocalPeer;
use bw_duty::Standby;
use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_member::PeerState;
use bw_model::Fence;
use bw_proto::decode;
use bw_proto::encode;
use log::info;
use log::warn;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::suspects::Suspects;
use crate::waiting::Waiting;

/// Shortest and longest time between two rounds of news.
const ROUND: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1_000));
/// What each gateway adds to the time between two rounds, so that what one sends stays bounded.
const ROUND_STEP: Duration = Duration::from_millis(5);
/// Rounds between two that name all other gateways.
const NAMING_ROUNDS: u64 = 40;
/// Stands for the stamp of a peer that has sent none yet; no life begins its stamps there.
const NO_STAMP: u64 = 0;
/// Bits of a stamp for the milliseconds of one life, some fifty days.
const STAMP_BITS: u32 = 32;
/// Largest datagram that is read.
const DATAGRAM_MAX: usize = 16_384;

struct State {
    peers: Peers,
    own: PeerState,
    ready: bool,
    duty: Standby,
    /// Each peer's last stamp by its address, to be returned to it.
    stamps: HashMap<SocketAddr, u64>,
    /// When the store last answered this gateway.
    store: Option<Duration>,
    /// Revision of the last change of the endpoints' list, and up to which changes are known.
    listing: (u64, u64),
    /// A peer that knows a later change of the list.
    ahead: Option<SocketAddr>,
}

/// The other gateways as the services share them.
#[derive(Clone)]
pub struct PeerNews {
    state: Arc<Mutex<State>>,
    address: PeerAddress,
    /// Where this life's stamps begin; a stamp of an earlier life lies outside of them.
    stamp_base: u64,
    /// Asks for a round at once.
    urgent: Arc<Notify>,
    /// Tells that a peer knows a later change of the list.
    behind: Arc<Notify>,
}

impl PeerNews {
    /// No peers yet of the gateway with this address and first state.
    pub fn new(address: PeerAddress, own: PeerState, now: Duration) -> Self {
        let peers = Peers::new(address.instance.clone());
        let state = State {
            peers,
            own,
            ready: false,
            duty: Standby::new(now),
            stamps: HashMap::new(),
            store: None,
            listing: (0, 0),
            ahead: None,
        };
        let stamp_base = u64::from(rand::random_range(1..u32::MAX)) << STAMP_BITS;
        Self {
            state: Arc::new(Mutex::new(state)),
            address,
            stamp_base,
            urgent: Arc::default(),
            behind: Arc::default(),
        }
    }

    /// Notes that a gateway exists.
    pub fn name(&self, address: PeerAddress, now: Duration) {
        self.lock().peers.add(address, now);
    }

    /// Tells peers that callers should no longer be sent here.
    pub fn leave(&self) {
        self.lock().own.leaving = true;
        self.urgent.notify_one();
    }

    /// Whether this gateway is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().own.leaving
    }

    /// Notes whether this gateway can serve callers.
    pub fn set_ready(&self, ready: bool) {
        let mut state = self.lock();
        if state.ready != ready {
            info!("event=ready ready={ready}");
            state.ready = ready;
            drop(state);
            self.urgent.notify_one();
        }
    }

    /// Addresses for callers: all gateways that are alive and ready.
    pub fn caller_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let state = self.lock();
        let mut addresses: Vec<SocketAddr> =
            state.peers.live(now).map(|peer| peer.callers).collect();
        if state.ready && !state.own.leaving {
            addresses.push(self.address.callers);
        }
        addresses
    }

    /// Whether this gateway should try to take the duty of planning.
    pub fn should_take_duty(&self, now: Duration) -> bool {
        let state = self.lock();
        let own = &self.address.instance;
        let place = state.peers.live(now).filter(|peer| peer.instance < *own).count();
        state.ready && !state.own.leaving && state.duty.should_try(place, now)
    }

    /// Notes that this gateway has taken the duty.
    pub fn take_duty(&self, fence: Fence) {
        self.lock().duty.acquire(fence);
        self.urgent.notify_one();
    }

    /// Notes that a try for the duty has failed.
    pub fn miss_duty(&self, now: Duration) {
        self.lock().duty.record_failure(now);
    }

    /// Gives the duty up.
    pub fn resign_duty(&self, now: Duration) {
        self.lock().duty.resign(now);
    }

    /// Fencing number of the duty, while this gateway has it.
    pub fn duty(&self) -> Option<Fence> {
        self.lock().duty.held()
    }

    /// Notes that the store itself has answered at `now`.
    pub fn note_store(&self, now: Duration) {
        self.lock().store = Some(now);
    }

    /// Time since the store has answered this gateway.
    pub fn store_age(&self, now: Duration) -> Option<Duration> {
        self.lock().store.map(|at| now.saturating_sub(at))
    }

    /// Notes that the list of endpoints is known up to a revision, and whether it changed there.
    pub fn note_listing(&self, revision: u64, changed: bool) {
        let mut state = self.lock();
        if changed {
            state.listing.0 = state.listing.0.max(revision);
        }
        state.listing.1 = state.listing.1.max(revision);
        if state.ahead.is_some() {
            state.ahead = None;
        }
    }

    /// Revision up to which changes of the list of endpoints are known.
    pub fn listing_known(&self) -> u64 {
        self.lock().listing.1
    }

    /// Notes that a peer knows a change of the list, and asks for it when it is not known here.
    fn hear_listing(&self, revision: u64, peer: SocketAddr) {
        let mut state = self.lock();
        if revision > state.listing.1 && state.ahead.is_none() {
            state.ahead = Some(peer);
            drop(state);
            self.behind.notify_one();
        }
    }

    /// Waits until a peer is known to know a later change of the list, and returns that peer.
    pub async fn listing_behind(&self) -> SocketAddr {
        loop {
            self.behind.notified().await;
            let ahead = self.lock().ahead.take();
            if let Some(peer) = ahead {
                return peer;
            }
        }
    }

    /// Instance of this gateway.
    pub fn instance(&self) -> &str {
        &self.address.instance
    }

    /// Gateways of the own data centre that are present.
    pub fn near(&self, now: Duration) -> Vec<LocalPeer<SocketAddr>> {
        self.lock().peers.in_centre(&self.address.centre, now)
    }

    /// Gateways believed to be alive, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        self.lock().peers.live_count(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends and takes news.
pub struct Gossip {
    /// The other gateways.
    pub peers: PeerNews,
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// Requests that wait for endpoints.
    pub waiting: Waiting,
    /// Requests that crash endpoints.
    pub suspects: Suspects,
    /// Clock of the process.
    pub clock: BootClock,
    /// Addresses of gateways to begin with.
    pub seeds: Vec<SocketAddr>,
}

impl Gossip {
    /// Exchanges news until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, socket: UdpSocket, mut stop: Stop) -> Result<(), Infallible> {
        let mut buffer = vec![0; DATAGRAM_MAX];
        let mut rounds = 0;
        let mut next = Instant::now();
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {
                    self.tell(&socket, rounds).await;
                    rounds += 1;
                    let gateways = self.peers.live_count(self.clock.now()) as u32;
                    next = Instant::now() + (ROUND_STEP * gateways).clamp(ROUND.0, ROUND.1);
                }
                () = self.peers.urgent.notified() => self.tell(&socket, rounds).await,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => self.take(&buffer[..length]),
                    Err(error) => warn!("event=news_unreceived reason=\"{error}\""),
                },
                () = stop.wait() => {
                    self.tell(&socket, rounds).await;
                    return Ok(());
                }
            }
        }
    }

    /// Tells all peers the news; in some rounds with the addresses of all others.
    async fn tell(&self, socket: &UdpSocket, round: u64) {
        let now = self.clock.now();
        self.follow_seat(now);
        self.endpoints.judge_all(now);
        let naming = round % NAMING_ROUNDS == 0;
        let works = self.endpoints.news(now);
        let paces = self.endpoints.pace_news();
        let suspects = self.suspects.news();
        let proof = self.config.proof_age(now).map(|age| age.as_millis() as u32);
        let (news, targets) = {
            let mut state = self.peers.lock();
            state.own.seq += 1;
            state.own.version = self.config.version();
            let others = if naming { state.peers.addresses(now) } else { Vec::new() };
            let news = News {
                state: state.own.clone(),
                address: self.peers.address.clone(),
                stamp: self.peers.stamp_base + now.as_millis() as u64,
                ready: state.ready,
                proof,
                store: state.store.map(|at| now.saturating_sub(at).as_millis() as u32),
                listing: state.listing.0,
                duty: state.duty.held(),
                paces,
                works,
                suspects,
                others,
            };
            let mut targets = state.peers.news_addresses(now);
            if naming {
                let own = self.peers.address.news;
                let unknown = |seed: &&SocketAddr| **seed != own && !targets.contains(seed);
                let seeds: Vec<SocketAddr> = self.seeds.iter().filter(unknown).copied().collect();
                targets.extend(seeds);
            }
            (news, targets)
        };
        let bytes = match encode(&news) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("event=news_unsent reason=\"{error}\"");
                return;
            }
        };
        let stamps = self.peers.lock().stamps.clone();
        for target in targets {
            let echo = stamps.get(&target).copied().unwrap_or(NO_STAMP);
            // A datagram that the kernel cannot take now is as good as lost on the way.
            let _ = socket.try_send_to(&add_echo(&bytes, echo), target);
        }
    }

    /// Takes a peer's proof that its configuration is the newest.
    ///
    /// The peer sent its news after it had this gateway's stamp, so that its proof is no older than
    /// the stamp's time less the age that it tells, however long the datagram was on its way.
    fn take_proof(&self, news: &News, echo: u64) {
        let Some(age) = news.proof else { return };
        let Some(echo) = echo.checked_sub(self.peers.stamp_base) else { return };
        let stamped = Duration::from_millis(echo);
        if stamped > self.clock.now() {
            return;
        }
        if let Some(time) = stamped.checked_sub(Duration::from_millis(u64::from(age))) {
            self.config.prove(news.state.version, time);
        }
    }

    /// Tells the endpoints this gateway's place among those that are alive.
    fn follow_seat(&self, now: Duration) {
        let state = self.peers.lock();
        let own = &self.peers.address.instance;
        let place = state.peers.live(now).filter(|peer| peer.instance < *own).count();
        let gateways = state.peers.live_count(now);
        drop(state);
        self.endpoints.set_seat(place, gateways);
    }

    fn take(&self, bytes: &[u8]) {
        let Some((bytes, echo)) = split_echo(bytes) else {
            warn!("event=news_unreadable reason=too_short");
            return;
        };
        let news: News = match decode(bytes) {
            Ok(news) => news,
            Err(error) => {
                warn!("event=news_unreadable reason=\"{error}\"");
                return;
            }
        };
        let now = self.clock.now();
        let heard = self.peers.lock().peers.receive(&news, now);
        match heard {
            NewsOutcome::Stale => return,
            NewsOutcome::First => {
                info!(
                    "event=peer_heard peer={} life={}",
                    news.state.instance, news.state.incarnation
                );
                // The newcomer learns of this gateway without waiting for the next round.
                self.peers.urgent.notify_one();
            }
            NewsOutcome::Known => {}
        }
        self.peers.lock().stamps.insert(news.address.news, news.stamp);
        self.take_proof(&news, echo);
        if let Some(fence) = news.duty {
            self.peers.lock().duty.observe_holder(fence, now);
            self.endpoints.hear_paces(&news.paces, now);
        }
        self.suspects.hear(&news.suspects);
        self.endpoints.hear(&news.state.instance, &news.works, now);
        self.config.record_peer_version(news.state.version, news.address.news);
        self.peers.hear_listing(news.listing, news.address.news);
        self.waiting.serve();
    }
}
