//! Places experts where the holders of an expert share its tokens evenly.
//!
//! A set of layers is placed by itself. The search starts from the present placement and takes, one
//! after the other, the change that relieves the busiest rank the most, within the places of a rank
//! and the experts that it can receive in one switch.

use smallvec::SmallVec;

use super::skew::smooth_skew;

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

    /// Load of each rank.
    pub fn loads(&self, demand: &[f64]) -> Vec<f64> {
        let holders = self.holders(demand.len());
        let load = |expert: &u16| {
            demand[usize::from(*expert)] / f64::from(holders[usize::from(*expert)].max(1))
        };
        self.ranks.iter().map(|experts| experts.iter().map(load).sum()).collect()
    }

    /// Load of the busiest rank over the mean.
    pub fn skew(&self, demand: &[f64]) -> f64 {
        let loads = self.loads(demand);
        let total: f64 = loads.iter().sum();
        if total <= 0.0 {
            return 1.0;
        }
        loads.iter().copied().fold(0.0, f64::max) * loads.len() as f64 / total
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

/// Searches for a placement with less load on the busiest rank.
pub fn improve(before: &Placement, demand: &[f64], room: Room) -> Placement {
    let mut search = Search {
        before,
        demand,
        room,
        placement: before.clone(),
        holders: before.holders(demand.len()),
        loads: before.loads(demand),
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
    room: Room,
    placement: Placement,
    holders: Vec<u16>,
    loads: Vec<f64>,
}

impl Search<'_> {
    /// Makes the best change; false when none helps.
    fn step(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|a, b| self.loads[*a].total_cmp(&self.loads[*b]));
        let Some(busiest) = order.last().copied() else { return false };
        let now = smooth_skew(&self.loads);
        let mut best: Option<(f64, Change)> = None;
        for change in self.changes(busiest, &order) {
            let saved = now - smooth_skew(&self.loads_after(change));
            let gain = saved - self.room.price * self.copies(change) as f64;
            if best.as_ref().is_none_or(|(most, _)| gain > *most) {
                best = Some((gain, change));
            }
        }
        match best {
            Some((gain, change)) if gain > GAIN_MIN => {
                self.loads = self.loads_after(change);
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

    /// Load that an expert brings to each of its holders.
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

    fn loads_after(&self, change: Change) -> Vec<f64> {
        let mut loads = self.loads.clone();
        match change {
            Change::Take { rank, expert, instead } => {
                self.shift(&mut loads, expert, 1, Some(rank), None);
                if let Some(other) = instead {
                    self.shift(&mut loads, other, -1, None, Some(rank));
                }
            }
            Change::Drop { rank, expert } => self.shift(&mut loads, expert, -1, None, Some(rank)),
            Change::Swap { from, expert, to, other } => {
                loads[from] += self.part(other) - self.part(expert);
                loads[to] += self.part(expert) - self.part(other);
            }
        }
        loads
    }

    /// Adjusts loads for one holder of `expert` more or fewer.
    fn shift(
        &self,
        loads: &mut [f64],
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
                loads[rank] += after - before;
            }
        }
        if let Some(rank) = joins {
            loads[rank] += after;
        }
        if let Some(rank) = leaves {
            loads[rank] -= after;
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
