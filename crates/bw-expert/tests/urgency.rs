//! Tests of the gain that a new map has to bring, by the length of steps.

use std::time::Duration;

use bw_expert::policy::urgency::gain_needed;
use bw_expert::policy::urgency::is_low_load;

const PAUSE: Duration = Duration::from_millis(120);

fn required_gain(step_ms: u64) -> f64 {
    gain_needed(Some(Duration::from_millis(step_ms)), PAUSE)
}

/// Demand shifts every four seconds under low load: steps lengthen from 45 to 60 ms and no stream
/// is late.
#[test]
fn shifts_that_delay_no_stream_require_a_large_gain() {
    assert!(required_gain(45) >= 1.0);
    assert!(gain_needed(None, PAUSE) >= 1.0, "an idle group");
}

/// The same shifts while a backlog drains: the length of steps approaches the timely pause.
#[test]
fn a_small_gain_suffices_before_streams_become_late() {
    assert!(required_gain(80) <= 0.2);
    assert!(required_gain(500) <= 0.2, "steps far longer than the timely pause");
    let gains: Vec<f64> = (40..100).map(required_gain).collect();
    assert!(gains.windows(2).all(|pair| pair[1] <= pair[0]), "{gains:?}");
}

#[test]
fn streams_without_a_timely_pause_count_as_low_load() {
    assert_eq!(gain_needed(Some(Duration::from_secs(1)), Duration::ZERO), required_gain(0));
}

#[test]
fn load_is_no_longer_low_once_steps_take_half_of_the_timely_pause() {
    assert!(is_low_load(Some(Duration::from_millis(50)), PAUSE));
    assert!(is_low_load(None, PAUSE), "an idle group");
    assert!(!is_low_load(Some(Duration::from_millis(60)), PAUSE));
}
