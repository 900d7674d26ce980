//! The estimate of demand from the counts of a few ranks.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_expert::policy::sample::Moment;
use bw_expert::policy::sample::Sampler;

/// Counts of a rank: `total` choices, a part of them of one expert, on top of `before`.
fn add(before: &[u64], hot: usize, total: u64) -> Vec<u64> {
    let even = total / 2 / before.len() as u64;
    let mut counts: Vec<u64> = before.iter().map(|count| count + even).collect();
    counts[hot] += total / 2;
    counts
}

#[test]
fn the_first_counts_of_a_rank_are_its_past_and_not_its_present() {
    let mut sampler = Sampler::new(1, 8);
    let past = add(&[0; 8], 0, 1_000_000);
    sampler.take(3, 1, &past);
    assert!(!sampler.settle(Moment::Steady));
    sampler.take(3, 1, &add(&past, 5, 10_000));
    assert!(sampler.settle(Moment::Steady));
    let demand = &sampler.demand().unwrap()[0];
    assert!(demand[5] > 0.5 && demand[0] < 0.1, "{demand:?}");
}

#[test]
fn a_shift_moves_most_of_the_estimate_at_once_and_noise_little() {
    let mut sampler = Sampler::new(1, 8);
    let mut counts = vec![0; 8];
    sampler.take(0, 1, &counts);
    for hot in [2, 2, 2, 6] {
        counts = add(&counts, hot, 20_000);
        sampler.take(0, 1, &counts);
        assert!(sampler.settle(Moment::Steady));
    }
    let demand = &sampler.demand().unwrap()[0];
    assert!(demand[6] > 0.4 && demand[2] < 0.2, "{demand:?}");
}

#[test]
fn counts_of_another_life_or_shape_are_not_compared() {
    let mut sampler = Sampler::new(1, 4);
    sampler.take(0, 1, &[100_000, 0, 0, 0]);
    sampler.take(0, 2, &[10, 5_000, 0, 0]);
    assert!(!sampler.settle(Moment::Steady), "a new life begins its counts anew");
    sampler.take(0, 2, &[10, 5_000]);
    sampler.take(0, 2, &[10, 15_000, 0, 0]);
    assert!(sampler.settle(Moment::Steady));
    assert_eq!(sampler.demand().unwrap()[0], vec![0.0, 1.0, 0.0, 0.0]);
}

#[test]
fn too_few_choices_say_nothing() {
    let mut sampler = Sampler::new(1, 4);
    sampler.take(0, 1, &[0; 4]);
    sampler.take(0, 1, &[10, 20, 30, 40]);
    assert!(!sampler.settle(Moment::Steady));
}
