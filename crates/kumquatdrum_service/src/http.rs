//! Plain services over HTTP.

use std::time::Duration;

use futures::stream::{self, StreamExt};
use kumquatdrum_types::exchange::{Call, Event, Fault, Head};

use crate::service::{Events, Service};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Data sent but not acknowledged for this long ends the connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
const ATTEMPT_HEADER: &str = "x-attempt-id";
const SERVER_ERROR: u16 = 500;
/// An error's body is cut to this.
const ERROR_BODY: usize = 64 * 1024;

/// Speaks HTTP with plain services. Each call opens a connection of its own: a pooled one can have
/// gone silent, and a plain service can't be asked what became of a call on it.
#[derive(Debug)]
pub struct Client {
    fresh: reqwest::Client,
}

impl Client {
    /// A client without connections.
    pub fn new() -> Result<Self, reqwest::Error> {
        let fresh = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .tcp_user_timeout(UNACKNOWLEDGED)
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Self { fresh })
    }
}

impl Service for Client {
    fn call(&self, call: Call) -> Events {
        let Ok(method) = call.method.parse::<reqwest::Method>() else {
            return fault(Fault::NotSent);
        };
        let url = format!("http://{}{}", call.target.address, call.path);
        let mut request = self
            .fresh
            .request(method, url)
            .header(ATTEMPT_HEADER, call.attempt.as_str())
            .header("x-owner", call.owner.as_str())
            .timeout(call.time_left)
            .body(call.body);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        stream::once(answer(request)).flatten().boxed()
    }
}

fn fault(fault: Fault) -> Events {
    stream::iter([Event::Fault(fault)]).boxed()
}

async fn answer(request: reqwest::RequestBuilder) -> Events {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return fault(Fault::NotSent),
        Err(_) => return fault(Fault::Broken),
    };
    let status = response.status().as_u16();
    if status >= SERVER_ERROR {
        return fault(rejected(status, response).await);
    }
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let head = Head {
        status,
        content_type,
    };
    let pieces = response.bytes_stream().map(|piece| match piece {
        Ok(bytes) => Event::Chunk(bytes),
        Err(_) => Event::Fault(Fault::Broken),
    });
    stream::iter([Event::Accepted(head)])
        .chain(pieces)
        .chain(stream::iter([Event::Finished]))
        .boxed()
}

async fn rejected(status: u16, response: reqwest::Response) -> Fault {
    match response.bytes().await {
        Ok(mut body) => {
            body.truncate(ERROR_BODY);
            Fault::Rejected { status, body }
        }
        Err(_) => Fault::Broken,
    }
}
