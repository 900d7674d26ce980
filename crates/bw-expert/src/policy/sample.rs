//! Estimates demand from the counts of a few ranks.
//!
//! Ranks count how often their own requests chose each expert. Requests are spread over all ranks,
//! so a few ranks are a sample of the demand of the group, with the noise of their few requests.

use std::collections::HashMap;

/// Weight of a new sample in the estimate while demand is steady.
const STEADY_WEIGHT: f64 = 0.3;
/// Weight of a new sample that differs from the estimate by more than noise explains.
const CHANGED_WEIGHT: f64 = 0.8;
/// Difference, as a fraction of all tokens, above which demand has shifted.
const CHANGE_THRESHOLD: f64 = 0.22;
/// Weight of the first sample after a shift, which holds few requests.
const SHIFT_WEIGHT: f64 = 0.85;
/// Weight of the second sample after a shift, which holds more requests.
const REFINE_WEIGHT: f64 = 0.7;
/// Number of counted choices below which a sample is too noisy to use.
const CHOICES_MIN: u64 = 2_000;

/// Time of a sample relative to the last shift of demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleTime {
    /// Demand is assumed to be steady.
    Steady,
    /// Immediately after a shift.
    Shift,
    /// Some time after [`SampleTime::Shift`].
    Refine,
}

/// Estimates the demand of each expert in each set, as a fraction of the set's tokens.
#[derive(Clone, Debug)]
pub struct Sampler {
    sets: usize,
    experts: usize,
    epoch: u64,
    /// Counts last received from each rank.
    last_counts: HashMap<u16, Vec<u64>>,
    demand: Option<Vec<Vec<f64>>>,
    /// Choices counted since the last update of the estimate.
    pending: Vec<u64>,
}

impl Sampler {
    /// Creates a sampler without an estimate for a group of `sets` sets of `experts` experts each.
    pub fn new(sets: usize, experts: usize) -> Self {
        let pending = vec![0; sets * experts];
        Self { sets, experts, epoch: 0, last_counts: HashMap::new(), demand: None, pending }
    }

    /// Adds the choices of a rank since its previous counts; `counts` are totals since its start.
    ///
    /// Counts of another shape are ignored. `epoch` is the incarnation of the group; a new one makes
    /// all previous counts invalid.
    pub fn add_counts(&mut self, rank: u16, epoch: u64, counts: &[u64]) {
        if counts.len() != self.sets * self.experts {
            return;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.last_counts.clear();
        }
        // The first counts of a rank cover all the time since its start, in which demand may have
        // been different.
        let Some(previous) = self.last_counts.insert(rank, counts.to_vec()) else { return };
        for (index, (count, previous)) in counts.iter().zip(previous).enumerate() {
            let chosen = count.saturating_sub(previous);
            self.pending[index] = self.pending[index].saturating_add(chosen);
        }
    }

    /// Records the counts of a rank as the baseline for its next counts and discards the choices
    /// not yet in the estimate, since demand was different before.
    pub fn rebase(&mut self, rank: u16, epoch: u64, counts: &[u64]) {
        self.add_counts(rank, epoch, counts);
        self.pending.iter_mut().for_each(|count| *count = 0);
    }

    /// Updates the estimate with the choices since the last update; returns false when there were
    /// too few.
    pub fn update_estimate(&mut self, time: SampleTime) -> bool {
        let total = sum(&self.pending);
        if total < CHOICES_MIN {
            return false;
        }
        let sample: Vec<Vec<f64>> = self.pending.chunks(self.experts).map(to_fractions).collect();
        self.pending.iter_mut().for_each(|count| *count = 0);
        let Some(demand) = &mut self.demand else {
            self.demand = Some(sample);
            return true;
        };
        let weight = match time {
            SampleTime::Steady if distance(demand, &sample) > CHANGE_THRESHOLD => CHANGED_WEIGHT,
            SampleTime::Steady => STEADY_WEIGHT,
            SampleTime::Shift => SHIFT_WEIGHT,
            SampleTime::Refine => REFINE_WEIGHT,
        };
        for (known, new) in demand.iter_mut().flatten().zip(sample.iter().flatten()) {
            *known += (new - *known) * weight;
        }
        true
    }

    /// Returns the estimate, by set and expert; `None` before the first update.
    pub fn demand(&self) -> Option<&[Vec<f64>]> {
        self.demand.as_deref()
    }
}

/// Returns the sum of counts, which ranks may give as high as they like.
fn sum(counts: &[u64]) -> u64 {
    counts.iter().fold(0, |sum, count| sum.saturating_add(*count))
}

/// Returns the counts as fractions of their sum.
fn to_fractions(counts: &[u64]) -> Vec<f64> {
    let total = sum(counts);
    counts.iter().map(|count| *count as f64 / total.max(1) as f64).collect()
}

/// Returns half the sum of the absolute differences, averaged over the sets: the fraction of tokens
/// that moved to other experts.
fn distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let sum: f64 = a.iter().flatten().zip(b.iter().flatten()).map(|(a, b)| (a - b).abs()).sum();
    sum / 2.0 / a.len().max(1) as f64
}
