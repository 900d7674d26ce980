//! Estimates demand from noisy and delayed token counts.
//!
//! Each expert has a fast and a slow exponentially weighted mean. A difference between the two that
//! exceeds counting noise means that demand has changed; both means then restart from the last
//! count.

/// Weight of a new report in the fast mean.
const FAST_WEIGHT: f64 = 0.4;
/// Weight of a new report in the slow mean.
const SLOW_WEIGHT: f64 = 0.05;
/// Number of standard deviations above which a difference counts as a change of demand.
const SIGNIFICANT_DEVIATIONS: f64 = 4.0;

/// Means of one expert in a layer, in tokens per report.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    fast: f64,
    slow: f64,
}

/// Estimates the demand of each expert in each layer.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    layers: Vec<Vec<Means>>,
    reports: u32,
}

impl Estimator {
    /// Adds a report: the tokens of each expert in each layer since the previous report.
    ///
    /// A report with a different number of layers or experts, as after a change of the group,
    /// restarts the estimate.
    pub fn add_report(&mut self, report: &[Vec<u32>]) {
        let same_shape = self.layers.len() == report.len()
            && self.layers.iter().zip(report).all(|(known, new)| known.len() == new.len());
        if !same_shape {
            let empty = |layer: &Vec<u32>| vec![Means::default(); layer.len()];
            self.layers = report.iter().map(empty).collect();
            self.reports = 0;
        }
        self.reports += 1;
        // The first reports form an arithmetic mean, since each counts for at least 1/n.
        let equal = 1.0 / f64::from(self.reports);
        let (fast, slow) = (FAST_WEIGHT.max(equal), SLOW_WEIGHT.max(equal));
        for (means, counts) in self.layers.iter_mut().zip(report) {
            for (mean, count) in means.iter_mut().zip(counts) {
                let count = f64::from(*count);
                mean.fast += (count - mean.fast) * fast;
                mean.slow += (count - mean.slow) * slow;
                if !mean.is_noise() {
                    *mean = Means { fast: count, slow: count };
                }
            }
        }
    }

    /// Returns the number of reports since the estimate started or restarted.
    pub fn reports(&self) -> u32 {
        self.reports
    }

    /// Returns the estimated tokens per report of each expert in each layer.
    pub fn demand(&self) -> Vec<Vec<f64>> {
        let slow = |layer: &Vec<Means>| layer.iter().map(|mean| mean.slow).collect();
        self.layers.iter().map(slow).collect()
    }
}

impl Means {
    /// Returns whether counting noise explains the difference between the means.
    fn is_noise(&self) -> bool {
        // An exponentially weighted mean of Poisson counts with weight `w` has a variance of about
        // `w / 2` times the mean.
        let deviation = (self.slow.max(1.0) * FAST_WEIGHT / 2.0).sqrt();
        (self.fast - self.slow).abs() <= SIGNIFICANT_DEVIATIONS * deviation
    }
}
