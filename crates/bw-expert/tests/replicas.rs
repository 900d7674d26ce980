//! Placements with evenly shared replicas.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_expert::policy::replicas::improve;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::Room;
use bw_expert::policy::skew::least_skew;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ROOM: Room = Room { places: 5, spare: 2, price: 0.0 };

/// Demand of which a few experts get much.
fn hot_demand(experts: usize, seed: u64) -> Vec<f64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut demand: Vec<f64> =
        (0..experts).map(|rank| 1.0 / (1.0 + rank as f64).powf(1.1)).collect();
    for index in 0..experts {
        demand.swap(index, random.random_range(0..experts));
    }
    demand
}

/// Switches to improved placements until nothing changes.
fn settle(demand: &[f64], paces: &[f64], room: Room) -> Placement {
    let mut placement = Placement::in_turn(paces.len(), demand.len());
    for _ in 0..20 {
        let next = improve(&placement, demand, paces, room);
        assert!(next.is_valid(&placement, demand.len(), room));
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
        let before = Placement::in_turn(16, 64);
        let next = improve(&before, &demand, &paces, ROOM);
        let (skew, after) = (before.skew(&demand, &paces), next.skew(&demand, &paces));
        assert!(after - 1.0 < (skew - 1.0) * 0.2, "seed {seed}: {skew} to {after}");
    }
}

#[test]
fn switches_come_near_the_least_skew_that_any_placement_has() {
    for seed in 0..10 {
        let demand = hot_demand(64, seed);
        let placement = settle(&demand, &[1.0; 16], ROOM);
        let skew = placement.skew(&demand, &[1.0; 16]);
        let least = least_skew(16, ROOM.places, &demand);
        assert!(skew <= least * 1.1, "seed {seed}: {skew}, at least {least}");
    }
}

#[test]
fn a_slow_rank_keeps_little_load() {
    let demand = hot_demand(64, 3);
    let mut paces = [1.0; 16];
    paces[5] = 5.0;
    let placement = settle(&demand, &paces, ROOM);
    let times = placement.times(&demand, &paces);
    let longest = times.iter().copied().fold(0.0, f64::max);
    let mean = demand.iter().sum::<f64>() / 16.0;
    assert!(longest <= mean * 1.3, "{longest} with a mean of {mean}");
}

#[test]
fn dear_copies_are_made_only_where_they_save_much() {
    let demand = hot_demand(64, 7);
    let paces = [1.0; 16];
    let before = Placement::in_turn(16, 64);
    let cheap = improve(&before, &demand, &paces, ROOM);
    let dear = improve(&before, &demand, &paces, Room { price: 0.05, ..ROOM });
    assert!(dear.received(&before) < cheap.received(&before));
    let never = improve(&before, &demand, &paces, Room { price: 100.0, ..ROOM });
    assert_eq!(never.received(&before), 0);
}

#[test]
fn no_demand_changes_nothing() {
    let before = Placement::in_turn(4, 8);
    assert_eq!(improve(&before, &[0.0; 8], &[1.0; 4], ROOM), before);
}

proptest! {
    #[test]
    fn every_improvement_is_valid_and_not_worse(
        ranks in 2usize..12,
        per_rank in 1usize..5,
        places in 0usize..3,
        spare in 1usize..4,
        weights in proptest::collection::vec(0.0f64..10.0, 60),
        slow in 0usize..12,
    ) {
        let experts = ranks * per_rank;
        let demand = &weights[..experts];
        let room = Room { places: per_rank + places, spare, price: 0.01 };
        let mut paces = vec![1.0; ranks];
        paces[slow % ranks] = 3.0;
        let before = Placement::in_turn(ranks, experts);
        let next = improve(&before, demand, &paces, room);
        prop_assert!(next.is_valid(&before, experts, room));
        prop_assert!(next.skew(demand, &paces) <= before.skew(demand, &paces) * 1.05 + 1e-9);
    }
}
