//! Test rig: a client of a fake object store in the process of the test.

#![allow(clippy::unwrap_used, clippy::panic)]
// No test file uses all of these helpers.
#![allow(dead_code)]

use std::net::SocketAddr;

use bw_fake::platform::Platform;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_platform::Budget;
use bw_platform::Store;
use tokio::sync::watch;

/// A fake store with one client.
pub struct StoreRig {
    pub platform: Platform,
    pub store: Store,
    address: SocketAddr,
    _stop: watch::Sender<bool>,
}

/// Returns a client of the store at `address`.
fn client(address: SocketAddr) -> Store {
    Store::new(&format!("http://{address}"), Budget::new(1e6, 1e6), &Metrics::default()).unwrap()
}

impl StoreRig {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let platform = Platform::new(1e6);
        let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = Stop::pair();
        tokio::spawn(bw_http::serve(listener, platform.routes(), stopped));
        Self { platform, store: client(address), address, _stop: stop }
    }

    /// Returns another client, as of another process.
    pub fn other_client(&self) -> Store {
        client(self.address)
    }
}
