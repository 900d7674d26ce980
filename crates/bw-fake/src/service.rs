//! Fake of a plain service, which counts how often each request ran.

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

/// Number of runs of each request, by the request's text. Clones share the counts.
#[derive(Clone, Default)]
pub struct RunCounter {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl RunCounter {
    /// Records a run of the request `text` and returns its number, counted from 1.
    pub fn record(&self, text: &str) -> u32 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(text.to_string()).or_default();
        *count += 1;
        *count
    }

    /// Returns the number of runs by the text of the request.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// One instance of a fake service.
#[derive(Clone)]
pub struct Service {
    name: String,
    latency: Duration,
    run_counter: RunCounter,
}

impl Service {
    /// Creates the instance `name`, which answers each call after `latency`.
    pub fn new(name: &str, latency: Duration, run_counter: RunCounter) -> Self {
        Self { name: name.to_string(), latency, run_counter }
    }

    /// Returns the routes of the service; every path but `/health` counts as a call.
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
        let run = self.run_counter.record(&format!("{method} {path} {text}"));
        tokio::time::sleep(self.latency).await;
        let answer = json!({ "service": self.name, "path": path, "run": run, "echo": text });
        Ok(json_reply(StatusCode::OK, &answer))
    }
}
