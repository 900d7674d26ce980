//! Lease objects in the object store, one for each era of the store.

use bw_adapter::Object;
use bw_duty::lease::object_name;
use bw_duty::Lease;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

/// Kind of the lease objects.
const LEASE_KIND: &str = "leases";
/// Reads after which a lease counts as unread, because the store is restored again and again.
const READS_MAX: u32 = 3;

/// A lease in the store, as one process has last read or written it.
#[derive(Clone, Debug)]
pub struct LeaseObject {
    name: String,
    /// Era of the store in which the revision is valid.
    era: u64,
    /// Revision of the object; 0 if it does not exist.
    revision: u64,
}

impl LeaseObject {
    /// Creates a lease that has not been read.
    pub fn new(name: String) -> Self {
        Self { name, era: 0, revision: 0 }
    }

    /// Returns the era of the store in which the lease was last read.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Reads the lease of the present era; `None` if nobody has acquired it in this era.
    ///
    /// # Errors
    /// Any [`StoreError`]; [`StoreError::HistoryGone`] if eras begin faster than the lease is read.
    pub async fn read(
        &mut self,
        store: &Store,
        purpose: Purpose,
    ) -> Result<Option<Lease>, StoreError> {
        for _ in 0..READS_MAX {
            let name = object_name(&self.name, self.era);
            let (object, era) = store.get_in_era(purpose, LEASE_KIND, &name).await?;
            if era == self.era {
                self.revision = object.as_ref().map_or(0, |object| object.revision);
                return Ok(object.map(|object| object.content()).transpose()?);
            }
            self.era = era;
        }
        Err(StoreError::HistoryGone)
    }

    /// Writes the lease if it has not changed since it was last read or written; returns whether that
    /// took effect in the same era.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn write(&mut self, store: &Store, lease: &Lease) -> Result<bool, StoreError> {
        let name = object_name(&self.name, self.era);
        let object = Object::new(LEASE_KIND, &name, self.revision, lease)?;
        let (written, era) = store.put_in_era(Purpose::Lease, &object).await?;
        self.revision = written.revision;
        Ok(era == self.era)
    }
}
