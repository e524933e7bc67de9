//! Handlers for requests from operators and endpoints, on control hosts.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kumquatdrum_registry::Change;
use kumquatdrum_routes::{Record, validate};
use kumquatdrum_types::{EndpointId, Finding};
use slog::{error, info, warn};
use tokio::task::{JoinError, spawn_blocking};
use tokio::time::Instant;

use crate::Gateway;
use crate::body::{Body, json};
use crate::listener::{Peer, Progress};
use crate::message;
use crate::protocol::{Operation, Protocol};
use crate::replica::Command;

mod arrival;
mod evacuations;
mod leader;
pub mod search;

use arrival::Arrival;
use leader::Limits;

/// The least time for the leader's answer to an apply whose text took long to decode. Callers wait longer
/// for large texts.
const MIN_APPLY_TIME: Duration = Duration::from_millis(500);

/// Handles one request from an operator or endpoint.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = request.into_parts();
    let arrival = Arrival::now();
    let peer = head.extensions.get::<Peer>().copied();
    let operation = evacuations::parse_operation(&head.method, head.uri.path());
    let operation = operation.unwrap_or_else(|| {
        let protocol = &gateway.protocol;
        protocol.parse_operation(&head.method, head.uri.path())
    });
    let body = match Limited::new(body, Record::MAX_TEXT_BYTES).collect().await {
        Ok(body) => {
            if let Some(progress) = head.extensions.get::<Progress>() {
                progress.record_body();
            }
            body.to_bytes()
        }
        Err(error) => {
            let finding = Finding::new("", format!("the body could not be read: {error}"));
            return Ok(invalid(&[finding]));
        }
    };
    let call = Call::start(&gateway.logger, operation.name());
    let response = match operation {
        Operation::Apply => apply(&gateway, body, Arrival::now()).await,
        Operation::Read => read(&gateway, arrival).await,
        Operation::Announce(id) => announce(&gateway, id, &body).await,
        Operation::Leave(id) => leave(&gateway, &id, &body).await,
        Operation::StartEvacuation(data_centre) => {
            let order = evacuations::Order { peer, arrival };
            evacuations::order(&gateway, &data_centre, true, order).await
        }
        Operation::EndEvacuation(data_centre) => {
            let order = evacuations::Order { peer, arrival };
            evacuations::order(&gateway, &data_centre, false, order).await
        }
        Operation::ReadEvacuations => evacuations::read(&gateway, arrival).await,
        Operation::Unknown => status(StatusCode::NOT_FOUND),
    };
    call.finish();
    Ok(response)
}

/// A call that is being handled. One whose caller disconnects is dropped before its end, and logged.
struct Call<'a> {
    logger: &'a slog::Logger,
    operation: &'static str,
    started: Instant,
    is_finished: bool,
}

impl<'a> Call<'a> {
    fn start(logger: &'a slog::Logger, operation: &'static str) -> Self {
        Self {
            logger,
            operation,
            started: Instant::now(),
            is_finished: false,
        }
    }

    fn finish(mut self) {
        self.is_finished = true;
    }
}

impl Drop for Call<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            info!(self.logger, "call_abandoned"; "event" => "call_abandoned",
                "operation" => self.operation, "ms" => self.started.elapsed().as_millis() as u64);
        }
    }
}

/// Runs work on a large setup on another thread, so that the replica's heartbeats are not delayed.
async fn run_blocking<T: Send + 'static>(
    gateway: &Gateway,
    work: impl FnOnce() -> T + Send + 'static,
) -> Option<T> {
    let joined = spawn_blocking(work).await;
    let log_error = |reason: &JoinError| {
        error!(gateway.logger, "setup_not_worked_on"; "event" => "setup_not_worked_on",
            "reason" => %reason);
    };
    joined.inspect_err(log_error).ok()
}

/// Applies a setup. Its time counts from when its text has been read, as callers wait longer for large
/// texts.
async fn apply(gateway: &Arc<Gateway>, text: Bytes, received: Arrival) -> Response<Body> {
    let protocol = gateway.protocol.clone();
    let decode = move || decode_record(protocol.as_ref(), &text);
    let Some(decoded) = run_blocking(gateway, decode).await else {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    };
    let record = match decoded {
        Ok(record) => record,
        Err(findings) => {
            let first = findings.first().map(ToString::to_string);
            info!(gateway.logger, "setup_refused"; "event" => "setup_refused",
                "findings" => findings.len(), "first" => first);
            return invalid(&findings);
        }
    };
    let revision = record.revision;
    let limits = Limits::within(received.time_for_leader().max(MIN_APPLY_TIME));
    let reply = leader::send(gateway, &Command::Apply(record), limits).await;
    let is_applied = matches!(reply.response, message::Response::Applied);
    info!(gateway.logger, "setup_asked"; "event" => "setup_asked", "revision" => revision,
        "committed" => is_applied, "known" => gateway.active_setup.revision(),
        "by" => reply.leader(), "asked" => reply.requests, "ms" => reply.ms());
    if is_applied {
        json(StatusCode::OK, "{}")
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Decodes and validates the text of a setup. Returns it as a record, or every error in it.
fn decode_record(protocol: &dyn Protocol, text: &[u8]) -> Result<Record, Vec<Finding>> {
    let setup = protocol.decode_setup(text)?;
    match validate(&setup) {
        findings if !findings.is_empty() => Err(findings),
        _ => Record::new(setup.revision, text)
            .map_err(|error| vec![Finding::new("", error.to_string())]),
    }
}

async fn read(gateway: &Arc<Gateway>, arrival: Arrival) -> Response<Body> {
    let limits = Limits::within(arrival.time_for_leader());
    let reply = leader::send(gateway, &Command::Read, limits).await;
    let record = match &reply.response {
        message::Response::Current(Some(record)) => record.clone(),
        response => {
            info!(gateway.logger, "read_refused"; "event" => "read_refused",
                "is_empty" => matches!(response, message::Response::Current(None)),
                "asked" => reply.requests, "ms" => reply.ms());
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    let revision = record.revision;
    match run_blocking(gateway, move || record.text()).await {
        Some(Ok(text)) => {
            info!(gateway.logger, "setup_read"; "event" => "setup_read",
                "revision" => revision, "by" => reply.leader(), "asked" => reply.requests,
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

async fn announce(gateway: &Arc<Gateway>, id: EndpointId, body: &[u8]) -> Response<Body> {
    let announcement = match gateway.protocol.decode_announcement(&id, body) {
        Ok(announcement) => announcement,
        Err(finding) => {
            warn!(gateway.logger, "announcement_refused"; "event" => "announcement_refused",
                "endpoint" => id.as_str(), "finding" => %finding);
            return invalid(&[finding]);
        }
    };
    let is_leaving = announcement.leaving;
    let (change, update) = gateway.endpoints.announce(announcement);
    match (change, update) {
        (Change::New | Change::Heard, Some(update)) if !is_leaving => {
            gateway.broadcast_addition(update);
        }
        (Change::Cooled, Some(update)) if !is_leaving => {
            gateway.broadcast_endpoints(vec![update]);
            gateway.refresh_pool();
        }
        (Change::New | Change::Changed, Some(update)) => {
            gateway.confirm_endpoints(vec![update]).await;
        }
        _ => {}
    }
    json(StatusCode::OK, "{}")
}

async fn leave(gateway: &Arc<Gateway>, id: &EndpointId, body: &[u8]) -> Response<Body> {
    let incarnation = gateway.protocol.decode_leave(body);
    let is_accepted = gateway.leave_endpoint(id, incarnation).await
        || gateway.forward_leave(id, incarnation).await;
    if is_accepted {
        json(StatusCode::OK, "{}")
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

fn status(status: StatusCode) -> Response<Body> {
    json(status, "{}")
}

fn invalid(list: &[Finding]) -> Response<Body> {
    findings(StatusCode::BAD_REQUEST, list)
}

fn findings(status: StatusCode, list: &[Finding]) -> Response<Body> {
    let list: Vec<String> = list.iter().map(ToString::to_string).collect();
    let text = serde_json::json!({ "findings": list }).to_string();
    json(status, text)
}
