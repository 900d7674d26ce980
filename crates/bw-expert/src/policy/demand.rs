//! Estimates demand from counts that are noisy and late.
//!
//! A slow mean is kept for each expert. When a fast mean differs from it by more than noise
//! explains, demand has changed, and both means start anew from the last count.

/// Weight of a new report in the fast mean.
const FAST: f64 = 0.4;
/// Weight of a new report in the slow mean.
const SLOW: f64 = 0.05;
/// Standard deviations beyond which a difference is not noise.
const SIGNIFICANT: f64 = 4.0;

/// Means of one expert in a layer, in tokens a report.
#[derive(Clone, Copy, Debug, Default)]
struct Means {
    fast: f64,
    slow: f64,
}

/// Demand of each expert of each layer.
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    layers: Vec<Vec<Means>>,
    reports: u32,
}

impl Estimator {
    /// Takes a report: tokens of each expert of each layer since the last one.
    ///
    /// A report of another shape, as after a change of the group, starts the estimate anew.
    pub fn take(&mut self, report: &[Vec<u32>]) {
        let same_shape = self.layers.len() == report.len()
            && self.layers.iter().zip(report).all(|(known, new)| known.len() == new.len());
        if !same_shape {
            let empty = |layer: &Vec<u32>| vec![Means::default(); layer.len()];
            self.layers = report.iter().map(empty).collect();
            self.reports = 0;
        }
        self.reports += 1;
        // The first reports make a plain mean, whatever the weights.
        let plain = 1.0 / f64::from(self.reports);
        let (fast, slow) = (FAST.max(plain), SLOW.max(plain));
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

    /// Reports taken since the estimate began.
    pub fn reports(&self) -> u32 {
        self.reports
    }

    /// Tokens of each expert of each layer in one report.
    pub fn demand(&self) -> Vec<Vec<f64>> {
        let slow = |layer: &Vec<Means>| layer.iter().map(|mean| mean.slow).collect();
        self.layers.iter().map(slow).collect()
    }
}

impl Means {
    /// Whether counting noise explains the difference of the means.
    fn is_noise(&self) -> bool {
        // The variance of a mean with weight `w` of Poisson counts is about `w / 2` of the mean.
        let deviation = (self.slow.max(1.0) * FAST / 2.0).sqrt();
        (self.fast - self.slow).abs() <= SIGNIFICANT * deviation
    }
}
