//! The balancer's question, and metrics.

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::Gateway;
use crate::body::{self, Body};

/// Answers whether this host takes callers.
pub fn handle(gateway: &Gateway, request: &Request<Incoming>) -> Response<Body> {
    let is_known = gateway
        .protocol
        .is_health(request.method(), request.uri().path());
    let status = match gateway.is_ready() {
        _ if !is_known => StatusCode::NOT_FOUND,
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(body::whole(""));
    *response.status_mut() = status;
    response
}

/// Serves the metrics.
pub fn metrics(gateway: &Gateway) -> Response<Body> {
    gateway.measure();
    Response::new(body::whole(gateway.meters.text()))
}
