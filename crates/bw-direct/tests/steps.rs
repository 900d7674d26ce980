//! Shifts of demand as the pauses of streams show them.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::steps::StepTrack;

const STEP: Duration = Duration::from_millis(60);

/// Notes one step's pauses of ten streams.
fn step(track: &mut StepTrack, length: Duration, now: &mut Duration) {
    *now += length;
    for _ in 0..10 {
        track.note(length, *now);
    }
}

#[test]
fn steps_that_all_grow_at_once_are_a_jump() {
    let mut track = StepTrack::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        step(&mut track, STEP, &mut now);
        assert!(!track.has_jumped(now));
    }
    step(&mut track, STEP * 3 / 2, &mut now);
    step(&mut track, STEP * 3 / 2, &mut now);
    assert!(track.has_jumped(now));
    assert_eq!(track.usual(now), Some(STEP));
}

#[test]
fn a_few_slow_streams_are_no_jump() {
    let mut track = StepTrack::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        step(&mut track, STEP, &mut now);
        track.note(STEP * 4, now);
    }
    assert!(!track.has_jumped(now));
}

#[test]
fn without_streams_nothing_is_known() {
    let mut track = StepTrack::default();
    let mut now = Duration::from_secs(1);
    assert_eq!(track.present(now), None);
    step(&mut track, STEP, &mut now);
    assert_eq!(track.present(now), Some(STEP));
    assert_eq!(track.present(now + Duration::from_secs(1)), None);
    assert!(!track.has_jumped(now + Duration::from_secs(1)));
}
