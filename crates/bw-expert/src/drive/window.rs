//! Decides how many commands that carry a map may be under way at once.
//!
//! Load pattern: a map for a group of hundreds of ranks is a few tens of kilobytes, and is sent to each rank
//! over a link of some tens of megabits a second. All at once would fill the link for a second: answers would
//! seem to be lost, and everything else that the process sends would wait behind the maps.

/// Bytes of maps under way, which keep a link busy without a long queue.
const WINDOW_BYTES: usize = 256 << 10;
/// Least number of maps under way.
const MAPS_MIN: usize = 4;

/// Returns the number of maps of `bytes` bytes that may be sent now, with `pending` of them under way.
pub fn maps_allowed(bytes: usize, pending: usize) -> usize {
    let most = (WINDOW_BYTES / bytes.max(1)).max(MAPS_MIN);
    most.saturating_sub(pending)
}
