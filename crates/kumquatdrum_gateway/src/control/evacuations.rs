//! Handlers for operators' orders to evacuate a data centre, and for their status.

use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response, StatusCode};
use kumquatdrum_process::clock::unix_ms;
use kumquatdrum_routes::Evacuations;
use kumquatdrum_routes::evacuation::Change;
use kumquatdrum_types::{DataCentre, Finding, HostId};
use serde::Serialize;
use slog::{error, info};
use tokio::time::timeout;

use super::arrival::Arrival;
use super::leader::{self, Limits, Reply};
use super::{findings, status};
use crate::Gateway;
use crate::body::{Body, json};
use crate::gateway::evacuations::PROGRESS_TIMEOUT;
use crate::listener::Peer;
use crate::message;
use crate::protocol::Operation;
use crate::replica::Command;

/// The path of the native API.
const PATH: &str = "/evacuations";
/// The reason why an order to an unknown data centre is refused.
const UNKNOWN_DATA_CENTRE: &str = "unknown data centre";

/// When an order arrived, and from where.
#[derive(Debug, Clone, Copy)]
pub(super) struct Order {
    pub(super) peer: Option<Peer>,
    pub(super) arrival: Arrival,
}

impl Order {
    /// Returns the time that is left for reading the state, or `None` if it is over.
    fn time_to_read(&self) -> Option<Duration> {
        let left = self.arrival.time_for_leader();
        (!left.is_zero()).then_some(left)
    }
}

/// Parses a request to the native API.
pub(super) fn parse_operation(method: &Method, path: &str) -> Option<Operation> {
    let rest = path.strip_prefix(PATH)?;
    let data_centre = rest.strip_prefix('/').filter(|name| !name.is_empty());
    match data_centre {
        None if rest.is_empty() && method == Method::GET => Some(Operation::ReadEvacuations),
        Some(name) if method == Method::PUT => {
            Some(Operation::StartEvacuation(DataCentre::new(name)))
        }
        Some(name) if method == Method::DELETE => {
            Some(Operation::EndEvacuation(DataCentre::new(name)))
        }
        _ => None,
    }
}

/// Commits an order. Each attempt ends when its caller disconnects, since its connection's task drops
/// it.
pub(super) async fn order(
    gateway: &Arc<Gateway>,
    data_centre: &DataCentre,
    is_active: bool,
    order: Order,
) -> Response<Body> {
    let by = order
        .peer
        .map_or_else(String::new, |peer| peer.0.ip().to_string());
    info!(gateway.logger, "evacuation_ordered"; "event" => "evacuation_ordered",
        "data_centre" => data_centre.as_str(), "active" => is_active, "by" => &by);
    let committed = commit(gateway, data_centre, is_active, (&order, &by)).await;
    info!(gateway.logger, "evacuation_answered"; "event" => "evacuation_answered",
        "data_centre" => data_centre.as_str(), "active" => is_active, "by" => &by,
        "outcome" => committed.as_ref().map_or_else(|reason| reason, |_| &"committed"),
        "ms" => order.arrival.elapsed_ms());
    let evacuations = match committed {
        Ok(evacuations) => evacuations,
        Err(UNKNOWN_DATA_CENTRE) => {
            let finding = Finding::new("", format!("unknown data centre: {data_centre}"));
            return findings(StatusCode::NOT_FOUND, &[finding]);
        }
        Err(_) => return status(StatusCode::SERVICE_UNAVAILABLE),
    };
    let is_in_effect = adopt_committed(gateway, &evacuations, &order).await;
    if is_in_effect
        && gateway
            .confirm_evacuations(order.arrival.time_to_answer())
            .await
    {
        json(StatusCode::OK, "{}")
    } else {
        status(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Adopts a committed state. Returns whether it is in effect, which it is not if this host knows a
/// version that the leader lacks: hosts keep the highest version. This happens if more disks of control
/// hosts were lost than tolerated, while other hosts kept a later state.
async fn adopt_committed(gateway: &Arc<Gateway>, committed: &Evacuations, order: &Order) -> bool {
    gateway.adopt_evacuations(committed, "leader", false);
    let known = gateway.evacuations.current().version();
    if known <= committed.version() {
        return true;
    }
    // Another order may have been committed since.
    let read = read_from_leader(gateway, false, order.arrival.time_to_answer()).await;
    let message::Response::Evacuations(newest) = read.response else {
        return false;
    };
    gateway.adopt_evacuations(&newest, "leader", false);
    let is_in_effect = known <= newest.version();
    if !is_in_effect {
        error!(gateway.logger, "evacuation_without_effect"; "event" => "evacuation_without_effect",
            "committed" => newest.version(), "known" => known);
    }
    is_in_effect
}

/// Commits an order, and returns the state after it or the reason why that is unknown or failed.
async fn commit(
    gateway: &Arc<Gateway>,
    data_centre: &DataCentre,
    is_active: bool,
    (order, by): (&Order, &str),
) -> Result<Evacuations, &'static str> {
    // The order may have arrived before the suspension.
    if gateway.evacuations.suspension().has_resumed_lately() {
        return Err("suspended");
    }
    loop {
        let left = order.time_to_read().ok_or("too late")?;
        let read = read_from_leader(gateway, false, left);
        let read = timeout(left, read).await.map_err(|_| "too late")?;
        order.time_to_read().ok_or("too late")?;
        let message::Response::Evacuations(current) = read.response else {
            return Err("not read");
        };
        // A host that has just started may not know the data centre of an earlier order.
        let mut ordered = current.data_centres();
        if !is_known(gateway, data_centre) && !ordered.any(|(known, _)| known == data_centre) {
            return Err(UNKNOWN_DATA_CENTRE);
        }
        let change = Change {
            base: current.base(data_centre),
            data_centre: data_centre.clone(),
            is_active,
            by: by.to_owned(),
            at_ms: unix_ms(),
        };
        let limits = Limits {
            time: order.arrival.time_to_answer(),
            first: read.leader,
        };
        let proposed = leader::send(gateway, &Command::Evacuate(change), limits).await;
        match proposed.response {
            message::Response::Evacuations(evacuations) => return Ok(evacuations),
            message::Response::Stale => {}
            _ => return Err("unknown"),
        }
    }
}

/// Reads the state from the leader.
async fn read_from_leader(gateway: &Arc<Gateway>, includes_audit: bool, limit: Duration) -> Reply {
    let command = Command::Evacuations { includes_audit };
    leader::send(gateway, &command, Limits::within(limit)).await
}

/// Returns whether a data centre exists, by the settings or by a host, endpoint or order that this host
/// knows.
fn is_known(gateway: &Gateway, data_centre: &DataCentre) -> bool {
    let settings = &gateway.settings;
    let current = gateway.evacuations.current();
    let is_host = || {
        let hosts = gateway.hosts.live_hosts();
        hosts.iter().any(|host| host.data_centre == *data_centre)
    };
    settings.data_centre == *data_centre
        || settings.data_centres.contains(data_centre)
        || current
            .data_centres()
            .any(|(known, _)| known == data_centre)
        || is_host()
        || gateway.endpoints.has_data_centre(data_centre)
}

/// The status of all evacuations.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Status<'a> {
    version: u64,
    /// Whether a majority of the control hosts has confirmed the state.
    is_confirmed: bool,
    /// The time within which an order is in effect on all hosts.
    bound_ms: u64,
    data_centres: Vec<Progress<'a>>,
    /// The live hosts that do not have the newest version yet.
    hosts_behind: Vec<String>,
    audit: Vec<Audit<'a>>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Progress<'a> {
    data_centre: &'a str,
    is_evacuated: bool,
    since_ms: u64,
    /// The number of requests that still run there.
    running: u32,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct Audit<'a> {
    version: u64,
    data_centre: &'a str,
    change: &'static str,
    by: &'a str,
    at_ms: u64,
}

/// Reads the status. Without a confirmed state, it is that of this host.
pub(super) async fn read(gateway: &Arc<Gateway>, arrival: Arrival) -> Response<Body> {
    let limit = arrival.time_for_leader().saturating_sub(PROGRESS_TIMEOUT);
    let reply = read_from_leader(gateway, true, limit).await;
    let (evacuations, is_confirmed) = match reply.response {
        message::Response::Evacuations(evacuations) => (evacuations, true),
        _ => ((*gateway.evacuations.current()).clone(), false),
    };
    gateway.adopt_evacuations(&evacuations, "leader", false);
    gateway.collect_progress().await;
    let version = evacuations.version();
    let data_centres = evacuations.data_centres();
    let live = gateway.hosts.live_hosts();
    let live: Vec<HostId> = live.into_iter().map(|host| host.id).collect();
    let running = gateway.evacuations.count_running(&live);
    let is_behind = |host: &&HostId| gateway.evacuations.version_of(host).unwrap_or(0) < version;
    let behind = live.iter().filter(is_behind);
    let status = Status {
        version,
        is_confirmed,
        bound_ms: gateway.settings.evacuate_ms,
        data_centres: data_centres
            .map(|(data_centre, state)| Progress {
                data_centre: data_centre.as_str(),
                is_evacuated: state.is_active,
                since_ms: state.changed_ms,
                running: running.get(data_centre).copied().unwrap_or(0),
            })
            .collect(),
        hosts_behind: behind.map(ToString::to_string).collect(),
        audit: evacuations
            .audit()
            .map(|entry| Audit {
                version: entry.version,
                data_centre: entry.data_centre.as_str(),
                change: if entry.is_active { "start" } else { "end" },
                by: &entry.by,
                at_ms: entry.at_ms,
            })
            .collect(),
    };
    match serde_json::to_vec(&status) {
        Ok(text) => json(StatusCode::OK, text),
        Err(_) => super::status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
