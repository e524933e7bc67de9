//! The replay against a fake of the callers' interface that sends each kind of answer.

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
const SHORT_DEADLINE: Duration = Duration::from_millis(20);

/// Kind of answer that the fake sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Complete,
    CompleteButSlow,
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
async fn completions(body: Json<Value>, behaviour: &State<Behaviour>) -> Reply {
    let digest = prompt::digest(body["prompt"].as_str().unwrap());
    let tokens = body["max_tokens"].as_u64().unwrap() as u32;
    let own = prompt::answer(&digest, tokens);
    let other = prompt::answer(&prompt::digest("another"), tokens);
    let end = "data: [DONE]\n\n";
    let failure = json!({"error": {"code": "engine_died", "class": "failed"}});
    let text = match **behaviour {
        Behaviour::Complete => event(&own) + end,
        Behaviour::CompleteButSlow => {
            tokio::time::sleep(2 * SHORT_DEADLINE).await;
            event(&own) + end
        }
        Behaviour::WithoutEndMarker => event(&own),
        Behaviour::TokenMissing => event(&prompt::answer(&digest, tokens - 1)) + end,
        Behaviour::AnotherAnswer => event(&other) + end,
        Behaviour::PartOfAnotherAnswer => event(&other),
        Behaviour::FailedInStream => event("") + &format!("data: {failure}\n\n"),
        Behaviour::Refused => return refusal(&json!({"retry_after_ms": 40})),
        Behaviour::RefusedWithoutRetryAfter => return refusal(&json!({})),
        Behaviour::UnknownClass => return refusal(&json!({"class": null})),
        Behaviour::NoJson => return Reply::Plain((Status::BadGateway, "oops".to_owned())),
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
fn stock(request: &str, behaviour: &State<Behaviour>) -> Json<Value> {
    let request = match **behaviour {
        Behaviour::AnotherAnswer => "other",
        _ => request,
    };
    Json(json!({"path": format!("/stock?request={request}")}))
}

async fn start_fake(behaviour: Behaviour) -> Server {
    let server = Server::start(loopback(), |rocket| {
        rocket
            .manage(behaviour)
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

async fn replay_one(behaviour: Behaviour, trace: &[Entry]) -> Report {
    let server = start_fake(behaviour).await;
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
async fn each_answer_is_classified() {
    let cases = [
        (Behaviour::Complete, Outcome::Finished, None),
        (
            Behaviour::WithoutEndMarker,
            Outcome::Failed,
            Some("client_no_end_marker"),
        ),
        (
            Behaviour::TokenMissing,
            Outcome::Crossed,
            Some("client_wrong_text"),
        ),
        (
            Behaviour::AnotherAnswer,
            Outcome::Crossed,
            Some("client_crossed_answer"),
        ),
        (
            Behaviour::PartOfAnotherAnswer,
            Outcome::Crossed,
            Some("client_crossed_answer"),
        ),
        (Behaviour::Refused, Outcome::NotRun, Some("overloaded")),
        (
            Behaviour::FailedInStream,
            Outcome::Failed,
            Some("engine_died"),
        ),
        (
            Behaviour::UnknownClass,
            Outcome::Unknown,
            Some("overloaded"),
        ),
        (
            Behaviour::NoJson,
            Outcome::Unknown,
            Some("client_status_502"),
        ),
    ];
    for (behaviour, expected, code) in cases {
        let report = replay_one(behaviour, &[entry()]).await;
        assert_eq!(outcome(&report), expected, "{behaviour:?}");
        assert_eq!(
            report.passed(),
            behaviour == Behaviour::Complete,
            "{behaviour:?}"
        );
        let found = report.codes.keys().next().map(String::as_str);
        assert_eq!(found, code, "{behaviour:?}");
    }
}

#[tokio::test]
async fn outcomes_are_checked_against_the_expectation() {
    let cases = [
        (Behaviour::Refused, Expectation::NotRun, true),
        (Behaviour::Refused, Expectation::FinishedOrNotRun, true),
        (Behaviour::Refused, Expectation::Failed, false),
        (
            Behaviour::RefusedWithoutRetryAfter,
            Expectation::NotRun,
            false,
        ),
        (Behaviour::Complete, Expectation::FinishedOrNotRun, true),
        (Behaviour::Complete, Expectation::NotRun, false),
        (Behaviour::FailedInStream, Expectation::Failed, true),
        (Behaviour::NoJson, Expectation::Any, true),
        (Behaviour::AnotherAnswer, Expectation::Any, false),
    ];
    for (behaviour, expect, passes) in cases {
        let entry = Entry { expect, ..entry() };
        let report = replay_one(behaviour, &[entry]).await;
        assert_eq!(report.passed(), passes, "{behaviour:?} {expect:?}");
    }
}

#[tokio::test]
async fn a_refused_connection_counts_as_not_run() {
    // A bound port without a listener refuses connections and can't be taken by another test.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let address = socket.local_addr().unwrap();
    let report = replay::run(&[entry()], &options(address)).await.unwrap();
    assert_eq!(report.not_run, 1);
    assert_eq!(report.listed[0].violation, Violation::Outcome);
    assert_eq!(report.codes["client_cannot_connect"], 1);
}

#[tokio::test]
async fn calls_to_plain_services_are_checked_by_their_echo() {
    let call = Entry {
        service: "salon-api".to_owned(),
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        ..entry()
    };
    let complete = replay_one(Behaviour::Complete, std::slice::from_ref(&call)).await;
    assert_eq!(complete.finished, 1);
    let crossed = replay_one(Behaviour::AnotherAnswer, &[call]).await;
    assert_eq!(crossed.crossed, 1);
}

#[tokio::test]
async fn the_slowdown_is_relative_to_the_baseline() {
    let server = start_fake(Behaviour::Complete).await;
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
async fn counts_of_stand_ins_are_compared_with_the_answers() {
    // The fake counts two runs of each prompt, regardless of its answer.
    #[get("/counters")]
    fn counters(digests: &State<Vec<String>>) -> Json<Value> {
        let runs: serde_json::Map<String, Value> = digests
            .iter()
            .map(|digest| (digest.clone(), json!(2)))
            .collect();
        Json(json!({"runs_by_digest": runs, "received": 4}))
    }
    let non_idempotent = Entry {
        idempotent: false,
        idempotency_key: Some("k".to_owned()),
        ..entry()
    };
    let trace = [entry(), non_idempotent];
    for (behaviour, expected) in [
        (Behaviour::Complete, (1, 1, 0)),
        (Behaviour::Refused, (0, 0, 2)),
    ] {
        let server = start_fake(behaviour).await;
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
    let server = start_fake(Behaviour::CompleteButSlow).await;
    let late = Entry {
        deadline_ms: SHORT_DEADLINE.as_millis() as u64,
        ..entry()
    };
    let options = Options {
        slack: Duration::ZERO,
        ..options(server.address)
    };
    let report = replay::run(&[late], &options).await.unwrap();
    assert_eq!(report.late, 1);
    server.stop().await;
}

#[tokio::test]
async fn invalid_replays_are_refused() {
    let address = loopback();
    let without_keys = Options {
        keys: [].into(),
        ..options(address)
    };
    let without_targets = Options {
        targets: Vec::new(),
        ..options(address)
    };
    let run = async |trace: &[Entry], options: &Options| replay::run(trace, options).await;
    assert!(matches!(
        run(&[], &options(address)).await,
        Err(Error::Empty)
    ));
    assert!(matches!(
        run(&[entry()], &without_targets).await,
        Err(Error::NoTarget)
    ));
    let error = run(&[entry()], &without_keys).await.unwrap_err();
    assert_eq!(error.to_string(), "no key is given for w");
    let without_engines = Options {
        endpoints: [("salon-api".to_owned(), vec![address])].into(),
        ..options(address)
    };
    let error = run(&[entry()], &without_engines).await.unwrap_err();
    assert_eq!(error.to_string(), "no endpoint is given for formula-llm");
}
