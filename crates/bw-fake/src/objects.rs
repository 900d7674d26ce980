//! The objects of the stand-in store, without I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;

/// Objects in one page.
const PAGE_ITEMS: usize = 50;
/// Changes that are kept for watches.
const HISTORY_MAX: usize = 4_096;

/// Why a write was not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The object has another revision, or exists already.
    Conflict,
    /// The object does not exist.
    Absent,
}

/// All objects with the changes that led to them.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: VecDeque<(u64, Change)>,
    /// Revision up to which changes are no longer known.
    forgotten: u64,
}

impl Objects {
    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// One object.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_string(), name.to_string()))
    }

    /// A page of a kind's objects after a name.
    pub fn list(&self, kind: &str, after: &str) -> Page {
        let matching = self.objects.iter().filter(|((k, name), _)| k == kind && &**name > after);
        let mut items: Vec<Object> =
            matching.map(|(_, object)| object.clone()).take(PAGE_ITEMS + 1).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        Page { items, unreadable: 0, more, revision: self.revision }
    }

    /// Changes of a kind after a revision; `None` when they are no longer known.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after < self.forgotten {
            return None;
        }
        let newer = self.history.iter().filter(|(revision, _)| *revision > after);
        let events = newer.map(|(_, change)| change).filter(|change| change.object.kind == kind);
        Some(Changes { events: events.cloned().collect(), unreadable: 0, revision: self.revision })
    }

    /// Forgets all changes, as a store does that drops its history early.
    pub fn forget_history(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    /// Creates an object.
    ///
    /// # Errors
    /// [`Denial::Conflict`] when it exists.
    pub fn create(&mut self, object: Object) -> Result<Object, Denial> {
        if self.get(&object.kind, &object.name).is_some() {
            return Err(Denial::Conflict);
        }
        Ok(self.store(object))
    }

    /// Replaces an object, of the revision that `object` carries, or any when that is 0.
    ///
    /// # Errors
    /// [`Denial`].
    pub fn replace(&mut self, object: Object) -> Result<Object, Denial> {
        let known = self.get(&object.kind, &object.name).ok_or(Denial::Absent)?;
        if object.revision != 0 && object.revision != known.revision {
            return Err(Denial::Conflict);
        }
        if object.content == known.content && object.finalizers == known.finalizers {
            return Ok(known.clone());
        }
        Ok(self.store(object))
    }

    /// Removes an object.
    ///
    /// # Errors
    /// [`Denial::Absent`].
    pub fn remove(&mut self, kind: &str, name: &str) -> Result<Object, Denial> {
        let id = (kind.to_string(), name.to_string());
        let object = self.objects.remove(&id).ok_or(Denial::Absent)?;
        self.revision += 1;
        self.note(Change { object: object.clone(), removed: true });
        Ok(object)
    }

    fn store(&mut self, mut object: Object) -> Object {
        self.revision += 1;
        object.revision = self.revision;
        let id = (object.kind.clone(), object.name.clone());
        self.objects.insert(id, object.clone());
        self.note(Change { object: object.clone(), removed: false });
        object
    }

    fn note(&mut self, change: Change) {
        self.history.push_back((self.revision, change));
        if self.history.len() > HISTORY_MAX {
            if let Some((revision, _)) = self.history.pop_front() {
                self.forgotten = revision;
            }
        }
    }
}
