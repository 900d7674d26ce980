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
