//! Decides when a group gets a new map, and which.

use std::time::Duration;

use super::demand::Estimator;
use super::moves::best_change;
use super::shares::balance_shares;
use super::skew::layer_skew;
use super::skew::map_skew;
use super::skew::smooth_skew;
use crate::map::ExpertMap;

/// Reports before the first plan.
const REPORTS_MIN: u32 = 3;
/// Skew that a switch without moves has to save.
const SHARES_GAIN: f64 = 0.01;
/// Skew saved that is worth a switch before the pause is over.
const URGENT_GAIN: f64 = 0.15;
/// Shortest time between two switches, however urgent.
const URGENT_PAUSE: Duration = Duration::from_secs(10);
/// Moves in one layer in one plan.
const LAYER_MOVES_MAX: usize = 8;

/// How skew is weighed against moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Price of one move, in seconds of one rank's work.
    pub price: f64,
    /// Shortest time between two switches.
    pub pause: Duration,
    /// Time for which a demand pattern is expected to last.
    pub horizon: Duration,
    /// Moves that the weight store's rate allows in one plan.
    pub moves: usize,
}

/// A new map with what it is expected to bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The map; its version is given by the coordinator.
    pub map: ExpertMap,
    /// Expected skew of the present map.
    pub before: f64,
    /// Expected skew of the new map.
    pub after: f64,
    /// Experts that ranks have to load.
    pub moves: usize,
}

/// Plans for one group.
#[derive(Clone, Debug)]
pub struct Planner {
    tuning: Tuning,
    estimator: Estimator,
    switched: Option<Duration>,
}

impl Planner {
    /// A planner that has seen no demand yet.
    pub fn new(tuning: Tuning) -> Self {
        Self { tuning, estimator: Estimator::default(), switched: None }
    }

    /// Changes the weighing.
    pub fn set_tuning(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// Takes a report of demand.
    pub fn take(&mut self, report: &[Vec<u32>]) {
        self.estimator.take(report);
    }

    /// Notes that a switch began at `now`.
    pub fn note_switch(&mut self, now: Duration) {
        self.switched = Some(now);
    }

    /// The plan to switch to at `now`; `None` when the present map is good enough.
    pub fn plan(&self, map: &ExpertMap, now: Duration) -> Option<Plan> {
        let since = self.switched.map_or(Duration::MAX, |at| now.saturating_sub(at));
        if since < URGENT_PAUSE || self.estimator.reports() < REPORTS_MIN {
            return None;
        }
        let demand = self.estimator.demand();
        if demand.len() != map.layers.len() {
            return None;
        }
        let before = map_skew(map, &demand);
        let mut next = map.clone();
        for (layer, demand) in next.layers.iter_mut().zip(&demand) {
            balance_shares(layer, usize::from(map.slots), demand);
        }
        let moves = self.add_moves(&mut next, &demand);
        let after = map_skew(&next, &demand);
        let due = since >= self.tuning.pause || before - after >= URGENT_GAIN;
        let worth = due && (moves > 0 || before - after >= SHARES_GAIN);
        worth.then_some(Plan { map: next, before, after, moves })
    }

    /// Makes the moves that pay, the most skewed layers first, and returns their number.
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
        let mut made = 0;
        for (skew, number) in order {
            if !self.pays(skew - 1.0, 1, map) {
                // Not even perfect balance of this layer, or of any that follows, would pay.
                break;
            }
            let mut made_here = 0;
            while made_here < LAYER_MOVES_MAX && made < self.tuning.moves {
                let layer = &map.layers[number];
                let Some(change) = best_change(layer, slots, &demand[number]) else { break };
                let gain = smooth_skew(&layer.rank_loads(slots, &demand[number])) - change.skew;
                if !self.pays(gain, change.moves, map) {
                    break;
                }
                made += change.moves;
                made_here += change.moves;
                map.layers[number] = change.layer;
            }
        }
        made
    }

    /// Whether a gain of one layer's skew over the horizon exceeds the price of its moves.
    ///
    /// Every rank waits for the busiest one, so each second saved is saved at all of them.
    fn pays(&self, gain: f64, moves: usize, map: &ExpertMap) -> bool {
        let part = gain / map.layers.len().max(1) as f64;
        let saved = part * self.tuning.horizon.as_secs_f64() * f64::from(map.ranks);
        saved > self.tuning.price * moves as f64
    }
}
