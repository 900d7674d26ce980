//! Calls to the object store, counted and limited by purpose.

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
use prometheus::IntCounterVec;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::budget::Purpose;
use crate::error::StoreError;

/// The object store as one process uses it.
#[derive(Clone)]
pub struct Store {
    client: ObjectClient,
    budget: Arc<Mutex<Budget>>,
    start: Instant,
    calls: IntCounterVec,
}

impl Store {
    /// The store at `base`, such as `http://10.0.0.2:6443`, within `budget`.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the process has a store already.
    pub fn new(base: &str, budget: Budget, metrics: &Metrics) -> Result<Self, KernelError> {
        let calls = metrics.counter(
            "bw_platform_calls_total",
            "Calls to the object store by purpose and result.",
            &["purpose", "result"],
        )?;
        Ok(Self {
            client: ObjectClient::new(base),
            budget: Arc::new(Mutex::new(budget)),
            start: Instant::now(),
            calls,
        })
    }

    /// Reads an object; `None` when it does not exist.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn get(
        &self,
        purpose: Purpose,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object>, StoreError> {
        self.call(purpose, self.client.get(kind, name)).await
    }

    /// Reads the objects of a kind whose names come after `after`.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn list(&self, kind: &str, after: &str) -> Result<Page, StoreError> {
        self.call(Purpose::Read, self.client.list(kind, after)).await
    }

    /// Reads all objects of a kind, and the revision of the first page, so that a watch from it
    /// tells what changed between the pages.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn list_all(&self, kind: &str) -> Result<(Vec<Object>, u64), StoreError> {
        let mut page = self.list(kind, "").await?;
        let revision = page.revision;
        let mut list = std::mem::take(&mut page.items);
        while page.more {
            let Some(last) = list.last().map(|object| object.name.clone()) else { break };
            page = self.list(kind, &last).await?;
            list.append(&mut page.items);
        }
        Ok((list, revision))
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when it exists.
    pub async fn create(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        self.call(purpose, self.client.create(object)).await
    }

    /// Replaces an object of the revision that `object` carries, or of any when that is 0.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when it has another revision.
    pub async fn replace(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        self.call(purpose, self.client.replace(object)).await
    }

    /// Creates the object when it carries no revision, otherwise replaces that revision.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the object is not as expected.
    pub async fn put(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        if object.revision == 0 {
            self.create(purpose, object).await
        } else {
            self.replace(purpose, object).await
        }
    }

    /// Deletes an object, whatever its revision.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), StoreError> {
        self.call(purpose, self.client.remove(kind, name)).await
    }

    /// Waits up to `wait` for changes of a kind after `revision`.
    ///
    /// # Errors
    /// [`StoreError::HistoryGone`] when the kind has to be listed anew; others as usual.
    pub async fn watch_kind(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes, StoreError> {
        self.call(Purpose::Watch, self.client.watch(kind, revision, wait)).await
    }

    /// Waits for a change of one object after `revision`; `None` when `wait` ends first.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let deadline = Instant::now() + wait;
        let mut after = revision;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let changes = match self.watch_kind(kind, after, left).await {
                Err(StoreError::HistoryGone) => {
                    let object = self.get(Purpose::Read, kind, name).await?;
                    return Ok(object.filter(|object| object.revision > revision));
                }
                changes => changes?,
            };
            after = changes.revision;
            let mut events = changes.events.into_iter().filter(|event| event.object.name == name);
            if let Some(event) = events.next_back() {
                return Ok(Some(event.object));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
        }
    }

    /// Counts the calls made so far for `purpose` that reached the platform.
    pub fn calls(&self, purpose: Purpose) -> u64 {
        let results = ["ok", "conflict", "history_gone", "unavailable", "unknown", "form"];
        let count = |result| self.calls.with_label_values(&[purpose.name(), result]).get();
        results.into_iter().map(count).sum()
    }

    async fn call<F, T>(&self, purpose: Purpose, exchange: F) -> Result<T, StoreError>
    where
        F: std::future::Future<Output = Result<T, ObjectError>>,
    {
        self.spend(purpose)?;
        let result = exchange.await.map_err(StoreError::from);
        self.count(purpose, result.as_ref().err());
        result
    }

    fn spend(&self, purpose: Purpose) -> Result<(), StoreError> {
        let now = self.start.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(purpose, now).map_err(|wait| {
            self.calls.with_label_values(&[purpose.name(), "over_budget"]).inc();
            StoreError::Budget { wait }
        })
    }

    fn count(&self, purpose: Purpose, error: Option<&StoreError>) {
        let result = match error {
            None | Some(StoreError::Absent) => "ok",
            Some(StoreError::Conflict) => "conflict",
            Some(StoreError::HistoryGone) => "history_gone",
            Some(StoreError::Budget { .. }) => "over_budget",
            Some(StoreError::Unavailable(_)) => "unavailable",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Form(_)) => "form",
        };
        self.calls.with_label_values(&[purpose.name(), result]).inc();
    }
}
