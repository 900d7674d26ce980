//! Stand-in of the platform's object API, with faults that control calls switch on.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use bw_platform::budget::Budget;
use bw_platform::budget::Purpose;
use bw_platform::object::WatchEvent;
use bw_platform::Object;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::Result;
use viz::Router;
use viz::StatusCode;

const OBJECT_BYTES_MAX: usize = 1_048_576;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// Faults of the object API.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered 503.
    pub down: bool,
    /// Each call takes so many milliseconds longer.
    pub slow: u64,
    /// So many next writes take effect without an answer.
    pub lost: u32,
}

/// Calls counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls over the rate limit.
    pub limited: u64,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    faults: Faults,
    calls: Calls,
}

/// The object API.
#[derive(Clone)]
pub struct Platform {
    objects: Arc<Mutex<Objects>>,
    budget: Arc<Mutex<Budget>>,
    start: Instant,
    changed: watch::Sender<u64>,
}

/// How a write is conditioned.
enum Condition {
    Absent,
    Version(String),
}

impl Platform {
    /// An empty store that takes `rate` calls a second.
    pub fn new(rate: f64) -> Self {
        Self {
            objects: Arc::default(),
            budget: Arc::new(Mutex::new(Budget::new(rate, rate))),
            start: Instant::now(),
            changed: watch::Sender::new(0),
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls counted so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Routes of the API.
    pub fn routes(&self) -> Router {
        let kind = "/apis/baobabwind.dev/v1/:kind";
        let one = "/apis/baobabwind.dev/v1/:kind/:name";
        let api = self.clone();
        let list = move |request: Request| {
            let api = api.clone();
            async move { api.list_or_watch(request).await }
        };
        let api = self.clone();
        let create = move |request: Request| {
            let api = api.clone();
            async move { api.write(request, false).await }
        };
        let api = self.clone();
        let get = move |request: Request| {
            let api = api.clone();
            async move { api.get(request).await }
        };
        let api = self.clone();
        let replace = move |request: Request| {
            let api = api.clone();
            async move { api.write(request, true).await }
        };
        let api = self.clone();
        let delete = move |request: Request| {
            let api = api.clone();
            async move { api.delete(request).await }
        };
        let many = viz::Route::new().get(list).post(create);
        let single = viz::Route::new().get(get).put(replace).delete(delete);
        Router::new().route(kind, many).route(one, single)
    }

    /// Counts a call and applies outage, slowness and rate limit.
    async fn admit<F>(&self, count: F) -> Option<Response>
    where
        F: FnOnce(&mut Calls),
    {
        let faults = {
            let mut objects = self.lock();
            count(&mut objects.calls);
            objects.faults.clone()
        };
        if faults.slow > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow)).await;
        }
        if faults.down {
            return Some(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage".to_string()));
        }
        let now = self.start.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.take(Purpose::Lease, now).is_err() {
            self.lock().calls.limited += 1;
            return Some(text_reply(StatusCode::TOO_MANY_REQUESTS, "rate limit".to_string()));
        }
        None
    }

    async fn get(&self, request: Request) -> Result<Response> {
        if let Some(refused) = self.admit(|calls| calls.reads += 1).await {
            return Ok(refused);
        }
        let id = object_id(&request)?;
        Ok(match self.lock().objects.get(&id) {
            Some(object) => json_reply(StatusCode::OK, object),
            None => text_reply(StatusCode::NOT_FOUND, "no such object".to_string()),
        })
    }

    async fn list_or_watch(&self, request: Request) -> Result<Response> {
        let kind: String = request.param("kind")?;
        let query = request.query_string().unwrap_or("").to_string();
        if query.contains("watch=true") {
            return self.watch(kind, &query).await;
        }
        if let Some(refused) = self.admit(|calls| calls.reads += 1).await {
            return Ok(refused);
        }
        let objects = self.lock();
        let items: Vec<&Object> =
            objects.objects.iter().filter(|((k, _), _)| *k == kind).map(|(_, o)| o).collect();
        Ok(json_reply(StatusCode::OK, &serde_json::json!({ "items": items })))
    }

    async fn watch(&self, kind: String, query: &str) -> Result<Response> {
        if let Some(refused) = self.admit(|calls| calls.watches += 1).await {
            return Ok(refused);
        }
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_string()).next()
        };
        let name = field("fieldSelector").unwrap_or_default().replace("metadata.name%3D", "");
        let after = field("resourceVersion").unwrap_or_default();
        let seconds: u64 = field("timeoutSeconds").and_then(|v| v.parse().ok()).unwrap_or(30);
        let api = self.clone();
        let wait = Duration::from_secs(seconds);
        let line = async move {
            let event = tokio::time::timeout(wait, api.next_change((kind, name), after)).await;
            let text = event.ok().and_then(|event| serde_json::to_string(&event).ok());
            Ok::<_, std::io::Error>(text.map_or(String::new(), |text| text + "\n"))
        };
        Ok(Response::stream(futures::stream::once(line)))
    }

    async fn next_change(&self, id: (String, String), after: String) -> WatchEvent {
        let mut changed = self.changed.subscribe();
        loop {
            let object = self.lock().objects.get(&id).cloned();
            if let Some(object) = object.filter(|object| object.metadata.version != after) {
                if !self.lock().faults.down {
                    return WatchEvent { change: "MODIFIED".to_string(), object };
                }
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    async fn write(&self, mut request: Request, replace: bool) -> Result<Response> {
        if let Some(refused) = self.admit(|calls| calls.writes += 1).await {
            return Ok(refused);
        }
        let body = match read_body(request.incoming()?, OBJECT_BYTES_MAX, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return Ok(text_reply(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())),
        };
        let object: Object = match serde_json::from_slice(&body) {
            Ok(object) => object,
            Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
        };
        let condition = if replace {
            Condition::Version(object.metadata.version.clone())
        } else {
            Condition::Absent
        };
        let written = self.put(object, condition);
        if self.lose_answer() {
            return Err(viz::Error::boxed("the answer is lost"));
        }
        Ok(match written {
            Some(object) => json_reply(StatusCode::OK, &object),
            None => text_reply(StatusCode::CONFLICT, "another version".to_string()),
        })
    }

    fn put(&self, mut object: Object, condition: Condition) -> Option<Object> {
        let mut objects = self.lock();
        let id = (object.kind.clone(), object.metadata.name.clone());
        let present = objects.objects.get(&id).map(|present| present.metadata.version.clone());
        let holds = match condition {
            Condition::Absent => present.is_none(),
            Condition::Version(expected) => present == Some(expected),
        };
        if !holds {
            return None;
        }
        objects.revision += 1;
        let revision = objects.revision;
        object.metadata.version = revision.to_string();
        objects.objects.insert(id, object.clone());
        drop(objects);
        self.changed.send_replace(revision);
        Some(object)
    }

    /// True when this write's answer is to be lost.
    fn lose_answer(&self) -> bool {
        let mut objects = self.lock();
        let lose = objects.faults.lost > 0;
        objects.faults.lost = objects.faults.lost.saturating_sub(1);
        lose
    }

    async fn delete(&self, request: Request) -> Result<Response> {
        if let Some(refused) = self.admit(|calls| calls.writes += 1).await {
            return Ok(refused);
        }
        let id = object_id(&request)?;
        Ok(match self.lock().objects.remove(&id) {
            Some(object) => json_reply(StatusCode::OK, &object),
            None => text_reply(StatusCode::NOT_FOUND, "no such object".to_string()),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn object_id(request: &Request) -> Result<(String, String)> {
    Ok((request.param("kind")?, request.param("name")?))
}
