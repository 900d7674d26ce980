//! A store that returns from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use bw_adapter::Object;
use bw_duty::Lease;
use bw_fake::endpoint::Behaviour;
use bw_model::Fence;
use common::Rig;

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
            _ => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
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
