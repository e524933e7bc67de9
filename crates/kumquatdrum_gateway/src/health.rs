//! Handlers for health checks and metrics.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::Gateway;
use crate::body::{self, Body};

/// Answers a health check: whether this host accepts callers.
pub fn handle(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let is_health_check = gateway
        .protocol
        .is_health_check(request.method(), request.uri().path());
    let status = match gateway.is_ready() {
        _ if !is_health_check => StatusCode::NOT_FOUND,
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(body::full(""));
    *response.status_mut() = status;
    response
}

/// Serves the metrics in the Prometheus format.
pub fn metrics(gateway: &Gateway) -> Response<Body> {
    gateway.update_gauges();
    Response::new(body::full(gateway.metrics.text()))
}
