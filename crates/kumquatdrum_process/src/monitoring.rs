//! The monitoring listener: health checks, liveness checks and metrics.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{Route, State, get, routes};

use crate::{Drain, Metrics};

/// Answers the load balancer's health check: 200 if this host accepts callers, or 503 with the
/// reason.
#[get("/health")]
fn health(drain: &State<Arc<Drain>>) -> (Status, &'static str) {
    match (drain.is_ready(), drain.is_draining()) {
        (true, _) => (Status::Ok, "ready\n"),
        (false, true) => (Status::ServiceUnavailable, "draining\n"),
        (false, false) => (Status::ServiceUnavailable, "starting\n"),
    }
}

/// Answers a liveness check, which succeeds as long as the process runs.
#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/metrics")]
fn metrics(metrics: &State<Arc<Metrics>>) -> (ContentType, String) {
    (ContentType::Plain, metrics.text())
}

/// Returns the routes of the monitoring listener. The Rocket instance that mounts them must manage
/// an `Arc<Drain>` and an `Arc<Metrics>`.
pub fn routes() -> Vec<Route> {
    routes![health, live, metrics]
}
