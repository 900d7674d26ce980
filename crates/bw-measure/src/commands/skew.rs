//! `skew`: skew and moves of placement policies under the same seeded drift of demand.

use std::time::Duration;

use argh::FromArgs;
use bw_expert::policy::baseline::full_plan;
use bw_expert::policy::skew::least_skew;
use bw_expert::policy::skew::map_skew;
use bw_expert::policy::Estimator;
use bw_expert::policy::Planner;
use bw_expert::policy::Tuning;
use bw_expert::ExpertMap;

use crate::drift::Drift;
use crate::drift::DriftKind;
use crate::error::MeasureError;
use crate::output::print_row;
use crate::stats::quantile;

const RANKS: u16 = 16;
const EXPERTS: u16 = 128;
const SLOTS: u16 = 10;
const LAYERS: u16 = 4;
/// Time between two reports of demand.
const INTERVAL: Duration = Duration::from_secs(10);
/// Size of one expert's weights in one layer, in bytes.
const EXPERT_BYTES: f64 = 44e6;
/// Skew above which the threshold baseline replans.
const THRESHOLD: f64 = 1.2;

/// skew, moves and bytes of placement policies under drifting demand
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "skew")]
pub struct Skew {
    /// seed of the drift
    #[argh(option, default = "1")]
    seed: u64,
    /// simulated hours of demand
    #[argh(option, default = "8")]
    hours: u64,
}

/// A placement policy to measure.
enum Policy {
    /// Keeps the initial map.
    Static,
    /// Replans the whole map with every report.
    Full(Estimator),
    /// Replans the whole map when the skew exceeds [`THRESHOLD`].
    Threshold(Estimator),
    /// The planner of `bw-expert`, which limits the number of moves.
    Incremental(Box<Planner>),
}

impl Policy {
    fn all() -> Vec<(&'static str, Policy)> {
        vec![
            ("static", Policy::Static),
            ("full_replan", Policy::Full(Estimator::default())),
            ("threshold", Policy::Threshold(Estimator::default())),
            ("ours_lipnik", Policy::Incremental(Box::new(Planner::new(lipnik_tuning())))),
            ("ours_galle", Policy::Incremental(Box::new(Planner::new(galle_tuning())))),
        ]
    }

    fn plan(&mut self, map: &ExpertMap, report: &[Vec<u32>], now: Duration) -> Option<ExpertMap> {
        match self {
            Policy::Static => None,
            Policy::Full(estimator) => {
                estimator.add_report(report);
                Some(full_plan(map, &demand_of(report)))
            }
            Policy::Threshold(estimator) => {
                estimator.add_report(report);
                let demand = demand_of(report);
                (map_skew(map, &demand) > THRESHOLD).then(|| full_plan(map, &demand))
            }
            Policy::Incremental(planner) => {
                planner.add_report(report);
                let plan = planner.plan(map, now)?;
                planner.record_switch(now);
                Some(plan.map)
            }
        }
    }
}

/// Returns the tuning of the Lipnik example.
pub fn lipnik_tuning() -> Tuning {
    tuning(5.0, 20)
}

/// Returns the tuning of the Galle example.
pub fn galle_tuning() -> Tuning {
    tuning(60.0, 300)
}

fn tuning(move_price: f64, interval_seconds: u64) -> Tuning {
    Tuning {
        move_price,
        switch_interval: Duration::from_secs(interval_seconds),
        horizon: Duration::from_secs(900),
        moves: 64,
    }
}

fn demand_of(report: &[Vec<u32>]) -> Vec<Vec<f64>> {
    report.iter().map(|layer| layer.iter().map(|count| f64::from(*count)).collect()).collect()
}

impl Skew {
    /// Runs the measurement.
    ///
    /// # Errors
    /// [`MeasureError::Check`] if a policy returns an invalid map.
    pub fn run(&self) -> Result<(), MeasureError> {
        for kind in DriftKind::ALL {
            for (name, policy) in Policy::all() {
                self.measure_policy(kind, name, policy)?;
            }
            self.measure_bound(kind);
        }
        Ok(())
    }

    fn steps(&self) -> u64 {
        self.hours * 3_600 / INTERVAL.as_secs()
    }

    fn drift(&self, kind: DriftKind) -> Drift {
        Drift::new(kind, usize::from(EXPERTS), usize::from(LAYERS), self.seed)
    }

    fn measure_policy(
        &self,
        kind: DriftKind,
        name: &str,
        mut policy: Policy,
    ) -> Result<(), MeasureError> {
        let mut drift = self.drift(kind);
        let mut map = ExpertMap::initial(RANKS, SLOTS, LAYERS, EXPERTS);
        let (mut skews, mut moves, mut switches) = (Vec::new(), 0, 0);
        for step in 0..self.steps() {
            let now = INTERVAL * step as u32;
            let demand = drift.demand(now);
            skews.push(map_skew(&map, &demand));
            let report = drift.report(&demand);
            if let Some(next) = policy.plan(&map, &report, now) {
                next.check(usize::from(EXPERTS))
                    .map_err(|error| MeasureError::Check(format!("{name}: {error}")))?;
                moves += map.moves_to(&next).len();
                switches += 1;
                map = next;
            }
        }
        let labels = [("drift", kind.name().to_string()), ("policy", name.to_string())];
        let per_hour = moves as f64 / self.hours as f64;
        print_row("skew_p50", &labels, format!("{:.3}", quantile(&mut skews, 0.5)), "ratio");
        print_row("skew_p99", &labels, format!("{:.3}", quantile(&mut skews, 0.99)), "ratio");
        print_row("moves_per_hour", &labels, format!("{per_hour:.1}"), "moves");
        print_row("bytes_per_hour", &labels, format!("{:.2e}", per_hour * EXPERT_BYTES), "bytes");
        let switches = switches as f64 / self.hours as f64;
        print_row("switches_per_hour", &labels, format!("{switches:.1}"), "switches");
        Ok(())
    }

    /// Prints the lower bound of the skew of any placement into the slots.
    fn measure_bound(&self, kind: DriftKind) {
        let mut drift = self.drift(kind);
        let mut skews = Vec::new();
        for step in 0..self.steps() {
            let demand = drift.demand(INTERVAL * step as u32);
            let layer =
                |demand: &Vec<f64>| least_skew(usize::from(RANKS), usize::from(SLOTS), demand);
            skews.push(demand.iter().map(layer).sum::<f64>() / demand.len() as f64);
        }
        let labels = [("drift", kind.name().to_string()), ("policy", "bound".to_string())];
        print_row("skew_p50", &labels, format!("{:.3}", quantile(&mut skews, 0.5)), "ratio");
        print_row("skew_p99", &labels, format!("{:.3}", quantile(&mut skews, 0.99)), "ratio");
    }
}
