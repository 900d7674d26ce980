//! Tests of the demand estimate from the counts of a few ranks.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_expert::policy::sample::SampleTime;
use bw_expert::policy::sample::Sampler;

/// Adds `total` choices to the counts in `before`: half for expert `hot`, half spread evenly.
fn add(before: &[u64], hot: usize, total: u64) -> Vec<u64> {
    let even = total / 2 / before.len() as u64;
    let mut counts: Vec<u64> = before.iter().map(|count| count + even).collect();
    counts[hot] += total / 2;
    counts
}

#[test]
fn the_first_counts_of_a_rank_are_only_a_baseline() {
    let mut sampler = Sampler::new(1, 8);
    let past = add(&[0; 8], 0, 1_000_000);
    sampler.add_counts(3, 1, &past);
    assert!(!sampler.update_estimate(SampleTime::Steady));
    sampler.add_counts(3, 1, &add(&past, 5, 10_000));
    assert!(sampler.update_estimate(SampleTime::Steady));
    let demand = &sampler.demand().unwrap()[0];
    assert!(demand[5] > 0.5 && demand[0] < 0.1, "{demand:?}");
}

#[test]
fn one_sample_after_a_shift_determines_most_of_the_estimate() {
    let mut sampler = Sampler::new(1, 8);
    let mut counts = vec![0; 8];
    sampler.add_counts(0, 1, &counts);
    for hot in [2, 2, 2, 6] {
        counts = add(&counts, hot, 20_000);
        sampler.add_counts(0, 1, &counts);
        assert!(sampler.update_estimate(SampleTime::Steady));
    }
    let demand = &sampler.demand().unwrap()[0];
    assert!(demand[6] > 0.4 && demand[2] < 0.2, "{demand:?}");
}

#[test]
fn counts_of_another_epoch_or_shape_are_not_compared() {
    let mut sampler = Sampler::new(1, 4);
    sampler.add_counts(0, 1, &[100_000, 0, 0, 0]);
    sampler.add_counts(0, 2, &[10, 5_000, 0, 0]);
    assert!(!sampler.update_estimate(SampleTime::Steady), "counts restart with a new epoch");
    sampler.add_counts(0, 2, &[10, 5_000]);
    sampler.add_counts(0, 2, &[10, 15_000, 0, 0]);
    assert!(sampler.update_estimate(SampleTime::Steady));
    assert_eq!(sampler.demand().unwrap()[0], vec![0.0, 1.0, 0.0, 0.0]);
}

#[test]
fn too_few_choices_do_not_update_the_estimate() {
    let mut sampler = Sampler::new(1, 4);
    sampler.add_counts(0, 1, &[0; 4]);
    sampler.add_counts(0, 1, &[10, 20, 30, 40]);
    assert!(!sampler.update_estimate(SampleTime::Steady));
}

/// Guards against an overflow when a digit in a rank's counts is wrong.
#[test]
fn counts_of_any_size_are_added() {
    let mut sampler = Sampler::new(1, 2);
    sampler.add_counts(0, 1, &[0, 0]);
    sampler.add_counts(1, 1, &[0, 0]);
    sampler.add_counts(0, 1, &[u64::MAX, 1]);
    sampler.add_counts(1, 1, &[u64::MAX, u64::MAX]);
    assert!(sampler.update_estimate(SampleTime::Steady));
    assert!(sampler.demand().unwrap().iter().flatten().all(|share| share.is_finite()));
}
