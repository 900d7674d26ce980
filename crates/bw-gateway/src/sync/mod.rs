//! Keeps the configuration, the list of endpoints and the list of gateways in step with the store.

pub mod config;
pub mod endpoints;
pub mod join;
pub mod source;

use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::relay::pick_source;
use bw_direct::relay::Source;
use bw_kernel::BootClock;
use bw_platform::Store;
use bw_platform::StoreError;
use log::info;
use log::warn;
use rand::Rng;

use self::source::Feed;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::peers::SharedPeers;
use crate::relay::Relay;
use crate::reload::LiveSettings;

/// Part of the time in which a configuration has to be in force for which a watch of the store
/// waits; with the pause after it, it bounds the age of proofs.
const WAIT_PART: f64 = 0.5;
/// Part of the time after which a revoked key opens nothing for which a watch waits at most. A proof
/// gets twice as old, and what is left is how long keys outlast an outage of the store.
const PROOF_WAIT_PART: f64 = 0.2;
/// Part of the first time after which a gateway that the store does not answer is passed over.
const BLIND_PART: f64 = 0.7;
/// Time for which a watch of a peer waits; its proofs come with its news.
const PEER_WAIT: Duration = Duration::from_millis(4_000);
/// Time between two looks whether another source has to be chosen.
const SOURCE_TICK: Duration = Duration::from_millis(200);
/// Pause after a failed call before the source is known.
const PAUSE_FIRST: Duration = Duration::from_millis(300);
/// Spread of the pause after a failed call, as parts of it.
const PAUSE_SPREAD: (f64, f64) = (0.7, 1.3);

/// Follows the store.
#[derive(Clone)]
pub struct Sync {
    /// The store.
    pub store: Store,
    /// What peers may follow.
    pub relay: Relay,
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: SharedPeers,
    /// Clock of the process.
    pub clock: BootClock,
    /// The settings in force.
    pub settings: LiveSettings,
}

/// Where one kind of objects comes from at present.
struct Upstream {
    what: &'static str,
    /// The peer that is followed; `None` for the store.
    peer: Option<SocketAddr>,
    feed: Feed,
    /// Pause after a failed call.
    retry: Duration,
    /// Since when calls fail.
    lost: Option<Duration>,
}

/// What one turn of following a source brought.
#[derive(Clone, Copy)]
enum Turn {
    /// The source itself answered; changes are known up to this revision.
    Answered(u64),
    /// It has not answered yet; changes are known up to this revision by other means.
    Unanswered(u64),
}

impl Turn {
    fn revision(self) -> u64 {
        match self {
            Self::Answered(revision) | Self::Unanswered(revision) => revision,
        }
    }
}

impl Upstream {
    fn new(what: &'static str, store: &Store) -> Self {
        let feed = Feed::Store(store.clone());
        Self { what, peer: None, feed, retry: PAUSE_FIRST, lost: None }
    }
}

impl Sync {
    fn source(&self) -> Source<SocketAddr> {
        let now = self.clock.now();
        let blind = self.settings.get().apply.mul_f64(BLIND_PART);
        let near = self.peers.in_centre(now);
        pick_source(self.peers.instance(), self.peers.store_age(now), &near, blind)
    }

    /// Waits until another source has to be chosen.
    async fn source_changed(&self, upstream: &Upstream) {
        loop {
            tokio::time::sleep(SOURCE_TICK).await;
            let peer = match self.source() {
                Source::Store(_) => None,
                Source::Peer(address) => Some(address),
            };
            if peer != upstream.peer {
                return;
            }
        }
    }

    /// Time for which a watch waits.
    fn wait(&self, upstream: &Upstream) -> Duration {
        if upstream.feed.is_store() {
            let settings = self.settings.get();
            settings.apply.mul_f64(WAIT_PART).min(settings.revoke.mul_f64(PROOF_WAIT_PART))
        } else {
            PEER_WAIT
        }
    }

    /// Chooses the source anew.
    fn choose_source(&self, upstream: &mut Upstream) {
        let peer = match self.source() {
            Source::Store(retry) => {
                upstream.retry = retry;
                None
            }
            Source::Peer(address) => {
                upstream.retry = PAUSE_FIRST;
                Some(address)
            }
        };
        if peer == upstream.peer {
            return;
        }
        let name = peer.map_or("store".to_string(), |peer| peer.to_string());
        info!("event=source_changed what={} source={name}", upstream.what);
        upstream.peer = peer;
        upstream.feed = match peer {
            Some(peer) => Feed::peer(peer),
            None => Feed::Store(self.store.clone()),
        };
    }

    /// Pauses after a failed call, or until another source has to be chosen.
    async fn rest(&self, upstream: &Upstream) {
        tokio::select! {
            () = pause(upstream.retry) => {}
            () = self.source_changed(upstream) => {}
        }
    }

    /// Logs when the source is lost and when it is back.
    fn note(&self, upstream: &mut Upstream, result: &Result<Turn, StoreError>) {
        let now = self.clock.now();
        let what = upstream.what;
        let source = upstream.peer.map_or("store".to_string(), |peer| peer.to_string());
        if matches!(result, Ok(Turn::Answered(_))) && upstream.feed.is_store() {
            self.peers.record_store_answer(now);
        }
        match (result, upstream.lost) {
            (Ok(Turn::Unanswered(_)), _) => {}
            (Ok(Turn::Answered(_)), Some(since)) => {
                let away = now.saturating_sub(since).as_millis();
                info!("event=dependency_regained dependency={source} what={what} away_ms={away}");
                upstream.lost = None;
            }
            (Ok(Turn::Answered(_)), None) | (Err(StoreError::HistoryGone), _) => {}
            (Err(error), known) => {
                if upstream.feed.is_store() {
                    self.endpoints.mark_source_down();
                }
                if known.is_none() {
                    warn!(
                        "event=dependency_lost dependency={source} what={what} reason=\"{error}\""
                    );
                    upstream.lost = Some(now);
                }
            }
        }
    }
}

/// Waits about so long, so that processes that failed together do not try together.
async fn pause(length: Duration) {
    let part = rand::rng().random_range(PAUSE_SPREAD.0..PAUSE_SPREAD.1);
    tokio::time::sleep(length.mul_f64(part)).await;
}
