//! The accepted configuration in the object store.
//!
//! Parts are immutable objects named by a hash of their content. One head object lists the parts
//! of the accepted version; a conditional write of the head accepts a change atomically.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use bw_adapter::Object;
use bw_conf::Document;
use bw_model::Position;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

const HEAD_KIND: &str = "configurations";
const HEAD_NAME: &str = "current";
const PART_KIND: &str = "configurationparts";
/// Number of parts of a configuration. Sections are distributed by their headers, so that a change
/// of one section rewrites one part.
pub const PART_COUNT: usize = 64;
/// Number of versions for which replaced parts are kept for readers of older heads.
const RETIRED_VERSIONS: u64 = 16;
/// Versions that are skipped for each time that the store has returned from an older copy, which may have
/// lost as many.
const RESTORE_GAP: u64 = 1_000;
/// Maximum size of a part, in bytes. The platform's limit of one megabyte also covers the envelope.
const PART_BYTES_MAX: usize = 900_000;

/// Content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted version.
    pub version: Version,
    /// Random value of the writer, which shows whether a write took effect whose answer was lost.
    pub nonce: String,
    /// Names of the part objects.
    pub parts: Vec<String>,
    /// Names of replaced parts, with the version that replaced each.
    pub retired: Vec<(String, Version)>,
    /// Era of the store in which the version was accepted.
    #[serde(default)]
    pub era: u64,
}

/// The head as read, with the revision for the next conditional write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRead {
    /// The head; the default when no configuration was accepted yet.
    pub head: Head,
    /// Revision of the head object; 0 when it does not exist.
    pub revision: u64,
    /// Era of the store in which the head was read.
    pub era: u64,
}

impl HeadRead {
    /// Returns the position of the head, after which a watch returns newer ones.
    pub fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    /// Returns whether the store was restored since the head was accepted, so that later versions may
    /// have been lost.
    pub fn is_restored(&self) -> bool {
        self.revision != 0 && self.head.era < self.era
    }

    /// Returns a version that no other configuration has had.
    fn next_version(&self) -> Version {
        let restores = if self.is_restored() { self.era - self.head.era } else { 0 };
        Version(self.head.version.0 + (RESTORE_GAP * restores).max(1))
    }
}

/// Outcome of an attempt to accept a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The configuration was accepted as this version.
    Accepted(Version),
    /// Another change was accepted first, with this version; nothing of this one took effect.
    Superseded(Version),
}

/// Reads and replaces the accepted configuration.
#[derive(Clone)]
pub struct ConfigStore {
    store: Store,
}

impl ConfigStore {
    /// Accesses the configuration in `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Reads the head.
    ///
    /// # Errors
    /// Any [`StoreError`] of the read.
    pub async fn head(&self) -> Result<HeadRead, StoreError> {
        let (object, era) = self.store.get_in_era(Purpose::Read, HEAD_KIND, HEAD_NAME).await?;
        object
            .map_or(Ok(HeadRead { era, ..HeadRead::default() }), |object| decode_head(&object, era))
    }

    /// Waits for a head after `position`; `None` when `wait` ends first. The first head of a later era is
    /// that of the older copy.
    ///
    /// # Errors
    /// Any [`StoreError`] of the watch.
    pub async fn watch(
        &self,
        position: Position,
        wait: Duration,
    ) -> Result<Option<HeadRead>, StoreError> {
        let found = self.store.watch(HEAD_KIND, HEAD_NAME, position, wait).await?;
        found.map(|(object, era)| decode_head(&object, era)).transpose()
    }

    /// Reads all parts of a head and joins them.
    ///
    /// # Errors
    /// [`StoreError::Absent`] when a part was deleted because the head was replaced more than
    /// `RETIRED_VERSIONS` versions ago; any other [`StoreError`] of the reads.
    pub async fn document(&self, head: &Head) -> Result<Document, StoreError> {
        let parts = self.parts(head, &HashMap::new()).await?;
        Ok(Document::join(parts.into_iter().map(|(_, part)| part).collect()))
    }

    /// Reads the parts of a head that are not in `known`.
    ///
    /// # Errors
    /// As [`ConfigStore::document`].
    pub async fn parts(
        &self,
        head: &Head,
        known: &HashMap<String, Document>,
    ) -> Result<Vec<(String, Document)>, StoreError> {
        let mut reads = Vec::new();
        let names: Vec<&String> =
            head.parts.iter().filter(|name| !known.contains_key(*name)).collect();
        for name in &names {
            reads.push(self.clone().part(name.to_string()));
        }
        let parts = join_reads(reads).await?;
        Ok(names.into_iter().cloned().zip(parts).collect())
    }

    /// Accepts `document` as the successor of the head in `read`.
    ///
    /// After a lost answer, the nonce of the stored head shows whether the write took effect.
    ///
    /// # Errors
    /// [`StoreError::Unknown`] when the outcome could not be determined; any other [`StoreError`]
    /// when nothing was accepted.
    pub async fn apply(&self, document: &Document, read: &HeadRead) -> Result<Applied, StoreError> {
        let parts = self.write_parts(document, &read.head).await?;
        let version = read.next_version();
        let (retired, expired) = retire(&read.head, &parts, version);
        let nonce = Uuid::new_v4().to_string();
        let head = Head { version, nonce: nonce.clone(), parts, retired, era: read.era };
        let object = Object::new(HEAD_KIND, HEAD_NAME, read.revision, &head)?;
        let applied = match self.store.put_in_era(Purpose::Write, &object).await {
            Ok((_, era)) if era == read.era => Applied::Accepted(version),
            // The version may have been given to a configuration that is lost.
            Ok(_) => {
                let reason = "the store was restored meanwhile; apply the configuration again";
                return Err(StoreError::Unknown(reason.to_string()));
            }
            Err(StoreError::Conflict | StoreError::Unknown(_)) => {
                self.resolve_outcome(&nonce, version).await?
            }
            Err(error) => return Err(error),
        };
        if applied == Applied::Accepted(version) {
            for name in expired {
                // An undeleted part only costs space. The next change does not try to delete it
                // again, since the new head no longer lists it.
                let _ = self.store.delete(Purpose::Write, PART_KIND, &name).await;
            }
        }
        Ok(applied)
    }

    /// Determines from the stored head whether the write with `nonce` took effect.
    async fn resolve_outcome(&self, nonce: &str, version: Version) -> Result<Applied, StoreError> {
        const READS: u32 = 20;
        const PAUSE: Duration = Duration::from_millis(250);
        let mut last = StoreError::Absent;
        for _ in 0..READS {
            match self.head().await {
                Ok(read) if read.head.nonce == nonce => return Ok(Applied::Accepted(version)),
                Ok(read) if read.head.version >= version => {
                    return Ok(Applied::Superseded(read.head.version));
                }
                Ok(_) => {
                    last = StoreError::Unknown("the head does not show the write yet".to_string())
                }
                Err(error) => last = error,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(StoreError::Unknown(last.to_string()))
    }

    async fn write_parts(
        &self,
        document: &Document,
        head: &Head,
    ) -> Result<Vec<String>, StoreError> {
        let mut names = Vec::new();
        for part in document.parts(PART_COUNT) {
            let name = part_name(&part)?;
            if !head.parts.contains(&name) {
                self.write_part(&name, &part).await?;
            }
            names.push(name);
        }
        Ok(names)
    }

    async fn write_part(&self, name: &str, part: &Document) -> Result<(), StoreError> {
        if part.bytes() > PART_BYTES_MAX {
            let reason =
                format!("a part has {} bytes, the maximum is {PART_BYTES_MAX}", part.bytes());
            return Err(StoreError::Invalid(reason));
        }
        let object = Object::new(PART_KIND, name, 0, part)?;
        match self.store.create(Purpose::Write, &object).await {
            // The name is a hash of the content, so an existing part is the same part.
            Ok(_) | Err(StoreError::Conflict) => Ok(()),
            Err(StoreError::Unknown(_)) => {
                let found = self.store.get(Purpose::Read, PART_KIND, name).await?;
                let missing =
                    || StoreError::Unknown("a part may not have been written".to_string());
                found.map(|_| ()).ok_or_else(missing)
            }
            Err(error) => Err(error),
        }
    }

    async fn part(self, name: String) -> Result<Document, StoreError> {
        let object = self.store.get(Purpose::Read, PART_KIND, &name).await?;
        Ok(object.ok_or(StoreError::Absent)?.content()?)
    }
}

fn decode_head(object: &Object, era: u64) -> Result<HeadRead, StoreError> {
    Ok(HeadRead { head: object.content()?, revision: object.revision, era })
}

fn part_name(part: &Document) -> Result<String, StoreError> {
    let text = serde_json::to_vec(part).map_err(|error| StoreError::Invalid(error.to_string()))?;
    let hash = blake3::hash(&text).to_hex();
    Ok(format!("part-{}", &hash.as_str()[..32]))
}

/// Returns the retired list of the next head, and the parts to delete once that head is written.
fn retire(
    head: &Head,
    parts: &[String],
    version: Version,
) -> (Vec<(String, Version)>, Vec<String>) {
    let named: BTreeSet<&String> = parts.iter().collect();
    let replaced = head.parts.iter().filter(|name| !named.contains(name));
    let replaced: BTreeSet<&String> = replaced.collect();
    let mut retired: Vec<(String, Version)> =
        head.retired.iter().filter(|(name, _)| !named.contains(name)).cloned().collect();
    retired.extend(replaced.into_iter().map(|name| (name.clone(), version)));
    let old = |at: Version| at.0 + RETIRED_VERSIONS < version.0;
    let expired = retired.iter().filter(|(_, at)| old(*at)).map(|(name, _)| name.clone());
    let expired = expired.collect();
    retired.retain(|(_, at)| !old(*at));
    (retired, expired)
}

/// Runs the reads with limited concurrency; the first error cancels the rest.
async fn join_reads<F>(reads: Vec<F>) -> Result<Vec<Document>, StoreError>
where
    F: std::future::Future<Output = Result<Document, StoreError>>,
{
    use futures::stream::StreamExt;
    use futures::stream::TryStreamExt;
    const CONCURRENT_READS: usize = 8;
    futures::stream::iter(reads).buffered(CONCURRENT_READS).try_collect().await
}
