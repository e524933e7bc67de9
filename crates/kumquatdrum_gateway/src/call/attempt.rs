//! One request to one endpoint, and what its answer says.

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use kumquatdrum_placement::Failure;
use slog::info;
use tokio::time::timeout_at;

use super::Call;
use crate::fleet::Pick;
use crate::protocol::{Helper, Note, Reply};
use crate::upstream::{self, Exchange};

/// Headers that concern one connection alone (RFC 9110, 7.6.1), beside those that `Connection`
/// names.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// What became of one request to one endpoint.
pub(super) enum Outcome {
    /// An answer in one piece that the caller gets unless a repetition does better.
    Whole(Response<Bytes>, Judgement),
    /// A stream has begun.
    Stream(Box<Exchange>),
    /// No byte was sent.
    Unsent(String),
    /// It was sent, and there is no answer of this endpoint to this request.
    Lost(String),
    /// It was sent, and the time is up.
    TimedOut,
}

/// What an answer in one piece says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Judgement {
    /// It has run.
    Ran,
    /// It has run and failed there.
    Failed,
    /// It has not run.
    NotRun,
}

impl Call {
    /// Sends the request to the picked endpoint.
    pub(super) async fn attempt(&self, pick: &Pick, after_event: Option<u64>) -> Outcome {
        let request = self.request(pick, after_event);
        let sent = upstream::send(pick.endpoint.address, request, self.until()).await;
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(upstream::Error::Unsent(reason)) => {
                pick.failed(Failure::Unreachable);
                self.log_attempt(pick, "unsent", &reason);
                return Outcome::Unsent(reason);
            }
            Err(upstream::Error::Lost(reason)) => {
                pick.failed(Failure::Broken);
                self.log_attempt(pick, "lost", &reason);
                return Outcome::Lost(reason);
            }
            Err(upstream::Error::TimedOut) => {
                self.log_attempt(pick, "timed_out", "no answer in time");
                return Outcome::TimedOut;
            }
        };
        let status = exchange.response.status();
        let headers = exchange.response.headers();
        let reply = self.gateway.protocol.reply(status, headers);
        if reply.attempt != self.ask.attempt {
            pick.failed(Failure::Broken);
            self.log_attempt(pick, "crossed", "an answer to another request");
            return Outcome::Lost("an answer to another request".to_owned());
        }
        if self.is_stream() && status == StatusCode::OK {
            return Outcome::Stream(Box::new(exchange));
        }
        self.collect(pick, exchange, &reply).await
    }

    async fn collect(&self, pick: &Pick, exchange: Exchange, reply: &Reply) -> Outcome {
        let Exchange { response, .. } = &exchange;
        let judgement = match response.status() {
            _ if reply.not_run || reply.wrong_endpoint => Judgement::NotRun,
            status if status.is_server_error() => Judgement::Failed,
            _ => Judgement::Ran,
        };
        let mut exchange = exchange;
        let collected = timeout_at(self.until(), exchange.response.body_mut().collect()).await;
        let body = match collected {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                pick.failed(Failure::Broken);
                self.log_attempt(pick, "broken", &error.to_string());
                return Outcome::Lost(error.to_string());
            }
            Err(_) => {
                self.log_attempt(pick, "timed_out", "the answer was not whole in time");
                return Outcome::TimedOut;
            }
        };
        let load = reply.load.as_ref().map(|load| load.running + load.waiting);
        match (judgement, &reply.at_fault) {
            (_, Some(helper)) if *helper != pick.endpoint.id.as_str() => pick.helper_failed(helper),
            _ if reply.wrong_endpoint => pick.mark_displaced(),
            (Judgement::Ran, _) => pick.succeeded(load),
            (Judgement::NotRun, _) => pick.failed(Failure::Busy),
            (Judgement::Failed, _) => pick.failed(Failure::Error),
        }
        let status = exchange.response.status();
        self.log_attempt(pick, "answered", status.as_str());
        let mut whole = Response::new(body);
        *whole.status_mut() = status;
        *whole.headers_mut() = answer_headers(exchange.response.headers());
        Outcome::Whole(whole, judgement)
    }

    fn request(&self, pick: &Pick, after_event: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.version_mut() = Version::HTTP_11;
        let uri = &self.head.uri;
        let path = uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| uri.clone(), Into::into);
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        strip(headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let helpers: Vec<Helper> = pick
            .readers
            .iter()
            .map(|reader| reader.helper.clone())
            .collect();
        let note = Note {
            workspace: self.workspace.as_ref(),
            endpoint: &pick.endpoint.id,
            patience: self.ask.patience.map(|_| self.left()),
            helpers: &helpers,
            after_event,
        };
        self.gateway.protocol.annotate(headers, &note);
        request
    }

    pub(super) fn log_attempt(&self, pick: &Pick, outcome: &str, reason: &str) {
        let meters = &self.gateway.meters;
        meters.attempts.with_label_values(&[outcome]).inc();
        info!(self.gateway.logger, "attempt"; "event" => "attempt", "request" => &self.name,
            "endpoint" => pick.endpoint.id.as_str(), "address" => %pick.endpoint.address,
            "outcome" => outcome, "reason" => reason,
            "ms" => self.age().as_millis() as u64);
    }
}

/// Headers of an answer, without those of the connection to the endpoint.
pub(super) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    strip(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|value| value.split(','));
    let named: Vec<HeaderName> = named.filter_map(|name| name.trim().parse().ok()).collect();
    for name in HOP_BY_HOP.iter().chain([&KEEP_ALIVE]).chain(&named) {
        headers.remove(name);
    }
}
