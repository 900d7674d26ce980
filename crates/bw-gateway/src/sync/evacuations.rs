//! Follows the evacuated data centres in the store or at a peer.

use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::evacuations as listing;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_kernel::Stop;
use bw_model::Position;
use bw_platform::StoreError;
use log::warn;

use super::listed_if_unreadable;
use super::source::Feed;
use super::PollOutcome;
use super::StoreSync;
use super::Upstream;
use super::PEER_WAIT;
use crate::waiting::WaitQueues;

/// Wait of a watch as a fraction of the time within which evacuations take effect. A watch that hears nothing
/// until its timeout leaves time for a list.
const WAIT_FRACTION: f64 = 0.4;
/// Interval of the checks whether the settings have switched evacuations on.
const SWITCH_INTERVAL: Duration = Duration::from_secs(1);

/// Follows evacuations, and applies them to the waiting requests.
pub struct EvacuationSync {
    /// Access to the store and to peers that follow it.
    pub sync: StoreSync,
    /// Queues of requests that wait for endpoints.
    pub waiting: WaitQueues,
}

impl EvacuationSync {
    /// Follows evacuations until `stop`, while the settings name a bound for them.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        tokio::select! {
            () = self.follow() => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn follow(&self) {
        let sync = &self.sync;
        let mut upstream = Upstream::new("evacuations", &sync.store);
        let mut position = None;
        let mut failed = false;
        loop {
            let bound = sync.settings.get().evacuation;
            sync.endpoints.set_evacuation_bound(bound);
            let Some(bound) = bound else {
                position = None;
                tokio::time::sleep(SWITCH_INTERVAL).await;
                continue;
            };
            sync.choose_source(&mut upstream);
            // A peer with other settings, or of an earlier release, has no list: the store and the peer are
            // asked in turn.
            let direct = failed && position.is_none() && !upstream.feed.is_store();
            let result = match position {
                None if direct => self.list(&Feed::Store(sync.store.clone())).await,
                None => self.list(&upstream.feed).await,
                Some(position) => self.watch(&upstream, position, bound).await,
            };
            failed = !direct && !matches!(result, Ok(_) | Err(StoreError::HistoryGone));
            if !direct {
                sync.record_result(&mut upstream, &result);
            }
            position = match result {
                Ok(outcome) => Some(outcome.position()),
                Err(StoreError::HistoryGone) => None,
                Err(_) => {
                    sync.back_off(&upstream).await;
                    None
                }
            };
        }
    }

    async fn list(&self, feed: &Feed) -> Result<PollOutcome, StoreError> {
        let sent_at = self.sync.clock.now();
        let (list, position) = feed.list(listing::KIND).await?;
        if position.era() < self.sync.endpoints.evacuation_position().era() {
            return Err(StoreError::Unavailable("the list is older".to_string()));
        }
        let centres = list.iter().filter_map(decode_centre).collect();
        let read_at = feed.is_store().then_some(sent_at);
        let now = self.sync.clock.now();
        self.sync.config.observe_era(position.era(), "evacuations", now);
        let changed = self.sync.endpoints.replace_evacuations(centres, position, read_at, now);
        self.sync.relay.replace(listing::KIND, list, position, &[]);
        self.apply_change(feed, changed);
        Ok(PollOutcome::Answered(position))
    }

    /// Waits for a change, or until another source has to be used.
    async fn watch(
        &self,
        upstream: &Upstream,
        position: Position,
        bound: Duration,
    ) -> Result<PollOutcome, StoreError> {
        let sent_at = self.sync.clock.now();
        let wait = bound.mul_f64(WAIT_FRACTION).min(PEER_WAIT);
        let changes = tokio::select! {
            changes = upstream.feed.watch(listing::KIND, position, wait) => changes?,
            // The position is also valid at another source, which returns only later changes.
            () = self.sync.source_changed(upstream) => {
                return Ok(PollOutcome::Unanswered(position));
            }
        };
        let changes = listed_if_unreadable(changes)?;
        let next = changes.position();
        let decode = |change: &Change| Some((decode_centre(&change.object)?, !change.removed));
        let decoded: Vec<(String, bool)> = changes.events.iter().filter_map(decode).collect();
        let read_at = upstream.feed.is_store().then_some(sent_at);
        let now = self.sync.clock.now();
        let changed = self.sync.endpoints.change_evacuations(&decoded, next, read_at, now);
        self.sync.relay.apply(listing::KIND, changes.events, next);
        self.apply_change(&upstream.feed, changed);
        Ok(PollOutcome::Answered(next))
    }

    /// Lets waiting requests and peers know of a change.
    fn apply_change(&self, feed: &Feed, changed: bool) {
        if !changed {
            return;
        }
        self.waiting.apply_eligibility();
        // Followers learn it from this gateway's relay, cut-off gateways from its news.
        if feed.is_store() {
            self.sync.peers.announce();
        }
    }
}

/// Returns the data centre that an object evacuates; `None` for an unreadable one, which evacuates nothing.
fn decode_centre(object: &Object) -> Option<String> {
    match listing::decode_centre(object) {
        Ok(centre) => Some(centre),
        Err(error) => {
            warn!("event=evacuation_unreadable revision={} reason=\"{error}\"", object.revision);
            None
        }
    }
}
