//! Durations from outside the process.

use std::time::Duration;

use bw_model::span;
use bw_model::span::SPAN_MAX;

/// Guards against a gateway that ends because a sum of a time and a duration from outside overflows.
#[test]
fn durations_of_any_length_can_be_added_to_a_time() {
    for value in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300, 1.8e19, 0.25] {
        assert!(span::from_secs(value) <= SPAN_MAX);
        assert!(span::from_millis(value) <= SPAN_MAX);
    }
    assert_eq!(span::from_secs(1e300), SPAN_MAX);
    assert_eq!(span::from_whole_secs(u64::MAX), SPAN_MAX);
    assert_eq!(span::from_whole_millis(u64::MAX), SPAN_MAX);
    assert_eq!(span::from_secs(0.25), Duration::from_millis(250));
    assert_eq!(span::from_secs(-1.0), Duration::ZERO);
    assert_eq!(span::from_secs(f64::NAN), Duration::ZERO);
}
