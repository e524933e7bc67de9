//! Responses of the callers' routes as rocket responders.

use std::io::Cursor;

use bytes::Bytes;
use futures::Stream;
use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::stream::ByteStream;
use rocket::response::{Responder, Response, Result};
use serde_json::json;

use crate::admission::Problem;

/// A response with a streamed body.
pub struct Streamed<S> {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Request id, sent in the `x-request-id` header.
    pub request: String,
    /// Body chunks.
    pub chunks: S,
}

/// A response whose whole body is in memory.
#[derive(Debug)]
pub struct Buffered {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Request id, sent in the `x-request-id` header.
    pub request: Option<String>,
    /// Time until the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Body.
    pub body: Bytes,
}

impl Buffered {
    /// Creates an error response. The body of an error relayed from an endpoint stays unchanged.
    pub fn problem(problem: &Problem) -> Self {
        let body = match &problem.relayed {
            Some(body) => body.clone(),
            None => Bytes::from(json!({ "error": problem }).to_string()),
        };
        Self {
            status: problem.status,
            content_type: Some("application/json".to_owned()),
            request: problem.request.as_ref().map(ToString::to_string),
            retry_after_ms: problem.retry_after_ms,
            body,
        }
    }

    /// Creates a JSON response.
    pub fn json(status: u16, request: Option<String>, body: &impl serde::Serialize) -> Self {
        Self {
            status,
            content_type: Some("application/json".to_owned()),
            request,
            retry_after_ms: None,
            body: serde_json::to_vec(body).unwrap_or_default().into(),
        }
    }
}

fn content_type(text: Option<&String>) -> ContentType {
    text.and_then(|text| ContentType::parse_flexible(text))
        .unwrap_or(ContentType::Binary)
}

impl<'r, S> Responder<'r, 'r> for Streamed<S>
where
    S: Send + 'r + Stream<Item = Bytes>,
{
    fn respond_to(self, request: &'r Request<'_>) -> Result<'r> {
        let mut response = ByteStream(self.chunks).respond_to(request)?;
        response.set_status(Status::new(self.status));
        response.set_header(content_type(self.content_type.as_ref()));
        response.set_header(Header::new("cache-control", "no-store"));
        response.set_header(Header::new("x-request-id", self.request));
        Ok(response)
    }
}

impl<'r> Responder<'r, 'static> for Buffered {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let mut builder = Response::build();
        builder
            .status(Status::new(self.status))
            .header(content_type(self.content_type.as_ref()))
            .sized_body(self.body.len(), Cursor::new(self.body));
        if let Some(request) = self.request {
            builder.header(Header::new("x-request-id", request));
        }
        if let Some(wait) = self.retry_after_ms {
            let seconds = wait.div_ceil(1_000).max(1);
            builder.header(Header::new("retry-after", seconds.to_string()));
        }
        Ok(builder.finalize())
    }
}
