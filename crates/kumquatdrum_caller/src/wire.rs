//! What callers write into the bodies of model requests.

use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

/// The longest prompt field is borrowed from the body, never copied.
#[derive(Debug, Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: std::borrow::Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default, borrow)]
    prompt: Option<&'a RawValue>,
    #[serde(default, borrow)]
    messages: Option<&'a RawValue>,
}

/// What the daemon needs to know of a model request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// The service's name.
    pub service: String,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// The most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// Where the prompt stands in the body.
    pub prompt: Range<usize>,
}

/// Why a body is no model request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Not JSON of the expected shape.
    #[error("{message} at line {line}, column {column}")]
    Json {
        /// What is wrong.
        message: String,
        /// The line, from 1.
        line: usize,
        /// The column, from 1.
        column: usize,
    },
    /// Neither `prompt` nor `messages`, or both.
    #[error("exactly one of `prompt` and `messages` is required")]
    Prompt,
}

/// Reads a model request's body.
///
/// ```
/// let body = br#"{"model": "formula", "prompt": "shade 7.1"}"#;
/// let model = kumquatdrum_caller::wire::model(body).unwrap();
/// assert_eq!(model.service, "formula");
/// assert_eq!(&body[model.prompt], br#""shade 7.1""#);
/// ```
pub fn model(body: &[u8]) -> Result<Model, Malformed> {
    let read: Body<'_> = serde_json::from_slice(body).map_err(|error| Malformed::Json {
        message: without_place(&error),
        line: error.line(),
        column: error.column(),
    })?;
    let prompt = match (read.prompt, read.messages) {
        (Some(prompt), None) | (None, Some(prompt)) => prompt.get(),
        _ => return Err(Malformed::Prompt),
    };
    let start = prompt.as_ptr() as usize - body.as_ptr() as usize;
    Ok(Model {
        service: read.model.into_owned(),
        stream: read.stream,
        max_tokens: read.max_tokens,
        prompt: start..start + prompt.len(),
    })
}

fn without_place(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
