//! Data centres that operators have evacuated: their endpoints get nothing until the evacuation ends.
//!
//! Load pattern: a data centre is emptied while callers keep coming, some gateways cannot reach the store,
//! others have just started, and the store may return from a copy that lacks the evacuation.

use std::time::Duration;

use bw_model::Position;
use serde::Deserialize;
use serde::Serialize;

/// A gateway's set of evacuated data centres, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationNews {
    /// Position in the changes of the store up to which the set is known.
    pub position: Position,
    /// Milliseconds since the set was last read from the store; `u32::MAX` if that is not known.
    pub age: u32,
    /// Whether the set was read long enough after the start of its era to have what a restore had lost.
    pub settled: bool,
    /// Evacuated data centres.
    pub centres: Vec<String>,
    /// Data centres that were evacuated in an earlier era, and may be again once the era has settled.
    pub kept: Vec<String>,
}

/// Effect of a reading, or of a peer's news, on the known set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is older than what is known.
    Older,
    /// The data centres are the ones that were known.
    Confirmed,
    /// Others are evacuated than before, or the set is known for the first time.
    Changed,
}

/// Evacuated data centres.
///
/// Positions order the readings. In a new era of the store, the data centres that were evacuated before
/// stay so until the era has settled: until the set was read after the operator has had time to write again
/// what the store has lost.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Time within which evacuations take effect; `None` if the deployment has none.
    bound: Option<Duration>,
    position: Option<Position>,
    /// Time at which the set was last read from the store, here or at a peer.
    read_at: Option<Duration>,
    /// Time at which this gateway itself last read the set from the store.
    own_read: Option<Duration>,
    centres: Vec<String>,
    kept: Vec<String>,
    /// Time at which the era of `position` was first seen.
    era_seen: Duration,
    settled: bool,
    /// Time until which peers are told also what they may know.
    tell_until: Duration,
}

impl Evacuations {
    /// Creates an unknown set for a deployment whose evacuations take effect within `bound`; `None` if it has
    /// no evacuations.
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, ..Self::default() }
    }

    /// Sets the time within which evacuations take effect. Forgets the set when evacuations are switched on or
    /// off.
    pub fn set_bound(&mut self, bound: Option<Duration>) {
        if bound.is_some() == self.bound.is_some() {
            self.bound = bound;
        } else {
            *self = Self::new(bound);
        }
    }

    /// Returns whether the endpoints of a data centre get nothing at present. Before the set is known, all
    /// data centres count as evacuated.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        !self.is_known() || self.centres().any(|evacuated| evacuated == centre)
    }

    /// Returns whether the set is known, or the deployment has no evacuations.
    pub fn is_known(&self) -> bool {
        self.bound.is_none() || self.position.is_some()
    }

    /// Returns the evacuated data centres that are known.
    pub fn centres(&self) -> impl Iterator<Item = &str> {
        let kept = self.kept.iter().filter(|centre| !self.centres.contains(centre));
        self.centres.iter().chain(kept).map(String::as_str)
    }

    /// Returns the position up to which the set is known.
    pub fn position(&self) -> Position {
        self.position.unwrap_or_default()
    }

    /// Returns the time since the set was last read from the store; `None` if that is not known.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.read_at.map(|read_at| now.saturating_sub(read_at))
    }

    /// Replaces the set by a complete list. `read_at` is the start of the call to the store; `None` if a peer
    /// sent the list.
    pub fn replace(
        &mut self,
        mut centres: Vec<String>,
        position: Position,
        read_at: Option<Duration>,
        now: Duration,
    ) -> Effect {
        centres.sort_unstable();
        centres.dedup();
        self.update(position, read_at, now, |known| *known = centres)
    }

    /// Applies changes in their order, each a data centre and whether its evacuation has begun. `read_at` as
    /// for [`Self::replace`].
    pub fn apply(
        &mut self,
        changes: &[(String, bool)],
        position: Position,
        read_at: Option<Duration>,
        now: Duration,
    ) -> Effect {
        // Changes complete a set of their own era only.
        if self.position.is_none_or(|known| known.era() != position.era()) {
            return Effect::Older;
        }
        self.update(position, read_at, now, |known| {
            for (centre, begun) in changes {
                known.retain(|other| other != centre);
                if *begun {
                    known.push(centre.clone());
                }
            }
            known.sort_unstable();
        })
    }

    /// Applies a peer's news.
    pub fn receive(&mut self, news: &EvacuationNews, now: Duration) -> Effect {
        let Some(bound) = self.bound else { return Effect::Older };
        let age = Duration::from_millis(u64::from(news.age));
        // A gateway that has just started may be in touch with the store when the peer is not.
        if self.position.is_none() && age > bound && now < bound {
            return Effect::Older;
        }
        let before: Vec<String> = self.centres().map(str::to_string).collect();
        let first = self.position.is_none();
        let newer = self.advance(news.position, now);
        if newer {
            self.centres.clone_from(&news.centres);
            self.centres.sort_unstable();
            let read_at = (news.age != u32::MAX).then(|| now.saturating_sub(age));
            self.read_at = self.read_at.max(read_at);
        }
        if news.position.era() == self.position().era() {
            if news.settled {
                self.settle();
            } else if !self.settled {
                for centre in &news.kept {
                    if !self.kept.contains(centre) {
                        self.kept.push(centre.clone());
                    }
                }
            } else if !news.kept.is_empty() {
                self.tell_again(now);
            }
        }
        if !newer && news.centres != self.centres {
            self.tell_again(now);
        }
        match (self.centres().eq(before.iter().map(String::as_str)), newer || first) {
            (false, _) => Effect::Changed,
            (true, _) if first => Effect::Changed,
            (true, true) => Effect::Confirmed,
            (true, false) => Effect::Older,
        }
    }

    /// Returns the news for peers; `None` if there is nothing to tell. In `full` rounds, and to peers that
    /// have started, gateways tell what they know in any case. Else a gateway tells only while it reads the
    /// store itself, and there are evacuations or peers lacked its news, or while it keeps earlier ones.
    pub fn news(&self, full: bool, now: Duration) -> Option<EvacuationNews> {
        let position = self.position?;
        let evacuating = self.reads_store(now) && self.centres().next().is_some();
        if !full && !evacuating && self.kept.is_empty() && now >= self.tell_until {
            return None;
        }
        let age = self.age(now).and_then(|age| u32::try_from(age.as_millis()).ok());
        Some(EvacuationNews {
            position,
            age: age.unwrap_or(u32::MAX),
            settled: self.settled,
            centres: self.centres.clone(),
            kept: self.kept.clone(),
        })
    }

    fn update<F>(
        &mut self,
        position: Position,
        read_at: Option<Duration>,
        now: Duration,
        change: F,
    ) -> Effect
    where
        F: FnOnce(&mut Vec<String>),
    {
        let Some(bound) = self.bound else { return Effect::Older };
        let before: Vec<String> = self.centres().map(str::to_string).collect();
        let first = self.position.is_none();
        if !self.advance(position, now) {
            return Effect::Older;
        }
        change(&mut self.centres);
        if let Some(read_at) = read_at {
            self.read_at = self.read_at.max(Some(read_at));
            self.own_read = Some(read_at);
            if read_at >= self.era_seen + bound {
                self.settle();
            }
        }
        if !first && self.centres().eq(before.iter().map(String::as_str)) {
            return Effect::Confirmed;
        }
        if !first {
            self.tell_again(now);
        }
        Effect::Changed
    }

    /// Moves to a position, and keeps what was evacuated before if that is in a new era. Returns false for a
    /// position before the known one.
    fn advance(&mut self, position: Position, now: Duration) -> bool {
        let known = self.position.replace(position);
        match known {
            Some(known) if position < known => {
                self.position = Some(known);
                return false;
            }
            Some(known) if position.era() == known.era() => return true,
            Some(_) => {
                let mut kept: Vec<String> = self.centres().map(str::to_string).collect();
                kept.sort_unstable();
                self.kept = kept;
            }
            None => {}
        }
        self.era_seen = now;
        self.settled = false;
        true
    }

    fn settle(&mut self) {
        self.settled = true;
        self.kept.clear();
    }

    /// Tells peers for a while, if this gateway reads the store.
    fn tell_again(&mut self, now: Duration) {
        if self.reads_store(now) {
            self.tell_until = now + self.bound.unwrap_or_default();
        }
    }

    fn reads_store(&self, now: Duration) -> bool {
        let bound = self.bound.unwrap_or_default();
        self.own_read.is_some_and(|read_at| now.saturating_sub(read_at) <= bound)
    }
}
