//! Splits the tokens of replicated experts among their replicas without moving weights.

use crate::map::Layer;
use crate::map::SHARE_WHOLE;

/// Largest number of passes over all replicated experts.
const PASSES_MAX: usize = 6;

/// Relative reduction of the busiest rank's load in one pass at or below which a further pass is
/// not worth its time.
const CONVERGED_REDUCTION: f64 = 1e-4;

/// Slots of each expert.
type SlotLists = Vec<Vec<usize>>;

/// Sets the shares of a layer to minimise the load of the busiest rank.
///
/// Distributes the demand of one replicated expert after the other by water-filling: the least
/// loaded of its ranks are filled first, on top of the load of all other experts.
pub fn balance_shares(layer: &mut Layer, slots: usize, demand: &[f64]) {
    let lists = slot_lists(layer, demand.len());
    let mut replicated: Vec<usize> =
        (0..demand.len()).filter(|expert| lists[*expert].len() > 1).collect();
    replicated.sort_by(|a, b| demand[*b].total_cmp(&demand[*a]));
    let mut loads = layer.rank_loads(slots, demand);
    for _ in 0..PASSES_MAX {
        let before = max_load(&loads);
        for expert in &replicated {
            spread_expert(layer, slots, demand[*expert], &lists[*expert], &mut loads);
        }
        if before - max_load(&loads) <= before * CONVERGED_REDUCTION {
            break;
        }
    }
}

fn max_load(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}

fn slot_lists(layer: &Layer, experts: usize) -> SlotLists {
    let mut lists = vec![Vec::new(); experts];
    for (slot, expert) in layer.experts.iter().enumerate() {
        lists[usize::from(*expert)].push(slot);
    }
    lists
}

/// Distributes the demand of one expert over its slots so that the loads of their ranks become as
/// equal as possible.
fn spread_expert(
    layer: &mut Layer,
    slots: usize,
    demand: f64,
    places: &[usize],
    loads: &mut [f64],
) {
    let whole = f64::from(SHARE_WHOLE);
    for slot in places {
        loads[slot / slots] -= demand * f64::from(layer.shares[*slot]) / whole;
    }
    let mut order = places.to_vec();
    order.sort_by(|a, b| loads[a / slots].total_cmp(&loads[b / slots]));
    let level = water_level(&order, slots, demand, loads);
    let mut remaining = SHARE_WHOLE;
    for (index, slot) in order.iter().enumerate() {
        let deficit = (level - loads[slot / slots]).max(0.0);
        let share = if demand > 0.0 { (deficit / demand * whole).round() as u32 } else { 0 };
        let last = index + 1 == order.len();
        let share = if last && index == 0 { remaining } else { share.min(remaining) };
        layer.shares[*slot] = share as u16;
        remaining -= share;
    }
    // The least loaded rank receives the remainder of rounding.
    layer.shares[order[0]] += remaining as u16;
    for slot in places {
        loads[slot / slots] += demand * f64::from(layer.shares[*slot]) / whole;
    }
}

/// Returns the load to which `demand` fills the ranks of the slots in `order`, the least loaded
/// first.
fn water_level(order: &[usize], slots: usize, demand: f64, loads: &[f64]) -> f64 {
    let mut sum = demand;
    for (index, slot) in order.iter().enumerate() {
        sum += loads[slot / slots];
        let level = sum / (index + 1) as f64;
        let next = order.get(index + 1).map_or(f64::INFINITY, |slot| loads[slot / slots]);
        if level <= next {
            return level;
        }
    }
    sum / order.len().max(1) as f64
}
