//! Keeps the configuration, the list of endpoints and the list of gateways in step with the store.

use std::convert::Infallible;
use std::time::Duration;

use bw_adapter::catalog;
use bw_adapter::endpoints as listing;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_direct::endpoint::Endpoint;
use bw_direct::peers::PeerAddress;
use bw_direct::Catalog;
use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_platform::Purpose;
use bw_platform::Store;
use bw_platform::StoreError;
use log::info;
use log::warn;
use rand::Rng;

use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::peers::PeerNews;

/// Kind of the objects by which gateways find each other.
const GATEWAYS: &str = "gateways";
/// Time for which a watch waits; bounds the age of the proof that a configuration is the newest.
const WATCH_WAIT: Duration = Duration::from_millis(2_000);
/// Shortest and longest pause after a failed call.
const PAUSE: (u64, u64) = (150, 350);

/// Follows the store.
#[derive(Clone)]
pub struct Sync {
    /// The store.
    pub store: Store,
    /// The configuration.
    pub config: Config,
    /// The endpoints.
    pub endpoints: Endpoints,
    /// The other gateways.
    pub peers: PeerNews,
    /// Clock of the process.
    pub clock: BootClock,
}

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

    /// Lists this gateway in the store and learns of the others, then ends.
    ///
    /// # Errors
    /// None.
    pub async fn join(self, own: PeerAddress, mut stop: Stop) -> Result<(), Infallible> {
        let joined = async {
            while let Err(error) = self.try_join(&own).await {
                warn!("event=join_failed reason=\"{error}\"");
                pause().await;
            }
        };
        tokio::select! {
            () = joined => stop.wait().await,
            () = stop.wait() => {}
        }
        Ok(())
    }

    async fn config_loop(&self) {
        let mut lost = None;
        loop {
            let listed = self.list_config().await;
            self.note("configuration", &listed, &mut lost);
            let Ok(mut revision) = listed else {
                pause().await;
                continue;
            };
            loop {
                let watched = self.watch_config(revision).await;
                self.note("configuration", &watched, &mut lost);
                match watched {
                    Ok(next) => revision = next,
                    Err(StoreError::HistoryGone) => break,
                    Err(_) => {
                        pause().await;
                        break;
                    }
                }
            }
        }
    }

    async fn list_config(&self) -> Result<u64, StoreError> {
        let sent = self.clock.now();
        let page = self.store.list(catalog::KIND, "").await?;
        for object in &page.items {
            self.take_config(object, sent);
        }
        Ok(page.revision)
    }

    /// Waits for a change, or for a newer version that a peer has.
    async fn watch_config(&self, revision: u64) -> Result<u64, StoreError> {
        let sent = self.clock.now();
        let version = self.config.version();
        let changes = tokio::select! {
            changes = self.store.watch_kind(catalog::KIND, revision, WATCH_WAIT) => changes?,
            () = self.config.wanted() => return self.list_config().await,
        };
        if changes.events.is_empty() && changes.unreadable == 0 {
            self.config.prove(version, sent);
        }
        for change in &changes.events {
            self.take_config(&change.object, sent);
        }
        Ok(changes.revision)
    }

    fn take_config(&self, object: &Object, sent: Duration) {
        if object.name != catalog::NAME {
            return;
        }
        let draft = catalog::decode_config(object).map_err(|error| error.to_string());
        let checked =
            draft.and_then(|draft| Catalog::try_from(draft).map_err(|error| error.to_string()));
        match checked {
            Ok(catalog) => self.config.take(catalog, sent),
            Err(reason) => {
                warn!("event=configuration_unreadable revision={} {reason}", object.revision)
            }
        }
    }

    async fn endpoints_loop(&self) {
        let mut lost = None;
        loop {
            let listed = self.list_endpoints().await;
            self.note("endpoints", &listed, &mut lost);
            let Ok(mut revision) = listed else {
                pause().await;
                continue;
            };
            loop {
                let watched = self.store.watch_kind(listing::KIND, revision, WATCH_WAIT).await;
                self.note("endpoints", &watched, &mut lost);
                match watched {
                    Ok(changes) => {
                        self.take_changes(&changes.events);
                        revision = changes.revision;
                    }
                    Err(StoreError::HistoryGone) => break,
                    Err(_) => {
                        pause().await;
                        break;
                    }
                }
            }
        }
    }

    async fn list_endpoints(&self) -> Result<u64, StoreError> {
        let (list, revision) = self.store.list_all(listing::KIND).await?;
        let decoded = list.iter().filter_map(decode_entry).collect();
        let now = self.clock.now();
        self.endpoints.note_source_up(now);
        self.endpoints.replace(decoded, now);
        Ok(revision)
    }

    fn take_changes(&self, changes: &[Change]) {
        let now = self.clock.now();
        self.endpoints.note_source_up(now);
        for change in changes {
            let entry = if change.removed { None } else { decode_entry(&change.object) };
            match entry {
                Some(endpoint) => self.endpoints.upsert(endpoint, now),
                None => self.endpoints.remove(&change.object.name, now),
            }
        }
    }

    async fn try_join(&self, own: &PeerAddress) -> Result<(), StoreError> {
        let object = Object::new(GATEWAYS, &own.instance, 0, own)?;
        match self.store.create(Purpose::Write, &object).await {
            Err(StoreError::Conflict) => {
                self.store.replace(Purpose::Write, &object).await?;
            }
            created => {
                created?;
            }
        }
        let (list, _) = self.store.list_all(GATEWAYS).await?;
        let now = self.clock.now();
        for object in list {
            match object.content::<PeerAddress>() {
                Ok(address) => self.peers.name(address, now),
                Err(error) => warn!("event=gateway_unreadable reason=\"{error}\""),
            }
        }
        Ok(())
    }

    /// Logs when the store is lost and when it is back.
    fn note<T>(&self, what: &str, result: &Result<T, StoreError>, lost: &mut Option<Duration>) {
        let now = self.clock.now();
        match (result, *lost) {
            (Ok(_), Some(since)) => {
                let away = now.saturating_sub(since).as_millis();
                info!("event=dependency_regained dependency=store what={what} away_ms={away}");
                *lost = None;
                self.endpoints.note_source_up(now);
            }
            (Ok(_), None) | (Err(StoreError::HistoryGone), _) => {}
            (Err(error), known) => {
                self.endpoints.note_source_down();
                if known.is_none() {
                    warn!("event=dependency_lost dependency=store what={what} reason=\"{error}\"");
                    *lost = Some(now);
                }
            }
        }
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

async fn pause() {
    let millis = rand::rng().random_range(PAUSE.0..PAUSE.1);
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
