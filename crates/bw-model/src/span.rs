//! Durations from outside the process, bounded so that sums with points in time cannot overflow.

use std::time::Duration;

/// Longest duration that is taken from outside; longer ones count as this one.
pub const SPAN_MAX: Duration = Duration::from_secs(24 * 3_600);

/// Returns a number of seconds as a duration of at most [`SPAN_MAX`]. What is negative or no number is zero.
pub fn from_secs(seconds: f64) -> Duration {
    if seconds.is_nan() {
        return Duration::ZERO;
    }
    let seconds = seconds.clamp(0.0, SPAN_MAX.as_secs_f64());
    Duration::try_from_secs_f64(seconds).unwrap_or(SPAN_MAX)
}

/// Returns a number of milliseconds as a duration, as [`from_secs`] does.
pub fn from_millis(millis: f64) -> Duration {
    from_secs(millis / 1_000.0)
}

/// Returns a whole number of milliseconds as a duration of at most [`SPAN_MAX`].
pub fn from_whole_millis(millis: u64) -> Duration {
    Duration::from_millis(millis).min(SPAN_MAX)
}

/// Returns a whole number of seconds as a duration of at most [`SPAN_MAX`].
pub fn from_whole_secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds).min(SPAN_MAX)
}
