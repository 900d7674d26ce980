//! Skew of a map for a given demand: the load of the busiest rank divided by the mean load.

use crate::map::ExpertMap;
use crate::map::Layer;

/// Returns the skew of one layer; 1 for even load and for a layer without demand.
pub fn layer_skew(layer: &Layer, slots: usize, demand: &[f64]) -> f64 {
    let loads = layer.rank_loads(slots, demand);
    let total: f64 = loads.iter().sum();
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    if total <= 0.0 {
        return 1.0;
    }
    busiest * loads.len() as f64 / total
}

/// Exponent of the power mean that forms the smooth skew.
pub(super) const SMOOTH_EXPONENT: i32 = 16;

/// Returns the power mean of the loads divided by their mean.
///
/// Approximates the skew, but also falls when only one of several equally busy ranks is relieved.
pub fn smooth_skew(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let mean = total / loads.len() as f64;
    let sum: f64 = loads.iter().map(|load| (load / mean).powi(SMOOTH_EXPONENT)).sum();
    (sum / loads.len() as f64).powf(1.0 / f64::from(SMOOTH_EXPONENT))
}

/// Returns the mean skew of the layers: the factor by which the expert computation of a step takes
/// longer than with even load.
pub fn map_skew(map: &ExpertMap, demand: &[Vec<f64>]) -> f64 {
    let skews = map.layers.iter().zip(demand);
    let sum: f64 =
        skews.map(|(layer, demand)| layer_skew(layer, usize::from(map.slots), demand)).sum();
    sum / map.layers.len().max(1) as f64
}

/// Returns a lower bound of the skew of any placement into `ranks` times `slots` slots.
///
/// If no rank carries more than `limit`, an expert of demand `d` needs at least `d / limit` slots.
/// The smallest limit for which the available slots suffice bounds the load of the busiest rank.
pub fn least_skew(ranks: usize, slots: usize, demand: &[f64]) -> f64 {
    const BISECTIONS: usize = 40;
    let total: f64 = demand.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let mean = total / ranks as f64;
    let fits = |limit: f64| {
        let needed: f64 = demand.iter().map(|demand| (demand / limit).ceil().max(1.0)).sum();
        needed <= (ranks * slots) as f64
    };
    let (mut low, mut high) = (mean, total);
    if fits(low) {
        return 1.0;
    }
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high / mean
}
