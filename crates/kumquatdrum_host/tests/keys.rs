//! Idempotency keys across several hosts.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use kumquatdrum_types::digest;
use reqwest::RequestBuilder;
use support::{CALLER_KEY, System, answer, call, completion, send};

const PROMPT: &str = "confirm the swap of 4 March";

fn keyed_request(system: &System, host: usize, key: &str, prompt: &str) -> RequestBuilder {
    call(system.callers(host), &completion(prompt, 10, false))
        .header("x-idempotent", "false")
        .header("idempotency-key", key)
}

fn count_runs(engine: &Engine, prompt: &str) -> u32 {
    let prompt = digest::hex(prompt.as_bytes());
    engine
        .counts()
        .runs_by_digest
        .get(&prompt)
        .copied()
        .unwrap_or(0)
}

async fn key_state(system: &System, host: usize, key: &str) -> String {
    let url = format!("http://{}/v1/keys/{key}", system.callers(host));
    let request = reqwest::Client::new().get(url).bearer_auth(CALLER_KEY);
    let response = send(request).await;
    response.json()["state"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

async fn start_slow_engine(system: &System) -> Engine {
    let slow = |options: &mut kumquatdrum_testing::engine::Options| {
        options.sizes.step = Duration::from_millis(50);
    };
    let engine = system.engine_with("e1", 0, slow).await;
    // Waits until all hosts know the engine.
    for host in 0..system.hosts.len() {
        while send(call(system.callers(host), &completion("warm", 1, false)))
            .await
            .status
            != 200
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    engine
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resend_to_another_host_gets_the_first_answer() {
    let system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    let first = send(keyed_request(&system, 0, "k1", PROMPT)).await;
    let second = send(keyed_request(&system, 1, "k1", PROMPT)).await;
    for response in [first, second] {
        assert_eq!(
            (response.status, response.text()),
            (200, answer(PROMPT, 10)),
            "{response:?}"
        );
    }
    assert_eq!(count_runs(&engine, PROMPT), 1);
    assert_eq!(key_state(&system, 2, "k1").await, "finished");
    assert_eq!(key_state(&system, 2, "k2").await, "never_seen");
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn resends_at_once_to_all_hosts_run_once() {
    let system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    for round in 0..5 {
        let (key, prompt) = (format!("k{round}"), format!("{PROMPT} {round}"));
        let pending: Vec<_> = (0..9)
            .map(|number| tokio::spawn(send(keyed_request(&system, number % 3, &key, &prompt))))
            .collect();
        for pending in pending {
            let response = pending.await.expect("the caller finishes");
            let is_complete = response.status == 200 && response.text() == answer(&prompt, 10);
            // A resend can arrive before the engine has received the attempt that holds the key.
            assert!(
                is_complete || response.code() == "key_running",
                "{response:?}"
            );
        }
        assert_eq!(count_runs(&engine, &prompt), 1);
    }
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reused_for_another_request_is_refused() {
    let system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    assert_eq!(
        send(keyed_request(&system, 0, "k1", PROMPT)).await.status,
        200
    );
    let response = send(keyed_request(&system, 1, "k1", "another request")).await;
    assert_eq!(
        (response.status, response.code().as_str()),
        (422, "key_mismatch"),
        "{response:?}"
    );
    assert_eq!(count_runs(&engine, "another request"), 0);
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_not_run_frees_its_key() {
    let system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    engine.inject(&Fault::Refuse { count: 9 });
    let refused = send(keyed_request(&system, 0, "k1", PROMPT)).await;
    assert_eq!(refused.class(), "not_run", "{refused:?}");
    engine.inject(&Fault::Heal);
    let response = send(keyed_request(&system, 1, "k1", PROMPT)).await;
    assert_eq!(
        (response.status, response.text()),
        (200, answer(PROMPT, 10)),
        "{response:?}"
    );
    assert_eq!(count_runs(&engine, PROMPT), 1);
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_keyed_request_keeps_running_when_its_caller_disconnects() {
    let system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    let pending = tokio::spawn(send(keyed_request(&system, 0, "k1", PROMPT)));
    while count_runs(&engine, PROMPT) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    pending.abort();
    let response = send(keyed_request(&system, 1, "k1", PROMPT)).await;
    assert_eq!(
        (response.status, response.text()),
        (200, answer(PROMPT, 10)),
        "{response:?}"
    );
    assert_eq!(count_runs(&engine, PROMPT), 1);
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_a_majority_a_keyed_request_is_not_run_and_an_unkeyed_one_is() {
    let mut system = System::start(3).await;
    let engine = start_slow_engine(&system).await;
    let others = system.hosts.split_off(1);
    kumquatdrum_host::embedded::stop(others).await;
    let keyed = send(keyed_request(&system, 0, "k1", PROMPT)).await;
    assert_eq!(keyed.code(), "claim_unavailable", "{keyed:?}");
    assert!(keyed.retry_after.is_some());
    assert_eq!(count_runs(&engine, PROMPT), 0);
    let unkeyed = send(call(system.callers(0), &completion(PROMPT, 10, false))).await;
    assert_eq!(unkeyed.status, 200, "{unkeyed:?}");
    engine.shutdown().await;
    system.stop().await;
}
