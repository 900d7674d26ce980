//! Follows the configuration.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bw_adapter::catalog;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_direct::Catalog;
use bw_kernel::Stop;
use bw_platform::StoreError;
use log::warn;

use super::source::Feed;
use super::Sync;
use super::Turn;
use super::Upstream;

impl Sync {
    /// Follows the configuration until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn follow_config(self, mut stop: Stop) -> Result<(), Infallible> {
        tokio::select! {
            () = self.config_loop() => {}
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn config_loop(&self) {
        let mut upstream = Upstream::new("configuration", &self.store);
        let mut revision = None;
        loop {
            self.choose_source(&mut upstream);
            let result = match revision {
                None => self.hearing_peers(self.list_config(&upstream)).await,
                Some(revision) => self.hearing_peers(self.watch_config(&upstream, revision)).await,
            };
            self.note(&mut upstream, &result);
            revision = match result {
                Ok(turn) => Some(turn.revision()),
                Err(StoreError::HistoryGone) => None,
                Err(_) => {
                    self.hearing_peers(self.rest(&upstream)).await;
                    None
                }
            };
        }
    }

    /// Does what waits for a source, and meanwhile takes newer versions from peers that have them:
    /// a gateway whose source is silent, or who pauses after a failure, must not fall behind.
    async fn hearing_peers<F>(&self, work: F) -> F::Output
    where
        F: Future,
    {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                result = &mut work => return result,
                peer = self.config.behind() => self.fetch_config(peer).await,
            }
        }
    }

    async fn list_config(&self, upstream: &Upstream) -> Result<Turn, StoreError> {
        let sent = self.clock.now();
        let (list, revision) = upstream.feed.list(catalog::KIND).await?;
        let proof = upstream.feed.is_store().then_some(sent);
        for object in &list {
            self.take_config(object, proof);
        }
        self.relay.replace(catalog::KIND, list, revision, &[]);
        Ok(Turn::Answered(revision))
    }

    /// Waits for a change or for another source.
    async fn watch_config(&self, upstream: &Upstream, revision: u64) -> Result<Turn, StoreError> {
        let sent = self.clock.now();
        let version = self.config.version();
        let wait = self.wait(upstream);
        let changes = tokio::select! {
            changes = upstream.feed.watch(catalog::KIND, revision, wait) => changes?,
            // The revision holds at another source, too: what that one tells of later is newer.
            () = self.source_changed(upstream) => return Ok(Turn::Unanswered(revision)),
        };
        let proof = upstream.feed.is_store().then_some(sent);
        if let (Some(proof), true) = (proof, changes.events.is_empty() && changes.unreadable == 0) {
            self.config.prove(version, proof);
        }
        for change in &changes.events {
            self.take_config(&change.object, proof);
        }
        self.relay.take(catalog::KIND, changes.events, changes.revision);
        Ok(Turn::Answered(changes.revision))
    }

    /// Takes a newer version from a peer that has it.
    async fn fetch_config(&self, peer: SocketAddr) {
        match Feed::peer(peer).list(catalog::KIND).await {
            Ok((list, _)) => {
                for object in list {
                    self.take_config(&object, None);
                    let revision = object.revision;
                    self.relay.take(
                        catalog::KIND,
                        vec![Change { object, removed: false }],
                        revision,
                    );
                }
            }
            // The peer's next news asks again.
            Err(error) => warn!("event=configuration_unfetched peer={peer} reason=\"{error}\""),
        }
    }

    fn take_config(&self, object: &Object, proof: Option<Duration>) {
        if object.name != catalog::NAME {
            return;
        }
        let draft = catalog::decode_config(object).map_err(|error| error.to_string());
        let checked =
            draft.and_then(|draft| Catalog::try_from(draft).map_err(|error| error.to_string()));
        match checked {
            Ok(catalog) => self.config.take(catalog, proof),
            Err(reason) => {
                warn!("event=configuration_unreadable revision={} {reason}", object.revision);
            }
        }
    }
}
