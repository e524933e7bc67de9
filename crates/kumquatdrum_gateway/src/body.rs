//! Construction of response bodies.

use bytes::Bytes;
use futures::stream;
use http::{HeaderValue, Response, StatusCode, Version, header};
use http_body::Frame;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use kumquatdrum_response::Framing;

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

/// Creates a response from complete bytes that an endpoint sent with a framing.
pub fn framed(response: Response<Bytes>, framing: Framing) -> Response<Body> {
    let mut response = match framing {
        Framing::Empty | Framing::Length | Framing::Chunked => response.map(full),
        Framing::Close => response.map(|bytes| {
            let frame = Ok(Frame::data(bytes));
            StreamBody::new(stream::iter([frame])).boxed_unsync()
        }),
    };
    frame(&mut response, framing);
    response
}

/// Prepares a response so that its body is framed as an endpoint's: if nothing marks the end there,
/// the connection is closed after it.
pub fn frame(response: &mut Response<Body>, framing: Framing) {
    if framing == Framing::Close {
        // hyper adds chunks to bodies of unknown length in HTTP/1.1.
        *response.version_mut() = Version::HTTP_10;
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
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
