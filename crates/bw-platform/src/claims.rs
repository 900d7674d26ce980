//! Shards of claims in the object API, with many changes in one conditional write.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bw_adapter::Object;
use bw_kernel::unix_millis;
use bw_model::KeyHash;
use bw_once::claim::Swap;
use bw_once::shard::shard_of;
use bw_once::shard::Batch;
use bw_once::shard::Change;
use bw_once::shard::Claims;
use bw_once::shard::Shard;
use bw_once::shard::ShardHead;
use bw_once::shard::SHARDS;
use bw_once::Claim;
use tokio::sync::oneshot;
use tokio::sync::Mutex;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

const HEADS: &str = "claimshards";
const SEALED: &str = "claimarchives";
/// Conflicting writes of one batch before its changes are given back as unavailable.
const CONFLICTS_MAX: u32 = 8;

/// A change and the one who waits for its result.
struct Waiting {
    change: Change,
    result: oneshot::Sender<Swap>,
}

/// One shard: changes that wait, and the state that the one writer of this process works on.
#[derive(Default)]
struct Slot {
    queue: std::sync::Mutex<VecDeque<Waiting>>,
    state: Mutex<Known>,
}

/// The shard as last read.
#[derive(Default)]
struct Known {
    shard: Shard,
    /// Revision of the head object, 0 where it does not exist; `None` before the first read.
    object: Option<u64>,
}

/// The claims of all shards.
#[derive(Clone)]
pub struct ClaimStore {
    store: Store,
    slots: Arc<Vec<Slot>>,
    retention: Duration,
}

impl ClaimStore {
    /// Claims in `store`, kept for `retention`.
    pub fn new(store: Store, retention: Duration) -> Self {
        let slots = (0..SHARDS).map(|_| Slot::default()).collect();
        Self { store, slots: Arc::new(slots), retention }
    }

    /// Reads the claim of a key from the store.
    ///
    /// # Errors
    /// [`StoreError`] when the shard cannot be read.
    pub async fn read(&self, key: KeyHash) -> Result<Option<Claim>, StoreError> {
        let shard = shard_of(key);
        let mut known = self.slots[shard as usize].state.lock().await;
        self.refresh(shard, &mut known).await?;
        Ok(known.shard.claim(key).cloned())
    }

    /// Applies one change, together with others of the same shard that wait at the same time.
    pub async fn swap(&self, change: Change) -> Swap {
        let shard = shard_of(change.key);
        let slot = &self.slots[shard as usize];
        let (result, mut answer) = oneshot::channel();
        lock(&slot.queue).push_back(Waiting { change, result });
        // Whoever gets the state next writes for all that wait by then.
        let mut known = slot.state.lock().await;
        if let Ok(swap) = answer.try_recv() {
            return swap;
        }
        let batch: Vec<Waiting> = lock(&slot.queue).drain(..).collect();
        self.write_batch(shard, &mut known, batch).await;
        drop(known);
        answer.await.unwrap_or(Swap::Unknown)
    }

    async fn write_batch(&self, shard: u32, known: &mut Known, batch: Vec<Waiting>) {
        let changes: Vec<Change> = batch.iter().map(|waiting| waiting.change.clone()).collect();
        let results = self.try_batch(shard, known, &changes).await;
        for (waiting, result) in batch.into_iter().zip(results) {
            // A caller that has left settles its claim by reading it.
            let _ = waiting.result.send(result);
        }
    }

    async fn try_batch(&self, shard: u32, known: &mut Known, changes: &[Change]) -> Vec<Swap> {
        for _ in 0..CONFLICTS_MAX {
            if known.object.is_none() {
                if let Err(error) = self.refresh(shard, known).await {
                    log::warn!("event=claims_unread shard={shard} reason=\"{error}\"");
                    return vec![Swap::Unavailable; changes.len()];
                }
            }
            let retention = self.retention.as_millis() as u64;
            let batch = known.shard.batch(shard, changes, unix_millis(), retention);
            match self.write(shard, known, &batch).await {
                Ok(()) => return batch.results,
                Err(StoreError::Conflict) => known.object = None,
                Err(StoreError::Unknown(reason)) => {
                    log::warn!("event=claims_unsettled shard={shard} reason=\"{reason}\"");
                    known.object = None;
                    return changes.iter().map(|_| Swap::Unknown).collect();
                }
                Err(error) => {
                    log::warn!("event=claims_unwritten shard={shard} reason=\"{error}\"");
                    return vec![Swap::Unavailable; changes.len()];
                }
            }
        }
        vec![Swap::Unavailable; changes.len()]
    }

    async fn write(&self, shard: u32, known: &mut Known, batch: &Batch) -> Result<(), StoreError> {
        let Some(head) = &batch.head else {
            // Nothing applies; but that holds only if what is known is current.
            return self.confirm(shard, known).await;
        };
        if let Some((name, claims)) = &batch.seal {
            let object = Object::new(SEALED, name, 0, claims)?;
            self.store.create(Purpose::Claim, &object).await.map_err(not_taken)?;
        }
        let revision = known.object.unwrap_or_default();
        let object = Object::new(HEADS, &shard_name(shard), revision, head)?;
        let written = self.store.put(Purpose::Claim, &object).await?;
        if let Some((name, claims)) = &batch.seal {
            known.shard.set_sealed(name.clone(), claims.clone());
        }
        known.shard.set_head(head.clone());
        known.object = Some(written.revision);
        Ok(())
    }

    /// Succeeds when the head has not changed since it was read.
    async fn confirm(&self, shard: u32, known: &mut Known) -> Result<(), StoreError> {
        let before = known.object;
        self.refresh(shard, known).await?;
        if known.object == before {
            Ok(())
        } else {
            Err(StoreError::Conflict)
        }
    }

    async fn refresh(&self, shard: u32, known: &mut Known) -> Result<(), StoreError> {
        let object = self.store.get(Purpose::Claim, HEADS, &shard_name(shard)).await?;
        let (head, revision) = match object {
            Some(object) => (object.content()?, object.revision),
            None => (ShardHead::default(), 0),
        };
        for name in known.shard.set_head(head) {
            let sealed = self.store.get(Purpose::Claim, SEALED, &name).await?;
            let claims: Claims = sealed.ok_or(StoreError::Absent)?.content()?;
            known.shard.set_sealed(name, claims);
        }
        known.object = known.shard.is_complete().then_some(revision);
        Ok(())
    }
}

/// A failed write of a sealed object leaves the head as it was, so nothing was changed.
fn not_taken(error: StoreError) -> StoreError {
    match error {
        StoreError::Unknown(reason) => StoreError::Unavailable(reason),
        other => other,
    }
}

fn shard_name(shard: u32) -> String {
    format!("shard-{shard}")
}

fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
