//! What this gateway knows of the store's objects, for peers that follow it.

use std::collections::BTreeMap;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;

/// Removals that are remembered, of each kind.
const REMOVED_MAX: usize = 256;

/// The objects of one kind. Of each object only its last state is kept, since followers need no
/// earlier one and a configuration may have many.
#[derive(Clone, Debug, Default)]
struct Kind {
    /// Objects by name, with the revision up to which changes were known when they came.
    objects: BTreeMap<String, (u64, Object)>,
    /// Objects that are gone, likewise.
    removed: BTreeMap<String, (u64, Object)>,
    revision: u64,
    /// Revision up to which removals are no longer known.
    forgotten: u64,
}

/// Objects by kind, with their last changes.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    kinds: BTreeMap<String, Kind>,
}

impl Mirror {
    /// Takes the whole list of a kind as of a revision; known objects named in `kept` stay.
    pub fn replace(&mut self, kind: &str, list: Vec<Object>, revision: u64, kept: &[String]) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        let gone: Vec<Object> = known
            .objects
            .values()
            .map(|(_, object)| object)
            .filter(|object| !list.iter().any(|other| other.name == object.name))
            .filter(|object| !kept.contains(&object.name))
            .cloned()
            .collect();
        known.revision = known.revision.max(revision);
        for object in gone {
            known.apply(Change { object, removed: true });
        }
        for object in list {
            let same = known.objects.get(&object.name).is_some_and(|(_, known)| *known == object);
            if !same {
                known.apply(Change { object, removed: false });
            }
        }
    }

    /// Takes changes up to a revision.
    pub fn take(&mut self, kind: &str, changes: Vec<Change>, revision: u64) {
        let known = self.kinds.entry(kind.to_string()).or_default();
        known.revision = known.revision.max(revision);
        for change in changes {
            known.apply(change);
        }
    }

    /// The objects of a kind; `None` before the first list.
    pub fn list(&self, kind: &str) -> Option<Page> {
        let known = self.kinds.get(kind)?;
        let items = known.objects.values().map(|(_, object)| object.clone()).collect();
        Some(Page { items, unreadable: 0, more: false, revision: known.revision })
    }

    /// Changes of a kind after a revision; `None` when they are not known.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        let known = self.kinds.get(kind)?;
        if after < known.forgotten {
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

impl Kind {
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
            self.forgotten = self.forgotten.max(at);
        }
    }
}
