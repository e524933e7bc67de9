//! The replay against a small fake of the callers' interface that answers in every way.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_replay::outcome::Violation;
use kumquatdrum_replay::replay::{self, Baseline, Error, Options};
use kumquatdrum_replay::{Entry, Expectation, Outcome, Report, prompt, trace};
use kumquatdrum_testing::server::{Server, loopback};
use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{Responder, State, get, post, routes};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

/// A deadline that the slow fake always misses.
const HASTY_DEADLINE: Duration = Duration::from_millis(20);

/// How the fake answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    Whole,
    WholeButSlow,
    WithoutEndMarker,
    TokenMissing,
    AnotherAnswer,
    PartOfAnotherAnswer,
    Refused,
    RefusedWithoutRetryAfter,
    FailedInStream,
    UnknownClass,
    NoJson,
}

#[derive(Responder)]
enum Reply {
    Stream((ContentType, String)),
    Refusal((Status, Json<Value>)),
    Plain((Status, String)),
}

#[post("/v1/completions", data = "<body>")]
async fn completions(body: Json<Value>, manner: &State<Manner>) -> Reply {
    let digest = prompt::digest(body["prompt"].as_str().unwrap());
    let tokens = body["max_tokens"].as_u64().unwrap() as u32;
    let own = prompt::answer(&digest, tokens);
    let other = prompt::answer(&prompt::digest("another"), tokens);
    let end = "data: [DONE]\n\n";
    let failure = json!({"error": {"code": "engine_died", "class": "failed"}});
    let text = match **manner {
        Manner::Whole => event(&own) + end,
        Manner::WholeButSlow => {
            tokio::time::sleep(2 * HASTY_DEADLINE).await;
            event(&own) + end
        }
        Manner::WithoutEndMarker => event(&own),
        Manner::TokenMissing => event(&prompt::answer(&digest, tokens - 1)) + end,
        Manner::AnotherAnswer => event(&other) + end,
        Manner::PartOfAnotherAnswer => event(&other),
        Manner::FailedInStream => event("") + &format!("data: {failure}\n\n"),
        Manner::Refused => return refusal(&json!({"retry_after_ms": 40})),
        Manner::RefusedWithoutRetryAfter => return refusal(&json!({})),
        Manner::UnknownClass => return refusal(&json!({"class": null})),
        Manner::NoJson => return Reply::Plain((Status::BadGateway, "oops".to_owned())),
    };
    Reply::Stream((ContentType::EventStream, text))
}

fn event(text: &str) -> String {
    format!("data: {}\n\n", json!({"choices": [{"text": text}]}))
}

fn refusal(extra: &Value) -> Reply {
    let mut error = json!({"code": "overloaded", "class": "not_run"});
    for (name, value) in extra.as_object().unwrap() {
        error[name] = value.clone();
    }
    let body = Json(json!({"error": error}));
    Reply::Refusal((Status::ServiceUnavailable, body))
}

#[get("/services/salon-api/stock?<request>")]
fn stock(request: &str, manner: &State<Manner>) -> Json<Value> {
    let request = match **manner {
        Manner::AnotherAnswer => "other",
        _ => request,
    };
    Json(json!({"path": format!("/stock?request={request}")}))
}

async fn fake(manner: Manner) -> Server {
    let server = Server::start(loopback(), |rocket| {
        rocket
            .manage(manner)
            .mount("/", routes![completions, stock])
    });
    server.await.unwrap()
}

fn entry() -> Entry {
    let line = r#"{"at_ms":0,"workspace":"w","key":"w","service":"formula-llm","path":"/v1/completions","prompt_tokens":1000,"max_tokens":4,"deadline_ms":30000,"idempotent":true}"#;
    trace::read(line).unwrap().remove(0)
}

fn options(target: SocketAddr) -> Options {
    Options {
        targets: vec![target],
        keys: [("w".to_owned(), "secret".to_owned())].into(),
        ..Options::default()
    }
}

async fn replayed(manner: Manner, trace: &[Entry]) -> Report {
    let server = fake(manner).await;
    let report = replay::run(trace, &options(server.address)).await.unwrap();
    server.stop().await;
    report
}

fn outcome(report: &Report) -> Outcome {
    let counts = [
        (report.finished, Outcome::Finished),
        (report.failed, Outcome::Failed),
        (report.not_run, Outcome::NotRun),
        (report.unknown, Outcome::Unknown),
        (report.crossed, Outcome::Crossed),
    ];
    counts.into_iter().find(|(count, _)| *count == 1).unwrap().1
}

#[tokio::test]
async fn each_answer_is_classed() {
    let cases = [
        (Manner::Whole, Outcome::Finished, None),
        (
            Manner::WithoutEndMarker,
            Outcome::Failed,
            Some("client_no_end_marker"),
        ),
        (
            Manner::TokenMissing,
            Outcome::Crossed,
            Some("client_wrong_text"),
        ),
        (
            Manner::AnotherAnswer,
            Outcome::Crossed,
            Some("client_crossed_answer"),
        ),
        (
            Manner::PartOfAnotherAnswer,
            Outcome::Crossed,
            Some("client_crossed_answer"),
        ),
        (Manner::Refused, Outcome::NotRun, Some("overloaded")),
        (Manner::FailedInStream, Outcome::Failed, Some("engine_died")),
        (Manner::UnknownClass, Outcome::Unknown, Some("overloaded")),
        (Manner::NoJson, Outcome::Unknown, Some("client_status_502")),
    ];
    for (manner, expected, code) in cases {
        let report = replayed(manner, &[entry()]).await;
        assert_eq!(outcome(&report), expected, "{manner:?}");
        assert_eq!(report.passed(), manner == Manner::Whole, "{manner:?}");
        let found = report.codes.keys().next().map(String::as_str);
        assert_eq!(found, code, "{manner:?}");
    }
}

#[tokio::test]
async fn stated_outcomes_are_met_or_not() {
    let cases = [
        (Manner::Refused, Expectation::NotRun, true),
        (Manner::Refused, Expectation::FinishedOrNotRun, true),
        (Manner::Refused, Expectation::Failed, false),
        (Manner::RefusedWithoutRetryAfter, Expectation::NotRun, false),
        (Manner::Whole, Expectation::FinishedOrNotRun, true),
        (Manner::Whole, Expectation::NotRun, false),
        (Manner::FailedInStream, Expectation::Failed, true),
        (Manner::NoJson, Expectation::Any, true),
        (Manner::AnotherAnswer, Expectation::Any, false),
    ];
    for (manner, expect, passes) in cases {
        let stated = Entry { expect, ..entry() };
        let report = replayed(manner, &[stated]).await;
        assert_eq!(report.passed(), passes, "{manner:?} {expect:?}");
    }
}

#[tokio::test]
async fn nobody_there_is_not_run() {
    // Bound without listening: refused, and no other test can be given the port meanwhile.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let address = socket.local_addr().unwrap();
    let report = replay::run(&[entry()], &options(address)).await.unwrap();
    assert_eq!(report.not_run, 1);
    assert_eq!(report.listed[0].violation, Violation::Outcome);
    assert_eq!(report.codes["client_cannot_connect"], 1);
}

#[tokio::test]
async fn calls_of_plain_services_are_judged_by_their_echo() {
    let call = Entry {
        service: "salon-api".to_owned(),
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        ..entry()
    };
    let straight = replayed(Manner::Whole, std::slice::from_ref(&call)).await;
    assert_eq!(straight.finished, 1);
    let crossed = replayed(Manner::AnotherAnswer, &[call]).await;
    assert_eq!(crossed.crossed, 1);
}

#[tokio::test]
async fn the_slowdown_is_taken_over_the_baseline() {
    let server = fake(Manner::Whole).await;
    let long = Entry {
        prompt_tokens: 100_000,
        ..entry()
    };
    let trace = [entry(), long, entry()];
    for (baseline, probes) in [(Baseline::ShortAlone, 2), (Baseline::IdleProbe(3), 3)] {
        let options = Options {
            baseline,
            ..options(server.address)
        };
        let report = replay::run(&trace, &options).await.unwrap();
        let slowdown = report.slowdown.as_ref().unwrap();
        assert_eq!(slowdown.with_long.count, 2);
        assert_eq!(slowdown.baseline.count, probes);
        assert!(slowdown.ratio.is_some());
        let bands: Vec<u64> = report
            .first_token
            .iter()
            .map(|band| band.quantiles.count)
            .collect();
        assert_eq!(bands, [2, 0, 0, 0, 1, 0]);
        let json = serde_json::to_string(&report).unwrap();
        assert_eq!(serde_json::from_str::<Report>(&json).unwrap(), report);
    }
    server.stop().await;
}

#[tokio::test]
async fn counts_of_stand_ins_are_set_against_the_answers() {
    // The fake's counts: each prompt of this run ran twice, whatever callers were told.
    #[get("/counters")]
    fn counters(digests: &State<Vec<String>>) -> Json<Value> {
        let runs: serde_json::Map<String, Value> = digests
            .iter()
            .map(|digest| (digest.clone(), json!(2)))
            .collect();
        Json(json!({"runs_by_digest": runs, "received": 4}))
    }
    let once = Entry {
        idempotent: false,
        idempotency_key: Some("k".to_owned()),
        ..entry()
    };
    let trace = [entry(), once];
    for (manner, expected) in [(Manner::Whole, (1, 1, 0)), (Manner::Refused, (0, 0, 2))] {
        let server = fake(manner).await;
        let mut options = options(server.address);
        options.run = "r".to_owned();
        let digests: Vec<String> = (0..2)
            .map(|index| prompt::text(&trace[index], &format!("r-{index}"), options.size))
            .map(|text| prompt::digest(&text))
            .collect();
        let control = Server::start(loopback(), |rocket| {
            rocket.manage(digests).mount("/", routes![counters])
        });
        let control = control.await.unwrap();
        options.controls = vec![control.address];
        let report = replay::run(&trace, &options).await.unwrap();
        let counted = report.counted.unwrap();
        let found = (
            counted.run_twice,
            counted.repeated,
            counted.ran_though_not_run,
        );
        assert_eq!(found, expected);
        assert!(!report.passed());
        server.stop().await;
        control.stop().await;
    }
}

#[tokio::test]
async fn a_late_answer_is_a_violation() {
    let server = fake(Manner::WholeButSlow).await;
    let hasty = Entry {
        deadline_ms: HASTY_DEADLINE.as_millis() as u64,
        ..entry()
    };
    let options = Options {
        slack: Duration::ZERO,
        ..options(server.address)
    };
    let report = replay::run(&[hasty], &options).await.unwrap();
    assert_eq!(report.late, 1);
    server.stop().await;
}

#[tokio::test]
async fn what_cannot_be_replayed_is_refused() {
    let address = loopback();
    let missing = Options {
        keys: [].into(),
        ..options(address)
    };
    let nowhere = Options {
        targets: Vec::new(),
        ..options(address)
    };
    let run = async |trace: &[Entry], options: &Options| replay::run(trace, options).await;
    assert!(matches!(
        run(&[], &options(address)).await,
        Err(Error::Empty)
    ));
    assert!(matches!(
        run(&[entry()], &nowhere).await,
        Err(Error::NoTarget)
    ));
    let error = run(&[entry()], &missing).await.unwrap_err();
    assert_eq!(error.to_string(), "no key is given for w");
    let elsewhere = Options {
        endpoints: [("salon-api".to_owned(), vec![address])].into(),
        ..options(address)
    };
    let error = run(&[entry()], &elsewhere).await.unwrap_err();
    assert_eq!(error.to_string(), "no endpoint is given for formula-llm");
}
