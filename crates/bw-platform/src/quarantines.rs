//! Quarantines in the object store, so that they outlive the processes that know them.

use std::fmt;

use bw_adapter::Object;
use bw_model::Position;
use bw_once::CrashId;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

/// Kind of the objects, one for each quarantine.
const QUARANTINES: &str = "quarantines";

/// What is quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// A part of prompts, by its identifier.
    Part(u64),
    /// A request, by its fingerprint.
    Request(u64),
}

/// Writes the name of the quarantine's object.
impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part-{part:016x}"),
            Self::Request(fingerprint) => write!(f, "request-{fingerprint:016x}"),
        }
    }
}

/// A quarantine with the evidence for it.
///
/// Releases before 0.4.0 know parts only; they log the others as unreadable and skip them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Quarantine {
    /// A part of prompts.
    Part {
        /// Identifier of the part.
        part: u64,
    },
    /// A request.
    Request {
        /// Fingerprint of the request.
        request: u64,
        /// Crashes at which the request was in flight.
        crashes: Vec<CrashId>,
    },
}

impl Quarantine {
    /// Returns what is quarantined.
    pub fn subject(&self) -> Subject {
        match self {
            Self::Part { part } => Subject::Part(*part),
            Self::Request { request, .. } => Subject::Request(*request),
        }
    }
}

/// The quarantines in the store.
#[derive(Clone)]
pub struct Quarantines {
    store: Store,
}

impl Quarantines {
    /// Creates a client of the quarantines in `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Reads all quarantines, and the position at which they were read. Those that cannot be read are logged
    /// and left out.
    ///
    /// # Errors
    /// As [`Store::list_all`].
    pub async fn list(&self) -> Result<(Vec<Quarantine>, Position), StoreError> {
        let (objects, position) = self.store.list_all(QUARANTINES).await?;
        let mut list = Vec::new();
        for object in objects {
            match object.content::<Quarantine>() {
                Ok(quarantine) => list.push(quarantine),
                Err(error) => warn!("event=quarantine_unreadable reason=\"{error}\""),
            }
        }
        Ok((list, position))
    }

    /// Writes a quarantine, unless the store has it.
    ///
    /// # Errors
    /// Any [`StoreError`] but [`StoreError::Conflict`].
    pub async fn write(&self, quarantine: &Quarantine) -> Result<(), StoreError> {
        let name = quarantine.subject().to_string();
        let object = Object::new(QUARANTINES, &name, 0, quarantine)?;
        match self.store.create(Purpose::Write, &object).await {
            // Another process was first.
            Ok(_) | Err(StoreError::Conflict) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Deletes a quarantine. Deleting an absent one succeeds.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn delete(&self, subject: Subject) -> Result<(), StoreError> {
        self.store.delete(Purpose::Write, QUARANTINES, &subject.to_string()).await
    }
}
