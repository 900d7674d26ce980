//! Limits on waits, derived from the times after which callers give up according to the platform.

use std::time::Duration;

use crate::catalog::Route;
use crate::catalog::RouteKind;

/// Lower bound on the time without an event after which callers abandon a stream.
const STREAM_GAP_MIN: Duration = Duration::from_secs(2);
/// The same limit as a multiple of the target latency.
const STREAM_GAP_TARGETS: u32 = 4;
/// The same limit as a multiple of the longest timely pause.
const STREAM_GAP_PAUSES: u32 = 8;
/// Time without an event after which a stream counts as stalled, as a multiple of the time for which callers
/// stay.
const STALL_FACTOR: f64 = 1.5;
/// Target latencies reserved for the endpoint's work when a request has waited for the maximum
/// time.
const RESERVED_TARGETS: u32 = 1;

/// Returns the time without an event after which callers abandon a stream. The limit also applies
/// to the first event.
pub fn stream_gap(route: &Route) -> Duration {
    let targets = route.target * STREAM_GAP_TARGETS;
    let pauses = route.pause.unwrap_or_default() * STREAM_GAP_PAUSES;
    STREAM_GAP_MIN.max(targets).max(pauses)
}

/// Returns the time without a whole event after which an endpoint's stream counts as stalled. It is longer
/// than callers stay, so that a stream that its caller is about to abandon is not resumed elsewhere.
pub fn stall_max(route: &Route) -> Duration {
    stream_gap(route).mul_f64(STALL_FACTOR)
}

/// Returns the longest useful wait for an endpoint. After a longer wait the caller would give up
/// before the answer arrives.
pub fn wait_max(route: &Route) -> Duration {
    let given = match route.kind {
        RouteKind::Streaming => stream_gap(route).min(route.timeout),
        RouteKind::Safe | RouteKind::Unsafe => route.timeout,
    };
    given.saturating_sub(route.target * RESERVED_TARGETS)
}
