//! Parses the headers and the body of a request of the engine protocol.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use kumquatdrum_types::{AttemptId, digest};
use rocket::data::{ByteUnit, Capped, Data};
use rocket::http::HeaderMap;
use rocket::request::{FromRequest, Outcome, Request};
use serde_json::Value;
use thiserror::Error;

use super::shared::Shared;
use crate::model;
use crate::prompt;

/// Deadline of a request that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3_600);
/// Length of the answer if the request states none.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Bytes counted as one token if the request doesn't state the length of its prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// Headers and remote address of a call.
pub(super) struct Headers<'r> {
    map: &'r HeaderMap<'r>,
    pub(super) remote: Option<SocketAddr>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers<'r> {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self {
            map: request.headers(),
            remote: request.remote(),
        })
    }
}

impl Headers<'_> {
    fn text(&self, name: &str) -> Option<String> {
        self.map.get_one(name).map(str::to_owned)
    }

    fn number<T: FromStr>(&self, name: &'static str) -> Result<Option<T>, Error> {
        let parsed = self.map.get_one(name).map(str::parse).transpose();
        parsed.map_err(|_| Error::InvalidNumber(name))
    }
}

/// Reason why a request is malformed.
#[derive(Debug, Error)]
pub(super) enum Error {
    #[error("the header {0} is not a number in range")]
    InvalidNumber(&'static str),
    #[error("the header x-attempt-id is missing")]
    MissingAttemptId,
    #[error("the body is broken off or exceeds the limit")]
    IncompleteBody,
    #[error("the body is not JSON with a prompt or messages")]
    MissingPrompt,
}

/// Reads and parses a request.
pub(super) async fn read(
    headers: &Headers<'_>,
    body: Data<'_>,
    engine: &Shared,
) -> Result<model::Request, Error> {
    let id = headers
        .text("x-attempt-id")
        .ok_or(Error::MissingAttemptId)?;
    let remaining = headers.number::<u64>("x-deadline-ms")?;
    let remaining = remaining.map_or(DEFAULT_DEADLINE, Duration::from_millis);
    let deadline = engine.now() + remaining;
    let bytes = body
        .open(ByteUnit::Byte(engine.options.body_limit))
        .into_bytes()
        .await
        .ok()
        .filter(Capped::is_complete)
        .ok_or(Error::IncompleteBody)?;
    // Hashing a long prompt takes milliseconds and would block the server's threads.
    let parsed = tokio::task::spawn_blocking(move || Prompt::parse(&bytes)).await;
    let prompt = parsed.ok().flatten().ok_or(Error::MissingPrompt)?;
    let stated_tokens = headers.number::<u64>("x-prompt-tokens")?;
    Ok(model::Request {
        id: AttemptId::new(id),
        owner: headers.text("x-owner").unwrap_or_default(),
        counter: headers.number("x-owner-attempt")?.unwrap_or_default(),
        priority: headers.number("x-priority")?.unwrap_or_default(),
        deadline,
        prompt_tokens: stated_tokens.unwrap_or(prompt.tokens).max(1),
        max_tokens: prompt.max_tokens,
        digest: prompt.digest,
        blocks: prompt.blocks,
        reservation: headers.text("x-reservation"),
    })
}

/// The parsed body of a request.
struct Prompt {
    tokens: u64,
    max_tokens: u32,
    digest: String,
    blocks: Vec<String>,
}

impl Prompt {
    fn parse(body: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let text = prompt::text(&value)?;
        let max_tokens = value["max_tokens"].as_u64().unwrap_or(DEFAULT_MAX_TOKENS);
        Some(Self {
            tokens: text.len() as u64 / BYTES_PER_TOKEN,
            max_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX).max(1),
            digest: digest::hex(text.as_bytes()),
            blocks: prompt::blocks(&text),
        })
    }
}
