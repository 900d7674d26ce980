//! Replays shifts of demand for experts: of the experts of each set, most exchange their demand every few seconds,
//! and the first counts after a shift are few.

use bw_expert::policy::maps::MapPlan;
use bw_expert::policy::maps::MapSearch;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankLimits;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const RANKS: usize = 72;
const EXPERTS: usize = 144;
const SETS: usize = 12;
const LIMITS: RankLimits = RankLimits { capacity: 3, max_received: 2, copy_price: 0.015 };
/// Exponent of the demand of experts by their rank in demand.
const DEMAND_EXPONENT: f64 = 0.54;
/// Fraction of the experts whose demand a shift changes.
const SHIFTED: f64 = 0.5;
/// Choices of a set that are counted before the first map after a shift, and before the second one.
const CHOICES: [usize; 2] = [4_000, 40_000];
/// Shifts in one replay.
const SHIFTS: usize = 6;

/// Skews of a replay, averaged over its shifts.
#[derive(Debug)]
struct Skews {
    shift: f64,
    first: f64,
    second: f64,
}

fn demand(random: &mut ChaCha8Rng) -> Vec<f64> {
    let by_rank = |rank: usize| (1.0 + rank as f64).powf(-DEMAND_EXPONENT);
    let mut demand: Vec<f64> = (0..EXPERTS).map(by_rank).collect();
    exchange(&mut demand, 1.0, random);
    demand
}

/// Exchanges the demand of a fraction of the experts.
fn exchange(demand: &mut [f64], fraction: f64, random: &mut ChaCha8Rng) {
    let moved: Vec<usize> = (0..demand.len()).filter(|_| random.random_bool(fraction)).collect();
    for from in &moved {
        demand.swap(*from, moved[random.random_range(0..moved.len())]);
    }
}

/// Counts choices of experts drawn from their demand.
fn count(demand: &[f64], choices: usize, random: &mut ChaCha8Rng) -> Vec<f64> {
    let total: f64 = demand.iter().sum();
    let mut sums = Vec::new();
    let mut sum = 0.0;
    for demand in demand {
        sum += demand / total;
        sums.push(sum);
    }
    let mut counts = vec![0.0; demand.len()];
    for _ in 0..choices {
        let drawn: f64 = random.random();
        let expert = sums.partition_point(|sum| *sum < drawn).min(demand.len() - 1);
        counts[expert] += 1.0;
    }
    counts
}

fn plan(map: &[Placement], demand: Vec<Vec<f64>>, reserves: bool) -> MapPlan {
    let mut search = MapSearch::new(map.to_vec(), demand, vec![1.0; RANKS], LIMITS);
    while search.step() {}
    if reserves {
        search.add_reserves();
    }
    search.finish()
}

fn mean_skew(map: &[Placement], demand: &[Vec<f64>]) -> f64 {
    let skews = map.iter().zip(demand).map(|(set, demand)| set.skew(demand, &[1.0; RANKS]));
    skews.sum::<f64>() / map.len() as f64
}

fn replay(seed: u64, reserves: bool) -> Skews {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut map = vec![Placement::round_robin(RANKS, EXPERTS); SETS];
    let mut demands: Vec<Vec<f64>> = (0..SETS).map(|_| demand(&mut random)).collect();
    let mut skews = Skews { shift: 0.0, first: 0.0, second: 0.0 };
    for round in 0..=SHIFTS {
        let at_shift = mean_skew(&map, &demands);
        let mut after = [0.0; CHOICES.len()];
        for (choices, after) in CHOICES.into_iter().zip(&mut after) {
            let counts = demands.iter().map(|demand| count(demand, choices, &mut random)).collect();
            let next = plan(&map, counts, reserves).next;
            for (next, before) in next.iter().zip(&map) {
                assert!(next.is_valid(before, EXPERTS, LIMITS), "seed {seed}");
            }
            map = next;
            *after = mean_skew(&map, &demands);
        }
        // The first round starts from the map of the engines, not from one that was planned.
        if round > 0 {
            skews.shift += at_shift / SHIFTS as f64;
            skews.first += after[0] / SHIFTS as f64;
            skews.second += after[1] / SHIFTS as f64;
        }
        demands.iter_mut().for_each(|demand| exchange(demand, SHIFTED, &mut random));
    }
    skews
}

/// Guards against free places that stay empty: the expert that becomes the hottest one then has one holder more
/// often, and the holders of the others have more load.
#[test]
fn reserves_shorten_the_steps_after_a_shift_and_between_shifts() {
    let mean = |reserves: bool| {
        let skews: Vec<Skews> = (0..4).map(|seed| replay(seed, reserves)).collect();
        let sum =
            |skew: fn(&Skews) -> f64| skews.iter().map(skew).sum::<f64>() / skews.len() as f64;
        Skews { shift: sum(|s| s.shift), first: sum(|s| s.first), second: sum(|s| s.second) }
    };
    let (with, without) = (mean(true), mean(false));
    assert!(with.shift < without.shift, "{with:?} {without:?}");
    assert!(with.first < without.first, "{with:?} {without:?}");
    assert!(with.second < without.second, "{with:?} {without:?}");
}

#[test]
fn reserves_neither_delay_the_switch_nor_raise_the_load_of_the_busiest_rank() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let demands: Vec<Vec<f64>> = (0..SETS).map(|_| demand(&mut random)).collect();
    let map = vec![Placement::round_robin(RANKS, EXPERTS); SETS];
    let with = plan(&map, demands.clone(), true);
    let without = plan(&map, demands.clone(), false);
    assert_eq!(with.received_most(), without.received_most());
    assert!(with.skew_after <= without.skew_after + 1e-9);
    let single = |plan: &MapPlan| -> usize {
        let alone =
            |set: &Placement| set.holders(EXPERTS).iter().filter(|held| **held == 1).count();
        plan.next.iter().map(alone).sum()
    };
    assert!(single(&with) < single(&without));
}
