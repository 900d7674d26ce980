//! Tests of the placement search for evenly shared replicas.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_expert::policy::replicas::improve;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankLimits;
use bw_expert::policy::skew::least_skew;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const LIMITS: RankLimits = RankLimits { capacity: 5, max_received: 2, copy_price: 0.0 };

/// Returns room for any number of experts at each rank.
fn unlimited(placement: &Placement) -> Vec<usize> {
    vec![usize::MAX; placement.ranks.len()]
}

/// Returns Zipf-like demand in random order: a few experts receive most of the tokens.
fn hot_demand(experts: usize, seed: u64) -> Vec<f64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut demand: Vec<f64> =
        (0..experts).map(|rank| 1.0 / (1.0 + rank as f64).powf(1.1)).collect();
    for index in 0..experts {
        demand.swap(index, random.random_range(0..experts));
    }
    demand
}

/// Improves the placement repeatedly until the search changes nothing, at most 20 times.
fn improve_repeatedly(demand: &[f64], paces: &[f64], limits: RankLimits) -> Placement {
    let mut placement = Placement::round_robin(paces.len(), demand.len());
    for _ in 0..20 {
        let next = improve(&placement, demand, paces, limits, &unlimited(&placement));
        assert!(next.is_valid(&placement, demand.len(), limits));
        if next == placement {
            break;
        }
        placement = next;
    }
    placement
}

#[test]
fn one_switch_relieves_the_busiest_rank_of_most_of_its_excess() {
    for seed in 0..20 {
        let demand = hot_demand(64, seed);
        let paces = [1.0; 16];
        let before = Placement::round_robin(16, 64);
        let next = improve(&before, &demand, &paces, LIMITS, &unlimited(&before));
        let (skew, after) = (before.skew(&demand, &paces), next.skew(&demand, &paces));
        assert!(after - 1.0 < (skew - 1.0) * 0.2, "seed {seed}: skew from {skew} to {after}");
    }
}

#[test]
fn repeated_switches_approach_the_least_possible_skew() {
    for seed in 0..10 {
        let demand = hot_demand(64, seed);
        let placement = improve_repeatedly(&demand, &[1.0; 16], LIMITS);
        let skew = placement.skew(&demand, &[1.0; 16]);
        let least = least_skew(16, LIMITS.capacity, &demand);
        assert!(skew <= least * 1.1, "seed {seed}: skew {skew}, lower bound {least}");
    }
}

#[test]
fn a_slow_rank_keeps_less_load() {
    let demand = hot_demand(64, 3);
    let mut paces = [1.0; 16];
    paces[5] = 5.0;
    let placement = improve_repeatedly(&demand, &paces, LIMITS);
    let times = placement.times(&demand, &paces);
    let longest = times.iter().copied().fold(0.0, f64::max);
    let mean = demand.iter().sum::<f64>() / 16.0;
    assert!(longest <= mean * 1.3, "slowest rank {longest}, mean {mean}");
}

#[test]
fn expensive_copies_are_made_only_for_large_gains() {
    let demand = hot_demand(64, 7);
    let paces = [1.0; 16];
    let before = Placement::round_robin(16, 64);
    let cheap = improve(&before, &demand, &paces, LIMITS, &unlimited(&before));
    let expensive = improve(
        &before,
        &demand,
        &paces,
        RankLimits { copy_price: 0.05, ..LIMITS },
        &unlimited(&before),
    );
    assert!(expensive.received(&before) < cheap.received(&before));
    let never = improve(
        &before,
        &demand,
        &paces,
        RankLimits { copy_price: 100.0, ..LIMITS },
        &unlimited(&before),
    );
    assert_eq!(never.received(&before), 0);
}

#[test]
fn no_demand_changes_nothing() {
    let before = Placement::round_robin(4, 8);
    assert_eq!(improve(&before, &[0.0; 8], &[1.0; 4], LIMITS, &unlimited(&before)), before);
}

proptest! {
    #[test]
    fn every_improvement_is_valid_and_not_worse(
        ranks in 2usize..12,
        per_rank in 1usize..5,
        extra_capacity in 0usize..3,
        max_received in 1usize..4,
        weights in proptest::collection::vec(0.0f64..10.0, 60),
        slow_rank in 0usize..12,
    ) {
        let experts = ranks * per_rank;
        let demand = &weights[..experts];
        let capacity = per_rank + extra_capacity;
        let limits = RankLimits { capacity, max_received, copy_price: 0.01 };
        let mut paces = vec![1.0; ranks];
        paces[slow_rank % ranks] = 3.0;
        let before = Placement::round_robin(ranks, experts);
        let next = improve(&before, demand, &paces, limits, &unlimited(&before));
        prop_assert!(next.is_valid(&before, experts, limits));
        prop_assert!(next.skew(demand, &paces) <= before.skew(demand, &paces) * 1.05 + 1e-9);
    }
}

/// Replays a shift of demand onto experts that one rank holds. Ranks copy one expert after another, and
/// steps are longer until the last copy ends, so a switch that copies one expert to each rank is in force
/// several times sooner, and takes most of the load off the busiest rank all the same.
#[test]
fn one_expert_for_each_rank_takes_most_of_the_load_off_the_busiest_rank() {
    let before = Placement::round_robin(16, 64);
    let mut demand = vec![1.0; 64];
    for expert in [0, 16, 32, 48, 5, 21] {
        demand[expert] = 8.0;
    }
    let paces = [1.0; 16];
    let skew = before.skew(&demand, &paces);
    let first = improve(&before, &demand, &paces, LIMITS, &[1; 16]);
    let received = |rank| first.received_by(rank, &before);
    assert!((0..16).all(|rank| received(rank) <= 1));
    let full = improve(&before, &demand, &paces, LIMITS, &unlimited(&before));
    let gain = |placement: &Placement| skew - placement.skew(&demand, &paces);
    assert!(gain(&first) > 0.6 * gain(&full), "{} of {}", gain(&first), gain(&full));
    // The next switch goes on from there.
    let second = improve(&first, &demand, &paces, LIMITS, &[1; 16]);
    assert!(gain(&second) >= gain(&first));
}

#[test]
fn a_rank_without_room_receives_nothing() {
    let before = Placement::round_robin(4, 8);
    let demand = [9.0, 1.0, 1.0, 1.0, 9.0, 1.0, 1.0, 1.0];
    let next = improve(&before, &demand, &[1.0; 4], LIMITS, &[0, 0, 1, 0]);
    assert_eq!(next.received_by(1, &before) + next.received_by(3, &before), 0);
    assert!(next.received_by(2, &before) <= 1);
}
