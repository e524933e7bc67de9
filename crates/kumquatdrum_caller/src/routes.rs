//! Routes of the callers' listener.
//!
//! A streamed response starts with the first token, or after [`FIRST_TOKEN_TIMEOUT`] without one.
//! Comments then keep the connection alive. Sending them detects a disconnected caller, which
//! rocket does not report while a stream is idle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, Stream, StreamExt};
use rocket::data::Data;
use rocket::http::Method;
use rocket::request::Request;
use rocket::response::Responder;
use rocket::route::{Handler, Outcome, Route};
use serde_json::json;
use tokio::time::timeout;

use crate::admission::{Admission, Caller, Exchange, Problem, Reply, Submission};
use crate::body;
use crate::completion::Accumulator;
use crate::response::{Buffered, Streamed};
use crate::wire;
use kumquatdrum_types::{Refusal, WorkspaceName};

/// Maximum time that the head of a streamed response is delayed for the first token.
pub const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval of comments on an idle stream, and of checks whether a caller is still connected.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

const KEEP_ALIVE_COMMENT: &[u8] = b": waiting\n\n";
const END_EVENT: &[u8] = b"data: [DONE]\n\n";
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Head,
    Method::Options,
];
/// Request headers that are not forwarded: they are meant for the daemon or for one connection.
const CONSUMED: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-deadline-ms",
    "x-idempotent",
    "x-priority",
    "x-prompt-tokens",
];
/// Headers towards endpoints that only daemons may set.
const RESERVED: [&str; 5] = [
    "x-attempt-id",
    "x-reservation",
    "x-owner",
    "x-owner-attempt",
    "x-request-id",
];

/// Returns all routes of the callers' listener.
pub fn all(admission: Arc<dyn Admission>) -> Vec<Route> {
    let models = Models(admission.clone());
    let mut routes = vec![
        Route::new(Method::Post, "/v1/completions", models.clone()),
        Route::new(Method::Post, "/v1/chat/completions", models),
        Route::new(Method::Get, "/v1/keys/<key>", Keys(admission.clone())),
    ];
    for method in METHODS {
        let services = Services(admission.clone());
        routes.push(Route::new(method, "/services/<service>/<path..>", services));
    }
    routes
}

#[derive(Clone)]
struct Models(Arc<dyn Admission>);

#[derive(Clone)]
struct Services(Arc<dyn Admission>);

#[derive(Clone)]
struct Keys(Arc<dyn Admission>);

/// The idempotency key of a request with its workspace, or `None` if the request has no key.
struct Key(Option<(WorkspaceName, String)>);

impl Key {
    fn new(caller: &Caller, submission: &Submission) -> Self {
        let key = submission.key.clone();
        Self(key.map(|key| (caller.workspace.clone(), key)))
    }

    /// Returns the problem to report for a refused request.
    async fn resolve(self, admission: &Arc<dyn Admission>, refusal: Problem) -> Problem {
        match self.0 {
            Some((workspace, key)) => admission.resolve_refusal(&workspace, &key, refusal).await,
            None => refusal,
        }
    }
}

fn bearer<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    let value = request.headers().get_one("authorization")?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn respond<'r, 'o: 'r>(request: &'r Request<'_>, response: impl Responder<'r, 'o>) -> Outcome<'r> {
    match response.respond_to(request) {
        Ok(response) => Outcome::Success(response),
        Err(status) => Outcome::Error(status),
    }
}

fn respond_problem<'r>(request: &'r Request<'_>, problem: &Problem) -> Outcome<'r> {
    respond(request, Buffered::problem(problem))
}

fn bad_request(caller: &Caller, message: impl Into<String>) -> Problem {
    Problem::refused(Refusal::BadRequest, None, Some(caller.request.clone())).with_message(message)
}

fn parse_u64(caller: &Caller, request: &Request<'_>, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = request.headers().get_one(name) else {
        return Ok(None);
    };
    let parsed = text.trim().parse().map(Some);
    parsed.map_err(|_| bad_request(caller, format!("header {name} must be a whole number")))
}

fn parse_flag(caller: &Caller, request: &Request<'_>, name: &str) -> Result<Option<bool>, Problem> {
    match request.headers().get_one(name).map(str::trim) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad_request(
            caller,
            format!("header {name} must be true or false"),
        )),
    }
}

fn parse_key(caller: &Caller, request: &Request<'_>) -> Result<Option<String>, Problem> {
    const MAX_BYTES: usize = 256;
    match request.headers().get_one("idempotency-key") {
        Some("") => Err(bad_request(
            caller,
            "header idempotency-key must not be empty",
        )),
        Some(key) if key.len() > MAX_BYTES => Err(bad_request(
            caller,
            format!("header idempotency-key must have at most {MAX_BYTES} bytes"),
        )),
        key => Ok(key.map(str::to_owned)),
    }
}

fn forwarded_headers(request: &Request<'_>) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    headers
        .map(|header| {
            let name = header.name().as_str().to_ascii_lowercase();
            (name, header.value().to_owned())
        })
        .filter(|(name, _)| {
            !CONSUMED.contains(&name.as_str()) && !RESERVED.contains(&name.as_str())
        })
        .collect()
}

/// Creates a submission from the headers. The route fills in the other fields.
fn submission_from_headers(caller: &Caller, request: &Request<'_>) -> Result<Submission, Problem> {
    Ok(Submission {
        service: String::new(),
        is_model_request: false,
        method: request.method().as_str().to_owned(),
        path: String::new(),
        headers: forwarded_headers(request),
        body: Bytes::new(),
        is_streamed: false,
        prompt: 0..0,
        max_tokens: None,
        prompt_tokens: parse_u64(caller, request, "x-prompt-tokens")?,
        deadline: parse_u64(caller, request, "x-deadline-ms")?.map(Duration::from_millis),
        priority: request.headers().get_one("x-priority").map(str::to_owned),
        is_idempotent: parse_flag(caller, request, "x-idempotent")?,
        key: parse_key(caller, request)?,
    })
}

/// Authenticates the caller and parses the headers. Also returns the `content-length`.
fn authenticate_and_parse(
    admission: &Arc<dyn Admission>,
    request: &Request<'_>,
) -> Result<(Caller, Submission, Option<u64>), Problem> {
    let caller = admission.authenticate(bearer(request))?;
    let submission = submission_from_headers(&caller, request)?;
    let length = content_length(&caller, request)?;
    Ok((caller, submission, length))
}

fn content_length(caller: &Caller, request: &Request<'_>) -> Result<Option<u64>, Problem> {
    parse_u64(caller, request, "content-length")
}

#[rocket::async_trait]
impl Handler for Models {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.submit(request, data).await {
            Ok((exchange, service, true)) => stream(request, exchange, service).await,
            Ok((exchange, service, false)) => buffer(&self.0, request, exchange, service).await,
            Err(refusal) => respond_problem(request, &refusal),
        }
    }
}

impl Models {
    async fn submit<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<(Exchange, String, bool), Problem> {
        let (mut caller, mut submission, length) = match authenticate_and_parse(&self.0, request) {
            Ok(parsed) => parsed,
            Err(refusal) => {
                body::discard(data).await;
                return Err(refusal);
            }
        };
        let key = Key::new(&caller, &submission);
        let result = async {
            submission.body = body::read(&mut caller, data, length).await?;
            let parsed = wire::parse(&submission.body)
                .map_err(|error| bad_request(&caller, error.to_string()))?;
            submission.is_model_request = true;
            submission.path = request.uri().path().to_string();
            submission.service.clone_from(&parsed.service);
            submission.is_streamed = parsed.is_streamed;
            submission.max_tokens = parsed.max_tokens;
            submission.prompt = parsed.prompt;
            let exchange = self.0.submit(caller, submission)?;
            Ok((exchange, parsed.service, parsed.is_streamed))
        };
        match result.await {
            Ok(accepted) => Ok(accepted),
            Err(refusal) => Err(key.resolve(&self.0, refusal).await),
        }
    }
}

#[rocket::async_trait]
impl Handler for Services {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.submit(request, data).await {
            Ok(exchange) => relay(&self.0, request, exchange).await,
            Err(refusal) => respond_problem(request, &refusal),
        }
    }
}

impl Services {
    async fn submit<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Exchange, Problem> {
        let (mut caller, mut submission, length) = match authenticate_and_parse(&self.0, request) {
            Ok(parsed) => parsed,
            Err(refusal) => {
                body::discard(data).await;
                return Err(refusal);
            }
        };
        submission.service = request
            .param::<String>(1)
            .and_then(Result::ok)
            .unwrap_or_default();
        submission.path = service_path(request);
        let key = Key::new(&caller, &submission);
        let result = async {
            submission.body = body::read(&mut caller, data, length).await?;
            self.0.submit(caller, submission)
        };
        match result.await {
            Ok(exchange) => Ok(exchange),
            Err(refusal) => Err(key.resolve(&self.0, refusal).await),
        }
    }
}

/// Returns the path after `/services/<service>`, with the query.
fn service_path(request: &Request<'_>) -> String {
    let uri = request.uri();
    let path = uri.path().as_str();
    let rest = path.splitn(4, '/').nth(3).unwrap_or_default();
    match uri.query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    }
}

#[rocket::async_trait]
impl Handler for Keys {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let key = request
            .param::<&str>(2)
            .and_then(Result::ok)
            .unwrap_or_default();
        match self.0.key_state(bearer(request), key).await {
            Ok(state) => respond(request, Buffered::json(200, None, &state)),
            Err(refusal) => respond_problem(request, &refusal),
        }
    }
}

/// An exchange with regular checks whether the caller is still connected.
struct Monitored<'a> {
    admission: &'a Arc<dyn Admission>,
    caller: Option<SocketAddr>,
    last_check: Instant,
    exchange: Exchange,
}

impl<'a> Monitored<'a> {
    fn new(admission: &'a Arc<dyn Admission>, request: &Request<'_>, exchange: Exchange) -> Self {
        Self {
            admission,
            caller: request.remote(),
            last_check: Instant::now(),
            exchange,
        }
    }

    /// Returns the next reply, or `None` once the caller has disconnected.
    async fn next(&mut self) -> Option<Reply> {
        loop {
            let reply = timeout(KEEP_ALIVE_INTERVAL, next(&mut self.exchange)).await;
            let reply = reply.ok();
            if self.last_check.elapsed() >= KEEP_ALIVE_INTERVAL {
                self.last_check = Instant::now();
                let is_disconnected = self
                    .caller
                    .is_some_and(|caller| !self.admission.is_connected(caller));
                if is_disconnected {
                    return None;
                }
            }
            if reply.is_some() {
                return reply;
            }
        }
    }
}

async fn next(exchange: &mut Exchange) -> Reply {
    match exchange.replies.recv().await {
        Some(reply) => reply,
        None => Reply::Problem(internal_problem(exchange)),
    }
}

/// Returns the problem for an exchange without a final reply: a bug, or a disconnected caller.
fn internal_problem(exchange: &Exchange) -> Problem {
    let mut problem = Problem::refused(Refusal::Draining, None, Some(exchange.request.clone()));
    problem.class = kumquatdrum_types::FailureClass::Unknown;
    "internal".clone_into(&mut problem.code);
    problem.status = 500;
    problem.with_message("the daemon lost track of the request")
}

async fn stream<'r>(request: &'r Request<'_>, mut exchange: Exchange, _: String) -> Outcome<'r> {
    let first = timeout(FIRST_TOKEN_TIMEOUT, next(&mut exchange)).await.ok();
    if let Some(Reply::Problem(refusal)) = &first {
        return respond_problem(request, refusal);
    }
    let id = exchange.request.to_string();
    let first = stream::iter(first.map(|reply| event(&reply)));
    let rest = stream::unfold(Some(exchange), |exchange| async move {
        let mut exchange = exchange?;
        match timeout(KEEP_ALIVE_INTERVAL, next(&mut exchange)).await {
            Ok(reply) => {
                let is_last = matches!(reply, Reply::Finished | Reply::Problem(_));
                Some((event(&reply), (!is_last).then_some(exchange)))
            }
            Err(_) => Some((Bytes::from_static(KEEP_ALIVE_COMMENT), Some(exchange))),
        }
    });
    let response = Streamed {
        status: 200,
        content_type: Some("text/event-stream".to_owned()),
        request: id,
        chunks: first.chain(rest),
    };
    respond(request, response)
}

/// Formats a reply as a server-sent event.
fn event(reply: &Reply) -> Bytes {
    match reply {
        Reply::Token(data) | Reply::Summary(data) => {
            let mut event = Vec::with_capacity(data.len() + 8);
            event.extend_from_slice(b"data: ");
            event.extend_from_slice(data);
            event.extend_from_slice(b"\n\n");
            event.into()
        }
        Reply::Finished => Bytes::from_static(END_EVENT),
        Reply::Problem(problem) => {
            let body = json!({ "error": problem });
            format!("event: error\ndata: {body}\n\n").into()
        }
        Reply::Head(_) | Reply::Restart | Reply::Chunk(_) => Bytes::new(),
    }
}

async fn buffer<'r>(
    admission: &Arc<dyn Admission>,
    request: &'r Request<'_>,
    exchange: Exchange,
    service: String,
) -> Outcome<'r> {
    let mut monitored = Monitored::new(admission, request, exchange);
    let mut accumulator = Accumulator::default();
    loop {
        let Some(reply) = monitored.next().await else {
            return respond_problem(request, &internal_problem(&monitored.exchange));
        };
        match reply {
            Reply::Token(data) | Reply::Summary(data) => accumulator.push(&data),
            Reply::Restart => accumulator = Accumulator::default(),
            Reply::Finished => {
                let id = monitored.exchange.request.to_string();
                let completion = accumulator.finish(&id, &service);
                return respond(request, Buffered::json(200, Some(id), &completion));
            }
            Reply::Problem(refusal) => return respond_problem(request, &refusal),
            Reply::Head(_) | Reply::Chunk(_) => {}
        }
    }
}

/// Relays a plain service's response. Up to a limit the response is buffered, so that an incomplete
/// one is reported as an error. Longer responses are streamed.
async fn relay<'r>(
    admission: &Arc<dyn Admission>,
    request: &'r Request<'_>,
    exchange: Exchange,
) -> Outcome<'r> {
    const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
    let mut monitored = Monitored::new(admission, request, exchange);
    let (mut status, mut content_type) = (200, None);
    let mut body = Vec::new();
    while body.len() < MAX_BUFFERED_BYTES {
        let Some(reply) = monitored.next().await else {
            return respond_problem(request, &internal_problem(&monitored.exchange));
        };
        match reply {
            Reply::Head(head) => (status, content_type) = (head.status, head.content_type),
            Reply::Chunk(bytes) => body.extend_from_slice(&bytes),
            Reply::Restart => body.clear(),
            Reply::Finished => {
                let response = Buffered {
                    status,
                    content_type,
                    request: Some(monitored.exchange.request.to_string()),
                    retry_after_ms: None,
                    body: body.into(),
                };
                return respond(request, response);
            }
            Reply::Problem(refusal) => return respond_problem(request, &refusal),
            Reply::Token(_) | Reply::Summary(_) => {}
        }
    }
    let response = Streamed {
        status,
        content_type,
        request: monitored.exchange.request.to_string(),
        chunks: stream::iter([Bytes::from(body)]).chain(chunks(monitored.exchange)),
    };
    respond(request, response)
}

fn chunks(exchange: Exchange) -> impl Stream<Item = Bytes> + Send {
    stream::unfold(exchange, |mut exchange| async move {
        match next(&mut exchange).await {
            Reply::Chunk(bytes) => Some((bytes, exchange)),
            _ => None,
        }
    })
}
