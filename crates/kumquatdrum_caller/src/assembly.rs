//! Putting a streamed answer together for callers that want it in one piece.

use bytes::Bytes;
use serde_json::{Value, json};

/// The parts of an answer so far.
#[derive(Debug, Default)]
pub struct Assembly {
    text: String,
    finish: Option<Value>,
    usage: Option<Value>,
    chat: bool,
}

impl Assembly {
    /// Takes in one event's data.
    ///
    /// ```
    /// let mut assembly = kumquatdrum_caller::assembly::Assembly::default();
    /// assembly.push(&br#"{"choices":[{"text":"7.1"}]}"#[..].into());
    /// assert_eq!(assembly.answer("r1", "formula")["choices"][0]["text"], "7.1");
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
            self.chat = true;
            self.text
                .push_str(choice["delta"]["content"].as_str().unwrap_or_default());
        }
        if choice["finish_reason"].is_string() {
            self.finish = Some(choice["finish_reason"].clone());
        }
        if value["usage"].is_object() {
            self.usage = Some(value["usage"].clone());
        }
    }

    /// The whole answer.
    pub fn answer(self, request: &str, model: &str) -> Value {
        let (object, part) = if self.chat {
            let message = json!({"role": "assistant", "content": self.text});
            ("chat.completion", ("message", message))
        } else {
            ("text_completion", ("text", Value::String(self.text)))
        };
        let mut choice = json!({"index": 0, "finish_reason": self.finish});
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
