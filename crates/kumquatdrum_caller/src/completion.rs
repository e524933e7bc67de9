//! Combines the events of a streamed completion for callers that did not request streaming.

use bytes::Bytes;
use serde_json::{Value, json};

/// Accumulates the events of one completion.
#[derive(Debug, Default)]
pub struct Accumulator {
    text: String,
    finish_reason: Option<Value>,
    usage: Option<Value>,
    is_chat: bool,
}

impl Accumulator {
    /// Adds the data of one event.
    ///
    /// ```
    /// let mut accumulator = kumquatdrum_caller::completion::Accumulator::default();
    /// accumulator.push(&br#"{"choices":[{"text":"7.1"}]}"#[..].into());
    /// assert_eq!(accumulator.finish("r1", "formula")["choices"][0]["text"], "7.1");
    /// ```
    pub fn push(&mut self, data: &Bytes) {
        let Ok(value) = serde_json::from_slice::<Value>(data) else {
            return;
        };
        let choice = &value["choices"][0];
        if let Some(text) = choice["text"].as_str() {
            self.text.push_str(text);
        }
        if choice["delta"].is_object() {
            self.is_chat = true;
            self.text
                .push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        }
        if choice["finish_reason"].is_string() {
            self.finish_reason = Some(choice["finish_reason"].clone());
        }
        if value["usage"].is_object() {
            self.usage = Some(value["usage"].clone());
        }
    }

    /// Returns the response body of the whole completion.
    pub fn finish(self, request: &str, model: &str) -> Value {
        let (object, part) = if self.is_chat {
            let message = json!({"role": "assistant", "content": self.text});
            ("chat.completion", ("message", message))
        } else {
            ("text_completion", ("text", Value::String(self.text)))
        };
        let mut choice = json!({"index": 0, "finish_reason": self.finish_reason});
        choice[part.0] = part.1;
        json!({
            "id": request,
            "object": object,
            "model": model,
            "choices": [choice],
            "usage": self.usage,
        })
    }
}
