//! Streamed chat answers: whole events to the caller, and going on after a failed attempt.

use bw_once::Head;
use bw_proto::Call;
use serde_json::json;
use serde_json::Value;
use tokio::sync::mpsc;

use super::context::Job;
use super::fault::Fault;
use super::repeatable::Restart;
use super::sink::CallerGone;
use super::sink::Sink;

/// The end of an event in a stream of server-sent events.
const EVENT_END: &[u8] = b"\n\n";

/// What the caller's body is made of.
pub enum Piece {
    /// Status and headers, once.
    Head(Head),
    /// Bytes of the body.
    Bytes(Vec<u8>),
    /// There is no more; in the body, the fault is an event of its own.
    Fault(Fault),
}

/// Passes whole events on, and keeps the text so far so that another endpoint can go on with it.
pub struct EventSink {
    caller: mpsc::Sender<Piece>,
    /// The request as first sent.
    original: Value,
    head_told: bool,
    /// Bytes of an event that is not complete.
    partial: Vec<u8>,
    /// Text of the answer so far.
    text: String,
    /// Events with text so far.
    tokens: u64,
    /// Id of the first attempt's events.
    id: Option<Value>,
    done: bool,
}

impl EventSink {
    /// A sink for the answer to the chat request `original`.
    pub fn new(caller: mpsc::Sender<Piece>, original: Value) -> Self {
        Self {
            caller,
            original,
            head_told: false,
            partial: Vec::new(),
            text: String::new(),
            tokens: 0,
            id: None,
            done: false,
        }
    }

    /// Takes one event, without its end, and returns it as the caller should see it.
    fn take_event(&mut self, event: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(event);
        let Some(data) = text.trim_start().strip_prefix("data:") else {
            return event.to_vec();
        };
        if data.trim() == "[DONE]" {
            self.done = true;
            return event.to_vec();
        }
        let Ok(mut value) = serde_json::from_str::<Value>(data) else {
            return event.to_vec();
        };
        if let Some(content) = value.pointer("/choices/0/delta/content").and_then(Value::as_str) {
            self.text.push_str(content);
            self.tokens += 1;
        }
        let id = value.get("id").cloned().unwrap_or(Value::Null);
        let first = self.id.get_or_insert(id.clone()).clone();
        if id == first {
            return event.to_vec();
        }
        // A later attempt has another id; the caller sees one answer with one id.
        value["id"] = first;
        format!("data: {value}").into_bytes()
    }
}

impl Sink for EventSink {
    fn head(&mut self, head: &Head) {
        if !self.head_told && self.caller.try_send(Piece::Head(head.clone())).is_ok() {
            self.head_told = true;
        }
    }

    async fn bytes(&mut self, bytes: Vec<u8>) -> Result<(), CallerGone> {
        self.partial.extend_from_slice(&bytes);
        let mut whole = Vec::new();
        while let Some(end) = find(&self.partial, EVENT_END) {
            let event: Vec<u8> = self.partial.drain(..end + EVENT_END.len()).collect();
            whole.extend(self.take_event(&event[..end]));
            whole.extend_from_slice(EVENT_END);
        }
        if whole.is_empty() {
            return Ok(());
        }
        self.caller.send(Piece::Bytes(whole)).await.map_err(|_| CallerGone)
    }
}

impl Restart for EventSink {
    fn restart(&mut self, job: &mut Job) -> bool {
        self.partial.clear();
        if self.done {
            return false;
        }
        if self.text.is_empty() {
            return true;
        }
        match continued(&self.original, &self.text, self.tokens) {
            Some(body) => {
                job.call = Call { body, ..job.call.clone() };
                true
            }
            None => false,
        }
    }
}

/// The request that has another endpoint go on after `text`, of `tokens` tokens.
fn continued(original: &Value, text: &str, tokens: u64) -> Option<Vec<u8>> {
    let mut request = original.clone();
    let fields = request.as_object_mut()?;
    let messages = fields.get_mut("messages")?.as_array_mut()?;
    messages.push(json!({ "role": "assistant", "content": text }));
    fields.insert("continue_final_message".to_string(), json!(true));
    fields.insert("add_generation_prompt".to_string(), json!(false));
    for limit in ["max_tokens", "max_completion_tokens"] {
        if let Some(count) = fields.get(limit).and_then(Value::as_u64) {
            fields.insert(limit.to_string(), json!(count.saturating_sub(tokens).max(1)));
        }
    }
    serde_json::to_vec(&request).ok()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
