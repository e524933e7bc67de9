//! What operators and endpoints say to a control host.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kumquatdrum_peer::Channel;
use kumquatdrum_registry::{Change, Update};
use kumquatdrum_routes::{Record, validate};
use kumquatdrum_types::{EndpointId, Finding, HostId};
use slog::{error, info, warn};
use tokio::task::{JoinError, spawn_blocking};
use tokio::time::{Instant, sleep, timeout};

use crate::Gateway;
use crate::body::{Body, json};
use crate::broadcast::RelayPath;
use crate::message::{Answer, Question};
use crate::protocol::{Operation, Protocol};
use crate::replica::Ask;

/// How long one replica may take to answer as the leader.
const ONE: Duration = Duration::from_millis(900);
/// How long a call may take over all replicas: an election, and the call after it.
const ALL: Duration = Duration::from_millis(2_800);
/// The pause after all replicas were asked in vain.
const ROUND: Duration = Duration::from_millis(60);
/// Answers one call.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = request.into_parts();
    let operation = gateway.protocol.operation(&head.method, head.uri.path());
    let body = match Limited::new(body, Record::MAX_TEXT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let finding = Finding::new("", format!("the body could not be read: {error}"));
            return Ok(invalid(&[finding]));
        }
    };
    Ok(match operation {
        Operation::Apply => apply(&gateway, body).await,
        Operation::Read => read(&gateway).await,
        Operation::Announce(id) => announce(&gateway, id, &body).await,
        Operation::Leave(id) => leave(&gateway, &id, &body).await,
        Operation::Unknown => status(StatusCode::NOT_FOUND),
    })
}

/// Text is read, checked, packed and unpacked on another thread: a large one takes longer than the
/// heartbeats of this host's replica can wait.
async fn apart<T: Send + 'static>(
    gateway: &Gateway,
    work: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    let done = spawn_blocking(work).await;
    let failed = |reason: &JoinError| {
        error!(gateway.logger, "setup_not_worked_on"; "event" => "setup_not_worked_on",
            "reason" => %reason);
    };
    done.inspect_err(failed).ok()
}

async fn apply(gateway: &Arc<Gateway>, text: Bytes) -> Response<Body> {
    let protocol = gateway.protocol.clone();
    let checking = move || checked(protocol.as_ref(), &text);
    let Some(checked) = apart(gateway, checking).await else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let record = match checked {
        Ok(record) => record,
        Err(findings) => {
            let first = findings.first().map(ToString::to_string);
            info!(gateway.logger, "setup_refused"; "event" => "setup_refused",
                "findings" => findings.len(), "first" => first);
            return invalid(&findings);
        }
    };
    let revision = record.revision;
    let reply = ask_leader(gateway, Ask::Apply(record)).await;
    let is_applied = matches!(reply.answer, Answer::Applied);
    info!(gateway.logger, "setup_asked"; "event" => "setup_asked", "revision" => revision,
        "committed" => is_applied, "known" => gateway.in_force.revision(),
        "by" => reply.by(), "asked" => reply.asked, "ms" => reply.ms());
    if is_applied {
        json(StatusCode::OK, "{}")
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// A setup that may be put in force, as it is kept, or all that is wrong with the text.
fn checked(protocol: &dyn Protocol, text: &[u8]) -> Result<Record, Vec<Finding>> {
    let setup = protocol.setup(text)?;
    match validate(&setup) {
        findings if !findings.is_empty() => Err(findings),
        _ => Record::new(setup.revision, text)
            .map_err(|error| vec![Finding::new("", error.to_string())]),
    }
}

async fn read(gateway: &Arc<Gateway>) -> Response<Body> {
    let reply = ask_leader(gateway, Ask::Read).await;
    let record = match &reply.answer {
        Answer::Current(Some(record)) => record.clone(),
        answer => {
            info!(gateway.logger, "read_refused"; "event" => "read_refused",
                "is_empty" => matches!(answer, Answer::Current(None)),
                "asked" => reply.asked, "ms" => reply.ms());
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    let revision = record.revision;
    match apart(gateway, move || record.text()).await {
        Some(Ok(text)) => {
            info!(gateway.logger, "setup_read"; "event" => "setup_read",
                "revision" => revision, "by" => reply.by(), "asked" => reply.asked,
                "ms" => reply.ms(), "bytes" => text.len());
            json(StatusCode::OK, text)
        }
        Some(Err(error)) => {
            warn!(gateway.logger, "setup_unreadable"; "event" => "setup_unreadable",
                "revision" => revision, "reason" => %error);
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
        None => status(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// What came of asking for the leader.
struct Reply {
    answer: Answer,
    /// Who answered as the leader; none where nobody did.
    by: Option<HostId>,
    /// How many replicas were asked.
    asked: u32,
    started: Instant,
}

impl Reply {
    fn by(&self) -> Option<&str> {
        self.by.as_ref().map(HostId::as_str)
    }

    fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Asks until some replica answers as the leader. Both questions are idempotent.
async fn ask_leader(gateway: &Arc<Gateway>, ask: Ask) -> Reply {
    let started = Instant::now();
    let until = started + ALL;
    let mut asked = 0;
    let mut hint: Option<HostId> = None;
    loop {
        let own = gateway.hosts.local().id;
        let mut candidates = vec![own.clone()];
        candidates.extend(gateway.hosts.control());
        if let Some(hint) = hint.take() {
            candidates.retain(|host| *host != hint);
            candidates.insert(0, hint);
        }
        for host in candidates {
            let limit = ONE.min(until.saturating_duration_since(Instant::now()));
            asked += 1;
            let answer = if host == own {
                timeout(limit, gateway.ask_replica(ask.clone())).await
            } else {
                Ok(ask_peer(gateway, &host, &ask, limit).await)
            };
            match answer {
                Ok(Answer::NotLeader(Some(leader))) if leader != host => {
                    hint = Some(leader);
                    break;
                }
                Ok(Answer::NotLeader(_) | Answer::Unavailable) | Err(_) => {}
                Ok(answer) => {
                    return Reply {
                        answer,
                        by: Some(host),
                        asked,
                        started,
                    };
                }
            }
        }
        if Instant::now() + ROUND >= until {
            return Reply {
                answer: Answer::Unavailable,
                by: None,
                asked,
                started,
            };
        }
        sleep(ROUND).await;
    }
}

async fn ask_peer(gateway: &Gateway, host: &HostId, ask: &Ask, limit: Duration) -> Answer {
    let question = match ask {
        Ask::Apply(record) => Question::Apply(record.clone()),
        Ask::Read => Question::Read,
    };
    gateway
        .ask(host, Channel::Control, &question, limit)
        .await
        .unwrap_or(Answer::Unavailable)
}

async fn announce(gateway: &Arc<Gateway>, id: EndpointId, body: &[u8]) -> Response<Body> {
    let announcement = match gateway.protocol.announcement(&id, body) {
        Ok(announcement) => announcement,
        Err(finding) => {
            warn!(gateway.logger, "announcement_refused"; "event" => "announcement_refused",
                "endpoint" => id.as_str(), "finding" => %finding);
            return invalid(&[finding]);
        }
    };
    let is_leaving = announcement.leaving;
    let (change, update) = gateway.endpoints.announce(announcement);
    let update: Vec<Update> = update.into_iter().collect();
    match change {
        Change::New if !is_leaving => gateway.push_endpoints(update, RelayPath::Primary),
        Change::New | Change::Changed => gateway.confirm(update).await,
        Change::Refreshed | Change::Stale => {}
    }
    json(StatusCode::OK, "{}")
}

async fn leave(gateway: &Arc<Gateway>, id: &EndpointId, body: &[u8]) -> Response<Body> {
    let incarnation = gateway.protocol.farewell(body);
    let update = gateway.endpoints.leave(id, incarnation);
    if let Some(update) = update {
        gateway.confirm(vec![update]).await;
    }
    json(StatusCode::OK, "{}")
}

fn status(status: StatusCode) -> Response<Body> {
    json(status, "{}")
}

fn invalid(findings: &[Finding]) -> Response<Body> {
    let findings: Vec<String> = findings.iter().map(ToString::to_string).collect();
    let text = serde_json::json!({ "findings": findings }).to_string();
    json(StatusCode::BAD_REQUEST, text)
}
