//! Expert maps: the expert in each slot of each rank, and the shares of its replicas.

use std::fmt;

use bw_model::MapVersion;
use serde::Deserialize;
use serde::Serialize;

/// Sum of the shares of all replicas of an expert in a layer.
pub const SHARE_WHOLE: u32 = 10_000;

/// One layer of a map; slot `rank * slots + n` is slot `n` of rank `rank`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Layer {
    /// Expert in each slot.
    pub experts: Vec<u16>,
    /// Share of its expert's tokens that each slot serves, in units of 1/[`SHARE_WHOLE`].
    pub shares: Vec<u16>,
}

/// The placement of all experts of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Version, unique among the maps of a group.
    pub version: MapVersion,
    /// Number of ranks.
    pub ranks: u16,
    /// Number of slots of each rank in each layer.
    pub slots: u16,
    /// Layers, in the order of the model.
    pub layers: Vec<Layer>,
}

/// Reason why a map is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapError {
    /// The number of slots in a layer differs from ranks times slots per rank.
    Slots {
        /// Index of the layer.
        layer: usize,
        /// Actual number of slots.
        found: usize,
    },
    /// A slot holds an expert that does not exist.
    Expert {
        /// Index of the layer.
        layer: usize,
        /// Index of the slot in the layer.
        slot: usize,
    },
    /// The shares of an expert do not add up to [`SHARE_WHOLE`], or the expert has no slot.
    Shares {
        /// Index of the layer.
        layer: usize,
        /// Number of the expert.
        expert: usize,
        /// Actual sum of the shares.
        sum: u32,
    },
}

impl fmt::Display for MapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Slots { layer, found } => write!(f, "layer {layer} has {found} slots"),
            Self::Expert { layer, slot } => {
                write!(f, "layer {layer}, slot {slot} holds an expert that does not exist")
            }
            Self::Shares { layer, expert, sum } => {
                write!(f, "layer {layer}, expert {expert}: shares add up to {sum}/{SHARE_WHOLE}")
            }
        }
    }
}

impl std::error::Error for MapError {}

/// An expert that a rank has to load in one layer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// Index of the layer.
    pub layer: u16,
    /// Rank that loads the expert.
    pub rank: u16,
    /// Number of the expert.
    pub expert: u16,
}

impl ExpertMap {
    /// Returns a map that fills all slots with equal numbers of replicas of each expert, plus one
    /// of the first experts where the division leaves a remainder.
    ///
    /// Assigns the replicas to ranks round-robin, the experts with the additional replica first, so
    /// that even demand gives even load.
    pub fn initial(ranks: u16, slots: u16, layers: u16, experts: u16) -> Self {
        let (ranks_n, slots_n) = (usize::from(ranks), usize::from(slots));
        let count = ranks_n * slots_n;
        let replicas = |expert: usize| {
            count / usize::from(experts) + usize::from(expert < count % usize::from(experts))
        };
        let sequence = (0..usize::from(experts))
            .flat_map(|expert| std::iter::repeat_n(expert as u16, replicas(expert)));
        let mut order = vec![0; count];
        for (index, expert) in sequence.enumerate() {
            order[index % ranks_n * slots_n + index / ranks_n] = expert;
        }
        let mut layer = Layer { shares: vec![0; count], experts: order };
        layer.share_evenly(usize::from(experts));
        let layers = vec![layer; usize::from(layers)];
        Self { version: MapVersion(1), ranks, slots, layers }
    }

    /// Checks that the shares of every expert add up to [`SHARE_WHOLE`] in each layer.
    ///
    /// # Errors
    /// Returns the first [`MapError`] found.
    pub fn check(&self, experts: usize) -> Result<(), MapError> {
        let count = usize::from(self.ranks) * usize::from(self.slots);
        for (number, layer) in self.layers.iter().enumerate() {
            if layer.experts.len() != count || layer.shares.len() != count {
                return Err(MapError::Slots { layer: number, found: layer.experts.len() });
            }
            let mut sums = vec![0u32; experts];
            for (slot, expert) in layer.experts.iter().enumerate() {
                let sum = sums.get_mut(usize::from(*expert));
                let sum = sum.ok_or(MapError::Expert { layer: number, slot })?;
                *sum += u32::from(layer.shares[slot]);
            }
            let wrong = sums.iter().position(|sum| *sum != SHARE_WHOLE);
            if let Some(expert) = wrong {
                return Err(MapError::Shares { layer: number, expert, sum: sums[expert] });
            }
        }
        Ok(())
    }

    /// Returns the experts that ranks have to load to switch from `self` to `next`.
    pub fn moves_to(&self, next: &ExpertMap) -> Vec<Move> {
        let mut moves = Vec::new();
        let slots = usize::from(self.slots).max(1);
        for (number, (old, new)) in self.layers.iter().zip(&next.layers).enumerate() {
            let pairs = old.experts.chunks(slots).zip(new.experts.chunks(slots));
            for (rank, (old, new)) in pairs.enumerate() {
                let added = new.iter().filter(|expert| !old.contains(expert));
                moves.extend(added.map(|expert| Move {
                    layer: number as u16,
                    rank: rank as u16,
                    expert: *expert,
                }));
            }
        }
        moves
    }
}

impl Layer {
    /// Splits the tokens of each expert evenly among its slots.
    pub fn share_evenly(&mut self, experts: usize) {
        let mut counts = vec![0u32; experts];
        for expert in &self.experts {
            counts[usize::from(*expert)] += 1;
        }
        let mut assigned = vec![0u32; experts];
        for (slot, expert) in self.experts.iter().enumerate() {
            let expert = usize::from(*expert);
            let share = SHARE_WHOLE / counts[expert];
            let remainder = SHARE_WHOLE % counts[expert];
            let extra = u32::from(assigned[expert] < remainder);
            assigned[expert] += 1;
            self.shares[slot] = (share + extra) as u16;
        }
    }

    /// Returns the load of each rank, given the demand of each expert.
    pub fn rank_loads(&self, slots: usize, demand: &[f64]) -> Vec<f64> {
        let slot_load = |slot: usize| {
            let share = f64::from(self.shares[slot]) / f64::from(SHARE_WHOLE);
            demand[usize::from(self.experts[slot])] * share
        };
        let ranks = self.experts.len() / slots.max(1);
        (0..ranks).map(|rank| (rank * slots..(rank + 1) * slots).map(slot_load).sum()).collect()
    }
}
