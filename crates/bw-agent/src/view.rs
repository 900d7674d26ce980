//! The agent's part of the configuration: the newest one seen is in force.

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

const ASK_LIMIT: Duration = Duration::from_millis(1_500);

/// The view in force; `None` until one was learned.
pub type CurrentView = watch::Receiver<Option<Arc<AgentView>>>;

/// Learns newer views.
#[derive(Clone)]
pub struct Viewer {
    instance: String,
    pool: Pool,
    attempts: Attempts,
    store: Option<ConfigStore>,
    current: watch::Sender<Option<Arc<AgentView>>>,
}

impl Viewer {
    /// A viewer that knows nothing yet.
    pub fn new(
        instance: String,
        pool: Pool,
        attempts: Attempts,
        store: Option<ConfigStore>,
    ) -> Self {
        Self { instance, pool, attempts, store, current: watch::Sender::new(None) }
    }

    /// The view in force, now and later.
    pub fn subscribe(&self) -> CurrentView {
        self.current.subscribe()
    }

    /// The view in force.
    pub fn current(&self) -> Option<Arc<AgentView>> {
        self.current.borrow().clone()
    }

    /// The version in force.
    pub fn version(&self) -> bw_model::Version {
        self.current().map_or(bw_model::Version(0), |view| view.version)
    }

    /// Asks an entry for a newer view; true when the entry answered.
    pub async fn ask_entry(&self, entry: SocketAddr) -> bool {
        let request = EntryRequest::View { instance: self.instance.clone(), have: self.version() };
        let Ok(bytes) = encode(&request) else {
            return false;
        };
        let Ok(reply) = self.pool.call(entry, &bytes, ASK_LIMIT).await else {
            return false;
        };
        match decode(&reply) {
            Ok(EntryReply::View(view)) => {
                if let Some(view) = view {
                    self.take(view);
                }
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Reads the configuration from the platform, for the time when no entry answers.
    pub async fn ask_platform(&self) {
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
                    self.take(view);
                }
            }
            Err(error) => warn!("event=configuration_unread reason=\"{error}\""),
        }
    }

    /// Puts a view in force unless it is older than the present one.
    pub fn take(&self, view: AgentView) {
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
