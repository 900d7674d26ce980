//! Decides at how many ranks the counts of chosen experts are read after a shift of demand.
//!
//! Load pattern: demand shifts every few seconds, and steps are already close to the longest timely pause. A rank
//! that is asked for its counts by another machine holds the whole group up, in proportion to their number, so
//! that reading many ranks at once makes late the very streams that the new map is for.

use std::time::Duration;

/// Divisor of the number of ranks that gives the number of ranks that show the demand well.
const RANKS_DIVISOR: usize = 18;
/// Largest number of ranks read at once.
const RANKS_MAX: usize = 6;
/// Largest part of the longest timely pause that one reading may take.
const PAUSE_FRACTION: f64 = 0.08;

/// Returns the number of ranks to read at once in a group of `ranks` ranks. `rest` is the time for which the
/// group rests for the counts of one rank; `max_pause` is the longest timely pause between events, zero when none
/// is configured.
pub fn ranks_to_read(ranks: usize, rest: Duration, max_pause: Duration) -> usize {
    let wanted = (ranks / RANKS_DIVISOR).clamp(1, RANKS_MAX);
    if max_pause.is_zero() || rest.is_zero() {
        return wanted;
    }
    let affordable = max_pause.mul_f64(PAUSE_FRACTION).as_secs_f64() / rest.as_secs_f64();
    wanted.min(affordable as usize).max(1)
}
