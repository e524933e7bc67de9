//! Requests with several attempts, some of which did not run the request.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::cluster::{CONTROL_HOSTS, Cluster, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The statuses that promise that a request has not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Tokens of a prompt whose prefill all engines share.
const LONG_PROMPT: &str = "60000,100";
const ENGINES: usize = 5;
/// The maximum number of requests until one is rejected by one endpoint and run by the other.
const MAX_REQUESTS: usize = 40;

/// Returns a config whose requests may be sent to two endpoints, and whose streams are not resumed.
fn with_two_attempts(mut config: Value) -> Value {
    for route in config["routes"].as_array_mut().expect("routes") {
        route["maxAttempts"] = json!(2);
        route["resumable"] = json!(false);
    }
    config
}

/// Starts a cluster with one host for callers, which knows the endpoints.
async fn start(subnet: u16, config: Value, endpoints: &[&Endpoint]) -> Cluster {
    let cluster = Cluster::with_hosts(subnet, CONTROL_HOSTS + 1);
    cluster.apply(&with_two_attempts(config)).await;
    for endpoint in endpoints {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for endpoint in endpoints {
        cluster.wait_until_ready(CONTROL_HOSTS, endpoint).await;
    }
    cluster
}

/// Sends requests until one was rejected and then ran without an answer. Returns its status.
async fn run_after_rejection(subnet: u16, path: &str) -> StatusCode {
    let rejecting = Endpoint::start("i-rejecting", Behaviour::CompleteBody).await;
    let running = Endpoint::start("i-running", Behaviour::CloseWithoutAnswer).await;
    *rejecting.record.backoff.lock() = Some(0.0);
    let cluster = start(subnet, config(3), &[&rejecting, &running]).await;
    for number in 0..MAX_REQUESTS {
        let attempt = format!("at-{number}");
        let call = cluster.request(CONTROL_HOSTS, path, &attempt);
        let status = call.send().await.expect("an answer").status();
        let is_rejected = |(_, rejected, _): &(_, String, _)| *rejected == attempt;
        let was_rejected = rejecting.record.backoffs.lock().iter().any(is_rejected);
        let has_run = running.record.attempts.lock().contains_key(&attempt);
        if was_rejected && has_run {
            return status;
        }
    }
    panic!(
        "none was rejected and run: {}",
        cluster.read_log(CONTROL_HOSTS)
    );
}

#[tokio::test]
async fn an_unsafe_request_that_ran_is_not_answered_with_an_earlier_rejection() {
    let status = run_after_rejection(246, "/unsafe/x").await;
    assert!(!PROMISES.contains(&status.as_u16()), "{status}");
}

#[tokio::test]
async fn a_stream_that_began_is_not_answered_with_an_earlier_rejection() {
    let status = run_after_rejection(247, "/stream/x").await;
    assert!(!PROMISES.contains(&status.as_u16()), "{status}");
}

#[tokio::test]
async fn a_prompt_that_ran_is_not_answered_with_the_failure_of_an_earlier_helper() {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let id = format!("i-{number}");
        engines.push(Endpoint::start(&id, Behaviour::CloseWithoutAnswer).await);
    }
    for (number, engine) in engines.iter().enumerate() {
        let next = engines[(number + 1) % ENGINES].address;
        engine.record.unreachable.lock().push(next);
    }
    let all: Vec<&Endpoint> = engines.iter().collect();
    let cluster = start(248, engine_config(3), &all).await;
    let call = cluster.request(CONTROL_HOSTS, "/stream/x", "at-long");
    let call = call.header("Kumquatdrum-Token-Count", LONG_PROMPT);
    let status = call.send().await.expect("an answer").status();
    let log = cluster.read_log(CONTROL_HOSTS);
    let sum = |count: fn(&Endpoint) -> usize| engines.iter().map(count).sum::<usize>();
    assert!(sum(Endpoint::refusals) > 0, "no helper failed: {log}");
    assert_eq!(sum(Endpoint::runs), 1, "{log}");
    assert!(!PROMISES.contains(&status.as_u16()), "{status}: {log}");
}

#[tokio::test]
async fn a_stream_without_an_event_at_the_deadline_is_not_answered_as_a_failure_of_its_endpoint() {
    let late = Behaviour::CompleteStream {
        events: 1,
        pause: Duration::from_secs(5),
    };
    let endpoint = Endpoint::start("i-late", late).await;
    let mut config = config(3);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(600);
    }
    let cluster = start(249, config, &[&endpoint]).await;
    let call = cluster.request(CONTROL_HOSTS, "/stream/x", "at-late");
    let status = call.send().await.expect("an answer").status();
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
}
