//! Copy of the store's objects, served to peers that follow this gateway.

use std::collections::BTreeMap;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;

/// Maximum number of removals kept for each kind.
const REMOVED_MAX: usize = 256;

/// The objects of one kind. Only the last state of each object is kept, since followers need no
/// earlier state and a configuration may have many of them.
#[derive(Clone, Debug, Default)]
struct KindState {
    /// Objects by name, each with the revision up to which changes were known when it arrived.
    objects: BTreeMap<String, (u64, Object)>,
    /// Removed objects by name, with revisions as above.
    removed: BTreeMap<String, (u64, Object)>,
    /// Revision up to which changes are known.
    revision: u64,
    /// Revision up to which removals may have been discarded.
    pruned: u64,
}

/// Identifies the content of a reply to a follower; replies with equal excerpts are equal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Excerpt {
    kind: String,
    /// Whether the reply is a list, and not changes.
    whole: bool,
    /// Revision up to which the reply shows changes.
    revision: u64,
    /// Names and revisions of the objects in the reply.
    objects: Vec<(String, u64)>,
    /// Names and last revisions of the removed objects in the reply.
    removed: Vec<(String, u64)>,
}

impl Excerpt {
    /// Returns the revision up to which the reply shows changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }
}

/// Objects by kind, with their most recent changes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: BTreeMap<String, KindState>,
}

impl Mirror {
    /// Replaces the objects of a kind by the complete list at a revision; known objects named in
    /// `retained` stay.
    pub fn replace(&mut self, kind: &str, list: Vec<Object>, revision: u64, retained: &[String]) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        let removed: Vec<Object> = known
            .objects
            .values()
            .map(|(_, object)| object)
            .filter(|object| !list.iter().any(|other| other.name == object.name))
            .filter(|object| !retained.contains(&object.name))
            .cloned()
            .collect();
        known.revision = known.revision.max(revision);
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

    /// Applies changes up to a revision.
    pub fn apply(&mut self, kind: &str, changes: Vec<Change>, revision: u64) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        known.revision = known.revision.max(revision);
        for change in changes {
            known.apply(change);
        }
    }

    /// Returns what a reply to a follower contains: all objects of a kind, or its changes after a
    /// revision. `None` as for [`Self::list`] and [`Self::changes`].
    pub fn excerpt(&self, kind: &str, after: Option<u64>) -> Option<Excerpt> {
        let known = self.kinds.get(kind)?;
        if after.is_some_and(|after| after < known.pruned) {
            return None;
        }
        let included = |at: u64| after.is_none_or(|after| at > after);
        let part = |objects: &BTreeMap<String, (u64, Object)>| -> Vec<(String, u64)> {
            let objects = objects.values().filter(|(at, _)| included(*at));
            objects.map(|(_, object)| (object.name.clone(), object.revision)).collect()
        };
        let removed = after.map(|_| part(&known.removed)).unwrap_or_default();
        Some(Excerpt {
            kind: kind.to_string(),
            whole: after.is_none(),
            revision: known.revision.max(after.unwrap_or_default()),
            objects: part(&known.objects),
            removed,
        })
    }

    /// Returns whether a kind is known up to a revision and has no changes after it.
    pub fn has_no_changes(&self, kind: &str, after: u64) -> bool {
        self.kinds.get(kind).is_some_and(|known| {
            let newest = known.objects.values().chain(known.removed.values());
            after >= known.pruned && newest.map(|(at, _)| *at).max().unwrap_or_default() <= after
        })
    }

    /// Returns the objects of a kind; `None` before the first list.
    pub fn list(&self, kind: &str) -> Option<Page> {
        let known = self.kinds.get(kind)?;
        let items = known.objects.values().map(|(_, object)| object.clone()).collect();
        Some(Page { items, unreadable: 0, more: false, revision: known.revision })
    }

    /// Returns the changes of a kind after a revision; `None` when the kind has not been listed or
    /// removals since then have been discarded.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        let known = self.kinds.get(kind)?;
        if after < known.pruned {
            return None;
        }
        let newer = |objects: &BTreeMap<String, (u64, Object)>, removed| {
            let newer = objects.values().filter(|(at, _)| *at > after);
            let changes = newer.map(|(_, object)| Change { object: object.clone(), removed });
            changes.collect::<Vec<Change>>()
        };
        let mut events = newer(&known.removed, true);
        events.extend(newer(&known.objects, false));
        Some(Changes { events, unreadable: 0, revision: known.revision.max(after) })
    }
}

impl KindState {
    fn apply(&mut self, change: Change) {
        let name = change.object.name.clone();
        let entry = (self.revision, change.object);
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
