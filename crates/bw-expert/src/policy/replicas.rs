//! Searches for placements in groups where the holders of an expert share its tokens evenly.
//!
//! Each set of layers is placed independently. The greedy search starts from the current placement
//! and repeatedly applies the change that relieves the slowest rank the most, within the number of
//! experts that a rank can hold and can receive in one switch. The time of a rank is its load times
//! its pace, so a slow rank is treated as a busy one.

use smallvec::SmallVec;

use super::skew::SMOOTH_EXPONENT;

/// Number of the heaviest experts of the busiest rank that are tried in each round.
const EXPERTS_TRIED: usize = 4;
/// Number of the least loaded ranks that are tried in each round.
const RANKS_TRIED: usize = 8;
/// Largest number of changes to one set in one search.
const ROUNDS_MAX: usize = 400;
/// Reduction of smooth skew, net of the price of its copies, that a change has to exceed.
const GAIN_MIN: f64 = 1e-4;

/// Experts that one rank holds in one set.
pub type RankExperts = SmallVec<[u16; 8]>;

/// Assignment of the experts of one set to ranks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    /// Experts held by each rank, by rank number.
    pub ranks: Vec<RankExperts>,
}

/// Limits of a rank in one set, and the price of a copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankLimits {
    /// Largest number of experts that a rank can hold in a set.
    pub capacity: usize,
    /// Largest number of experts of a set that a rank can receive in one switch.
    pub max_received: usize,
    /// Load that each copied expert has to take from the busiest rank, relative to the mean load.
    pub copy_price: f64,
}

impl Placement {
    /// Assigns the experts to the ranks round-robin, which is the default placement of engines.
    pub fn round_robin(ranks: usize, experts: usize) -> Self {
        let mut placement = Self { ranks: vec![RankExperts::new(); ranks] };
        for expert in 0..experts {
            placement.ranks[expert % ranks].push(expert as u16);
        }
        placement
    }

    /// Returns the number of holders of each of `experts` experts.
    pub fn holders(&self, experts: usize) -> Vec<u16> {
        let mut holders = vec![0; experts];
        for expert in self.ranks.iter().flatten() {
            holders[usize::from(*expert)] += 1;
        }
        holders
    }

    /// Returns the time that each rank needs, in units of demand; a pace is 1 for a healthy rank
    /// and higher for a slow one.
    pub fn times(&self, demand: &[f64], paces: &[f64]) -> Vec<f64> {
        let holders = self.holders(demand.len());
        let load = |expert: &u16| {
            demand[usize::from(*expert)] / f64::from(holders[usize::from(*expert)].max(1))
        };
        let time =
            |(experts, pace): (&RankExperts, &f64)| pace * experts.iter().map(load).sum::<f64>();
        self.ranks.iter().zip(paces).map(time).collect()
    }

    /// Returns the time of the slowest rank divided by the mean time of healthy ranks; 1 without
    /// demand.
    pub fn skew(&self, demand: &[f64], paces: &[f64]) -> f64 {
        let total: f64 = demand.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        let times = self.times(demand, paces);
        times.iter().copied().fold(0.0, f64::max) * times.len() as f64 / total
    }

    /// Returns the number of experts that ranks have to receive to change from `before` to this
    /// placement.
    pub fn received(&self, before: &Placement) -> usize {
        let new = |(now, then): (&RankExperts, &RankExperts)| {
            now.iter().filter(|expert| !then.contains(expert)).count()
        };
        self.ranks.iter().zip(&before.ranks).map(new).sum()
    }

    /// Returns the number of experts that a rank has to receive to change from `before`.
    pub fn received_by(&self, rank: usize, before: &Placement) -> usize {
        let held = &before.ranks[rank];
        self.ranks[rank].iter().filter(|expert| !held.contains(expert)).count()
    }

    /// Returns whether every expert has a holder, no rank holds an expert twice, and no rank
    /// exceeds its limits in a switch from `before`.
    pub fn is_valid(&self, before: &Placement, experts: usize, limits: RankLimits) -> bool {
        let held = self.holders(experts).iter().all(|count| *count > 0);
        let fits = self.ranks.iter().zip(&before.ranks).all(|(now, then)| {
            let duplicated = (1..now.len()).any(|index| now[..index].contains(&now[index]));
            let received = now.iter().filter(|expert| !then.contains(expert)).count();
            !duplicated && now.len() <= limits.capacity && received <= limits.max_received
        });
        held && fits && self.ranks.len() == before.ranks.len()
    }
}

/// A change to a placement.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A rank receives an expert and drops the one in `replaced`, if any.
    Add { rank: usize, expert: u16, replaced: Option<u16> },
    /// A rank drops an expert that other ranks hold.
    Drop { rank: usize, expert: u16 },
    /// Two ranks exchange one expert each.
    Swap { from: usize, expert: u16, to: usize, other: u16 },
}

/// Searches for a placement whose slowest rank needs less time. `room` is the number of experts that
/// each rank may receive in this switch, beside the limit of a set.
///
/// Returns `before` when there is no demand or when `paces` or `room` has another number of ranks.
pub fn improve(
    before: &Placement,
    demand: &[f64],
    paces: &[f64],
    limits: RankLimits,
    room: &[usize],
) -> Placement {
    let total: f64 = demand.iter().sum();
    let ranks = before.ranks.len();
    if total <= 0.0 || paces.len() != ranks || room.len() != ranks {
        return before.clone();
    }
    let mean = total / before.ranks.len() as f64;
    let times = before.times(demand, paces);
    let terms: Vec<f64> = times.iter().map(|time| peak_term(*time, mean)).collect();
    let mut search = Search {
        before,
        demand,
        paces,
        limits,
        room,
        mean,
        placement: before.clone(),
        holders: holder_lists(before, demand.len()),
        sum: terms.iter().sum(),
        times,
        terms,
    };
    for _ in 0..ROUNDS_MAX {
        if !search.step() {
            break;
        }
    }
    search.placement
}

/// Returns the holders of each expert.
fn holder_lists(placement: &Placement, experts: usize) -> Vec<Holders> {
    let mut lists = vec![Holders::new(); experts];
    for (rank, held) in placement.ranks.iter().enumerate() {
        for expert in held {
            lists[usize::from(*expert)].push(rank as u16);
        }
    }
    lists
}

/// Returns the term of one rank in the power sum that approximates the peak time.
fn peak_term(time: f64, mean: f64) -> f64 {
    (time / mean).powi(SMOOTH_EXPONENT)
}

/// Ranks that hold an expert.
type Holders = SmallVec<[u16; 8]>;
/// Ranks whose times a change affects, with their times after the change.
type NewTimes = SmallVec<[(usize, f64); 16]>;

/// State of a greedy search from `before`.
struct Search<'a> {
    before: &'a Placement,
    demand: &'a [f64],
    paces: &'a [f64],
    limits: RankLimits,
    /// Number of experts that each rank may receive.
    room: &'a [usize],
    /// Time of each rank if all were healthy and evenly loaded.
    mean: f64,
    placement: Placement,
    holders: Vec<Holders>,
    times: Vec<f64>,
    /// Term of each rank in the power sum.
    terms: Vec<f64>,
    /// Sum of the terms.
    sum: f64,
}

impl Search<'_> {
    /// Applies the best change; returns false when no change gains enough.
    fn step(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.times.len()).collect();
        order.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        let Some(busiest) = order.last().copied() else { return false };
        let current = self.peak(self.sum);
        let mut best: Option<(f64, Change)> = None;
        for change in self.changes(busiest, &order) {
            let saved = current - self.peak(self.sum_after(change));
            let gain = saved - self.limits.copy_price * self.copies(change) as f64;
            if best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain) {
                best = Some((gain, change));
            }
        }
        match best {
            Some((gain, change)) if gain > GAIN_MIN => {
                self.apply(change);
                true
            }
            _ => false,
        }
    }

    /// Returns the power mean for a sum of terms, which approximates the relative time of the
    /// slowest rank.
    fn peak(&self, sum: f64) -> f64 {
        (sum / self.times.len() as f64).powf(1.0 / f64::from(SMOOTH_EXPONENT))
    }

    /// Returns the sum of the terms after a change.
    fn sum_after(&self, change: Change) -> f64 {
        let new_times = self.new_times(change);
        let difference =
            new_times.iter().map(|(rank, time)| peak_term(*time, self.mean) - self.terms[*rank]);
        (self.sum + difference.sum::<f64>()).max(0.0)
    }

    /// Returns the number of experts that ranks have to receive for a change.
    fn copies(&self, change: Change) -> usize {
        let is_new =
            |rank: usize, expert: u16| usize::from(!self.before.ranks[rank].contains(&expert));
        match change {
            Change::Add { rank, expert, .. } => is_new(rank, expert),
            Change::Drop { .. } => 0,
            Change::Swap { from, expert, to, other } => is_new(to, expert) + is_new(from, other),
        }
    }

    /// Returns the candidate changes that relieve the busiest rank; `order` lists the ranks by
    /// time.
    fn changes(&self, busiest: usize, order: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut experts = self.placement.ranks[busiest].clone();
        experts.sort_by(|a, b| self.replica_load(*b).total_cmp(&self.replica_load(*a)));
        for expert in experts.iter().copied().take(EXPERTS_TRIED) {
            if self.holders[usize::from(expert)].len() > 1 {
                changes.push(Change::Drop { rank: busiest, expert });
            }
            for rank in order.iter().copied().take(RANKS_TRIED).filter(|rank| *rank != busiest) {
                if self.placement.ranks[rank].contains(&expert) {
                    continue;
                }
                self.push_additions(rank, expert, &mut changes);
                self.push_swaps(busiest, expert, rank, &mut changes);
            }
        }
        changes
    }

    fn push_additions(&self, rank: usize, expert: u16, changes: &mut Vec<Change>) {
        let held = &self.placement.ranks[rank];
        if held.len() < self.limits.capacity && self.can_receive(rank, expert, None) {
            changes.push(Change::Add { rank, expert, replaced: None });
        }
        for other in held {
            let redundant = self.holders[usize::from(*other)].len() > 1;
            if redundant && self.can_receive(rank, expert, Some(*other)) {
                changes.push(Change::Add { rank, expert, replaced: Some(*other) });
            }
        }
    }

    fn push_swaps(&self, from: usize, expert: u16, to: usize, changes: &mut Vec<Change>) {
        for other in &self.placement.ranks[to] {
            let fits = !self.placement.ranks[from].contains(other)
                && self.replica_load(*other) < self.replica_load(expert)
                && self.can_receive(to, expert, Some(*other))
                && self.can_receive(from, *other, Some(expert));
            if fits {
                changes.push(Change::Swap { from, expert, to, other: *other });
            }
        }
    }

    /// Returns the load of an expert on each of its holders.
    fn replica_load(&self, expert: u16) -> f64 {
        self.load_among(expert, self.holders[usize::from(expert)].len())
    }

    /// Returns the load of an expert on each holder if it had the given number of holders.
    fn load_among(&self, expert: u16, holders: usize) -> f64 {
        self.demand[usize::from(expert)] / holders.max(1) as f64
    }

    /// Returns whether a rank may receive an expert, dropping `replaced`, within its limit per
    /// switch.
    fn can_receive(&self, rank: usize, expert: u16, replaced: Option<u16>) -> bool {
        let before = &self.before.ranks[rank];
        let kept = self.placement.ranks[rank].iter().filter(|held| Some(**held) != replaced);
        let received = kept.filter(|held| !before.contains(held)).count();
        let limit = self.limits.max_received.min(self.room[rank]);
        received + usize::from(!before.contains(&expert)) <= limit
    }

    /// Returns the ranks whose times a change affects, with their new times.
    fn new_times(&self, change: Change) -> NewTimes {
        let mut new_times = NewTimes::new();
        match change {
            Change::Add { rank, expert, replaced } => {
                self.change_holders(&mut new_times, expert, 1, Some(rank), None);
                if let Some(other) = replaced {
                    self.change_holders(&mut new_times, other, -1, None, Some(rank));
                }
            }
            Change::Drop { rank, expert } => {
                self.change_holders(&mut new_times, expert, -1, None, Some(rank));
            }
            Change::Swap { from, expert, to, other } => {
                let moved = self.replica_load(expert) - self.replica_load(other);
                self.add_load(&mut new_times, from, -moved);
                self.add_load(&mut new_times, to, moved);
            }
        }
        new_times
    }

    /// Adjusts the times of all holders of `expert` when one holder joins or leaves.
    fn change_holders(
        &self,
        new_times: &mut NewTimes,
        expert: u16,
        difference: isize,
        joining: Option<usize>,
        leaving: Option<usize>,
    ) {
        let holders = &self.holders[usize::from(expert)];
        let before = self.replica_load(expert);
        let after = self.load_among(expert, holders.len().saturating_add_signed(difference));
        for rank in holders {
            self.add_load(new_times, usize::from(*rank), after - before);
        }
        if let Some(rank) = joining {
            self.add_load(new_times, rank, after);
        }
        if let Some(rank) = leaving {
            self.add_load(new_times, rank, -after);
        }
    }

    /// Adds a load to a rank, scaled by the pace of the rank.
    fn add_load(&self, new_times: &mut NewTimes, rank: usize, load: f64) {
        let time = self.paces[rank] * load;
        match new_times.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, new_time)) => *new_time += time,
            None => new_times.push((rank, self.times[rank] + time)),
        }
    }

    fn apply(&mut self, change: Change) {
        for (rank, time) in self.new_times(change) {
            self.times[rank] = time.max(0.0);
            self.terms[rank] = peak_term(self.times[rank], self.mean);
        }
        self.sum = self.terms.iter().sum();
        match change {
            Change::Add { rank, expert, replaced } => {
                if let Some(other) = replaced {
                    self.remove(rank, other);
                }
                self.insert(rank, expert);
            }
            Change::Drop { rank, expert } => self.remove(rank, expert),
            Change::Swap { from, expert, to, other } => {
                self.remove(from, expert);
                self.remove(to, other);
                self.insert(from, other);
                self.insert(to, expert);
            }
        }
    }

    fn insert(&mut self, rank: usize, expert: u16) {
        self.placement.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank as u16);
    }

    fn remove(&mut self, rank: usize, expert: u16) {
        self.placement.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| usize::from(*holder) != rank);
    }
}
