//! Runs a request on one endpoint, and retries it on others.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use http::{Response, StatusCode, header};
use kumquatdrum_placement::{EndpointKey, Job};
use kumquatdrum_process::drain::Work;
use kumquatdrum_response::execution::{Execution, Record, Reply};
use kumquatdrum_types::Moment;
use slog::info;

use super::Call;
use super::attempt::{Answer, Outcome};
use super::held::Content;
use super::stream::{self, Timing};
use crate::body::{self, Body};
use crate::pool::{Pick, Rejection};
use crate::problem::{Problem, seconds};
use crate::reservation::{self, Reservation};

/// The retry delay if no endpoint is known; covers several announcements.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The retry delay if endpoints have no capacity.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The retry delay if a prompt is rejected because of overload; equals the window over which the
/// planner measures demand.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(3);
/// The retry delay if all endpoints are in evacuated data centres. An operator ends that.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The problem if neither this host nor others reach the endpoints.
const CUT_OFF: Problem = Problem::Refused {
    reason: "no host reaches its endpoints",
    retry_after: Duration::from_secs(1),
};
/// The problem if the request could be sent to none of several endpoints.
const UNSENT: Problem = Problem::Refused {
    reason: "no endpoint could be reached",
    retry_after: NO_CAPACITY_RETRY_AFTER,
};
/// The maximum number of attempts that are repeated elsewhere because no part of the request was
/// sent.
const MAX_UNSENT_ATTEMPTS: usize = 8;
/// The maximum number of placements that are given up as an endpoint must not get the request.
const MAX_HELD_ATTEMPTS: usize = 32;
/// The maximum number of attempts that are repeated with other helpers.
const MAX_FAILED_HELPERS: usize = 4;

/// The attempts made so far for a request.
#[derive(Default)]
pub(super) struct Attempts {
    pub(super) sent: u32,
    unsent: usize,
    /// The number of placements that were given up as an endpoint must not get the request.
    held: usize,
    excluded: Vec<EndpointKey>,
    /// The number of attempts that a helper failed.
    failed_helpers: usize,
    /// The only endpoint that may get the request again, if no other one may.
    pub(super) only_endpoint: Option<EndpointKey>,
    /// Whether the caller has received a part of the answer.
    pub(super) is_resumed: bool,
    /// What they tell about the request.
    pub(super) record: Record<Answer>,
}

impl Attempts {
    /// Excludes an endpoint from further attempts.
    pub(super) fn exclude(&mut self, key: EndpointKey) {
        self.excluded.push(key);
    }

    /// Excludes a helper that failed. Once the request has been sent to `max_sent` endpoints, only
    /// `first`, which got it last, may get it again.
    pub(super) fn record_helper_failure(
        &mut self,
        helper: EndpointKey,
        first: EndpointKey,
        max_sent: u32,
    ) {
        self.exclude(helper);
        self.failed_helpers += 1;
        self.only_endpoint = (self.sent >= max_sent).then_some(first);
    }

    /// Returns whether the request may be repeated with other helpers.
    pub(super) const fn can_replan(&self) -> bool {
        self.failed_helpers <= MAX_FAILED_HELPERS
    }
}

/// Sends a request to endpoints until one answers or no further attempt is allowed.
pub(super) async fn run(call: Arc<Call>, work: Work) -> Response<Body> {
    let mut attempts = Attempts::default();
    loop {
        let pick = match call.pick(&attempts).await {
            Ok(pick) => pick,
            Err(problem) => return call.give_up(&mut attempts, problem),
        };
        let Some(reservations) = call.reserve(&pick, &mut attempts).await else {
            continue;
        };
        if let Err(problem) = call.check_send() {
            return call.give_up(&mut attempts, problem);
        }
        let outcome = call.attempt(&pick, attempts.sent, None).await;
        let is_new = attempts.only_endpoint != Some(pick.key);
        let is_sent = !matches!(outcome, Outcome::Unsent | Outcome::Held | Outcome::CutOff);
        attempts.sent += u32::from(is_new && is_sent);
        let outcome = match outcome {
            Outcome::Stream(exchange) => {
                match stream::start(&call, pick, reservations, *exchange, &mut attempts).await {
                    Ok(started) => return started.response(call, work),
                    Err((pick, reason)) => {
                        call.log_attempt(&pick, "broken", &reason);
                        call.inspect(&pick, None).await;
                        attempts.exclude(pick.key);
                        if call.time_left().is_zero() {
                            Outcome::TimedOut
                        } else {
                            Outcome::Lost(reason)
                        }
                    }
                }
            }
            Outcome::HelperFailed(answer, helper) => {
                attempts.record_helper_failure(helper, pick.key, call.route.max_attempts);
                Outcome::HelperFailed(answer, helper)
            }
            Outcome::Held => Outcome::Held,
            outcome => {
                attempts.exclude(pick.key);
                drop(pick);
                outcome
            }
        };
        match call.resolve(&mut attempts, outcome) {
            Some(response) => return response,
            None => {
                info!(call.gateway.logger, "retry"; "event" => "retry",
                    "request" => &call.attempt_id, "sent" => attempts.sent,
                    "unsent" => attempts.unsent);
            }
        }
    }
}

impl Call {
    /// Picks an endpoint that is not excluded.
    pub(super) async fn pick(&self, attempts: &Attempts) -> Result<Pick, Problem> {
        let job = Job {
            id: self.gateway.pool.next_job_id(),
            prompt_tokens: self.metadata.prompt_tokens.unwrap_or(0),
            answer_tokens: self.metadata.max_answer_tokens.unwrap_or(0),
            max_pause: self.max_pause(),
            arrived: self.arrived,
            due: self.arrived + self.route.target_latency,
            deadline: self.deadline,
            excluded: attempts.excluded.clone(),
            first: attempts.only_endpoint,
            is_resumed: attempts.is_resumed,
        };
        let picked = self
            .gateway
            .pool
            .pick(&self.service, &self.attempt_id, &job);
        let picked = tokio::select! {
            biased;
            problem = self.wait_for_block() => return Err(problem),
            picked = picked => picked,
        };
        picked.map_err(|rejection| match rejection {
            Rejection::NoEndpoint => Problem::Refused {
                reason: "no endpoint is known",
                retry_after: NO_ENDPOINT_RETRY_AFTER,
            },
            Rejection::Dropped => Problem::Refused {
                reason: "its service is no longer declared",
                retry_after: Duration::ZERO,
            },
            Rejection::Stopping => Problem::Refused {
                reason: "this host stops",
                retry_after: Duration::ZERO,
            },
            Rejection::TooCostly => Problem::Refused {
                reason: "too long a prompt for what else is asked for",
                retry_after: OVERLOAD_RETRY_AFTER,
            },
            Rejection::Expired => Problem::Refused {
                reason: "no engine had a slot in time",
                retry_after: OVERLOAD_RETRY_AFTER,
            },
            Rejection::TooLarge => Problem::Refused {
                reason: "the prompt is larger than any engine's memory",
                retry_after: self.time_left(),
            },
            Rejection::Limited(wait) => Problem::Refused {
                reason: "its endpoints have reached the limits that they name",
                retry_after: wait,
            },
            Rejection::Cold(wait) => Problem::Refused {
                reason: "its endpoints are cold and have had the requests that they take",
                retry_after: wait,
            },
            Rejection::Held(wait) => Problem::Refused {
                reason: "its endpoints have asked for a back-off",
                retry_after: wait,
            },
            Rejection::Evacuated => Problem::Refused {
                reason: "its endpoints are in evacuated data centres",
                retry_after: EVACUATED_RETRY_AFTER,
            },
            Rejection::NoCapacity(_) => Problem::Refused {
                reason: "no engine had room",
                retry_after: NO_CAPACITY_RETRY_AFTER,
            },
        })
    }

    /// Reserves memory at the helpers that need it. Returns `None` if any reservation fails.
    pub(super) async fn reserve(
        &self,
        pick: &Pick,
        attempts: &mut Attempts,
    ) -> Option<Vec<Reservation>> {
        let helpers = pick.prefillers.iter();
        let helpers = helpers.filter_map(|prefiller| {
            let name = prefiller.helper.reservation.clone()?;
            Some((prefiller, name))
        });
        let reserved = helpers.map(|(prefiller, name)| async move {
            let tokens = prefiller.reserved_tokens;
            let endpoint = &prefiller.endpoint;
            let until = self.deadline_instant();
            let reserved =
                reservation::reserve(&self.gateway, endpoint, name, tokens, pick.purpose, until);
            reserved.await.map_err(|_| prefiller.key)
        });
        let mut reservations = Vec::new();
        let mut is_complete = true;
        for reserved in join_all(reserved).await {
            match reserved {
                Ok(reservation) => reservations.push(reservation),
                Err(key) => {
                    is_complete = false;
                    attempts.exclude(key);
                }
            }
        }
        is_complete.then_some(reservations)
    }

    /// Returns the response for an outcome, or `None` if another endpoint may be tried.
    fn resolve(&self, attempts: &mut Attempts, outcome: Outcome) -> Option<Response<Body>> {
        let is_helper_failed = matches!(outcome, Outcome::HelperFailed(..));
        let (can_retry, problem) = match outcome {
            Outcome::Complete(answer, execution) => {
                let status = answer.response.status();
                attempts.record.record_answer(execution, status, answer);
                (true, Problem::Failed(format!("its answer was {status}")))
            }
            Outcome::HelperFailed(answer, _) => {
                let status = answer.response.status();
                let record = &mut attempts.record;
                record.record_answer(Execution::NotRun, status, answer);
                (
                    attempts.can_replan(),
                    Problem::Failed("a helper failed".to_owned()),
                )
            }
            Outcome::Held => {
                attempts.held += 1;
                if attempts.held <= MAX_HELD_ATTEMPTS {
                    return None;
                }
                (false, UNSENT)
            }
            Outcome::Unsent => {
                attempts.unsent += 1;
                if attempts.unsent <= MAX_UNSENT_ATTEMPTS
                    && self.gateway.clock.now() < self.deadline
                {
                    return None;
                }
                (false, UNSENT)
            }
            Outcome::CutOff => (false, CUT_OFF),
            Outcome::Lost(reason) => {
                attempts.record.record_loss();
                (true, Problem::Failed(reason))
            }
            Outcome::TimedOut => {
                attempts.record.record_loss();
                (false, Problem::TimedOut)
            }
            Outcome::Stream(_) => {
                attempts.record.record_loss();
                (false, Problem::Failed("the stream was not read".to_owned()))
            }
        };
        let is_allowed = can_retry
            && attempts
                .record
                .can_repeat(self.route.delivery.is_idempotent())
            && (attempts.sent < self.route.max_attempts || is_helper_failed)
            && self.check_block().is_ok()
            && self.gateway.pool.take_retry(&self.service);
        if is_allowed {
            return None;
        }
        Some(self.give_up(attempts, problem))
    }

    /// Returns the response if no further attempt is made because of a problem.
    fn give_up(&self, attempts: &mut Attempts, problem: Problem) -> Response<Body> {
        let is_time_up = matches!(problem, Problem::TimedOut);
        let problem = match attempts.record.take_reply(is_time_up) {
            // An endpoint's response is more specific than the lack of another endpoint.
            Reply::Answer(answer) => return self.respond(answer, attempts),
            Reply::Rejection(mut answer) => {
                if answer.response.status() == StatusCode::SERVICE_UNAVAILABLE {
                    let headers = answer.response.headers_mut();
                    let wait = seconds(NO_CAPACITY_RETRY_AFTER);
                    headers.entry(header::RETRY_AFTER).or_insert(wait);
                }
                return self.respond(answer, attempts);
            }
            Reply::Refusal => problem,
            Reply::Timeout => Problem::TimedOut,
            Reply::Failure => match problem {
                Problem::Failed(reason) => Problem::Failed(reason),
                Problem::Refused { reason, .. } => Problem::Failed(reason.to_owned()),
                problem => Problem::Failed(problem.to_string()),
            },
        };
        let end = match problem {
            Problem::Blocked { .. } => "blocked",
            _ => "given_up",
        };
        self.log_end(end, &problem.to_string(), attempts);
        problem.response()
    }

    fn respond(&self, answer: Answer, attempts: &Attempts) -> Response<Body> {
        let Answer { response, framing } = answer;
        self.log_end("answered", response.status().as_str(), attempts);
        let (head, content) = response.into_parts();
        match content {
            Content::Whole(bytes) => body::framed(Response::from_parts(head, bytes), framing),
            Content::Begun(body) => {
                let mut response = Response::from_parts(head, body.into_inner());
                body::frame(&mut response, framing);
                response
            }
        }
    }

    pub(super) fn log_end(&self, end: &str, reason: &str, attempts: &Attempts) {
        self.log_ended(end, reason, attempts, None);
    }

    /// Logs the end of a stream that the caller received completely.
    pub(super) fn log_streamed(&self, timing: &Timing, attempts: &Attempts) {
        self.log_ended("streamed", &timing.to_string(), attempts, Some(timing));
    }

    fn log_ended(&self, end: &str, reason: &str, attempts: &Attempts, timing: Option<&Timing>) {
        let ms = |span: Duration| span.as_millis() as u64;
        self.gateway.metrics.ended.with_label_values(&[end]).inc();
        info!(self.gateway.logger, "request_ended"; "event" => "request_ended",
            "request" => &self.attempt_id, "end" => end, "reason" => reason,
            "sent" => attempts.sent, "unsent" => attempts.unsent,
            "prompt" => self.metadata.prompt_tokens,
            "due_ms" => ms(self.route.target_latency), "ms" => ms(self.elapsed()),
            "first_ms" => timing.map(|timing| ms(timing.first_event)),
            "pause_ms" => timing.map(|_| ms(self.max_pause())),
            "longest_pause_ms" => timing.map(|timing| ms(timing.longest_pause)));
    }

    /// Records the time to the first event or the complete response.
    pub(super) fn record_first_event(&self, at: Moment) {
        let prompt = match self.metadata.prompt_tokens.unwrap_or(0) {
            0 => "none",
            1..10_000 => "short",
            10_000..100_000 => "long",
            _ => "longest",
        };
        let seconds = (at - self.arrived).as_secs_f64();
        let first_event = &self.gateway.metrics.first_event;
        first_event.with_label_values(&[prompt]).observe(seconds);
    }
}
