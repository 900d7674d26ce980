//! How much a new map has to save, by the length of steps.

use std::time::Duration;

use bw_expert::policy::urgency::gain_needed;
use bw_expert::policy::urgency::is_calm;

const PAUSE: Duration = Duration::from_millis(120);

fn needed(step_ms: u64) -> f64 {
    gain_needed(Some(Duration::from_millis(step_ms)), PAUSE)
}

/// Demand shifts every four seconds on a calm day: steps go from 45 to 60 ms and no stream is late.
#[test]
fn shifts_that_make_no_stream_late_need_a_large_gain() {
    assert!(needed(45) >= 1.0);
    assert!(gain_needed(None, PAUSE) >= 1.0, "an idle group");
}

/// The same shifts while a backlog drains: steps come close to the timely pause.
#[test]
fn a_small_gain_is_enough_before_streams_become_late() {
    assert!(needed(80) <= 0.2);
    assert!(needed(500) <= 0.2, "steps far beyond it");
    let gains: Vec<f64> = (40..100).map(needed).collect();
    assert!(gains.windows(2).all(|pair| pair[1] <= pair[0]), "{gains:?}");
}

#[test]
fn streams_without_a_timely_pause_count_as_calm() {
    assert_eq!(gain_needed(Some(Duration::from_secs(1)), Duration::ZERO), needed(0));
}

#[test]
fn counts_are_of_use_once_steps_take_half_of_the_timely_pause() {
    assert!(is_calm(Some(Duration::from_millis(50)), PAUSE));
    assert!(is_calm(None, PAUSE), "an idle group");
    assert!(!is_calm(Some(Duration::from_millis(60)), PAUSE));
}
