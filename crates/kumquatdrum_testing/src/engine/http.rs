//! The engine protocol over HTTP; `docs/ENGINE-PROTOCOL.md` describes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::{AttemptId, Load};
use rocket::data::Data;
use rocket::http::{ContentType, Header, Status};
use rocket::request::Request;
use rocket::response::stream::ReaderStream;
use rocket::response::{self, Responder, Response};
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State as Managed, delete, get, post, routes};
use serde_json::{Value, json};

use super::request::{Headers, Malformed, read};
use super::shared::{Shared, Source};
use super::wire::{AttemptState, CacheEvents, Form, Holdings, Reservation, error};
use super::{answer, orders};
use crate::fault::Cut;
use crate::model::{Attempt, Fate, Hold, HoldError, Model, Rejection, Stage};
use crate::relay::Connections;

type Engine = Managed<Arc<Shared>>;

/// Mounts the protocol.
pub(super) fn mount(rocket: Rocket<Build>, shared: Arc<Shared>) -> Rocket<Build> {
    orders::mount(rocket.manage(shared)).mount(
        "/v1",
        routes![
            completions,
            chat_completions,
            attempt,
            attempts,
            resume,
            cancel,
            load,
            cache_events,
            reserve,
            release,
            export_kv,
            import_kv,
            drop_kv,
            health,
        ],
    )
}

/// An answer of the engine.
enum Reply {
    Json(Status, Value),
    Stream {
        shown: AttemptId,
        source: Source,
        from: u32,
        cut: Option<Cut>,
        breaker: Breaker,
    },
}

/// Breaks off the connection of one call.
struct Breaker {
    connections: Arc<Connections>,
    remote: Option<SocketAddr>,
}

impl Breaker {
    fn new(remote: Option<SocketAddr>, engine: &Shared) -> Self {
        Self {
            connections: Arc::clone(&engine.connections),
            remote,
        }
    }

    fn break_off(&self) {
        if let Some(remote) = self.remote {
            self.connections.break_off(remote);
        }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        match self {
            Self::Json(status, body) => (status, Json(body)).respond_to(request),
            Self::Stream {
                shown,
                source,
                from,
                cut,
                breaker,
            } => Response::build()
                .header(ContentType::EventStream)
                .header(Header::new("cache-control", "no-cache"))
                .header(Header::new("x-attempt-id", shown.to_string()))
                .streamed_body(ReaderStream::from(Box::pin(answer::stream(
                    source,
                    from,
                    cut,
                    move || breaker.break_off(),
                ))))
                .ok(),
        }
    }
}

fn bad_request(malformed: &Malformed) -> Reply {
    let message = malformed.to_string();
    Reply::Json(Status::BadRequest, error("bad_request", false, &message))
}

fn not_found(message: &str) -> Reply {
    Reply::Json(Status::NotFound, error("not_found", false, message))
}

#[post("/completions", data = "<body>")]
async fn completions(headers: Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    run(Form::Text, &headers, body, engine).await
}

#[post("/chat/completions", data = "<body>")]
async fn chat_completions(headers: Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    run(Form::Chat, &headers, body, engine).await
}

async fn run(form: Form, headers: &Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    engine.counters.received();
    if engine.faults.take_refuse() || !engine.is_serving() {
        return rejected(Rejection::Full);
    }
    let request = match read(headers, body, engine).await {
        Ok(request) => request,
        Err(malformed) => return bad_request(&malformed),
    };
    let fails = engine.faults.fails();
    let source = match engine.submit(request, form, fails) {
        Ok(source) => source,
        Err(rejection) => return rejected(rejection),
    };
    if fails {
        let message = "failed by order";
        return Reply::Json(
            Status::InternalServerError,
            error("internal", true, message),
        );
    }
    if let Some(delay) = engine.faults.take_late() {
        tokio::time::sleep(delay).await;
    }
    reply(source, headers, engine)
}

/// The stream of a new attempt, crossed or cut where that is ordered.
fn reply(mut source: Source, headers: &Headers<'_>, engine: &Shared) -> Reply {
    let mut shown = source.id.clone();
    if let Some(header) = engine.faults.take_cross() {
        let (other, digest) = engine.other(&source);
        if header {
            shown = other.clone();
        }
        source.id = other;
        source.digest = digest;
    }
    Reply::Stream {
        shown,
        source,
        from: 0,
        cut: engine.faults.take_cut(),
        breaker: Breaker::new(headers.remote, engine),
    }
}

fn rejected(rejection: Rejection) -> Reply {
    let message = rejection.to_string();
    match rejection {
        Rejection::Known(fate) => {
            let mut body = error("known", fate.started, &message);
            body["error"]["state"] = json!(fate.state);
            Reply::Json(Status::Conflict, body)
        }
        Rejection::Full => Reply::Json(Status::ServiceUnavailable, error("full", false, &message)),
        Rejection::TooLong => {
            Reply::Json(Status::PayloadTooLarge, error("too_long", false, &message))
        }
        Rejection::NoReservation => {
            Reply::Json(Status::Conflict, error("no_reservation", false, &message))
        }
    }
}

fn describe(attempt: &Attempt, engine: &Shared) -> AttemptState {
    AttemptState {
        id: attempt.request.id.to_string(),
        boot: engine.boot,
        state: attempt.state,
        started: attempt.started,
        tokens: attempt.tokens,
        owner: attempt.request.owner.clone(),
    }
}

/// An attempt that is no longer kept, or never came.
fn remembered(id: &AttemptId, fate: Fate, engine: &Shared) -> AttemptState {
    AttemptState {
        id: id.to_string(),
        boot: engine.boot,
        state: fate.state,
        started: fate.started,
        tokens: 0,
        owner: String::new(),
    }
}

fn show(id: &AttemptId, engine: &Shared) -> AttemptState {
    engine.with(|model| match model.attempt(id) {
        Some(attempt) => describe(attempt, engine),
        None => remembered(id, model.fate(id), engine),
    })
}

#[get("/attempts/<id>")]
fn attempt(id: &str, engine: &Engine) -> (Status, Json<AttemptState>) {
    let shown = show(&AttemptId::new(id), engine);
    let status = match shown.state {
        Stage::NeverSeen => Status::NotFound,
        _ => Status::Ok,
    };
    (status, Json(shown))
}

#[get("/attempts?<owner>")]
fn attempts(owner: &str, engine: &Engine) -> Json<Holdings> {
    Json(engine.with(|model| holdings(owner, model, engine)))
}

fn holdings(owner: &str, model: &Model, engine: &Shared) -> Holdings {
    let is_owned = |hold: &&Hold| hold.owner == owner;
    Holdings {
        boot: engine.boot,
        attempts: model
            .live()
            .filter(|attempt| attempt.request.owner == owner)
            .map(|attempt| describe(attempt, engine))
            .collect(),
        reservations: model.reservations().filter(is_owned).cloned().collect(),
        kv: model.kv().filter(is_owned).cloned().collect(),
    }
}

#[get("/attempts/<id>/stream?<from>")]
fn resume(id: &str, from: Option<u32>, headers: Headers<'_>, engine: &Engine) -> Reply {
    match engine.source(&AttemptId::new(id)) {
        Some(source) => Reply::Stream {
            shown: source.id.clone(),
            source,
            from: from.unwrap_or(0),
            cut: engine.faults.take_cut(),
            breaker: Breaker::new(headers.remote, engine),
        },
        None => not_found("the attempt is unknown or no longer kept"),
    }
}

#[delete("/attempts/<id>")]
async fn cancel(id: &str, engine: &Engine) -> Reply {
    let id = AttemptId::new(id);
    match engine.faults.take_lose_cancel() {
        None => {
            engine.cancel(&id);
            Reply::Json(Status::Ok, json!(show(&id, engine)))
        }
        Some(done) => {
            if done {
                engine.cancel(&id);
            }
            engine.switch.gate().dead().await;
            not_found("lost by order")
        }
    }
}

#[get("/load")]
fn load(engine: &Engine) -> Json<Load> {
    Json(engine.load())
}

#[get("/cache/events?<after>")]
fn cache_events(after: Option<u64>, engine: &Engine) -> Json<CacheEvents> {
    Json(engine.cache_events(after.unwrap_or(0)))
}

#[post("/reservations", data = "<wanted>")]
fn reserve(wanted: Json<Reservation>, engine: &Engine) -> Reply {
    let wanted = wanted.into_inner();
    let ttl = Duration::from_millis(wanted.ttl_ms);
    let hold = Hold {
        id: wanted.id,
        owner: wanted.owner,
        tokens: wanted.tokens,
    };
    let now = engine.now();
    held(
        engine.with(|model| model.reserve(now, hold.clone(), ttl)),
        &hold,
    )
}

#[delete("/reservations/<id>")]
fn release(id: &str, engine: &Engine) -> Reply {
    freed(engine.with(|model| model.release(id)))
}

#[post("/kv/<id>/export")]
fn export_kv(id: &str, engine: &Engine) -> Reply {
    match engine.with(|model| model.export_kv(&AttemptId::new(id))) {
        Ok(hold) => held(Ok(()), &hold),
        Err(HoldError::Unknown) => not_found("the attempt is unknown or no longer kept"),
        Err(error) => refused(error),
    }
}

#[post("/kv/import", data = "<hold>")]
fn import_kv(hold: Json<Hold>, engine: &Engine) -> Reply {
    let hold = hold.into_inner();
    held(engine.with(|model| model.import_kv(hold.clone())), &hold)
}

#[delete("/kv/<id>")]
fn drop_kv(id: &str, engine: &Engine) -> Reply {
    freed(engine.with(|model| model.drop_kv(id)))
}

#[get("/health")]
fn health(engine: &Engine) -> Json<Value> {
    Json(json!({"boot": engine.boot, "endpoint": engine.options.process.name}))
}

fn held(result: Result<(), HoldError>, hold: &Hold) -> Reply {
    match result {
        Ok(()) => Reply::Json(Status::Ok, json!(hold)),
        Err(error) => refused(error),
    }
}

fn refused(reason: HoldError) -> Reply {
    let message = reason.to_string();
    match reason {
        HoldError::Full => Reply::Json(Status::ServiceUnavailable, error("full", false, &message)),
        HoldError::Taken => Reply::Json(Status::Conflict, error("taken", false, &message)),
        HoldError::Unknown => not_found(&message),
    }
}

/// Freeing is idempotent: `freed` says whether anything was held.
fn freed(freed: bool) -> Reply {
    Reply::Json(Status::Ok, json!({"freed": freed}))
}
