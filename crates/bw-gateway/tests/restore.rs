//! A store that returns from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;
use std::time::Instant;

use bw_adapter::stand_in::config::config_object;
use bw_adapter::stand_in::endpoint::listing_object;
use bw_adapter::Object;
use bw_direct::catalog::Draft;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Phase;
use bw_duty::Lease;
use bw_fake::endpoint::Behaviour;
use bw_fake::objects::Objects;
use bw_fake::platform::Faults;
use bw_model::Fence;
use common::draft;
use common::listing;
use common::news;
use common::Rig;
use tokio::net::UdpSocket;

fn ok_answer() -> Behaviour {
    Behaviour::Answer(200, "fine".to_string())
}

/// Returns the fencing number in the lease of the planning duty.
fn lease(rig: &Rig) -> Option<Fence> {
    let snapshot = rig.platform.snapshot();
    let object: Option<&Object> = snapshot.get("leases", "expert-maps");
    object.map(|object| object.content::<Lease>().unwrap().fence)
}

/// Waits until the lease of the planning duty has another fencing number than `known`.
async fn next_lease(rig: &Rig, known: Option<Fence>) -> Fence {
    loop {
        match lease(rig) {
            Some(fence) if Some(fence) != known => return fence,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// A holder that has not heard of the restore goes on with its number, so that no other one may get it.
#[tokio::test]
async fn a_fencing_number_is_not_handed_out_again_after_the_store_was_restored() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut snapshot = rig.platform.snapshot();
    // The copy is older than the lease, which may have been acquired by now.
    let _ = snapshot.remove("leases", "expert-maps");
    let first = next_lease(&rig, None).await;
    rig.platform.restore(snapshot);
    let second = rig.restart("gateway-2").await;
    let next = next_lease(&second, None).await;
    assert!(next > first, "{next} after {first}");
    second.stop().await;
}

/// Makes `count` changes that concern no gateway.
fn change_often(objects: &mut Objects, count: u64) {
    for number in 0..count {
        let object = Object::new("others", &format!("o-{number}"), 0, &number).unwrap();
        let _ = objects.create(object);
    }
}

/// Lists the first endpoint as leaving.
fn leave_first(rig: &Rig, objects: &mut Objects) {
    let leaving = Endpoint { phase: Phase::Leaving, ..listing(&rig.endpoints[0]) };
    objects.replace(listing_object(&leaving)).unwrap();
}

/// Waits until requests no longer reach the first endpoint.
async fn wait_unused(rig: &Rig) {
    let runs = |number: usize| rig.endpoints[number].observed().runs.len();
    loop {
        let before = runs(0);
        for _ in 0..12 {
            assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
        }
        if runs(0) == before {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A watch goes on from a revision that the store has given out again for another change, and misses
/// what came before.
#[tokio::test]
async fn a_change_right_after_a_restore_is_not_missed() {
    let rig = Rig::start(&[ok_answer(), ok_answer()]).await;
    let snapshot = rig.platform.snapshot();
    rig.platform.change(|objects| change_often(objects, 50));
    // Lets the watches pass the changes.
    tokio::time::sleep(rig.settings.apply).await;
    rig.platform.restore(snapshot);
    rig.platform.change(|objects| {
        leave_first(&rig, objects);
        change_often(objects, 100);
    });
    tokio::time::timeout(Duration::from_secs(10), wait_unused(&rig)).await.unwrap();
    rig.stop().await;
}

/// The follower knows a higher revision of the list of endpoints than the restored store has.
#[tokio::test]
async fn a_gateway_that_follows_another_one_learns_changes_after_a_restore() {
    let first = Rig::start(&[ok_answer(), ok_answer()]).await;
    let snapshot = first.platform.snapshot();
    first.platform.change(|objects| change_often(objects, 500));
    let second = first.start_peer("gateway-2").await;
    tokio::time::sleep(first.settings.apply).await;
    first.platform.restore(snapshot);
    first.platform.change(|objects| leave_first(&first, objects));
    tokio::time::timeout(Duration::from_secs(10), wait_unused(&second)).await.unwrap();
    second.stop().await;
    first.stop().await;
}

/// The store has lost an accepted version. A request must not be handled as an older one says, and the
/// older copy proves nothing: a newer version may have taken a key away.
#[tokio::test]
async fn an_older_configuration_of_a_restored_store_is_neither_used_nor_a_proof() {
    let rig = Rig::start(&[ok_answer()]).await;
    let snapshot = rig.platform.snapshot();
    let mut newer = draft(9);
    newer.routes.push(common::route("new", bw_direct::catalog::RouteKind::Safe));
    rig.configure(&newer);
    rig.wait_status("/new/1", 200).await;
    rig.platform.restore(snapshot);
    let unproved = async {
        loop {
            let status = rig.call("GET", "/new/1", "").await.status;
            assert!(status == 200 || status == 503, "status {status}");
            if status == 503 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(rig.settings.revoke * 2, unproved).await.unwrap();
    // The operator writes it again.
    rig.platform.change(|objects| objects.replace(config_object(&newer))).unwrap();
    rig.wait_status("/new/1", 200).await;
    rig.stop().await;
}

/// The copy is older than the endpoint's entry, which the endpoint writes again if it lives.
#[tokio::test]
async fn endpoints_that_a_restored_store_does_not_list_yet_stay_usable() {
    let rig = Rig::start(&[ok_answer()]).await;
    let mut snapshot = rig.platform.snapshot();
    let entry = listing_object(&listing(&rig.endpoints[0]));
    snapshot.remove(&entry.kind, &entry.name).unwrap();
    rig.platform.restore(snapshot);
    // The gateway lists the endpoints again after its watch has failed.
    for _ in 0..10 {
        assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    rig.platform.change(|objects| objects.create(entry)).unwrap();
    tokio::time::sleep(rig.settings.drain * 2).await;
    assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
    rig.stop().await;
}

/// Guards against requests to a leaving endpoint, whose report the restored store has lost.
#[tokio::test]
async fn an_endpoint_that_has_reported_its_leaving_is_not_used_by_the_list_of_an_older_copy() {
    let rig = Rig::start(&[ok_answer(), ok_answer()]).await;
    let follower = rig.start_peer("gateway-2").await;
    let snapshot = rig.platform.snapshot();
    let leaving = Endpoint { phase: Phase::Leaving, ..listing(&rig.endpoints[0]) };
    rig.platform.change(|objects| objects.replace(listing_object(&leaving))).unwrap();
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    rig.platform.restore(snapshot);
    // Until the gateways have read the copy's list, and less than an endpoint takes to write again.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let reached = || rig.endpoints[0].observed().requests.len();
    let before = reached();
    for _ in 0..10 {
        assert_eq!(rig.call("GET", "/status/1", "").await.status, 200);
        assert_eq!(follower.call("GET", "/status/1", "").await.status, 200);
    }
    assert_eq!(reached(), before);
    // What the endpoint itself writes in the new era is believed.
    let ready = Endpoint { slots: 5, ..listing(&rig.endpoints[0]) };
    rig.platform.change(|objects| objects.replace(listing_object(&ready))).unwrap();
    let used = async {
        while reached() == before {
            rig.call("GET", "/status/1", "").await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), used).await.unwrap();
    rig.stop().await;
    follower.stop().await;
}

/// A gateway that starts between the restore and the operator's next write gets the newer configuration
/// from a peer that has it in force.
#[tokio::test]
async fn a_peer_keeps_the_configuration_that_a_restored_store_has_lost() {
    let first = Rig::start(&[ok_answer()]).await;
    let snapshot = first.platform.snapshot();
    let mut newer = draft(9);
    let route = common::route("new", bw_direct::catalog::RouteKind::Safe);
    newer.routes.push(bw_direct::catalog::Route { public: true, ..route });
    first.configure(&newer);
    first.wait_status("/new/1", 200).await;
    first.platform.restore(snapshot);
    // The gateway lists the configuration again.
    tokio::time::sleep(first.settings.apply).await;
    let faults = Faults { down: true, ..Faults::default() };
    let second = first.start_with_faults("gateway-2", faults).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let learned = async {
        for seq in 1.. {
            let news = news("gateway-1", "a", first.settings.news, 9, seq);
            second.send_news(&socket, &news).await;
            if second.call("GET", "/new/1", "").await.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), learned).await.unwrap();
    second.stop().await;
    first.stop().await;
}

/// Time within which an operator has written again what a restore has lost.
const REWRITE: Duration = Duration::from_millis(1_500);

/// Returns the configuration with version 2, which has taken [`common::KEY`] away.
fn revoked() -> Draft {
    let mut draft = draft(2);
    let workspace = &mut draft.workspaces.as_mut().unwrap()[0];
    workspace.keys = vec!["another-key".to_string()];
    draft
}

/// Returns a gateway that cannot reach the store, which has lost the revocation of the key. The revocation
/// was accepted so long ago that the key must open nothing.
async fn start_with_lost_revocation() -> Rig {
    let rig = Rig::start(&[ok_answer()]).await;
    let snapshot = rig.platform.snapshot();
    rig.platform.set_faults(Faults { down: true, ..Faults::default() });
    rig.configure(&revoked());
    let revoked_by = Instant::now() + rig.settings.revoke;
    rig.platform.restore(snapshot);
    tokio::time::sleep_until(revoked_by.into()).await;
    rig
}

/// Calls the gateway until `until`, and returns whether the key has opened anything.
async fn opens_until(rig: &Rig, until: Instant) -> bool {
    let mut opened = false;
    while Instant::now() < until {
        opened |= rig.call("GET", "/status/1", "").await.status == 200;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    opened
}

/// The revocation is accepted while the gateway cannot see the store, and lost. The store then shows the
/// configuration that the gateway has in force, as if it were the newest.
#[tokio::test]
async fn a_key_whose_revocation_a_restored_store_has_lost_opens_nothing() {
    let rig = start_with_lost_revocation().await;
    rig.platform.set_faults(Faults::default());
    assert!(!opens_until(&rig, Instant::now() + REWRITE).await);
    rig.configure(&revoked());
    rig.wait_status("/status/1", 401).await;
    rig.stop().await;
}

/// The other gateway has started after the restore and takes what the store shows for the newest.
#[tokio::test]
async fn a_proof_of_a_gateway_that_knows_only_the_restored_store_opens_nothing() {
    let rig = start_with_lost_revocation().await;
    let started = rig.start_with_faults("gateway-2", Faults::default()).await;
    let rewritten = Instant::now() + REWRITE;
    assert!(!opens_until(&rig, rewritten).await);
    rig.configure(&revoked());
    rig.wait_status("/status/1", 401).await;
    started.stop().await;
    rig.stop().await;
}

/// Guards against a gateway that is never found by one that is added later, since the store has lost its entry: each of
/// the two would take itself for the only one.
#[tokio::test]
async fn a_gateways_entry_is_written_again_after_the_store_has_lost_it() {
    let rig = Rig::start(&[ok_answer()]).await;
    let entries = || rig.platform.snapshot().list("gateways", "").items.len();
    let registered = async {
        while entries() == 0 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    registered.await;
    let mut copy = rig.platform.snapshot();
    copy.remove("gateways", &rig.settings.instance.to_string()).unwrap();
    rig.platform.restore(copy);
    for _ in 0..200 {
        if entries() > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(entries(), 1);
    rig.stop().await;
}

/// Guards against a key that was taken away and works again at gateways that all start right after the store has
/// returned from an older copy, while nobody is left who knows the revocation.
#[tokio::test]
async fn a_key_opens_nothing_at_a_gateway_that_starts_before_the_operator_has_written_again() {
    let rig = Rig::start(&[ok_answer()]).await;
    let snapshot = rig.platform.snapshot();
    rig.configure(&revoked());
    rig.wait_status("/status/1", 401).await;
    let platform = rig.platform.clone();
    let runs = rig.endpoints[0].observed().runs.len();
    let started = rig.start_with_faults("gateway-2", Faults { down: true, ..Faults::default() });
    let started = started.await;
    rig.stop().await;
    platform.restore(snapshot);
    started.platform.set_faults(Faults::default());
    assert!(!opens_until(&started, Instant::now() + REWRITE).await);
    started.configure(&revoked());
    started.wait_status("/status/1", 401).await;
    assert_eq!(started.endpoints[0].observed().runs.len(), runs);
    started.stop().await;
}
