//! The store, or a peer that watches it, with one interface.

use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::objects::Changes;
use bw_adapter::Object;
use bw_adapter::ObjectClient;
use bw_platform::Store;
use bw_platform::StoreError;

/// Where lists and changes come from.
#[derive(Clone)]
pub enum Feed {
    /// The store itself.
    Store(Store),
    /// A peer that watches it.
    Peer(ObjectClient),
}

impl Feed {
    /// The feed of a peer.
    pub fn peer(address: SocketAddr) -> Self {
        Self::Peer(ObjectClient::new(&format!("http://{address}")))
    }

    /// Reads all objects of a kind, and the revision from which to watch on.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn list(&self, kind: &str) -> Result<(Vec<Object>, u64), StoreError> {
        match self {
            Self::Store(store) => store.list_all(kind).await,
            Self::Peer(peer) => {
                let page = peer.list(kind, "").await?;
                Ok((page.items, page.revision))
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after `revision`.
    ///
    /// # Errors
    /// [`StoreError::HistoryGone`] when the kind has to be listed anew; others as usual.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        match self {
            Self::Store(store) => store.watch_kind(kind, revision, wait).await,
            Self::Peer(peer) => Ok(peer.watch(kind, revision, wait).await?),
        }
    }

    /// Whether this is the store itself, whose answers prove what is the newest.
    pub fn is_store(&self) -> bool {
        matches!(self, Self::Store(_))
    }
}
