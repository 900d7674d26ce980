//! Copy of the store's objects, served to peers that follow this gateway.

use std::collections::BTreeMap;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;
use bw_model::Position;

/// Maximum number of removals kept for each kind.
const REMOVED_MAX: usize = 256;

/// The objects of one kind. Only the last state of each object is kept, since followers need no
/// earlier state and a configuration may have many of them.
#[derive(Clone, Debug, Default)]
struct KindState {
    /// Objects by name, each with the position up to which changes were known when it arrived.
    objects: BTreeMap<String, (Position, Object)>,
    /// Removed objects by name, with positions as above.
    removed: BTreeMap<String, (Position, Object)>,
    /// Position up to which changes are known.
    position: Position,
    /// Position up to which removals may have been discarded.
    pruned: Position,
}

/// Identifies the content of a reply to a follower; replies with equal excerpts are equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excerpt {
    kind: String,
    /// Whether the reply is a list, and not changes.
    whole: bool,
    /// Position up to which the reply shows changes.
    position: Position,
    /// Names and revisions of the objects in the reply.
    objects: Vec<(String, u64)>,
    /// Names and last revisions of the removed objects in the reply.
    removed: Vec<(String, u64)>,
}

impl Excerpt {
    /// Returns the position up to which the reply shows changes.
    pub fn position(&self) -> Position {
        self.position
    }
}

/// Objects by kind, with their most recent changes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: BTreeMap<String, KindState>,
}

impl Mirror {
    /// Replaces the objects of a kind by the complete list at a position; known objects named in
    /// `retained` stay.
    pub fn replace(
        &mut self,
        kind: &str,
        list: Vec<Object>,
        position: Position,
        retained: &[String],
    ) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        let removed: Vec<Object> = known
            .objects
            .values()
            .map(|(_, object)| object)
            .filter(|object| !list.iter().any(|other| other.name == object.name))
            .filter(|object| !retained.contains(&object.name))
            .cloned()
            .collect();
        known.advance(position);
        for object in removed {
            known.apply(Change { object, removed: true });
        }
        for object in list {
            let same = known.objects.get(&object.name).is_some_and(|(_, known)| *known == object);
            if !same {
                known.apply(Change { object, removed: false });
            }
        }
    }

    /// Applies changes up to a position.
    pub fn apply(&mut self, kind: &str, changes: Vec<Change>, position: Position) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        known.advance(position);
        for change in changes {
            known.apply(change);
        }
    }

    /// Returns what a reply to a follower contains: all objects of a kind, or its changes after a
    /// position. `None` as for [`Self::list`] and [`Self::changes`].
    pub fn excerpt(&self, kind: &str, after: Option<Position>) -> Option<Excerpt> {
        let known = self.kinds.get(kind)?;
        if after.is_some_and(|after| after < known.pruned) {
            return None;
        }
        let included = |at: Position| after.is_none_or(|after| at > after);
        let part = |objects: &BTreeMap<String, (Position, Object)>| -> Vec<(String, u64)> {
            let objects = objects.values().filter(|(at, _)| included(*at));
            objects.map(|(_, object)| (object.name.clone(), object.revision)).collect()
        };
        let removed = after.map(|_| part(&known.removed)).unwrap_or_default();
        Some(Excerpt {
            kind: kind.to_string(),
            whole: after.is_none(),
            position: known.position.max(after.unwrap_or_default()),
            objects: part(&known.objects),
            removed,
        })
    }

    /// Returns whether a kind is known up to a position and has no changes after it.
    pub fn has_no_changes(&self, kind: &str, after: Position) -> bool {
        self.kinds.get(kind).is_some_and(|known| {
            let newest = known.objects.values().chain(known.removed.values());
            after >= known.pruned && newest.map(|(at, _)| *at).max().unwrap_or_default() <= after
        })
    }

    /// Returns the objects of a kind; `None` before the first list.
    pub fn list(&self, kind: &str) -> Option<Page> {
        let known = self.kinds.get(kind)?;
        let items = known.objects.values().map(|(_, object)| object.clone()).collect();
        let (revision, era) = (known.position.revision(), known.position.era());
        Some(Page { items, revision, era, ..Page::default() })
    }

    /// Returns the changes of a kind after a position; `None` when the kind has not been listed or
    /// removals since then have been discarded.
    pub fn changes(&self, kind: &str, after: Position) -> Option<Changes> {
        let known = self.kinds.get(kind)?;
        if after < known.pruned {
            return None;
        }
        let newer = |objects: &BTreeMap<String, (Position, Object)>, removed| {
            let newer = objects.values().filter(|(at, _)| *at > after);
            let changes = newer.map(|(_, object)| Change { object: object.clone(), removed });
            changes.collect::<Vec<Change>>()
        };
        let mut events = newer(&known.removed, true);
        events.extend(newer(&known.objects, false));
        let last = known.position.max(after);
        let (revision, era) = (last.revision(), last.era());
        Some(Changes { events, revision, era, ..Changes::default() })
    }
}

impl KindState {
    /// Records that changes are known up to a position. Followers from an earlier era of the store list
    /// the kind again, since they may have what the store has lost.
    fn advance(&mut self, position: Position) {
        if position.era() > self.position.era() {
            self.pruned = self.pruned.max(Position::new(position.era(), 0));
        }
        self.position = self.position.max(position);
    }

    fn apply(&mut self, change: Change) {
        let name = change.object.name.clone();
        let entry = (self.position, change.object);
        if change.removed {
            self.objects.remove(&name);
            self.removed.insert(name, entry);
        } else {
            self.removed.remove(&name);
            self.objects.insert(name, entry);
        }
        while self.removed.len() > REMOVED_MAX {
            let oldest = self.removed.iter().min_by_key(|(_, (at, _))| *at);
            let Some((name, at)) = oldest.map(|(name, (at, _))| (name.clone(), *at)) else { break };
            self.removed.remove(&name);
            self.pruned = self.pruned.max(at);
        }
    }
}
