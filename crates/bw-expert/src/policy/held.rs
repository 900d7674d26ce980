//! Checks the experts that ranks say they hold, before they are used as indices.

use std::fmt;

use super::replicas::Placement;
use super::replicas::RankExperts;

/// Number of sets of a group, and of experts in each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MapShape {
    /// Number of layer sets with a placement of their own.
    pub sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
}

/// Reason why what ranks say they hold is no expert map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldError {
    /// A rank lists another number of sets than the group has.
    Sets(usize),
    /// A rank lists an expert that does not exist.
    Unknown {
        /// Index of the set.
        set: usize,
        /// Number of the expert.
        expert: u16,
    },
    /// A rank lists an expert twice.
    Repeated {
        /// Index of the set.
        set: usize,
        /// Number of the expert.
        expert: u16,
    },
    /// No rank lists an expert.
    Unheld {
        /// Index of the set.
        set: usize,
        /// Number of the expert.
        expert: usize,
    },
}

impl fmt::Display for HeldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sets(found) => write!(f, "{found} sets are listed"),
            Self::Unknown { set, expert } => {
                write!(f, "set {set} has no expert {expert}")
            }
            Self::Repeated { set, expert } => {
                write!(f, "expert {expert} of set {set} is listed twice")
            }
            Self::Unheld { set, expert } => {
                write!(f, "no rank holds expert {expert} of set {set}")
            }
        }
    }
}

impl std::error::Error for HeldError {}

/// Experts of one rank by set, as received, and the shape that they have to fit.
#[derive(Clone, Debug)]
pub struct RankLists {
    /// Shape of the group's maps.
    pub shape: MapShape,
    /// Experts in each set.
    pub sets: Vec<RankExperts>,
}

/// Experts of one rank by set. All of them exist, and none is listed twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldSets(Vec<RankExperts>);

impl TryFrom<RankLists> for HeldSets {
    type Error = HeldError;

    fn try_from(lists: RankLists) -> Result<Self, HeldError> {
        let RankLists { shape, sets } = lists;
        if sets.len() != shape.sets {
            return Err(HeldError::Sets(sets.len()));
        }
        let mut seen = vec![usize::MAX; shape.experts];
        for (set, experts) in sets.iter().enumerate() {
            for &expert in experts {
                match seen.get_mut(usize::from(expert)) {
                    None => return Err(HeldError::Unknown { set, expert }),
                    Some(last) if *last == set => return Err(HeldError::Repeated { set, expert }),
                    Some(last) => *last = set,
                }
            }
        }
        Ok(Self(sets))
    }
}

/// Returns the map in which each rank holds what it has listed; `ranks` are in the order of their numbers
/// and of the same shape.
///
/// # Errors
/// [`HeldError::Unheld`] when an expert has no holder.
pub fn complete_map(ranks: &[&HeldSets], shape: MapShape) -> Result<Vec<Placement>, HeldError> {
    let placement =
        |set: usize| Placement { ranks: ranks.iter().map(|held| held.0[set].clone()).collect() };
    let map: Vec<Placement> = (0..shape.sets).map(placement).collect();
    for (set, placement) in map.iter().enumerate() {
        let holders = placement.holders(shape.experts);
        if let Some(expert) = holders.iter().position(|count| *count == 0) {
            return Err(HeldError::Unheld { set, expert });
        }
    }
    Ok(map)
}
