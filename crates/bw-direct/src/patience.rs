//! How long callers wait, as the platform describes them.

use std::time::Duration;

use crate::catalog::Route;
use crate::catalog::RouteKind;

/// Shortest time without an event after which callers give a stream up.
const STREAM_GAP_MIN: Duration = Duration::from_secs(2);
/// The same in target latencies.
const STREAM_GAP_TARGETS: u32 = 4;
/// The same in longest timely pauses.
const STREAM_GAP_PAUSES: u32 = 8;
/// Target latencies that are left for the endpoint when a request has waited as long as it may.
const RESERVED_TARGETS: u32 = 1;

/// Time without an event after which callers give a stream up, also before its first event.
pub fn stream_gap(route: &Route) -> Duration {
    let targets = route.target * STREAM_GAP_TARGETS;
    let pauses = route.pause.unwrap_or_default() * STREAM_GAP_PAUSES;
    STREAM_GAP_MIN.max(targets).max(pauses)
}

/// Longest useful wait for an endpoint; who waits longer leaves before an answer comes.
pub fn wait_max(route: &Route) -> Duration {
    let given = match route.kind {
        RouteKind::Streaming => stream_gap(route).min(route.timeout),
        RouteKind::Safe | RouteKind::Unsafe => route.timeout,
    };
    given.saturating_sub(route.target * RESERVED_TARGETS)
}
