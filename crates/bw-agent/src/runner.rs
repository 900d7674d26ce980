//! Runs attempts against the engine or service and records their answers.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bw_http::Client;
use bw_http::ClientError;
use bw_model::span;
use bw_once::Crash;
use bw_once::End;
use bw_once::Head;
use bw_proto::agent::Dispatch;
use bw_proto::AgentView;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::Request;
use hyper::Response;
use log::info;
use log::warn;
use tokio::time::timeout_at;
use tokio::time::Instant;

use crate::attempts::Attempts;
use crate::attempts::Cancelled;
use crate::attempts::BUFFERED_MAX;
use crate::heartbeat::Crashes;

/// Time between two checks of the buffered bytes while the engine's stream is held back.
const BACKPRESSURE_POLL: Duration = Duration::from_millis(20);
/// Time between two health checks of a dead engine.
const HEALTH_INTERVAL: Duration = Duration::from_millis(100);
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);
/// Weight of the newest service time in the moving average.
const NEWEST_WEIGHT: f64 = 0.1;

/// Exponential moving average of the service time of successful requests.
#[derive(Clone, Default)]
pub struct ServiceTime {
    millis: Arc<AtomicU32>,
}

impl ServiceTime {
    /// Adds the service time of one request.
    pub fn record(&self, time: Duration) {
        let old = f64::from(self.millis.load(Ordering::Relaxed));
        let new = time.as_secs_f64() * 1_000.0;
        let mean = if old == 0.0 { new } else { old + (new - old) * NEWEST_WEIGHT };
        self.millis.store(mean.round() as u32, Ordering::Relaxed);
    }

    /// Returns the average in milliseconds; 0 before the first request.
    pub fn millis(&self) -> u32 {
        self.millis.load(Ordering::Relaxed)
    }
}

/// Runs attempts and tracks the health of the engine or service.
#[derive(Clone)]
pub struct Runner {
    client: Client,
    attempts: Attempts,
    service_time: ServiceTime,
    crashes: Crashes,
    /// Whether the engine has crashed and has not passed a health check since.
    dead: Arc<AtomicBool>,
    /// Number of the last crash in this incarnation, counted from 1.
    crash_number: Arc<AtomicU32>,
}

/// Reason for which an attempt ended without a complete answer.
enum Failure {
    /// The request was not sent.
    Unsent(String),
    /// The engine or service broke the exchange off.
    Broken(String),
    /// The engine or service is there, and sent no answer that can be used.
    Invalid(String),
    /// The deadline passed.
    DeadlineExceeded,
    /// No reader waits for the attempt any more.
    Cancelled,
}

impl Runner {
    /// Creates a runner for the backend of one agent.
    pub fn new(attempts: Attempts, service_time: ServiceTime, crashes: Crashes) -> Self {
        Self {
            client: Client::new(),
            attempts,
            service_time,
            crashes,
            dead: Arc::default(),
            crash_number: Arc::default(),
        }
    }

    /// Runs one attempt until it ends or is cancelled, and records its answer and end.
    pub async fn run(self, dispatch: Dispatch, view: Arc<AgentView>, mut cancelled: Cancelled) {
        let started_at = Instant::now();
        let (attempt, once) = (dispatch.attempt, dispatch.once);
        let request = dispatch.request.clone();
        let deadline = started_at + span::from_whole_millis(dispatch.limit);
        let result = tokio::select! {
            result = self.exchange(&dispatch, &view, deadline) => result,
            () = wait_cancelled(&mut cancelled) => Err(Failure::Cancelled),
        };
        let millis = started_at.elapsed().as_millis();
        match result {
            Ok(()) => {
                self.service_time.record(started_at.elapsed());
                self.attempts.finish(attempt, End::Whole);
                info!("event=attempt_ended request={request} attempt={attempt} ms={millis}");
            }
            Err(Failure::Unsent(reason)) if once => {
                // The request did not reach the backend, so another endpoint may run it.
                self.attempts.revoke(attempt);
                warn!(
                    "event=attempt_unsent request={request} attempt={attempt} reason=\"{reason}\""
                );
            }
            Err(failure) => self.fail(&dispatch, &view, failure, millis).await,
        }
    }

    async fn fail(&self, dispatch: &Dispatch, view: &AgentView, failure: Failure, millis: u128) {
        let (end, reason) = match failure {
            Failure::Unsent(reason) | Failure::Invalid(reason) => (End::Failed, reason),
            Failure::Broken(reason) => (End::Crashed(self.record_crash(view)), reason),
            Failure::DeadlineExceeded => (End::Failed, "deadline".to_string()),
            Failure::Cancelled => (End::Cancelled, "cancelled".to_string()),
        };
        self.attempts.finish(dispatch.attempt, end);
        warn!(
            "event=attempt_failed request={} attempt={} ms={millis} reason=\"{reason}\"",
            dispatch.request, dispatch.attempt
        );
    }

    async fn exchange(
        &self,
        dispatch: &Dispatch,
        view: &AgentView,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let request = build_request(dispatch, view).map_err(Failure::Unsent)?;
        let limit = deadline.saturating_duration_since(Instant::now());
        let response = self.client.send(request, limit).await.map_err(|error| match error {
            ClientError::Connect(reason) | ClientError::InvalidRequest(reason) => {
                Failure::Unsent(reason)
            }
            ClientError::Timeout(_) => Failure::DeadlineExceeded,
            ClientError::InvalidReply(reason) => Failure::Invalid(reason),
            other => Failure::Broken(other.to_string()),
        })?;
        self.attempts.set_head(dispatch.attempt, response_head(&response));
        let mut body = response.into_body();
        loop {
            let frame = match timeout_at(deadline, body.frame()).await {
                Err(_) => return Err(Failure::DeadlineExceeded),
                Ok(None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(Failure::Broken(error.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Ok(data) = frame.into_data() {
                self.append(dispatch, &data, deadline).await?;
            }
        }
    }

    /// Records bytes of the answer. Returns only when the buffered bytes are within their limit,
    /// which holds the engine's stream back while the reader is far behind.
    async fn append(
        &self,
        dispatch: &Dispatch,
        data: &Bytes,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let invalid = |_| Failure::Invalid("answer too large".to_string());
        let mut buffered = self.attempts.append(dispatch.attempt, data).map_err(invalid)?;
        while buffered > BUFFERED_MAX {
            if Instant::now() >= deadline {
                return Err(Failure::DeadlineExceeded);
            }
            tokio::time::sleep(BACKPRESSURE_POLL).await;
            buffered = self.attempts.append(dispatch.attempt, &[]).map_err(invalid)?;
        }
        Ok(())
    }

    /// Queues a report of the engine's crash with the requests in flight, and returns the number of
    /// the crash. Exchanges that break off while the engine is dead belong to the same crash.
    fn record_crash(&self, view: &AgentView) -> u32 {
        if self.dead.swap(true, Ordering::AcqRel) {
            return self.crash_number.load(Ordering::Relaxed);
        }
        let number = self.crash_number.fetch_add(1, Ordering::Relaxed) + 1;
        let fingerprints = self.attempts.running_fingerprints();
        warn!("event=engine_died endpoint={} in_flight={}", view.endpoint, fingerprints.len());
        self.crashes.add(Crash {
            endpoint: view.endpoint.clone(),
            incarnation: self.attempts.incarnation(),
            number,
            fingerprints,
        });
        tokio::spawn(self.clone().wait_healthy(format!("http://{}/health", view.backend)));
        number
    }

    async fn wait_healthy(self, url: String) {
        loop {
            tokio::time::sleep(HEALTH_INTERVAL).await;
            let reply = self.client.get(&url, HEALTH_TIMEOUT).await;
            if reply.is_ok_and(|reply| reply.status == 200) {
                self.dead.store(false, Ordering::Release);
                info!("event=engine_back");
                return;
            }
        }
    }

    /// Returns true if the engine has crashed and has not passed a health check since.
    pub fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Acquire)
    }
}

async fn wait_cancelled(cancelled: &mut Cancelled) {
    if cancelled.wait_for(|set| *set).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn build_request(dispatch: &Dispatch, view: &AgentView) -> Result<Request<Full<Bytes>>, String> {
    let call = &dispatch.call;
    let uri = format!("http://{}{}", view.backend, call.path);
    let mut builder = Request::builder().method(call.method.as_str()).uri(uri);
    for (name, value) in &call.headers {
        builder = builder.header(name, value);
    }
    builder = builder.header("x-request-id", &dispatch.request);
    builder.body(Full::from(call.body.clone())).map_err(|error| error.to_string())
}

fn response_head(response: &Response<Incoming>) -> Head {
    const DROPPED: [&str; 5] =
        ["connection", "transfer-encoding", "keep-alive", "content-length", "date"];
    let kept = response.headers().iter().filter(|(name, _)| !DROPPED.contains(&name.as_str()));
    let text = kept.filter_map(|(name, value)| {
        Some((name.as_str().to_string(), value.to_str().ok()?.to_string()))
    });
    Head { status: response.status().as_u16(), headers: text.collect() }
}
