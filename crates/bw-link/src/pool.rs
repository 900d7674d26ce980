//! A pool of links to many processes, opened on first use and discarded after a failed call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use log::info;

use crate::client::Client;
use crate::error::LinkError;

/// A pool of clients by address; clones share it.
#[derive(Clone, Default)]
pub struct Pool {
    clients: Arc<Mutex<HashMap<SocketAddr, Arc<Client>>>>,
}

impl Pool {
    /// Creates a pool without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Calls the process at `address`. A link on which the call fails is discarded.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &[u8],
        limit: Duration,
    ) -> Result<Vec<u8>, LinkError> {
        let client = self.client(address)?;
        let reply = client.call(request, limit).await;
        if let Err(error) = &reply {
            self.discard(address, &client, error);
        }
        reply
    }

    /// Closes the links to addresses for which `keep` returns false.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&SocketAddr) -> bool,
    {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|address, _| keep(address));
    }

    /// Returns the number of open links.
    pub fn len(&self) -> usize {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether no link is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the client for `address`, connecting it on first use.
    fn client(&self, address: SocketAddr) -> Result<Arc<Client>, LinkError> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let client = Arc::new(Client::connect(address)?);
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Removes `failed` unless another client has replaced it already.
    fn discard(&self, address: SocketAddr, failed: &Arc<Client>, error: &LinkError) {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if clients.get(&address).is_some_and(|client| Arc::ptr_eq(client, failed)) {
            clients.remove(&address);
            info!("event=link_discarded peer={address} reason=\"{error}\"");
        }
    }
}
