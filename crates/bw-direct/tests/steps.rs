//! Tests of the detection of demand shifts from the pauses of streams.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::steps::StepTracker;

const STEP: Duration = Duration::from_millis(60);

/// Records the pauses of ten streams in one step.
fn step(tracker: &mut StepTracker, length: Duration, now: &mut Duration) {
    *now += length;
    for _ in 0..10 {
        tracker.record(length, *now);
    }
}

#[test]
fn a_simultaneous_increase_of_all_steps_is_a_jump() {
    let mut tracker = StepTracker::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        step(&mut tracker, STEP, &mut now);
        assert!(!tracker.has_jumped(now));
    }
    step(&mut tracker, STEP * 3 / 2, &mut now);
    step(&mut tracker, STEP * 3 / 2, &mut now);
    assert!(tracker.has_jumped(now));
    assert_eq!(tracker.baseline(now), Some(STEP));
}

#[test]
fn a_few_slow_streams_are_not_a_jump() {
    let mut tracker = StepTracker::default();
    let mut now = Duration::from_secs(1);
    for _ in 0..40 {
        step(&mut tracker, STEP, &mut now);
        tracker.record(STEP * 4, now);
    }
    assert!(!tracker.has_jumped(now));
}

#[test]
fn without_streams_there_is_no_estimate() {
    let mut tracker = StepTracker::default();
    let mut now = Duration::from_secs(1);
    assert_eq!(tracker.current(now), None);
    step(&mut tracker, STEP, &mut now);
    assert_eq!(tracker.current(now), Some(STEP));
    assert_eq!(tracker.current(now + Duration::from_secs(1)), None);
    assert!(!tracker.has_jumped(now + Duration::from_secs(1)));
}
