//! Chat completions as the stand-in takes and writes them.

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use serde_json::Value;

/// Text in a prompt that makes the engine die.
pub const CRASH_MARK: &str = "CRASH-ENGINE";

/// One message.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text.
    pub content: String,
}

/// A request.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatRequest {
    /// Model.
    pub model: String,
    /// Messages.
    pub messages: Vec<ChatMessage>,
    /// Tokens to produce, those of an earlier attempt not counted.
    #[serde(default = "default_tokens")]
    pub max_tokens: usize,
    /// Whether to stream.
    #[serde(default)]
    pub stream: bool,
    /// A lower number goes first.
    #[serde(default)]
    pub priority: i64,
    /// Whether the last message is the start of the answer, to be continued.
    #[serde(default)]
    pub continue_final_message: bool,
}

fn default_tokens() -> usize {
    16
}

impl ChatRequest {
    /// The prompt without the start of an answer to be continued.
    pub fn prompt(&self) -> String {
        let mut messages: &[ChatMessage] = &self.messages;
        if self.continue_final_message {
            messages = &messages[..messages.len().saturating_sub(1)];
        }
        let lines =
            messages.iter().map(|message| format!("{}: {}\n", message.role, message.content));
        lines.collect()
    }

    /// Tokens that an earlier attempt produced.
    pub fn done(&self) -> usize {
        let last = self.messages.last().filter(|_| self.continue_final_message);
        last.map_or(0, |message| message.content.split_whitespace().count())
    }
}

/// The token at `index` of the answer to `prompt`; the same for each run.
pub fn token(prompt: &str, index: usize) -> String {
    let seed = bw_model::hash::fingerprint("token", "", prompt.as_bytes());
    format!("w{:04x}-{index} ", (seed as u16))
}

/// One event of a streamed answer.
pub fn stream_event(id: &str, model: &str, content: Option<&str>, finish: Option<&str>) -> String {
    let delta: Value = content.map_or(json!({}), |content| json!({ "content": content }));
    let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
    let event = json!({
        "id": id, "object": "chat.completion.chunk", "created": 0, "model": model,
        "choices": [choice],
    });
    format!("data: {event}\n\n")
}

/// A whole answer.
pub fn whole_answer(id: &str, request: &ChatRequest, content: &str) -> Value {
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
