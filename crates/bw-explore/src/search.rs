//! Breadth-first search of the state space, and random walks through it.

use std::collections::hash_map::DefaultHasher;
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// State of a system whose transitions are explored.
pub trait Model: Clone + Eq + Hash {
    /// Returns the states that one transition leads to.
    fn successors(&self) -> Vec<Self>;

    /// Describes an invariant that this state violates, if any.
    fn violation(&self) -> Option<String>;

    /// Returns true in a final state, in which the modelled work is complete.
    fn is_done(&self) -> bool;
}

/// Result of a breadth-first search.
#[derive(Clone, Debug)]
pub struct Exploration<M> {
    /// Number of distinct states that were expanded.
    pub states: usize,
    /// Whether all reachable states were expanded.
    pub complete: bool,
    /// Shortest path from the initial state to a violation; the violating state is the last one.
    pub counterexample: Option<Vec<M>>,
}

impl<M> Exploration<M>
where
    M: Model,
{
    /// Returns the violation at the end of the counterexample.
    pub fn violation(&self) -> Option<String> {
        self.counterexample.as_ref()?.last()?.violation()
    }
}

/// Expands at most `max_states` states reachable from `start`, breadth first, until one violates an
/// invariant.
///
/// Visited states are stored as 128-bit fingerprints, because whole states would not fit in memory.
/// The counterexample is rebuilt from the fingerprints by expanding states again from `start`.
pub fn explore<M>(start: M, max_states: usize) -> Exploration<M>
where
    M: Model,
{
    let mut parents = HashMap::from([(fingerprint(&start), None)]);
    let mut queue = VecDeque::from([start.clone()]);
    let mut states = 0;
    while let Some(state) = queue.pop_front() {
        if state.violation().is_some() {
            let counterexample = Some(rebuild_path(start, &parents, fingerprint(&state)));
            return Exploration { states, complete: false, counterexample };
        }
        if states >= max_states {
            return Exploration { states, complete: false, counterexample: None };
        }
        states += 1;
        let parent = fingerprint(&state);
        for next in state.successors() {
            if let Entry::Vacant(vacant) = parents.entry(fingerprint(&next)) {
                vacant.insert(Some(parent));
                queue.push_back(next);
            }
        }
    }
    Exploration { states, complete: true, counterexample: None }
}

fn fingerprint<M>(state: &M) -> u128
where
    M: Hash,
{
    let half = |salt: u8| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        state.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    (half(0) << 64) | half(1)
}

/// Returns the path from `start` to the state with fingerprint `last`.
fn rebuild_path<M>(start: M, parents: &HashMap<u128, Option<u128>>, last: u128) -> Vec<M>
where
    M: Model,
{
    let mut chain = vec![last];
    while let Some(Some(parent)) = chain.last().and_then(|last| parents.get(last)) {
        chain.push(*parent);
    }
    let mut path = vec![start];
    for expected in chain.iter().rev().skip(1) {
        let successors = path.last().map(Model::successors).unwrap_or_default();
        let next = successors.into_iter().find(|next| fingerprint(next) == *expected);
        path.extend(next);
    }
    path
}

/// Walks at random from `start` for at most `steps` transitions; returns the path to a violation,
/// if the walk reached one.
pub fn walk<M>(start: M, seed: u64, steps: usize) -> Option<Vec<M>>
where
    M: Model,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut path = vec![start];
    for _ in 0..steps {
        let state = path.last()?;
        if state.violation().is_some() {
            return Some(path);
        }
        let next = state.successors();
        match next.choose(&mut rng) {
            Some(next) => path.push(next.clone()),
            None => return None,
        }
    }
    path.last()?.violation().is_some().then_some(path)
}

/// Returns the last state of a random walk of at most `steps` transitions, which ends early at a
/// violation.
pub fn walk_end<M>(start: M, seed: u64, steps: usize) -> M
where
    M: Model,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut state = start;
    for _ in 0..steps {
        if state.violation().is_some() {
            break;
        }
        match state.successors().choose(&mut rng) {
            Some(next) => state = next.clone(),
            None => break,
        }
    }
    state
}
