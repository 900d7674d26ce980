//! Plans the maps of all sets of a group in one search.
//!
//! Load pattern: demand shifts every few seconds while steps are close to the longest timely pause, so the new
//! map has to be ready soon. Ranks copy experts one after another, and the switch waits for the rank that
//! receives the most.

use super::replicas::improve;
use super::replicas::Placement;
use super::replicas::RankLimits;
use super::reserve::Reserve;

/// Largest number of experts that a rank receives in one switch. Steps are longer until the last copy ends.
const RECEIVED_MAX: usize = 2;
/// Minimum pace at which a rank counts as slow.
pub const SLOW_PACE: f64 = 1.15;

/// A planned map, the map that the plan started from, and the skew of each, averaged over the
/// sets.
#[derive(Clone, Debug)]
pub struct MapPlan {
    /// Map that the plan started from.
    pub before: Vec<Placement>,
    /// Planned map.
    pub next: Vec<Placement>,
    /// Skew of the map that the plan started from.
    pub skew_before: f64,
    /// Skew of the planned map.
    pub skew_after: f64,
    /// Whether a rank receives as much as one switch allows, so that another one may gain more.
    pub partial: bool,
}

impl MapPlan {
    /// Returns the load that the new map takes from the busiest rank, as a fraction of the mean
    /// load.
    pub fn gain(&self) -> f64 {
        self.skew_before - self.skew_after
    }

    /// Returns the number of experts that ranks have to receive.
    pub fn received(&self) -> usize {
        self.next.iter().zip(&self.before).map(|(next, set)| next.received(set)).sum()
    }

    /// Returns the largest number of experts, over all sets, that any rank has to receive.
    pub fn received_most(&self) -> usize {
        received_by_rank(&self.next, &self.before).into_iter().max().unwrap_or(0)
    }
}

/// Search for a map, one set at a time, so that the caller can do other work in between.
#[derive(Clone, Debug)]
pub struct MapSearch {
    before: Vec<Placement>,
    next: Vec<Placement>,
    demand: Vec<Vec<f64>>,
    paces: Vec<f64>,
    limits: RankLimits,
    /// Number of experts that each rank may still receive.
    room: Vec<usize>,
    /// Skew of each set before.
    skews: Vec<f64>,
    /// Sets that are not planned yet; the last one is the next.
    open: Vec<usize>,
}

impl MapSearch {
    /// Starts a search from the map `before`.
    pub fn new(
        before: Vec<Placement>,
        demand: Vec<Vec<f64>>,
        paces: Vec<f64>,
        limits: RankLimits,
    ) -> Self {
        let skews: Vec<f64> =
            before.iter().zip(&demand).map(|(set, demand)| set.skew(demand, &paces)).collect();
        // The sets that lengthen steps the most have the first choice of what ranks may receive.
        let mut open: Vec<usize> = (0..skews.len()).collect();
        open.sort_by(|a, b| skews[*a].total_cmp(&skews[*b]));
        // A slow rank stays the slowest until nearly all of its experts have moved, so parts of that
        // change gain nothing.
        let has_slow_rank = paces.iter().any(|pace| *pace >= SLOW_PACE);
        let received_max = if has_slow_rank { usize::MAX } else { RECEIVED_MAX };
        let room = vec![received_max; paces.len()];
        Self { next: before.clone(), before, demand, paces, limits, room, skews, open }
    }

    /// Plans one more set; returns false when all sets are planned.
    pub fn step(&mut self) -> bool {
        let Some(index) = self.open.pop() else { return false };
        let (before, demand) = (&self.before[index], &self.demand[index]);
        self.next[index] = improve(before, demand, &self.paces, self.limits, &self.room);
        for (rank, room) in self.room.iter_mut().enumerate() {
            *room = room.saturating_sub(self.next[index].received_by(rank, before));
        }
        true
    }

    /// Gives second holders to experts that one rank holds, one expert of each set in turn, as long as no rank
    /// receives more than the one that receives the most: the switch then takes no longer.
    pub fn add_reserves(&mut self) {
        let received = received_by_rank(&self.next, &self.before);
        let most = received.iter().copied().max().unwrap_or(0);
        let mut room: Vec<usize> = received.iter().map(|received| most - received).collect();
        let reserve =
            |(set, demand): (&Placement, &Vec<f64>)| Reserve::new(set, demand, &self.paces);
        let mut open: Vec<(usize, Reserve)> =
            self.next.iter().zip(&self.demand).map(reserve).enumerate().collect();
        while !open.is_empty() {
            open.retain_mut(|(index, reserve)| {
                let (next, before) = (&mut self.next[*index], &self.before[*index]);
                reserve.add_holder(next, before, self.limits, &mut room)
            });
        }
    }

    /// Returns the plan; sets that are not planned yet stay as they are.
    pub fn finish(self) -> MapPlan {
        let sets = self.before.len().max(1) as f64;
        let after = self.next.iter().zip(&self.demand);
        let after: f64 = after.map(|(set, demand)| set.skew(demand, &self.paces)).sum();
        MapPlan {
            skew_before: self.skews.iter().sum::<f64>() / sets,
            skew_after: after / sets,
            partial: self.room.contains(&0),
            before: self.before,
            next: self.next,
        }
    }
}

/// Returns the number of experts, over all sets, that each rank has to receive.
fn received_by_rank(next: &[Placement], before: &[Placement]) -> Vec<usize> {
    let ranks = next.first().map_or(0, |set| set.ranks.len());
    let received = |rank: usize| -> usize {
        next.iter().zip(before).map(|(next, set)| next.received_by(rank, set)).sum()
    };
    (0..ranks).map(received).collect()
}
