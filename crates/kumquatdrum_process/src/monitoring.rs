//! The platform's listener: health and liveness checks, metrics.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{Route, State, get, routes};

use crate::{Drain, Metrics};

/// Tells the load balancer whether to route callers here: 200 `ready`, or 503 with the reason.
#[get("/health")]
fn health(drain: &State<Arc<Drain>>) -> (Status, &'static str) {
    match (drain.is_ready(), drain.is_draining()) {
        (true, _) => (Status::Ok, "ready\n"),
        (false, true) => (Status::ServiceUnavailable, "draining\n"),
        (false, false) => (Status::ServiceUnavailable, "starting\n"),
    }
}

/// Answers as long as the process runs.
#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/metrics")]
fn metrics(metrics: &State<Arc<Metrics>>) -> (ContentType, String) {
    (ContentType::Plain, metrics.text())
}

/// Returns the routes of the platform's listener. The rocket instance that mounts them must manage
/// an `Arc<Drain>` and an `Arc<Metrics>`.
pub fn routes() -> Vec<Route> {
    routes![health, live, metrics]
}
