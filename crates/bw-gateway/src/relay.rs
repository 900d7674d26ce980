//! Serves the objects known to this gateway to its peers, with the same calls as the store.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::objects::codec::decode_call;
use bw_adapter::objects::codec::encode_changes;
use bw_adapter::objects::codec::encode_page;
use bw_adapter::objects::codec::StoreCall;
use bw_adapter::objects::codec::OBJECTS_PATH;
use bw_adapter::objects::Change;
use bw_adapter::objects::Changes;
use bw_adapter::Object;
use bw_http::json_reply;
use bw_http::text_reply;
use tokio::sync::watch;
use tokio::time::timeout;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::mirror::Mirror;

/// Maximum wait of a follower's watch; longer requested waits are reduced to it.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// The mirror, shared by the services of the gateway.
#[derive(Clone, Default)]
pub struct Relay {
    mirror: Arc<Mutex<Mirror>>,
    /// Number of updates of the mirror, which wakes the watches of followers.
    changed: Arc<watch::Sender<u64>>,
}

impl Relay {
    /// Creates a relay without objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the objects of a kind by the complete list; known objects named in `retained` stay.
    pub fn replace(&self, kind: &str, list: Vec<Object>, revision: u64, retained: &[String]) {
        self.lock().replace(kind, list, revision, retained);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies changes of a kind and wakes the watches of followers.
    pub fn apply(&self, kind: &str, changes: Vec<Change>, revision: u64) {
        if changes.is_empty() {
            return;
        }
        self.lock().apply(kind, changes, revision);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns the routes that followers call.
    pub fn routes(&self) -> Router {
        let relay = self.clone();
        let call = move |request: Request| {
            let relay = relay.clone();
            async move { Ok(relay.serve(&request).await) }
        };
        Router::new().get(format!("{OBJECTS_PATH}/*"), call)
    }

    async fn serve(&self, request: &Request) -> Response {
        let query = request.query_string().unwrap_or("");
        match decode_call(request.method(), request.path(), query, &[]) {
            Ok(StoreCall::List { kind, .. }) => match self.lock().list(&kind) {
                Some(page) => json_reply(StatusCode::OK, &encode_page(&page)),
                None => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not known yet".to_string()),
            },
            Ok(StoreCall::Watch { kind, revision, wait }) => {
                match self.watch(&kind, revision, wait.min(WAIT_MAX)).await {
                    Some(changes) => json_reply(StatusCode::OK, &encode_changes(&changes)),
                    None => text_reply(StatusCode::GONE, "not known any more".to_string()),
                }
            }
            _ => text_reply(StatusCode::BAD_REQUEST, "only lists and watches".to_string()),
        }
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<Changes> {
        let mut changed = self.changed.subscribe();
        let next_changes = async {
            loop {
                let changes = self.lock().changes(kind, after);
                match changes {
                    Some(changes) if changes.events.is_empty() => {}
                    changes => return changes,
                }
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        match timeout(wait, next_changes).await {
            Ok(changes) => changes,
            Err(_) => self.lock().changes(kind, after),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
