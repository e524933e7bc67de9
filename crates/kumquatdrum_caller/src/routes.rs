//! The callers' routes.
//!
//! A streamed answer's head is sent at the first token, or after [`EARLY`] without one: from then
//! on comments keep the connection alive, and a caller that left is noticed at the next of them.
//! rocket itself would let the engine work on for a caller that is gone.

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
use crate::answer::{Streamed, Whole};
use crate::assembly::Assembly;
use crate::body;
use crate::wire;
use kumquatdrum_types::{Refusal, WorkspaceName};

/// How long a streamed answer's head waits for the first token.
pub const EARLY: Duration = Duration::from_millis(250);
/// A silent stream carries a comment this often.
pub const KEEP_ALIVE: Duration = Duration::from_millis(500);

const COMMENT: &[u8] = b": waiting\n\n";
const END: &[u8] = b"data: [DONE]\n\n";
const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Patch,
    Method::Head,
    Method::Options,
];
/// Headers of callers that are ours, or belong to one connection; they are not passed on.
const KEPT: [&str; 14] = [
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
/// Headers that only daemons may set towards endpoints.
const RESERVED: [&str; 5] = [
    "x-attempt-id",
    "x-reservation",
    "x-owner",
    "x-owner-attempt",
    "x-request-id",
];

/// All routes of the callers' listener.
pub fn all(admission: Arc<dyn Admission>) -> Vec<Route> {
    let mut routes = vec![
        Route::new(Method::Post, "/v1/completions", Model(admission.clone())),
        Route::new(
            Method::Post,
            "/v1/chat/completions",
            Model(admission.clone()),
        ),
        Route::new(Method::Get, "/v1/keys/<key>", Keys(admission.clone())),
    ];
    for method in METHODS {
        let plain = Plain(admission.clone());
        routes.push(Route::new(method, "/services/<service>/<path..>", plain));
    }
    routes
}

#[derive(Clone)]
struct Model(Arc<dyn Admission>);

#[derive(Clone)]
struct Plain(Arc<dyn Admission>);

#[derive(Clone)]
struct Keys(Arc<dyn Admission>);

/// Whose key a request carries, if any.
struct Keyed(Option<(WorkspaceName, String)>);

impl Keyed {
    fn new(caller: &Caller, ask: &Submission) -> Self {
        Self(ask.key.clone().map(|key| (caller.workspace.clone(), key)))
    }

    /// A refusal as the caller may be told it.
    async fn checked(self, admission: &Arc<dyn Admission>, refused: Problem) -> Problem {
        match self.0 {
            Some((workspace, key)) => admission.resolve_refusal(&workspace, &key, refused).await,
            None => refused,
        }
    }
}

fn bearer<'r>(request: &'r Request<'_>) -> Option<&'r str> {
    let value = request.headers().get_one("authorization")?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn answered<'r, 'o: 'r>(request: &'r Request<'_>, answer: impl Responder<'r, 'o>) -> Outcome<'r> {
    match answer.respond_to(request) {
        Ok(response) => Outcome::Success(response),
        Err(status) => Outcome::Error(status),
    }
}

fn problem<'r>(request: &'r Request<'_>, problem: &Problem) -> Outcome<'r> {
    answered(request, Whole::problem(problem))
}

fn bad(caller: &Caller, message: impl Into<String>) -> Problem {
    Problem::refused(Refusal::BadRequest, None, Some(caller.request.clone())).with_message(message)
}

fn number(caller: &Caller, request: &Request<'_>, name: &str) -> Result<Option<u64>, Problem> {
    let Some(text) = request.headers().get_one(name) else {
        return Ok(None);
    };
    let read = text.trim().parse().map(Some);
    read.map_err(|_| bad(caller, format!("header {name} must be a whole number")))
}

fn flag(caller: &Caller, request: &Request<'_>, name: &str) -> Result<Option<bool>, Problem> {
    match request.headers().get_one(name).map(str::trim) {
        None => Ok(None),
        Some("true") => Ok(Some(true)),
        Some("false") => Ok(Some(false)),
        Some(_) => Err(bad(caller, format!("header {name} must be true or false"))),
    }
}

fn key(caller: &Caller, request: &Request<'_>) -> Result<Option<String>, Problem> {
    const LONGEST: usize = 256;
    match request.headers().get_one("idempotency-key") {
        Some("") => Err(bad(caller, "header idempotency-key must not be empty")),
        Some(key) if key.len() > LONGEST => Err(bad(
            caller,
            format!("header idempotency-key must have at most {LONGEST} bytes"),
        )),
        key => Ok(key.map(str::to_owned)),
    }
}

fn passed_on(request: &Request<'_>) -> Vec<(String, String)> {
    request
        .headers()
        .iter()
        .map(|header| {
            let name = header.name().as_str().to_ascii_lowercase();
            (name, header.value().to_owned())
        })
        .filter(|(name, _)| !KEPT.contains(&name.as_str()) && !RESERVED.contains(&name.as_str()))
        .collect()
}

/// What the headers say; the rest is filled in by the route.
fn headers(caller: &Caller, request: &Request<'_>) -> Result<Submission, Problem> {
    Ok(Submission {
        service: String::new(),
        is_model_request: false,
        method: request.method().as_str().to_owned(),
        path: String::new(),
        headers: passed_on(request),
        body: Bytes::new(),
        is_streamed: false,
        prompt: 0..0,
        max_tokens: None,
        prompt_tokens: number(caller, request, "x-prompt-tokens")?,
        deadline: number(caller, request, "x-deadline-ms")?.map(Duration::from_millis),
        priority: request.headers().get_one("x-priority").map(str::to_owned),
        is_idempotent: flag(caller, request, "x-idempotent")?,
        key: key(caller, request)?,
    })
}

/// All that can be said before the body is read.
fn opened(
    admission: &Arc<dyn Admission>,
    request: &Request<'_>,
) -> Result<(Caller, Submission, Option<u64>), Problem> {
    let caller = admission.authenticate(bearer(request))?;
    let ask = headers(&caller, request)?;
    let length = length(&caller, request)?;
    Ok((caller, ask, length))
}

fn length(caller: &Caller, request: &Request<'_>) -> Result<Option<u64>, Problem> {
    number(caller, request, "content-length")
}

#[rocket::async_trait]
impl Handler for Model {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.enter(request, data).await {
            Ok((exchange, service, true)) => streamed(request, exchange, service).await,
            Ok((exchange, service, false)) => whole(&self.0, request, exchange, service).await,
            Err(refused) => problem(request, &refused),
        }
    }
}

impl Model {
    async fn enter<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<(Exchange, String, bool), Problem> {
        let (mut caller, mut ask, length) = match opened(&self.0, request) {
            Ok(opened) => opened,
            Err(refused) => {
                body::discard(data).await;
                return Err(refused);
            }
        };
        let keyed = Keyed::new(&caller, &ask);
        let entered = async {
            ask.body = body::read(&mut caller, data, length).await?;
            let model = wire::model(&ask.body).map_err(|error| bad(&caller, error.to_string()))?;
            ask.is_model_request = true;
            ask.path = request.uri().path().to_string();
            ask.service.clone_from(&model.service);
            ask.is_streamed = model.stream;
            ask.max_tokens = model.max_tokens;
            ask.prompt = model.prompt;
            let exchange = self.0.submit(caller, ask)?;
            Ok((exchange, model.service, model.stream))
        };
        match entered.await {
            Ok(entered) => Ok(entered),
            Err(refused) => Err(keyed.checked(&self.0, refused).await),
        }
    }
}

#[rocket::async_trait]
impl Handler for Plain {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        match self.enter(request, data).await {
            Ok(exchange) => plain(&self.0, request, exchange).await,
            Err(refused) => problem(request, &refused),
        }
    }
}

impl Plain {
    async fn enter<'r>(
        &self,
        request: &'r Request<'_>,
        data: Data<'r>,
    ) -> Result<Exchange, Problem> {
        let (mut caller, mut ask, length) = match opened(&self.0, request) {
            Ok(opened) => opened,
            Err(refused) => {
                body::discard(data).await;
                return Err(refused);
            }
        };
        ask.service = request
            .param::<String>(1)
            .and_then(Result::ok)
            .unwrap_or_default();
        ask.path = path_within(request);
        let keyed = Keyed::new(&caller, &ask);
        let entered = async {
            ask.body = body::read(&mut caller, data, length).await?;
            self.0.submit(caller, ask)
        };
        match entered.await {
            Ok(exchange) => Ok(exchange),
            Err(refused) => Err(keyed.checked(&self.0, refused).await),
        }
    }
}

/// The path after `/services/<service>`, with the query.
fn path_within(request: &Request<'_>) -> String {
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
            Ok(state) => answered(request, Whole::json(200, None, &state)),
            Err(refused) => problem(request, &refused),
        }
    }
}

/// The replies for a caller that gets its answer in one piece.
struct Attended<'a> {
    admission: &'a Arc<dyn Admission>,
    caller: Option<SocketAddr>,
    looked: Instant,
    exchange: Exchange,
}

impl<'a> Attended<'a> {
    fn new(admission: &'a Arc<dyn Admission>, request: &Request<'_>, exchange: Exchange) -> Self {
        Self {
            admission,
            caller: request.remote(),
            looked: Instant::now(),
            exchange,
        }
    }

    /// The next reply; none once the caller has left.
    async fn next(&mut self) -> Option<Reply> {
        loop {
            let reply = timeout(KEEP_ALIVE, next(&mut self.exchange)).await.ok();
            if self.looked.elapsed() >= KEEP_ALIVE {
                self.looked = Instant::now();
                let gone = self
                    .caller
                    .is_some_and(|caller| !self.admission.is_connected(caller));
                if gone {
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
        None => Reply::Problem(lost(exchange)),
    }
}

/// The daemon ended without a last word, which no path should come to.
fn lost(exchange: &Exchange) -> Problem {
    let mut problem = Problem::refused(Refusal::Draining, None, Some(exchange.request.clone()));
    problem.class = kumquatdrum_types::FailureClass::Unknown;
    "internal".clone_into(&mut problem.code);
    problem.status = 500;
    problem.with_message("the daemon lost track of the request")
}

async fn streamed<'r>(request: &'r Request<'_>, mut exchange: Exchange, _: String) -> Outcome<'r> {
    let first = timeout(EARLY, next(&mut exchange)).await.ok();
    if let Some(Reply::Problem(refused)) = &first {
        return problem(request, refused);
    }
    let name = exchange.request.to_string();
    let begun = stream::iter(first.map(|reply| piece(&reply)));
    let rest = stream::unfold(Some(exchange), |exchange| async move {
        let mut exchange = exchange?;
        match timeout(KEEP_ALIVE, next(&mut exchange)).await {
            Ok(reply) => {
                let over = matches!(reply, Reply::Finished | Reply::Problem(_));
                Some((piece(&reply), (!over).then_some(exchange)))
            }
            Err(_) => Some((Bytes::from_static(COMMENT), Some(exchange))),
        }
    });
    let answer = Streamed {
        status: 200,
        content_type: Some("text/event-stream".to_owned()),
        request: name,
        pieces: begun.chain(rest),
    };
    answered(request, answer)
}

/// A reply as a server-sent event.
fn piece(reply: &Reply) -> Bytes {
    match reply {
        Reply::Token(data) | Reply::Summary(data) => {
            let mut event = Vec::with_capacity(data.len() + 8);
            event.extend_from_slice(b"data: ");
            event.extend_from_slice(data);
            event.extend_from_slice(b"\n\n");
            event.into()
        }
        Reply::Finished => Bytes::from_static(END),
        Reply::Problem(problem) => {
            let body = json!({ "error": problem });
            format!("event: error\ndata: {body}\n\n").into()
        }
        Reply::Head(_) | Reply::Restart | Reply::Chunk(_) => Bytes::new(),
    }
}

async fn whole<'r>(
    admission: &Arc<dyn Admission>,
    request: &'r Request<'_>,
    exchange: Exchange,
    service: String,
) -> Outcome<'r> {
    let mut attended = Attended::new(admission, request, exchange);
    let mut assembly = Assembly::default();
    loop {
        let Some(reply) = attended.next().await else {
            return problem(request, &lost(&attended.exchange));
        };
        match reply {
            Reply::Token(data) | Reply::Summary(data) => assembly.push(&data),
            Reply::Restart => assembly = Assembly::default(),
            Reply::Finished => {
                let name = attended.exchange.request.to_string();
                let answer = assembly.answer(&name, &service);
                return answered(request, Whole::json(200, Some(name), &answer));
            }
            Reply::Problem(refused) => return problem(request, &refused),
            Reply::Head(_) | Reply::Chunk(_) => {}
        }
    }
}

/// Plain answers are collected, so that a broken one can still be told from a whole one, up to a
/// bound; beyond it they are passed on as they come.
async fn plain<'r>(
    admission: &Arc<dyn Admission>,
    request: &'r Request<'_>,
    exchange: Exchange,
) -> Outcome<'r> {
    const COLLECTED: usize = 1024 * 1024;
    let mut attended = Attended::new(admission, request, exchange);
    let (mut status, mut content_type) = (200, None);
    let mut collected = Vec::new();
    while collected.len() < COLLECTED {
        let Some(reply) = attended.next().await else {
            return problem(request, &lost(&attended.exchange));
        };
        match reply {
            Reply::Head(head) => (status, content_type) = (head.status, head.content_type),
            Reply::Chunk(bytes) => collected.extend_from_slice(&bytes),
            Reply::Restart => collected.clear(),
            Reply::Finished => {
                let answer = Whole {
                    status,
                    content_type,
                    request: Some(attended.exchange.request.to_string()),
                    retry_after_ms: None,
                    body: collected.into(),
                };
                return answered(request, answer);
            }
            Reply::Problem(refused) => return problem(request, &refused),
            Reply::Token(_) | Reply::Summary(_) => {}
        }
    }
    let answer = Streamed {
        status,
        content_type,
        request: attended.exchange.request.to_string(),
        pieces: stream::iter([Bytes::from(collected)]).chain(pieces(attended.exchange)),
    };
    answered(request, answer)
}

fn pieces(exchange: Exchange) -> impl Stream<Item = Bytes> + Send {
    stream::unfold(exchange, |mut exchange| async move {
        match next(&mut exchange).await {
            Reply::Chunk(bytes) => Some((bytes, exchange)),
            _ => None,
        }
    })
}
