//! Baseline for measurements: a plan from scratch whose replicas share tokens evenly.

use crate::map::ExpertMap;
use crate::map::Layer;
use crate::map::SHARE_WHOLE;

/// Returns a placement computed from scratch: replica counts by demand, then the heaviest replicas
/// first, each onto the least loaded rank.
pub fn full_plan(map: &ExpertMap, demand: &[Vec<f64>]) -> ExpertMap {
    let (ranks, slots) = (usize::from(map.ranks), usize::from(map.slots));
    let layers = demand.iter().map(|demand| place_layer(ranks, slots, demand)).collect();
    ExpertMap { layers, ..map.clone() }
}

fn place_layer(ranks: usize, slots: usize, demand: &[f64]) -> Layer {
    let counts = replica_counts(ranks * slots, ranks, demand);
    let mut replicas: Vec<(f64, usize)> = Vec::new();
    for (expert, count) in counts.iter().enumerate() {
        replicas.extend((0..*count).map(|_| (demand[expert] / *count as f64, expert)));
    }
    replicas.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut places: Vec<Vec<u16>> = vec![Vec::new(); ranks];
    let mut loads: Vec<f64> = vec![0.0; ranks];
    for (load, expert) in replicas {
        let free = |rank: &usize| places[*rank].len() < slots;
        let lacks_expert = |rank: &usize| !places[*rank].contains(&(expert as u16));
        let by_load = |a: &usize, b: &usize| loads[*a].total_cmp(&loads[*b]);
        let preferred = (0..ranks).filter(free).filter(lacks_expert).min_by(by_load);
        let Some(rank) = preferred.or_else(|| (0..ranks).filter(free).min_by(by_load)) else {
            continue;
        };
        places[rank].push(expert as u16);
        loads[rank] += load;
    }
    let experts: Vec<u16> = places.into_iter().flatten().collect();
    let mut layer = Layer { shares: vec![0; experts.len()], experts };
    layer.share_evenly(demand.len());
    debug_assert!(layer.shares.iter().all(|share| u32::from(*share) <= SHARE_WHOLE));
    layer
}

/// Returns the number of replicas of each expert: one each, then each spare slot goes to the expert
/// with the largest load per replica.
fn replica_counts(total: usize, ranks: usize, demand: &[f64]) -> Vec<usize> {
    let mut counts = vec![1; demand.len()];
    for _ in demand.len()..total {
        let load = |expert: &usize| demand[*expert] / counts[*expert] as f64;
        let below_limit = (0..demand.len()).filter(|expert| counts[*expert] < ranks);
        match below_limit.max_by(|a, b| load(a).total_cmp(&load(b))) {
            Some(expert) => counts[expert] += 1,
            None => break,
        }
    }
    // With more slots than experts times ranks, the first expert fills the remaining slots.
    let placed: usize = counts.iter().sum();
    if let Some(first) = counts.first_mut() {
        *first += total.saturating_sub(placed);
    }
    counts
}
