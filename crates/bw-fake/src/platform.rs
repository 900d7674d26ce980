//! Stand-in of the platform's object store, with faults that control calls switch on.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::objects::codec::decode_call;
use bw_adapter::objects::codec::encode_changes;
use bw_adapter::objects::codec::encode_page;
use bw_adapter::objects::codec::encode_stored;
use bw_adapter::objects::codec::StoreCall;
use bw_adapter::objects::codec::OBJECTS_PATH;
use bw_adapter::Object;
use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use bw_platform::budget::Budget;
use bw_platform::budget::Purpose;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::timeout;
use tokio::time::Instant;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use crate::objects::Denial;
use crate::objects::Objects;

const OBJECT_BYTES_MAX: usize = 1_048_576;
const BODY_LIMIT: Duration = Duration::from_secs(5);

/// Faults of the object store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call is answered 503.
    pub down: bool,
    /// Calls are not answered at all.
    pub silent: bool,
    /// Each call takes so many milliseconds longer.
    pub slow: u64,
    /// So many next writes take effect without an answer.
    pub lost: u32,
    /// So many next writes have no answer and take effect after `late_ms`.
    pub late: u32,
    /// Milliseconds until a late write takes effect.
    pub late_ms: u64,
    /// Forget the history now.
    pub forget: bool,
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
struct State {
    objects: Objects,
    calls: Calls,
}

/// The object store, seen through one of its doors.
#[derive(Clone)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    /// Faults of this door.
    faults: Arc<Mutex<Faults>>,
    budget: Arc<Mutex<Budget>>,
    start: Instant,
    changed: watch::Sender<u64>,
}

/// What becomes of the answer to a write.
enum Fate {
    Answered,
    Lost,
    Late(Duration),
}

impl Platform {
    /// An empty store that takes `rate` calls a second.
    pub fn new(rate: f64) -> Self {
        Self {
            state: Arc::default(),
            faults: Arc::default(),
            budget: Arc::new(Mutex::new(Budget::new(rate, rate))),
            start: Instant::now(),
            changed: watch::Sender::new(0),
        }
    }

    /// Another door to the same objects, with faults of its own, as for one of several machines.
    pub fn another_door(&self) -> Self {
        Self { faults: Arc::default(), ..self.clone() }
    }

    /// Switches the faults of this door.
    pub fn set_faults(&self, faults: Faults) {
        if faults.forget {
            self.lock().objects.forget_history();
        }
        *self.lock_faults() = Faults { forget: false, ..faults };
    }

    /// Calls counted so far.
    pub fn calls(&self) -> Calls {
        self.lock().calls.clone()
    }

    /// Changes objects as their owner or operator would, without a call.
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

    /// Routes of the store.
    pub fn routes(&self) -> Router {
        let store = self.clone();
        let call = move |request: Request| {
            let store = store.clone();
            async move { store.serve(request).await }
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
        if let Some(refused) = self.admit(&call).await {
            return Ok(refused);
        }
        match call {
            StoreCall::List { kind, after } => {
                let page = self.lock().objects.list(&kind, &after);
                Ok(json_reply(StatusCode::OK, &encode_page(&page)))
            }
            StoreCall::Watch { kind, revision, wait } => {
                Ok(self.watch(&kind, revision, wait).await)
            }
            StoreCall::Get { kind, name } => {
                let object = self.lock().objects.get(&kind, &name).cloned();
                Ok(object_reply(object.ok_or(Denial::Absent)))
            }
            write => self.write(write).await,
        }
    }

    /// Counts a call and applies outage, slowness and rate limit.
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
        let now = self.start.elapsed();
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        if budget.try_acquire(Purpose::Lease, now).is_err() {
            self.lock().calls.limited += 1;
            return Some(text_reply(StatusCode::TOO_MANY_REQUESTS, "rate limit".to_string()));
        }
        None
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Response {
        let mut changed = self.changed.subscribe();
        let news = async {
            loop {
                let shut = self.lock_faults().down || self.lock_faults().silent;
                let changes = self.lock().objects.changes(kind, after);
                match changes {
                    Some(changes) if shut || changes.events.is_empty() => {}
                    changes => return changes,
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        let changes = match timeout(wait, news).await {
            Ok(changes) => changes,
            Err(_) => self.lock().objects.changes(kind, after),
        };
        match changes {
            Some(changes) => json_reply(StatusCode::OK, &encode_changes(&changes)),
            None => text_reply(StatusCode::GONE, "this history is gone".to_string()),
        }
    }

    async fn write(&self, call: StoreCall) -> Result<Response> {
        match self.fate() {
            Fate::Answered => Ok(object_reply(self.apply(call))),
            Fate::Lost => {
                // The caller learns nothing, whether the write was denied or not.
                let _ = self.apply(call);
                Err(viz::Error::boxed("the answer is lost"))
            }
            Fate::Late(wait) => {
                let store = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(wait).await;
                    let _ = store.apply(call);
                });
                Err(viz::Error::boxed("the answer is lost"))
            }
        }
    }

    fn apply(&self, call: StoreCall) -> Result<Object, Denial> {
        self.change(|objects| match call {
            StoreCall::Create(object) => objects.create(object),
            StoreCall::Replace(object) => objects.replace(object),
            StoreCall::Remove { kind, name } => objects.remove(&kind, &name),
            StoreCall::List { .. } | StoreCall::Watch { .. } | StoreCall::Get { .. } => {
                Err(Denial::Absent)
            }
        })
    }

    fn fate(&self) -> Fate {
        let mut faults = self.lock_faults();
        if faults.lost > 0 {
            faults.lost -= 1;
            return Fate::Lost;
        }
        if faults.late > 0 {
            faults.late -= 1;
            return Fate::Late(Duration::from_millis(faults.late_ms));
        }
        Fate::Answered
    }

    fn lock_faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn object_reply(result: Result<Object, Denial>) -> Response {
    match result {
        Ok(object) => json_reply(StatusCode::OK, &encode_stored(&object)),
        Err(Denial::Absent) => text_reply(StatusCode::NOT_FOUND, "no such object".to_string()),
        Err(Denial::Conflict) => text_reply(StatusCode::CONFLICT, "another revision".to_string()),
    }
}
