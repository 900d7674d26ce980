//! Tests of the parts into which amounts are divided that all gateways may spend together.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::peers::draw_addresses;
use bw_direct::peers::Peers;
use common::address;
use common::news;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(10);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Receives news of a peer; `now` also is the number of the news.
fn hear(peers: &mut Peers, instance: &str, leaving: bool, now: Duration) {
    let news = news(instance, 1, now.as_secs() + 1, leaving);
    peers.receive(&news, now);
    peers.forget_gone(WINDOW, now);
}

/// Returns a gateway that has just heard of the given peers.
fn hearing(instances: &[&str]) -> Peers {
    let mut peers = Peers::new("own".to_string());
    for instance in instances {
        hear(&mut peers, instance, false, seconds(0));
    }
    peers
}

#[test]
fn a_peer_that_leaves_keeps_its_part_until_a_window_after_its_last_news() {
    let mut peers = hearing(&["b", "c"]);
    hear(&mut peers, "c", true, seconds(5));
    hear(&mut peers, "b", false, seconds(15));
    assert_eq!(peers.part_count(WINDOW, seconds(15)), Some(3));
    assert_eq!(peers.part_count(WINDOW, seconds(16)), Some(2));
}

#[test]
fn a_silent_peer_keeps_its_part_until_it_is_taken_for_gone() {
    let mut peers = hearing(&["b", "c"]);
    for now in (0..600).step_by(10) {
        hear(&mut peers, "b", false, seconds(now));
        assert_eq!(peers.part_count(WINDOW, seconds(now)), Some(3));
    }
    hear(&mut peers, "b", false, seconds(601));
    assert_eq!(peers.part_count(WINDOW, seconds(601)), Some(2));
}

#[test]
fn a_peer_that_was_never_heard_has_a_part() {
    let mut peers = hearing(&["b"]);
    peers.add(address("c"), seconds(1));
    assert_eq!(peers.part_count(WINDOW, seconds(2)), Some(3));
}

/// Two of five gateways hear only each other; the others hear three.
#[test]
fn the_smaller_side_of_a_cut_has_no_part_once_the_larger_one_forgets_it() {
    let mut smaller = hearing(&["b", "c", "d", "e"]);
    let mut larger = hearing(&["a", "b", "d", "e"]);
    for now in 1..2_000 {
        let at = seconds(now);
        hear(&mut smaller, "b", false, at);
        hear(&mut larger, "d", false, at);
        hear(&mut larger, "e", false, at);
        let part =
            |peers: &Peers| peers.part_count(WINDOW, at).map_or(0.0, |parts| 1.0 / parts as f64);
        let all = 2.0 * part(&smaller) + 3.0 * part(&larger);
        assert!(all <= 1.0 + 1e-9, "{all} at {now} s");
        assert!(part(&larger) > 0.0, "at {now} s");
    }
    assert_eq!(larger.part_count(WINDOW, seconds(2_000)), Some(3));
}

#[test]
fn a_gateway_that_hears_nobody_for_long_has_no_part_and_forgets_nobody() {
    let mut peers = hearing(&["b", "c"]);
    for now in [591, 601, 5_000] {
        peers.forget_gone(WINDOW, seconds(now));
        assert_eq!(peers.part_count(WINDOW, seconds(now)), None, "at {now} s");
    }
    hear(&mut peers, "b", false, seconds(5_001));
    assert_eq!(peers.part_count(WINDOW, seconds(5_001)), Some(2));
}

/// A caller takes 64 addresses; the directory of a deployment of 99 gateways must not give the same 64 each time.
#[test]
fn callers_of_a_large_deployment_get_every_gateway_equally_often() {
    let socket = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let all: Vec<SocketAddr> = (1..=99).map(socket).collect();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut drawn: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let one = draw_addresses(&all, 64, &mut random);
        assert_eq!(one.iter().collect::<BTreeSet<_>>().len(), 64);
        one.into_iter().for_each(|address| *drawn.entry(address).or_default() += 1);
    }
    assert_eq!(drawn.len(), 99);
    // 646 in the mean, with a standard deviation of 15.
    assert!(drawn.values().all(|count| (550..750).contains(count)), "{drawn:?}");
    assert_eq!(draw_addresses(&all[..3], 64, &mut random).len(), 3);
}

/// The store cannot be reached from its start, and no peer is heard: others may be spending all there is.
#[test]
fn a_gateway_that_knows_of_no_other_has_no_part_until_it_has_read_the_list() {
    let mut peers = Peers::new("a".to_string());
    assert_eq!(peers.part_count(WINDOW, seconds(60)), None);
    assert_eq!(peers.part_owners(WINDOW, seconds(60)), None);
    peers.record_listed();
    assert_eq!(peers.part_count(WINDOW, seconds(60)), Some(1));
}

/// 380 gateways send news every second, and one datagram in a hundred is lost.
#[test]
fn a_peer_whose_news_are_late_by_a_round_stays_in_use_in_a_large_deployment() {
    let mut peers = Peers::new("a".to_string());
    let instances: Vec<String> = (0..379).map(|number| format!("b-{number}")).collect();
    for instance in &instances {
        hear(&mut peers, instance, false, seconds(1));
    }
    assert_eq!(peers.live_count(seconds(3) + Duration::from_millis(200)), 380);
    assert_eq!(peers.live_count(seconds(4)), 1);
    let mut small = Peers::new("a".to_string());
    hear(&mut small, "b", false, seconds(1));
    assert_eq!(small.live_count(seconds(2)), 2);
    assert_eq!(small.live_count(seconds(3)), 1);
}
