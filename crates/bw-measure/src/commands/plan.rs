//! `plan`: time to plan the expert map of one group, and its growth with ranks, experts and layers.

use std::time::Duration;

use argh::FromArgs;
use bw_expert::policy::Planner;
use bw_expert::ExpertMap;
use tokio::time::Instant;

use super::skew::lipnik_tuning;
use crate::drift::Drift;
use crate::drift::DriftKind;
use crate::error::MeasureError;
use crate::output::print_row;
use crate::stats::fit_line;
use crate::stats::quantile;

/// time to plan the expert map of one group
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plan")]
pub struct PlanTime {
    /// number of plans for each size
    #[argh(option, default = "40")]
    plans: u32,
}

/// Size of a group.
#[derive(Clone, Copy)]
struct Size {
    ranks: u16,
    experts: u16,
    layers: u16,
}

/// Target size, at which plan times are reported.
const TARGET: Size = Size { ranks: 128, experts: 128, layers: 60 };

impl PlanTime {
    /// Runs the measurement.
    ///
    /// # Errors
    /// None at present; the return type is that of all measurements.
    pub fn run(&self) -> Result<(), MeasureError> {
        let mut times = self.time_plans(TARGET);
        let labels = [
            ("ranks", TARGET.ranks.to_string()),
            ("experts", TARGET.experts.to_string()),
            ("layers", TARGET.layers.to_string()),
        ];
        print_row("plan_p99", &labels, format!("{:.2}", quantile(&mut times, 0.99)), "ms");
        print_row("plan_p50", &labels, format!("{:.2}", quantile(&mut times, 0.5)), "ms");
        self.print_slope("ranks", &[16, 32, 64, 128], |ranks| Size { ranks, ..TARGET });
        self.print_slope("experts", &[32, 64, 128, 256], |experts| Size { experts, ..TARGET });
        self.print_slope("layers", &[15, 30, 60], |layers| Size { layers, ..TARGET });
        Ok(())
    }

    fn print_slope<F>(&self, name: &str, sizes: &[u16], size: F)
    where
        F: Fn(u16) -> Size,
    {
        let mut points = Vec::new();
        for value in sizes {
            let mut times = self.time_plans(size(*value));
            points.push((f64::from(*value), quantile(&mut times, 0.5)));
        }
        let (_, slope) = fit_line(&points);
        let labels = [("by", name.to_string())];
        print_row("plan_slope", &labels, format!("{slope:.4}"), "ms_each");
    }

    fn time_plans(&self, size: Size) -> Vec<f64> {
        let slots = (size.experts / size.ranks).max(1) + 1;
        let mut drift =
            Drift::new(DriftKind::Sudden, usize::from(size.experts), usize::from(size.layers), 7);
        let mut planner = Planner::new(lipnik_tuning());
        let mut map = ExpertMap::initial(size.ranks, slots, size.layers, size.experts);
        let mut times = Vec::new();
        for number in 0..self.plans + 3 {
            let now = Duration::from_secs(u64::from(number) * 600);
            let demand = drift.demand(now);
            let report = drift.report(&demand);
            let started_at = Instant::now();
            planner.add_report(&report);
            let plan = planner.plan(&map, now);
            times.push(started_at.elapsed().as_secs_f64() * 1e3);
            if let Some(plan) = plan {
                planner.record_switch(now);
                map = plan.map;
            }
        }
        times
    }
}
