//! Number of maps under way to the ranks of a group.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_expert::drive::maps_allowed;
use bw_expert::drive::CommandOutcome;
use bw_expert::drive::Driver;
use bw_expert::drive::RankState;
use bw_model::Fence;

/// A map for 192 ranks and 10 sets fills a link of 40 Mbit/s for 5 ms, and 192 of them for a second.
#[test]
fn maps_to_a_large_group_are_sent_a_few_at_a_time() {
    let bytes = 26_000;
    let allowed = maps_allowed(bytes, 0);
    assert!((5..=20).contains(&allowed), "{allowed}");
    assert_eq!(maps_allowed(bytes, allowed), 0);
    assert_eq!(maps_allowed(bytes, allowed - 1), 1);
}

#[test]
fn maps_to_a_small_group_are_sent_at_once() {
    assert!(maps_allowed(1_500, 0) >= 72);
    // A map of any size gets through.
    assert!(maps_allowed(usize::MAX, 0) > 0);
}

#[test]
fn a_driver_sends_maps_to_all_ranks_in_turn() {
    let mut driver = Driver::new(4, Fence(1));
    for rank in 0..4 {
        driver.handle_report(rank, RankState { epoch: 1, open: true, ..RankState::default() });
    }
    assert!(driver.start_switch().is_some() && driver.sends_maps());
    let first = driver.due_commands_within(2);
    assert_eq!((first.len(), driver.pending()), (2, 2));
    driver.handle_outcome(&first[0], CommandOutcome::Done);
    assert_eq!(driver.pending(), 1);
    // One that got no answer is sent again.
    driver.handle_outcome(&first[1], CommandOutcome::Unknown);
    let ranks: Vec<u16> = driver.due_commands().iter().map(|command| command.rank).collect();
    assert_eq!(ranks, [1, 2, 3]);
    assert!(!driver.is_prepared());
}
