//! What a gateway knows of the others, and the exchange of news with them.

mod centre;
mod gossip;
mod rare;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::directory::ADDRESSES_MAX;
use bw_direct::candidates;
use bw_direct::candidates::Capacity;
use bw_direct::candidates::WATCHERS;
use bw_direct::centre_news::CentreNews;
use bw_direct::centre_plan::CentrePlan;
use bw_direct::peers::draw_addresses;
use bw_direct::peers::news_interval;
use bw_direct::peers::PeerAddress;
use bw_direct::peers::Peers;
use bw_direct::relay::LocalPeer;
use bw_duty::Standby;
use bw_member::PeerState;
use bw_model::Fence;
use bw_model::Position;
use log::info;
use tokio::sync::Notify;

pub use self::gossip::Gossip;

/// Time between the news that the holder of the planning duty sends to the first candidates for it.
const BEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Bits of a stamp that hold the milliseconds of one incarnation's clock; sufficient for about
/// fifty days.
const STAMP_BITS: u32 = 32;

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
    /// Exchange of news with other data centres.
    centres: CentrePlan,
    /// Sums from other data centres, to be repeated in this one.
    repeats: Vec<CentreNews>,
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
        let centres = CentrePlan::new(address.clone(), &own);
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
            centres,
            repeats: Vec::new(),
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

    /// Sends news to the peers without waiting for the next round.
    pub fn announce(&self) {
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
    /// ready, or of all that are alive while none is ready; among these those in data centres that are
    /// `preferred`, if there are any.
    ///
    /// No gateway is ready when an outage of the store lasts so long that keys cannot be checked any
    /// more. They then still serve public routes, and tell other callers that their requests have not
    /// run and when to come back.
    pub fn caller_addresses<P>(&self, preferred: P, now: Duration) -> Vec<SocketAddr>
    where
        P: Fn(&str) -> bool,
    {
        let state = self.lock();
        let mut gateways: Vec<&PeerAddress> = state.peers.live(now).collect();
        if state.ready && !state.own.leaving {
            gateways.push(&self.address);
        }
        if gateways.is_empty() {
            gateways = state.peers.present(now).collect();
            if !state.own.leaving {
                gateways.push(&self.address);
            }
        }
        if gateways.iter().any(|gateway| preferred(&gateway.centre)) {
            gateways.retain(|gateway| preferred(&gateway.centre));
        }
        let addresses: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
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

    /// Returns this gateway's position among the live gateways by name, and their number.
    pub fn position(&self, now: Duration) -> (usize, usize) {
        let state = self.lock();
        let own = &self.address.instance;
        let before = state.peers.live(now).filter(|peer| peer.instance < *own).count();
        (before, state.peers.live_count(now))
    }

    /// Returns whether this gateway is among the first in the order of candidates for the planning duty, which
    /// also write what all gateways know.
    pub fn is_watcher(&self, now: Duration) -> bool {
        let state = self.lock();
        let own = self.address.instance.as_str();
        state.candidates(own, now).into_iter().take(WATCHERS).any(|instance| instance == own)
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

    /// Releases the planning duty to acquire it again with a count of holders above `holders`.
    pub fn renew_duty(&self, holders: u64, now: Duration) {
        self.lock().duty.renew(holders, now);
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
