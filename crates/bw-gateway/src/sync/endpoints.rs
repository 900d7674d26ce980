//! Follows the list of endpoints.

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bw_adapter::endpoints as listing;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::EndpointChange;
use bw_direct::endpoint::LAPSE_GRACE;
use bw_kernel::Stop;
use bw_platform::StoreError;
use log::warn;

use super::source::Feed;
use super::Sync;
use super::Turn;
use super::Upstream;

/// Pause after a change before the next ones are asked for.
const COLLECT_FOR: Duration = Duration::from_millis(150);

impl Sync {
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
        let mut revision = None;
        loop {
            self.choose_source(&mut upstream);
            let result = match revision {
                None => self.list_endpoints(&upstream.feed).await.map(Turn::Answered),
                Some(revision) => self.watch_endpoints(&upstream, revision).await,
            };
            self.note(&mut upstream, &result);
            revision = match result {
                // Entries that have not come back by now are gone: the whole list tells which.
                Ok(_) if self.endpoints.has_overdue_lapse(self.clock.now()) => None,
                Ok(turn) => Some(turn.revision()),
                Err(StoreError::HistoryGone) => None,
                Err(_) => {
                    self.rest_hearing_peers(&upstream, revision).await;
                    None
                }
            };
        }
    }

    /// Pauses after a failed call, and meanwhile takes changes from peers that know them.
    async fn rest_hearing_peers(&self, upstream: &Upstream, revision: Option<u64>) {
        let mut revision = revision;
        let mut rest = pin!(self.rest(upstream));
        loop {
            let peer = tokio::select! {
                () = &mut rest => return,
                peer = self.peers.newer_listing() => peer,
            };
            let feed = Feed::peer(peer);
            let result = match revision {
                None => self.list_endpoints(&feed).await,
                Some(known) => self.fetch_changes(&feed, known).await,
            };
            match result {
                Ok(next) => revision = Some(next),
                Err(StoreError::HistoryGone) => revision = None,
                // The peer's next news asks again.
                Err(error) => warn!("event=endpoints_unfetched peer={peer} reason=\"{error}\""),
            }
        }
    }

    /// Takes the changes that a peer knows already.
    async fn fetch_changes(&self, feed: &Feed, revision: u64) -> Result<u64, StoreError> {
        let changes = feed.watch(listing::KIND, revision, Duration::ZERO).await?;
        let (next, changed) = (changes.revision, !changes.events.is_empty());
        self.take_changes(false, changes.events, next);
        self.peers.record_listing(next, changed);
        Ok(next)
    }

    /// Waits for a change, for one that a peer knows already, or for another source.
    async fn watch_endpoints(
        &self,
        upstream: &Upstream,
        revision: u64,
    ) -> Result<Turn, StoreError> {
        let wait = self.next_wait(upstream);
        let changes = tokio::select! {
            changes = upstream.feed.watch(listing::KIND, revision, wait) => changes?,
            peer = self.peers.newer_listing() => {
                let known = self.fetch_changes(&Feed::peer(peer), revision).await;
                return Ok(Turn::Unanswered(known.unwrap_or_else(|error| {
                    // The peer's next news asks again.
                    warn!("event=endpoints_unfetched peer={peer} reason=\"{error}\"");
                    revision
                })));
            }
            () = self.source_changed(upstream) => return Ok(Turn::Unanswered(revision)),
        };
        let (next, changed) = (changes.revision, !changes.events.is_empty());
        self.take_changes(upstream.feed.is_store(), changes.events, next);
        self.peers.record_listing(next, changed);
        if changed {
            // Entries often change together, as when all start: one call then brings them all.
            tokio::time::sleep(COLLECT_FOR).await;
        }
        Ok(Turn::Answered(next))
    }

    /// Time for the next watch; short while lapsed entries have to be looked at again.
    fn next_wait(&self, upstream: &Upstream) -> Duration {
        if !self.endpoints.lapsed().is_empty() {
            LAPSE_GRACE / 4
        } else {
            self.wait(upstream)
        }
    }

    async fn list_endpoints(&self, feed: &Feed) -> Result<u64, StoreError> {
        let (list, revision) = feed.list(listing::KIND).await?;
        if !feed.is_store() && revision < self.peers.listing_revision() {
            return Err(StoreError::Unavailable("the peer's list is older".to_string()));
        }
        let decoded = list.iter().filter_map(decode_entry).collect();
        let now = self.clock.now();
        self.endpoints.mark_source_up(now);
        self.endpoints.replace(decoded, now);
        self.relay.replace(listing::KIND, list, revision, &self.endpoints.lapsed());
        self.peers.record_listing(revision, true);
        Ok(revision)
    }

    fn take_changes(&self, direct: bool, changes: Vec<Change>, revision: u64) {
        let now = self.clock.now();
        if direct {
            self.endpoints.mark_source_up(now);
        }
        let mut settled = Vec::new();
        for change in changes {
            let entry = if change.removed { None } else { decode_entry(&change.object) };
            let lapsed = match entry {
                Some(endpoint) => {
                    self.endpoints.upsert(endpoint, now);
                    false
                }
                None => self.endpoints.remove(&change.object.name, now) == EndpointChange::Lapsed,
            };
            // Followers hear of a lapse only when it has turned out to be an end.
            if !lapsed {
                settled.push(change);
            }
        }
        self.relay.take(listing::KIND, settled, revision);
    }
}

/// Reads an entry; one that cannot be read names no endpoint to use.
fn decode_entry(object: &Object) -> Option<Endpoint> {
    match listing::decode_endpoint(object) {
        Ok(endpoint) => Some(endpoint),
        Err(error) => {
            warn!("event=endpoint_unreadable revision={} reason=\"{error}\"", object.revision);
            None
        }
    }
}
