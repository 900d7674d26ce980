//! Chat completion requests and answers of the fake engine.

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

/// Text in a prompt that crashes the engine.
pub const CRASH_MARKER: &str = "CRASH-ENGINE";

/// One message of a conversation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// A chat completion request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// The conversation, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// Number of tokens to produce, in addition to those of an earlier attempt.
    #[serde(default = "default_tokens")]
    pub max_tokens: usize,
    /// Whether to stream the answer as events.
    #[serde(default)]
    pub stream: bool,
    /// Scheduling priority; lower numbers are scheduled first.
    #[serde(default)]
    pub priority: i64,
    /// Whether the last message is the start of the answer, which the engine continues.
    #[serde(default)]
    pub continue_final_message: bool,
}

fn default_tokens() -> usize {
    16
}

impl ChatRequest {
    /// Returns the prompt, without the start of an answer to be continued.
    pub fn prompt(&self) -> String {
        let mut messages: &[ChatMessage] = &self.messages;
        if self.continue_final_message {
            messages = &messages[..messages.len().saturating_sub(1)];
        }
        let lines =
            messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
        lines.collect()
    }

    /// Returns the number of tokens that an earlier attempt produced.
    pub fn produced_tokens(&self) -> usize {
        let last = self.messages.last().filter(|_| self.continue_final_message);
        last.map_or(0, |message| message.content.split_whitespace().count())
    }
}

/// Returns the token at `index` of the answer to `prompt`, which is the same in every run.
pub fn token(prompt: &str, index: usize) -> String {
    let seed = bw_model::hash::fingerprint("token", "", prompt.as_bytes());
    format!("w{:04x}-{index} ", (seed as u16))
}

/// Returns one event of a streamed answer.
pub fn stream_event(id: &str, model: &str, content: Option<&str>, finish: Option<&str>) -> String {
    let delta: Value = content.map_or(json!({}), |content| json!({ "content": content }));
    let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
    let event = json!({
        "id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
        "choices": [choice],
    });
    format!("data: {event}\n\n")
}

/// Returns the body of an answer that is not streamed.
pub fn completion_body(id: &str, request: &ChatRequest, content: &str) -> Value {
    let message = json!({ "role": "assistant", "content": content });
    let tokens = content.split_whitespace().count();
    let prompt_tokens = request.prompt().split_whitespace().count();
    json!({
        "id": id, "object": "chat.completion", "created": 0, "model": request.model,
        "choices": [{ "index": 0, "message": message, "finish_reason": "length" }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        },
    })
}
