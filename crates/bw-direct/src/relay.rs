//! From whom an entry hears of changes: from the store, or from a peer that watches it.
//!
//! In each data centre the first entry watches the store and the others follow it, so that the
//! store's calls grow with the data centres and not with the entries. A watching entry that the
//! store no longer answers is passed over.

use std::time::Duration;

/// What each later place in the order adds to the time after which an entry turns to the store, so
/// that an outage does not send all entries there at once.
const PLACE_STEP: Duration = Duration::from_millis(120);
/// Time between two tries of the first entry while the store does not answer.
const RETRY_FIRST: Duration = Duration::from_millis(300);
/// What each later place in the order adds to that.
const RETRY_STEP: Duration = Duration::from_millis(500);

/// An entry of the own data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Near<A> {
    /// Instance of the entry.
    pub instance: String,
    /// Time since the store itself has answered it; `None` when it never has.
    pub store: Option<Duration>,
    /// Where it can be followed.
    pub address: A,
}

/// From whom to hear of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source<A> {
    /// From the store; with the time between two tries while it does not answer.
    Store(Duration),
    /// From a peer.
    Peer(A),
}

/// The source for the entry `own`, given the entries of its data centre that are present.
///
/// `store` is the time since the store has answered this entry, and `blind` the time after which an
/// entry that has no answer is passed over.
pub fn pick_source<A>(
    own: &str,
    store: Option<Duration>,
    near: &[Near<A>],
    blind: Duration,
) -> Source<A>
where
    A: Clone,
{
    let sees = |age: Option<Duration>| age.is_some_and(|age| age <= blind);
    let place = near.iter().filter(|peer| peer.instance.as_str() < own).count() as u32;
    let watchers = near.iter().filter(|peer| sees(peer.store));
    let first = watchers.min_by(|a, b| a.instance.cmp(&b.instance));
    let direct = Source::Store(RETRY_FIRST + RETRY_STEP * place);
    match first {
        Some(peer) if peer.instance.as_str() < own || !sees(store) => {
            Source::Peer(peer.address.clone())
        }
        Some(_) => direct,
        None => {
            let ages = near.iter().filter_map(|peer| peer.store).chain(store);
            let since = ages.min().unwrap_or(Duration::MAX);
            let patience = blind + PLACE_STEP * place;
            match near.iter().min_by_key(|peer| peer.store.unwrap_or(Duration::MAX)) {
                Some(latest) if since < patience && !sees(store) => {
                    Source::Peer(latest.address.clone())
                }
                _ => direct,
            }
        }
    }
}
