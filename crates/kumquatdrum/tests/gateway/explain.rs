//! The `explain` command finds the cause of a failed request in the logs.

use std::process::Command;

use reqwest::StatusCode;
use serde_json::Value;

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, CRASHING_BODY, Endpoint};

/// Runs `explain` on the logs of both hosts that take callers, and returns its JSON.
pub fn explain(cluster: &Cluster, id: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_kumquatdrum"))
        .args(["explain", "--json", id])
        .args([cluster.log_path(3), cluster.log_path(4)])
        .output()
        .expect("the command");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

/// Waits until a request's end is logged, and returns its cause.
async fn wait_for_cause(cluster: &Cluster, id: &str) -> String {
    for _ in 0..200 {
        let timeline = explain(cluster, id);
        let lines = timeline["lines"].as_array().expect("lines");
        let is_end = |line: &Value| {
            let event = line["event"].as_str().unwrap_or_default();
            event == "request_ended" || event == "request_refused"
        };
        if lines.iter().any(is_end) {
            return timeline["cause"].as_str().expect("a cause").to_owned();
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("no end of {id}: {}", cluster.read_log(3));
}

#[tokio::test]
async fn an_endpoint_that_failed_midway_is_named() {
    let cluster = Cluster::start(41);
    cluster.apply(&config(1)).await;
    let broken = Endpoint::start("i-broken", Behaviour::TruncatedStream { after: 2 }).await;
    cluster.announce(&broken, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &broken).await;
    let answer = cluster.request(3, "/stream/x", "at-midway").send().await;
    assert!(
        answer.expect("a head").text().await.is_err(),
        "the stream is cut"
    );
    let cause = wait_for_cause(&cluster, "at-midway").await;
    assert!(
        cause.contains("i-broken") && cause.contains("broken"),
        "{cause}"
    );
}

#[tokio::test]
async fn a_refusal_names_its_reason() {
    let cluster = Cluster::start(42);
    cluster.apply(&config(1)).await;
    let other = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster
        .announce(&other, "another-service", "ready", 1)
        .await;
    cluster.wait_until_ready(3, &other).await;
    let answer = cluster.request(3, "/safe/x", "at-refused").send().await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
    let cause = wait_for_cause(&cluster, "at-refused").await;
    assert!(cause.contains("no endpoint is known"), "{cause}");
}

#[tokio::test]
async fn a_host_that_is_cut_off_answers_503_and_explains_why() {
    let mut cluster = Cluster::start(43);
    for host in 0..3 {
        cluster.kill(host);
    }
    cluster.wait_until_started(3).await;
    let answer = cluster.request(3, "/safe/x", "at-cut-off").send().await;
    assert_eq!(
        answer.expect("an answer").status(),
        StatusCode::SERVICE_UNAVAILABLE
    );
    let cause = wait_for_cause(&cluster, "at-cut-off").await;
    assert!(
        cause.contains("does not know yet") && cause.contains("revision 0"),
        "{cause}"
    );
}

#[tokio::test]
async fn a_blocked_request_names_the_crashes() {
    let cluster = Cluster::start(44);
    cluster.apply(&config(1)).await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let endpoint = Endpoint::start(&format!("i-{number}"), Behaviour::CompleteBody).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        endpoints.push(endpoint);
    }
    for id in ["at-1", "at-2", "at-blocked"] {
        let call = cluster.request(3, "/safe/x", id).body(CRASHING_BODY);
        call.send().await.expect("an answer");
    }
    let cause = wait_for_cause(&cluster, "at-blocked").await;
    assert!(cause.contains("is blocked: 3 endpoints crashed"), "{cause}");
    let blocked = "kumquatdrum_gateway_ended_total{end=\"blocked\"}";
    assert_eq!(cluster.metric(3, blocked).await, 1);
    assert_eq!(cluster.metric(3, "kumquatdrum_gateway_blocked").await, 1);
}

#[tokio::test]
async fn a_request_that_is_refused_for_a_back_off_names_it() {
    let cluster = Cluster::start(46);
    cluster.apply(&config(1)).await;
    let shedding = Endpoint::start("i-shedding", Behaviour::CompleteBody).await;
    *shedding.record.backoff.lock() = Some(30.0);
    cluster.announce(&shedding, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &shedding).await;
    for id in ["at-1", "at-held"] {
        let answer = cluster.request(3, "/safe/x", id).send().await;
        answer.expect("an answer");
    }
    let cause = wait_for_cause(&cluster, "at-held").await;
    assert!(cause.contains("asked for a back-off"), "{cause}");
    let timeline = explain(&cluster, "at-held").to_string();
    assert!(
        timeline.contains("request_held") && timeline.contains("endpoint_backoff"),
        "{timeline}"
    );
    let holds = "kumquatdrum_gateway_endpoint_holds_total{reason=\"backoff\"}";
    assert_eq!(cluster.metric(3, holds).await, 1);
}

#[tokio::test]
async fn a_request_that_is_refused_for_a_limit_names_it() {
    let cluster = Cluster::start(45);
    cluster.apply(&config(1)).await;
    let limited = Endpoint::start("i-limited", Behaviour::CompleteBody).await;
    *limited.record.limit.lock() = Some(0.1);
    cluster.announce(&limited, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &limited).await;
    for id in ["at-1", "at-limited"] {
        let answer = cluster.request(3, "/safe/x", id).send().await;
        answer.expect("an answer");
    }
    let cause = wait_for_cause(&cluster, "at-limited").await;
    assert!(cause.contains("limits that they name"), "{cause}");
    let timeline = explain(&cluster, "at-limited").to_string();
    assert!(
        timeline.contains("request_limited") && timeline.contains("\"0.10\""),
        "{timeline}"
    );
}
