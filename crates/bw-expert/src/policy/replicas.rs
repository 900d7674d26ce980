//! Places experts where the holders of an expert share its tokens evenly.
//!
//! A set of layers is placed by itself. The search starts from the present placement and takes, one
//! after the other, the change that relieves the slowest rank the most, within the places of a rank
//! and the experts that it can receive in one switch. A rank that is slow by itself counts as busy.

use smallvec::SmallVec;

use super::skew::SMOOTH;

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
    let mean = total / before.ranks.len() as f64;
    let times = before.times(demand, paces);
    let powers: Vec<f64> = times.iter().map(|time| power(*time, mean)).collect();
    let mut search = Search {
        before,
        demand,
        paces,
        room,
        mean,
        placement: before.clone(),
        holders: holder_lists(before, demand.len()),
        sum: powers.iter().sum(),
        times,
        powers,
    };
    for _ in 0..ROUNDS_MAX {
        if !search.step() {
            break;
        }
    }
    search.placement
}

/// Ranks that hold each expert.
fn holder_lists(placement: &Placement, experts: usize) -> Vec<Holders> {
    let mut lists = vec![Holders::new(); experts];
    for (rank, held) in placement.ranks.iter().enumerate() {
        for expert in held {
            lists[usize::from(*expert)].push(rank as u16);
        }
    }
    lists
}

/// A rank's share of the smooth peak.
fn power(time: f64, mean: f64) -> f64 {
    (time / mean).powi(SMOOTH)
}

/// Ranks that hold an expert.
type Holders = SmallVec<[u16; 8]>;
/// Ranks whose times a change alters, with the times after it.
type Altered = SmallVec<[(usize, f64); 16]>;

struct Search<'a> {
    before: &'a Placement,
    demand: &'a [f64],
    paces: &'a [f64],
    room: Room,
    /// Mean time of a rank if all were sound and evenly loaded.
    mean: f64,
    placement: Placement,
    holders: Vec<Holders>,
    times: Vec<f64>,
    powers: Vec<f64>,
    /// Sum of the powers.
    sum: f64,
}

impl Search<'_> {
    /// Makes the best change; false when none helps.
    fn step(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.times.len()).collect();
        order.sort_by(|a, b| self.times[*a].total_cmp(&self.times[*b]));
        let Some(busiest) = order.last().copied() else { return false };
        let now = self.peak(self.sum);
        let mut best: Option<(f64, Change)> = None;
        for change in self.changes(busiest, &order) {
            let saved = now - self.peak(self.sum_after(change));
            let gain = saved - self.room.price * self.copies(change) as f64;
            if best.as_ref().is_none_or(|(most, _)| gain > *most) {
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

    /// The smooth peak for a sum of powers.
    fn peak(&self, sum: f64) -> f64 {
        (sum / self.times.len() as f64).powf(1.0 / f64::from(SMOOTH))
    }

    fn sum_after(&self, change: Change) -> f64 {
        let altered = self.altered(change);
        let change =
            altered.iter().map(|(rank, time)| power(*time, self.mean) - self.powers[*rank]);
        (self.sum + change.sum::<f64>()).max(0.0)
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
            if self.holders[usize::from(expert)].len() > 1 {
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
            let spare = self.holders[usize::from(*other)].len() > 1;
            if spare && self.can_receive(rank, expert, Some(*other)) {
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
        self.part_of(expert, self.holders[usize::from(expert)].len())
    }

    fn part_of(&self, expert: u16, holders: usize) -> f64 {
        self.demand[usize::from(expert)] / holders.max(1) as f64
    }

    /// Whether a rank may take an expert in place of another one.
    fn can_receive(&self, rank: usize, expert: u16, instead: Option<u16>) -> bool {
        let before = &self.before.ranks[rank];
        let kept = self.placement.ranks[rank].iter().filter(|held| Some(**held) != instead);
        let received = kept.filter(|held| !before.contains(held)).count();
        received + usize::from(!before.contains(&expert)) <= self.room.spare
    }

    /// Ranks whose times a change alters.
    fn altered(&self, change: Change) -> Altered {
        let mut altered = Altered::new();
        match change {
            Change::Take { rank, expert, instead } => {
                self.alter(&mut altered, expert, 1, Some(rank), None);
                if let Some(other) = instead {
                    self.alter(&mut altered, other, -1, None, Some(rank));
                }
            }
            Change::Drop { rank, expert } => {
                self.alter(&mut altered, expert, -1, None, Some(rank));
            }
            Change::Swap { from, expert, to, other } => {
                let moved = self.part(expert) - self.part(other);
                self.add(&mut altered, from, -moved);
                self.add(&mut altered, to, moved);
            }
        }
        altered
    }

    /// Adjusts times for one holder of `expert` more or fewer.
    fn alter(
        &self,
        altered: &mut Altered,
        expert: u16,
        step: isize,
        joins: Option<usize>,
        leaves: Option<usize>,
    ) {
        let holders = &self.holders[usize::from(expert)];
        let before = self.part(expert);
        let after = self.part_of(expert, holders.len().saturating_add_signed(step));
        for rank in holders {
            self.add(altered, usize::from(*rank), after - before);
        }
        if let Some(rank) = joins {
            self.add(altered, rank, after);
        }
        if let Some(rank) = leaves {
            self.add(altered, rank, -after);
        }
    }

    fn add(&self, altered: &mut Altered, rank: usize, load: f64) {
        let time = self.paces[rank] * load;
        match altered.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, known)) => *known += time,
            None => altered.push((rank, self.times[rank] + time)),
        }
    }

    fn apply(&mut self, change: Change) {
        for (rank, time) in self.altered(change) {
            self.times[rank] = time.max(0.0);
            self.powers[rank] = power(self.times[rank], self.mean);
        }
        self.sum = self.powers.iter().sum();
        match change {
            Change::Take { rank, expert, instead } => {
                if let Some(other) = instead {
                    self.give_up(rank, other);
                }
                self.receive(rank, expert);
            }
            Change::Drop { rank, expert } => self.give_up(rank, expert),
            Change::Swap { from, expert, to, other } => {
                self.give_up(from, expert);
                self.give_up(to, other);
                self.receive(from, other);
                self.receive(to, expert);
            }
        }
    }

    fn receive(&mut self, rank: usize, expert: u16) {
        self.placement.ranks[rank].push(expert);
        self.holders[usize::from(expert)].push(rank as u16);
    }

    fn give_up(&mut self, rank: usize, expert: u16) {
        self.placement.ranks[rank].retain(|held| *held != expert);
        self.holders[usize::from(expert)].retain(|holder| usize::from(*holder) != rank);
    }
}
