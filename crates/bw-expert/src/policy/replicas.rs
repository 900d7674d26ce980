//! Places experts where the holders of an expert share its tokens evenly.
//!
//! A set of layers is placed by itself. The search starts from the present placement and takes, one
//! after the other, the change that relieves the slowest rank the most, within the places of a rank
//! and the experts that it can receive in one switch. A rank that is slow by itself counts as busy.

use smallvec::SmallVec;

use super::skew::smooth_peak;

/// Experts of the busiest rank that are tried in each round.
const EXPERTS_TRIED: usize = 4;
/// Least loaded ranks that are tried in each round.
const RANKS_TRIED: usize = 8;
/// Changes of one set in one search.
const ROUNDS_MAX: usize = 400;
/// Gain in smooth skew that a change has to bring beyond the price of its copies.
const GAIN_MIN: f64 = 1e-4;

/// Experts of one rank in one set.
pub type RankExperts = SmallVec<[u16; 8]>;

/// Which ranks hold which experts of one set.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    /// Experts of each rank.
    pub ranks: Vec<RankExperts>,
}

/// What a rank can hold and receive, and what a received expert has to save.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Room {
    /// Experts that a rank can hold in a set.
    pub places: usize,
    /// Experts of a set that a rank can receive in one switch.
    pub spare: usize,
    /// Part of the mean load that an expert's copy has to take from the busiest rank.
    pub price: f64,
}

impl Placement {
    /// Deals the experts to the ranks in turn, as engines do on their own.
    pub fn in_turn(ranks: usize, experts: usize) -> Self {
        let mut placement = Self { ranks: vec![RankExperts::new(); ranks] };
        for expert in 0..experts {
            placement.ranks[expert % ranks].push(expert as u16);
        }
        placement
    }

    /// Number of ranks that hold each of `experts` experts.
    pub fn holders(&self, experts: usize) -> Vec<u16> {
        let mut holders = vec![0; experts];
        for expert in self.ranks.iter().flatten() {
            holders[usize::from(*expert)] += 1;
        }
        holders
    }

    /// Time that each rank takes, for ranks of these paces: 1 for a sound one, more for a slow one.
    pub fn times(&self, demand: &[f64], paces: &[f64]) -> Vec<f64> {
        let holders = self.holders(demand.len());
        let load = |expert: &u16| {
            demand[usize::from(*expert)] / f64::from(holders[usize::from(*expert)].max(1))
        };
        let time =
            |(experts, pace): (&RankExperts, &f64)| pace * experts.iter().map(load).sum::<f64>();
        self.ranks.iter().zip(paces).map(time).collect()
    }

    /// Time of the slowest rank over the mean that sound ranks would take.
    pub fn skew(&self, demand: &[f64], paces: &[f64]) -> f64 {
        let total: f64 = demand.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        let times = self.times(demand, paces);
        times.iter().copied().fold(0.0, f64::max) * times.len() as f64 / total
    }

    /// Experts that ranks have to receive to come from `before` to this placement.
    pub fn received(&self, before: &Placement) -> usize {
        let new = |(now, then): (&RankExperts, &RankExperts)| {
            now.iter().filter(|expert| !then.contains(expert)).count()
        };
        self.ranks.iter().zip(&before.ranks).map(new).sum()
    }

    /// Whether every expert is held, no rank holds one twice, and none exceeds its room.
    pub fn is_valid(&self, before: &Placement, experts: usize, room: Room) -> bool {
        let held = self.holders(experts).iter().all(|count| *count > 0);
        let fits = self.ranks.iter().zip(&before.ranks).all(|(now, then)| {
            let doubled = (1..now.len()).any(|index| now[..index].contains(&now[index]));
            let received = now.iter().filter(|expert| !then.contains(expert)).count();
            !doubled && now.len() <= room.places && received <= room.spare
        });
        held && fits && self.ranks.len() == before.ranks.len()
    }
}

/// A change of one placement.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A rank takes an expert, in place of another one if it is full.
    Take { rank: usize, expert: u16, instead: Option<u16> },
    /// A rank gives an expert up that others hold.
    Drop { rank: usize, expert: u16 },
    /// Two ranks exchange experts.
    Swap { from: usize, expert: u16, to: usize, other: u16 },
}

/// Searches for a placement whose slowest rank takes less time.
pub fn improve(before: &Placement, demand: &[f64], paces: &[f64], room: Room) -> Placement {
    let total: f64 = demand.iter().sum();
    if total <= 0.0 || paces.len() != before.ranks.len() {
        return before.clone();
    }
    let mut search = Search {
        before,
        demand,
        paces,
        room,
        mean: total / before.ranks.len() as f64,
        placement: before.clone(),
        holders: before.holders(demand.len()),
        times: before.times(demand, paces),
    };
    for _ in 0..ROUNDS_MAX {
        if !search.step() {
            break;
        }
    }
    search.placement
}

struct Search<'a> {
    before: &'a Placement,
    demand: &'a [f64],
    paces: &'a [f64],
    room: Room,
    /// Mean time of a rank if all were sound and evenly loaded.
    mean: f64,
    placement: Placement,
    holders: Vec<u16>,
    times: Vec<f64>,
}

impl Search<'_> {
    /// Makes the best change; false when none helps.
    fn step(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.times.len()).collect();
        order.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        let Some(busiest) = order.last().copied() else { return false };
        let now = smooth_peak(&self.times, self.mean);
        let mut best: Option<(f64, Change)> = None;
        for change in self.changes(busiest, &order) {
            let saved = now - smooth_peak(&self.times_after(change), self.mean);
            let gain = saved - self.room.price * self.copies(change) as f64;
            if best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, change));
            }
        }
        match best {
            Some((gain, change)) if gain > GAIN_MIN => {
                self.times = self.times_after(change);
                self.apply(change);
                true
            }
            _ => false,
        }
    }

    /// Experts that a change makes ranks receive.
    fn copies(&self, change: Change) -> usize {
        let is_new =
            |rank: usize, expert: u16| usize::from(!self.before.ranks[rank].contains(&expert));
        match change {
            Change::Take { rank, expert, .. } => is_new(rank, expert),
            Change::Drop { .. } => 0,
            Change::Swap { from, expert, to, other } => is_new(to, expert) + is_new(from, other),
        }
    }

    /// Changes that relieve a rank.
    fn changes(&self, busiest: usize, order: &[usize]) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut experts = self.placement.ranks[busiest].clone();
        experts.sort_by(|a, b| self.part(*b).total_cmp(&self.part(*a)));
        for expert in experts.iter().copied().take(EXPERTS_TRIED) {
            if self.holders[usize::from(expert)] > 1 {
                changes.push(Change::Drop { rank: busiest, expert });
            }
            for rank in order.iter().copied().take(RANKS_TRIED).filter(|rank| *rank != busiest) {
                if self.placement.ranks[rank].contains(&expert) {
                    continue;
                }
                self.add_takes(rank, expert, &mut changes);
                self.add_swaps(busiest, expert, rank, &mut changes);
            }
        }
        changes
    }

    fn add_takes(&self, rank: usize, expert: u16, changes: &mut Vec<Change>) {
        let held = &self.placement.ranks[rank];
        if held.len() < self.room.places && self.can_receive(rank, expert, None) {
            changes.push(Change::Take { rank, expert, instead: None });
        }
        for other in held {
            if self.holders[usize::from(*other)] > 1 && self.can_receive(rank, expert, Some(*other))
            {
                changes.push(Change::Take { rank, expert, instead: Some(*other) });
            }
        }
    }

    fn add_swaps(&self, from: usize, expert: u16, to: usize, changes: &mut Vec<Change>) {
        for other in &self.placement.ranks[to] {
            let fits = !self.placement.ranks[from].contains(other)
                && self.part(*other) < self.part(expert)
                && self.can_receive(to, expert, Some(*other))
                && self.can_receive(from, *other, Some(expert));
            if fits {
                changes.push(Change::Swap { from, expert, to, other: *other });
            }
        }
    }

    /// Load that an expert brings to each of its holders, for a sound rank.
    fn part(&self, expert: u16) -> f64 {
        self.demand[usize::from(expert)] / f64::from(self.holders[usize::from(expert)].max(1))
    }

    /// Whether a rank may take an expert in place of another one.
    fn can_receive(&self, rank: usize, expert: u16, instead: Option<u16>) -> bool {
        let before = &self.before.ranks[rank];
        let kept = self.placement.ranks[rank].iter().filter(|held| Some(**held) != instead);
        let received = kept.filter(|held| !before.contains(held)).count();
        received + usize::from(!before.contains(&expert)) <= self.room.spare
    }

    fn times_after(&self, change: Change) -> Vec<f64> {
        let mut times = self.times.clone();
        match change {
            Change::Take { rank, expert, instead } => {
                self.shift(&mut times, expert, 1, Some(rank), None);
                if let Some(other) = instead {
                    self.shift(&mut times, other, -1, None, Some(rank));
                }
            }
            Change::Drop { rank, expert } => self.shift(&mut times, expert, -1, None, Some(rank)),
            Change::Swap { from, expert, to, other } => {
                let moved = self.part(expert) - self.part(other);
                times[from] -= self.paces[from] * moved;
                times[to] += self.paces[to] * moved;
            }
        }
        times
    }

    /// Adjusts times for one holder of `expert` more or fewer.
    fn shift(
        &self,
        times: &mut [f64],
        expert: u16,
        step: i32,
        joins: Option<usize>,
        leaves: Option<usize>,
    ) {
        let before = self.part(expert);
        let count = i32::from(self.holders[usize::from(expert)]) + step;
        let after = self.demand[usize::from(expert)] / f64::from(count.max(1));
        for (rank, experts) in self.placement.ranks.iter().enumerate() {
            if experts.contains(&expert) {
                times[rank] += self.paces[rank] * (after - before);
            }
        }
        if let Some(rank) = joins {
            times[rank] += self.paces[rank] * after;
        }
        if let Some(rank) = leaves {
            times[rank] -= self.paces[rank] * after;
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Take { rank, expert, instead } => {
                if let Some(other) = instead {
                    self.give_up(rank, other);
                }
                self.placement.ranks[rank].push(expert);
                self.holders[usize::from(expert)] += 1;
            }
            Change::Drop { rank, expert } => self.give_up(rank, expert),
            Change::Swap { from, expert, to, other } => {
                self.placement.ranks[from].retain(|held| *held != expert);
                self.placement.ranks[from].push(other);
                self.placement.ranks[to].retain(|held| *held != other);
                self.placement.ranks[to].push(expert);
            }
        }
    }

    fn give_up(&mut self, rank: usize, expert: u16) {
        self.placement.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)] -= 1;
    }
}
