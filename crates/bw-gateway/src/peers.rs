//! Exchange of news between gateways as UDP datagrams.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::directory::ADDRESSES_MAX;
use bw_direct::candidates;
use bw_direct::candidates::Capacity;
use bw_direct::candidates::CapacityNews;
use bw_direct::candidates::WATCHERS;
use bw_direct::limits::LimitNews;
use bw_direct::notices::LeavingNews;
use bw_direct::peers::add_echo;
use bw_direct::peers::draw_addresses;
use bw_direct::peers::news_interval;
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
use bw_model::Position;
use bw_proto::codec::CodecError;
use bw_proto::decode;
use bw_proto::encode;
use log::info;
use log::warn;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::reload::LiveSettings;
use crate::suspects::Suspects;
use crate::waiting::WaitQueues;

/// Time between the news that the holder of the planning duty sends to the first candidates for it.
const BEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of rounds from one whose news list addresses of other gateways to the next such round.
const ADDRESS_PERIOD: u64 = 40;
/// Addresses of other gateways in one datagram, which fits into [`DATAGRAM_MAX`] with them.
const OTHERS_MAX: usize = 64;
/// Echo for a peer that has sent no stamp yet. No incarnation uses zero as a stamp, since no stamp
/// base is zero.
const NO_STAMP: u64 = 0;
/// Bits of a stamp that hold the milliseconds of one incarnation's clock; sufficient for about
/// fifty days.
const STAMP_BITS: u32 = 32;
/// Delay of a round of news from which the process is logged as stalled: other work kept it from
/// running for at least that long.
const STALL_MIN: Duration = Duration::from_millis(250);
/// First byte of a datagram with news about parts of prompts. The codec of the other news starts with
/// its format number, which is lower.
const PART_NEWS_MARK: u8 = u8::MAX;
/// First byte of a datagram with limits that endpoints have named.
const LIMIT_NEWS_MARK: u8 = u8::MAX - 1;
/// First byte of a datagram with endpoints that are leaving.
const LEAVING_NEWS_MARK: u8 = u8::MAX - 2;
/// First byte of a datagram with the sender's capacity.
const CAPACITY_NEWS_MARK: u8 = u8::MAX - 3;
/// Limits or leaving endpoints in one datagram, which fits into [`DATAGRAM_MAX`] with them.
const RARE_NEWS_MAX: usize = 512;
/// Largest datagram, in bytes, that is received whole.
const DATAGRAM_MAX: usize = 16_384;

struct State {
    peers: Peers,
    own: PeerState,
    ready: bool,
    duty: Standby,
    /// Capacity of each gateway that has told it, this one included.
    capacities: HashMap<String, Capacity>,
    /// News addresses of peers that were heard for the first time, and do not know this gateway yet.
    greetings: Vec<SocketAddr>,
    /// Last stamp of each peer by the peer's news address, to be echoed to the peer.
    stamps: HashMap<SocketAddr, u64>,
    /// Time at which the store last answered this gateway directly.
    store_answer: Option<Duration>,
    /// Position of the last change to the endpoint list, and the position up to which all changes
    /// are known.
    listing: (Position, Position),
    /// A peer that reported a change to the list that is not known here.
    ahead_peer: Option<SocketAddr>,
}

impl State {
    /// Returns the candidates for the planning duty in their order, `own` included and its last known
    /// holder excluded.
    fn candidates<'a>(&'a self, own: &'a str, now: Duration) -> Vec<&'a str> {
        let holder = self.duty.holder();
        let live = self.peers.live(now).map(|peer| peer.instance.as_str());
        let others = live.filter(|instance| Some(*instance) != holder);
        candidates::order(others.chain([own]), &self.capacities)
    }
}

/// Handle to the state of this gateway and of its peers, shared by the gateway's services.
#[derive(Clone)]
pub struct SharedPeers {
    state: Arc<Mutex<State>>,
    address: PeerAddress,
    /// Offset of the stamps of this incarnation, chosen at random so that stamps of an earlier
    /// incarnation are out of range.
    stamp_base: u64,
    /// Requests an immediate round of news.
    urgent: Arc<Notify>,
    /// Signals that `ahead_peer` was set.
    listing_behind: Arc<Notify>,
}

impl SharedPeers {
    /// Creates an empty set of peers for the gateway with this address and initial state.
    pub fn new(address: PeerAddress, own: PeerState, capacity: Capacity, now: Duration) -> Self {
        let peers = Peers::new(address.instance.clone());
        let state = State {
            peers,
            own,
            ready: false,
            duty: Standby::new(now),
            capacities: HashMap::from([(address.instance.clone(), capacity)]),
            greetings: Vec::new(),
            stamps: HashMap::new(),
            store_answer: None,
            listing: (Position::default(), Position::default()),
            ahead_peer: None,
        };
        let stamp_base = u64::from(rand::random_range(1..u32::MAX)) << STAMP_BITS;
        Self {
            state: Arc::new(Mutex::new(state)),
            address,
            stamp_base,
            urgent: Arc::default(),
            listing_behind: Arc::default(),
        }
    }

    /// Adds a gateway, unless it is already known.
    pub fn add(&self, address: PeerAddress, now: Duration) {
        self.lock().peers.add(address, now);
    }

    /// Records that the store's list of gateways was read.
    pub fn record_listed(&self) {
        self.lock().peers.record_listed();
    }

    /// Announces to the peers that callers should no longer be sent to this gateway.
    pub fn announce_leaving(&self) {
        self.lock().own.leaving = true;
        self.urgent.notify_one();
    }

    /// Returns whether this gateway is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().own.leaving
    }

    /// Sets whether this gateway can serve callers, and announces a change to the peers.
    pub fn set_ready(&self, ready: bool) {
        let mut state = self.lock();
        if state.ready != ready {
            info!("event=ready ready={ready}");
            state.ready = ready;
            drop(state);
            self.urgent.notify_one();
        }
    }

    /// Returns the addresses that callers may connect to: those of all gateways that are alive and
    /// ready, or of all that are alive while none is ready.
    ///
    /// No gateway is ready when an outage of the store lasts so long that keys cannot be checked any
    /// more. They then still serve public routes, and tell other callers that their requests have not
    /// run and when to come back.
    pub fn caller_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        let state = self.lock();
        let mut addresses: Vec<SocketAddr> =
            state.peers.live(now).map(|peer| peer.callers).collect();
        if state.ready && !state.own.leaving {
            addresses.push(self.address.callers);
        }
        if addresses.is_empty() {
            addresses = state.peers.present(now).map(|peer| peer.callers).collect();
            if !state.own.leaving {
                addresses.push(self.address.callers);
            }
        }
        drop(state);
        draw_addresses(&addresses, ADDRESSES_MAX, &mut rand::rng())
    }

    /// Returns whether this gateway should try to acquire the planning duty.
    pub fn should_acquire_duty(&self, now: Duration) -> bool {
        let state = self.lock();
        if !state.ready || state.own.leaving {
            return false;
        }
        let own = self.address.instance.as_str();
        let order = state.candidates(own, now);
        let position = order.iter().take_while(|instance| **instance != own).count();
        let round = news_interval(state.peers.live_count(now));
        let round = if position < WATCHERS { round.min(BEAT_INTERVAL) } else { round };
        state.duty.should_try(position, round, now)
    }

    /// Returns the fencing number to acquire the planning duty with, given the one in the lease and the
    /// era of the store in which the lease was read.
    pub fn next_duty(&self, lease: Fence, era: u64) -> Fence {
        self.lock().duty.next_fence(lease, era)
    }

    /// Records that this gateway has acquired the planning duty, and announces it to the peers.
    pub fn acquire_duty(&self, fence: Fence) {
        self.lock().duty.acquire(fence);
        self.urgent.notify_one();
    }

    /// Records that an attempt to acquire the planning duty failed.
    pub fn record_duty_failure(&self, now: Duration) {
        self.lock().duty.record_failure(now);
    }

    /// Releases the planning duty.
    pub fn resign_duty(&self, now: Duration) {
        self.lock().duty.resign(now);
    }

    /// Returns the fencing number of the planning duty while this gateway holds it.
    pub fn duty(&self) -> Option<Fence> {
        self.lock().duty.held()
    }

    /// Records that the store answered this gateway directly at `now`.
    pub fn record_store_answer(&self, now: Duration) {
        self.lock().store_answer = Some(now);
    }

    /// Returns the time since the store last answered this gateway directly.
    pub fn store_age(&self, now: Duration) -> Option<Duration> {
        self.lock().store_answer.map(|at| now.saturating_sub(at))
    }

    /// Records that all changes to the endpoint list up to `position` are known, and whether the
    /// list changed at that position.
    pub fn record_listing(&self, position: Position, changed: bool) {
        let mut state = self.lock();
        if changed {
            state.listing.0 = state.listing.0.max(position);
        }
        state.listing.1 = state.listing.1.max(position);
        if state.ahead_peer.is_some() {
            state.ahead_peer = None;
        }
    }

    /// Returns the position up to which all changes to the endpoint list are known.
    pub fn listing_position(&self) -> Position {
        self.lock().listing.1
    }

    /// Records that a peer knows a change to the endpoint list at `position`, and wakes
    /// [`Self::newer_listing_peer`] when that change is not known here and no other such peer is
    /// recorded yet.
    fn record_peer_listing(&self, position: Position, peer: SocketAddr) {
        let mut state = self.lock();
        if position > state.listing.1 && state.ahead_peer.is_none() {
            state.ahead_peer = Some(peer);
            drop(state);
            self.listing_behind.notify_one();
        }
    }

    /// Waits until a peer reports a change to the endpoint list that is not known here, and
    /// returns the peer's address.
    pub async fn newer_listing_peer(&self) -> SocketAddr {
        loop {
            self.listing_behind.notified().await;
            let ahead_peer = self.lock().ahead_peer.take();
            if let Some(peer) = ahead_peer {
                return peer;
            }
        }
    }

    /// Returns the instance of this gateway.
    pub fn instance(&self) -> &str {
        &self.address.instance
    }

    /// Returns the other gateways in this gateway's data centre that are present.
    pub fn in_centre(&self, now: Duration) -> Vec<LocalPeer<SocketAddr>> {
        self.lock().peers.in_centre(&self.address.centre, now)
    }

    /// Returns the number of parts of an amount that all gateways may spend within `window`, as
    /// [`Peers::part_count`].
    pub fn part_count(&self, window: Duration, now: Duration) -> Option<usize> {
        self.lock().peers.part_count(window, now)
    }

    /// Returns the number of gateways believed to be alive, this one included.
    pub fn live_count(&self, now: Duration) -> usize {
        self.lock().peers.live_count(now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Service that sends news to the peers and applies the news received from them.
pub struct Gossip {
    /// State of this gateway and of its peers.
    pub peers: SharedPeers,
    /// Configuration in force.
    pub config: Config,
    /// Endpoints with their load and health.
    pub endpoints: Endpoints,
    /// Queues of requests that wait for endpoints.
    pub waiting: WaitQueues,
    /// Evidence against requests that crash endpoints.
    pub suspects: Suspects,
    /// Clock of the process.
    pub clock: BootClock,
    /// News addresses of gateways to contact before any peer is known.
    pub seeds: Vec<SocketAddr>,
    /// Settings, which may be reloaded while the process runs.
    pub settings: LiveSettings,
}

impl Gossip {
    /// Exchanges news with the peers until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, socket: UdpSocket, mut stop: Stop) -> Result<(), Infallible> {
        let mut buffer = vec![0; DATAGRAM_MAX];
        let mut rounds = 0;
        let mut next = Instant::now();
        let mut beat = next;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {
                    let late = next.elapsed();
                    if late >= STALL_MIN {
                        warn!("event=stalled late_ms={}", late.as_millis());
                    }
                    self.send_news(&socket, rounds).await;
                    // An endpoint with a limit may take one more request, which no other event shows.
                    self.waiting.dispatch();
                    rounds += 1;
                    next = Instant::now() + news_interval(self.peers.live_count(self.clock.now()));
                }
                () = tokio::time::sleep_until(beat), if self.peers.duty().is_some() => {
                    self.send_beat(&socket);
                    beat = Instant::now() + BEAT_INTERVAL;
                }
                () = self.peers.urgent.notified() => self.send_news(&socket, rounds).await,
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => {
                        self.receive(&buffer[..length]);
                        self.send_greetings(&socket);
                    }
                    Err(error) => warn!("event=news_unreceived reason=\"{error}\""),
                },
                () = stop.wait() => {
                    self.send_news(&socket, rounds).await;
                    return Ok(());
                }
            }
        }
    }

    /// Sends news to all peers; every [`ADDRESS_PERIOD`] rounds with addresses of peers, and also to the
    /// seeds.
    async fn send_news(&self, socket: &UdpSocket, round: u64) {
        let now = self.clock.now();
        self.update_position(now);
        self.endpoints.eject_all_outliers(now);
        let with_addresses = round % ADDRESS_PERIOD == 0;
        let Some(bytes) = self.encode_news(with_addresses, now) else { return };
        let targets = {
            let state = self.peers.lock();
            let mut targets = state.peers.news_addresses(now);
            if with_addresses {
                let own = self.peers.address.news;
                let unknown = |seed: &&SocketAddr| **seed != own && !targets.contains(seed);
                let seeds: Vec<SocketAddr> = self.seeds.iter().filter(unknown).copied().collect();
                targets.extend(seeds);
            }
            targets
        };
        let mut rare_news: Vec<Vec<u8>> = self.encode_part_news().into_iter().collect();
        let limits = self.endpoints.limit_news(now);
        let limits = limits.chunks(RARE_NEWS_MAX);
        rare_news.extend(limits.filter_map(|part| encode_rare(LIMIT_NEWS_MARK, &part.to_vec())));
        let leaving = self.endpoints.leaving_news(now);
        let leaving = leaving.chunks(RARE_NEWS_MAX);
        rare_news.extend(leaving.filter_map(|part| encode_rare(LEAVING_NEWS_MARK, &part.to_vec())));
        if with_addresses {
            rare_news.extend(self.encode_capacity());
        }
        self.send_to(socket, &bytes, &targets);
        for target in targets {
            for news in &rare_news {
                let _ = socket.try_send_to(news, target);
            }
        }
    }

    /// Sends news to the peers that were just heard for the first time, so that they do not learn of this
    /// gateway only in the next round.
    fn send_greetings(&self, socket: &UdpSocket) {
        let targets = std::mem::take(&mut self.peers.lock().greetings);
        if targets.is_empty() {
            return;
        }
        if let Some(bytes) = self.encode_news(false, self.clock.now()) {
            self.send_to(socket, &bytes, &targets);
        }
        if let Some(capacity) = self.encode_capacity() {
            for target in targets {
                let _ = socket.try_send_to(&capacity, target);
            }
        }
    }

    /// Sends news to the first candidates for the planning duty, which this gateway holds.
    fn send_beat(&self, socket: &UdpSocket) {
        let now = self.clock.now();
        let targets: Vec<SocketAddr> = {
            let state = self.peers.lock();
            let own = self.peers.address.instance.as_str();
            let order = state.candidates(own, now).into_iter().filter(|instance| *instance != own);
            order.take(WATCHERS).filter_map(|instance| state.peers.news_address(instance)).collect()
        };
        if let Some(bytes) = self.encode_news(false, now) {
            self.send_to(socket, &bytes, &targets);
        }
    }

    /// Sends encoded news to each target, with the echo of the target's last stamp.
    fn send_to(&self, socket: &UdpSocket, bytes: &[u8], targets: &[SocketAddr]) {
        let stamps = self.peers.lock().stamps.clone();
        for target in targets {
            let echo = stamps.get(target).copied().unwrap_or(NO_STAMP);
            // A datagram that the kernel does not accept at once is dropped, like one that is lost
            // in the network.
            let _ = socket.try_send_to(&add_echo(bytes, echo), *target);
        }
    }

    /// Returns this gateway's news, encoded, with addresses of other gateways if wanted.
    fn encode_news(&self, with_addresses: bool, now: Duration) -> Option<Vec<u8>> {
        let works = self.endpoints.work_news(now);
        let paces = self.endpoints.pace_news();
        let suspects = self.suspects.news();
        let proof = self.config.proof_age(now).map(|age| age.as_millis() as u32);
        let mut state = self.peers.lock();
        state.own.seq += 1;
        state.own.version = self.config.version();
        let others = if with_addresses {
            state.peers.draw_peers(OTHERS_MAX, &mut rand::rng(), now)
        } else {
            Vec::new()
        };
        let news = News {
            state: state.own.clone(),
            address: self.peers.address.clone(),
            stamp: self.peers.stamp_base + now.as_millis() as u64,
            ready: state.ready,
            proof,
            store: state.store_answer.map(|at| now.saturating_sub(at).as_millis() as u32),
            listing: state.listing.0,
            duty: state.duty.held(),
            paces,
            works,
            suspects,
            others,
        };
        drop(state);
        match encode(&news) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                warn!("event=news_unsent reason=\"{error}\"");
                None
            }
        }
    }

    /// Returns the datagram with this gateway's capacity.
    fn encode_capacity(&self) -> Option<Vec<u8>> {
        let instance = self.peers.address.instance.clone();
        let capacity = self.peers.lock().capacities.get(&instance).copied().unwrap_or_default();
        encode_rare(CAPACITY_NEWS_MARK, &CapacityNews { instance, capacity })
    }

    /// Returns the datagram with the news about parts of prompts; `None` while there are none, as in
    /// normal operation.
    fn encode_part_news(&self) -> Option<Vec<u8>> {
        let news = self.suspects.part_news();
        if news.is_empty() {
            return None;
        }
        encode_rare(PART_NEWS_MARK, &news)
    }

    /// Applies a peer's proof that its configuration is the newest.
    ///
    /// The peer sent its news after it had received the echoed stamp from this gateway. The proof
    /// is therefore no older than the time of the stamp minus the reported age, however long the
    /// datagram was in transit.
    fn apply_proof(&self, news: &News, echo: u64) {
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

    /// Updates this gateway's position among the live gateways, which determines its home slots, and
    /// forgets gateways that are gone.
    fn update_position(&self, now: Duration) {
        let mut state = self.peers.lock();
        state.peers.forget_gone(self.settings.get().retry_window, now);
        let own = &self.peers.address.instance;
        let position = state.peers.live(now).filter(|peer| peer.instance < *own).count();
        let gateway_count = state.peers.live_count(now);
        let owners = state.peers.part_owners(self.settings.get().retry_window, now);
        drop(state);
        self.endpoints.set_position(position, gateway_count);
        self.endpoints.set_part_owners(owners.unwrap_or_default(), now);
    }

    /// Decodes and applies news that are rarely sent, by the byte that marks their kind.
    fn receive_rare(&self, mark: u8, bytes: &[u8]) -> Result<(), CodecError> {
        let now = self.clock.now();
        match mark {
            PART_NEWS_MARK => self.suspects.receive_parts(&decode(bytes)?),
            LIMIT_NEWS_MARK => {
                self.endpoints.receive_limits(&decode::<Vec<LimitNews>>(bytes)?, now);
            }
            CAPACITY_NEWS_MARK => {
                let news: CapacityNews = decode(bytes)?;
                self.peers.lock().capacities.insert(news.instance, news.capacity);
            }
            _ => self.endpoints.receive_leaving(&decode::<Vec<LeavingNews>>(bytes)?, now),
        }
        Ok(())
    }

    /// Decodes a datagram and applies its news.
    fn receive(&self, bytes: &[u8]) {
        let (mark, rest) = bytes.split_first().map_or((0, bytes), |(mark, rest)| (*mark, rest));
        if mark >= CAPACITY_NEWS_MARK {
            if let Err(error) = self.receive_rare(mark, rest) {
                warn!("event=news_unreadable reason=\"{error}\"");
            }
            return;
        }
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
        let instance = &news.state.instance;
        let outcome = self.peers.lock().peers.receive(&news, now);
        match outcome {
            NewsOutcome::Stale => return,
            NewsOutcome::First => {
                info!("event=peer_heard peer={} life={}", instance, news.state.incarnation);
                self.suspects.announce();
                self.peers.lock().greetings.push(news.address.news);
            }
            NewsOutcome::Known => {}
        }
        self.peers.lock().stamps.insert(news.address.news, news.stamp);
        if news.listing != Position::default() {
            self.config.observe_era(news.listing.era(), instance, now);
        }
        self.apply_proof(&news, echo);
        self.peers.lock().duty.observe(instance, news.duty, news.state.leaving, now);
        if news.duty.is_some() {
            self.endpoints.receive_paces(&news.paces, now);
        }
        self.suspects.receive(&news.suspects);
        self.endpoints.receive_work(instance, &news.works, now);
        self.config.record_peer_version(news.state.version, news.address.news, now);
        self.peers.record_peer_listing(news.listing, news.address.news);
        self.waiting.dispatch();
    }
}

/// Returns a datagram with news that are rarely sent, after the byte that marks their kind.
fn encode_rare<T>(mark: u8, news: &T) -> Option<Vec<u8>>
where
    T: Serialize,
{
    match encode(news) {
        Ok(bytes) => Some([&[mark], bytes.as_slice()].concat()),
        Err(error) => {
            warn!("event=news_unsent reason=\"{error}\"");
            None
        }
    }
}
