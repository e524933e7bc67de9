//! Engine protocol over HTTP, as specified in `docs/ENGINE-PROTOCOL.md`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::stream::{self, StreamExt};
use indexmap::IndexMap;
use kumquatdrum_orders::{Order, Report};
use kumquatdrum_response::Framing;
use kumquatdrum_types::exchange::{Call, Event, Fault, Head, Status, Target, Usage};
use kumquatdrum_types::{AttemptId, HostId};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

use crate::engine::{
    Attempt, CachePage, Engine, Events, OrderFuture, Precondition, ResponseFuture, Unreachable,
};
use crate::{order, sse};

const ATTEMPT_HEADER: &str = "x-attempt-id";
const END_MARKER: &[u8] = b"[DONE]";
/// Maximum idle time after which a pooled connection is reused.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of requests that do not stream a response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for which sent data may stay unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Error bodies are truncated to this size.
pub(crate) const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a body that is read as a whole.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// HTTP client of model engines, with a connection pool for each engine.
#[derive(Debug)]
pub struct Client {
    pools: Mutex<IndexMap<SocketAddr, reqwest::Client>>,
    unpooled: reqwest::Client,
    orders: reqwest::Client,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    #[serde(default = "assume_started")]
    started: bool,
}

/// Returns the default for error bodies without the field, as the attempt may have run.
const fn assume_started() -> bool {
    true
}

#[derive(Debug, Deserialize)]
struct Listing {
    attempts: Vec<Attempt>,
}

#[derive(Debug, Deserialize)]
struct EventId<'a> {
    #[serde(borrow)]
    id: Option<std::borrow::Cow<'a, str>>,
}

#[derive(Debug, Serialize)]
struct Reservation<'a> {
    id: &'a AttemptId,
    owner: &'a HostId,
    tokens: u64,
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Release {
    freed: bool,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Returns a builder with the settings that all connections to engines share.
pub(crate) fn client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
}

impl Client {
    /// Creates a client. Connections are opened on demand.
    pub fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            pools: Mutex::new(IndexMap::new()),
            unpooled: client_builder().pool_max_idle_per_host(0).build()?,
            orders: order::client()?,
        })
    }

    fn pooled(&self, address: SocketAddr) -> reqwest::Client {
        let mut pools = self.pools.lock().expect("no holder panics");
        pools
            .entry(address)
            .or_insert_with(|| {
                client_builder()
                    .pool_idle_timeout(POOL_IDLE_TIMEOUT)
                    .build()
                    .unwrap_or_else(|_| self.unpooled.clone())
            })
            .clone()
    }

    fn query(&self, method: reqwest::Method, target: &Target, path: &str) -> ResponseFuture<Bytes> {
        let request = self
            .unpooled
            .request(method, format!("http://{}{path}", target.address))
            .timeout(QUERY_TIMEOUT);
        let endpoint = target.endpoint.to_string();
        Box::pin(async move {
            let unreachable = |error: reqwest::Error| Unreachable {
                endpoint: endpoint.clone(),
                reason: error.to_string(),
            };
            let response = request.send().await.map_err(unreachable)?;
            let body = read_start(response, MAX_BODY_BYTES + 1).await;
            let body = body.map_err(unreachable)?;
            if body.len() <= MAX_BODY_BYTES {
                return Ok(body);
            }
            Err(Unreachable {
                endpoint,
                reason: format!("the body is longer than {MAX_BODY_BYTES} bytes"),
            })
        })
    }

    fn attempt_status(
        &self,
        method: reqwest::Method,
        target: &Target,
        id: &AttemptId,
    ) -> ResponseFuture<Status> {
        let body = self.query(method, target, &format!("/v1/attempts/{id}"));
        decode(target, body)
    }
}

fn decode<T: serde::de::DeserializeOwned + 'static>(
    target: &Target,
    body: ResponseFuture<Bytes>,
) -> ResponseFuture<T> {
    let endpoint = target.endpoint.to_string();
    Box::pin(async move {
        serde_json::from_slice(&body.await?).map_err(|error| Unreachable {
            endpoint,
            reason: error.to_string(),
        })
    })
}

impl Engine for Client {
    fn dispatch(&self, call: Call) -> Events {
        let url = format!("http://{}{}", call.target.address, call.path);
        let mut request = self
            .pooled(call.target.address)
            .post(url)
            .header(ATTEMPT_HEADER, call.attempt.as_str())
            .header("x-owner", call.owner.as_str())
            .header("x-owner-attempt", call.owner_attempt)
            .header("x-priority", call.priority.to_string())
            .header("x-deadline-ms", call.time_left.as_millis().to_string())
            .header("x-prompt-tokens", call.prompt_tokens)
            .body(call.body);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        stream_events(request, call.attempt)
    }

    fn resume(&self, target: &Target, attempt: &AttemptId, from: u64) -> Events {
        let url = format!(
            "http://{}/v1/attempts/{attempt}/stream?from={from}",
            target.address
        );
        stream_events(self.unpooled.get(url), attempt.clone())
    }

    fn probe(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<Status> {
        self.attempt_status(reqwest::Method::GET, target, attempt)
    }

    fn cancel(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<Status> {
        self.attempt_status(reqwest::Method::DELETE, target, attempt)
    }

    fn running_attempts(&self, target: &Target, owner: &HostId) -> ResponseFuture<Vec<Attempt>> {
        let path = format!("/v1/attempts?owner={owner}");
        let listing = decode::<Listing>(target, self.query(reqwest::Method::GET, target, &path));
        Box::pin(async move { Ok(listing.await?.attempts) })
    }

    fn cache_events(&self, target: &Target, after: u64) -> ResponseFuture<CachePage> {
        let path = format!("/v1/cache/events?after={after}");
        decode(target, self.query(reqwest::Method::GET, target, &path))
    }

    fn reserve(
        &self,
        target: &Target,
        attempt: &AttemptId,
        owner: &HostId,
        tokens: u64,
        time_to_live: Duration,
    ) -> ResponseFuture<bool> {
        let body = Reservation {
            id: attempt,
            owner,
            tokens,
            ttl_ms: time_to_live.as_millis() as u64,
        };
        let request = self
            .unpooled
            .post(format!("http://{}/v1/reservations", target.address))
            .timeout(QUERY_TIMEOUT)
            .json(&body);
        let endpoint = target.endpoint.to_string();
        Box::pin(async move {
            let response = request.send().await.map_err(|error| Unreachable {
                endpoint,
                reason: error.to_string(),
            })?;
            Ok(response.status().is_success())
        })
    }

    fn release(&self, target: &Target, attempt: &AttemptId) -> ResponseFuture<bool> {
        let path = format!("/v1/reservations/{attempt}");
        let release = decode::<Release>(target, self.query(reqwest::Method::DELETE, target, &path));
        Box::pin(async move { Ok(release.await?.freed) })
    }

    fn order(&self, target: &Target, order: &Order, precondition: Precondition) -> OrderFuture {
        order::send(&self.orders, target, order, precondition)
    }

    fn order_report(&self, target: &Target) -> ResponseFuture<Report> {
        decode(
            target,
            self.query(reqwest::Method::GET, target, "/v1/orders/state"),
        )
    }

    fn drop_pooled_connections(&self, target: &Target) {
        let mut pools = self.pools.lock().expect("no holder panics");
        pools.swap_remove(&target.address);
    }
}

/// Sends a request and returns its response as a stream of events.
fn stream_events(request: reqwest::RequestBuilder, attempt: AttemptId) -> Events {
    let events = stream::once(async move {
        match request.send().await {
            Ok(response) => read_response(response, &attempt).await,
            Err(error) if error.is_connect() => fault(Fault::NotSent),
            Err(_) => fault(Fault::Broken),
        }
    });
    events.flatten().boxed()
}

fn fault(fault: Fault) -> Events {
    stream::iter([Event::Fault(fault)]).boxed()
}

async fn read_response(response: reqwest::Response, attempt: &AttemptId) -> Events {
    if Framing::of(&reqwest::Method::GET, response.status(), response.headers()).is_err() {
        return fault(Fault::Broken);
    }
    let status = response.status().as_u16();
    if status >= 300 {
        return fault(read_error(status, response).await);
    }
    let returned = response.headers().get(ATTEMPT_HEADER);
    if returned.is_none_or(|id| id.as_bytes() != attempt.as_str().as_bytes()) {
        return fault(Fault::WrongAttempt);
    }
    let head = Head {
        status,
        content_type: Some("text/event-stream".to_owned()),
    };
    let exchange = Exchange {
        attempt: attempt.clone(),
        body: response.bytes_stream().boxed(),
        reader: sse::Reader::default(),
        is_finished: false,
    };
    let tokens = stream::unfold(exchange, |mut exchange| async move {
        let event = exchange.next().await?;
        Some((event, exchange))
    });
    stream::iter([Event::Accepted(head)]).chain(tokens).boxed()
}

/// Reads a body to its end, or up to a number of bytes.
pub(crate) async fn read_start(
    mut response: reqwest::Response,
    max_bytes: usize,
) -> reqwest::Result<Bytes> {
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

/// Returns the fault described by an error response.
async fn read_error(status: u16, response: reqwest::Response) -> Fault {
    let Ok(body) = read_start(response, MAX_ERROR_BODY_BYTES).await else {
        return Fault::Broken;
    };
    let started =
        serde_json::from_slice::<ErrorBody>(&body).map_or(true, |body| body.error.started);
    if !started {
        return Fault::NotStarted;
    }
    Fault::Rejected { status, body }
}

/// The event stream of one attempt.
struct Exchange {
    attempt: AttemptId,
    body: stream::BoxStream<'static, reqwest::Result<Bytes>>,
    reader: sse::Reader,
    is_finished: bool,
}

impl Exchange {
    async fn next(&mut self) -> Option<Event> {
        while !self.is_finished {
            if let Some(event) = self.reader.next() {
                return Some(self.convert(event));
            }
            let is_readable = match self.body.next().await {
                Some(Ok(bytes)) => self.reader.push(&bytes).is_ok(),
                Some(Err(_)) | None => false,
            };
            if !is_readable {
                return Some(self.finish(Event::Fault(Fault::Broken)));
            }
        }
        None
    }

    fn finish(&mut self, event: Event) -> Event {
        self.is_finished = true;
        event
    }

    /// Returns whether an event has this attempt's id, or none. An event with another id must not
    /// reach this caller.
    fn is_own(&self, data: &[u8]) -> bool {
        let event = serde_json::from_slice::<EventId<'_>>(data).ok();
        let id = event.and_then(|event| event.id);
        id.is_none_or(|id| id == self.attempt.as_str())
    }

    fn convert(&mut self, event: sse::Event) -> Event {
        let sse::Event { id, data } = event;
        match id {
            _ if data == END_MARKER => self.finish(Event::Finished),
            _ if !self.is_own(&data) => self.finish(Event::Fault(Fault::WrongAttempt)),
            Some(index) => Event::Token { index, data },
            None => summary(data),
        }
    }
}

fn summary(data: Bytes) -> Event {
    let chunk = serde_json::from_slice::<Chunk>(&data).ok();
    let usage = chunk
        .filter(|chunk| {
            chunk.usage.is_some() || chunk.choices.iter().any(|c| c.finish_reason.is_some())
        })
        .and_then(|chunk| chunk.usage);
    Event::Summary { data, usage }
}
