//! Object store client that counts and rate-limits calls by purpose.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::objects::Changes;
use bw_adapter::objects::Page;
use bw_adapter::Object;
use bw_adapter::ObjectClient;
use bw_adapter::ObjectError;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use bw_model::Position;
use log::warn;
use prometheus::IntCounterVec;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::budget::Purpose;
use crate::error::StoreError;

/// Client of the object store; clones share the call budget and the connections.
#[derive(Clone)]
pub struct Store {
    client: ObjectClient,
    budget: Arc<Mutex<Budget>>,
    created_at: Instant,
    calls: IntCounterVec,
}

impl Store {
    /// Creates a client of the store at `base`, such as `http://10.0.0.2:6443`, within `budget`.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when a store has already registered its metric.
    pub fn new(base: &str, budget: Budget, metrics: &Metrics) -> Result<Self, KernelError> {
        let calls = metrics.counter(
            "bw_platform_calls_total",
            "Calls to the object store by purpose and result.",
            &["purpose", "result"],
        )?;
        Ok(Self {
            client: ObjectClient::new(base),
            budget: Arc::new(Mutex::new(budget)),
            created_at: Instant::now(),
            calls,
        })
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    /// Any [`StoreError`] but [`StoreError::Absent`].
    pub async fn get(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        self.call(purpose, self.client.get(kind, name)).await
    }

    /// Reads an object, and the era of the store in which it was read.
    ///
    /// # Errors
    /// As [`Store::get`].
    pub async fn get_in_era(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<(Option<Object>, u64), StoreError> {
        self.call(purpose, self.client.get_in_era(kind, name)).await
    }

    /// Writes as [`Store::put`] does. Returns also the era of the store in which the write took effect: a
    /// revision that was read in another era may name other contents.
    ///
    /// # Errors
    /// As [`Store::put`].
    pub async fn put_in_era(
        &self,
        purpose: Purpose,
        object: &Object,
    ) -> Result<(Object, u64), StoreError> {
        self.call(purpose, self.client.put_in_era(object)).await
    }

    /// Reads the page of a kind's objects whose names sort after `after`.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn list(&self, kind: &str, after: &str) -> Result<Page, StoreError> {
        self.call(Purpose::Read, self.client.list(kind, after)).await
    }

    /// Reads all objects of a kind. The returned position is that of the first page, so that a
    /// watch from it includes changes made between the reads of the pages.
    ///
    /// # Errors
    /// Any [`StoreError`] of a page.
    /// [`StoreError::HistoryGone`] when the store was restored between two pages; [`StoreError::Invalid`] when a
    /// page has no object with a name, and more pages follow.
    pub async fn list_all(&self, kind: &str) -> Result<(Vec<Object>, Position), StoreError> {
        let mut page = self.list(kind, "").await?;
        let position = page.position();
        let mut list = std::mem::take(&mut page.items);
        let mut unreadable = page.unreadable;
        while page.more {
            let last = list.last().map(|object| object.name.clone()).unwrap_or_default();
            page = self.list(kind, &last).await?;
            if page.era != position.era() {
                return Err(StoreError::HistoryGone);
            }
            // Without a name, there is no next page to ask for.
            if page.more && page.items.is_empty() {
                return Err(StoreError::Invalid(format!("{kind}: a page names no object")));
            }
            unreadable += page.unreadable;
            list.append(&mut page.items);
        }
        if unreadable > 0 {
            warn!("event=entries_unreadable kind={kind} count={unreadable}");
        }
        Ok((list, position))
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the object exists; any other [`StoreError`].
    pub async fn create(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        self.call(purpose, self.client.create(object)).await
    }

    /// Replaces an object if it has the revision of `object`, or unconditionally when that is 0.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the stored revision differs; any other [`StoreError`].
    pub async fn replace(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        self.call(purpose, self.client.replace(object)).await
    }

    /// Creates an object, or replaces the one with its name whatever its revision. Returns the era of the store in
    /// which the write took effect.
    ///
    /// # Errors
    /// Any [`StoreError`].
    pub async fn overwrite(&self, purpose: Purpose, object: &Object) -> Result<u64, StoreError> {
        let new = Object { revision: 0, ..object.clone() };
        match self.put_in_era(purpose, &new).await {
            Err(StoreError::Conflict) => {
                let replaced = self.call(purpose, self.client.replace_in_era(&new)).await;
                replaced.map(|(_, era)| era)
            }
            created => created.map(|(_, era)| era),
        }
    }

    /// Creates the object if its revision is 0, otherwise replaces that revision.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the object to create exists or the stored revision differs;
    /// any other [`StoreError`].
    pub async fn put(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        if object.revision == 0 {
            self.create(purpose, object).await
        } else {
            self.replace(purpose, object).await
        }
    }

    /// Deletes an object of any revision. Deleting an absent object succeeds.
    ///
    /// # Errors
    /// Any [`StoreError`] but [`StoreError::Absent`].
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), StoreError> {
        self.call(purpose, self.client.remove(kind, name)).await
    }

    /// Waits up to `wait` for changes of a kind after `position`.
    ///
    /// # Errors
    /// [`StoreError::HistoryGone`] when the changes after `position` are no longer kept, or the store is
    /// in another era, and the kind must be listed again; any other [`StoreError`].
    pub async fn watch_kind(
        &self,
        kind: &str,
        position: Position,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.call(Purpose::Watch, self.client.watch(kind, position, wait)).await
    }

    /// Waits for a change of one object after `position`; `None` when `wait` ends first. Returns the
    /// object with the era in which it was read.
    ///
    /// Reads the object instead when the changes after `position` are no longer kept, or the store is in
    /// another era.
    ///
    /// # Errors
    /// Any [`StoreError`] of the watch or the read; [`StoreError::HistoryGone`] if the object does not
    /// exist in the later era.
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        position: Position,
        wait: Duration,
    ) -> Result<Option<(Object, u64)>, StoreError> {
        let deadline = Instant::now() + wait;
        let mut after = position;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let changes = match self.watch_kind(kind, after, remaining).await {
                Err(StoreError::HistoryGone) => {
                    let (object, era) = self.get_in_era(Purpose::Read, kind, name).await?;
                    if era != position.era() && object.is_none() {
                        return Err(StoreError::HistoryGone);
                    }
                    let newer = |object: &Object| Position::new(era, object.revision) > position;
                    return Ok(object.filter(newer).map(|object| (object, era)));
                }
                changes => changes?,
            };
            after = changes.position();
            let mut events = changes.events.into_iter().filter(|event| event.object.name == name);
            if let Some(event) = events.next_back() {
                return Ok(Some((event.object, after.era())));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
        }
    }

    /// Returns the number of calls for `purpose` so far, without those rejected by the budget.
    pub fn calls(&self, purpose: Purpose) -> u64 {
        let results = ["ok", "conflict", "history_gone", "unavailable", "unknown", "form"];
        let count = |result| self.calls.with_label_values(&[purpose.name(), result]).get();
        results.into_iter().map(count).sum()
    }

    async fn call<F, T>(&self, purpose: Purpose, request: F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, ObjectError>>,
    {
        self.acquire(purpose)?;
        let result = request.await.map_err(StoreError::from);
        self.count_result(purpose, result.as_ref().err());
        result
    }

    fn acquire(&self, purpose: Purpose) -> Result<(), StoreError> {
        let now = self.created_at.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.try_spend(purpose, now).map_err(|wait| {
            self.calls.with_label_values(&[purpose.name(), "over_budget"]).inc();
            StoreError::Budget { wait }
        })
    }

    fn count_result(&self, purpose: Purpose, error: Option<&StoreError>) {
        let result = match error {
            None | Some(StoreError::Absent) => "ok",
            Some(StoreError::Conflict) => "conflict",
            Some(StoreError::HistoryGone) => "history_gone",
            Some(StoreError::Budget { .. }) => "over_budget",
            Some(StoreError::Unavailable(_)) => "unavailable",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Invalid(_)) => "form",
        };
        self.calls.with_label_values(&[purpose.name(), result]).inc();
    }
}
