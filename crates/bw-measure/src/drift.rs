//! Generators of drifting expert demand, independent of the placement policies.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of tokens of a layer in one report.
const TOKENS_PER_REPORT: f64 = 400_000.0;
/// Zipf exponent of the popularity of experts.
const ZIPF_EXPONENT: f64 = 0.6;

/// How demand changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriftKind {
    /// The popularity of each expert follows a sine over the day, with a random phase.
    Daily,
    /// The pattern of popularity changes abruptly every two hours.
    Sudden,
    /// One expert becomes hot for every other half hour.
    Hot,
    /// Popularity oscillates between two patterns with a period of ten minutes.
    Swing,
    /// Popularity is uniform and constant; reports differ by sampling noise only.
    Noise,
}

impl DriftKind {
    /// All kinds, in the order of measurement.
    pub const ALL: [DriftKind; 5] =
        [Self::Daily, Self::Sudden, Self::Hot, Self::Swing, Self::Noise];

    /// Returns the value of the label `drift`.
    pub fn name(self) -> &'static str {
        match self {
            Self::Daily => "daily",
            Self::Sudden => "sudden",
            Self::Hot => "hot",
            Self::Swing => "swing",
            Self::Noise => "noise",
        }
    }
}

/// Generator of the demand of each expert of each layer over time.
pub struct Drift {
    kind: DriftKind,
    experts: usize,
    /// Two patterns of popularity for each layer; [`DriftKind::Swing`] moves between the two.
    patterns: Vec<[Vec<f64>; 2]>,
    /// Phase of each expert of each layer in the daily cycle, as a fraction of the cycle.
    phases: Vec<Vec<f64>>,
    rng: ChaCha8Rng,
    noise: ChaCha8Rng,
    /// Number of the period whose patterns are in use.
    period: u64,
}

impl Drift {
    /// Creates a generator of `kind`; equal seeds generate equal demand.
    pub fn new(kind: DriftKind, experts: usize, layers: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let patterns = (0..layers)
            .map(|_| [zipf_pattern(experts, &mut rng), zipf_pattern(experts, &mut rng)])
            .collect();
        let phase = |rng: &mut ChaCha8Rng| (0..experts).map(|_| rng.random()).collect();
        let phases = (0..layers).map(|_| phase(&mut rng)).collect();
        let noise = ChaCha8Rng::seed_from_u64(seed + 1_000);
        Self { kind, experts, patterns, phases, rng, noise, period: 0 }
    }

    /// Returns the true demand at `now`, in tokens per report.
    pub fn demand(&mut self, now: Duration) -> Vec<Vec<f64>> {
        let seconds = now.as_secs_f64();
        self.update_patterns(now);
        let layers = 0..self.patterns.len();
        layers.map(|layer| normalized(self.layer_demand(layer, seconds))).collect()
    }

    /// Returns the token counts that the ranks report for a demand, with sampling noise.
    pub fn report(&mut self, demand: &[Vec<f64>]) -> Vec<Vec<u32>> {
        let noise = &mut self.noise;
        demand
            .iter()
            .map(|layer| layer.iter().map(|mean| sample_count(*mean, noise)).collect())
            .collect()
    }

    fn layer_demand(&self, layer: usize, seconds: f64) -> Vec<f64> {
        let [first, second] = &self.patterns[layer];
        match self.kind {
            DriftKind::Daily => {
                let factor = |expert: usize| {
                    let phase = self.phases[layer][expert];
                    1.0 + 0.6 * (TAU * (seconds / 86_400.0 + phase)).sin()
                };
                (0..self.experts).map(|expert| first[expert] * factor(expert)).collect()
            }
            DriftKind::Sudden => first.clone(),
            DriftKind::Hot => {
                let mut demand = first.clone();
                let hot = (self.period as usize * 37 + layer * 11) % self.experts;
                if self.period % 2 == 1 {
                    demand[hot] += demand.iter().sum::<f64>() * 0.08;
                }
                demand
            }
            DriftKind::Swing => {
                let share = 0.5 + 0.5 * (TAU * seconds / 600.0).sin();
                let mix = |expert: usize| first[expert] * share + second[expert] * (1.0 - share);
                (0..self.experts).map(mix).collect()
            }
            DriftKind::Noise => vec![1.0; self.experts],
        }
    }

    fn update_patterns(&mut self, now: Duration) {
        let period_seconds = match self.kind {
            DriftKind::Sudden => 7_200,
            DriftKind::Hot => 1_800,
            _ => u64::MAX,
        };
        let period = now.as_secs() / period_seconds;
        if period == self.period {
            return;
        }
        self.period = period;
        if self.kind == DriftKind::Sudden {
            for patterns in &mut self.patterns {
                patterns[0] = zipf_pattern(self.experts, &mut self.rng);
            }
        }
    }
}

/// Returns a popularity that falls with an expert's rank in a random order, by a shifted Zipf law.
fn zipf_pattern(experts: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    use rand::seq::SliceRandom;
    let mut order: Vec<usize> = (0..experts).collect();
    order.shuffle(rng);
    order.into_iter().map(|rank| (rank as f64 + 3.0).powf(-ZIPF_EXPONENT)).collect()
}

fn normalized(demand: Vec<f64>) -> Vec<f64> {
    let total: f64 = demand.iter().sum();
    demand.into_iter().map(|tokens| tokens * TOKENS_PER_REPORT / total).collect()
}

/// Samples a Poisson count by the normal approximation, which is close at these counts.
fn sample_count(mean: f64, rng: &mut ChaCha8Rng) -> u32 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    (mean + (sum - 6.0) * mean.sqrt()).round().max(0.0) as u32
}
