//! Follows the configuration in the store or at a peer.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::catalog;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_direct::Catalog;
use bw_kernel::Stop;
use bw_platform::StoreError;
use log::info;
use log::warn;

use super::source::Feed;
use super::PollOutcome;
use super::StoreSync;
use super::Upstream;

impl StoreSync {
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
                None => self.with_peer_updates(self.list_config(&upstream)).await,
                Some(revision) => {
                    self.with_peer_updates(self.watch_config(&upstream, revision)).await
                }
            };
            self.record_result(&mut upstream, &result);
            revision = match result {
                Ok(outcome) => Some(outcome.revision()),
                Err(StoreError::HistoryGone) => None,
                Err(_) => {
                    self.with_peer_updates(self.back_off(&upstream)).await;
                    None
                }
            };
        }
    }

    /// Runs `work`, which waits for a source, and meanwhile fetches newer versions from peers that
    /// have them. A gateway whose source is silent, or that waits to retry a failed call, must not
    /// fall behind; nor must one whose peer is slow while the source has an answer.
    async fn with_peer_updates<F>(&self, work: F) -> F::Output
    where
        F: Future,
    {
        tokio::select! {
            result = work => result,
            never = self.fetch_newer_configs() => match never {},
        }
    }

    async fn fetch_newer_configs(&self) -> Infallible {
        loop {
            let peer = self.config.newer_peer().await;
            self.fetch_config(peer).await;
        }
    }

    async fn list_config(&self, upstream: &Upstream) -> Result<PollOutcome, StoreError> {
        let sent_at = self.clock.now();
        let (list, revision) = upstream.feed.list(catalog::KIND).await?;
        let proof = upstream.feed.is_store().then_some(sent_at);
        for object in &list {
            self.apply_config(object, proof);
        }
        self.relay.replace(catalog::KIND, list, revision, &[]);
        Ok(PollOutcome::Answered(revision))
    }

    /// Waits for a change, or until another source has to be used.
    async fn watch_config(
        &self,
        upstream: &Upstream,
        revision: u64,
    ) -> Result<PollOutcome, StoreError> {
        let sent_at = self.clock.now();
        let version = self.config.version();
        let wait = self.watch_wait(upstream);
        let changes = tokio::select! {
            changes = upstream.feed.watch(catalog::KIND, revision, wait) => changes?,
            // The revision is also valid at another source, which returns only later changes.
            () = self.source_changed(upstream) => return Ok(PollOutcome::Unanswered(revision)),
        };
        let proof = upstream.feed.is_store().then_some(sent_at);
        if let (Some(proof), true) = (proof, changes.events.is_empty() && changes.unreadable == 0) {
            self.config.prove(version, proof);
        }
        for change in &changes.events {
            self.apply_config(&change.object, proof);
        }
        self.relay.apply(catalog::KIND, changes.events, changes.revision);
        Ok(PollOutcome::Answered(changes.revision))
    }

    /// Fetches a newer version from a peer that has announced one.
    async fn fetch_config(&self, peer: SocketAddr) {
        let started_at = self.clock.now();
        match Feed::peer(peer).list(catalog::KIND).await {
            Ok((list, _)) => {
                let took = self.clock.now().saturating_sub(started_at);
                info!("event=configuration_fetched peer={peer} took_ms={}", took.as_millis());
                for object in list {
                    self.apply_config(&object, None);
                    let revision = object.revision;
                    self.relay.apply(
                        catalog::KIND,
                        vec![Change { object, removed: false }],
                        revision,
                    );
                }
            }
            // The peer's next news triggers another attempt.
            Err(error) => warn!("event=configuration_unfetched peer={peer} reason=\"{error}\""),
        }
    }

    fn apply_config(&self, object: &Object, proof: Option<Duration>) {
        if object.name != catalog::NAME {
            return;
        }
        let started_at = self.clock.now();
        let draft = catalog::decode_config(object).map_err(|error| error.to_string());
        let checked =
            draft.and_then(|draft| Catalog::try_from(draft).map_err(|error| error.to_string()));
        let took = self.clock.now().saturating_sub(started_at);
        info!(
            "event=configuration_read revision={} routes={} proof_ms={} took_ms={}",
            object.revision,
            checked.as_ref().map_or(0, |catalog| catalog.routes.len()),
            proof.map_or(-1, |sent| started_at.saturating_sub(sent).as_millis() as i64),
            took.as_millis()
        );
        match checked {
            Ok(catalog) => self.config.apply(catalog, proof),
            Err(reason) => {
                warn!("event=configuration_unreadable revision={} {reason}", object.revision);
            }
        }
    }
}
