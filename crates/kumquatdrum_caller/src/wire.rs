//! Parses the JSON bodies of model requests.

use std::ops::Range;

use serde::Deserialize;
use serde_json::value::RawValue;

/// Fields of the body that the daemon reads. The prompt is borrowed, since it may be large.
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

/// A parsed model request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of the service, from the field `model`.
    pub service: String,
    /// Whether the caller requests a streamed response.
    pub is_streamed: bool,
    /// Maximum number of output tokens.
    pub max_tokens: Option<u64>,
    /// Byte range of the prompt's JSON value in the body.
    pub prompt: Range<usize>,
}

/// Reason why a body is not a valid model request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is not valid JSON or has a field of the wrong type.
    #[error("{message} at line {line}, column {column}")]
    Json {
        /// Description of the error.
        message: String,
        /// Line number, starting at 1.
        line: usize,
        /// Column number, starting at 1.
        column: usize,
    },
    /// The body has both `prompt` and `messages`, or neither.
    #[error("exactly one of `prompt` and `messages` is required")]
    Prompt,
}

/// Parses the body of a model request.
///
/// ```
/// let body = br#"{"model": "formula", "prompt": "shade 7.1"}"#;
/// let request = kumquatdrum_caller::wire::parse(body).unwrap();
/// assert_eq!(request.service, "formula");
/// assert_eq!(&body[request.prompt], br#""shade 7.1""#);
/// ```
pub fn parse(body: &[u8]) -> Result<Request, Error> {
    let fields: Body<'_> = serde_json::from_slice(body).map_err(|error| Error::Json {
        message: message_without_position(&error),
        line: error.line(),
        column: error.column(),
    })?;
    let prompt = match (fields.prompt, fields.messages) {
        (Some(prompt), None) | (None, Some(prompt)) => prompt.get(),
        _ => return Err(Error::Prompt),
    };
    let start = prompt.as_ptr() as usize - body.as_ptr() as usize;
    Ok(Request {
        service: fields.model.into_owned(),
        is_streamed: fields.stream,
        max_tokens: fields.max_tokens,
        prompt: start..start + prompt.len(),
    })
}

/// Returns the error's message without its trailing line and column.
fn message_without_position(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rfind(" at line ") {
        Some(end) => text[..end].to_owned(),
        None => text,
    }
}
