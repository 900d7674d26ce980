//! Finds moves of experts that take load from the busiest rank of a layer.

use super::shares::balance_shares;
use super::skew::smooth_skew;
use crate::map::Layer;

/// Experts of the busiest rank that are tried.
const EXPERTS_TRIED: usize = 3;
/// Least loaded ranks that are tried.
const RANKS_TRIED: usize = 3;

/// A change of one layer.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The layer after the change, with balanced shares.
    pub layer: Layer,
    /// Experts that ranks have to load for it.
    pub moves: usize,
    /// Smooth skew after the change.
    pub skew: f64,
}

/// The change that lowers the layer's smooth skew the most for each move; `None` when none does.
pub fn best_change(layer: &Layer, slots: usize, demand: &[f64]) -> Option<Change> {
    let loads = layer.rank_loads(slots, demand);
    let mut ranks: Vec<usize> = (0..loads.len()).collect();
    ranks.sort_by(|a, b| loads[*a].total_cmp(&loads[*b]));
    let busiest = *ranks.last()?;
    let before = smooth_skew(&loads);
    let replicas = replica_counts(layer, demand.len());
    let mut best: Option<Change> = None;
    for slot in heaviest_slots(layer, slots, busiest, demand) {
        for target in ranks.iter().take(RANKS_TRIED).filter(|rank| **rank != busiest) {
            for change in changes_to(layer, slots, demand, &replicas, slot, *target) {
                let gain = |change: &Change| (before - change.skew) / change.moves as f64;
                let better = best.as_ref().is_none_or(|best| gain(&change) > gain(best));
                if change.skew < before && better {
                    best = Some(change);
                }
            }
        }
    }
    best
}

/// The slots of a rank that carry the most, the heaviest first.
fn heaviest_slots(layer: &Layer, slots: usize, rank: usize, demand: &[f64]) -> Vec<usize> {
    let load =
        |slot: &usize| demand[usize::from(layer.experts[*slot])] * f64::from(layer.shares[*slot]);
    let mut list: Vec<usize> = (rank * slots..(rank + 1) * slots).collect();
    list.sort_by(|a, b| load(b).total_cmp(&load(a)));
    list.truncate(EXPERTS_TRIED);
    list
}

/// Ways to serve the expert of `slot` on rank `target` too.
fn changes_to(
    layer: &Layer,
    slots: usize,
    demand: &[f64],
    replicas: &[u16],
    slot: usize,
    target: usize,
) -> Vec<Change> {
    let expert = layer.experts[slot];
    let places = target * slots..(target + 1) * slots;
    if layer.experts[places.clone()].contains(&expert) {
        return Vec::new();
    }
    let mut changes = Vec::new();
    let lightest = |replicated: bool| {
        let is_replicated = |place: &usize| replicas[usize::from(layer.experts[*place])] > 1;
        let fits = places.clone().filter(|place| is_replicated(place) == replicated);
        fits.min_by(|a, b| slot_load(layer, *a, demand).total_cmp(&slot_load(layer, *b, demand)))
    };
    if let Some(place) = lightest(true) {
        // The expert there has other replicas, so its slot can take a replica of the hot one.
        let mut next = layer.clone();
        next.experts[place] = expert;
        changes.push(finish(next, slots, demand, 1));
    }
    if let Some(place) = lightest(false) {
        // Two experts change places.
        let mut next = layer.clone();
        next.experts.swap(slot, place);
        changes.push(finish(next, slots, demand, 2));
    }
    changes
}

fn finish(mut layer: Layer, slots: usize, demand: &[f64], moves: usize) -> Change {
    layer.share_alike(demand.len());
    balance_shares(&mut layer, slots, demand);
    let skew = smooth_skew(&layer.rank_loads(slots, demand));
    Change { layer, moves, skew }
}

/// Replicas of each expert.
fn replica_counts(layer: &Layer, experts: usize) -> Vec<u16> {
    let mut counts = vec![0; experts];
    for expert in &layer.experts {
        counts[usize::from(*expert)] += 1;
    }
    counts
}

fn slot_load(layer: &Layer, slot: usize, demand: &[f64]) -> f64 {
    demand[usize::from(layer.experts[slot])] * f64::from(layer.shares[slot])
}
