//! Claims of idempotency keys in a store that returns from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_model::KeyHash;
use bw_once::claim::Swap;
use bw_once::shard::Change;
use bw_once::Claim;
use bw_platform::claims::ClaimStore;
use common::StoreRig;

const KEY: KeyHash = KeyHash(8);
/// Keys of the same shard.
const OTHER_KEY: KeyHash = KeyHash(16);
const THIRD_KEY: KeyHash = KeyHash(24);

fn claim(attempt: u128) -> Claim {
    Claim { endpoint: "e-0".to_string(), incarnation: Incarnation(1), attempt: AttemptId(attempt) }
}

fn claims(store: bw_platform::Store) -> ClaimStore {
    ClaimStore::new(store, Duration::from_secs(3_600))
}

/// Claims a key that no attempt holds.
async fn swap(claims: &ClaimStore, key: KeyHash, attempt: u128) -> Swap {
    claims.swap(Change { key, expect: None, claim: Some(claim(attempt)) }).await
}

/// The request of the first attempt may have run.
#[tokio::test]
async fn a_claim_that_a_restored_store_has_lost_is_not_granted_again() {
    let rig = StoreRig::start().await;
    let claims = claims(rig.store.clone());
    assert_eq!(swap(&claims, OTHER_KEY, 1).await, Swap::Done);
    let copy = rig.platform.snapshot();
    assert_eq!(swap(&claims, KEY, 2).await, Swap::Done);
    rig.platform.restore(copy);
    assert_eq!(swap(&claims, KEY, 3).await, Swap::Mismatch(Some(claim(2))));
    assert_eq!(claims.read(KEY).await.unwrap(), Some(claim(2)));
}

#[tokio::test]
async fn a_lost_claim_is_written_again_for_all_entries() {
    let rig = StoreRig::start().await;
    let first = claims(rig.store.clone());
    assert_eq!(swap(&first, THIRD_KEY, 3).await, Swap::Done);
    let copy = rig.platform.snapshot();
    assert_eq!(swap(&first, KEY, 2).await, Swap::Done);
    rig.platform.restore(copy);
    assert_eq!(swap(&first, OTHER_KEY, 1).await, Swap::Done);
    let second = claims(rig.other_client());
    assert_eq!(second.read(KEY).await.unwrap(), Some(claim(2)));
    assert_eq!(second.read(OTHER_KEY).await.unwrap(), Some(claim(1)));
}

/// The key was claimed anew after the restore, by an entry that did not know of the lost claim.
#[tokio::test]
async fn a_lost_claim_replaces_none_of_a_later_era() {
    let rig = StoreRig::start().await;
    let (first, second) = (claims(rig.store.clone()), claims(rig.other_client()));
    let copy = rig.platform.snapshot();
    assert_eq!(swap(&first, KEY, 2).await, Swap::Done);
    rig.platform.restore(copy);
    assert_eq!(swap(&second, KEY, 3).await, Swap::Done);
    assert_eq!(first.read(KEY).await.unwrap(), Some(claim(3)));
    assert_eq!(swap(&first, KEY, 4).await, Swap::Mismatch(Some(claim(3))));
}

/// The copy is older than the first claim of the shard.
#[tokio::test]
async fn claims_go_on_in_a_restored_store_that_lacks_their_shard() {
    let rig = StoreRig::start().await;
    let claims = claims(rig.store.clone());
    let copy = rig.platform.snapshot();
    assert_eq!(swap(&claims, KEY, 1).await, Swap::Done);
    rig.platform.restore(copy);
    assert_eq!(swap(&claims, OTHER_KEY, 2).await, Swap::Done);
    assert_eq!(claims.read(KEY).await.unwrap(), Some(claim(1)));
}
