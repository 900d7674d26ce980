//! Gives experts that only one rank holds a second holder, in places that are free.
//!
//! Load pattern: demand shifts every few seconds, and an expert that was little used becomes the hottest one.
//! Until a map for the new demand is in force, its holders share all of its tokens, and each step lasts as long as
//! they need. Two holders halve that time; which expert will be next is not known.

use super::replicas::Placement;
use super::replicas::RankLimits;

/// An expert with one holder.
#[derive(Clone, Copy, Debug)]
struct SingleExpert {
    expert: u16,
    holder: usize,
    demand: f64,
}

/// Search for second holders in the free places of one set.
#[derive(Clone, Debug)]
pub struct Reserve {
    /// Experts with one holder; the last one is the next to get a second holder.
    open: Vec<SingleExpert>,
    /// Time of each rank.
    times: Vec<f64>,
    paces: Vec<f64>,
    /// Time of the slowest rank, which no addition may raise.
    peak: f64,
}

impl Reserve {
    /// Lists the experts of a set that one rank holds, those of the slowest ranks first.
    pub fn new(placement: &Placement, demand: &[f64], paces: &[f64]) -> Self {
        let times = placement.times(demand, paces);
        let holders = placement.holders(demand.len());
        let mut open: Vec<SingleExpert> = Vec::new();
        for (holder, held) in placement.ranks.iter().enumerate() {
            let alone = held.iter().filter(|expert| holders[usize::from(**expert)] == 1);
            open.extend(alone.map(|expert| SingleExpert {
                expert: *expert,
                holder,
                demand: demand[usize::from(*expert)],
            }));
        }
        open.sort_by(|a, b| times[a.holder].total_cmp(&times[b.holder]));
        let peak = times.iter().copied().fold(0.0, f64::max);
        Self { open, times, paces: paces.to_vec(), peak }
    }

    /// Adds one holder to `placement`, at the fastest rank that has a free place and, unless it held the expert
    /// `before`, room to receive it; returns false when no expert can get one.
    pub fn add_holder(
        &mut self,
        placement: &mut Placement,
        before: &Placement,
        limits: RankLimits,
        room: &mut [usize],
    ) -> bool {
        while let Some(single) = self.open.pop() {
            let expert = single.expert;
            let half = single.demand / 2.0;
            let is_held = |rank: usize| before.ranks[rank].contains(&expert);
            let fits = |rank: &usize| {
                let held = &placement.ranks[*rank];
                let may_receive =
                    room[*rank] > 0 && placement.received_by(*rank, before) < limits.max_received;
                held.len() < limits.capacity
                    && !held.contains(&expert)
                    && self.times[*rank] + self.paces[*rank] * half <= self.peak
                    && (is_held(*rank) || may_receive)
            };
            let by_time = |a: &usize, b: &usize| self.times[*a].total_cmp(&self.times[*b]);
            let Some(rank) = (0..placement.ranks.len()).filter(fits).min_by(by_time) else {
                continue;
            };
            if !is_held(rank) {
                room[rank] -= 1;
            }
            placement.ranks[rank].push(expert);
            self.times[rank] += self.paces[rank] * half;
            self.times[single.holder] -= self.paces[single.holder] * half;
            return true;
        }
        false
    }
}
