//! Tests of which gateways watch the store and which follow a peer.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::relay::pick_source;
use bw_direct::relay::LocalPeer;
use bw_direct::relay::Source;

const STALE_AFTER: Duration = Duration::from_millis(1_400);

fn peer(instance: &str, store_age: Option<u64>) -> LocalPeer<String> {
    LocalPeer {
        instance: instance.to_string(),
        store_age: store_age.map(Duration::from_millis),
        address: instance.to_string(),
    }
}

fn source(own: &str, store_age: Option<u64>, peers: &[LocalPeer<String>]) -> Source<String> {
    pick_source(own, store_age.map(Duration::from_millis), peers, STALE_AFTER)
}

fn follows(own: &str, store_age: Option<u64>, peers: &[LocalPeer<String>]) -> Option<String> {
    match source(own, store_age, peers) {
        Source::Peer(address) => Some(address),
        Source::Store(_) => None,
    }
}

#[test]
fn the_first_gateway_watches_and_the_others_follow_it() {
    assert_eq!(follows("a", Some(100), &[peer("b", Some(200)), peer("c", None)]), None);
    let peers = [peer("a", Some(300)), peer("c", None)];
    assert_eq!(follows("b", Some(200), &peers), Some("a".to_string()));
    assert_eq!(follows("b", None, &peers), Some("a".to_string()));
}

#[test]
fn a_lone_gateway_watches_regardless_of_the_age_of_its_last_answer() {
    assert_eq!(follows("a", None, &[]), None);
    assert_eq!(follows("a", Some(60_000), &[]), None);
}

#[test]
fn a_gateway_without_answers_from_the_store_is_skipped() {
    // A follower of "a" contacts the store itself before changes are delayed.
    let stale = [peer("a", Some(1_600)), peer("c", Some(9_000))];
    assert_eq!(follows("b", Some(9_000), &stale), None);
    // "a" follows "b" as soon as the store answers "b".
    assert_eq!(follows("a", Some(1_700), &[peer("b", Some(50))]), Some("b".to_string()));
    // Once the store answers "a" again, "b" follows "a".
    assert_eq!(follows("b", Some(40), &[peer("a", Some(30))]), Some("a".to_string()));
}

#[test]
fn in_an_outage_gateways_contact_the_store_one_after_another() {
    // Shortly after the last answer, only the first gateway has contacted the store.
    let peers = [peer("a", Some(1_450)), peer("b", None)];
    assert_eq!(follows("c", None, &peers), Some("a".to_string()));
    let later = [peer("a", Some(1_700)), peer("b", None)];
    assert_eq!(follows("c", None, &later), None);
    // A gateway at a later position retries less often.
    let interval = |own: &str, peers: &[LocalPeer<String>]| match source(own, None, peers) {
        Source::Store(interval) => interval,
        Source::Peer(peer) => panic!("follows {peer}"),
    };
    assert!(interval("a", &[]) < interval("c", &[peer("a", None), peer("b", None)]));
}
