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
use bw_adapter::objects::era::encode_era;
use bw_adapter::objects::Change;
use bw_adapter::Object;
use bw_http::compress::compress;
use bw_http::compress::GZIP;
use bw_http::compressed_json_reply;
use bw_http::json_reply;
use bw_http::text_reply;
use bw_model::Position;
use bytes::Bytes;
use hyper::header::ACCEPT_ENCODING;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio::time::timeout;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use crate::mirror::Excerpt;
use crate::mirror::Mirror;

/// Maximum wait of a follower's watch; longer requested waits are reduced to it.
const WAIT_MAX: Duration = Duration::from_secs(10);

/// Size in bytes from which the body of a reply is compressed, and kept for other followers.
const COMPRESSED_MIN: usize = 16 * 1024;

/// The last compressed reply. Many followers ask for the same large one at about the same time, when
/// a configuration has changed.
struct CompressedReply {
    excerpt: Excerpt,
    body: Bytes,
}

/// The mirror, shared by the services of the gateway.
#[derive(Clone, Default)]
pub struct Relay {
    mirror: Arc<Mutex<Mirror>>,
    compressed: Arc<Mutex<Option<CompressedReply>>>,
    /// Number of updates of the mirror, which wakes the watches of followers.
    changed: Arc<watch::Sender<u64>>,
}

impl Relay {
    /// Creates a relay without objects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the objects of a kind by the complete list; known objects named in `retained` stay.
    pub fn replace(&self, kind: &str, list: Vec<Object>, position: Position, retained: &[String]) {
        self.lock().replace(kind, list, position, retained);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Applies changes of a kind and wakes the watches of followers.
    pub fn apply(&self, kind: &str, changes: Vec<Change>, position: Position) {
        if changes.is_empty() {
            return;
        }
        self.lock().apply(kind, changes, position);
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
            Ok(StoreCall::List { kind, .. }) => {
                match self.reply(&kind, None, accepts_gzip(request)) {
                    Some(reply) => reply,
                    None => {
                        text_reply(StatusCode::SERVICE_UNAVAILABLE, "not known yet".to_string())
                    }
                }
            }
            Ok(StoreCall::Watch { kind, position, wait }) => {
                self.wait_for_changes(&kind, position, wait.min(WAIT_MAX)).await;
                match self.reply(&kind, Some(position), accepts_gzip(request)) {
                    Some(reply) => reply,
                    None => text_reply(StatusCode::GONE, "not known any more".to_string()),
                }
            }
            _ => text_reply(StatusCode::BAD_REQUEST, "only lists and watches".to_string()),
        }
    }

    /// Waits at most `wait` until a kind has changes after a position, or until it is known that the
    /// position is too old.
    async fn wait_for_changes(&self, kind: &str, after: Position, wait: Duration) {
        let mut changed = self.changed.subscribe();
        let change = async {
            while self.lock().has_no_changes(kind, after) {
                if changed.changed().await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        };
        // Without a change, the reply tells the follower the position up to which there is none.
        let _elapsed = timeout(wait, change).await;
    }

    /// Returns a reply with all objects of a kind, or with its changes after a revision; `None` as for
    /// the mirror.
    fn reply(&self, kind: &str, after: Option<Position>, gzip: bool) -> Option<Response> {
        let mirror = self.lock();
        let excerpt = mirror.excerpt(kind, after)?;
        let era = excerpt.position().era();
        if gzip {
            if let Some(known) = self.compressed().as_ref().filter(|known| known.excerpt == excerpt)
            {
                return Some(in_era(compressed_json_reply(known.body.clone()), era));
            }
        }
        let body = match after {
            None => encode_page(&mirror.list(kind)?),
            Some(after) => encode_changes(&mirror.changes(kind, after)?),
        };
        let text = body.to_string();
        if !gzip || text.len() < COMPRESSED_MIN {
            return Some(in_era(json_reply(StatusCode::OK, &body), era));
        }
        match compress(text.as_bytes()) {
            Ok(body) => {
                info!(
                    "event=reply_compressed kind={kind} position={} bytes={} sent_bytes={}",
                    excerpt.position(),
                    text.len(),
                    body.len()
                );
                *self.compressed() = Some(CompressedReply { excerpt, body: body.clone() });
                Some(in_era(compressed_json_reply(body), era))
            }
            Err(error) => {
                warn!("event=reply_uncompressed kind={kind} reason=\"{error}\"");
                Some(in_era(json_reply(StatusCode::OK, &body), era))
            }
        }
    }

    fn compressed(&self) -> MutexGuard<'_, Option<CompressedReply>> {
        self.compressed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Mirror> {
        self.mirror.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adds the era of the store from which the reply's contents are.
fn in_era(mut response: Response, era: u64) -> Response {
    let (name, value) = encode_era(era);
    response.headers_mut().insert(name, value);
    response
}

fn accepts_gzip(request: &Request) -> bool {
    let accepted = request.headers().get(ACCEPT_ENCODING);
    accepted.is_some_and(|value| value.as_bytes() == GZIP.as_bytes())
}
