//! Serves the engine protocol over HTTP; `docs/ENGINE-PROTOCOL.md` describes it.

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

use super::request::{self, Headers, read};
use super::shared::{Shared, Source};
use super::wire::{Api, AttemptState, CacheEvents, Holdings, Reservation, error};
use super::{answer, orders};
use crate::fault::Cut;
use crate::model::{Attempt, Hold, HoldError, Model, Rejection, Stage, Summary};
use crate::relay::Connections;

type Engine = Managed<Arc<Shared>>;

/// Mounts the routes of the engine protocol.
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

/// Response to a request.
enum Reply {
    Json(Status, Value),
    Stream {
        attempt_id: AttemptId,
        source: Source,
        from: u32,
        cut: Option<Cut>,
        connection: Connection,
    },
}

/// The relayed connection of one call.
struct Connection {
    connections: Arc<Connections>,
    remote: Option<SocketAddr>,
}

impl Connection {
    fn new(remote: Option<SocketAddr>, engine: &Shared) -> Self {
        Self {
            connections: Arc::clone(&engine.connections),
            remote,
        }
    }

    fn reset(&self) {
        if let Some(remote) = self.remote {
            self.connections.reset(remote);
        }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, request: &'r Request<'_>) -> response::Result<'static> {
        match self {
            Self::Json(status, body) => (status, Json(body)).respond_to(request),
            Self::Stream {
                attempt_id,
                source,
                from,
                cut,
                connection,
            } => Response::build()
                .header(ContentType::EventStream)
                .header(Header::new("cache-control", "no-cache"))
                .header(Header::new("x-attempt-id", attempt_id.to_string()))
                .streamed_body(ReaderStream::from(Box::pin(answer::stream(
                    source,
                    from,
                    cut,
                    move || connection.reset(),
                ))))
                .ok(),
        }
    }
}

fn bad_request(reason: &request::Error) -> Reply {
    let message = reason.to_string();
    Reply::Json(Status::BadRequest, error("bad_request", false, &message))
}

fn not_found(message: &str) -> Reply {
    Reply::Json(Status::NotFound, error("not_found", false, message))
}

#[post("/completions", data = "<body>")]
async fn completions(headers: Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    run(Api::Text, &headers, body, engine).await
}

#[post("/chat/completions", data = "<body>")]
async fn chat_completions(headers: Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    run(Api::Chat, &headers, body, engine).await
}

async fn run(api: Api, headers: &Headers<'_>, body: Data<'_>, engine: &Engine) -> Reply {
    engine.counters.record_received();
    if engine.faults.take_refuse() || !engine.is_serving() {
        return rejection_reply(Rejection::Full);
    }
    let request = match read(headers, body, engine).await {
        Ok(request) => request,
        Err(error) => return bad_request(&error),
    };
    let fails = engine.faults.fails();
    let source = match engine.submit(request, api, fails) {
        Ok(source) => source,
        Err(rejection) => return rejection_reply(rejection),
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
    stream_reply(source, headers, engine)
}

/// Streams a new attempt. Sends another attempt's answer or cuts the stream if such a fault is
/// active.
fn stream_reply(mut source: Source, headers: &Headers<'_>, engine: &Shared) -> Reply {
    let mut attempt_id = source.id.clone();
    if let Some(header) = engine.faults.take_cross() {
        let (other, digest) = engine.other_attempt(&source);
        if header {
            attempt_id = other.clone();
        }
        source.id = other;
        source.digest = digest;
    }
    Reply::Stream {
        attempt_id,
        source,
        from: 0,
        cut: engine.faults.take_cut(),
        connection: Connection::new(headers.remote, engine),
    }
}

fn rejection_reply(rejection: Rejection) -> Reply {
    let message = rejection.to_string();
    match rejection {
        Rejection::Known(summary) => {
            let mut body = error("known", summary.started, &message);
            body["error"]["state"] = json!(summary.state);
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

/// Describes an attempt whose details are not kept, or that was never received.
fn describe_discarded(id: &AttemptId, summary: Summary, engine: &Shared) -> AttemptState {
    AttemptState {
        id: id.to_string(),
        boot: engine.boot,
        state: summary.state,
        started: summary.started,
        tokens: 0,
        owner: String::new(),
    }
}

fn find_state(id: &AttemptId, engine: &Shared) -> AttemptState {
    engine.with_model(|model| match model.attempt(id) {
        Some(attempt) => describe(attempt, engine),
        None => describe_discarded(id, model.summary(id), engine),
    })
}

#[get("/attempts/<id>")]
fn attempt(id: &str, engine: &Engine) -> (Status, Json<AttemptState>) {
    let state = find_state(&AttemptId::new(id), engine);
    let status = match state.state {
        Stage::NeverSeen => Status::NotFound,
        _ => Status::Ok,
    };
    (status, Json(state))
}

#[get("/attempts?<owner>")]
fn attempts(owner: &str, engine: &Engine) -> Json<Holdings> {
    Json(engine.with_model(|model| list_holdings(owner, model, engine)))
}

fn list_holdings(owner: &str, model: &Model, engine: &Shared) -> Holdings {
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
            attempt_id: source.id.clone(),
            source,
            from: from.unwrap_or(0),
            cut: engine.faults.take_cut(),
            connection: Connection::new(headers.remote, engine),
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
            Reply::Json(Status::Ok, json!(find_state(&id, engine)))
        }
        Some(takes_effect) => {
            if takes_effect {
                engine.cancel(&id);
            }
            engine.switch.gate().wait_until_dead().await;
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

#[post("/reservations", data = "<reservation>")]
fn reserve(reservation: Json<Reservation>, engine: &Engine) -> Reply {
    let reservation = reservation.into_inner();
    let ttl = Duration::from_millis(reservation.ttl_ms);
    let hold = Hold {
        id: reservation.id,
        owner: reservation.owner,
        tokens: reservation.tokens,
    };
    let now = engine.now();
    hold_reply(
        engine.with_model(|model| model.reserve(now, hold.clone(), ttl)),
        &hold,
    )
}

#[delete("/reservations/<id>")]
fn release(id: &str, engine: &Engine) -> Reply {
    freed_reply(engine.with_model(|model| model.release(id)))
}

#[post("/kv/<id>/export")]
fn export_kv(id: &str, engine: &Engine) -> Reply {
    match engine.with_model(|model| model.export_kv(&AttemptId::new(id))) {
        Ok(hold) => hold_reply(Ok(()), &hold),
        Err(HoldError::Unknown) => not_found("the attempt is unknown or no longer kept"),
        Err(error) => hold_error_reply(error),
    }
}

#[post("/kv/import", data = "<hold>")]
fn import_kv(hold: Json<Hold>, engine: &Engine) -> Reply {
    let hold = hold.into_inner();
    hold_reply(
        engine.with_model(|model| model.import_kv(hold.clone())),
        &hold,
    )
}

#[delete("/kv/<id>")]
fn drop_kv(id: &str, engine: &Engine) -> Reply {
    freed_reply(engine.with_model(|model| model.drop_kv(id)))
}

#[get("/health")]
fn health(engine: &Engine) -> Json<Value> {
    Json(json!({"boot": engine.boot, "endpoint": engine.options.process.name}))
}

fn hold_reply(result: Result<(), HoldError>, hold: &Hold) -> Reply {
    match result {
        Ok(()) => Reply::Json(Status::Ok, json!(hold)),
        Err(error) => hold_error_reply(error),
    }
}

fn hold_error_reply(reason: HoldError) -> Reply {
    let message = reason.to_string();
    match reason {
        HoldError::Full => Reply::Json(Status::ServiceUnavailable, error("full", false, &message)),
        HoldError::Taken => Reply::Json(Status::Conflict, error("taken", false, &message)),
        HoldError::Unknown => not_found(&message),
    }
}

/// Returns the response to a release. Releasing is idempotent; `freed` is whether anything was held.
fn freed_reply(freed: bool) -> Reply {
    Reply::Json(Status::Ok, json!({"freed": freed}))
}
