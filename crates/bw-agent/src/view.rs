//! The agent's part of the configuration. The newest version received is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bw_conf::build_fleet;
use bw_link::Pool;
use bw_platform::ConfigStore;
use bw_proto::decode;
use bw_proto::encode;
use bw_proto::AgentView;
use bw_proto::EntryReply;
use bw_proto::EntryRequest;
use log::info;
use log::warn;
use tokio::sync::watch;

use crate::attempts::Attempts;

const VIEW_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Watches the view in force, which is `None` until one was received.
pub type CurrentView = watch::Receiver<Option<Arc<AgentView>>>;

/// Keeps the view in force and fetches newer ones from entries or the platform.
#[derive(Clone)]
pub struct ViewCache {
    instance: String,
    pool: Pool,
    attempts: Attempts,
    store: Option<ConfigStore>,
    current: watch::Sender<Option<Arc<AgentView>>>,
}

impl ViewCache {
    /// Creates a cache without a view. Without a `store` only entries are queried.
    pub fn new(
        instance: String,
        pool: Pool,
        attempts: Attempts,
        store: Option<ConfigStore>,
    ) -> Self {
        Self { instance, pool, attempts, store, current: watch::Sender::new(None) }
    }

    /// Returns a receiver of the view in force and of its later changes.
    pub fn subscribe(&self) -> CurrentView {
        self.current.subscribe()
    }

    /// Returns the view in force.
    pub fn current(&self) -> Option<Arc<AgentView>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force; 0 when there is none.
    pub fn version(&self) -> bw_model::Version {
        self.current().map_or(bw_model::Version(0), |view| view.version)
    }

    /// Requests a newer view from an entry. Returns true if the entry answered.
    pub async fn fetch_from_entry(&self, entry: SocketAddr) -> bool {
        let request = EntryRequest::View { instance: self.instance.clone(), have: self.version() };
        let Ok(bytes) = encode(&request) else {
            return false;
        };
        let Ok(reply) = self.pool.call(entry, &bytes, VIEW_TIMEOUT).await else {
            return false;
        };
        match decode(&reply) {
            Ok(EntryReply::View(view)) => {
                if let Some(view) = view {
                    self.apply(view);
                }
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Reads the configuration from the platform. Used while no entry answers.
    pub async fn fetch_from_platform(&self) {
        let Some(store) = &self.store else { return };
        let document = match store.head().await {
            Ok(read) if read.head.version > self.version() => {
                store.document(&read.head).await.map(|document| (read.head.version, document))
            }
            Ok(_) => return,
            Err(error) => Err(error),
        };
        match document {
            Ok((version, document)) => {
                let file = document.to_file("accepted configuration");
                let fleet = build_fleet(version, &[file]);
                let view = fleet.ok().and_then(|fleet| AgentView::of(&fleet, &self.instance));
                if let Some(view) = view {
                    self.apply(view);
                }
            }
            Err(error) => warn!("event=configuration_unread reason=\"{error}\""),
        }
    }

    /// Puts a view into force if it is newer than the current one and meant for this instance.
    pub fn apply(&self, view: AgentView) {
        let newer = view.version > self.version();
        if newer && view.instance == self.instance {
            info!(
                "event=configuration_in_force version={} endpoint={} rank={}",
                view.version, view.endpoint, view.rank
            );
            self.attempts.set_slots(view.slots as usize);
            self.current.send_replace(Some(Arc::new(view)));
        }
    }
}
