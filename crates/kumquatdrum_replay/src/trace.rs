//! Traces: JSON Lines, one request a line, each with its stated outcome.

use indexmap::IndexSet;
use kumquatdrum_types::Finding;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The longest prompt that a trace may state, in tokens.
const PROMPT_LIMIT: u64 = 16_000_000;
/// The longest answer that a trace may state, in tokens.
const ANSWER_LIMIT: u32 = 1_000_000;

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// When it is sent, in milliseconds after the trace's start.
    pub at_ms: u64,
    /// The workspace that asks.
    pub workspace: String,
    /// The name of the workspace's key; the key itself is handed to the replay.
    pub key: String,
    /// The service that is asked.
    pub service: String,
    /// The HTTP method.
    #[serde(default = "post", skip_serializing_if = "is_post")]
    pub method: String,
    /// `/v1/completions`, `/v1/chat/completions`, or a path of a plain service.
    pub path: String,
    /// Length of the prompt, in tokens; 0 for plain services.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens; 0 for plain services.
    #[serde(default)]
    pub max_tokens: u32,
    /// Lower goes first.
    #[serde(default)]
    pub priority: u32,
    /// Time that the request may take.
    pub deadline_ms: u64,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// The caller's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// The line, from 0, of the earlier request that this one sends again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resend_of: Option<usize>,
    /// The name of the text with which the prompt begins, shared by all prompts that name it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Length of the shared beginning, in tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u64,
    /// The stated outcome.
    #[serde(default)]
    pub expect: Expectation,
}

/// What a request's outcome may be. A crossed or late answer meets no expectation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// The whole answer.
    #[default]
    Finished,
    /// A refusal, with nothing run.
    NotRun,
    /// Either of these two.
    FinishedOrNotRun,
    /// A failure, for instance where the trace kills what serves it.
    Failed,
    /// Any answer, as long as it comes in time.
    Any,
}

/// A trace that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the trace has {} findings", findings.len())]
pub struct Error {
    /// Each line that is wrong, and what is wrong there.
    pub findings: Vec<Finding>,
}

impl Entry {
    /// Whether a plain service is asked.
    ///
    /// ```
    /// let line = r#"{"at_ms":0,"workspace":"salon-01","key":"salon-01","service":"salon-api",
    ///     "path":"/orders","deadline_ms":1000,"idempotent":false}"#;
    /// let trace = kumquatdrum_replay::trace::read(&line.replace('\n', "")).unwrap();
    /// assert!(trace[0].is_plain());
    /// ```
    pub fn is_plain(&self) -> bool {
        !self.is_completion()
    }

    fn is_completion(&self) -> bool {
        self.path == "/v1/completions" || self.is_chat()
    }

    /// Whether the chat interface is used.
    pub fn is_chat(&self) -> bool {
        self.path == "/v1/chat/completions"
    }
}

/// Reads a trace; all that is wrong is reported at once, each with its line.
///
/// ```
/// let error = kumquatdrum_replay::trace::read("{}\n[]\n").unwrap_err();
/// assert_eq!(error.findings[1].place, "/1");
/// ```
pub fn read(text: &str) -> Result<Vec<Entry>, Error> {
    let mut entries = Vec::new();
    let mut findings = Vec::new();
    for (index, line) in text.lines().enumerate() {
        match serde_json::from_str::<Entry>(line) {
            Ok(entry) => {
                check(index, &entry, &mut findings);
                entries.push(entry);
            }
            Err(error) => findings.push(Finding::new(format!("/{index}"), error.to_string())),
        }
    }
    if findings.is_empty() {
        Ok(entries)
    } else {
        Err(Error { findings })
    }
}

fn check(index: usize, entry: &Entry, findings: &mut Vec<Finding>) {
    let mut find = |field: &str, message: &str| {
        findings.push(Finding::new(format!("/{index}/{field}"), message));
    };
    if !entry.path.starts_with('/') {
        find("path", "must begin with a slash");
    }
    if entry.is_completion() && entry.prompt_tokens == 0 {
        find("prompt_tokens", "must be at least 1");
    }
    if entry.prompt_tokens > PROMPT_LIMIT {
        find("prompt_tokens", "must be at most 16000000");
    }
    if entry.is_completion() && entry.max_tokens == 0 {
        find("max_tokens", "must be at least 1");
    }
    if entry.max_tokens > ANSWER_LIMIT {
        find("max_tokens", "must be at most 1000000");
    }
    if entry.deadline_ms == 0 {
        find("deadline_ms", "must be at least 1");
    }
    if entry.prefix_tokens > entry.prompt_tokens {
        find("prefix_tokens", "must be at most prompt_tokens");
    }
    if entry.resend_of.is_some_and(|earlier| earlier >= index) {
        find("resend_of", "must name an earlier line");
    }
}

/// Writes a trace.
///
/// ```
/// use kumquatdrum_replay::{generator, trace};
/// let entries = kumquatdrum_replay::generate(&generator::Options::default());
/// assert_eq!(trace::read(&trace::write(&entries)).unwrap(), entries);
/// ```
pub fn write(entries: &[Entry]) -> String {
    entries.iter().fold(String::new(), |mut text, entry| {
        text.push_str(&serde_json::to_string(entry).expect("an entry is always JSON"));
        text.push('\n');
        text
    })
}

/// The names of the keys that a trace uses, in the order of their first use.
pub fn key_names(entries: &[Entry]) -> IndexSet<&str> {
    entries.iter().map(|entry| entry.key.as_str()).collect()
}

fn post() -> String {
    "POST".to_owned()
}

fn is_post(method: &String) -> bool {
    method == "POST"
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_zero(number: &u64) -> bool {
    *number == 0
}
