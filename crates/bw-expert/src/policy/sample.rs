//! Estimates demand from the counts of a few ranks.
//!
//! Ranks count how often their own requests chose each expert. Requests are spread over all ranks,
//! so that a few of them show the demand of the group, but with the noise of their few requests.

use std::collections::HashMap;

/// Weight of a sample against the estimate while demand is steady.
const STEADY_WEIGHT: f64 = 0.3;
/// Weight when a sample differs from the estimate by more than noise explains.
const CHANGED_WEIGHT: f64 = 0.8;
/// Difference, as a part of all tokens, beyond which demand has shifted.
const CHANGED: f64 = 0.22;
/// Weight of the first sample after a shift, which holds few requests.
const SHIFT_WEIGHT: f64 = 0.85;
/// Weight of the second one, which holds more.
const REFINE_WEIGHT: f64 = 0.7;
/// Choices below which a sample says too little.
const CHOICES_MIN: u64 = 2_000;

/// When a sample was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// While demand is believed to be steady.
    Steady,
    /// Just after demand has shifted.
    Shift,
    /// A while after that.
    Refine,
}

/// Demand of each expert of each set, in parts of the set's tokens.
#[derive(Clone, Debug)]
pub struct Sampler {
    sets: usize,
    experts: usize,
    epoch: u64,
    /// Last counts of each rank.
    last: HashMap<u16, Vec<u64>>,
    demand: Option<Vec<Vec<f64>>>,
    /// Choices since the estimate was last moved.
    gathered: Vec<u64>,
}

impl Sampler {
    /// No estimate yet, for a group of this shape.
    pub fn new(sets: usize, experts: usize) -> Self {
        let gathered = vec![0; sets * experts];
        Self { sets, experts, epoch: 0, last: HashMap::new(), demand: None, gathered }
    }

    /// Takes the counts of a rank since its start; those of another shape are left out.
    pub fn take(&mut self, rank: u16, epoch: u64, counts: &[u64]) {
        if counts.len() != self.sets * self.experts {
            return;
        }
        if epoch != self.epoch {
            self.epoch = epoch;
            self.last.clear();
        }
        // The first counts of a rank span all its time, in which demand may have been another.
        let Some(before) = self.last.insert(rank, counts.to_vec()) else { return };
        for (index, (count, then)) in counts.iter().zip(before).enumerate() {
            self.gathered[index] += count.saturating_sub(then);
        }
    }

    /// Takes the counts of a rank as the point from which the next ones count, since demand was
    /// another before.
    pub fn rebase(&mut self, rank: u16, epoch: u64, counts: &[u64]) {
        self.take(rank, epoch, counts);
        self.gathered.iter_mut().for_each(|count| *count = 0);
    }

    /// Moves the estimate by what was gathered since the last time; false when that was too little.
    pub fn settle(&mut self, moment: Moment) -> bool {
        let total: u64 = self.gathered.iter().sum();
        if total < CHOICES_MIN {
            return false;
        }
        let sample: Vec<Vec<f64>> = self.gathered.chunks(self.experts).map(to_parts).collect();
        self.gathered.iter_mut().for_each(|count| *count = 0);
        let Some(demand) = &mut self.demand else {
            self.demand = Some(sample);
            return true;
        };
        let weight = match moment {
            Moment::Steady if distance(demand, &sample) > CHANGED => CHANGED_WEIGHT,
            Moment::Steady => STEADY_WEIGHT,
            Moment::Shift => SHIFT_WEIGHT,
            Moment::Refine => REFINE_WEIGHT,
        };
        for (known, new) in demand.iter_mut().flatten().zip(sample.iter().flatten()) {
            *known += (new - *known) * weight;
        }
        true
    }

    /// The estimate.
    pub fn demand(&self) -> Option<&[Vec<f64>]> {
        self.demand.as_deref()
    }
}

/// Counts as parts of their sum.
fn to_parts(counts: &[u64]) -> Vec<f64> {
    let total: u64 = counts.iter().sum();
    counts.iter().map(|count| *count as f64 / total.max(1) as f64).collect()
}

/// Half the summed difference, averaged over the sets: the part of the tokens that went elsewhere.
fn distance(a: &[Vec<f64>], b: &[Vec<f64>]) -> f64 {
    let sum: f64 = a.iter().flatten().zip(b.iter().flatten()).map(|(a, b)| (a - b).abs()).sum();
    sum / 2.0 / a.len().max(1) as f64
}
