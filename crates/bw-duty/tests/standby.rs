//! Replays of holders of a duty that leave, fall silent or come back.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_duty::Standby;
use bw_model::Fence;

/// Interval between two rounds of news.
const ROUND: Duration = Duration::from_millis(100);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a process that has just received news from the holder with fencing number 7.
fn with_holder() -> Standby {
    let mut standby = Standby::new(ms(0));
    standby.observe("a", Some(Fence(7)), false, ms(1_000));
    standby
}

/// Instances restart one after another. The duty moves while its holder still serves its last requests,
/// so nobody is without it.
#[test]
fn the_first_in_order_takes_over_at_once_from_a_holder_that_leaves() {
    let mut standby = with_holder();
    assert!(!standby.should_try(0, ROUND, ms(1_010)));
    standby.observe("a", Some(Fence(7)), true, ms(1_100));
    assert!(standby.should_try(0, ROUND, ms(1_110)));
    assert!(!standby.should_try(1, ROUND, ms(1_110)));
    // News that repeats the announcement does not extend the wait of the second in order.
    standby.observe("a", Some(Fence(7)), true, ms(1_200));
    standby.observe("a", Some(Fence(7)), true, ms(1_300));
    assert!(standby.should_try(1, ROUND, ms(1_410)));
}

#[test]
fn a_holder_that_gave_the_duty_up_is_not_waited_for() {
    let mut standby = with_holder();
    standby.observe("b", None, false, ms(1_050));
    assert!(!standby.should_try(0, ROUND, ms(1_060)));
    standby.observe("a", None, false, ms(1_100));
    assert!(standby.should_try(0, ROUND, ms(1_110)));
}

#[test]
fn a_silent_holder_is_replaced_after_several_rounds_without_news() {
    let standby = with_holder();
    assert!(!standby.should_try(0, ROUND, ms(1_400)));
    assert!(standby.should_try(0, ROUND, ms(1_500)));
    assert!(!standby.should_try(1, ROUND, ms(1_500)));
    assert!(standby.should_try(1, ROUND, ms(1_800)));
    // Where news comes seldom, a holder is silent later.
    assert!(!standby.should_try(0, ms(250), ms(1_600)));
    assert!(standby.should_try(0, ms(250), ms(1_900)));
}

#[test]
fn a_new_holder_ends_the_vacancy() {
    let mut standby = with_holder();
    standby.observe("a", Some(Fence(7)), true, ms(1_100));
    standby.observe("b", Some(Fence(8)), false, ms(1_200));
    assert!(!standby.should_try(0, ROUND, ms(1_300)));
    // The former holder does not know yet that it was replaced.
    standby.observe("a", Some(Fence(7)), true, ms(1_300));
    assert!(!standby.should_try(0, ROUND, ms(1_310)));
}

#[test]
fn a_holder_learns_that_it_was_replaced() {
    let mut standby = with_holder();
    standby.acquire(Fence(8));
    standby.observe("a", Some(Fence(7)), false, ms(2_000));
    assert_eq!(standby.held(), Some(Fence(8)));
    standby.observe("b", Some(Fence(9)), false, ms(2_100));
    assert_eq!(standby.held(), None);
}

#[test]
fn a_failed_try_is_followed_by_a_pause() {
    let mut standby = with_holder();
    standby.observe("a", Some(Fence(7)), true, ms(1_100));
    standby.record_failure(ms(1_150));
    standby.observe("a", Some(Fence(7)), true, ms(1_200));
    assert!(!standby.should_try(0, ROUND, ms(1_300)));
    assert!(standby.should_try(0, ROUND, ms(1_600)));
}

/// The store returns from a copy without the lease while its holder goes on.
#[test]
fn a_number_is_higher_than_all_that_the_store_has_lost() {
    let lost = Fence::new(1, 7);
    let restored = Fence::new(1, 4);
    // A process that has never heard of the lost holders.
    let fresh = Standby::new(ms(0));
    assert!(fresh.next_fence(restored, 2) > lost);
    assert!(fresh.next_fence(Fence(0), 2) > lost);
    // Two restores in a row, and a lease that was written in the first era after it.
    let second = fresh.next_fence(restored, 2);
    assert!(fresh.next_fence(restored, 3) > second);
    assert!(fresh.next_fence(second, 3) > second);
}

/// The count of holders selects the rank at which a driver holds steps, so that drivers after one another
/// must differ in it, too.
#[test]
fn the_count_of_holders_exceeds_that_of_all_known_ones() {
    let mut standby = with_holder();
    standby.observe("b", Some(Fence::new(1, 9)), false, ms(1_200));
    assert_eq!(standby.next_fence(Fence::new(1, 4), 2), Fence::new(2, 10));
    assert_eq!(standby.next_fence(Fence::new(1, 12), 2), Fence::new(2, 13));
    assert_eq!(standby.next_fence(Fence::new(2, 12), 1), Fence::new(2, 13));
}

/// 99 gateways send news every 495 ms, and the holder its own to the first three every 150 ms. A gateway
/// that misses some news in a row does not take the duty from a holder that is well.
#[test]
fn lost_news_do_not_cost_a_holder_the_duty_in_a_large_deployment() {
    let (round, beat) = (ms(495), ms(150));
    let standby = with_holder();
    for position in 0..3 {
        // Three of its beats are lost.
        assert!(!standby.should_try(position, beat, ms(1_000 + 4 * 150 + 20)), "{position}");
    }
    for position in 3..99 {
        // Two of its rounds are lost.
        let late = ms(1_000 + 3 * 495 + 20);
        assert!(!standby.should_try(position, round, late), "{position}");
    }
    // The first one in order still takes over in less than a second.
    assert!(standby.should_try(0, beat, ms(1_000 + 750)));
}

/// With rounds of a second, as in a deployment of 380 gateways.
#[test]
fn the_order_of_candidates_keeps_the_distance_of_a_round() {
    let standby = with_holder();
    let round = ms(1_000);
    assert!(!standby.should_try(3, round, ms(1_000 + 3 * 1_000 + 500)));
    assert!(standby.should_try(3, round, ms(1_000 + 4 * 1_000)));
}

/// The ranks of a group have versions of a holder whose lease the store has lost.
#[test]
fn a_duty_is_renewed_at_once_with_a_higher_count_of_holders() {
    let mut standby = Standby::new(ms(0));
    let first = standby.next_fence(Fence(0), 2);
    standby.acquire(first);
    standby.renew(6, ms(1_000));
    assert_eq!(standby.held(), None);
    assert!(standby.should_try(3, ROUND, ms(1_000)));
    assert_eq!(standby.next_fence(first, 2), Fence::new(2, 7));
    standby.acquire(Fence::new(2, 7));
    assert_eq!(standby.held(), Some(Fence::new(2, 7)));
    // Another process was first.
    standby.renew(9, ms(2_000));
    standby.observe("c", Some(Fence::new(2, 8)), false, ms(2_010));
    assert!(!standby.should_try(0, ROUND, ms(2_010)));
    assert_eq!(standby.next_fence(Fence::new(2, 8), 2), Fence::new(2, 10));
}
