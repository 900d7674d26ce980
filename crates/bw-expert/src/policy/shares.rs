//! Splits the tokens of replicated experts among their replicas, which moves no weights.

use crate::map::Layer;
use crate::map::SHARE_WHOLE;

/// Rounds over all replicated experts.
const ROUNDS: usize = 6;

/// Part of the busiest rank's load below which a further round is not worth its time.
const CONVERGED: f64 = 1e-4;

/// Slots of each expert.
type SlotLists = Vec<Vec<usize>>;

/// Sets the shares of a layer so that the busiest rank carries as little as possible.
///
/// Each replicated expert in turn fills the least loaded of its ranks, given the load that the
/// other experts leave there.
pub fn balance_shares(layer: &mut Layer, slots: usize, demand: &[f64]) {
    let lists = slot_lists(layer, demand.len());
    let mut replicated: Vec<usize> =
        (0..demand.len()).filter(|expert| lists[*expert].len() > 1).collect();
    replicated.sort_by(|a, b| demand[*b].total_cmp(&demand[*a]));
    let mut loads = layer.rank_loads(slots, demand);
    for _ in 0..ROUNDS {
        let before = busiest(&loads);
        for expert in &replicated {
            spread_expert(layer, slots, demand[*expert], &lists[*expert], &mut loads);
        }
        if before - busiest(&loads) <= before * CONVERGED {
            break;
        }
    }
}

fn busiest(loads: &[f64]) -> f64 {
    loads.iter().copied().fold(0.0, f64::max)
}

fn slot_lists(layer: &Layer, experts: usize) -> SlotLists {
    let mut lists = vec![Vec::new(); experts];
    for (slot, expert) in layer.experts.iter().enumerate() {
        lists[usize::from(*expert)].push(slot);
    }
    lists
}

/// Gives one expert's demand to its slots so that their ranks end up level.
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
    let mut left = SHARE_WHOLE;
    for (index, slot) in order.iter().enumerate() {
        let room = (level - loads[slot / slots]).max(0.0);
        let share = if demand > 0.0 { (room / demand * whole).round() as u32 } else { 0 };
        let last = index + 1 == order.len();
        let share = if last && index == 0 { left } else { share.min(left) };
        layer.shares[*slot] = share as u16;
        left -= share;
    }
    // What rounding left over goes to the least loaded rank.
    layer.shares[order[0]] += left as u16;
    for slot in places {
        loads[slot / slots] += demand * f64::from(layer.shares[*slot]) / whole;
    }
}

/// The level up to which the ranks of `order`, the least loaded first, can be filled.
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
