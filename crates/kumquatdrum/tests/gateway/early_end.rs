//! Answers without a length that end before their endpoint has read the request.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::caller::{Framing, Request};
use crate::cluster::Cluster;
use crate::endings::config_with_single_runs;
use crate::endpoint::{Behaviour, Early, Endpoint, Stop};
use crate::outage::Site;
use crate::raw::{self, Answer, Ending};

/// More than the buffers of a connection hold.
const BODY_BYTES: usize = 7_000_000;
/// The number of times that each request is sent.
const REPETITIONS: usize = 3;
/// The number of times that a request is sent until it reaches an endpoint.
const MAX_TRIES: usize = 60;
const PAUSE: Duration = Duration::from_millis(200);
const EVENTS: &str = "id: 1\ndata: a\n\n";

const fn early(version: &'static str, read_bytes: usize, stop: Stop) -> Early {
    Early {
        version,
        body: EVENTS,
        read_bytes,
        stop,
    }
}

const BROKEN: [Early; 14] = [
    early("HTTP/1.1", 0, Stop::Reset),
    early("HTTP/1.1", 0, Stop::Unread),
    early("HTTP/1.1", 0, Stop::Close),
    early("HTTP/1.1", 2_000_000, Stop::Reset),
    early("HTTP/1.1", 2_000_000, Stop::Unread),
    early("HTTP/1.1", 2_000_000, Stop::Close),
    early("HTTP/1.1", BODY_BYTES, Stop::Reset),
    early("HTTP/1.0", 0, Stop::Reset),
    early("HTTP/1.0", 0, Stop::Unread),
    early("HTTP/1.0", 0, Stop::Close),
    early("HTTP/1.0", 2_000_000, Stop::Reset),
    early("HTTP/1.0", 2_000_000, Stop::Unread),
    early("HTTP/1.0", 2_000_000, Stop::Close),
    early("HTTP/1.0", BODY_BYTES, Stop::Reset),
];

/// The endpoint closes its sending side and reads the rest of the request.
const ORDERLY: [Early; 4] = [
    early("HTTP/1.1", 0, Stop::Linger),
    early("HTTP/1.1", 2_000_000, Stop::Linger),
    early("HTTP/1.0", 0, Stop::Linger),
    early("HTTP/1.0", 2_000_000, Stop::Linger),
];

fn config_with_long_bodies() -> Value {
    let mut config = config_with_single_runs();
    config["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
    config
}

/// Sends a long request for each answer.
async fn check(
    subnet: u16,
    prefixes: &[&str],
    answers: &'static [Early],
    is_allowed: impl Fn(Option<&Answer>) -> bool,
) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config_with_long_bodies()).await;
    let endpoint = Endpoint::start("i-1", Behaviour::Early(answers)).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let endpoints = &[endpoint];
    for prefix in prefixes {
        for round in 0..REPETITIONS {
            play(&cluster, endpoints, (round, prefix), answers, &is_allowed).await;
        }
    }
}

async fn play(
    cluster: &Cluster,
    endpoints: &[Endpoint],
    (round, prefix): (usize, &str),
    answers: &[Early],
    is_allowed: impl Fn(Option<&Answer>) -> bool,
) {
    let mut wrong = Vec::new();
    for (number, early) in answers.iter().enumerate() {
        for framing in [Framing::Length, Framing::Chunked] {
            let path = format!("{prefix}{number}");
            let mut answer = None;
            // A request may be refused without being sent after others were broken off.
            for repetition in 0..MAX_TRIES {
                let attempt = format!("at{prefix}{round}-{number}-{repetition}-{framing:?}");
                let attempt = attempt.replace('/', "-").to_lowercase();
                let request = Request {
                    framing,
                    body_bytes: BODY_BYTES,
                    headers: "Connection: close\r\n",
                    ..Request::new(&path, &attempt)
                };
                answer = Some(raw::send(cluster.callers(3), &request).await);
                let mut endpoints = endpoints.iter();
                if endpoints.any(|endpoint| endpoint.has_run(&attempt)) {
                    break;
                }
                answer = None;
                sleep(PAUSE).await;
            }
            match answer {
                Some(answer) if is_allowed(answer.as_ref()) => {}
                answer => wrong.push(format!("{early:?}, {framing:?}: {answer:?}")),
            }
        }
    }
    let count = answers.len() * 2;
    assert!(wrong.is_empty(), "{} of {count}: {wrong:#?}", wrong.len());
}

fn is_broken(answer: Option<&Answer>) -> bool {
    answer.is_none_or(|answer| answer.status >= 500 || answer.ending == Ending::Broken)
}

fn has_unknown_end(answer: Option<&Answer>) -> bool {
    answer.is_some_and(|answer| answer.status == 200 && answer.ending == Ending::Unknown)
}

#[tokio::test]
async fn an_answer_that_ends_before_the_request_is_read_does_not_look_complete() {
    check(456, &["/unsafe/", "/once/"], &BROKEN, is_broken).await;
}

#[tokio::test]
async fn an_early_answer_is_not_lost_if_its_endpoint_reads_the_request_later() {
    check(458, &["/unsafe/", "/once/"], &ORDERLY, has_unknown_end).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_relayed_answer_that_ends_before_the_request_is_read_does_not_look_complete() {
    let behaviour = Behaviour::Early(&BROKEN);
    let site = Site::start(460, &config_with_long_bodies(), behaviour).await;
    site.cut(3).await;
    let (cluster, endpoints) = (&site.cluster, &site.endpoints);
    play(cluster, endpoints, (0, "/unsafe/"), &BROKEN, is_broken).await;
    play(cluster, endpoints, (0, "/once/"), &BROKEN, is_broken).await;
}
