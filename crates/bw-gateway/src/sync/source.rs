//! One interface to the store and to a peer that watches the store.

use std::net::SocketAddr;
use std::time::Duration;

use bw_adapter::objects::Changes;
use bw_adapter::Object;
use bw_adapter::ObjectClient;
use bw_model::Position;
use bw_platform::Store;
use bw_platform::StoreError;
use log::warn;

/// Connection to the source of lists and changes.
#[derive(Clone)]
pub enum Feed {
    /// The store itself.
    Store(Store),
    /// A peer that watches the store.
    Peer(ObjectClient),
}

impl Feed {
    /// Creates the feed of the peer at `address`.
    pub fn peer(address: SocketAddr) -> Self {
        Self::Peer(ObjectClient::of_peer(&format!("http://{address}")))
    }

    /// Reads all objects of a kind, and the position after which to watch.
    ///
    /// # Errors
    /// [`StoreError`] when the source cannot be reached or rejects the call.
    pub async fn list(&self, kind: &str) -> Result<(Vec<Object>, Position), StoreError> {
        match self {
            Self::Store(store) => store.list_all(kind).await,
            Self::Peer(peer) => {
                let page = peer.list(kind, "").await?;
                if page.unreadable > 0 {
                    warn!("event=entries_unreadable kind={kind} count={}", page.unreadable);
                }
                let position = page.position();
                Ok((page.items, position))
            }
        }
    }

    /// Waits up to `wait` for changes of a kind after `position`.
    ///
    /// # Errors
    /// [`StoreError::HistoryGone`] when the kind has to be listed again; other [`StoreError`]s as
    /// for [`Feed::list`].
    pub async fn watch(
        &self,
        kind: &str,
        position: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        match self {
            Self::Store(store) => store.watch_kind(kind, position, wait).await,
            Self::Peer(peer) => Ok(peer.watch(kind, position, wait).await?),
        }
    }

    /// Returns whether the source is the store itself. Only the store's answers prove that a
    /// version is the newest.
    pub fn is_store(&self) -> bool {
        matches!(self, Self::Store(_))
    }
}
