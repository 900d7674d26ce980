//! Breadth-first search of all states, and random walks.

use std::collections::hash_map::DefaultHasher;
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;

use rand::seq::IndexedRandom;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// A system whose steps are explored.
pub trait Model: Clone + Eq + Hash {
    /// All states that one step leads to.
    fn successors(&self) -> Vec<Self>;

    /// The first invariant that does not hold, if any.
    fn violation(&self) -> Option<String>;

    /// Whether nothing is left to do, so that a walk may end here.
    fn is_done(&self) -> bool;
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Exploration<M> {
    /// Distinct states whose successors were looked at.
    pub states: usize,
    /// Whether all reachable states were looked at.
    pub complete: bool,
    /// The shortest path to a violation, the violating state last.
    pub trace: Option<Vec<M>>,
}

impl<M> Exploration<M>
where
    M: Model,
{
    /// The violation at the end of the trace.
    pub fn violation(&self) -> Option<String> {
        self.trace.as_ref()?.last()?.violation()
    }
}

/// Looks at the states reachable from `start`, at most `limit` of them, until one violates an
/// invariant.
///
/// Visited states are remembered by a 128-bit fingerprint, since whole ones would not fit in
/// memory; the trace is made by walking the fingerprints again from the start.
pub fn explore<M>(start: M, limit: usize) -> Exploration<M>
where
    M: Model,
{
    let mut parents = HashMap::from([(fingerprint(&start), None)]);
    let mut queue = VecDeque::from([start.clone()]);
    let mut states = 0;
    while let Some(state) = queue.pop_front() {
        if state.violation().is_some() {
            let trace = Some(rebuild_trace(start, &parents, fingerprint(&state)));
            return Exploration { states, complete: false, trace };
        }
        if states >= limit {
            return Exploration { states, complete: false, trace: None };
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
    Exploration { states, complete: true, trace: None }
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

/// The states from `start` to the one with fingerprint `last`.
fn rebuild_trace<M>(start: M, parents: &HashMap<u128, Option<u128>>, last: u128) -> Vec<M>
where
    M: Model,
{
    let mut chain = vec![last];
    while let Some(Some(parent)) = chain.last().and_then(|last| parents.get(last)) {
        chain.push(*parent);
    }
    let mut trace = vec![start];
    for wanted in chain.iter().rev().skip(1) {
        let successors = trace.last().map(Model::successors).unwrap_or_default();
        let next = successors.into_iter().find(|next| fingerprint(next) == *wanted);
        trace.extend(next);
    }
    trace
}

/// Walks at random from `start` for at most `steps` steps; returns the path to a violation.
pub fn walk<M>(start: M, seed: u64, steps: usize) -> Option<Vec<M>>
where
    M: Model,
{
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut path = vec![start];
    for _ in 0..steps {
        let state = path.last()?;
        if state.violation().is_some() {
            return Some(path);
        }
        let next = state.successors();
        match next.choose(&mut random) {
            Some(next) => path.push(next.clone()),
            None => return None,
        }
    }
    path.last()?.violation().is_some().then_some(path)
}

/// The state after a random walk of at most `steps` steps, or at its first violation.
pub fn walk_to<M>(start: M, seed: u64, steps: usize) -> M
where
    M: Model,
{
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut state = start;
    for _ in 0..steps {
        if state.violation().is_some() {
            break;
        }
        match state.successors().choose(&mut random) {
            Some(next) => state = next.clone(),
            None => break,
        }
    }
    state
}
