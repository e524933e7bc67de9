//! HTTP client of plain services.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::{self, StreamExt};
use kumquatdrum_response::{Completeness, Framing};
use kumquatdrum_types::exchange::{Call, Event, Fault, Head};

use crate::service::{Events, Service};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Lowest status of server errors. Lower statuses are relayed to the caller.
const MIN_SERVER_ERROR_STATUS: u16 = 500;
/// Error bodies are truncated to this size.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// HTTP client of plain services. Each call opens a new connection: a pooled one may be broken
/// without notice, and plain services have no way to query the outcome of a call lost on it.
#[derive(Debug)]
pub struct Client {
    unpooled: reqwest::Client,
}

impl Client {
    /// Creates a client. Connections are opened on demand.
    pub fn new() -> Result<Self, reqwest::Error> {
        let unpooled = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self { unpooled })
    }
}

impl Service for Client {
    fn call(&self, call: Call) -> Events {
        let Ok(method) = call.method.parse::<reqwest::Method>() else {
            return fault(Fault::NotSent);
        };
        let url = format!("http://{}{}", call.target.address, call.path);
        let mut request = self
            .unpooled
            .request(method.clone(), url)
            .header(ATTEMPT_HEADER, call.attempt.as_str())
            .header("x-owner", call.owner.as_str())
            .timeout(call.time_left)
            .body(call.body);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        stream::once(send(method, request)).flatten().boxed()
    }
}

fn fault(fault: Fault) -> Events {
    stream::iter([Event::Fault(fault)]).boxed()
}

/// Sends a request and returns its response as a stream of events.
async fn send(method: reqwest::Method, request: reqwest::RequestBuilder) -> Events {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return fault(Fault::NotSent),
        Err(_) => return fault(Fault::Broken),
    };
    let Ok(framing) = Framing::of(&method, response.status(), response.headers()) else {
        return fault(Fault::Broken);
    };
    let status = response.status().as_u16();
    if status >= MIN_SERVER_ERROR_STATUS {
        return fault(read_error(status, response).await);
    }
    let end = match framing.completeness() {
        Completeness::Complete => Event::Finished,
        Completeness::Unknown | Completeness::Broken => Event::Fault(Fault::Broken),
    };
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let head = Head {
        status,
        content_type,
    };
    let chunks = response.bytes_stream().map(|chunk| match chunk {
        Ok(bytes) => Event::Chunk(bytes),
        Err(_) => Event::Fault(Fault::Broken),
    });
    stream::iter([Event::Accepted(head)])
        .chain(chunks)
        .chain(stream::iter([end]))
        .boxed()
}

async fn read_error(status: u16, response: reqwest::Response) -> Fault {
    match read_start(response, MAX_ERROR_BODY_BYTES).await {
        Ok(body) => Fault::Rejected { status, body },
        Err(_) => Fault::Broken,
    }
}

/// Reads a body to its end, or up to a number of bytes.
async fn read_start(mut response: reqwest::Response, max_bytes: usize) -> reqwest::Result<Bytes> {
    let mut body = BytesMut::new();
    while body.len() < max_bytes {
        let Some(chunk) = response.chunk().await? else {
            break;
        };
        body.extend_from_slice(&chunk);
    }
    body.truncate(max_bytes);
    Ok(body.freeze())
}
