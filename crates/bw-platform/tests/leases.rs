//! Leases in a store that returns from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use bw_duty::Lease;
use bw_model::Fence;
use bw_platform::LeaseObject;
use bw_platform::Purpose;
use common::StoreRig;

fn lease(holder: &str, fence: Fence, renewal: u64) -> Lease {
    Lease { holder: holder.to_string(), fence, renewal }
}

/// The store gives the revision of the lost lease out again, for the lease of the next holder.
#[tokio::test]
async fn a_renewal_from_before_a_restore_takes_no_lease_from_a_later_holder() {
    let rig = StoreRig::start().await;
    let (mut first, mut second) =
        (LeaseObject::new("plan-g".to_string()), LeaseObject::new("plan-g".to_string()));
    let copy = rig.platform.snapshot();
    assert_eq!(first.read(&rig.store, Purpose::Lease).await, Ok(None));
    let held = lease("entry-1", Fence::new(0, 1), 0);
    assert_eq!(first.write(&rig.store, &held).await, Ok(true));
    rig.platform.restore(copy);
    assert_eq!(second.read(&rig.store, Purpose::Lease).await, Ok(None));
    let next = lease("entry-2", Fence::new(second.era(), 1), 0);
    assert!(next.fence > held.fence);
    assert_eq!(second.write(&rig.store, &next).await, Ok(true));
    // The first holder has not heard of the restore.
    let renewed = first.write(&rig.store, &lease("entry-1", held.fence, 1)).await;
    assert!(renewed != Ok(true), "{renewed:?}");
    assert_eq!(second.read(&rig.store, Purpose::Lease).await, Ok(Some(next)));
    assert_eq!(first.read(&rig.store, Purpose::Lease).await.unwrap().unwrap().holder, "entry-2");
}
