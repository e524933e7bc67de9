//! The engine protocol's messages.

use kumquatdrum_types::BootId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::model::{Event, Hold, Stage};
use crate::prompt;

/// Which of the two completion interfaces an attempt uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/completions`
    Text,
    /// `/v1/chat/completions`
    Chat,
}

impl Form {
    /// The event of one token.
    pub(super) fn token(self, id: &str, digest: &str, index: u32) -> String {
        let text = prompt::token(digest, index);
        let choice = match self {
            Self::Text => json!({"index": 0, "text": text}),
            Self::Chat => json!({"index": 0, "delta": {"content": text}}),
        };
        event(Some(index), &json!({"id": id, "choices": [choice]}))
    }

    /// The events of a whole answer's end.
    pub(super) fn end(self, id: &str, prompt_tokens: u64, tokens: u32) -> String {
        let choice = match self {
            Self::Text => json!({"index": 0, "text": "", "finish_reason": "stop"}),
            Self::Chat => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
        };
        let usage = json!({"prompt_tokens": prompt_tokens, "completion_tokens": tokens});
        let last = event(
            None,
            &json!({"id": id, "usage": usage, "choices": [choice]}),
        );
        format!("{last}data: [DONE]\n\n")
    }
}

/// The event of an answer that ends without being whole.
pub(super) fn failure(id: &str, state: Stage) -> String {
    let code = match state {
        Stage::Cancelled => "cancelled",
        _ => "deadline",
    };
    let error =
        json!({"code": code, "message": "the attempt has ended before its answer was whole"});
    event(None, &json!({"id": id, "error": error}))
}

fn event(index: Option<u32>, data: &Value) -> String {
    match index {
        Some(index) => format!("id: {index}\ndata: {data}\n\n"),
        None => format!("data: {data}\n\n"),
    }
}

/// An error body.
pub(super) fn error(code: &str, started: bool, message: &str) -> Value {
    json!({"error": {"code": code, "started": started, "message": message}})
}

/// An attempt as `GET /v1/attempts` shows it.
#[derive(Debug, Serialize)]
pub(super) struct AttemptState {
    pub(super) id: String,
    pub(super) boot: BootId,
    pub(super) state: Stage,
    pub(super) started: bool,
    pub(super) tokens: u32,
    pub(super) owner: String,
}

/// What an engine holds for an owner.
#[derive(Debug, Serialize)]
pub(super) struct Holdings {
    pub(super) boot: BootId,
    pub(super) attempts: Vec<AttemptState>,
    pub(super) reservations: Vec<Hold>,
    pub(super) kv: Vec<Hold>,
}

/// Cache events after a number.
#[derive(Debug, Serialize)]
pub(super) struct CacheEvents {
    pub(super) boot: BootId,
    /// The number of the last event published, also where it was lost.
    pub(super) last: u64,
    pub(super) events: Vec<Event>,
}

/// A memory reservation.
#[derive(Debug, Deserialize)]
pub(super) struct Reservation {
    pub(super) id: String,
    pub(super) owner: String,
    pub(super) tokens: u64,
    pub(super) ttl_ms: u64,
}
