//! A caller like those of users: fetches the entries' addresses, caches them until they expire, and
//! connects directly.

use std::net::SocketAddr;
use std::time::Duration;

use bw_http::Client;
use bw_http::ClientError;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;
use tokio::time::Instant;

use crate::error::MeasureError;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct Addresses {
    entries: Vec<Entry>,
    lifetime_seconds: u64,
}

#[derive(Deserialize)]
struct Entry {
    http: SocketAddr,
}

/// Result of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The complete and expected answer.
    Complete,
    /// No usable answer, with the reason.
    Failed(String),
}

/// The parts of a reply that the caller checks.
struct Reply {
    status: u16,
    /// Value of the header `x-baobabwind-ran`.
    ran: Option<String>,
    body: Bytes,
}

/// A caller with its own connections and cached addresses.
pub struct Caller {
    client: Client,
    bootstrap: SocketAddr,
    token: String,
    addresses: Vec<SocketAddr>,
    expires_at: Instant,
    next_index: usize,
}

impl Caller {
    /// Creates a caller that knows the address of one entry and the token of a workspace. Different
    /// values of `next_index` spread callers over the entries.
    pub fn new(bootstrap: SocketAddr, token: &str, next_index: usize) -> Self {
        Self {
            client: Client::new(),
            bootstrap,
            token: token.to_string(),
            addresses: Vec::new(),
            expires_at: Instant::now(),
            next_index,
        }
    }

    /// Sends a chat request and checks that the answer belongs to `prompt`.
    pub async fn chat(
        &mut self,
        model: &str,
        prompt: &str,
        tokens: usize,
        stream: bool,
    ) -> CallResult {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let reply = self.send("POST", "/v1/chat/completions", &body.to_string(), None).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return CallResult::Failed(error.to_string()),
        };
        if reply.status != 200 {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return CallResult::Failed(format!("status {}: {text}", reply.status));
        }
        let text = if stream { parse_stream(&reply.body) } else { parse_completion(&reply.body) };
        check_completion(text, prompt, tokens)
    }

    /// Calls a service with an idempotency key, and repeats the call after a failure; the key makes
    /// repeats safe.
    pub async fn call_once(
        &mut self,
        service: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> CallResult {
        const CALLS_MAX: usize = 50;
        let path = format!("/services/{service}{path}");
        let mut last_error = String::new();
        for _ in 0..CALLS_MAX {
            match self.send("POST", &path, body, Some(key)).await {
                Ok(reply) if reply.status == 200 => return check_echo(&reply.body, body),
                Ok(reply) => last_error = format!("status {} ran {:?}", reply.status, reply.ran),
                Err(error) => last_error = error.to_string(),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        CallResult::Failed(last_error)
    }

    /// Sends a GET request to a service and checks the echoed answer.
    pub async fn read(&mut self, service: &str, path: &str) -> CallResult {
        match self.send("GET", &format!("/services/{service}{path}"), "", None).await {
            Ok(reply) if reply.status == 200 => check_echo(&reply.body, ""),
            Ok(reply) => CallResult::Failed(format!("status {}", reply.status)),
            Err(error) => CallResult::Failed(error.to_string()),
        }
    }

    /// Sends to the next address that accepts a connection. Only failed connections are retried,
    /// never a request that was sent.
    async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Reply, MeasureError> {
        const ATTEMPTS_MAX: usize = 20;
        self.refresh_addresses().await?;
        let mut last_error = MeasureError::Unexpected("the list of addresses is empty".to_string());
        for _ in 0..ATTEMPTS_MAX {
            self.next_index += 1;
            let Some(address) = self.addresses.get(self.next_index % self.addresses.len().max(1))
            else {
                break;
            };
            match self.send_to(*address, method, path, body, key).await {
                Err(MeasureError::Call(ClientError::Connect(reason))) => {
                    last_error = MeasureError::Unexpected(reason);
                    self.expires_at = Instant::now();
                    self.refresh_addresses().await?;
                }
                result => return result,
            }
        }
        Err(last_error)
    }

    async fn send_to(
        &self,
        address: SocketAddr,
        method: &str,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Reply, MeasureError> {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.token))
            .header("content-type", "application/json");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        let request = builder
            .body(Full::from(body.to_string()))
            .map_err(|error| MeasureError::Unexpected(error.to_string()))?;
        let response = self.client.send(request, REQUEST_TIMEOUT).await?;
        let status = response.status().as_u16();
        let ran = response.headers().get("x-baobabwind-ran");
        let ran = ran.and_then(|value| value.to_str().ok()).map(str::to_string);
        let collected = response.into_body().collect().await;
        let body = collected.map_err(|error| ClientError::Broken(error.to_string()))?.to_bytes();
        Ok(Reply { status, ran, body })
    }

    async fn refresh_addresses(&mut self) -> Result<(), MeasureError> {
        if Instant::now() < self.expires_at {
            return Ok(());
        }
        let mut addresses = vec![self.bootstrap];
        addresses.extend(&self.addresses);
        for address in addresses {
            let url = format!("http://{address}/v1/entries");
            let Ok(reply) = self.client.get(&url, Duration::from_secs(2)).await else {
                continue;
            };
            let Ok(listing) = serde_json::from_slice::<Addresses>(&reply.body) else {
                continue;
            };
            self.addresses = listing.entries.iter().map(|entry| entry.http).collect();
            self.expires_at = Instant::now() + Duration::from_secs(listing.lifetime_seconds);
            return Ok(());
        }
        Err(MeasureError::Unexpected("no entry returned the list of addresses".to_string()))
    }
}

fn parse_completion(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.pointer("/choices/0/message/content")?.as_str().map(str::to_string)
}

/// Returns the text of a stream, or `None` if an event is malformed or the `[DONE]` event is
/// missing.
fn parse_stream(body: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let mut content = String::new();
    let mut done = false;
    for event in text.split("\n\n").filter(|event| !event.trim().is_empty()) {
        let data = event.trim().strip_prefix("data:")?.trim();
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).ok()?;
        if let Some(piece) = value.pointer("/choices/0/delta/content").and_then(Value::as_str) {
            content.push_str(piece);
        }
    }
    done.then_some(content)
}

fn check_completion(text: Option<String>, prompt: &str, tokens: usize) -> CallResult {
    let Some(text) = text else {
        return CallResult::Failed("the answer is truncated".to_string());
    };
    let full_prompt = format!("user: {prompt}\n");
    let expected: String =
        (0..tokens).map(|index| bw_fake::engine::answer_token(&full_prompt, index)).collect();
    if text.trim_end() == expected.trim_end() {
        CallResult::Complete
    } else {
        CallResult::Failed(format!("unexpected answer: {text:?}"))
    }
}

fn check_echo(body: &[u8], sent: &str) -> CallResult {
    let echo = serde_json::from_slice::<Value>(body).ok();
    let echo = echo.and_then(|value| value.get("echo")?.as_str().map(str::to_string));
    if echo.as_deref() == Some(sent) {
        CallResult::Complete
    } else {
        CallResult::Failed("unexpected answer".to_string())
    }
}
