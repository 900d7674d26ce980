//! Fake of the platform's object store, with fault injection that control calls switch on and off.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::endpoints;
use bw_adapter::objects::codec::decode_call;
use bw_adapter::objects::codec::encode_changes;
use bw_adapter::objects::codec::encode_page;
use bw_adapter::objects::codec::encode_stored;
use bw_adapter::objects::codec::StoreCall;
use bw_adapter::objects::codec::OBJECTS_PATH;
use bw_adapter::objects::era::encode_era;
use bw_adapter::Object;
use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use bw_platform::budget::Budget;
use bw_platform::budget::Purpose;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio::time::Instant;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use crate::objects::Objects;
use crate::objects::WriteError;

const OBJECT_BYTES_MAX: usize = 1_048_576;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// Faults to inject into the calls to the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Answers every call with status 503.
    pub down: bool,
    /// Never answers a call.
    pub silent: bool,
    /// Delay added to each call, in milliseconds.
    pub slow: u64,
    /// Number of upcoming writes that take effect but get no answer.
    pub lost: u32,
    /// Number of upcoming writes that get no answer and take effect after `late_ms`.
    pub late: u32,
    /// Delay until a late write takes effect, in milliseconds.
    pub late_ms: u64,
    /// Discards the change history once, when the faults are set.
    pub forget: bool,
    /// JSON text of an entry of another writer that all lists and changes of endpoints have first.
    pub odd: Option<String>,
}

/// Number of calls of each kind since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Lists and gets.
    pub reads: u64,
    /// Creations, replacements and removals.
    pub writes: u64,
    /// Calls that wait for changes.
    pub watches: u64,
    /// Calls rejected by the rate limit.
    pub limited: u64,
}

#[derive(Default)]
struct State {
    objects: Objects,
    calls: Calls,
    /// Number of restores, plus one.
    era: u64,
}

/// A handle to the object store. Clones share objects, rate limit and faults.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Faults injected into calls through this handle.
    faults: Arc<Mutex<Faults>>,
    budget: Arc<Mutex<Budget>>,
    started_at: Instant,
    changed: watch::Sender<u64>,
}

/// How a write is answered, and when it takes effect.
enum ReplyMode {
    /// Takes effect and is answered.
    Normal,
    /// Takes effect; the answer is dropped.
    Dropped,
    /// Takes effect after the delay; the answer is dropped.
    Delayed(Duration),
}

impl Platform {
    /// Creates an empty store that accepts `rate` calls per second.
    pub fn new(rate: f64) -> Self {
        Self {
            state: Arc::default(),
            faults: Arc::default(),
            budget: Arc::new(Mutex::new(Budget::new(rate, rate))),
            started_at: Instant::now(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns a handle to the same objects with separate fault injection, as if the store were
    /// called from another machine.
    pub fn with_own_faults(&self) -> Self {
        Self { faults: Arc::default(), ..self.clone() }
    }

    /// Replaces the faults of this handle; `forget` takes effect once, for all handles.
    pub fn set_faults(&self, faults: Faults) {
        if faults.forget {
            self.lock().objects.discard_history();
        }
        *self.lock_faults() = Faults { forget: false, ..faults };
    }

    /// Returns the number of calls so far, through all handles.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Changes objects, as their owner or an operator would, without an API call, a fault or the rate
    /// limit, and wakes watches.
    pub fn change<F, T>(&self, change: F) -> T
    where
        F: FnOnce(&mut Objects) -> T,
    {
        let mut state = self.lock();
        let result = change(&mut state.objects);
        let revision = state.objects.revision();
        drop(state);
        self.changed.send_replace(revision);
        result
    }

    /// Returns a copy of all objects and their history.
    pub fn snapshot(&self) -> Objects {
        self.lock().objects.clone()
    }

    /// Loses all changes since `snapshot` was taken, and starts the next era of the store.
    pub fn restore(&self, snapshot: Objects) {
        let revision = snapshot.revision();
        {
            let mut state = self.lock();
            state.objects.restore(snapshot);
            state.era += 1;
        }
        self.changed.send_replace(revision);
    }

    /// Returns the routes of the store's API.
    pub fn routes(&self) -> Router {
        let store = self.clone();
        let call = move |request: Request| {
            let store = store.clone();
            async move {
                let mut response = store.serve(request).await?;
                let (name, value) = encode_era(store.lock().era);
                response.headers_mut().insert(name, value);
                Ok(response)
            }
        };
        Router::new().any(format!("{OBJECTS_PATH}/*"), call)
    }

    async fn serve(&self, mut request: Request) -> Result<Response> {
        let body = match read_body(request.incoming()?, OBJECT_BYTES_MAX, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return Ok(text_reply(StatusCode::PAYLOAD_TOO_LARGE, error.to_string())),
        };
        let query = request.query_string().unwrap_or("");
        let call = match decode_call(request.method(), request.path(), query, &body) {
            Ok(call) => call,
            Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
        };
        if let Some(rejection) = self.admit(&call).await {
            return Ok(rejection);
        }
        match call {
            StoreCall::List { kind, after } => {
                let page = self.lock().objects.list(&kind, &after);
                Ok(self.objects_reply(&kind, encode_page(&page), "items"))
            }
            StoreCall::Watch { kind, position, wait } => {
                Ok(self.watch(&kind, position.revision(), wait).await)
            }
            StoreCall::Get { kind, name } => {
                let object = self.lock().objects.get(&kind, &name).cloned();
                Ok(object_reply(object.ok_or(WriteError::NotFound)))
            }
            write => self.write(write).await,
        }
    }

    /// Counts a call and applies the injected delay, silence and outage and the rate limit. Returns
    /// the reply to a rejected call; a silent store never returns.
    async fn admit(&self, call: &StoreCall) -> Option<Response> {
        {
            let mut state = self.lock();
            match call {
                StoreCall::List { .. } | StoreCall::Get { .. } => state.calls.reads += 1,
                StoreCall::Watch { .. } => state.calls.watches += 1,
                _ => state.calls.writes += 1,
            }
        }
        let faults = self.lock_faults().clone();
        if faults.slow > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow)).await;
        }
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if faults.down {
            return Some(text_reply(StatusCode::SERVICE_UNAVAILABLE, "outage".to_string()));
        }
        let now = self.started_at.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.try_spend(Purpose::Lease, now).is_err() {
            self.lock().calls.limited += 1;
            return Some(text_reply(StatusCode::TOO_MANY_REQUESTS, "rate limit".to_string()));
        }
        None
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response {
        let mut changed = self.changed.subscribe();
        let next_changes = async {
            loop {
                let unavailable = self.lock_faults().down || self.lock_faults().silent;
                let changes = self.lock().objects.changes(kind, after);
                match changes {
                    Some(changes) if unavailable || changes.events.is_empty() => {}
                    changes => return changes,
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let changes = match timeout(wait, next_changes).await {
            Ok(changes) => changes,
            Err(_) => self.lock().objects.changes(kind, after),
        };
        match changes {
            Some(changes) => self.objects_reply(kind, encode_changes(&changes), "events"),
            None => text_reply(StatusCode::GONE, "this history is gone".to_string()),
        }
    }

    /// Returns a reply whose field `list` has objects, with the odd entry if there is one.
    fn objects_reply(&self, kind: &str, body: Value, list: &str) -> Response {
        let odd = self.lock_faults().odd.clone().filter(|_| kind == endpoints::KIND);
        let others = body[list].as_array().map_or(0, Vec::len);
        let Some(odd) = odd.filter(|_| others > 0 || list == "items") else {
            return json_reply(StatusCode::OK, &body);
        };
        let odd =
            if list == "items" { odd } else { format!("{{\"object\":{odd},\"deleted\":false}}") };
        let comma = if others > 0 { "," } else { "" };
        let start = format!("\"{list}\":[");
        let text = body.to_string().replacen(&start, &format!("{start}{odd}{comma}"), 1);
        text_reply(StatusCode::OK, text)
    }

    async fn write(&self, call: StoreCall) -> Result<Response> {
        match self.next_reply_mode() {
            ReplyMode::Normal => Ok(object_reply(self.apply(call))),
            ReplyMode::Dropped => {
                // The caller cannot tell whether the write was applied or rejected.
                let _ = self.apply(call);
                Err(viz::Error::boxed("the answer is lost"))
            }
            ReplyMode::Delayed(wait) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _ = store.apply(call);
                });
                Err(viz::Error::boxed("the answer is lost"))
            }
        }
    }

    fn apply(&self, call: StoreCall) -> Result<Object, WriteError> {
        self.change(|objects| match call {
            StoreCall::Create(object) => objects.create(object),
            StoreCall::Replace(object) => objects.replace(object),
            StoreCall::Remove { kind, name } => objects.remove(&kind, &name),
            StoreCall::List { .. } | StoreCall::Watch { .. } | StoreCall::Get { .. } => {
                Err(WriteError::NotFound)
            }
        })
    }

    fn next_reply_mode(&self) -> ReplyMode {
        let mut faults = self.lock_faults();
        if faults.lost > 0 {
            faults.lost -= 1;
            return ReplyMode::Dropped;
        }
        if faults.late > 0 {
            faults.late -= 1;
            return ReplyMode::Delayed(Duration::from_millis(faults.late_ms));
        }
        ReplyMode::Normal
    }

    fn lock_faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn object_reply(result: Result<Object, WriteError>) -> Response {
    match result {
        Ok(object) => json_reply(StatusCode::OK, &encode_stored(&object)),
        Err(WriteError::NotFound) => {
            text_reply(StatusCode::NOT_FOUND, "no such object".to_string())
        }
        Err(WriteError::Conflict) => {
            text_reply(StatusCode::CONFLICT, "another revision".to_string())
        }
    }
}
