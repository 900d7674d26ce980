//! Heartbeats and digests that are reordered, repeated or lost.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_member::addresses::pick_addresses;
use bw_member::addresses::Candidate;
use bw_member::Address;
use bw_member::Health;
use bw_member::Heartbeat;
use bw_member::PeerState;
use bw_member::Roster;
use bw_model::Incarnation;
use bw_model::Version;
use proptest::prelude::*;

fn heartbeat(incarnation: u64, seq: u64, leaving: bool) -> Heartbeat {
    Heartbeat {
        instance: "gpu-1".to_string(),
        incarnation: Incarnation(incarnation),
        seq,
        leaving,
        version: Version(seq),
        interval: 500,
        load: None,
    }
}

fn peer(name: &str) -> PeerState {
    PeerState {
        instance: name.to_string(),
        incarnation: Incarnation(1),
        seq: 0,
        leaving: false,
        version: Version(0),
    }
}

#[test]
fn silence_lowers_preference_in_steps() {
    let mut roster = Roster::new(peer("entry-1"));
    assert_eq!(roster.agent_health("gpu-1", Duration::ZERO), Health::Gone);
    roster.record_heartbeat(heartbeat(1, 1, false), Duration::ZERO);
    let health = |seconds| roster.agent_health("gpu-1", Duration::from_secs(seconds));
    assert_eq!([health(1), health(10), health(60)], [Health::Live, Health::Quiet, Health::Gone]);
}

#[test]
fn a_leaving_endpoint_stays_leaving_within_its_incarnation() {
    let mut roster = Roster::new(peer("entry-1"));
    roster.record_heartbeat(heartbeat(1, 2, true), Duration::ZERO);
    roster.record_heartbeat(heartbeat(1, 3, false), Duration::ZERO);
    assert_eq!(roster.agent_health("gpu-1", Duration::ZERO), Health::Leaving);
    roster.record_heartbeat(heartbeat(2, 1, false), Duration::ZERO);
    assert_eq!(roster.agent_health("gpu-1", Duration::ZERO), Health::Live);
}

#[test]
fn a_digest_holds_only_what_was_not_sent_to_the_peer() {
    let mut first = Roster::new(peer("entry-1"));
    let mut second = Roster::new(peer("entry-2"));
    first.record_heartbeat(heartbeat(1, 1, false), Duration::ZERO);
    let digest = first.digest_for("entry-2", Duration::ZERO);
    assert_eq!(second.merge_digest(digest, Duration::ZERO).len(), 1);
    assert!(first.digest_for("entry-2", Duration::ZERO).heartbeats.is_empty());
    first.reset_sent("entry-2");
    assert_eq!(first.digest_for("entry-2", Duration::ZERO).heartbeats.len(), 1);
}

#[test]
fn addresses_are_local_first_then_one_per_data_centre_and_never_leaving() {
    let candidate = |number: u16, centre: &str, region: &str, health| Candidate {
        address: Address {
            http: format!("10.0.0.{number}:80").parse().unwrap(),
            centre: centre.to_string(),
        },
        region: region.to_string(),
        health,
        weight: u64::from(number),
    };
    let all = vec![
        candidate(1, "a", "r", Health::Live),
        candidate(2, "a", "r", Health::Leaving),
        candidate(3, "b", "r", Health::Live),
        candidate(4, "c", "s", Health::Live),
        candidate(5, "a", "r", Health::Quiet),
    ];
    let picked = pick_addresses(all.clone(), "a", "r");
    let centres: Vec<&str> = picked.iter().map(|address| address.centre.as_str()).collect();
    assert_eq!(centres, ["a", "b", "c"]);
    let silent = all.into_iter().filter(|one| one.health != Health::Live).collect();
    let picked = pick_addresses(silent, "a", "r");
    assert_eq!(picked.len(), 1, "a silent entry is listed when there is no live one: {picked:?}");
}

proptest! {
    #[test]
    fn sequence_numbers_never_decrease_within_an_incarnation(
        seqs in prop::collection::vec(0u64..20, 1..40),
    ) {
        let mut roster = Roster::new(peer("entry-1"));
        let mut highest = 0;
        for seq in seqs {
            roster.record_heartbeat(heartbeat(1, seq, false), Duration::ZERO);
            highest = highest.max(seq);
            prop_assert_eq!(roster.agent("gpu-1").map(|heartbeat| heartbeat.seq), Some(highest));
        }
    }
}
