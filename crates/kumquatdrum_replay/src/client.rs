//! A caller: sends one request, reads its answer and says how it ended.

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

/// How long an answer is awaited beyond its deadline.
const PATIENCE: Duration = Duration::from_secs(5);

/// Codes of what the caller itself finds.
mod code {
    pub(super) const BROKEN: &str = "client_connection_broken";
    pub(super) const CONNECT: &str = "client_cannot_connect";
    pub(super) const CROSSED: &str = "client_crossed_answer";
    pub(super) const CUT: &str = "client_no_end_marker";
    pub(super) const NO_ANSWER: &str = "client_no_answer";
    pub(super) const WRONG_TEXT: &str = "client_wrong_text";
}

/// A request that is ready to be sent.
#[derive(Debug, Clone)]
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Bytes,
    timeout: Duration,
    answer: Answer,
    identity: Identity,
}

/// By what a stand-in counts a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// The SHA-256 of the prompt.
    Digest(String),
    /// The test key of a call of a plain service.
    Key(String),
}

/// What the whole answer must be.
#[derive(Debug, Clone)]
enum Answer {
    /// The text of a stream.
    Text(String),
    /// An echo whose path contains this text.
    Echo(String),
}

/// To whom a request goes, and as what.
#[derive(Debug, Clone)]
pub struct Route<'a> {
    /// Where.
    pub target: SocketAddr,
    /// The workspace's key; none for a request straight to an engine.
    pub bearer: Option<&'a str>,
    /// What tells this request from every other one.
    pub name: &'a str,
    /// What tells this replay from every other one.
    pub run: &'a str,
    /// How long the prompt is.
    pub size: Size,
}

impl Request {
    /// Makes the request of an entry. Long prompts take milliseconds to make.
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
            Self::call(entry, route)
        } else {
            Self::completion(entry, route)
        };
        request.common_headers(entry, route);
        request
    }

    fn completion(entry: &Entry, route: &Route<'_>) -> Self {
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
        set(&mut headers, "x-prompt-tokens", &tokens.to_string());
        Self {
            method: Method::POST,
            url: format!("http://{}{}", route.target, entry.path),
            headers,
            body: Bytes::from(body.to_string()),
            timeout: Duration::ZERO,
            answer: Answer::Text(prompt::answer(&digest, entry.max_tokens)),
            identity: Identity::Digest(digest),
        }
    }

    fn call(entry: &Entry, route: &Route<'_>) -> Self {
        let mark = format!("request={}", route.name);
        let method = Method::from_bytes(entry.method.as_bytes()).unwrap_or(Method::POST);
        let body = match method {
            Method::GET | Method::HEAD => Bytes::new(),
            _ => Bytes::from(json!({"test_key": route.name}).to_string()),
        };
        let mut headers = HeaderMap::new();
        set(&mut headers, "x-test-key", route.name);
        let (service, path) = (&entry.service, &entry.path);
        Self {
            method,
            url: format!("http://{}/services/{service}{path}?{mark}", route.target),
            headers,
            body,
            timeout: Duration::ZERO,
            answer: Answer::Echo(mark),
            identity: Identity::Key(route.name.to_owned()),
        }
    }

    fn common_headers(&mut self, entry: &Entry, route: &Route<'_>) {
        self.timeout = Duration::from_millis(entry.deadline_ms) + PATIENCE;
        let headers = &mut self.headers;
        set(headers, "content-type", "application/json");
        set(headers, "x-deadline-ms", &entry.deadline_ms.to_string());
        set(headers, "x-priority", &entry.priority.to_string());
        set(headers, "x-idempotent", &entry.idempotent.to_string());
        if let Some(key) = &entry.idempotency_key {
            set(headers, "idempotency-key", &format!("{}-{key}", route.run));
        }
        if let Some(key) = route.bearer {
            set(headers, "authorization", &format!("Bearer {key}"));
        } else {
            set(headers, "x-attempt-id", route.name);
        }
    }

    /// By what a stand-in counts it.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }
}

/// Sets a header; a value that no header can hold is left out, for the system to complain about.
fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// An error body of the system.
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

/// How an answer ended, without its times.
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

    fn found(outcome: Outcome, code: &str) -> Self {
        Self {
            outcome,
            code: Some(code.to_owned()),
            retry_after: None,
        }
    }

    /// An error without a class leaves open what became of the request.
    fn told(detail: Detail) -> Self {
        Self {
            outcome: detail.class.map_or(Outcome::Unknown, Outcome::from),
            code: detail.code,
            retry_after: detail.retry_after_ms.map(Duration::from_millis),
        }
    }

    /// A request whose connection failed before any of its answer came.
    fn unanswered(error: &reqwest::Error) -> Self {
        match error {
            error if error.is_connect() => Self::found(Outcome::NotRun, code::CONNECT),
            error if error.is_timeout() => Self::found(Outcome::Unknown, code::NO_ANSWER),
            _ => Self::found(Outcome::Unknown, code::BROKEN),
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
        Err(error) => End::unanswered(&error),
        Ok(answer) if !answer.status().is_success() => refused(answer).await,
        Ok(answer) => match &request.answer {
            Answer::Echo(mark) => {
                first_token = Some(start.elapsed());
                echoed(answer, mark).await
            }
            Answer::Text(text) => {
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

async fn refused(answer: Response) -> End {
    let status = answer.status();
    let header = retry_after(&answer);
    let mut end = match answer.json::<Failure>().await {
        Ok(failure) => End::told(failure.error),
        Err(_) => End::found(Outcome::Unknown, &unexplained(status)),
    };
    end.retry_after = end.retry_after.or(header);
    end
}

fn unexplained(status: StatusCode) -> String {
    format!("client_status_{}", status.as_u16())
}

fn retry_after(answer: &Response) -> Option<Duration> {
    let value = answer.headers().get(RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}

async fn echoed(answer: Response, mark: &str) -> End {
    let echo: Value = match answer.json().await {
        Ok(echo) => echo,
        Err(_) => return End::found(Outcome::Failed, code::BROKEN),
    };
    let path = echo["path"].as_str().unwrap_or_default();
    if path.ends_with(mark) {
        End::finished()
    } else {
        End::found(Outcome::Crossed, code::CROSSED)
    }
}

/// The stream of one answer.
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
                Err(error) if error.is_timeout() => return self.partial(code::NO_ANSWER),
                Err(_) => return self.partial(code::BROKEN),
            };
            let ended = parser.push(&bytes).iter().find_map(|data| self.take(data));
            if let Some(end) = ended {
                return end;
            }
        }
        self.partial(code::CUT)
    }

    /// Takes one event; the end of the answer where this is it.
    fn take(&mut self, data: &str) -> Option<End> {
        if data == END_MARKER {
            return Some(self.whole());
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if event["error"].is_object() {
            let failure = serde_json::from_value::<Failure>(event).ok();
            return Some(
                failure.map_or_else(|| self.partial(code::CUT), |told| End::told(told.error)),
            );
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

    fn whole(&self) -> End {
        match self.text.as_str() {
            text if text == self.expected => End::finished(),
            text if self.is_foreign(text) => End::found(Outcome::Crossed, code::CROSSED),
            _ => End::found(Outcome::Crossed, code::WRONG_TEXT),
        }
    }

    /// An answer that isn't whole: it failed, unless what came of it isn't this request's.
    fn partial(&self, code: &str) -> End {
        if self.expected.starts_with(&self.text) {
            End::found(Outcome::Failed, code)
        } else {
            End::found(Outcome::Crossed, code::CROSSED)
        }
    }

    /// Whether some token bears another prompt's digest.
    fn is_foreign(&self, text: &str) -> bool {
        let digits = |token: &str| token.split_once(':').map(|(_, digits)| digits.to_owned());
        let own = self.expected.split_whitespace().next().and_then(digits);
        text.split_whitespace().any(|token| digits(token) != own)
    }
}
