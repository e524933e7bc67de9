//! All ways in which an endpoint's answer can end, as callers see them.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::cluster::{Cluster, config};
use crate::ending_cases::{
    BROKEN_STREAMS, COMPLETE_STREAMS, Case, PLAIN_ANSWERS, STREAMS_WITHOUT_EVENT,
    STREAMS_WITHOUT_FRAMING,
};
use crate::endpoint::{Behaviour, End, Endpoint};
use crate::outage::Site;
use crate::proxy::Mode;
use crate::raw::{self, Answer, Ending, Version};

/// Returns a config with a route to streams that may not be resumed.
pub fn config_with_single_runs() -> Value {
    let mut config = config(3);
    let routes = config["routes"].as_array_mut().expect("routes");
    let mut route = routes[2].clone();
    route["name"] = json!("once");
    route["pathPrefix"] = json!("/once/");
    route["resumable"] = json!(false);
    route["maxAttempts"] = json!(1);
    routes.push(route);
    config
}

/// Plays each case with an endpoint of its own, and returns what the caller got.
async fn play(subnet: u16, version: Version, request: &str, cases: &[Case]) -> Vec<Answer> {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config_with_single_runs()).await;
    let mut answers = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        let behaviour = Behaviour::Verbatim {
            answer: case.answer,
            end: case.end,
        };
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        let attempt = format!("at-{number}");
        answers.push(raw::call(&cluster, 3, version, request, &attempt).await);
        cluster.announce(&endpoint, "plain", "draining", 2).await;
    }
    answers
}

async fn check(subnet: u16, version: Version, request: &str, cases: &[Case]) {
    let answers = play(subnet, version, request, cases).await;
    let mut wrong = Vec::new();
    for (case, answer) in cases.iter().zip(answers) {
        if (answer.status, answer.ending) != (case.status, case.ending) {
            wrong.push(format!("{}: {answer:?}", case.name));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[tokio::test]
async fn streams_that_are_broken_off_are_not_framed_as_complete() {
    check(121, Version::Http11, "POST /once/x", &BROKEN_STREAMS).await;
}

#[tokio::test]
async fn nothing_of_a_stream_without_a_complete_event_reaches_the_caller() {
    check(122, Version::Http11, "POST /once/x", &STREAMS_WITHOUT_EVENT).await;
}

#[tokio::test]
async fn streams_without_framing_are_not_framed_as_complete() {
    check(
        123,
        Version::Http11,
        "POST /once/x",
        &STREAMS_WITHOUT_FRAMING,
    )
    .await;
}

#[tokio::test]
async fn complete_streams_are_framed_as_complete() {
    check(124, Version::Http11, "POST /once/x", &COMPLETE_STREAMS).await;
}

#[tokio::test]
async fn plain_answers_are_framed_as_complete_only_if_they_are() {
    check(125, Version::Http11, "POST /unsafe/x", &PLAIN_ANSWERS).await;
}

#[tokio::test]
async fn callers_without_chunks_get_a_reset_if_a_stream_is_broken_off() {
    check(126, Version::Http10, "POST /once/x", &BROKEN_STREAMS).await;
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_resumed_after_its_last_complete_event() {
    let cluster = Cluster::start(127);
    cluster.apply(&config(3)).await;
    let broken = Behaviour::Verbatim {
        answer: "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\ndata: piece 1\n\nid: 2\ndata: pi",
        end: End::Close,
    };
    let complete = Behaviour::CompleteStream {
        events: 4,
        pause: Duration::from_millis(5),
    };
    let broken = Endpoint::start("i-1", broken).await;
    let complete = Endpoint::start("i-2", complete).await;
    for endpoint in [&broken, &complete] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = raw::call(&cluster, 3, Version::Http11, "POST /stream/x", attempt).await;
        // The caller's answer keeps the framing of the endpoint that began it.
        let was_first = broken.record.attempts.lock().contains_key(attempt);
        let ending = if was_first {
            Ending::Unknown
        } else {
            Ending::Complete
        };
        assert_eq!(answer.ending, ending, "{answer:?}");
        let ids = answer
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "));
        assert_eq!(ids.collect::<Vec<_>>(), ["1", "2", "3", "4"]);
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
}

/// Cuts an answer at each of its bytes. Only the complete one may be framed as complete, and callers get
/// complete events only.
async fn check_cuts(subnet: u16, answer: &'static str, complete: Ending) {
    const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let cluster = Cluster::start(subnet);
    cluster.apply(&config_with_single_runs()).await;
    let endpoint = Endpoint::start("i-1", Behaviour::Cut { answer }).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    for length in 0..=answer.len() {
        let (request, attempt) = (format!("POST /once/{length}"), format!("at-{length}"));
        let seen = raw::call(&cluster, 3, Version::Http11, &request, &attempt).await;
        if seen.status != 200 {
            assert!(length < answer.len(), "{seen:?}");
            continue;
        }
        let is_framed = length == answer.len() || complete == Ending::Unknown;
        let is_between = EVENTS.starts_with(&seen.body) && seen.body.ends_with("\n\n");
        assert!(is_between, "cut after {length} bytes: {seen:?}");
        let is_cut_inside = !answer[..length].ends_with(&seen.body);
        let expected = if is_framed && !is_cut_inside {
            complete
        } else if length == answer.len() {
            Ending::Complete
        } else {
            Ending::Broken
        };
        assert_eq!(seen.ending, expected, "cut after {length} bytes: {seen:?}");
    }
}

#[tokio::test]
async fn a_stream_with_a_length_that_is_cut_anywhere_is_not_framed_as_complete() {
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 30\r\n\r\n\
                  id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    check_cuts(129, answer, Ending::Complete).await;
}

#[tokio::test]
async fn a_stream_with_chunks_that_is_cut_anywhere_is_not_framed_as_complete() {
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n\
                  f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
    check_cuts(130, answer, Ending::Complete).await;
}

#[tokio::test]
async fn a_stream_without_framing_that_is_cut_anywhere_is_not_framed_as_complete() {
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    check_cuts(131, answer, Ending::Unknown).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relayed_streams_that_end_inside_an_event_are_not_framed_as_complete() {
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b";
    let end = End::Close;
    let behaviour = Behaviour::Verbatim { answer, end };
    let site = Site::start(128, &config_with_single_runs(), behaviour).await;
    site.set_mode(3, Mode::Reset);
    let mut relayed = 0;
    // Requests break until the host knows that it does not reach the endpoints.
    for number in 0..20 {
        let (request, attempt) = ("POST /once/x", format!("at-{number}"));
        let answer = raw::call(&site.cluster, 3, Version::Http11, request, &attempt).await;
        if answer.status == 200 {
            assert_eq!(answer.ending, Ending::Broken, "{answer:?}");
            relayed += 1;
        }
    }
    assert!(relayed > 0, "no request was relayed");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_whose_relay_is_killed_is_not_framed_as_complete() {
    let behaviour = Behaviour::CompleteStream {
        events: 6,
        pause: Duration::from_millis(300),
    };
    let site = Site::start(132, &config_with_single_runs(), behaviour).await;
    site.set_mode(3, Mode::Reset);
    let call = |attempt| {
        let request = "POST /once/x";
        raw::call(&site.cluster, 3, Version::Http11, request, attempt)
    };
    // Requests break until the host knows that it does not reach the endpoints.
    while !site.cluster.read_log(3).contains("event=path_cut") {
        call("at-first").await;
    }
    let kill = async {
        sleep(Duration::from_millis(800)).await;
        let log = site.cluster.read_log(3);
        let lines = log.lines();
        let mut lines = lines.filter(|line| line.contains("request=at-relayed event=relayed"));
        let line = lines.next().expect("a relayed request");
        let relay = (4..9).find(|host| {
            let relay = format!("relay={} ", site.cluster.callers(*host).ip());
            line.contains(&relay)
        });
        site.cluster.signal(relay.expect("a relay"), "-KILL");
    };
    let (answer, ()) = tokio::join!(call("at-relayed"), kill);
    assert_eq!((answer.status, answer.ending), (200, Ending::Broken));
}

#[tokio::test]
async fn no_answer_follows_one_that_was_broken_off_on_the_same_connection() {
    let cluster = Cluster::start(133);
    cluster.apply(&config_with_single_runs()).await;
    for (number, answer) in [
        "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\ndata: a\n\nid: 2",
        "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\ndata: a\n\n",
        "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 30\r\n\r\nid: 1\ndata: a\n\n",
    ]
    .into_iter()
    .enumerate()
    {
        let end = End::Close;
        let behaviour = Behaviour::Verbatim { answer, end };
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        let requests = ["POST /unknown", "POST /once/x", "POST /once/y"];
        assert_eq!(raw::count_answers(&cluster, 3, &requests).await, 2);
        cluster.announce(&endpoint, "plain", "draining", 2).await;
    }
}

#[tokio::test]
async fn a_stream_that_is_resumed_without_framing_is_not_framed_as_complete() {
    let cluster = Cluster::start(134);
    cluster.apply(&config(3)).await;
    let broken = Endpoint::start("i-1", Behaviour::TruncatedStream { after: 1 }).await;
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 2\ndata: piece 2\n\n";
    let end = End::Close;
    let unframed = Endpoint::start("i-2", Behaviour::Verbatim { answer, end }).await;
    for endpoint in [&broken, &unframed] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = raw::call(&cluster, 3, Version::Http11, "POST /stream/x", attempt).await;
        let was_first = broken.record.attempts.lock().contains_key(attempt);
        let ending = if was_first {
            Ending::Broken
        } else {
            Ending::Unknown
        };
        assert_eq!(answer.ending, ending, "{answer:?}");
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
}

#[tokio::test]
async fn a_stream_that_is_broken_off_in_its_first_event_is_tried_elsewhere() {
    let cluster = Cluster::start(135);
    cluster.apply(&config(3)).await;
    let answer = "HTTP/1.1 200 OK\r\nATTEMPT\r\n\r\nid: 1\nda";
    let end = End::Close;
    let broken = Endpoint::start("i-1", Behaviour::Verbatim { answer, end }).await;
    let pause = Duration::from_millis(5);
    let complete = Behaviour::CompleteStream { events: 2, pause };
    let complete = Endpoint::start("i-2", complete).await;
    for endpoint in [&broken, &complete] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = raw::call(&cluster, 3, Version::Http11, "POST /stream/x", attempt).await;
        assert_eq!((answer.status, answer.ending), (200, Ending::Complete));
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
}
