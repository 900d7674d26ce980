//! Chat requests: `POST /v1/chat/completions`.

use std::time::Duration;

use bw_model::fleet::PoolKind;
use bw_model::hash::prefix_blocks;
use bw_once::Head;
use bw_proto::Call;
use bw_route::prefix::BLOCK_BYTES;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::Value;
use tokio::sync::mpsc;
use viz::header::HeaderName;
use viz::header::HeaderValue;
use viz::Body;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::StatusCode;

use super::context::Job;
use super::context::Services;
use super::fault::Fault;
use super::fault::REQUEST_ID_HEADER;
use super::identity::chat_fingerprints;
use super::repeatable::AnswerEnd;
use super::repeatable::Restart;
use super::sink::Buffer;
use super::stream::EventSink;
use super::stream::Piece;

/// Path of chat requests, both at this entry and at the engines.
const PATH: &str = "/v1/chat/completions";
/// Maximum number of pieces buffered for a slow caller; reading of the answer blocks beyond it.
const PIECES_MAX: usize = 64;
/// Header with which a caller shortens the timeout of its request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Fields of a chat request that the entry reads. All other fields are forwarded unread.
#[derive(Deserialize)]
struct ChatFields {
    model: String,
    #[serde(default)]
    stream: bool,
    messages: Vec<Value>,
}

impl Restart for Buffer {
    fn restart(&mut self, _job: &mut Job) -> bool {
        *self = Self::new(self.limit);
        true
    }
}

impl Services {
    /// Handles a chat request, streamed or not, and records its result.
    pub async fn chat(&self, request: Request) -> Response {
        let id = request_id(&request);
        let started = self.routing.now();
        let result = self.end_with_process(self.try_chat(request, &id)).await;
        self.record_result("chat", result.as_ref().err(), started);
        result.unwrap_or_else(|fault| fault.response(&id))
    }

    async fn try_chat(&self, mut request: Request, id: &str) -> Result<Response, Fault> {
        let token = bearer_token(&request);
        let timeout = self.request_timeout(&request);
        let body = self.read_request(&mut request).await?;
        let (job, fields, value) = self.chat_job(id, token.as_deref(), timeout, body)?;
        if fields.stream {
            return Ok(self.stream_chat(job, value).await);
        }
        let mut buffer = Buffer::new(self.settings.get().answer);
        match self.run_repeatable(job, &mut buffer).await? {
            AnswerEnd::Whole => Ok(buffered_response(id, buffer)),
            AnswerEnd::CallerGone if buffer.overrun => Err(Fault::Failed("answer_too_large")),
            AnswerEnd::CallerGone => Err(Fault::DeadlinePassed),
        }
    }

    /// Parses and authorises a chat request.
    fn chat_job(
        &self,
        id: &str,
        token: Option<&str>,
        timeout: Duration,
        body: Bytes,
    ) -> Result<(Job, ChatFields, Value), Fault> {
        let value: Value = serde_json::from_slice(&body)
            .map_err(|error| Fault::BadRequest(format!("the body is not JSON: {error}")))?;
        let fields = ChatFields::deserialize(&value)
            .map_err(|error| Fault::BadRequest(format!("the body is no chat request: {error}")))?;
        if fields.messages.is_empty() {
            return Err(Fault::BadRequest("\"messages\" is empty".to_string()));
        }
        let current = self.config.current().ok_or(Fault::Starting)?;
        let workspace = self.find_workspace(&current, token)?;
        let name = format!("model {:?}", fields.model);
        let pool = current.fleet.pool(PoolKind::Model, &fields.model);
        let (pool, _) = pool.ok_or_else(|| Fault::NotFound(name.clone()))?;
        if !current.fleet.workspaces[workspace].pools.contains(&pool) {
            return Err(Fault::Forbidden(name));
        }
        let prompt = serde_json::to_vec(&fields.messages).unwrap_or_default();
        let body = with_priority(&value, current.fleet.workspaces[workspace].order);
        let call = Call {
            method: "POST".to_string(),
            path: PATH.to_string(),
            headers: vec![("content-type".to_string(), "application/json".to_string())],
            body,
        };
        let job = Job {
            id: id.to_string(),
            pool,
            workspace,
            deadline: self.routing.now() + timeout,
            fingerprints: chat_fingerprints(&fields.model, token, &prompt, &call),
            blocks: prefix_blocks(&prompt, BLOCK_BYTES),
            call,
            current,
        };
        Ok((job, fields, value))
    }

    /// Starts a streamed answer. A fault before the answer's head becomes a plain error response.
    async fn stream_chat(&self, job: Job, value: Value) -> Response {
        let (sender, mut receiver) = mpsc::channel(PIECES_MAX);
        let id = job.id.clone();
        let original = serde_json::from_slice(&job.call.body).unwrap_or(value);
        let services = self.clone();
        let text_max = self.settings.get().answer;
        tokio::spawn(async move {
            let mut sink = EventSink::new(sender.clone(), original, text_max);
            let result = services.run_repeatable(job.clone(), &mut sink).await;
            if let Err(fault) = result {
                // The send fails only if the caller has disconnected.
                let _ = sender.send(Piece::Fault(fault)).await;
            }
        });
        match receiver.recv().await {
            Some(Piece::Head(head)) => stream_response(&id, &head, receiver),
            Some(Piece::Fault(fault)) => fault.response(&id),
            Some(Piece::Bytes(_)) | None => Fault::DeadlinePassed.response(&id),
        }
    }

    /// Records the result and the duration of a request in the metrics.
    pub fn record_result(&self, kind: &str, fault: Option<&Fault>, started: Duration) {
        let result = fault.map_or("whole", Fault::code);
        self.metrics.requests.with_label_values(&[kind, result]).inc();
        let time = self.routing.now().saturating_sub(started).as_secs_f64();
        self.metrics.time.with_label_values(&[kind]).observe(time);
    }
}

/// Returns the caller's request id, or a generated one if the caller's is missing or unusable.
pub fn request_id(request: &Request) -> String {
    const ID_BYTES_MAX: usize = 128;
    let given: Option<String> = request.header(REQUEST_ID_HEADER);
    let usable = |id: &String| {
        !id.is_empty() && id.len() <= ID_BYTES_MAX && id.bytes().all(|byte| byte.is_ascii_graphic())
    };
    given.filter(usable).unwrap_or_else(|| uuid::Uuid::new_v4().to_string())
}

/// Returns the bearer token of a request, if any.
pub fn bearer_token(request: &Request) -> Option<String> {
    let header: String = request.header("authorization")?;
    header.strip_prefix("Bearer ").map(|token| token.trim().to_string())
}

/// Builds the response for a complete, buffered answer.
pub fn buffered_response(id: &str, buffer: Buffer) -> Response {
    let head = buffer.head.unwrap_or(Head { status: 200, headers: Vec::new() });
    let mut response = Response::new(Body::from(http_body_util::Full::from(buffer.body)));
    set_head(&mut response, id, &head);
    response
}

/// Builds the response for a streamed answer. A fault after the head becomes a last event.
fn stream_response(id: &str, head: &Head, receiver: mpsc::Receiver<Piece>) -> Response {
    let request = id.to_string();
    let pieces = futures::stream::unfold((receiver, request), |(mut receiver, request)| async {
        let bytes = match receiver.recv().await? {
            Piece::Bytes(bytes) => bytes,
            Piece::Fault(fault) => format!("data: {}\n\n", fault.body(&request)).into_bytes(),
            Piece::Head(_) => Vec::new(),
        };
        Some((Ok::<_, std::io::Error>(bytes), (receiver, request)))
    });
    let mut response = Response::stream(pieces);
    set_head(&mut response, id, head);
    response
}

/// Sets status, headers and the request id of a response.
fn set_head(response: &mut Response, id: &str, head: &Head) {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.status_mut() = status;
    let named = head.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in named.chain([(REQUEST_ID_HEADER, id)]) {
        let pair = (HeaderName::try_from(name), HeaderValue::from_str(value));
        if let (Ok(name), Ok(value)) = pair {
            response.headers_mut().insert(name, value);
        }
    }
}

/// Returns the request body with the workspace's order as `priority`, unless the caller set one.
fn with_priority(value: &Value, order: u8) -> Vec<u8> {
    let mut value = value.clone();
    if let Some(fields) = value.as_object_mut() {
        fields.entry("priority").or_insert(Value::from(order));
    }
    serde_json::to_vec(&value).unwrap_or_default()
}
