//! Evidence against requests that crash endpoints, kept in the store beyond the life of all entries.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use bw_entry::config::Config;
use bw_entry::evidence::SharedEvidence;
use bw_fake::platform::Platform;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::evidence::STRIKES_MAX;
use bw_once::Crash;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Quarantines;
use bw_platform::Store;
use tokio::sync::watch;

const POISON: u64 = 7;
const INNOCENT: u64 = 8;

/// Starts the evidence of an entry that has just started; it is killed when the sender is dropped.
fn start(store: &Store, name: &str) -> (SharedEvidence, watch::Sender<bool>) {
    let config = Config::new(name.to_string(), ConfigStore::new(store.clone()), Pool::new());
    let evidence = SharedEvidence::new(name.to_string(), Pool::new(), config);
    let (stop, stopped) = Stop::pair();
    tokio::spawn(evidence.clone().keep(Quarantines::new(store.clone()), stopped));
    (evidence, stop)
}

/// Waits until a condition holds, at most 5 s.
async fn wait_until<C>(condition: C)
where
    C: Fn() -> bool,
{
    for _ in 0..500 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition does not hold");
}

/// Guards against a request that crashes endpoints anew after all entries have been killed at once.
#[tokio::test]
async fn a_quarantine_outlives_all_entries() {
    let platform = Platform::new(1e6);
    let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (_store_stop, stopped) = Stop::pair();
    tokio::spawn(bw_http::serve(listener, platform.routes(), stopped));
    let budget = Budget::new(1e6, 1e6);
    let store = Store::new(&format!("http://{address}"), budget, &Metrics::default()).unwrap();

    let (first, killed) = start(&store, "entry-1");
    for number in 0..STRIKES_MAX as u32 {
        let fingerprints = if number == 0 { vec![POISON, INNOCENT] } else { vec![POISON] };
        let endpoint = format!("group-{number}");
        let crash = Crash { endpoint, incarnation: Incarnation(1), number: 1, fingerprints };
        first.record(vec![crash]).await;
    }
    let stored = || platform.snapshot().list("quarantines", "").items.len();
    wait_until(|| stored() == 1).await;
    drop((first, killed));

    let (second, _stop) = start(&store, "entry-2");
    wait_until(|| second.suspicion(POISON) == Suspicion::Quarantined).await;
    assert_eq!(second.suspicion(INNOCENT), Suspicion::Clear);
}
