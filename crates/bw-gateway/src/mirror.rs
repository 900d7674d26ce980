//! What this gateway knows of the store's objects, for peers that follow it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;

/// Changes that are kept for followers, of each kind.
const HISTORY_MAX: usize = 512;

/// The objects of one kind.
#[derive(Clone, Debug, Default)]
struct Kind {
    objects: BTreeMap<String, Object>,
    revision: u64,
    history: VecDeque<(u64, Change)>,
    /// Revision up to which changes are no longer known.
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
        let objects: BTreeMap<String, Object> =
            list.into_iter().map(|object| (object.name.clone(), object)).collect();
        let gone: Vec<Object> = known
            .objects
            .values()
            .filter(|object| !objects.contains_key(&object.name) && !kept.contains(&object.name))
            .cloned()
            .collect();
        let changed: Vec<Object> = objects
            .values()
            .filter(|object| known.objects.get(&object.name) != Some(object))
            .cloned()
            .collect();
        known.revision = known.revision.max(revision);
        for object in gone {
            known.apply(Change { object, removed: true });
        }
        for object in changed {
            known.apply(Change { object, removed: false });
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
        let items = known.objects.values().cloned().collect();
        Some(Page { items, unreadable: 0, more: false, revision: known.revision })
    }

    /// Changes of a kind after a revision; `None` when they are not known.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        let known = self.kinds.get(kind)?;
        if after < known.forgotten {
            return None;
        }
        let newer = known.history.iter().filter(|(revision, _)| *revision > after);
        let events = newer.map(|(_, change)| change.clone()).collect();
        Some(Changes { events, unreadable: 0, revision: known.revision.max(after) })
    }
}

impl Kind {
    fn apply(&mut self, change: Change) {
        let name = change.object.name.clone();
        if change.removed {
            self.objects.remove(&name);
        } else {
            self.objects.insert(name, change.object.clone());
        }
        self.history.push_back((self.revision, change));
        if self.history.len() > HISTORY_MAX {
            if let Some((revision, _)) = self.history.pop_front() {
                self.forgotten = revision;
            }
        }
    }
}
