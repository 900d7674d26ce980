//! What operators see of a store that has returned from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;

use argh::FromArgs;
use bw_conf::Document;
use bw_ctl::commands::Show;
use bw_fake::platform::Platform;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Store;

#[tokio::test]
async fn show_warns_of_versions_that_a_restored_store_may_have_lost() {
    let platform = Platform::new(1e6);
    let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let base = format!("http://{}", listener.local_addr().unwrap());
    let (_stop, stopped) = Stop::pair();
    tokio::spawn(bw_http::serve(listener, platform.routes(), stopped));
    let store = Store::new(&base, Budget::new(1e6, 1e6), &Metrics::default()).unwrap();
    let config = ConfigStore::new(store);
    let read = config.head().await.unwrap();
    config.apply(&Document::default(), &read).await.unwrap();

    let show = Show::from_args(&["show"], &["--platform", &base]).unwrap();
    assert_eq!(show.run().await.unwrap(), "# version 1\n");
    platform.restore(platform.snapshot());
    let shown = show.run().await.unwrap();
    assert!(shown.starts_with("# version 1\n# The store was restored"), "{shown}");
}
