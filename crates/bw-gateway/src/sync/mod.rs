//! Synchronises the configuration, the list of endpoints and the list of gateways with the store.

pub mod config;
pub mod endpoints;
pub mod evacuations;
pub mod join;
pub mod quarantine;
pub mod source;

use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::objects::Changes;
use bw_direct::outage::OUTAGE_MIN;
use bw_direct::relay::pick_source;
use bw_direct::relay::Source;
use bw_kernel::BootClock;
use bw_model::Position;
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

/// Wait of a watch of the store as a fraction of the time within which a configuration has to be in
/// force. The wait and the retry interval after it bound the age of proofs.
const WAIT_FRACTION: f64 = 0.5;
/// Maximum wait of a watch of the store as a fraction of the time after which a revoked key must be
/// rejected. A proof can become twice as old as that wait; the remaining time is how long keys stay
/// accepted during an outage of the store.
const PROOF_WAIT_FRACTION: f64 = 0.2;
/// Time without an answer of the store after which a gateway counts as stale and is skipped as a
/// source, as a fraction of the time within which a configuration has to be in force.
const STALE_FRACTION: f64 = 0.7;
/// Wait of a watch of a peer, whose proofs arrive with its news.
const PEER_WAIT: Duration = Duration::from_millis(4_000);
/// Interval of the checks whether another source has to be used.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between retries of a failed call while the source is a peer or has not been chosen yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Range of the random factor applied to retry intervals.
const RETRY_JITTER: (f64, f64) = (0.7, 1.3);

/// Follows the store, directly or through a peer.
#[derive(Clone)]
pub struct StoreSync {
    /// The store.
    pub store: Store,
    /// Objects that peers may follow.
    pub relay: Relay,
    /// Configuration in force.
    pub config: Config,
    /// Known endpoints.
    pub endpoints: Endpoints,
    /// State of the other gateways.
    pub peers: SharedPeers,
    /// Clock by which proofs and outages are dated.
    pub clock: BootClock,
    /// Settings in force, which bound the waits of watches.
    pub settings: LiveSettings,
}

/// Current source of one kind of objects.
struct Upstream {
    /// Name of the objects in log lines.
    label: &'static str,
    /// The peer that is followed; `None` for the store.
    peer: Option<SocketAddr>,
    feed: Feed,
    /// Time between a failed call and its retry, before jitter.
    retry_interval: Duration,
    /// Time of the first failed call of the current outage.
    lost_at: Option<Duration>,
}

/// Result of one list or watch call while following a source.
#[derive(Clone, Copy)]
enum PollOutcome {
    /// The source answered; changes are known up to this position.
    Answered(Position),
    /// The source has not answered yet; changes are known up to this position from elsewhere.
    Unanswered(Position),
}

impl PollOutcome {
    fn position(self) -> Position {
        match self {
            Self::Answered(position) | Self::Unanswered(position) => position,
        }
    }
}

impl Upstream {
    fn new(label: &'static str, store: &Store) -> Self {
        let feed = Feed::Store(store.clone());
        Self { label, peer: None, feed, retry_interval: RETRY_INTERVAL, lost_at: None }
    }
}

impl StoreSync {
    /// Returns the source to use at present.
    fn source(&self) -> Source<SocketAddr> {
        let now = self.clock.now();
        let stale_after = self.settings.get().apply.mul_f64(STALE_FRACTION);
        let local = self.peers.in_centre(now);
        pick_source(self.peers.instance(), self.peers.store_age(now), &local, stale_after)
    }

    /// Waits until another source has to be used.
    async fn source_changed(&self, upstream: &Upstream) {
        loop {
            tokio::time::sleep(SOURCE_CHECK_INTERVAL).await;
            let peer = match self.source() {
                Source::Store(_) => None,
                Source::Peer(address) => Some(address),
            };
            if peer != upstream.peer {
                return;
            }
        }
    }

    /// Returns the maximum wait of a watch.
    fn watch_wait(&self, upstream: &Upstream) -> Duration {
        if upstream.feed.is_store() {
            let settings = self.settings.get();
            let wait = settings.apply.mul_f64(WAIT_FRACTION);
            // A longer wait without an answer would look like an outage.
            wait.min(settings.revoke.mul_f64(PROOF_WAIT_FRACTION)).min(OUTAGE_MIN / 2)
        } else {
            PEER_WAIT
        }
    }

    /// Chooses the source again and switches to it when it differs from the current one.
    fn choose_source(&self, upstream: &mut Upstream) {
        let peer = match self.source() {
            Source::Store(retry) => {
                upstream.retry_interval = retry;
                None
            }
            Source::Peer(address) => {
                upstream.retry_interval = RETRY_INTERVAL;
                Some(address)
            }
        };
        if peer == upstream.peer {
            return;
        }
        let name = peer.map_or("store".to_string(), |peer| peer.to_string());
        info!("event=source_changed what={} source={name}", upstream.label);
        upstream.peer = peer;
        upstream.feed = match peer {
            Some(peer) => Feed::peer(peer),
            None => Feed::Store(self.store.clone()),
        };
    }

    /// Waits for the retry interval after a failed call, at most until another source has to be
    /// used.
    async fn back_off(&self, upstream: &Upstream) {
        tokio::select! {
            () = sleep_with_jitter(upstream.retry_interval) => {}
            () = self.source_changed(upstream) => {}
        }
    }

    /// Records the result of a call, and logs when the source is lost and when it answers again.
    fn record_result(&self, upstream: &mut Upstream, result: &Result<PollOutcome, StoreError>) {
        let now = self.clock.now();
        let label = upstream.label;
        let source = upstream.peer.map_or("store".to_string(), |peer| peer.to_string());
        if matches!(result, Ok(PollOutcome::Answered(_))) && upstream.feed.is_store() {
            self.peers.record_store_answer(now);
            self.endpoints.record_store_answer(now);
        }
        match (result, upstream.lost_at) {
            (Ok(PollOutcome::Unanswered(_)), _) => {}
            (Ok(PollOutcome::Answered(_)), Some(since)) => {
                let outage = now.saturating_sub(since).as_millis();
                info!(
                    "event=dependency_regained dependency={source} what={label} away_ms={outage}"
                );
                upstream.lost_at = None;
            }
            (Ok(PollOutcome::Answered(_)), None) | (Err(StoreError::HistoryGone), _) => {}
            (Err(error), lost_at) => {
                if lost_at.is_none() {
                    warn!(
                        "event=dependency_lost dependency={source} what={label} reason=\"{error}\""
                    );
                    upstream.lost_at = Some(now);
                }
            }
        }
    }
}

/// Returns changes, all of which could be read.
///
/// # Errors
/// [`StoreError::HistoryGone`] when one could not: a position after it would hide it, whereas a list shows what
/// there is now.
fn listed_if_unreadable(changes: Changes) -> Result<Changes, StoreError> {
    if changes.unreadable > 0 {
        warn!("event=changes_unreadable count={}", changes.unreadable);
        return Err(StoreError::HistoryGone);
    }
    Ok(changes)
}

/// Sleeps for `length` with random jitter, so that processes whose calls failed at the same time do
/// not retry at the same time.
async fn sleep_with_jitter(length: Duration) {
    let factor = rand::rng().random_range(RETRY_JITTER.0..RETRY_JITTER.1);
    tokio::time::sleep(length.mul_f64(factor)).await;
}
