//! Lets peers follow the objects that this gateway knows, by the calls of the store.

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

/// Longest wait that a follower may ask for.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// The mirror as the gateway's services share it.
#[derive(Clone, Default)]
pub struct Relay {
    mirror: Arc<Mutex<Mirror>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Relay {
    /// A relay that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the whole list of a kind; known objects named in `kept` stay.
    pub fn replace(&self, kind: &str, list: Vec<Object>, revision: u64, kept: &[String]) {
        self.lock().replace(kind, list, revision, kept);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Takes changes of a kind.
    pub fn take(&self, kind: &str, changes: Vec<Change>, revision: u64) {
        if changes.is_empty() {
            return;
        }
        self.lock().take(kind, changes, revision);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Routes for followers.
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
        let news = async {
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
        match timeout(wait, news).await {
            Ok(changes) => changes,
            Err(_) => self.lock().changes(kind, after),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
