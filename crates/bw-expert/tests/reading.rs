//! Ranks whose counts are read after a shift of demand.

use std::time::Duration;

use bw_expert::policy::reading::ranks_to_read;

/// Time for which a group rests for each count that another machine reads.
const REST: Duration = Duration::from_nanos(1_250);

fn rest(counts: u32) -> Duration {
    REST * counts
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// 192 ranks with 10 sets of 384 experts: reading six ranks would hold a step of 127 ms up by 29 ms, beyond the
/// 150 ms that are timely.
#[test]
fn reading_does_not_make_streams_late_on_a_large_group() {
    let ranks = ranks_to_read(192, rest(10 * 384), ms(150));
    let step = ms(127) + rest(10 * 384) * ranks as u32;
    assert!(ranks >= 1 && step < ms(140), "{ranks} ranks, {step:?}");
}

#[test]
fn groups_with_few_counts_are_read_at_a_part_of_their_ranks() {
    assert_eq!(ranks_to_read(72, rest(12 * 144), ms(120)), 4);
    assert_eq!(ranks_to_read(16, rest(4 * 64), ms(120)), 1);
    assert_eq!(ranks_to_read(72, rest(12 * 144), Duration::ZERO), 4);
}

#[test]
fn one_rank_is_read_whatever_it_costs() {
    assert_eq!(ranks_to_read(192, ms(400), ms(150)), 1);
}
