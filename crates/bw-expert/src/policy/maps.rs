//! Plans the maps of all sets of a group in one search.
//!
//! Load pattern: demand shifts every few seconds while steps are close to the longest timely pause, so the new
//! map has to be ready soon. Ranks copy experts one after another, and the switch waits for the rank that
//! receives the most. How much a switch may copy follows from the time that a copy takes: from a few milliseconds,
//! where a map that is level costs next to nothing, to more than a step.

use std::time::Duration;

use super::replicas::improve;
use super::replicas::Placement;
use super::replicas::RankLimits;
use super::reserve::Reserve;

/// Fraction by which steps are longer while a rank copies experts.
const COPY_SLOWDOWN: f64 = 0.15;
/// Time for which a map is assumed to be in use; demand may shift at any time after that.
const MAP_LIFETIME: Duration = Duration::from_secs(1);
/// Lowest price of a copy: a smaller gain is within the noise of the counts, and the next ones would undo it.
const COPY_PRICE_MIN: f64 = 0.004;
/// Smallest number of experts that a rank may receive in one switch.
const RECEIVED_MIN: usize = 2;
/// Minimum pace at which a rank counts as slow.
pub const SLOW_PACE: f64 = 1.15;

/// Limits of a rank for experts that each take `copy_time` to copy. A rank can hold `capacity` experts of a set and
/// receive `max_received` of them in one switch; `max_pause` is the longest timely pause between events.
///
/// A copy has to shorten steps, over the life of a map, by more than it lengthens them. A rank receives what it can
/// copy within a timely pause.
pub fn rank_limits(
    capacity: usize,
    max_received: usize,
    copy_time: Duration,
    max_pause: Duration,
) -> RankLimits {
    let copy_secs = copy_time.as_secs_f64().max(f64::MIN_POSITIVE);
    let within_pause = (max_pause.as_secs_f64() / copy_secs) as usize;
    let price = COPY_SLOWDOWN * copy_secs / MAP_LIFETIME.as_secs_f64();
    RankLimits {
        capacity,
        max_received,
        max_total: within_pause.max(RECEIVED_MIN),
        copy_price: price.max(COPY_PRICE_MIN),
    }
}

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
        let received_max = if has_slow_rank { usize::MAX } else { limits.max_total };
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
