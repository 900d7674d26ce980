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
use bw_model::Position;
use bw_platform::StoreError;
use log::info;
use log::warn;

use super::listed_if_unreadable;
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
        let mut position = None;
        loop {
            let followed = upstream.peer;
            self.choose_source(&mut upstream);
            // What came from a peer is no proof, and the store shows it again only in a list.
            if followed.is_some() && upstream.peer.is_none() && !self.config.is_listed() {
                position = None;
            }
            let result = match position {
                None => self.with_peer_updates(self.list_config(&upstream)).await,
                Some(position) => {
                    self.with_peer_updates(self.watch_config(&upstream, position)).await
                }
            };
            self.record_result(&mut upstream, &result);
            position = match result {
                Ok(outcome) => Some(outcome.position()),
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
        let (list, position) = upstream.feed.list(catalog::KIND).await?;
        self.config.observe_era(position.era(), "list", self.clock.now());
        let proof = upstream.feed.is_store().then_some(sent_at);
        let list = self.apply_configs(list, proof);
        // Peers go on getting a configuration that the store has lost.
        let retained = [catalog::NAME.to_string()];
        self.relay.replace(catalog::KIND, list, position, &retained);
        Ok(PollOutcome::Answered(position))
    }

    /// Waits for a change, or until another source has to be used.
    async fn watch_config(
        &self,
        upstream: &Upstream,
        position: Position,
    ) -> Result<PollOutcome, StoreError> {
        let sent_at = self.clock.now();
        let wait = self.watch_wait(upstream);
        let changes = tokio::select! {
            changes = upstream.feed.watch(catalog::KIND, position, wait) => changes?,
            // The position is also valid at another source, which returns only later changes.
            () = self.source_changed(upstream) => return Ok(PollOutcome::Unanswered(position)),
        };
        let changes = listed_if_unreadable(changes)?;
        let proof = upstream.feed.is_store().then_some(sent_at);
        if let (Some(proof), true) = (proof, changes.events.is_empty()) {
            self.config.prove_unchanged(proof);
        }
        let next = changes.position();
        let objects = changes.events.into_iter().map(|change| change.object).collect();
        let current = self.apply_configs(objects, proof).into_iter();
        let current = current.map(|object| Change { object, removed: false });
        self.relay.apply(catalog::KIND, current.collect(), next);
        Ok(PollOutcome::Answered(next))
    }

    /// Fetches a newer version from a peer that has announced one.
    async fn fetch_config(&self, peer: SocketAddr) {
        let started_at = self.clock.now();
        match Feed::peer(peer).list(catalog::KIND).await {
            Ok((list, position)) => {
                self.config.observe_era(position.era(), "peer", self.clock.now());
                let took = self.clock.now().saturating_sub(started_at);
                info!("event=configuration_fetched peer={peer} took_ms={}", took.as_millis());
                for object in self.apply_configs(list, None) {
                    let changed_at = Position::new(position.era(), object.revision);
                    self.relay.apply(
                        catalog::KIND,
                        vec![Change { object, removed: false }],
                        changed_at,
                    );
                }
            }
            // The peer's next news triggers another attempt.
            Err(error) => warn!("event=configuration_unfetched peer={peer} reason=\"{error}\""),
        }
    }

    /// Applies the configuration among `objects`, and returns the objects that peers may have: not a
    /// configuration that is older than the one in force, as a restored store shows it.
    fn apply_configs(&self, objects: Vec<Object>, proof: Option<Duration>) -> Vec<Object> {
        objects.into_iter().filter(|object| self.apply_config(object, proof)).collect()
    }

    /// Applies an object if it is the configuration. Returns whether it is not an older one.
    fn apply_config(&self, object: &Object, proof: Option<Duration>) -> bool {
        if object.name != catalog::NAME {
            return true;
        }
        let started_at = self.clock.now();
        let draft = catalog::decode_config(object).map_err(|error| error.to_string());
        let checked =
            draft.and_then(|draft| Catalog::try_from(draft).map_err(|error| error.to_string()));
        let took = self.clock.now().saturating_sub(started_at);
        info!(
            "event=configuration_read version={} revision={} routes={} proof_ms={} took_ms={}",
            checked.as_ref().map_or(0, |catalog| catalog.version.0),
            object.revision,
            checked.as_ref().map_or(0, |catalog| catalog.routes.len()),
            proof.map_or(-1, |sent| started_at.saturating_sub(sent).as_millis() as i64),
            took.as_millis()
        );
        match checked {
            Ok(catalog) => {
                let version = catalog.version;
                // Before the first request by this configuration.
                if version >= self.config.version() {
                    self.endpoints.set_cold_rules(&catalog, self.clock.now());
                }
                self.config.apply(catalog, proof);
                version >= self.config.version()
            }
            Err(reason) => {
                warn!("event=configuration_unreadable revision={} {reason}", object.revision);
                if proof.is_some() {
                    self.config.record_unreadable();
                }
                false
            }
        }
    }
}
