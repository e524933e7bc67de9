//! Reads and writes traces: JSON Lines with one request and its expected outcome per line.

use indexmap::IndexSet;
use kumquatdrum_types::Finding;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum prompt length of an entry.
const MAX_PROMPT_TOKENS: u64 = 16_000_000;
/// Maximum answer length of an entry.
const MAX_ANSWER_TOKENS: u32 = 1_000_000;

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Time to send, in milliseconds after the start of the trace.
    pub at_ms: u64,
    /// Workspace that sends the request.
    pub workspace: String,
    /// Name of the workspace's key; the replay is given the key itself.
    pub key: String,
    /// Requested service.
    pub service: String,
    /// HTTP method.
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
    /// Priority; lower values are served first.
    #[serde(default)]
    pub priority: u32,
    /// Deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be repeated.
    pub idempotent: bool,
    /// Caller's idempotency key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Line, counted from 0, of the earlier request that this entry resends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resend_of: Option<usize>,
    /// Name of the prefix that the prompt shares with all prompts of the same prefix name.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
    /// Length of the shared prefix, in tokens.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub prefix_tokens: u64,
    /// Expected outcome.
    #[serde(default)]
    pub expect: Expectation,
}

/// The outcomes that an entry permits. Crossed and late answers are always violations.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expectation {
    /// The complete answer.
    #[default]
    Finished,
    /// A refusal without a run.
    NotRun,
    /// The complete answer, or a refusal without a run.
    FinishedOrNotRun,
    /// A failure after a partial run.
    Failed,
    /// Any outcome within the deadline.
    Any,
}

/// The errors in an invalid trace.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the trace has {} findings", findings.len())]
pub struct Error {
    /// Invalid lines and their errors.
    pub findings: Vec<Finding>,
}

impl Entry {
    /// Returns whether the request goes to a plain service.
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

    /// Returns whether the request uses the chat interface.
    pub fn is_chat(&self) -> bool {
        self.path == "/v1/chat/completions"
    }
}

/// Reads a trace, and reports the errors of all lines at once.
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
                validate(index, &entry, &mut findings);
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

fn validate(index: usize, entry: &Entry, findings: &mut Vec<Finding>) {
    let mut report = |field: &str, message: &str| {
        findings.push(Finding::new(format!("/{index}/{field}"), message));
    };
    if !entry.path.starts_with('/') {
        report("path", "must begin with a slash");
    }
    if entry.is_completion() && entry.prompt_tokens == 0 {
        report("prompt_tokens", "must be at least 1");
    }
    if entry.prompt_tokens > MAX_PROMPT_TOKENS {
        report("prompt_tokens", "must be at most 16000000");
    }
    if entry.is_completion() && entry.max_tokens == 0 {
        report("max_tokens", "must be at least 1");
    }
    if entry.max_tokens > MAX_ANSWER_TOKENS {
        report("max_tokens", "must be at most 1000000");
    }
    if entry.deadline_ms == 0 {
        report("deadline_ms", "must be at least 1");
    }
    if entry.prefix_tokens > entry.prompt_tokens {
        report("prefix_tokens", "must be at most prompt_tokens");
    }
    if entry.resend_of.is_some_and(|earlier| earlier >= index) {
        report("resend_of", "must name an earlier line");
    }
}

/// Formats a trace as JSON Lines.
///
/// ```
/// use kumquatdrum_replay::{generator, trace};
/// let entries = kumquatdrum_replay::generate(&generator::Options::default());
/// assert_eq!(trace::read(&trace::write(&entries)).unwrap(), entries);
/// ```
pub fn write(entries: &[Entry]) -> String {
    entries.iter().fold(String::new(), |mut text, entry| {
        text.push_str(&serde_json::to_string(entry).expect("an entry can be serialised"));
        text.push('\n');
        text
    })
}

/// Returns the names of the keys that a trace uses, in order of first use.
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
