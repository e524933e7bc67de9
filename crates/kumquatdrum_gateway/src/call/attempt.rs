//! Sending a request to one endpoint and classifying the outcome.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderMap, HeaderName};
use http::{Request, Response, StatusCode, Version};
use http_body_util::Full;
use kumquatdrum_placement::{EndpointKey, Failure};
use kumquatdrum_response::execution::Execution;
use kumquatdrum_response::{Completeness, Framing};
use slog::info;
use tokio::time::{sleep, timeout_at};

use super::Call;
use super::held::{Content, Rest, hold};
use crate::pool::Pick;
use crate::protocol::{Annotation, Helper};
use crate::upstream::{self, Exchange, Target};

/// Hop-by-hop headers (RFC 9110, 7.6.1), in addition to those listed in `Connection`.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
/// The minimum time after which a response is late.
const MIN_PATIENCE: Duration = Duration::from_millis(150);
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The outcome of sending a request to one endpoint.
pub(super) enum Outcome {
    /// A response that ended without an error, which the caller gets unless a retry succeeds.
    Complete(Answer, Execution),
    /// The endpoint did not run the request because an engine that shares the prefill failed.
    HelperFailed(Answer, EndpointKey),
    /// A stream of events has started.
    Stream(Box<Exchange>),
    /// No part of the request was sent.
    Unsent,
    /// No part of the request was sent, as an endpoint must not get it now.
    Held,
    /// No part of the request was sent, as no host reaches the service.
    CutOff,
    /// The request was sent, but the endpoint's response to it was lost.
    Lost(String),
    /// The request was sent, and the deadline has passed.
    TimedOut,
}

/// An endpoint's response, complete or too large to be held.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) response: Response<Content>,
    pub(super) framing: Framing,
}

impl Call {
    /// Sends the request to the picked endpoint, after it was sent to `sent` others.
    pub(super) async fn attempt(
        &self,
        pick: &Pick,
        sent: u32,
        last_event_id: Option<u64>,
    ) -> Outcome {
        let request = self.build_request(pick, last_event_id);
        let target = Target {
            endpoint: &pick.endpoint,
            prefillers: &pick.prefillers,
            purpose: pick.purpose,
            request: &self.attempt_id,
            patience: Some(self.patience()),
            is_repeatable: self.can_repeat(sent),
        };
        let upstream = &self.gateway.upstream;
        let deadline = self.deadline_instant();
        let sent = tokio::select! {
            biased;
            sent = upstream.send(target, request, deadline) => sent,
            () = self.wait_until_gone(pick) => Err(upstream::Error::Lost("silent".to_owned())),
        };
        let exchange = match sent {
            Ok(exchange) => exchange,
            Err(upstream::Error::Unsent(reason)) => {
                pick.record_failure(Failure::Unreachable);
                self.log_attempt(pick, "unsent", &reason);
                return Outcome::Unsent;
            }
            Err(upstream::Error::Refused(reason)) => {
                pick.record_failure(Failure::Down);
                self.log_attempt(pick, "unsent", &reason);
                return Outcome::Unsent;
            }
            Err(upstream::Error::Held { .. }) => {
                pick.refresh_endpoints();
                return Outcome::Held;
            }
            Err(upstream::Error::CutOff) => {
                self.log_attempt(pick, "cut_off", "no host reaches the endpoint");
                return Outcome::CutOff;
            }
            Err(upstream::Error::PathLost(reason)) => {
                self.log_attempt(pick, "path_lost", &reason);
                return Outcome::Lost(reason);
            }
            Err(upstream::Error::Lost(reason)) => {
                pick.record_failure(Failure::Broken);
                self.log_attempt(pick, "lost", &reason);
                self.inspect(pick, None).await;
                return Outcome::Lost(reason);
            }
            Err(upstream::Error::TimedOut) => {
                self.log_attempt(pick, "timed_out", "no answer in time");
                return Outcome::TimedOut;
            }
        };
        let status = exchange.response.status();
        let reply = &exchange.reply;
        let refusal = match &reply.attempt_id {
            id if *id != self.metadata.attempt_id => {
                Some(("crossed", "a response to another request"))
            }
            _ if status.is_success() && !reply.is_stamped => {
                Some(("unstamped", "a success without a stamp"))
            }
            _ => None,
        };
        if let Some((outcome, reason)) = refusal {
            pick.record_failure(Failure::Broken);
            self.log_attempt(pick, outcome, reason);
            return Outcome::Lost(reason.to_owned());
        }
        if !reply.is_misdirected {
            pick.record_limit(&reply.limit);
            pick.record_cold(reply.cold);
        }
        if self.is_stream() && status == StatusCode::OK {
            return Outcome::Stream(Box::new(exchange));
        }
        self.collect(pick, exchange).await
    }

    /// Waits until the endpoint accepts no connections, if memory of others is reserved for the request.
    async fn wait_until_gone(&self, pick: &Pick) {
        if pick.prefillers.is_empty() {
            return std::future::pending().await;
        }
        loop {
            sleep(self.gateway.reserved_silence()).await;
            if !self.gateway.is_listening(&pick.endpoint).await {
                return;
            }
        }
    }

    async fn collect(&self, pick: &Pick, exchange: Exchange) -> Outcome {
        let reply = exchange.reply.clone();
        let execution = match exchange.response.status() {
            _ if reply.has_not_run || reply.is_misdirected => Execution::NotRun,
            status if status.is_server_error() => Execution::Failed,
            _ => Execution::Ran,
        };
        let mut exchange = exchange;
        let held = hold(exchange.response.body_mut());
        let held = match timeout_at(self.deadline_instant(), held).await {
            Ok(Ok(held)) => held,
            Ok(Err(error)) => {
                self.gateway
                    .upstream
                    .record_broken(&exchange, &pick.endpoint);
                pick.record_failure(Failure::Broken);
                self.log_attempt(pick, "broken", &error.to_string());
                self.inspect(pick, None).await;
                return Outcome::Lost(error.to_string());
            }
            Err(_) => {
                self.log_attempt(
                    pick,
                    "timed_out",
                    "the response was incomplete at the deadline",
                );
                return Outcome::TimedOut;
            }
        };
        if held.is_complete && exchange.framing == Framing::Close {
            self.log_body_end(pick, exchange.framing, 0, None);
        }
        let load = reply.load.as_ref().map(|load| load.running + load.waiting);
        let pending = pick.pending(false);
        let mut failed_helper = None;
        match (execution, &reply.failed_endpoint) {
            (_, Some(id)) if *id != pick.endpoint.id.as_str() => {
                failed_helper = pick.record_helper_failure(id, &self.attempt_id);
            }
            // The endpoint may be the right one and not meet the precondition.
            _ if reply.is_misdirected && self.metadata.has_precondition => {}
            _ if reply.is_misdirected => pick.mark_displaced(),
            (Execution::Ran, _) => {
                pick.record_success(load);
                if held.is_complete && exchange.response.status().is_success() {
                    pending.record_completion();
                }
                match exchange.framing.completeness() {
                    _ if !held.is_complete => {}
                    Completeness::Unknown => self.record_unknown_end(pick, None).await,
                    Completeness::Complete | Completeness::Broken => self.record_completion(),
                }
            }
            // An endpoint that asks for a back-off has not failed.
            (Execution::NotRun | Execution::Failed, _) if reply.requests_backoff() => {}
            (Execution::NotRun, _) => pick.record_failure(Failure::Busy),
            (Execution::Failed, _) => pick.record_failure(Failure::Error),
        }
        let status = exchange.response.status();
        self.log_attempt(pick, "answered", status.as_str());
        let framing = exchange.framing;
        let headers = end_to_end_headers(exchange.response.headers());
        let content = if held.is_complete {
            Content::Whole(held.bytes)
        } else {
            let (quarantine, identity) = (self.gateway.quarantine.clone(), self.identity().clone());
            let rest = Rest {
                exchange,
                upstream: self.gateway.upstream.clone(),
                endpoint: pick.endpoint.clone(),
                deadline: self.deadline_instant(),
                on_completion: Box::new(move || {
                    pending.record_completion();
                    quarantine.record_completion(|| identity);
                }),
            };
            rest.into_content(held.bytes)
        };
        let mut response = Response::new(content);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        let answer = Answer { response, framing };
        match failed_helper {
            Some(helper) if execution == Execution::NotRun => Outcome::HelperFailed(answer, helper),
            _ => Outcome::Complete(answer, execution),
        }
    }

    /// Returns the time after which a response is late.
    fn patience(&self) -> Duration {
        MIN_PATIENCE.max(self.route.target_latency / 2)
    }

    /// Returns whether the request may be sent once more after it was sent to one more endpoint.
    pub(super) fn can_repeat(&self, sent: u32) -> bool {
        self.route.delivery.is_idempotent() && sent + 1 < self.route.max_attempts
    }

    fn build_request(&self, pick: &Pick, last_event_id: Option<u64>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.version_mut() = Version::HTTP_11;
        let uri = &self.head.uri;
        let path = uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| uri.clone(), Into::into);
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        remove_hop_by_hop(headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        let helpers: Vec<Helper> = pick
            .prefillers
            .iter()
            .map(|prefiller| prefiller.helper.clone())
            .collect();
        let annotation = Annotation {
            workspace: self.workspace.as_ref(),
            endpoint: &pick.endpoint.id,
            timeout: self.metadata.timeout.map(|_| self.time_left()),
            helpers: &helpers,
            last_event_id,
        };
        self.gateway.protocol.annotate(headers, &annotation);
        request
    }

    /// Logs the end of a body that was not broken off by an error, and for a stream, the bytes after its
    /// last complete event and that event's id.
    pub(super) fn log_body_end(
        &self,
        pick: &Pick,
        framing: Framing,
        rest_bytes: usize,
        last_event_id: Option<u64>,
    ) {
        info!(self.gateway.logger, "body_ended"; "event" => "body_ended",
            "request" => &self.attempt_id, "endpoint" => pick.endpoint.id.as_str(),
            "framing" => %framing, "rest_bytes" => rest_bytes, "after" => last_event_id);
    }

    pub(super) fn log_attempt(&self, pick: &Pick, outcome: &str, reason: &str) {
        let metrics = &self.gateway.metrics;
        metrics.attempts.with_label_values(&[outcome]).inc();
        info!(self.gateway.logger, "attempt"; "event" => "attempt", "request" => &self.attempt_id,
            "endpoint" => pick.endpoint.id.as_str(), "address" => %pick.endpoint.address,
            "outcome" => outcome, "reason" => reason,
            "ms" => self.elapsed().as_millis() as u64);
    }
}

/// Returns headers without the hop-by-hop headers and `Content-Length`.
pub(super) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|value| value.split(','));
    let named: Vec<HeaderName> = named.filter_map(|name| name.trim().parse().ok()).collect();
    for name in HOP_BY_HOP.iter().chain([&KEEP_ALIVE]).chain(&named) {
        headers.remove(name);
    }
}
