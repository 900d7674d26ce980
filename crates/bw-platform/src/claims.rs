//! Shards of idempotency claims in the object store. Concurrent changes of a shard are batched into
//! one conditional write.
//!
//! A store that returns from an older copy of itself has lost the last claims, whose requests may have run.
//! The process that wrote them applies them again before it decides about any other change.

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
use tokio::time::Instant;

use crate::budget::Purpose;
use crate::error::StoreError;
use crate::store::Store;

/// Object kind of the shard heads, which hold the claims of the current period.
const HEAD_KIND: &str = "claimshards";
/// Object kind of the sealed claims of earlier periods, which never change.
const SEALED_KIND: &str = "claimarchives";
/// Number of conflicting writes of a batch after which its changes fail as unavailable.
const CONFLICTS_MAX: u32 = 8;

/// Time for which a written change is remembered; longer than the age of a copy that a store returns from.
const REMEMBERED: Duration = Duration::from_secs(60);

/// A queued change and the channel for its result.
struct QueuedChange {
    change: Change,
    result: oneshot::Sender<Swap>,
}

/// A shard: the queued changes, and the cached state, whose lock admits one writer per process.
#[derive(Default)]
struct ShardState {
    queue: std::sync::Mutex<VecDeque<QueuedChange>>,
    cached: Mutex<CachedShard>,
}

/// A shard as last read or written.
#[derive(Default)]
struct CachedShard {
    shard: Shard,
    /// Revision of the head object, 0 when it does not exist; `None` when the shard must be read
    /// before the next write.
    head_revision: Option<u64>,
    /// Era of the store in which the shard was last read.
    era: u64,
    /// Changes that this process has written, in their order.
    written: VecDeque<WrittenChange>,
}

/// A change that took effect in the store.
struct WrittenChange {
    change: Change,
    /// Era of the store in which the change took effect, or was applied again.
    era: u64,
    written_at: Instant,
}

impl CachedShard {
    /// Returns whether the store has returned from an older copy since changes were written that it may
    /// have lost.
    fn has_lost(&self) -> bool {
        self.written.iter().any(|written| written.era < self.era)
    }

    /// Applies the changes again that the store may have lost.
    fn reapply_lost(&mut self) {
        self.forget_old();
        for written in self.written.iter().filter(|written| written.era < self.era) {
            self.shard.reapply(&written.change);
        }
    }

    /// Remembers the changes of a batch that was written, with those that were applied again in it.
    fn record_written(&mut self, changes: &[Change], results: &[Swap]) {
        self.written.iter_mut().for_each(|written| written.era = self.era);
        let done = changes.iter().zip(results).filter(|(_, result)| **result == Swap::Done);
        let (era, written_at) = (self.era, Instant::now());
        let done =
            done.map(|(change, _)| WrittenChange { change: change.clone(), era, written_at });
        self.written.extend(done);
        self.forget_old();
    }

    fn forget_old(&mut self) {
        let is_old = |written: &WrittenChange| written.written_at.elapsed() >= REMEMBERED;
        while self.written.front().is_some_and(is_old) {
            self.written.pop_front();
        }
    }
}

/// The claims of all shards.
#[derive(Clone)]
pub struct ClaimStore {
    store: Store,
    shards: Arc<Vec<ShardState>>,
    retention: Duration,
}

impl ClaimStore {
    /// Accesses the claims in `store`, which are kept for `retention`.
    pub fn new(store: Store, retention: Duration) -> Self {
        let shards = (0..SHARDS).map(|_| ShardState::default()).collect();
        Self { store, shards: Arc::new(shards), retention }
    }

    /// Reads the claim of a key from the store.
    ///
    /// # Errors
    /// [`StoreError`] when the shard cannot be read.
    pub async fn read(&self, key: KeyHash) -> Result<Option<Claim>, StoreError> {
        let shard = shard_of(key);
        let mut cached = self.shards[shard as usize].cached.lock().await;
        self.refresh(shard, &mut cached).await?;
        Ok(cached.shard.claim(key).cloned())
    }

    /// Applies a change, batched with the other queued changes of the same shard.
    pub async fn swap(&self, change: Change) -> Swap {
        let shard = shard_of(change.key);
        let shard_state = &self.shards[shard as usize];
        let (result, mut answer) = oneshot::channel();
        lock(&shard_state.queue).push_back(QueuedChange { change, result });
        // The next task to lock the shard writes all changes that are queued by then.
        let mut cached = shard_state.cached.lock().await;
        if let Ok(swap) = answer.try_recv() {
            return swap;
        }
        let batch: Vec<QueuedChange> = lock(&shard_state.queue).drain(..).collect();
        self.write_batch(shard, &mut cached, batch).await;
        drop(cached);
        answer.await.unwrap_or(Swap::Unknown)
    }

    async fn write_batch(&self, shard: u32, cached: &mut CachedShard, batch: Vec<QueuedChange>) {
        let changes: Vec<Change> = batch.iter().map(|queued| queued.change.clone()).collect();
        let results = self.try_batch(shard, cached, &changes).await;
        for (queued, result) in batch.into_iter().zip(results) {
            // The send fails if the caller was cancelled. The outcome is then known only from a
            // read of the claim.
            let _ = queued.result.send(result);
        }
    }

    async fn try_batch(
        &self,
        shard: u32,
        cached: &mut CachedShard,
        changes: &[Change],
    ) -> Vec<Swap> {
        for _ in 0..CONFLICTS_MAX {
            if cached.head_revision.is_none() {
                if let Err(error) = self.refresh(shard, cached).await {
                    log::warn!("event=claims_unread shard={shard} reason=\"{error}\"");
                    return vec![Swap::Unavailable; changes.len()];
                }
            }
            let retention = self.retention.as_millis() as u64;
            let batch = cached.shard.batch(shard, changes, unix_millis(), retention);
            match self.write(shard, cached, &batch).await {
                Ok(()) => {
                    cached.record_written(changes, &batch.results);
                    return batch.results;
                }
                // A restored store may not have the head at all.
                Err(StoreError::Conflict | StoreError::Absent) => cached.head_revision = None,
                Err(StoreError::Unknown(reason)) => {
                    log::warn!("event=claims_unsettled shard={shard} reason=\"{reason}\"");
                    cached.head_revision = None;
                    return changes.iter().map(|_| Swap::Unknown).collect();
                }
                Err(error) => {
                    log::warn!("event=claims_unwritten shard={shard} reason=\"{error}\"");
                    cached.head_revision = None;
                    return vec![Swap::Unavailable; changes.len()];
                }
            }
        }
        vec![Swap::Unavailable; changes.len()]
    }

    async fn write(
        &self,
        shard: u32,
        cached: &mut CachedShard,
        batch: &Batch,
    ) -> Result<(), StoreError> {
        let lost = cached.has_lost().then(|| cached.shard.head().clone());
        let Some(head) = batch.head.clone().or(lost) else {
            // No change of the batch applies, provided that the cached shard is current.
            return self.confirm(shard, cached).await;
        };
        if let Some((name, claims)) = &batch.seal {
            let object = Object::new(SEALED_KIND, name, 0, claims)?;
            self.store.create(Purpose::Claim, &object).await.map_err(without_effect)?;
        }
        let revision = cached.head_revision.unwrap_or_default();
        let object = Object::new(HEAD_KIND, &shard_name(shard), revision, &head)?;
        let (written, era) = self.store.put_in_era(Purpose::Claim, &object).await?;
        if era != cached.era {
            // The revision was given out again, so that the write may have replaced other claims.
            return Err(StoreError::Unknown("the store was restored meanwhile".to_string()));
        }
        if let Some((name, claims)) = &batch.seal {
            cached.shard.set_sealed(name.clone(), claims.clone());
        }
        cached.shard.set_head(head);
        cached.head_revision = Some(written.revision);
        Ok(())
    }

    /// Reads the shard again, and returns a conflict if the head has changed since the last read.
    async fn confirm(&self, shard: u32, cached: &mut CachedShard) -> Result<(), StoreError> {
        let before = (cached.head_revision, cached.era);
        self.refresh(shard, cached).await?;
        if (cached.head_revision, cached.era) == before {
            Ok(())
        } else {
            Err(StoreError::Conflict)
        }
    }

    async fn refresh(&self, shard: u32, cached: &mut CachedShard) -> Result<(), StoreError> {
        let name = shard_name(shard);
        let (object, era) = self.store.get_in_era(Purpose::Claim, HEAD_KIND, &name).await?;
        let (head, revision) = match object {
            Some(object) => (object.content()?, object.revision),
            None => (ShardHead::default(), 0),
        };
        for name in cached.shard.set_head(head) {
            let sealed = self.store.get(Purpose::Claim, SEALED_KIND, &name).await?;
            let claims: Claims = sealed.ok_or(StoreError::Absent)?.content()?;
            cached.shard.set_sealed(name, claims);
        }
        cached.head_revision = cached.shard.is_complete().then_some(revision);
        cached.era = era;
        cached.reapply_lost();
        Ok(())
    }
}

/// Maps an unknown outcome of writing a sealed object to unavailable: no claim changes before the
/// head is written.
fn without_effect(error: StoreError) -> StoreError {
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
