//! Drivers that hear nothing from their ranks.

use std::time::Duration;

use bw_expert::drive::Hearing;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_driver_without_answers_is_cut_off() {
    let mut hearing = Hearing::new(ms(0));
    hearing.record(ms(1_000));
    assert!(!hearing.is_cut_off(ms(2_200)));
    assert!(hearing.is_cut_off(ms(2_201)));
}

/// An idle group is asked for reports every 1.5 s only.
#[test]
fn a_driver_that_has_asked_nothing_for_long_is_not_cut_off() {
    let mut hearing = Hearing::new(ms(0));
    for tick in 0..100 {
        // No call is under way until 1.5 s, then some are.
        hearing.record(ms(tick * 15));
    }
    assert!(!hearing.is_cut_off(ms(1_500)));
    assert!(!hearing.is_cut_off(ms(2_600)));
}
