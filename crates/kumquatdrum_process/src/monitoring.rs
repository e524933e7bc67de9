//! The platform's listener: health for the balancer, liveness, metrics.

use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{Route, State, get, routes};

use crate::{Drain, Metrics};

/// Whether the balancer should send callers here: 200 `ready` or 503 with why not.
#[get("/health")]
fn health(drain: &State<Arc<Drain>>) -> (Status, &'static str) {
    match (drain.is_ready(), drain.is_draining()) {
        (true, _) => (Status::Ok, "ready\n"),
        (false, true) => (Status::ServiceUnavailable, "draining\n"),
        (false, false) => (Status::ServiceUnavailable, "starting\n"),
    }
}

/// Whether the process runs at all.
#[get("/live")]
fn live() -> &'static str {
    "live\n"
}

#[get("/metrics")]
fn metrics(metrics: &State<Arc<Metrics>>) -> (ContentType, String) {
    (ContentType::Plain, metrics.text())
}

/// The routes of the platform's listener; the state they need is an `Arc<Drain>` and an
/// `Arc<Metrics>`, both managed by the rocket instance that mounts them.
pub fn routes() -> Vec<Route> {
    routes![health, live, metrics]
}
