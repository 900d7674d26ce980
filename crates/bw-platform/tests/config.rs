//! The accepted configuration in a store that returns from an older copy of itself.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use bw_conf::Document;
use bw_model::Version;
use bw_platform::config::Applied;
use bw_platform::ConfigStore;
use bw_platform::Object;
use common::StoreRig;

fn document(text: &str) -> Document {
    let properties = vec![("key".to_string(), text.to_string())];
    Document { sections: BTreeMap::from([("section".to_string(), properties)]) }
}

async fn apply(config: &ConfigStore, text: &str) -> Version {
    let read = config.head().await.unwrap();
    match config.apply(&document(text), &read).await.unwrap() {
        Applied::Accepted(version) => version,
        Applied::Superseded(version) => panic!("superseded by {version}"),
    }
}

/// Processes that have the lost version in force would take the other one for the same.
#[tokio::test]
async fn a_version_that_a_restored_store_has_lost_is_not_given_to_another_configuration() {
    let rig = StoreRig::start().await;
    let config = ConfigStore::new(rig.store.clone());
    assert_eq!(apply(&config, "first").await, Version(1));
    let copy = rig.platform.snapshot();
    let mut lost = Version(1);
    for text in ["second", "third", "fourth"] {
        lost = apply(&config, text).await;
    }
    assert_eq!(lost, Version(4));
    rig.platform.restore(copy.clone());
    let next = apply(&config, "fifth").await;
    assert!(next > lost, "{next} after {lost}");
    assert_eq!(apply(&config, "sixth").await.0, next.0 + 1);
    rig.platform.restore(copy);
    assert!(apply(&config, "seventh").await.0 > next.0 + 1);
}

/// The revisions of the restored store are below the one that is watched from.
#[tokio::test]
async fn a_configuration_accepted_after_a_restore_is_seen_by_a_watch_from_before() {
    let rig = StoreRig::start().await;
    let config = ConfigStore::new(rig.store.clone());
    apply(&config, "first").await;
    let copy = rig.platform.snapshot();
    for number in 0..200 {
        let other = Object::new("others", &format!("o-{number}"), 0, &number).unwrap();
        rig.platform.change(|objects| objects.create(other)).unwrap();
    }
    apply(&config, "lost").await;
    let mut known = config.head().await.unwrap();
    rig.platform.restore(copy);
    apply(&config, "second").await;
    for _ in 0..5 {
        let seen = config.watch(known.position(), Duration::from_secs(1)).await.unwrap();
        known = seen.unwrap_or(known);
    }
    assert_eq!(known.head, config.head().await.unwrap().head);
}
