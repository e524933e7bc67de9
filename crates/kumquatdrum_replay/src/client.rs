//! A client that sends one request, reads the answer and classifies the outcome.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use kumquatdrum_types::FailureClass;
use reqwest::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use reqwest::{Method, Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::outcome::{Observation, Outcome};
use crate::prompt::{self, Size};
use crate::sse::{END_MARKER, Parser};
use crate::trace::Entry;

/// Time to wait for an answer beyond its deadline.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Error codes for failures detected by the client.
mod code {
    pub(super) const BROKEN: &str = "client_connection_broken";
    pub(super) const CONNECT: &str = "client_cannot_connect";
    pub(super) const CROSSED: &str = "client_crossed_answer";
    pub(super) const NO_END_MARKER: &str = "client_no_end_marker";
    pub(super) const NO_ANSWER: &str = "client_no_answer";
    pub(super) const WRONG_TEXT: &str = "client_wrong_text";
}

/// A request ready to be sent.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Bytes,
    timeout: Duration,
    expected: Expected,
    identity: Identity,
}

/// The key by which a stand-in counts a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// SHA-256 of the prompt.
    Digest(String),
    /// Test key of a call to a plain service.
    Key(String),
}

/// Expected content of the answer.
#[derive(Debug, Clone)]
enum Expected {
    /// Text of a stream.
    Text(String),
    /// Text at the end of the path in an echo.
    Echo(String),
}

/// Target and parameters of a request.
#[derive(Debug, Clone)]
pub struct Route<'a> {
    /// Address to send to.
    pub target: SocketAddr,
    /// Workspace's key; `None` for a request straight to an engine.
    pub bearer: Option<&'a str>,
    /// Unique name of the request.
    pub name: &'a str,
    /// Unique name of the replay.
    pub run: &'a str,
    /// Scale of the prompt.
    pub size: Size,
}

impl Request {
    /// Builds the request of an entry, which takes milliseconds for a long prompt.
    ///
    /// ```
    /// use kumquatdrum_replay::client::{Request, Route};
    /// let entry = &kumquatdrum_replay::generate(&Default::default())[0];
    /// let route = Route {
    ///     target: ([127, 0, 0, 1], 7100).into(),
    ///     bearer: Some("key"),
    ///     name: "run-1-0",
    ///     run: "run-1",
    ///     size: Default::default(),
    /// };
    /// let request = Request::new(entry, &route);
    /// ```
    pub fn new(entry: &Entry, route: &Route<'_>) -> Self {
        let mut request = if entry.is_plain() {
            Self::for_call(entry, route)
        } else {
            Self::for_completion(entry, route)
        };
        request.set_common_headers(entry, route);
        request
    }

    fn for_completion(entry: &Entry, route: &Route<'_>) -> Self {
        let text = prompt::text(entry, route.name, route.size);
        let digest = prompt::digest(&text);
        let mut body = json!({
            "model": entry.service,
            "max_tokens": entry.max_tokens,
            "stream": true,
        });
        if entry.is_chat() {
            body["messages"] = json!([{"role": "user", "content": text}]);
        } else {
            body["prompt"] = Value::String(text);
        }
        let tokens = route.size.tokens(entry.prompt_tokens);
        let mut headers = HeaderMap::new();
        set_header(&mut headers, "x-prompt-tokens", &tokens.to_string());
        Self {
            method: Method::POST,
            url: format!("http://{}{}", route.target, entry.path),
            headers,
            body: Bytes::from(body.to_string()),
            timeout: Duration::ZERO,
            expected: Expected::Text(prompt::answer(&digest, entry.max_tokens)),
            identity: Identity::Digest(digest),
        }
    }

    fn for_call(entry: &Entry, route: &Route<'_>) -> Self {
        let marker = format!("request={}", route.name);
        let method = Method::from_bytes(entry.method.as_bytes()).unwrap_or(Method::POST);
        let body = match method {
            Method::GET | Method::HEAD => Bytes::new(),
            _ => Bytes::from(json!({"test_key": route.name}).to_string()),
        };
        let mut headers = HeaderMap::new();
        set_header(&mut headers, "x-test-key", route.name);
        let (service, path) = (&entry.service, &entry.path);
        Self {
            method,
            url: format!("http://{}/services/{service}{path}?{marker}", route.target),
            headers,
            body,
            timeout: Duration::ZERO,
            expected: Expected::Echo(marker),
            identity: Identity::Key(route.name.to_owned()),
        }
    }

    fn set_common_headers(&mut self, entry: &Entry, route: &Route<'_>) {
        self.timeout = Duration::from_millis(entry.deadline_ms) + ANSWER_GRACE;
        let headers = &mut self.headers;
        set_header(headers, "content-type", "application/json");
        set_header(headers, "x-deadline-ms", &entry.deadline_ms.to_string());
        set_header(headers, "x-priority", &entry.priority.to_string());
        set_header(headers, "x-idempotent", &entry.idempotent.to_string());
        if let Some(key) = &entry.idempotency_key {
            set_header(headers, "idempotency-key", &format!("{}-{key}", route.run));
        }
        if let Some(key) = route.bearer {
            set_header(headers, "authorization", &format!("Bearer {key}"));
        } else {
            set_header(headers, "x-attempt-id", route.name);
        }
    }

    /// Returns the key by which a stand-in counts the request.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

/// Sets a header; a value that isn't valid in a header is omitted.
fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Error body of a response.
#[derive(Debug, Deserialize)]
struct Failure {
    error: Detail,
}

#[derive(Debug, Deserialize)]
struct Detail {
    code: Option<String>,
    class: Option<FailureClass>,
    retry_after_ms: Option<u64>,
}

/// Outcome of an answer, without its latencies.
#[derive(Debug)]
struct End {
    outcome: Outcome,
    code: Option<String>,
    retry_after: Option<Duration>,
}

impl End {
    fn finished() -> Self {
        Self {
            outcome: Outcome::Finished,
            code: None,
            retry_after: None,
        }
    }

    fn with_code(outcome: Outcome, code: &str) -> Self {
        Self {
            outcome,
            code: Some(code.to_owned()),
            retry_after: None,
        }
    }

    /// Classifies an error of the system; without a class the outcome is unknown.
    fn from_detail(detail: Detail) -> Self {
        Self {
            outcome: detail.class.map_or(Outcome::Unknown, Outcome::from),
            code: detail.code,
            retry_after: detail.retry_after_ms.map(Duration::from_millis),
        }
    }

    /// Classifies a connection failure before the response.
    fn from_transport_error(error: &reqwest::Error) -> Self {
        match error {
            error if error.is_connect() => Self::with_code(Outcome::NotRun, code::CONNECT),
            error if error.is_timeout() => Self::with_code(Outcome::Unknown, code::NO_ANSWER),
            _ => Self::with_code(Outcome::Unknown, code::BROKEN),
        }
    }
}

/// Sends a request and reads its answer to the end.
pub async fn send(http: &reqwest::Client, request: &Request) -> Observation {
    let start = Instant::now();
    let mut first_token = None;
    let sent = http
        .request(request.method.clone(), &request.url)
        .headers(request.headers.clone())
        .body(request.body.clone())
        .timeout(request.timeout)
        .send()
        .await;
    let end = match sent {
        Err(error) => End::from_transport_error(&error),
        Ok(answer) if !answer.status().is_success() => read_error(answer).await,
        Ok(answer) => match &request.expected {
            Expected::Echo(marker) => {
                first_token = Some(start.elapsed());
                read_echo(answer, marker).await
            }
            Expected::Text(text) => {
                let mut stream = Stream::new(text);
                let end = stream.read(answer).await;
                first_token = stream.first_token.map(|at| at - start);
                end
            }
        },
    };
    Observation {
        outcome: end.outcome,
        code: end.code,
        retry_after: end.retry_after,
        first_token,
        total: start.elapsed(),
    }
}

/// Reads a response with an error status.
async fn read_error(answer: Response) -> End {
    let status = answer.status();
    let header = retry_after(&answer);
    let mut end = match answer.json::<Failure>().await {
        Ok(failure) => End::from_detail(failure.error),
        Err(_) => End::with_code(Outcome::Unknown, &error_code(status)),
    };
    end.retry_after = end.retry_after.or(header);
    end
}

/// Returns the error code of a response whose body isn't an error of the system.
fn error_code(status: StatusCode) -> String {
    format!("client_status_{}", status.as_u16())
}

fn retry_after(answer: &Response) -> Option<Duration> {
    let value = answer.headers().get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

/// Reads the echo of a plain service.
async fn read_echo(answer: Response, marker: &str) -> End {
    let echo: Value = match answer.json().await {
        Ok(echo) => echo,
        Err(_) => return End::with_code(Outcome::Failed, code::BROKEN),
    };
    let path = echo["path"].as_str().unwrap_or_default();
    if path.ends_with(marker) {
        End::finished()
    } else {
        End::with_code(Outcome::Crossed, code::CROSSED)
    }
}

/// Reads the stream of one answer.
struct Stream<'a> {
    expected: &'a str,
    text: String,
    first_token: Option<Instant>,
}

impl<'a> Stream<'a> {
    fn new(expected: &'a str) -> Self {
        Self {
            expected,
            text: String::with_capacity(expected.len()),
            first_token: None,
        }
    }

    async fn read(&mut self, answer: Response) -> End {
        let mut parser = Parser::default();
        let mut body = answer.bytes_stream();
        while let Some(bytes) = body.next().await {
            let bytes = match bytes {
                Ok(bytes) => bytes,
                Err(error) if error.is_timeout() => {
                    return self.classify_incomplete(code::NO_ANSWER);
                }
                Err(_) => return self.classify_incomplete(code::BROKEN),
            };
            let end = parser
                .push(&bytes)
                .iter()
                .find_map(|data| self.handle_event(data));
            if let Some(end) = end {
                return end;
            }
        }
        self.classify_incomplete(code::NO_END_MARKER)
    }

    /// Handles the data of one event; returns the end of the answer if this event ends it.
    fn handle_event(&mut self, data: &str) -> Option<End> {
        if data == END_MARKER {
            return Some(self.classify_complete());
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            let failure = serde_json::from_value::<Failure>(event).ok();
            return Some(failure.map_or_else(
                || self.classify_incomplete(code::NO_END_MARKER),
                |failure| End::from_detail(failure.error),
            ));
        }
        let choice = &event["choices"][0];
        let text = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str())
            .unwrap_or_default();
        if !text.is_empty() {
            self.first_token.get_or_insert_with(Instant::now);
            self.text.push_str(text);
        }
        None
    }

    /// Classifies a complete answer.
    fn classify_complete(&self) -> End {
        match self.text.as_str() {
            text if text == self.expected => End::finished(),
            text if self.has_foreign_token(text) => End::with_code(Outcome::Crossed, code::CROSSED),
            _ => End::with_code(Outcome::Crossed, code::WRONG_TEXT),
        }
    }

    /// Classifies an incomplete answer, which failed unless it contains another request's text.
    fn classify_incomplete(&self, code: &str) -> End {
        if self.expected.starts_with(&self.text) {
            End::with_code(Outcome::Failed, code)
        } else {
            End::with_code(Outcome::Crossed, code::CROSSED)
        }
    }

    /// Returns whether a token contains the digest of another prompt.
    fn has_foreign_token(&self, text: &str) -> bool {
        let digits = |token: &str| token.split_once(':').map(|(_, digits)| digits.to_owned());
        let own = self.expected.split_whitespace().next().and_then(digits);
        text.split_whitespace().any(|token| digits(token) != own)
    }
}
