//! The accepted configuration in the object API.
//!
//! Parts are immutable objects named by their content. One head object names the parts of the
//! accepted version; moving it by conditional write accepts a change as a whole.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use bw_adapter::Object;
use bw_conf::Document;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

const HEADS: &str = "configurations";
const HEAD: &str = "current";
const PARTS: &str = "configurationparts";
/// Parts of a configuration. Section headers spread over them, so one change touches one part.
pub const PART_COUNT: usize = 64;
/// Versions for which replaced parts are kept for readers that are behind.
const RETIRED_VERSIONS: u64 = 16;
/// The largest object, in bytes, with room below the platform's megabyte for the envelope.
const PART_BYTES_MAX: usize = 900_000;

/// The head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Accepted version.
    pub version: Version,
    /// Drawn by the writer; tells it whether its write took effect when the answer was lost.
    pub nonce: String,
    /// Names of the parts.
    pub parts: Vec<String>,
    /// Parts no longer named, with the version that replaced them.
    pub retired: Vec<(String, Version)>,
}

/// The head as read, with the object's revision for the next conditional write.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRead {
    /// The head; the default one when no configuration was accepted yet.
    pub head: Head,
    /// Revision of the object; 0 when it does not exist.
    pub object: u64,
}

/// How an attempt to accept a configuration ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is accepted as this version.
    Accepted(Version),
    /// Another change was accepted first; nothing of this one took effect.
    Raced(Version),
}

/// Reads and moves the accepted configuration.
#[derive(Clone)]
pub struct ConfigStore {
    store: Store,
}

impl ConfigStore {
    /// The configuration in `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Reads the head.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn head(&self) -> Result<HeadRead, StoreError> {
        let object = self.store.get(Purpose::Read, HEADS, HEAD).await?;
        object.map_or(Ok(HeadRead::default()), |object| read_head(&object))
    }

    /// Waits for a head after the one of revision `after`.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Option<HeadRead>, StoreError> {
        let object = self.store.watch(HEADS, HEAD, after, wait).await?;
        object.map(|object| read_head(&object)).transpose()
    }

    /// Reads all parts of a head and joins them.
    ///
    /// # Errors
    /// [`StoreError`]; [`StoreError::Absent`] when the head is long replaced.
    pub async fn document(&self, head: &Head) -> Result<Document, StoreError> {
        let parts = self.parts(head, &HashMap::new()).await?;
        Ok(Document::join(parts.into_iter().map(|(_, part)| part).collect()))
    }

    /// Reads the parts of a head that `known` does not hold.
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

    /// Accepts `document` as the successor of the head that the caller read.
    ///
    /// A lost answer is settled by reading the head's nonce back.
    ///
    /// # Errors
    /// [`StoreError::Unknown`] when the outcome could not be settled.
    pub async fn apply(&self, document: &Document, read: &HeadRead) -> Result<Applied, StoreError> {
        let parts = self.write_parts(document, &read.head).await?;
        let version = Version(read.head.version.0 + 1);
        let (retired, expired) = retire(&read.head, &parts, version);
        let nonce = Uuid::new_v4().to_string();
        let head = Head { version, nonce: nonce.clone(), parts, retired };
        let object = Object::new(HEADS, HEAD, read.object, &head)?;
        let applied = match self.store.put(Purpose::Write, &object).await {
            Ok(_) => Applied::Accepted(version),
            Err(StoreError::Conflict | StoreError::Unknown(_)) => {
                self.settle(&nonce, version).await?
            }
            Err(error) => return Err(error),
        };
        if applied == Applied::Accepted(version) {
            for name in expired {
                // A part that stays costs space only; the next change does not name it again.
                let _ = self.store.delete(Purpose::Write, PARTS, &name).await;
            }
        }
        Ok(applied)
    }

    /// Finds out whether the write with `nonce` took effect.
    async fn settle(&self, nonce: &str, version: Version) -> Result<Applied, StoreError> {
        const TRIES: u32 = 20;
        const PAUSE: Duration = Duration::from_millis(250);
        let mut last = StoreError::Absent;
        for _ in 0..TRIES {
            match self.head().await {
                Ok(read) if read.head.nonce == nonce => return Ok(Applied::Accepted(version)),
                Ok(read) if read.head.version >= version => {
                    return Ok(Applied::Raced(read.head.version));
                }
                Ok(_) => last = StoreError::Unknown("the write has not arrived".to_string()),
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
            let reason = format!("a part has {} bytes, at most {PART_BYTES_MAX}", part.bytes());
            return Err(StoreError::Form(reason));
        }
        let object = Object::new(PARTS, name, 0, part)?;
        match self.store.create(Purpose::Write, &object).await {
            // The name is a hash of the content, so an existing part is the same part.
            Ok(_) | Err(StoreError::Conflict) => Ok(()),
            Err(StoreError::Unknown(_)) => {
                let found = self.store.get(Purpose::Read, PARTS, name).await?;
                let missing = || StoreError::Unknown("a part may not be written".to_string());
                found.map(|_| ()).ok_or_else(missing)
            }
            Err(error) => Err(error),
        }
    }

    async fn part(self, name: String) -> Result<Document, StoreError> {
        let object = self.store.get(Purpose::Read, PARTS, &name).await?;
        Ok(object.ok_or(StoreError::Absent)?.content()?)
    }
}

fn read_head(object: &Object) -> Result<HeadRead, StoreError> {
    Ok(HeadRead { head: object.content()?, object: object.revision })
}

fn part_name(part: &Document) -> Result<String, StoreError> {
    let text = serde_json::to_vec(part).map_err(|error| StoreError::Form(error.to_string()))?;
    let hash = blake3::hash(&text).to_hex();
    Ok(format!("part-{}", &hash.as_str()[..32]))
}

/// The retired list of the next head, and the parts to delete once it is written.
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

/// Awaits reads a few at a time; the first error ends them.
async fn join_reads<F>(reads: Vec<F>) -> Result<Vec<Document>, StoreError>
where
    F: std::future::Future<Output = Result<Document, StoreError>>,
{
    use futures::stream::StreamExt;
    use futures::stream::TryStreamExt;
    const AT_A_TIME: usize = 8;
    futures::stream::iter(reads).buffered(AT_A_TIME).try_collect().await
}
