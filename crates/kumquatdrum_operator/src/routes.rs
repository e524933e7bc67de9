//! HTTP routes for operators.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_declaration::parse::MAX_BYTES;
use kumquatdrum_setup::{ApplyId, ApplyRequest, Control, Failure, Revision, Selector, control};
use kumquatdrum_types::Version;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Header};
use rocket::response::{Responder, Response};
use rocket::serde::json::Json;
use rocket::{Route, State, get, post};
use slog::{Logger, info};
use tokio::time::Instant;

use crate::auth::{Identity, Operators};
use crate::progress::Progress;
use crate::reply::Reply;
use crate::report::{
    ACCEPTED_HEADER, DIGEST_HEADER, Report, Rollout, STANDING_HEADER, VERSION_HEADER,
};

/// Maximum time that an apply waits for the rollout of its version.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// Interval of status checks while an apply waits.
const STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of entries in a page of the audit trail.
const MAX_PAGE_SIZE: usize = 1_000;
const DEFAULT_PAGE_SIZE: usize = 100;

/// Dependencies of the routes, managed by the rocket instance of the operators' listener.
#[derive(Clone)]
pub struct Context {
    /// Control plane.
    pub control: Arc<dyn Control>,
    /// Operators that may use the routes.
    pub operators: Operators,
    /// Logger for apply attempts and refused requests.
    pub logger: Logger,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("operators", &self.operators)
            .finish_non_exhaustive()
    }
}

/// Returns the routes under `/v1`. Mount them at `/`, and manage a [`Context`].
///
/// ```
/// let routes = kumquatdrum_operator::routes();
/// assert!(routes.iter().any(|route| route.uri.path() == "/v1/declaration"));
/// ```
pub fn routes() -> Vec<Route> {
    rocket::routes![apply, declaration, audit, status, schema]
}

type Authentication = Result<Identity, Reply>;

#[post("/v1/apply?<base>&<apply_id>&<wait>", data = "<body>")]
async fn apply(
    identity: Authentication,
    base: Option<&str>,
    apply_id: Option<&str>,
    wait: Option<&str>,
    body: Data<'_>,
    context: &State<Context>,
) -> Result<Reply, Reply> {
    let Identity(operator) = identity?;
    let base = parse_number("base", base)?.ok_or_else(|| Reply::bad_request("base is missing"))?;
    let wait = parse_number("wait", wait)?.map(Duration::from_millis);
    let text = read_text(body).await?;
    let mut request = ApplyRequest::new(operator, Version(base), text);
    if let Some(apply_id) = apply_id {
        request.apply_id = parse_apply_id(apply_id)?;
    }
    let operator = request.operator.clone();
    let id = request.apply_id.clone();
    let mut report = match context.control.apply(request).await {
        Ok(answer) => Report::from(answer),
        Err(failure) => Report::from(failure),
    };
    info!(context.logger, ""; "event" => "apply", "operator" => operator, "base" => base,
        "apply_id" => %id, "outcome" => report.outcome());
    if let (Report::Accepted { version, rollout }, Some(wait)) = (&mut report, wait) {
        *rollout = Some(wait_for_rollout(&*context.control, *version, wait.min(MAX_WAIT)).await);
    }
    Ok(report.into())
}

fn parse_number(name: &str, text: Option<&str>) -> Result<Option<u64>, Reply> {
    let parse = |text: &str| {
        let number = text.parse();
        number.map_err(|_| Reply::bad_request(format!("{name} must be a whole number")))
    };
    text.map(parse).transpose()
}

async fn read_text(body: Data<'_>) -> Result<String, Reply> {
    let text = body.open(MAX_BYTES.bytes()).into_string().await;
    let text = text.map_err(|_| Reply::bad_request("the file is not whole or not UTF-8"))?;
    if text.is_complete() {
        Ok(text.into_inner())
    } else {
        Err(Reply::too_large(MAX_BYTES))
    }
}

fn parse_apply_id(text: &str) -> Result<ApplyId, Reply> {
    let is_graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > ApplyId::MAX_BYTES || !is_graphic {
        let max = ApplyId::MAX_BYTES;
        let message = format!("apply_id must be 1 to {max} visible ASCII characters");
        return Err(Reply::bad_request(message));
    }
    Ok(ApplyId::new(text))
}

/// Polls the status until the version is in force everywhere or the time is up.
async fn wait_for_rollout(control: &dyn Control, version: Version, wait: Duration) -> Rollout {
    let end = Instant::now() + wait;
    let mut progress = Progress::new(version);
    loop {
        if let Ok(status) = control.status().await {
            progress.observe(&status);
        }
        let rollout = progress.rollout();
        if rollout.is_everywhere || Instant::now() >= end {
            return rollout;
        }
        tokio::time::sleep(STATUS_INTERVAL).await;
    }
}

#[get("/v1/declaration?<version>&<at>")]
async fn declaration(
    identity: Authentication,
    version: Option<&str>,
    at: Option<&str>,
    context: &State<Context>,
) -> Result<Declaration, Reply> {
    identity?;
    let selector = match (parse_number("version", version)?, parse_number("at", at)?) {
        (None, None) => Selector::Current,
        (Some(version), None) => Selector::Version(Version(version)),
        (None, Some(unix_ms)) => Selector::At(unix_ms),
        (Some(_), Some(_)) => {
            return Err(Reply::bad_request("give a version or a time, not both"));
        }
    };
    Ok(Declaration(context.control.show(selector).await?))
}

/// A response with the exact text of a declaration. Its version and state are in the headers.
struct Declaration(Revision);

impl<'r> Responder<'r, 'static> for Declaration {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        let Self(revision) = self;
        let standing = serde_json::to_string(&revision.standing).unwrap_or_default();
        let text = revision.text.as_bytes().to_vec();
        Response::build()
            .header(ContentType::JSON)
            .header(Header::new(VERSION_HEADER, revision.version.to_string()))
            .header(Header::new(DIGEST_HEADER, revision.digest.to_string()))
            .header(Header::new(
                ACCEPTED_HEADER,
                revision.accepted_unix_ms.to_string(),
            ))
            .header(Header::new(STANDING_HEADER, standing))
            .sized_body(text.len(), std::io::Cursor::new(text))
            .ok()
    }
}

#[get("/v1/audit?<from>&<limit>")]
async fn audit(
    identity: Authentication,
    from: Option<&str>,
    limit: Option<&str>,
    context: &State<Context>,
) -> Result<Json<control::Page>, Reply> {
    identity?;
    let from = parse_number("from", from)?.unwrap_or(1);
    let limit = parse_number("limit", limit)?.map_or(DEFAULT_PAGE_SIZE, |limit| limit as usize);
    let page = context
        .control
        .audit(from, limit.clamp(1, MAX_PAGE_SIZE))
        .await?;
    Ok(Json(page))
}

#[get("/v1/status")]
async fn status(
    identity: Authentication,
    context: &State<Context>,
) -> Result<Json<control::Status>, Reply> {
    identity?;
    let status: Result<_, Failure> = context.control.status().await;
    Ok(Json(status?))
}

#[get("/v1/schema")]
fn schema(identity: Authentication) -> Result<Json<serde_json::Value>, Reply> {
    identity?;
    Ok(Json(kumquatdrum_declaration::schema()))
}
