//! Who watches the store, and who follows whom.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::relay::pick_source;
use bw_direct::relay::Near;
use bw_direct::relay::Source;

const BLIND: Duration = Duration::from_millis(1_400);

fn near(instance: &str, store: Option<u64>) -> Near<String> {
    Near {
        instance: instance.to_string(),
        store: store.map(Duration::from_millis),
        address: instance.to_string(),
    }
}

fn source(own: &str, store: Option<u64>, peers: &[Near<String>]) -> Source<String> {
    pick_source(own, store.map(Duration::from_millis), peers, BLIND)
}

fn follows(own: &str, store: Option<u64>, peers: &[Near<String>]) -> Option<String> {
    match source(own, store, peers) {
        Source::Peer(address) => Some(address),
        Source::Store(_) => None,
    }
}

#[test]
fn the_first_entry_watches_and_the_others_follow_it() {
    assert_eq!(follows("a", Some(100), &[near("b", Some(200)), near("c", None)]), None);
    let before = [near("a", Some(300)), near("c", None)];
    assert_eq!(follows("b", Some(200), &before), Some("a".to_string()));
    assert_eq!(follows("b", None, &before), Some("a".to_string()));
}

#[test]
fn an_entry_alone_watches_however_old_its_last_answer_is() {
    assert_eq!(follows("a", None, &[]), None);
    assert_eq!(follows("a", Some(60_000), &[]), None);
}

#[test]
fn an_entry_that_the_store_does_not_answer_is_passed_over() {
    // The follower of "a" turns to the store itself before a change could be late.
    let blind = [near("a", Some(1_600)), near("c", Some(9_000))];
    assert_eq!(follows("b", Some(9_000), &blind), None);
    // "a" follows "b" as soon as that one has answers.
    assert_eq!(follows("a", Some(1_700), &[near("b", Some(50))]), Some("b".to_string()));
    // Back at the store, it watches again, and "b" follows.
    assert_eq!(follows("b", Some(40), &[near("a", Some(30))]), Some("a".to_string()));
}

#[test]
fn in_an_outage_entries_turn_to_the_store_one_after_the_other() {
    // Shortly after the last answer only the first one has tried.
    let peers = [near("a", Some(1_450)), near("b", None)];
    assert_eq!(follows("c", None, &peers), Some("a".to_string()));
    let later = [near("a", Some(1_700)), near("b", None)];
    assert_eq!(follows("c", None, &later), None);
    // The later an entry's place, the less often it tries.
    let pause = |own: &str, peers: &[Near<String>]| match source(own, None, peers) {
        Source::Store(pause) => pause,
        Source::Peer(peer) => panic!("follows {peer}"),
    };
    assert!(pause("a", &[]) < pause("c", &[near("a", None), near("b", None)]));
}
