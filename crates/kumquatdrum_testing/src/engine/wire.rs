//! Messages of the engine protocol.

use kumquatdrum_types::BootId;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::model::{Event, Hold, Stage};
use crate::prompt;

/// The completion interface that an attempt uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`
    Text,
    /// `/v1/chat/completions`
    Chat,
}

impl Api {
    /// Renders the event of one token.
    pub(super) fn token(self, id: &str, digest: &str, index: u32) -> String {
        let text = prompt::token(digest, index);
        let choice = match self {
            Self::Text => json!({"index": 0, "text": text}),
            Self::Chat => json!({"index": 0, "delta": {"content": text}}),
        };
        event(Some(index), &json!({"id": id, "choices": [choice]}))
    }

    /// Renders the events that end a complete answer.
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

/// Renders the event that ends an incomplete answer.
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

/// Builds an error body.
pub(super) fn error(code: &str, started: bool, message: &str) -> Value {
    json!({"error": {"code": code, "started": started, "message": message}})
}

/// An attempt as `GET /v1/attempts` returns it.
#[derive(Debug, Serialize)]
pub(super) struct AttemptState {
    pub(super) id: String,
    pub(super) boot: BootId,
    pub(super) state: Stage,
    pub(super) started: bool,
    pub(super) tokens: u32,
    pub(super) owner: String,
}

/// Attempts and memory that an engine holds for an owner.
#[derive(Debug, Serialize)]
pub(super) struct Holdings {
    pub(super) boot: BootId,
    pub(super) attempts: Vec<AttemptState>,
    pub(super) reservations: Vec<Hold>,
    pub(super) kv: Vec<Hold>,
}

/// Response of `GET /v1/cache/events`.
#[derive(Debug, Serialize)]
pub(super) struct CacheEvents {
    pub(super) boot: BootId,
    /// Number of the last published event, even if that event was dropped.
    pub(super) last: u64,
    pub(super) events: Vec<Event>,
}

/// Body of `POST /v1/reservations`.
#[derive(Debug, Deserialize)]
pub(super) struct Reservation {
    pub(super) id: String,
    pub(super) owner: String,
    pub(super) tokens: u64,
    pub(super) ttl_ms: u64,
}
