//! The rest of requests that are answered before they have been read.

use std::time::Duration;

use http::{HeaderValue, Response, header, request};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::Gateway;
use crate::body::Body;
use crate::listener::Progress;

/// The maximum number of bytes that are read on, if twice the limit on a body isn't more.
const MIN_MAX_BYTES: u64 = 4 << 20;
/// The maximum time for which they are read.
const MAX_TIME: Duration = Duration::from_secs(10);

/// Reads and drops the rest of a request's body while its response is sent, as bytes that arrive at a
/// closed connection reset it before the caller has read the response. If the body is not awaited,
/// the response says that the connection closes.
pub(super) fn discard(
    gateway: &Gateway,
    head: &request::Parts,
    body: Incoming,
    response: &mut Response<Body>,
) {
    if body.is_end_stream() {
        return;
    }
    let max_bytes = MIN_MAX_BYTES.max(gateway.limits().body_bytes as u64 * 2);
    // Reading would tell the caller to send the body.
    let is_sent = !head.headers.contains_key(header::EXPECT);
    if !is_sent || body.size_hint().lower() > max_bytes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        return;
    }
    let progress = head.extensions.get::<Progress>().cloned();
    gateway.spawn(async move {
        let has_ended = timeout(MAX_TIME, read_to_end(body, max_bytes)).await;
        if let (Ok(true), Some(progress)) = (has_ended, progress) {
            progress.record_body();
        }
    });
}

/// Drops the bytes of a body, and returns whether it has ended within a number of them.
async fn read_to_end(mut body: Incoming, max_bytes: u64) -> bool {
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
        if bytes > max_bytes {
            return false;
        }
    }
    true
}
