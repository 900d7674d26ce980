//! Selects the source of configuration and endpoint changes: the store, or a peer that watches the
//! store.
//!
//! In each data centre the first gateway watches the store and the others follow that gateway, so
//! that the number of calls to the store grows with the number of data centres and not of gateways.
//! A watching gateway that no longer gets answers from the store is skipped.

use std::time::Duration;

/// Delay added per position in the order of gateways before a gateway contacts the store itself, so
/// that gateways do not all contact the store at once in an outage.
const POSITION_DELAY: Duration = Duration::from_millis(120);
/// Retry interval of the first gateway while the store does not answer.
const RETRY_FIRST: Duration = Duration::from_millis(300);
/// Increase of the retry interval per position in the order of gateways.
const RETRY_STEP: Duration = Duration::from_millis(500);

/// Another gateway in the same data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalPeer<A> {
    /// Instance of the gateway.
    pub instance: String,
    /// Time since the store last answered this gateway directly; `None` if the store never has.
    pub store_age: Option<Duration>,
    /// Address at which the gateway can be followed.
    pub address: A,
}

/// Source of changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source<A> {
    /// The store, with the retry interval while the store does not answer.
    Store(Duration),
    /// A peer that is followed.
    Peer(A),
}

/// Selects the source for the gateway `own`, given the present gateways of its data centre.
///
/// `store_age` is the time since the store last answered this gateway. A gateway whose last answer
/// is older than `stale_after` is skipped.
pub fn pick_source<A>(
    own: &str,
    store_age: Option<Duration>,
    peers: &[LocalPeer<A>],
    stale_after: Duration,
) -> Source<A>
where
    A: Clone,
{
    let is_current = |age: Option<Duration>| age.is_some_and(|age| age <= stale_after);
    let position = peers.iter().filter(|peer| peer.instance.as_str() < own).count() as u32;
    let watchers = peers.iter().filter(|peer| is_current(peer.store_age));
    let first = watchers.min_by(|a, b| a.instance.cmp(&b.instance));
    let direct = Source::Store(RETRY_FIRST + RETRY_STEP * position);
    match first {
        Some(peer) if peer.instance.as_str() < own || !is_current(store_age) => {
            Source::Peer(peer.address.clone())
        }
        Some(_) => direct,
        None => {
            let ages = peers.iter().filter_map(|peer| peer.store_age).chain(store_age);
            let since = ages.min().unwrap_or(Duration::MAX);
            let timeout = stale_after + POSITION_DELAY * position;
            match peers.iter().min_by_key(|peer| peer.store_age.unwrap_or(Duration::MAX)) {
                Some(latest) if since < timeout && !is_current(store_age) => {
                    Source::Peer(latest.address.clone())
                }
                _ => direct,
            }
        }
    }
}
