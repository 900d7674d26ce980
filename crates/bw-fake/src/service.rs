//! Stand-in of a plain service, which counts how often each request ran.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use serde_json::json;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Result;
use viz::Router;
use viz::StatusCode;

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// Runs of all services, by the text of the request.
#[derive(Clone, Default)]
pub struct Runs {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Runs {
    /// Notes a run and returns its number.
    pub fn note(&self, text: &str) -> u32 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(text.to_string()).or_default();
        *count += 1;
        *count
    }

    /// Runs by the text of the request.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// One instance of a service.
#[derive(Clone)]
pub struct Service {
    name: String,
    time: Duration,
    runs: Runs,
}

impl Service {
    /// The instance `name`, whose calls take `time`.
    pub fn new(name: &str, time: Duration, runs: Runs) -> Self {
        Self { name: name.to_string(), time, runs }
    }

    /// Routes of the service.
    pub fn routes(&self) -> Router {
        let service = self.clone();
        let call = move |request: Request| {
            let service = service.clone();
            async move { service.call(request).await }
        };
        Router::new().get("/health", |_| async { Ok("ok") }).any("/*", call)
    }

    async fn call(&self, mut request: Request) -> Result<Response> {
        let path = request.path().to_string();
        let method = request.method().to_string();
        let body = match read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await {
            Ok(body) => body,
            Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let run = self.runs.note(&format!("{method} {path} {text}"));
        tokio::time::sleep(self.time).await;
        let answer = json!({ "service": self.name, "path": path, "run": run, "echo": text });
        Ok(json_reply(StatusCode::OK, &answer))
    }
}
