//! Decides when a group switches to a new map, and to which one.

use std::time::Duration;

use super::demand::Estimator;
use super::moves::best_change;
use super::shares::balance_shares;
use super::skew::layer_skew;
use super::skew::map_skew;
use super::skew::smooth_skew;
use crate::map::ExpertMap;

/// Number of reports required before the first plan.
const REPORTS_MIN: u32 = 3;
/// Reduction of skew required for a switch that moves no experts.
const SHARES_GAIN: f64 = 0.01;
/// Reduction of skew that justifies a switch before the switch interval has passed.
const URGENT_GAIN: f64 = 0.15;
/// Shortest time between two switches, also for urgent ones.
const URGENT_INTERVAL: Duration = Duration::from_secs(10);
/// Number of moves in one layer of a plan at which the layer is not changed further; an exchange of
/// two experts can exceed the number by one.
const LAYER_MOVES_MAX: usize = 8;

/// Parameters that weigh the reduction of skew against the cost of moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Cost of one move, in seconds of work of one rank.
    pub move_price: f64,
    /// Shortest time between two switches that are not urgent.
    pub switch_interval: Duration,
    /// Expected duration of a demand pattern.
    pub horizon: Duration,
    /// Largest number of moves in one plan, limited by the rate of the weight store.
    pub moves: usize,
}

/// A new map with its expected benefit.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The new map; the coordinator assigns its version.
    pub map: ExpertMap,
    /// Expected skew of the current map.
    pub before: f64,
    /// Expected skew of the new map.
    pub after: f64,
    /// Number of experts that ranks have to load.
    pub moves: usize,
}

/// Plans map switches for one group.
#[derive(Clone, Debug)]
pub struct Planner {
    tuning: Tuning,
    estimator: Estimator,
    last_switch: Option<Duration>,
}

impl Planner {
    /// Creates a planner without demand data.
    pub fn new(tuning: Tuning) -> Self {
        Self { tuning, estimator: Estimator::default(), last_switch: None }
    }

    /// Replaces the parameters.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Adds a demand report: the tokens of each expert in each layer since the previous report.
    pub fn add_report(&mut self, report: &[Vec<u32>]) {
        self.estimator.add_report(report);
    }

    /// Records that a switch started at `now`.
    pub fn record_switch(&mut self, now: Duration) {
        self.last_switch = Some(now);
    }

    /// Returns the plan to switch to at `now`; `None` when no switch is due or worth its cost.
    pub fn plan(&self, map: &ExpertMap, now: Duration) -> Option<Plan> {
        let since = self.last_switch.map_or(Duration::MAX, |at| now.saturating_sub(at));
        if since < URGENT_INTERVAL || self.estimator.reports() < REPORTS_MIN {
            return None;
        }
        let demand = self.estimator.demand();
        let experts = demand.first().map_or(0, Vec::len);
        let same_shape =
            demand.len() == map.layers.len() && demand.iter().all(|layer| layer.len() == experts);
        // The map is what an engine says; the search uses its numbers as indices.
        if !same_shape || map.check(experts).is_err() {
            return None;
        }
        let before = map_skew(map, &demand);
        let mut next = map.clone();
        for (layer, demand) in next.layers.iter_mut().zip(&demand) {
            balance_shares(layer, usize::from(map.slots), demand);
        }
        let moves = self.add_moves(&mut next, &demand);
        let after = map_skew(&next, &demand);
        let due = since >= self.tuning.switch_interval || before - after >= URGENT_GAIN;
        let worthwhile = due && (moves > 0 || before - after >= SHARES_GAIN);
        worthwhile.then_some(Plan { map: next, before, after, moves })
    }

    /// Applies the moves that are worth their cost, the most skewed layers first, and returns their
    /// number.
    fn add_moves(&self, map: &mut ExpertMap, demand: &[Vec<f64>]) -> usize {
        let slots = usize::from(map.slots);
        let mut order: Vec<(f64, usize)> = map
            .layers
            .iter()
            .zip(demand)
            .enumerate()
            .map(|(number, (layer, demand))| (layer_skew(layer, slots, demand), number))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut total = 0;
        for (skew, number) in order {
            if !self.is_worthwhile(skew - 1.0, 1, map) {
                // Even perfect balance of this layer would not be worth one move, and the following
                // layers are skewed less.
                break;
            }
            let mut layer_moves = 0;
            while layer_moves < LAYER_MOVES_MAX && total < self.tuning.moves {
                let layer = &map.layers[number];
                let Some(change) = best_change(layer, slots, &demand[number]) else { break };
                let gain = smooth_skew(&layer.rank_loads(slots, &demand[number])) - change.skew;
                if !self.is_worthwhile(gain, change.moves, map) {
                    break;
                }
                total += change.moves;
                layer_moves += change.moves;
                map.layers[number] = change.layer;
            }
        }
        total
    }

    /// Returns whether the time saved over the horizon by a reduction of one layer's skew exceeds
    /// the cost of the moves.
    ///
    /// Every rank waits for the busiest one, so each saved second is saved at every rank.
    fn is_worthwhile(&self, gain: f64, moves: usize, map: &ExpertMap) -> bool {
        let mean_gain = gain / map.layers.len().max(1) as f64;
        let saved = mean_gain * self.tuning.horizon.as_secs_f64() * f64::from(map.ranks);
        saved > self.tuning.move_price * moves as f64
    }
}
