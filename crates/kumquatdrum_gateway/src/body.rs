//! Bodies of answers.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Why a body broke off.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A body in one piece.
///
/// ```
/// use http_body::Body;
///
/// assert_eq!(kumquatdrum_gateway::body::whole("done").size_hint().exact(), Some(4));
/// ```
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer of this host's own, as JSON.
///
/// ```
/// use http::StatusCode;
///
/// let response = kumquatdrum_gateway::body::json(StatusCode::OK, "{}");
/// assert_eq!(response.headers()["content-type"], "application/json");
/// ```
pub fn json(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(text));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
