//! Calls to the object API over HTTP.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_http::Client;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use prometheus::IntCounterVec;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::budget::Purpose;
use crate::error::StoreError;
use crate::object::Object;
use crate::object::WatchEvent;

const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// The object API as one process uses it.
#[derive(Clone)]
pub struct Store {
    base: String,
    client: Client,
    budget: Arc<Mutex<Budget>>,
    start: Instant,
    calls: IntCounterVec,
}

impl Store {
    /// The API at `base`, such as `http://10.0.0.2:6443`, within `budget`.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the process has a store already.
    pub fn new(base: &str, budget: Budget, metrics: &Metrics) -> Result<Self, KernelError> {
        let calls = metrics.counter(
            "bw_platform_calls_total",
            "Calls to the object API by purpose and result.",
            &["purpose", "result"],
        )?;
        Ok(Self {
            base: base.trim_end_matches('/').to_string(),
            client: Client::new(),
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
        let url = self.url(kind, name);
        match self.call(purpose, Method::GET, &url, None).await {
            Ok(object) => Ok(Some(object)),
            Err(StoreError::Absent) => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Creates an object that must not exist yet.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when it exists.
    pub async fn create(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        let url = self.kind_url(&object.kind);
        self.call(purpose, Method::POST, &url, Some(object)).await
    }

    /// Replaces an object of the version that `object` carries.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when it has another version.
    pub async fn replace(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        let url = self.url(&object.kind, &object.metadata.name);
        self.call(purpose, Method::PUT, &url, Some(object)).await
    }

    /// Creates the object when it carries no version, otherwise replaces that version.
    ///
    /// # Errors
    /// [`StoreError::Conflict`] when the object is not as expected.
    pub async fn put(&self, purpose: Purpose, object: &Object) -> Result<Object, StoreError> {
        if object.metadata.version.is_empty() {
            self.create(purpose, object).await
        } else {
            self.replace(purpose, object).await
        }
    }

    /// Deletes an object, whatever its version.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn delete(&self, purpose: Purpose, kind: &str, name: &str) -> Result<(), StoreError> {
        let url = self.url(kind, name);
        match self.call(purpose, Method::DELETE, &url, None).await {
            Ok(_) | Err(StoreError::Absent) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Waits for a change of one object after `version`; `None` when `wait` ends first.
    ///
    /// # Errors
    /// [`StoreError`].
    pub async fn watch(
        &self,
        kind: &str,
        name: &str,
        version: &str,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        self.spend(Purpose::Watch)?;
        let url = format!(
            "{}?watch=true&fieldSelector=metadata.name%3D{name}&resourceVersion={version}\
             &timeoutSeconds={}",
            self.kind_url(kind),
            wait.as_secs().max(1),
        );
        let result = match timeout(wait + CALL_LIMIT, self.first_event(&url)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unknown("the watch went silent".to_string())),
        };
        self.count(Purpose::Watch, result.as_ref().err());
        result
    }

    /// Counts the calls made so far for `purpose` that reached the platform.
    pub fn calls(&self, purpose: Purpose) -> u64 {
        let results = ["ok", "conflict", "unavailable", "unknown", "form"];
        let count = |result| self.calls.with_label_values(&[purpose.name(), result]).get();
        results.into_iter().map(count).sum()
    }

    async fn first_event(&self, url: &str) -> Result<Option<Object>, StoreError> {
        let request = Request::get(url).body(Full::<Bytes>::default());
        let request = request.map_err(|error| StoreError::Unavailable(error.to_string()))?;
        let response = self.client.send(request, CALL_LIMIT).await?;
        check_status(response.status().as_u16(), "")?;
        let mut body = response.into_body();
        let mut line = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| StoreError::Unknown(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            line.extend_from_slice(&data);
            if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
                let event: WatchEvent = serde_json::from_slice(&line[..end])
                    .map_err(|error| StoreError::Form(error.to_string()))?;
                return Ok(Some(event.object));
            }
        }
        Ok(None)
    }

    async fn call(
        &self,
        purpose: Purpose,
        method: Method,
        url: &str,
        body: Option<&Object>,
    ) -> Result<Object, StoreError> {
        self.spend(purpose)?;
        let result = self.exchange(method, url, body).await;
        self.count(purpose, result.as_ref().err());
        result
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Option<&Object>,
    ) -> Result<Object, StoreError> {
        let reply = self.client.call(method, url, body, CALL_LIMIT).await?;
        check_status(reply.status, &String::from_utf8_lossy(&reply.body))?;
        serde_json::from_slice(&reply.body).map_err(|error| StoreError::Form(error.to_string()))
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
            Some(StoreError::Budget { .. }) => "over_budget",
            Some(StoreError::Unavailable(_)) => "unavailable",
            Some(StoreError::Unknown(_)) => "unknown",
            Some(StoreError::Form(_)) => "form",
        };
        self.calls.with_label_values(&[purpose.name(), result]).inc();
    }

    fn kind_url(&self, kind: &str) -> String {
        format!("{}/apis/{}/{kind}", self.base, crate::object::API)
    }

    fn url(&self, kind: &str, name: &str) -> String {
        format!("{}/{name}", self.kind_url(kind))
    }
}

/// Maps statuses of the API. 429 and 503 are answered before the platform acts; other server
/// errors may come after it.
fn check_status(status: u16, body: &str) -> Result<(), StoreError> {
    match status {
        200..=299 => Ok(()),
        404 => Err(StoreError::Absent),
        409 => Err(StoreError::Conflict),
        429 | 503 => Err(StoreError::Unavailable(format!("status {status}"))),
        400..=499 => Err(StoreError::Form(format!("status {status}: {body}"))),
        _ => Err(StoreError::Unknown(format!("status {status}"))),
    }
}
