//! A caller as the users have them: asks for addresses, keeps them for a while, connects itself.

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

const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct Addresses {
    entries: Vec<Entry>,
    lifetime_seconds: u64,
}

#[derive(Deserialize)]
struct Entry {
    http: SocketAddr,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The whole answer, which is as expected.
    Whole,
    /// Nothing usable, for this reason.
    Lost(String),
}

/// A reply with all that the caller looks at.
struct Reply {
    status: u16,
    ran: Option<String>,
    body: Bytes,
}

/// One caller.
pub struct Caller {
    client: Client,
    known: SocketAddr,
    token: String,
    addresses: Vec<SocketAddr>,
    expires: Instant,
    turn: usize,
}

impl Caller {
    /// A caller that knows one entry and has the token of a workspace; `turn` spreads callers.
    pub fn new(known: SocketAddr, token: &str, turn: usize) -> Self {
        Self {
            client: Client::new(),
            known,
            token: token.to_string(),
            addresses: Vec::new(),
            expires: Instant::now(),
            turn,
        }
    }

    /// Sends a chat request and checks that the answer is that of its own prompt.
    pub async fn chat(
        &mut self,
        model: &str,
        prompt: &str,
        tokens: usize,
        stream: bool,
    ) -> Received {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let reply = self.send("POST", "/v1/chat/completions", &body.to_string(), None).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(error) => return Received::Lost(error.to_string()),
        };
        if reply.status != 200 {
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            return Received::Lost(format!("status {}: {text}", reply.status));
        }
        let text = if stream { streamed_text(&reply.body) } else { whole_text(&reply.body) };
        check_text(text, prompt, tokens)
    }

    /// Calls a service under an idempotency key, and repeats the call while it may not have run.
    pub async fn call_once(
        &mut self,
        service: &str,
        path: &str,
        body: &str,
        key: &str,
    ) -> Received {
        const REPEATS: usize = 50;
        let path = format!("/services/{service}{path}");
        let mut last = String::new();
        for _ in 0..REPEATS {
            match self.send("POST", &path, body, Some(key)).await {
                Ok(reply) if reply.status == 200 => return check_echo(&reply.body, body),
                Ok(reply) => last = format!("status {} ran {:?}", reply.status, reply.ran),
                Err(error) => last = error.to_string(),
            }
            tokio::time::sleep(PAUSE).await;
        }
        Received::Lost(last)
    }

    /// Reads from a service.
    pub async fn read(&mut self, service: &str, path: &str) -> Received {
        match self.send("GET", &format!("/services/{service}{path}"), "", None).await {
            Ok(reply) if reply.status == 200 => check_echo(&reply.body, ""),
            Ok(reply) => Received::Lost(format!("status {}", reply.status)),
            Err(error) => Received::Lost(error.to_string()),
        }
    }

    /// Sends to the next address that takes a connection; a request once sent is not sent again.
    async fn send(
        &mut self,
        method: &str,
        path: &str,
        body: &str,
        key: Option<&str>,
    ) -> Result<Reply, MeasureError> {
        const TRIES: usize = 20;
        self.refresh().await?;
        let mut last = MeasureError::State("no address".to_string());
        for _ in 0..TRIES {
            self.turn += 1;
            let Some(address) = self.addresses.get(self.turn % self.addresses.len().max(1)) else {
                break;
            };
            match self.send_to(*address, method, path, body, key).await {
                Err(MeasureError::Call(ClientError::Connect(reason))) => {
                    last = MeasureError::State(reason);
                    self.expires = Instant::now();
                    self.refresh().await?;
                }
                result => return result,
            }
        }
        Err(last)
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
            .map_err(|error| MeasureError::State(error.to_string()))?;
        let response = self.client.send(request, LIMIT).await?;
        let status = response.status().as_u16();
        let ran = response.headers().get("x-baobabwind-ran");
        let ran = ran.and_then(|value| value.to_str().ok()).map(str::to_string);
        let collected = response.into_body().collect().await;
        let body = collected.map_err(|error| ClientError::Broken(error.to_string()))?.to_bytes();
        Ok(Reply { status, ran, body })
    }

    async fn refresh(&mut self) -> Result<(), MeasureError> {
        if Instant::now() < self.expires {
            return Ok(());
        }
        let mut known = vec![self.known];
        known.extend(&self.addresses);
        for address in known {
            let url = format!("http://{address}/v1/entries");
            let Ok(reply) = self.client.get(&url, Duration::from_secs(2)).await else {
                continue;
            };
            let Ok(found) = serde_json::from_slice::<Addresses>(&reply.body) else {
                continue;
            };
            self.addresses = found.entries.iter().map(|entry| entry.http).collect();
            self.expires = Instant::now() + Duration::from_secs(found.lifetime_seconds);
            return Ok(());
        }
        Err(MeasureError::State("no entry tells addresses".to_string()))
    }
}

fn whole_text(body: &[u8]) -> Option<String> {
    let value: Value = serde_json::from_slice(body).ok()?;
    value.pointer("/choices/0/message/content")?.as_str().map(str::to_string)
}

/// Text of a stream that is complete, which its last event says.
fn streamed_text(body: &[u8]) -> Option<String> {
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

fn check_text(text: Option<String>, prompt: &str, tokens: usize) -> Received {
    let Some(text) = text else {
        return Received::Lost("the answer is cut".to_string());
    };
    let full = format!("user: {prompt}\n");
    let expected: String =
        (0..tokens).map(|index| bw_fake::engine::answer_token(&full, index)).collect();
    if text.trim_end() == expected.trim_end() {
        Received::Whole
    } else {
        Received::Lost(format!("another answer: {text:?}"))
    }
}

fn check_echo(body: &[u8], sent: &str) -> Received {
    let echo = serde_json::from_slice::<Value>(body).ok();
    let echo = echo.and_then(|value| value.get("echo")?.as_str().map(str::to_string));
    if echo.as_deref() == Some(sent) {
        Received::Whole
    } else {
        Received::Lost("another answer".to_string())
    }
}
