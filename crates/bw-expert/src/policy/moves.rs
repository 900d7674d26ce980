//! Finds expert moves that relieve the busiest rank of a layer.

use super::shares::balance_shares;
use super::skew::smooth_skew;
use crate::map::Layer;

/// Number of the heaviest experts of the busiest rank that are tried.
const EXPERTS_TRIED: usize = 3;
/// Number of the least loaded ranks that are tried.
const RANKS_TRIED: usize = 3;

/// A modified layer with its cost and its skew.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The layer after the change, with balanced shares.
    pub layer: Layer,
    /// Number of experts that ranks have to load.
    pub moves: usize,
    /// Smooth skew after the change.
    pub skew: f64,
}

/// Returns the change with the largest reduction of smooth skew per move; `None` when no change
/// reduces the skew.
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

/// Returns the most loaded slots of a rank, the heaviest first.
fn heaviest_slots(layer: &Layer, slots: usize, rank: usize, demand: &[f64]) -> Vec<usize> {
    let load =
        |slot: &usize| demand[usize::from(layer.experts[*slot])] * f64::from(layer.shares[*slot]);
    let mut list: Vec<usize> = (rank * slots..(rank + 1) * slots).collect();
    list.sort_by(|a, b| load(b).total_cmp(&load(a)));
    list.truncate(EXPERTS_TRIED);
    list
}

/// Returns the changes that place the expert of `slot` on rank `target`, as a further replica or by
/// an exchange.
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
        // The expert in that slot has other replicas, so a replica of the hot expert can replace
        // it.
        let mut next = layer.clone();
        next.experts[place] = expert;
        changes.push(evaluate(next, slots, demand, 1));
    }
    if let Some(place) = lightest(false) {
        // Exchange the two experts.
        let mut next = layer.clone();
        next.experts.swap(slot, place);
        changes.push(evaluate(next, slots, demand, 2));
    }
    changes
}

/// Balances the shares of a changed layer and measures its skew.
fn evaluate(mut layer: Layer, slots: usize, demand: &[f64], moves: usize) -> Change {
    layer.share_evenly(demand.len());
    balance_shares(&mut layer, slots, demand);
    let skew = smooth_skew(&layer.rank_loads(slots, demand));
    Change { layer, moves, skew }
}

/// Returns the number of replicas of each expert.
fn replica_counts(layer: &Layer, experts: usize) -> Vec<u16> {
    let mut counts = vec![0; experts];
    for expert in &layer.experts {
        counts[usize::from(*expert)] += 1;
    }
    counts
}

/// Returns the load of a slot, in tokens times share units.
fn slot_load(layer: &Layer, slot: usize, demand: &[f64]) -> f64 {
    demand[usize::from(layer.experts[slot])] * f64::from(layer.shares[slot])
}
