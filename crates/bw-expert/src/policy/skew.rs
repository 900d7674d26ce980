//! Skew of a map under a demand: the busiest rank's load over the mean.

use crate::map::ExpertMap;
use crate::map::Layer;

/// Skew of one layer; 1 is even. 1 for a layer without demand.
pub fn layer_skew(layer: &Layer, slots: usize, demand: &[f64]) -> f64 {
    let loads = layer.rank_loads(slots, demand);
    let total: f64 = loads.iter().sum();
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    if total <= 0.0 {
        return 1.0;
    }
    busiest * loads.len() as f64 / total
}

/// Exponent of the smooth skew.
pub(super) const SMOOTH: i32 = 16;

/// A smooth form of skew, which also falls when one of several equally busy ranks is relieved.
pub fn smooth_skew(loads: &[f64]) -> f64 {
    let total: f64 = loads.iter().sum();
    if total <= 0.0 {
        return 1.0;
    }
    let mean = total / loads.len() as f64;
    let sum: f64 = loads.iter().map(|load| (load / mean).powi(SMOOTH)).sum();
    (sum / loads.len() as f64).powf(1.0 / f64::from(SMOOTH))
}

/// Mean skew over the layers, which is the factor by which the expert part of a step is longer
/// than with even load.
pub fn map_skew(map: &ExpertMap, demand: &[Vec<f64>]) -> f64 {
    let skews = map.layers.iter().zip(demand);
    let sum: f64 =
        skews.map(|(layer, demand)| layer_skew(layer, usize::from(map.slots), demand)).sum();
    sum / map.layers.len().max(1) as f64
}

/// The least skew that any placement into `ranks` times `slots` slots can have.
///
/// A rank that carries at most `limit` needs an expert of demand `d` in at least `d / limit`
/// slots; the smallest limit for which all slots suffice bounds every placement.
pub fn least_skew(ranks: usize, slots: usize, demand: &[f64]) -> f64 {
    const ROUNDS: usize = 40;
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
    for _ in 0..ROUNDS {
        let middle = (low + high) / 2.0;
        if fits(middle) {
            high = middle;
        } else {
            low = middle;
        }
    }
    high / mean
}
