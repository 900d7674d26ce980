//! Follows the list of endpoints in the store or at a peer.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bw_adapter::endpoints as listing;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Phase;
use bw_direct::outage::LAPSE_GRACE;
use bw_kernel::Stop;
use bw_model::Position;
use bw_platform::StoreError;
use log::info;
use log::warn;

use super::listed_if_unreadable;
use super::source::Feed;
use super::PollOutcome;
use super::StoreSync;
use super::Upstream;

/// Time in which changes are collected at the source before the next request.
const COLLECT_TIME: Duration = Duration::from_millis(150);

impl StoreSync {
    /// Follows the list of endpoints until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn follow_endpoints(self, mut stop: Stop) -> Result<(), Infallible> {
        tokio::select! {
            () = self.endpoints_loop() => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn endpoints_loop(&self) {
        let mut upstream = Upstream::new("endpoints", &self.store);
        let mut position = None;
        loop {
            self.choose_source(&mut upstream);
            let result = match position {
                None => self.list_endpoints(&upstream.feed).await.map(PollOutcome::Answered),
                Some(position) => self.watch_endpoints(&upstream, position).await,
            };
            self.record_result(&mut upstream, &result);
            position = match result {
                // Lapsed entries that have not returned within the grace period are removed; the
                // complete list shows which ones.
                Ok(_) if self.endpoints.has_overdue_lapse(self.clock.now()) => None,
                Ok(outcome) => Some(outcome.position()),
                Err(StoreError::HistoryGone) => None,
                Err(_) => {
                    self.back_off_with_peer_updates(&upstream, position).await;
                    None
                }
            };
        }
    }

    /// Waits to retry a failed call, and meanwhile fetches changes from peers that know them.
    async fn back_off_with_peer_updates(&self, upstream: &Upstream, known: Option<Position>) {
        let mut position = known;
        let mut back_off = pin!(self.back_off(upstream));
        loop {
            let peer = tokio::select! {
                () = &mut back_off => return,
                peer = self.peers.newer_listing_peer() => peer,
            };
            let feed = Feed::peer(peer);
            let result = match position {
                None => self.list_endpoints(&feed).await,
                Some(known) => self.fetch_changes(&feed, known).await,
            };
            match result {
                Ok(next) => position = Some(next),
                Err(StoreError::HistoryGone) => position = None,
                // The peer's next news triggers another attempt.
                Err(error) => warn!("event=endpoints_unfetched peer={peer} reason=\"{error}\""),
            }
        }
    }

    /// Fetches and applies the changes that a peer already knows.
    async fn fetch_changes(&self, feed: &Feed, known: Position) -> Result<Position, StoreError> {
        let changes = feed.watch(listing::KIND, known, Duration::ZERO).await?;
        let changes = listed_if_unreadable(changes)?;
        let (next, changed) = (changes.position(), !changes.events.is_empty());
        self.apply_changes(feed, changes.events, next);
        self.peers.record_listing(next, changed);
        Ok(next)
    }

    /// Waits for a change at the source or for a change that a peer already knows, or until another
    /// source has to be used.
    async fn watch_endpoints(
        &self,
        upstream: &Upstream,
        position: Position,
    ) -> Result<PollOutcome, StoreError> {
        let wait = self.next_watch_wait(upstream);
        let changes = tokio::select! {
            changes = upstream.feed.watch(listing::KIND, position, wait) => changes?,
            peer = self.peers.newer_listing_peer() => {
                let known = self.fetch_changes(&Feed::peer(peer), position).await;
                return match known {
                    Ok(known) => Ok(PollOutcome::Unanswered(known)),
                    Err(StoreError::HistoryGone) => Err(StoreError::HistoryGone),
                    Err(error) => {
                        // The peer's next news triggers another attempt.
                        warn!("event=endpoints_unfetched peer={peer} reason=\"{error}\"");
                        Ok(PollOutcome::Unanswered(position))
                    }
                };
            }
            () = self.source_changed(upstream) => return Ok(PollOutcome::Unanswered(position)),
        };
        let changes = listed_if_unreadable(changes)?;
        let (next, changed) = (changes.position(), !changes.events.is_empty());
        self.apply_changes(&upstream.feed, changes.events, next);
        self.peers.record_listing(next, changed);
        if changed {
            // Entries often change together, for example when all endpoints start. After this time
            // one call returns all of the changes.
            tokio::time::sleep(COLLECT_TIME).await;
        }
        Ok(PollOutcome::Answered(next))
    }

    /// Returns the maximum wait of the next watch, which is short while lapsed entries have to be
    /// checked again.
    fn next_watch_wait(&self, upstream: &Upstream) -> Duration {
        if !self.endpoints.lapsed().is_empty() {
            LAPSE_GRACE / 4
        } else {
            self.watch_wait(upstream)
        }
    }

    async fn list_endpoints(&self, feed: &Feed) -> Result<Position, StoreError> {
        let (list, position) = feed.list(listing::KIND).await?;
        let known = self.peers.listing_position();
        if position < known && !(feed.is_store() && position.era() == known.era()) {
            return Err(StoreError::Unavailable("the list is older".to_string()));
        }
        let now = self.clock.now();
        self.config.observe_era(position.era(), "endpoints", now);
        let is_first = known == Position::default();
        if position.era() > known.era() && !is_first {
            info!("event=store_restored position={position} known={known}");
            // Entries that are missing from the older copy return if their endpoints live.
            self.endpoints.record_store_restore(position, now);
        }
        let decoded = list.iter().filter_map(|entry| self.read_entry(entry, position.era()));
        let decoded = decoded.collect();
        if feed.is_store() {
            self.endpoints.record_store_answer(now);
        }
        self.endpoints.replace(decoded, now);
        self.relay.replace(listing::KIND, list, position, &[]);
        self.peers.record_listing(position, true);
        Ok(position)
    }

    /// Applies changes, and passes all of them on to followers: the position that they get says that
    /// everything before it has reached them.
    fn apply_changes(&self, feed: &Feed, changes: Vec<Change>, position: Position) {
        let now = self.clock.now();
        if feed.is_store() {
            self.endpoints.record_store_answer(now);
        }
        for change in &changes {
            let read = || self.read_entry(&change.object, position.era());
            let entry = if change.removed { None } else { read() };
            match entry {
                Some(endpoint) => self.endpoints.upsert(endpoint, now),
                None => {
                    self.endpoints.remove(&change.object.name, now);
                }
            }
        }
        self.relay.apply(listing::KIND, changes, position);
    }

    /// Decodes an entry that was read in `era`. One that the store has from before the endpoint reported its leaving
    /// counts as that report.
    fn read_entry(&self, object: &Object, era: u64) -> Option<Endpoint> {
        let endpoint = decode_entry(object)?;
        let written = Position::new(era, object.revision);
        if endpoint.phase == Phase::Ready && self.endpoints.is_outdated(&endpoint, written) {
            info!("event=entry_outdated endpoint={} written={written}", endpoint.name);
            return Some(Endpoint { phase: Phase::Leaving, ..endpoint });
        }
        Some(endpoint)
    }
}

/// Decodes an entry; returns `None` for an unreadable one, which names no usable endpoint.
fn decode_entry(object: &Object) -> Option<Endpoint> {
    match listing::decode_endpoint(object) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            warn!("event=endpoint_unreadable revision={} reason=\"{error}\"", object.revision);
            None
        }
    }
}
