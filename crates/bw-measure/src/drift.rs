//! Generators of drifting demand, apart from any policy.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Tokens of a layer in one report.
const TOKENS: f64 = 400_000.0;
/// Exponent of the popularity of experts.
const ZIPF: f64 = 0.6;

/// How demand changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriftKind {
    /// Popularity wanders over the day.
    Daily,
    /// Requests change in kind all at once, every two hours.
    Sudden,
    /// One expert becomes hot for half an hour at a time.
    Hot,
    /// Popularity swings to and fro every ten minutes.
    Swing,
    /// Popularity is even and constant; only counting noise remains.
    Noise,
}

impl DriftKind {
    /// All kinds.
    pub const ALL: [DriftKind; 5] =
        [Self::Daily, Self::Sudden, Self::Hot, Self::Swing, Self::Noise];

    /// Name in labels.
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

/// Demand of each expert of each layer over time.
pub struct Drift {
    kind: DriftKind,
    experts: usize,
    /// Two patterns for each layer, between which demand moves.
    patterns: Vec<[Vec<f64>; 2]>,
    /// Phase of each expert of each layer.
    phases: Vec<Vec<f64>>,
    random: ChaCha8Rng,
    noise: ChaCha8Rng,
    /// Period whose patterns are in use.
    period: u64,
}

impl Drift {
    /// Demand of `kind`; equal seeds give equal demand.
    pub fn new(kind: DriftKind, experts: usize, layers: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let patterns = (0..layers)
            .map(|_| [pattern(experts, &mut random), pattern(experts, &mut random)])
            .collect();
        let phase = |random: &mut ChaCha8Rng| (0..experts).map(|_| random.random()).collect();
        let phases = (0..layers).map(|_| phase(&mut random)).collect();
        let noise = ChaCha8Rng::seed_from_u64(seed + 1_000);
        Self { kind, experts, patterns, phases, random, noise, period: 0 }
    }

    /// True demand at `now`, in tokens a report.
    pub fn demand(&mut self, now: Duration) -> Vec<Vec<f64>> {
        let seconds = now.as_secs_f64();
        self.change_patterns(now);
        let layers = 0..self.patterns.len();
        layers.map(|layer| normalized(self.layer_demand(layer, seconds))).collect()
    }

    /// What the ranks count of a demand.
    pub fn report(&mut self, demand: &[Vec<f64>]) -> Vec<Vec<u32>> {
        let noise = &mut self.noise;
        demand
            .iter()
            .map(|layer| layer.iter().map(|mean| poisson(*mean, noise)).collect())
            .collect()
    }

    fn layer_demand(&self, layer: usize, seconds: f64) -> Vec<f64> {
        let [first, second] = &self.patterns[layer];
        match self.kind {
            DriftKind::Daily => {
                let swing = |expert: usize| {
                    let phase = self.phases[layer][expert];
                    1.0 + 0.6 * (TAU * (seconds / 86_400.0 + phase)).sin()
                };
                (0..self.experts).map(|expert| first[expert] * swing(expert)).collect()
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
                let part = 0.5 + 0.5 * (TAU * seconds / 600.0).sin();
                let mix = |expert: usize| first[expert] * part + second[expert] * (1.0 - part);
                (0..self.experts).map(mix).collect()
            }
            DriftKind::Noise => vec![1.0; self.experts],
        }
    }

    fn change_patterns(&mut self, now: Duration) {
        let length = match self.kind {
            DriftKind::Sudden => 7_200,
            DriftKind::Hot => 1_800,
            _ => u64::MAX,
        };
        let period = now.as_secs() / length;
        if period == self.period {
            return;
        }
        self.period = period;
        if self.kind == DriftKind::Sudden {
            for patterns in &mut self.patterns {
                patterns[0] = pattern(self.experts, &mut self.random);
            }
        }
    }
}

/// Popularity that falls with the rank of an expert in a random order.
fn pattern(experts: usize, random: &mut ChaCha8Rng) -> Vec<f64> {
    use rand::seq::SliceRandom;
    let mut order: Vec<usize> = (0..experts).collect();
    order.shuffle(random);
    order.into_iter().map(|rank| (rank as f64 + 3.0).powf(-ZIPF)).collect()
}

fn normalized(demand: Vec<f64>) -> Vec<f64> {
    let total: f64 = demand.iter().sum();
    demand.into_iter().map(|one| one * TOKENS / total).collect()
}

/// A count around `mean`, by the normal approximation, which is close at these counts.
fn poisson(mean: f64, random: &mut ChaCha8Rng) -> u32 {
    let sum: f64 = (0..12).map(|_| random.random::<f64>()).sum();
    (mean + (sum - 6.0) * mean.sqrt()).round().max(0.0) as u32
}
