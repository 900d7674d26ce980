//! Evidence against requests that crash endpoints, kept in the store beyond the life of all entries.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::time::Duration;

use bw_entry::config::Config;
use bw_entry::evidence::SharedEvidence;
use bw_entry::requests::identity::chat_fingerprints;
use bw_entry::requests::identity::service_fingerprints;
use bw_fake::platform::Platform;
use bw_kernel::Metrics;
use bw_kernel::Stop;
use bw_link::Pool;
use bw_model::hash::Fingerprints;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::evidence::STRIKES_MAX;
use bw_once::Crash;
use bw_platform::Budget;
use bw_platform::ConfigStore;
use bw_platform::Quarantines;
use bw_platform::Store;
use bw_proto::Call;
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

/// Returns the access to a store that `platform` serves until the sender is dropped.
async fn open_store(platform: &Platform) -> (Store, watch::Sender<bool>) {
    let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = Stop::pair();
    tokio::spawn(bw_http::serve(listener, platform.routes(), stopped));
    let budget = Budget::new(1e6, 1e6);
    (Store::new(&format!("http://{address}"), budget, &Metrics::default()).unwrap(), stop)
}

fn call(path: &str, headers: &[(&str, &str)], body: &str) -> Call {
    let headers = headers.iter().map(|(name, value)| (name.to_string(), value.to_string()));
    Call {
        method: "POST".to_string(),
        path: path.to_string(),
        headers: headers.collect(),
        body: body.as_bytes().to_vec(),
    }
}

/// Lets the request crash endpoints, and the other one be answered after each crash. Checks that the first one is
/// quarantined and the other one is not.
async fn check_quarantine(crashing: Fingerprints, sound: Fingerprints) {
    let platform = Platform::new(1e6);
    let (store, _store_stop) = open_store(&platform).await;
    let (evidence, _stop) = start(&store, "entry-1");
    for number in 0..STRIKES_MAX as u32 {
        let endpoint = format!("group-{number}");
        // The agent knows the first fingerprint only.
        let reported = Crash {
            endpoint,
            incarnation: Incarnation(1),
            number: 1,
            fingerprints: vec![crashing.shared],
        };
        let seen = Crash { fingerprints: crashing.distinct().to_vec(), ..reported.clone() };
        evidence.receive(vec![reported]).await;
        evidence.record(vec![seen]).await;
        evidence.clear(&sound);
    }
    assert_eq!(evidence.request_suspicion(&crashing), Suspicion::Quarantined);
    assert_eq!(evidence.request_suspicion(&sound), Suspicion::Clear);
}

/// Guards against a call that crashes endpoints without an end, since another caller gets answers to the same one.
#[tokio::test]
async fn sound_calls_of_another_caller_do_not_clear_a_call_that_crashes_endpoints() {
    let call = call("/status", &[], "");
    let of = |token| service_fingerprints("dispatch", Some(token), &call);
    check_quarantine(of("token-1"), of("token-2")).await;
}

/// Guards against the same when the caller itself gets answers to calls that differ in a header.
#[tokio::test]
async fn sound_calls_with_another_header_do_not_clear_a_call_that_crashes_endpoints() {
    let of =
        |headers| service_fingerprints("dispatch", Some("token"), &call("/status", headers, ""));
    check_quarantine(of(&[("x-format", "17")]), of(&[])).await;
    let again = of(&[("x-format", "17"), ("idempotency-key", "2"), ("x-request-timeout-ms", "9")]);
    assert_eq!(again, of(&[("x-format", "17")]));
}

/// Guards against a chat request that crashes endpoints without an end, since the same messages get answers with other
/// fields.
#[tokio::test]
async fn sound_chats_with_other_fields_do_not_clear_a_chat_that_crashes_endpoints() {
    let of = |body| chat_fingerprints("concierge", Some("token"), b"[]", &call("/chat", &[], body));
    check_quarantine(of("{\"max_tokens\":9}"), of("{}")).await;
}

/// Guards against a request that crashes endpoints anew after all entries have been killed at once.
#[tokio::test]
async fn a_quarantine_outlives_all_entries() {
    let platform = Platform::new(1e6);
    let (store, _store_stop) = open_store(&platform).await;

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
