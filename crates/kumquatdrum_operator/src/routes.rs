//! The HTTP interface of operators.

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

use crate::auth::{Operators, Sender};
use crate::progress::Progress;
use crate::rejection::Rejection;
use crate::report::{
    ACCEPTED_HEADER, DIGEST_HEADER, Report, STANDING_HEADER, Spread, VERSION_HEADER,
};

/// The longest that an apply waits for its version to spread.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// How often it looks.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// The most entries of one page of the audit trail.
const MAX_PAGE: usize = 1_000;
const DEFAULT_PAGE: usize = 100;

/// What the routes need; `rocket.manage` it on the operators' listener.
#[derive(Clone)]
pub struct Context {
    /// The control plane.
    pub control: Arc<dyn Control>,
    /// Who may operate.
    pub operators: Operators,
    /// Where each attempt is logged, without secrets.
    pub logger: Logger,
}

impl fmt::Debug for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Context")
            .field("operators", &self.operators)
            .finish_non_exhaustive()
    }
}

/// The routes under `/v1`; mount them at `/`, and manage a [`Context`].
///
/// ```
/// let routes = kumquatdrum_operator::routes();
/// assert!(routes.iter().any(|route| route.uri.path() == "/v1/declaration"));
/// ```
pub fn routes() -> Vec<Route> {
    rocket::routes![apply, declaration, audit, status, schema]
}

type Sent = Result<Sender, Rejection>;

#[post("/v1/apply?<base>&<apply_id>&<wait>", data = "<body>")]
async fn apply(
    sender: Sent,
    base: Option<&str>,
    apply_id: Option<&str>,
    wait: Option<&str>,
    body: Data<'_>,
    context: &State<Context>,
) -> Result<Rejection, Rejection> {
    let Sender(operator) = sender?;
    let base = number("base", base)?.ok_or_else(|| Rejection::bad_request("base is missing"))?;
    let wait = number("wait", wait)?.map(Duration::from_millis);
    let text = text(body).await?;
    let mut request = ApplyRequest::new(operator, Version(base), text);
    if let Some(apply_id) = apply_id {
        request.apply_id = chosen_id(apply_id)?;
    }
    let operator = request.operator.clone();
    let id = request.apply_id.clone();
    let mut report = match context.control.apply(request).await {
        Ok(answer) => Report::from(answer),
        Err(failure) => Report::from(failure),
    };
    info!(context.logger, ""; "event" => "apply", "operator" => operator, "base" => base,
        "apply_id" => %id, "outcome" => report.word());
    if let (Report::Accepted { version, spread }, Some(wait)) = (&mut report, wait) {
        *spread = Some(follow(&*context.control, *version, wait.min(MAX_WAIT)).await);
    }
    Ok(report.into())
}

fn number(name: &str, text: Option<&str>) -> Result<Option<u64>, Rejection> {
    let parse = |text: &str| {
        let number = text.parse();
        number.map_err(|_| Rejection::bad_request(format!("{name} must be a whole number")))
    };
    text.map(parse).transpose()
}

async fn text(body: Data<'_>) -> Result<String, Rejection> {
    let text = body.open(MAX_BYTES.bytes()).into_string().await;
    let text = text.map_err(|_| Rejection::bad_request("the file is not whole or not UTF-8"))?;
    if text.is_complete() {
        Ok(text.into_inner())
    } else {
        Err(Rejection::too_large(MAX_BYTES))
    }
}

fn chosen_id(text: &str) -> Result<ApplyId, Rejection> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > ApplyId::MAX_BYTES || !is_plain {
        let max = ApplyId::MAX_BYTES;
        let message = format!("apply_id must be 1 to {max} visible ASCII characters");
        return Err(Rejection::bad_request(message));
    }
    Ok(ApplyId::new(text))
}

/// Looks at the status until the version is in force everywhere or the time is up.
async fn follow(control: &dyn Control, version: Version, wait: Duration) -> Spread {
    let end = Instant::now() + wait;
    let mut progress = Progress::new(version);
    loop {
        if let Ok(status) = control.status().await {
            progress.observe(&status);
        }
        let spread = progress.spread();
        if spread.everywhere || Instant::now() >= end {
            return spread;
        }
        tokio::time::sleep(WAIT_INTERVAL).await;
    }
}

#[get("/v1/declaration?<version>&<at>")]
async fn declaration(
    sender: Sent,
    version: Option<&str>,
    at: Option<&str>,
    context: &State<Context>,
) -> Result<ReadBack, Rejection> {
    sender?;
    let selector = match (number("version", version)?, number("at", at)?) {
        (None, None) => Selector::Current,
        (Some(version), None) => Selector::Version(Version(version)),
        (None, Some(unix_ms)) => Selector::At(unix_ms),
        (Some(_), Some(_)) => {
            return Err(Rejection::bad_request("give a version or a time, not both"));
        }
    };
    Ok(ReadBack(context.control.show(selector).await?))
}

/// The file byte for byte; what is known of it stands in the headers.
struct ReadBack(Revision);

impl<'r> Responder<'r, 'static> for ReadBack {
    fn respond_to(self, _: &'r rocket::Request<'_>) -> rocket::response::Result<'static> {
        let Self(shown) = self;
        let standing = serde_json::to_string(&shown.standing).unwrap_or_default();
        let text = shown.text.as_bytes().to_vec();
        Response::build()
            .header(ContentType::JSON)
            .header(Header::new(VERSION_HEADER, shown.version.to_string()))
            .header(Header::new(DIGEST_HEADER, shown.digest.to_string()))
            .header(Header::new(
                ACCEPTED_HEADER,
                shown.accepted_unix_ms.to_string(),
            ))
            .header(Header::new(STANDING_HEADER, standing))
            .sized_body(text.len(), std::io::Cursor::new(text))
            .ok()
    }
}

#[get("/v1/audit?<from>&<limit>")]
async fn audit(
    sender: Sent,
    from: Option<&str>,
    limit: Option<&str>,
    context: &State<Context>,
) -> Result<Json<control::Page>, Rejection> {
    sender?;
    let from = number("from", from)?.unwrap_or(1);
    let limit = number("limit", limit)?.map_or(DEFAULT_PAGE, |limit| limit as usize);
    let page = context
        .control
        .audit(from, limit.clamp(1, MAX_PAGE))
        .await?;
    Ok(Json(page))
}

#[get("/v1/status")]
async fn status(
    sender: Sent,
    context: &State<Context>,
) -> Result<Json<control::Status>, Rejection> {
    sender?;
    let status: Result<_, Failure> = context.control.status().await;
    Ok(Json(status?))
}

#[get("/v1/schema")]
fn schema(sender: Sent) -> Result<Json<serde_json::Value>, Rejection> {
    sender?;
    Ok(Json(kumquatdrum_declaration::schema()))
}
