//! Steps of a group, as ranks report them.

use std::time::Duration;

use bw_expert::drive::StepEstimate;

const LENGTH: Duration = Duration::from_millis(20);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns the estimate after reports of steps of 25 ms, the last one of step 140 at 1 s.
fn known() -> StepEstimate {
    let mut estimate = StepEstimate::new(LENGTH);
    assert!(estimate.record(100, ms(0)));
    assert!(estimate.record(120, ms(500)));
    assert!(estimate.record(140, ms(1_000)));
    estimate
}

#[test]
fn the_expected_step_follows_from_the_length_between_reports() {
    let estimate = known();
    assert_eq!(estimate.last_step(), 140);
    assert_eq!(estimate.expected(None, ms(1_050)), 142);
    assert_eq!(estimate.expected(Some(ms(10)), ms(1_050)), 145);
    // Not far ahead of what is known.
    assert_eq!(estimate.expected(None, ms(60_000)), 150);
}

/// Guards against ranks that are armed for a step minutes ahead because a digit in one report is wrong.
#[test]
fn a_step_far_ahead_in_one_report_is_not_believed() {
    let mut estimate = known();
    assert!(!estimate.record(9_150, ms(1_250)));
    assert!(!estimate.record(15, ms(1_300)));
    assert_eq!(estimate.last_step(), 140);
    assert!(estimate.record(160, ms(1_500)));
    assert_eq!(estimate.expected(None, ms(1_550)), 162);
}

#[test]
fn a_first_step_that_was_wrong_is_replaced_by_two_reports_that_agree() {
    let mut estimate = StepEstimate::new(LENGTH);
    assert!(estimate.record(9_100, ms(0)));
    assert!(!estimate.record(120, ms(500)));
    assert!(estimate.record(140, ms(1_000)));
    assert_eq!(estimate.last_step(), 140);
}

/// Guards against a division by zero when a step is 2^32 ahead of the last one.
#[test]
fn no_step_ends_the_process() {
    let mut estimate = StepEstimate::new(LENGTH);
    for step in [7, 7 + (1 << 32), 7 + (2 << 32), u64::MAX, 0, u64::MAX, u64::MAX] {
        for at in [0, 1, 5_000_000_000] {
            estimate.record(step, ms(at));
            estimate.expected(None, ms(at + 100));
        }
    }
}
