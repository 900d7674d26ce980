//! Lists and changes that a mirror returns to followers.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_gateway::mirror::Mirror;
use bw_model::Position;

/// Returns the position of a revision in the first era.
fn at(revision: u64) -> Position {
    Position::new(1, revision)
}

fn object(name: &str, content: &str) -> Object {
    let content = serde_json::json!(content);
    Object { kind: "k".to_string(), name: name.to_string(), content, ..Object::default() }
}

fn change(name: &str, content: &str, removed: bool) -> Change {
    Change { object: object(name, content), removed }
}

fn changed_after(mirror: &Mirror, after: u64) -> Vec<(String, bool)> {
    let changes = mirror.changes("k", at(after)).unwrap();
    changes.events.into_iter().map(|event| (event.object.name, event.removed)).collect()
}

#[test]
fn a_follower_receives_the_changes_after_its_revision() {
    let mut mirror = Mirror::default();
    assert!(mirror.changes("k", at(0)).is_none());
    mirror.replace("k", vec![object("a", "1"), object("b", "1")], at(10), &[]);
    mirror.apply("k", vec![change("a", "2", false)], at(12));
    mirror.apply("k", vec![change("b", "1", true)], at(15));
    assert_eq!(changed_after(&mirror, 10), [("b".to_string(), true), ("a".to_string(), false)]);
    assert_eq!(changed_after(&mirror, 12), [("b".to_string(), true)]);
    assert!(changed_after(&mirror, 15).is_empty());
    assert_eq!(mirror.changes("k", at(12)).unwrap().position(), at(15));
}

#[test]
fn many_versions_of_an_object_are_kept_as_the_last_one() {
    let mut mirror = Mirror::default();
    mirror.replace("k", vec![object("main", "0")], at(1), &[]);
    for version in 2..2_000u64 {
        mirror.apply("k", vec![change("main", &version.to_string(), false)], at(version));
    }
    assert_eq!(changed_after(&mirror, 1), [("main".to_string(), false)]);
    assert_eq!(mirror.list("k").unwrap().items.len(), 1);
}

#[test]
fn retained_objects_survive_a_list_without_them() {
    let mut mirror = Mirror::default();
    mirror.replace("k", vec![object("a", "1"), object("b", "1")], at(10), &[]);
    mirror.replace("k", vec![], at(11), &["a".to_string()]);
    assert_eq!(changed_after(&mirror, 10), [("b".to_string(), true)]);
    mirror.replace("k", vec![], at(12), &[]);
    assert_eq!(changed_after(&mirror, 11), [("a".to_string(), true)]);
}

#[test]
fn discarded_removals_require_a_complete_list() {
    let mut mirror = Mirror::default();
    mirror.replace("k", Vec::new(), at(1), &[]);
    for number in 2..1_000u64 {
        let name = format!("o-{number}");
        mirror.apply("k", vec![change(&name, "", false)], at(number * 2));
        mirror.apply("k", vec![change(&name, "", true)], at(number * 2 + 1));
    }
    assert!(mirror.changes("k", at(1)).is_none());
    assert!(mirror.changes("k", at(1_990)).is_some());
}
