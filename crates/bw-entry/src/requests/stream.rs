//! Streamed chat answers: forwards complete events and continues the answer after a failed attempt.

use bw_once::Head;
use bw_proto::Call;
use serde_json::json;
use serde_json::Value;
use tokio::sync::mpsc;

use super::context::Job;
use super::fault::Fault;
use super::repeatable::Restart;
use super::sink::Sink;
use super::sink::SinkError;

/// Terminator of an event in a stream of server-sent events.
const EVENT_END: &[u8] = b"\n\n";
/// Largest event, in bytes.
const EVENT_BYTES_MAX: usize = 1 << 20;

/// Part of a streamed response.
pub enum Piece {
    /// Status and headers, sent once and first.
    Head(Head),
    /// Body bytes: one or more complete events.
    Bytes(Vec<u8>),
    /// The answer has failed and no piece follows. After the head, the fault is sent as an event.
    Fault(Fault),
}

/// Forwards complete events to the caller. Also collects the text received so far, so that another
/// endpoint can continue the answer after a failure.
pub struct EventSink {
    caller: mpsc::Sender<Piece>,
    /// Body of the request as first dispatched.
    original: Value,
    head_sent: bool,
    /// Whether the answer is no stream of events, such as an error, and is forwarded as it comes.
    plain: bool,
    /// Whether the present attempt's answer is of another kind than what the caller has begun to receive.
    unfit: bool,
    /// Bytes of an incomplete event.
    partial: Vec<u8>,
    /// Text of the answer received so far, up to [`Self::text_max`].
    text: String,
    /// Longest text, in bytes, with which another endpoint may continue the answer.
    text_max: usize,
    /// Whether the text is longer, so that the answer cannot be continued.
    text_cut: bool,
    /// Number of events with text received so far, taken as the number of tokens.
    tokens: u64,
    /// Id in the first attempt's events.
    id: Option<Value>,
    /// The `[DONE]` event was received.
    done: bool,
}

impl EventSink {
    /// Creates a sink that sends the answer to the chat request `original` to `caller`, and keeps at most
    /// `text_max` bytes of its text.
    pub fn new(caller: mpsc::Sender<Piece>, original: Value, text_max: usize) -> Self {
        Self {
            caller,
            original,
            head_sent: false,
            plain: false,
            unfit: false,
            partial: Vec::new(),
            text: String::new(),
            text_max,
            text_cut: false,
            tokens: 0,
            id: None,
            done: false,
        }
    }

    /// Returns the length of the text that is kept for a continuation, in bytes.
    pub fn kept_text(&self) -> usize {
        self.text.len()
    }

    async fn forward(&self, bytes: Vec<u8>) -> Result<(), SinkError> {
        self.caller.send(Piece::Bytes(bytes)).await.map_err(|_| SinkError::CallerGone)
    }

    /// Processes one event, without its terminator, and returns the event to forward.
    fn process_event(&mut self, event: &[u8]) -> Vec<u8> {
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
            if self.text.len() + content.len() > self.text_max {
                self.text_cut = true;
                self.text = String::new();
            }
            if !self.text_cut {
                self.text.push_str(content);
            }
            self.tokens += 1;
        }
        let id = value.get("id").cloned().unwrap_or(Value::Null);
        let first = self.id.get_or_insert(id.clone()).clone();
        if id == first {
            return event.to_vec();
        }
        // A later attempt has another id; replace it, so that the answer has a single id.
        value["id"] = first;
        format!("data: {value}").into_bytes()
    }
}

impl Sink for EventSink {
    fn write_head(&mut self, head: &Head) {
        let plain = !is_event_stream(head);
        if !self.head_sent {
            self.plain = plain;
        }
        self.unfit = plain != self.plain;
        if !self.head_sent && self.caller.try_send(Piece::Head(head.clone())).is_ok() {
            self.head_sent = true;
        }
    }

    async fn write(&mut self, bytes: Vec<u8>) -> Result<(), SinkError> {
        if self.unfit {
            return Err(SinkError::Unsound);
        }
        if self.plain {
            // What the caller has received cannot be replaced by another endpoint's answer.
            self.done = true;
            return self.forward(bytes).await;
        }
        self.partial.extend_from_slice(&bytes);
        let mut whole = Vec::new();
        while let Some(end) = find(&self.partial, EVENT_END) {
            let event: Vec<u8> = self.partial.drain(..end + EVENT_END.len()).collect();
            whole.extend(self.process_event(&event[..end]));
            whole.extend_from_slice(EVENT_END);
        }
        if !whole.is_empty() {
            self.forward(whole).await?;
        }
        if self.partial.len() > EVENT_BYTES_MAX {
            return Err(SinkError::Unsound);
        }
        Ok(())
    }

    fn finish(&mut self) -> Result<(), SinkError> {
        if !self.unfit && self.partial.iter().all(u8::is_ascii_whitespace) {
            Ok(())
        } else {
            Err(SinkError::Unsound)
        }
    }
}

impl Restart for EventSink {
    fn restart(&mut self, job: &mut Job) -> bool {
        self.partial.clear();
        if self.done || self.text_cut {
            return false;
        }
        if self.text.is_empty() {
            return true;
        }
        match continuation(&self.original, &self.text, self.tokens) {
            Some(body) => {
                job.call = Call { body, ..job.call.clone() };
                true
            }
            None => false,
        }
    }
}

/// Returns whether the body of an answer consists of events.
fn is_event_stream(head: &Head) -> bool {
    let kind = head.headers.iter().find(|(name, _)| name.as_str() == "content-type");
    kind.is_some_and(|(_, value)| value.trim_start().starts_with("text/event-stream"))
}

/// Builds the body of a request that continues the answer after `text`, which has `tokens` tokens.
/// Token limits are reduced by `tokens`. Returns `None` if `original` has no list of messages.
fn continuation(original: &Value, text: &str, tokens: u64) -> Option<Vec<u8>> {
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

/// Returns the position of the first occurrence of `pattern`.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
