//! Construction of response bodies.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The error that ends an incomplete body.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of a response to a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Creates a body from complete bytes.
///
/// ```
/// use http_body::Body;
///
/// assert_eq!(kumquatdrum_gateway::body::full("done").size_hint().exact(), Some(4));
/// ```
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a JSON response that this host generates itself.
///
/// ```
/// use http::StatusCode;
///
/// let response = kumquatdrum_gateway::body::json(StatusCode::OK, "{}");
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
