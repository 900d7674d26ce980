//! Replays of a rank that turns slow while its group is under load.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_direct::evacuation::should_evacuate;

/// Ranks of the group.
const RANKS: usize = 16;
/// Streams at each rank when the slow one turns slow.
const STREAMS: usize = 5;
/// Events that a stream still has to send.
const EVENTS: usize = 20;
/// Length of a step that no rank delays, in milliseconds.
const STEP_MS: f64 = 60.0;
/// Own work of a rank in a step while it has requests, in milliseconds.
const OWN_MS: f64 = 30.0;
/// Longest timely pause in milliseconds.
const PAUSE_MS: f64 = 120.0;

/// Returns the number of steps that are too long for timely streams until the streams of the slow rank
/// have ended; `moves` tells whether its streams move to other ranks after the first long step.
fn late_steps<F>(pace: f64, moves: F) -> usize
where
    F: Fn(f64, &[f64]) -> bool,
{
    let mut at_slow_rank = STREAMS;
    let mut late = 0;
    for step in 0..EVENTS {
        let own = if at_slow_rank > 0 { OWN_MS * pace } else { OWN_MS };
        late += usize::from(STEP_MS - OWN_MS + own > PAUSE_MS);
        if step > 0 && moves(pace, &[pace]) {
            at_slow_rank = 0;
        }
    }
    late
}

#[test]
fn streams_leave_a_slow_rank_so_that_its_group_is_timely_again() {
    let stays = late_steps(3.5, |_, _| false);
    let leaves = late_steps(3.5, |pace, slow| should_evacuate(pace, slow, RANKS));
    assert_eq!((stays, leaves), (EVENTS, 2));
}

#[test]
fn streams_stay_at_ranks_that_are_hardly_slow() {
    assert!(!should_evacuate(1.6, &[1.6], RANKS));
    assert!(!should_evacuate(1.0, &[3.5], RANKS));
}

/// Streams of many slow ranks would crowd the few others, and each of them would be read again.
#[test]
fn no_rank_is_evacuated_while_many_are_slow() {
    let four = [3.0; 4];
    assert!(should_evacuate(3.0, &four, RANKS));
    let five = [3.0; 5];
    assert!(!should_evacuate(3.0, &five, RANKS));
    assert!(!should_evacuate(3.0, &[3.0], 3));
}
