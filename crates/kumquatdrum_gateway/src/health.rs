//! The balancer's question, and metrics.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::Gateway;
use crate::body::{self, Body};

/// Answers whether this host takes callers.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
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
    Ok(response)
}

/// Serves the metrics.
pub async fn metrics(
    gateway: Arc<Gateway>,
    _request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    gateway.measure();
    Ok(Response::new(body::whole(gateway.meters.text())))
}
