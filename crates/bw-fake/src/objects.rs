//! The contents of the fake object store, without I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;

/// Largest number of objects in one page of a listing.
const PAGE_ITEMS: usize = 50;
/// Number of changes kept for watches.
const HISTORY_MAX: usize = 4_096;

/// The reason why a write was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The object's revision differs from the expected one, or the object exists already.
    Conflict,
    /// The object does not exist.
    NotFound,
}

/// All objects and the history of their recent changes.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: VecDeque<(u64, Change)>,
    /// Revision up to which the history has been discarded.
    discarded: u64,
}

impl Objects {
    /// Returns the revision of the last change, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns an object, or `None` if it does not exist.
    pub fn get(&self, kind: &str, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.to_string(), name.to_string()))
    }

    /// Returns a page of the objects of `kind` whose names follow `after`, in the order of names.
    pub fn list(&self, kind: &str, after: &str) -> Page {
        let matching = self.objects.iter().filter(|((k, name), _)| k == kind && &**name > after);
        let mut items: Vec<Object> =
            matching.map(|(_, object)| object.clone()).take(PAGE_ITEMS + 1).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        Page { items, more, revision: self.revision, ..Page::default() }
    }

    /// Returns the changes of a kind after a revision, or `None` if the history that far back has
    /// been discarded.
    pub fn changes(&self, kind: &str, after: u64) -> Option<Changes> {
        if after < self.discarded || after > self.revision {
            return None;
        }
        let newer = self.history.iter().filter(|(revision, _)| *revision > after);
        let events = newer.map(|(_, change)| change).filter(|change| change.object.kind == kind);
        let events = events.cloned().collect();
        Some(Changes { events, revision: self.revision, ..Changes::default() })
    }

    /// Discards the history, as a store may do early; watches from an older revision then fail.
    pub fn discard_history(&mut self) {
        self.discarded = self.revision;
        self.history.clear();
    }

    /// Goes back to `older`, as a store that returns from an older copy of itself. Revisions after it
    /// are given out again; watches from one that is not given out yet fail.
    pub fn restore(&mut self, older: Self) {
        *self = older;
    }

    /// Creates an object.
    ///
    /// # Errors
    /// [`WriteError::Conflict`] if the object exists already.
    pub fn create(&mut self, object: Object) -> Result<Object, WriteError> {
        if self.get(&object.kind, &object.name).is_some() {
            return Err(WriteError::Conflict);
        }
        Ok(self.insert(object))
    }

    /// Replaces an object if its revision equals that of `object`; revision 0 matches any. A
    /// replacement with equal content and finalizers keeps the revision.
    ///
    /// # Errors
    /// [`WriteError::NotFound`] if the object does not exist, [`WriteError::Conflict`] if its
    /// revision differs.
    pub fn replace(&mut self, object: Object) -> Result<Object, WriteError> {
        let stored = self.get(&object.kind, &object.name).ok_or(WriteError::NotFound)?;
        if object.revision != 0 && object.revision != stored.revision {
            return Err(WriteError::Conflict);
        }
        if object.content == stored.content && object.finalizers == stored.finalizers {
            return Ok(stored.clone());
        }
        Ok(self.insert(object))
    }

    /// Removes an object.
    ///
    /// # Errors
    /// [`WriteError::NotFound`] if the object does not exist.
    pub fn remove(&mut self, kind: &str, name: &str) -> Result<Object, WriteError> {
        let id = (kind.to_string(), name.to_string());
        let object = self.objects.remove(&id).ok_or(WriteError::NotFound)?;
        self.revision += 1;
        self.record_change(Change { object: object.clone(), removed: true });
        Ok(object)
    }

    fn insert(&mut self, mut object: Object) -> Object {
        self.revision += 1;
        object.revision = self.revision;
        let id = (object.kind.clone(), object.name.clone());
        self.objects.insert(id, object.clone());
        self.record_change(Change { object: object.clone(), removed: false });
        object
    }

    fn record_change(&mut self, change: Change) {
        self.history.push_back((self.revision, change));
        if self.history.len() > HISTORY_MAX {
            if let Some((revision, _)) = self.history.pop_front() {
                self.discarded = revision;
            }
        }
    }
}
