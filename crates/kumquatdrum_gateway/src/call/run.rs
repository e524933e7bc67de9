//! A request's way over one endpoint or several.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http::Response;
use kumquatdrum_placement::{EndpointKey, Job};
use kumquatdrum_process::drain::Work;
use kumquatdrum_types::Moment;
use slog::info;

use super::Call;
use super::attempt::{Judgement, Outcome};
use super::flow::{self, Passed};
use crate::body::{self, Body};
use crate::fleet::{Pick, Unplaced};
use crate::problem::{Problem, seconds};
use crate::reservation::{self, Reservation};

/// When to come back where no endpoint is known: a few announcements later.
const NOBODY: Duration = Duration::from_secs(1);
/// When to come back where endpoints have no room: the time of a few plain requests.
const NO_ROOM: Duration = Duration::from_millis(300);
/// When to come back where too much else is asked for: demand is judged over as long.
const CALMER: Duration = Duration::from_secs(3);
/// The most endpoints that are tried in vain, without a byte sent.
const UNSENT: usize = 8;

/// What has been tried so far.
#[derive(Default)]
pub(super) struct Tries {
    pub(super) sent: u32,
    unsent: usize,
    spared: Vec<EndpointKey>,
    answer: Option<Response<Bytes>>,
    may_have_run: bool,
}

impl Tries {
    /// An endpoint has failed the request, and gets it no more.
    pub(super) fn spare(&mut self, key: EndpointKey) {
        self.spared.push(key);
    }
}

/// Sends a request until an endpoint has answered it, or nothing more may be tried.
pub(super) async fn run(call: Arc<Call>, work: Work) -> Response<Body> {
    let mut tries = Tries::default();
    loop {
        let pick = match call.pick(&tries).await {
            Ok(pick) => pick,
            Err(problem) => return call.give_up(&mut tries, problem),
        };
        let Some(reservations) = call.reserve(&pick, &mut tries).await else {
            continue;
        };
        let outcome = call.attempt(&pick, None).await;
        tries.sent += u32::from(!matches!(outcome, Outcome::Unsent(_)));
        let outcome = match outcome {
            Outcome::Stream(exchange) => {
                match flow::begin(&call, pick, reservations, *exchange, &mut tries).await {
                    Ok(begun) => return begun.response(call, work),
                    Err((pick, reason)) => {
                        call.log_attempt(&pick, "broken", &reason);
                        tries.spared.push(pick.key);
                        Outcome::Lost(reason)
                    }
                }
            }
            outcome => {
                tries.spared.push(pick.key);
                drop(pick);
                outcome
            }
        };
        match call.settle(&mut tries, outcome) {
            Some(response) => return response,
            None => {
                info!(call.gateway.logger, "retry"; "event" => "retry", "request" => &call.name,
                    "sent" => tries.sent, "unsent" => tries.unsent);
            }
        }
    }
}

impl Call {
    /// Picks an endpoint that has not failed the request yet.
    pub(super) async fn pick(&self, tries: &Tries) -> Result<Pick, Problem> {
        let job = Job {
            id: self.gateway.fleet.name(),
            prompt: self.ask.prompt_tokens.unwrap_or(0),
            answer: self.ask.answer_tokens.unwrap_or(0),
            pause: self.pause(),
            arrived: self.arrived,
            due: self.arrived + self.route.target,
            deadline: self.deadline,
            spared: tries.spared.clone(),
        };
        let picked = self.gateway.fleet.pick(&self.service, &self.name, &job);
        let picked = picked.await;
        picked.map_err(|unplaced| match unplaced {
            Unplaced::Nobody => Problem::Refused {
                reason: "no endpoint is known",
                retry_after: NOBODY,
            },
            Unplaced::TooCostly => Problem::Refused {
                reason: "too long a prompt for what else is asked for",
                retry_after: CALMER,
            },
            Unplaced::TooLarge => Problem::Refused {
                reason: "the prompt is larger than any engine's memory",
                retry_after: self.left(),
            },
            Unplaced::NoRoom(_) => Problem::Refused {
                reason: "no engine had room",
                retry_after: NO_ROOM,
            },
        })
    }

    /// Sets memory aside at the engines that have to hold a part; nothing where one of them can't.
    pub(super) async fn reserve(&self, pick: &Pick, tries: &mut Tries) -> Option<Vec<Reservation>> {
        let holders = pick.readers.iter();
        let holders = holders.filter_map(|reader| {
            let name = reader.helper.reservation.clone()?;
            Some((reader, name))
        });
        let reserved = holders.map(|(reader, name)| async move {
            let address = reader.helper.address;
            let tokens = reader.reserved;
            let reserved =
                reservation::reserve(&self.gateway, &reader.endpoint, address, name, tokens);
            reserved.await.map_err(|_| reader.key)
        });
        let mut held = Vec::new();
        let mut is_whole = true;
        for reserved in join_all(reserved).await {
            match reserved {
                Ok(reservation) => held.push(reservation),
                Err(key) => {
                    is_whole = false;
                    tries.spare(key);
                }
            }
        }
        is_whole.then_some(held)
    }

    /// The final answer after an outcome, or nothing where another endpoint may be tried.
    fn settle(&self, tries: &mut Tries, outcome: Outcome) -> Option<Response<Body>> {
        let idempotent = self.route.delivery.is_idempotent();
        let (may_repeat, problem) = match outcome {
            Outcome::Whole(response, judgement) => {
                let may_repeat = match judgement {
                    Judgement::Ran => false,
                    Judgement::NotRun => true,
                    Judgement::Failed => idempotent,
                };
                tries.may_have_run |= judgement != Judgement::NotRun;
                tries.answer = Some(response);
                (may_repeat, None)
            }
            Outcome::Unsent(reason) => {
                tries.unsent += 1;
                if tries.unsent <= UNSENT && self.gateway.clock.now() < self.deadline {
                    return None;
                }
                (false, Some(Self::unsent(tries, reason)))
            }
            Outcome::Lost(reason) => {
                tries.may_have_run = true;
                (idempotent, Some(Problem::Failed(reason)))
            }
            Outcome::TimedOut => {
                tries.may_have_run = true;
                (false, Some(Problem::TimedOut))
            }
            Outcome::Stream(_) => (false, None),
        };
        let is_allowed = may_repeat
            && tries.sent < self.route.max_attempts
            && self.gateway.fleet.take_retry(&self.service);
        if is_allowed {
            return None;
        }
        Some(match problem {
            Some(problem) => self.give_up(tries, problem),
            None => self.answer(tries),
        })
    }

    fn unsent(tries: &Tries, reason: String) -> Problem {
        if tries.may_have_run {
            return Problem::Failed(reason);
        }
        Problem::Refused {
            reason: "no endpoint could be reached",
            retry_after: NO_ROOM,
        }
    }

    fn answer(&self, tries: &mut Tries) -> Response<Body> {
        let Some(mut response) = tries.answer.take() else {
            return Problem::TimedOut.response();
        };
        if response.status().as_u16() == 503 && !tries.may_have_run {
            let headers = response.headers_mut();
            let wait = seconds(NO_ROOM);
            headers.entry(http::header::RETRY_AFTER).or_insert(wait);
        }
        self.log_end("answered", response.status().as_str(), tries);
        response.map(body::whole)
    }

    /// The answer where nothing more may be tried.
    fn give_up(&self, tries: &mut Tries, problem: Problem) -> Response<Body> {
        let problem = match problem {
            Problem::Refused { reason, .. } if tries.may_have_run => {
                Problem::Failed(reason.to_owned())
            }
            problem => problem,
        };
        // An endpoint's own failure says more than that no other could be tried.
        if tries.answer.is_some() && !matches!(problem, Problem::TimedOut) {
            return self.answer(tries);
        }
        self.log_end("given_up", &problem.to_string(), tries);
        problem.response()
    }

    pub(super) fn log_end(&self, end: &str, reason: &str, tries: &Tries) {
        self.log_ended(end, reason, tries, None);
    }

    /// Notes the end of a stream that the caller has got in full.
    pub(super) fn log_streamed(&self, passed: &Passed, tries: &Tries) {
        self.log_ended("streamed", &passed.to_string(), tries, Some(passed));
    }

    fn log_ended(&self, end: &str, reason: &str, tries: &Tries, passed: Option<&Passed>) {
        let ms = |span: Duration| span.as_millis() as u64;
        self.gateway.meters.ended.with_label_values(&[end]).inc();
        info!(self.gateway.logger, "request_ended"; "event" => "request_ended",
            "request" => &self.name, "end" => end, "reason" => reason, "sent" => tries.sent,
            "unsent" => tries.unsent, "prompt" => self.ask.prompt_tokens,
            "due_ms" => ms(self.route.target), "ms" => ms(self.age()),
            "first_ms" => passed.map(|passed| ms(passed.first)),
            "pause_ms" => passed.map(|_| ms(self.pause())),
            "longest_pause_ms" => passed.map(|passed| ms(passed.longest_pause)));
    }

    /// Notes how long the first event, or the whole answer, took.
    pub(super) fn log_first(&self, at: Moment) {
        let prompt = match self.ask.prompt_tokens.unwrap_or(0) {
            0 => "none",
            1..10_000 => "short",
            10_000..100_000 => "long",
            _ => "longest",
        };
        let seconds = (at - self.arrived).as_secs_f64();
        let first = &self.gateway.meters.first;
        first.with_label_values(&[prompt]).observe(seconds);
    }
}
