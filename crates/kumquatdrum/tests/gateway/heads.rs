//! Heads of answers that are none, as callers see them.

use std::time::Duration;

use tokio::time::sleep;

use crate::endings::config_with_single_runs;
use crate::endpoint::{Behaviour, End};
use crate::outage::Site;
use crate::raw::{self, Answer, Ending, Version};

/// The number of times that a request is sent until it reaches an endpoint.
const MAX_TRIES: usize = 20;
const PAUSE: Duration = Duration::from_millis(200);
const EVENT: &str = "id: 1\ndata: a\n\n";
/// What may come before an answer.
const INTERIM: [&str; 3] = [
    "",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
];
const HEADERS: [&str; 2] = ["ATTEMPT", "UNSTAMPED"];
const BODIES: [&str; 3] = [
    "Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "\r\nid: 1\ndata: a\n\n",
];

/// Returns an answer with each status line, in all of these ways.
fn with_status_lines(lines: &[&str]) -> &'static [String] {
    let mut answers = Vec::new();
    for line in lines {
        for interim in INTERIM {
            for headers in HEADERS {
                for body in BODIES {
                    answers.push(format!("{interim}{line}\r\n{headers}\r\n{body}"));
                }
            }
        }
    }
    answers.leak()
}

/// The way in which requests are sent, and which of the answers are played.
#[derive(Debug, Clone, Copy)]
struct Way {
    name: &'static str,
    step: usize,
}

const DIRECT: Way = Way {
    name: "direct",
    step: 1,
};
/// After broken answers, relays refuse requests for a while.
const RELAYED: Way = Way {
    name: "relayed",
    step: 5,
};

/// Sends a request for each answer, and checks that it looks as it may.
async fn play(
    site: &Site,
    way: Way,
    prefix: &str,
    answers: &[String],
    is_allowed: impl Fn(&str, &Answer) -> bool,
) {
    let mut wrong = Vec::new();
    let numbers = (0..answers.len()).step_by(way.step);
    let count = numbers.len();
    for number in numbers {
        let request = format!("POST {prefix}{number}");
        let mut seen = None;
        for repetition in 0..MAX_TRIES {
            let attempt = format!("at{prefix}{}-{number}-{repetition}", way.name);
            let attempt = attempt.replace('/', "-");
            let answer = raw::call(&site.cluster, 3, Version::Http11, &request, &attempt).await;
            if site
                .endpoints
                .iter()
                .any(|endpoint| endpoint.has_run(&attempt))
            {
                seen = Some(answer);
                break;
            }
            sleep(PAUSE).await;
        }
        let text = &answers[number];
        match seen {
            Some(answer) if is_allowed(text, &answer) => {}
            seen => wrong.push(format!("{text:?}: {seen:?}")),
        }
    }
    let wrong_count = wrong.len();
    assert!(
        wrong.is_empty(),
        "{way:?}, {wrong_count} of {count}: {wrong:#?}"
    );
}

/// Plays answers to plain requests and streams, directly and by relays.
async fn check(
    subnet: u16,
    (answers, end): (&'static [String], End),
    is_allowed: impl Fn(&str, &Answer) -> bool,
) {
    let behaviour = Behaviour::Numbered { answers, end };
    let site = Site::start(subnet, &config_with_single_runs(), behaviour).await;
    for prefix in ["/unsafe/", "/once/"] {
        play(&site, DIRECT, prefix, answers, &is_allowed).await;
    }
    site.cut(3).await;
    for prefix in ["/unsafe/", "/once/"] {
        play(&site, RELAYED, prefix, answers, &is_allowed).await;
    }
}

/// Returns whether an answer is a success that does not show which endpoint gave it.
fn is_unstamped_success(text: &str) -> bool {
    text.contains("UNSTAMPED") && text.contains(" 2")
}

/// Returns whether a caller got an answer of the host's own.
fn is_refused(_: &str, answer: &Answer) -> bool {
    answer.status == 502 && answer.ending == Ending::Complete
}

const INVALID_STATUSES: [&str; 10] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 2 OK",
    "HTTP/1.1 20x OK",
    "HTTP/1.1 ",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade",
    "HTTP/1.0 600 OK",
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_that_is_none_reaches_no_caller() {
    let answers = with_status_lines(&INVALID_STATUSES);
    check(462, (answers, End::Close), is_refused).await;
}

const VALID_STATUSES: [&str; 4] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 299 OK",
    "HTTP/1.1 404 Not Found",
    "HTTP/1.1 599 Failed",
];

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_of_a_response_reaches_its_caller_unless_it_is_a_success_without_a_stamp() {
    let answers = with_status_lines(&VALID_STATUSES);
    let is_passed_on = |text: &str, answer: &Answer| {
        is_unstamped_success(text) && is_refused(text, answer)
            || !is_unstamped_success(text)
                && text.contains(&format!("HTTP/1.1 {} ", answer.status))
                && answer.body == EVENT
    };
    check(463, (answers, End::Close), is_passed_on).await;
}

/// Heads whose bodies are missing.
const HEADS: [&str; 6] = [
    "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.0 200 OK\r\nATTEMPT\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nUNSTAMPED\r\nX-Last: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nATTEMPT\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Type: text/event-stream\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: 12\r\n\r\n",
];

/// Returns each head, cut after each of its bytes.
fn cuts() -> &'static [String] {
    let cut = |head: &'static str| (0..=head.len()).map(|length| head[..length].to_owned());
    let cuts: Vec<String> = HEADS.into_iter().flat_map(cut).collect();
    cuts.leak()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_cut_anywhere_and_closed_is_no_answer() {
    check(465, (cuts(), End::Close), is_refused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_is_cut_anywhere_and_reset_is_no_answer() {
    check(459, (cuts(), End::Reset), is_refused).await;
}

/// What follows the status line and the headers of every answer: further headers and [`EVENT`], whose
/// end they do not mark without doubt.
const UNCLEAR_ENDS: [&str; 31] = [
    "Content-Length: 15\r\nContent-Length: 30\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 30\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 15, 30\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 30, 15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: -15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: +15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 0x0f\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 1 5\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 15;\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: \r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 18446744073709551631\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 18446744073709551615\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length : 15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length\r\n: 15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 1\r\n 5\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length:\r\n 15\r\n\r\nid: 1\ndata: a\n\n",
    "X-Folded: a\r\n Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "X-Folded: a\r\n\tb\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "X-Bare: a\rContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding:\r\n chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Content-Length: 30\r\nTransfer-Encoding: identity\r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding: identity\r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding: \r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding: gzip\r\n\r\nid: 1\ndata: a\n\n",
    "Transfer-Encoding: gzip, chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, gzip\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "Transfer-Encoding: x-chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
];

const CLEAR_ENDS: [&str; 5] = [
    "Content-Length: 15\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 15, 15\r\n\r\nid: 1\ndata: a\n\n",
    "content-length:15\r\n\r\nid: 1\ndata: a\n\n",
    "Content-Length: 015 \r\n\r\nid: 1\ndata: a\n\n",
    "transfer-encoding:CHUNKED \r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
];

fn with_ends(ends: &[&str]) -> &'static [String] {
    let mut answers = Vec::new();
    for line in [
        "HTTP/1.1 200 OK",
        "HTTP/1.0 200 OK",
        "HTTP/1.1 404 Not Found",
    ] {
        for headers in HEADERS {
            for end in ends {
                answers.push(format!("{line}\r\n{headers}\r\n{end}"));
            }
        }
    }
    answers.leak()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_headers_contradict_each_other_about_its_end_is_none() {
    let answers = with_ends(&UNCLEAR_ENDS);
    check(461, (answers, End::Close), is_refused).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_names_its_end_in_another_way_is_not_lost() {
    let answers = with_ends(&CLEAR_ENDS);
    let is_complete = |text: &str, answer: &Answer| match answer.status {
        status if is_unstamped_success(text) => status == 502,
        // HTTP/1.0 has no chunks.
        502 => text.starts_with("HTTP/1.0") && text.contains("CHUNKED"),
        status => {
            let line = format!(" {status} ");
            text.contains(&line) && answer.body == EVENT && answer.ending == Ending::Complete
        }
    };
    check(457, (answers, End::Close), is_complete).await;
}
