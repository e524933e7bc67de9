//! The engine protocol over HTTP, as `docs/ENGINE-PROTOCOL.md` states it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use indexmap::IndexMap;
use kumquatdrum_orders::{Order, Report};
use kumquatdrum_types::exchange::{Call, Event, Fault, Head, Status, Target, Usage};
use kumquatdrum_types::{AttemptId, HostId};
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

use crate::engine::{Answer, CachePage, Check, Engine, Events, Ordered, Running, Unreachable};
use crate::{order, sse};

const ATTEMPT_HEADER: &str = "x-attempt-id";
const END_MARKER: &[u8] = b"[DONE]";
/// A pooled connection that was idle for longer is not used again.
const POOL_IDLE: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the engine may take to answer a question about an attempt.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Data sent but not acknowledged for this long ends the connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// An error's body is cut to this.
const ERROR_BODY: usize = 64 * 1024;

/// Speaks HTTP with engines, a pool of connections for each.
#[derive(Debug)]
pub struct Client {
    pools: Mutex<IndexMap<SocketAddr, reqwest::Client>>,
    fresh: reqwest::Client,
    orders: reqwest::Client,
}

#[derive(Debug, Deserialize)]
struct Refused {
    error: RefusedError,
}

#[derive(Debug, Deserialize)]
struct RefusedError {
    #[serde(default = "assume_started")]
    started: bool,
}

const fn assume_started() -> bool {
    true
}

#[derive(Debug, Deserialize)]
struct Listing {
    attempts: Vec<Running>,
}

#[derive(Debug, Deserialize)]
struct Named<'a> {
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
struct Freed {
    freed: bool,
}

#[derive(Debug, Deserialize)]
struct Counted {
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

pub(crate) fn pool() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED)
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
}

impl Client {
    /// A client without connections.
    pub fn new() -> Result<Self, reqwest::Error> {
        Ok(Self {
            pools: Mutex::new(IndexMap::new()),
            fresh: pool().pool_max_idle_per_host(0).build()?,
            orders: order::client()?,
        })
    }

    fn pooled(&self, address: SocketAddr) -> reqwest::Client {
        let mut pools = self.pools.lock().expect("no holder panics");
        pools
            .entry(address)
            .or_insert_with(|| {
                pool()
                    .pool_idle_timeout(POOL_IDLE)
                    .build()
                    .unwrap_or_else(|_| self.fresh.clone())
            })
            .clone()
    }

    fn ask(&self, method: reqwest::Method, target: &Target, path: &str) -> Answer<Bytes> {
        let request = self
            .fresh
            .request(method, format!("http://{}{path}", target.address))
            .timeout(QUESTION_TIMEOUT);
        let endpoint = target.endpoint.to_string();
        Box::pin(async move {
            let unreachable = |error: reqwest::Error| Unreachable {
                endpoint: endpoint.clone(),
                reason: error.to_string(),
            };
            let response = request.send().await.map_err(unreachable)?;
            response.bytes().await.map_err(unreachable)
        })
    }

    fn standing(&self, method: reqwest::Method, target: &Target, id: &AttemptId) -> Answer<Status> {
        let body = self.ask(method, target, &format!("/v1/attempts/{id}"));
        decoded(target, body)
    }
}

fn decoded<T: serde::de::DeserializeOwned + 'static>(
    target: &Target,
    body: Answer<Bytes>,
) -> Answer<T> {
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
        follow(request, call.attempt)
    }

    fn resume(&self, target: &Target, attempt: &AttemptId, from: u64) -> Events {
        let url = format!(
            "http://{}/v1/attempts/{attempt}/stream?from={from}",
            target.address
        );
        follow(self.fresh.get(url), attempt.clone())
    }

    fn probe(&self, target: &Target, attempt: &AttemptId) -> Answer<Status> {
        self.standing(reqwest::Method::GET, target, attempt)
    }

    fn cancel(&self, target: &Target, attempt: &AttemptId) -> Answer<Status> {
        self.standing(reqwest::Method::DELETE, target, attempt)
    }

    fn running_attempts(&self, target: &Target, owner: &HostId) -> Answer<Vec<Running>> {
        let path = format!("/v1/attempts?owner={owner}");
        let listing = decoded::<Listing>(target, self.ask(reqwest::Method::GET, target, &path));
        Box::pin(async move { Ok(listing.await?.attempts) })
    }

    fn cache_events(&self, target: &Target, after: u64) -> Answer<CachePage> {
        let path = format!("/v1/cache/events?after={after}");
        decoded(target, self.ask(reqwest::Method::GET, target, &path))
    }

    fn reserve(
        &self,
        target: &Target,
        attempt: &AttemptId,
        owner: &HostId,
        tokens: u64,
        time_to_live: Duration,
    ) -> Answer<bool> {
        let body = Reservation {
            id: attempt,
            owner,
            tokens,
            ttl_ms: time_to_live.as_millis() as u64,
        };
        let request = self
            .fresh
            .post(format!("http://{}/v1/reservations", target.address))
            .timeout(QUESTION_TIMEOUT)
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

    fn release(&self, target: &Target, attempt: &AttemptId) -> Answer<bool> {
        let path = format!("/v1/reservations/{attempt}");
        let freed = decoded::<Freed>(target, self.ask(reqwest::Method::DELETE, target, &path));
        Box::pin(async move { Ok(freed.await?.freed) })
    }

    fn order(&self, target: &Target, order: &Order, check: Check) -> Ordered {
        order::send(&self.orders, target, order, check)
    }

    fn order_report(&self, target: &Target) -> Answer<Report> {
        decoded(
            target,
            self.ask(reqwest::Method::GET, target, "/v1/orders/state"),
        )
    }

    fn drop_pooled_connections(&self, target: &Target) {
        let mut pools = self.pools.lock().expect("no holder panics");
        pools.swap_remove(&target.address);
    }
}

/// Sends a request and reads its answer as events.
fn follow(request: reqwest::RequestBuilder, attempt: AttemptId) -> Events {
    let events = stream::once(async move {
        match request.send().await {
            Ok(response) => opened(response, &attempt).await,
            Err(error) if error.is_connect() => fault(Fault::NotSent),
            Err(_) => fault(Fault::Broken),
        }
    });
    events.flatten().boxed()
}

fn fault(fault: Fault) -> Events {
    stream::iter([Event::Fault(fault)]).boxed()
}

async fn opened(response: reqwest::Response, attempt: &AttemptId) -> Events {
    let status = response.status().as_u16();
    if status >= 300 {
        return fault(refusal(status, response).await);
    }
    let echoed = response.headers().get(ATTEMPT_HEADER);
    if echoed.is_none_or(|echo| echo.as_bytes() != attempt.as_str().as_bytes()) {
        return fault(Fault::WrongAttempt);
    }
    let head = Head {
        status,
        content_type: Some("text/event-stream".to_owned()),
    };
    let reading = Reading {
        attempt: attempt.clone(),
        body: response.bytes_stream().boxed(),
        reader: sse::Reader::default(),
        over: false,
    };
    let tokens = stream::unfold(reading, |mut reading| async move {
        let event = reading.next().await?;
        Some((event, reading))
    });
    stream::iter([Event::Accepted(head)]).chain(tokens).boxed()
}

async fn refusal(status: u16, response: reqwest::Response) -> Fault {
    let Ok(mut body) = response.bytes().await else {
        return Fault::Broken;
    };
    let started = serde_json::from_slice::<Refused>(&body).map_or(true, |told| told.error.started);
    if !started {
        return Fault::NotStarted;
    }
    body.truncate(ERROR_BODY);
    Fault::Rejected { status, body }
}

struct Reading {
    attempt: AttemptId,
    body: stream::BoxStream<'static, reqwest::Result<Bytes>>,
    reader: sse::Reader,
    over: bool,
}

impl Reading {
    async fn next(&mut self) -> Option<Event> {
        while !self.over {
            if let Some(message) = self.reader.next() {
                return Some(self.event(message));
            }
            let pushed = match self.body.next().await {
                Some(Ok(bytes)) => self.reader.push(&bytes).is_ok(),
                Some(Err(_)) | None => false,
            };
            if !pushed {
                return Some(self.ended(Event::Fault(Fault::Broken)));
            }
        }
        None
    }

    fn ended(&mut self, event: Event) -> Event {
        self.over = true;
        event
    }

    /// Events name their attempt as the head does; one that names another isn't this caller's.
    fn is_own(&self, data: &[u8]) -> bool {
        let named = serde_json::from_slice::<Named<'_>>(data).ok();
        let id = named.and_then(|named| named.id);
        id.is_none_or(|id| id == self.attempt.as_str())
    }

    fn event(&mut self, message: sse::Message) -> Event {
        let sse::Message { id, data } = message;
        match id {
            _ if data == END_MARKER => self.ended(Event::Finished),
            _ if !self.is_own(&data) => self.ended(Event::Fault(Fault::WrongAttempt)),
            Some(index) => Event::Token { index, data },
            None => summary(data),
        }
    }
}

fn summary(data: Bytes) -> Event {
    let counted = serde_json::from_slice::<Counted>(&data).ok();
    let usage = counted
        .filter(|counted| {
            counted.usage.is_some() || counted.choices.iter().any(|c| c.finish_reason.is_some())
        })
        .and_then(|counted| counted.usage);
    Event::Summary { data, usage }
}
