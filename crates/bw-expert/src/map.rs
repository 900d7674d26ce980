//! Expert maps: which slot of which rank holds which expert, and how replicas share its tokens.

use std::fmt;

use bw_model::MapVersion;
use serde::Deserialize;
use serde::Serialize;

/// Sum of the shares of an expert's replicas in a layer.
pub const SHARE_WHOLE: u32 = 10_000;

/// One layer of a map. Slot `rank * slots + n` is the `n`th slot of that rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Layer {
    /// Expert in each slot.
    pub experts: Vec<u16>,
    /// Share of the expert's tokens that go to each slot, in units of 1/[`SHARE_WHOLE`].
    pub shares: Vec<u16>,
}

/// The placement of all experts of a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ExpertMap {
    /// Version; each map of a group has its own.
    pub version: MapVersion,
    /// Number of ranks.
    pub ranks: u16,
    /// Slots of each rank in each layer.
    pub slots: u16,
    /// Layers.
    pub layers: Vec<Layer>,
}

/// Why a map is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MapError {
    /// A layer has another number of slots than ranks times slots.
    Slots {
        /// Layer.
        layer: usize,
        /// Slots found.
        found: usize,
    },
    /// A slot holds an expert that does not exist.
    Expert {
        /// Layer.
        layer: usize,
        /// Slot.
        slot: usize,
    },
    /// The shares of an expert do not add up to the whole, or the expert has no slot.
    Shares {
        /// Layer.
        layer: usize,
        /// Expert.
        expert: usize,
        /// Sum found.
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

/// One expert to load into one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Move {
    /// Layer.
    pub layer: u16,
    /// Rank.
    pub rank: u16,
    /// Expert to load.
    pub expert: u16,
}

impl ExpertMap {
    /// All experts over all slots: as many replicas of each as go round, the experts with more
    /// replicas dealt out to the ranks first, so that even demand gives even ranks.
    pub fn initial(ranks: u16, slots: u16, layers: u16, experts: u16) -> Self {
        let (ranks_n, slots_n) = (usize::from(ranks), usize::from(slots));
        let count = ranks_n * slots_n;
        let copies = |expert: usize| {
            count / usize::from(experts) + usize::from(expert < count % usize::from(experts))
        };
        let deck = (0..usize::from(experts))
            .flat_map(|expert| std::iter::repeat_n(expert as u16, copies(expert)));
        let mut order = vec![0; count];
        for (card, expert) in deck.enumerate() {
            order[card % ranks_n * slots_n + card / ranks_n] = expert;
        }
        let mut layer = Layer { shares: vec![0; count], experts: order };
        layer.share_alike(usize::from(experts));
        let layers = vec![layer; usize::from(layers)];
        Self { version: MapVersion(1), ranks, slots, layers }
    }

    /// Checks that every expert is served in whole.
    ///
    /// # Errors
    /// The first [`MapError`] found.
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

    /// Experts that ranks have to load to go from `self` to `next`.
    pub fn moves_to(&self, next: &ExpertMap) -> Vec<Move> {
        let mut moves = Vec::new();
        let slots = usize::from(self.slots).max(1);
        for (number, (old, new)) in self.layers.iter().zip(&next.layers).enumerate() {
            let pairs = old.experts.chunks(slots).zip(new.experts.chunks(slots));
            for (rank, (old, new)) in pairs.enumerate() {
                let fresh = new.iter().filter(|expert| !old.contains(expert));
                moves.extend(fresh.map(|expert| Move {
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
    /// Shares each expert's tokens alike among its slots.
    pub fn share_alike(&mut self, experts: usize) {
        let mut counts = vec![0u32; experts];
        for expert in &self.experts {
            counts[usize::from(*expert)] += 1;
        }
        let mut given = vec![0u32; experts];
        for (slot, expert) in self.experts.iter().enumerate() {
            let expert = usize::from(*expert);
            let part = SHARE_WHOLE / counts[expert];
            let rest = SHARE_WHOLE % counts[expert];
            let extra = u32::from(given[expert] < rest);
            given[expert] += 1;
            self.shares[slot] = (part + extra) as u16;
        }
    }

    /// Load of each rank for the given demand of each expert.
    pub fn rank_loads(&self, slots: usize, demand: &[f64]) -> Vec<f64> {
        let slot_load = |slot: usize| {
            let share = f64::from(self.shares[slot]) / f64::from(SHARE_WHOLE);
            demand[usize::from(self.experts[slot])] * share
        };
        let ranks = self.experts.len() / slots.max(1);
        (0..ranks).map(|rank| (rank * slots..(rank + 1) * slots).map(slot_load).sum()).collect()
    }
}
