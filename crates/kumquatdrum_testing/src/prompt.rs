//! Derives prompt text, prefix block names and answer tokens from a request.

use kumquatdrum_types::digest;
use serde_json::Value;

/// Bytes of prompt text that one block of the prefix cache covers.
pub const BLOCK_BYTES: usize = 1024;
/// Hexadecimal digits in the name of a prefix cache block.
pub const BLOCK_NAME_DIGITS: usize = 16;
/// Hexadecimal digits of the prompt's digest in each token of an answer.
pub const TOKEN_DIGEST_DIGITS: usize = 8;

/// Returns the prompt text of a request body: `prompt`, or the contents of `messages` joined by
/// line feeds; `None` if the body has neither.
///
/// ```
/// let body = serde_json::json!({"messages": [{"content": "a"}, {"content": "b"}]});
/// assert_eq!(kumquatdrum_testing::prompt::text(&body).as_deref(), Some("a\nb"));
/// ```
pub fn text(body: &Value) -> Option<String> {
    match (&body["prompt"], &body["messages"]) {
        (Value::String(prompt), _) => Some(prompt.clone()),
        (_, Value::Array(messages)) => Some(join(messages)),
        _ => None,
    }
}

fn join(messages: &[Value]) -> String {
    let contents: Vec<&str> = messages
        .iter()
        .filter_map(|message| message["content"].as_str())
        .collect();
    contents.join("\n")
}

/// Returns token `index` of the answer to the prompt with this digest.
///
/// ```
/// let digest = kumquatdrum_types::digest::hex(b"shade card");
/// assert!(kumquatdrum_testing::prompt::token(&digest, 3).starts_with("t3:"));
/// ```
pub fn token(prompt_digest: &str, index: u32) -> String {
    format!("t{index}:{} ", &prompt_digest[..TOKEN_DIGEST_DIGITS])
}

/// Returns the names of a prompt's complete blocks. Each name is the first digits of the SHA-256 of
/// the previous name followed by the block's bytes.
///
/// ```
/// use kumquatdrum_testing::prompt::{BLOCK_BYTES, blocks};
/// let text = "x".repeat(2 * BLOCK_BYTES + 1);
/// assert_eq!(blocks(&text).len(), 2);
/// assert_eq!(blocks(&text)[0], blocks(&text[..BLOCK_BYTES])[0]);
/// ```
pub fn blocks(text: &str) -> Vec<String> {
    let mut names: Vec<String> = Vec::with_capacity(text.len() / BLOCK_BYTES);
    for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
        let previous = names.last().map_or("", String::as_str);
        let chained = [previous.as_bytes(), block].concat();
        names.push(digest::hex(&chained)[..BLOCK_NAME_DIGITS].to_owned());
    }
    names
}
