//! Requests under engine faults: responses to callers and the number of runs.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use kumquatdrum_types::digest;
use reqwest::RequestBuilder;
use support::{Response, System, answer, call, completion, send, streamed_text};

const PROMPT: &str = "shade 7.1 over 6.0, foils half done";
const TOKENS: u32 = 20;
const SLOW_STEP: Duration = Duration::from_millis(25);

/// Starts a host with engines that are slow enough for a fault to occur during an answer.
async fn start_slow(engines: usize) -> (System, Vec<Engine>) {
    let system = System::start(1).await;
    let mut started = Vec::new();
    for number in 0..engines {
        let name = format!("e{number}");
        let engine = system.engine_with(&name, 0, |options| options.sizes.step = SLOW_STEP);
        started.push(engine.await);
    }
    (system, started)
}

async fn stop(system: System, engines: Vec<Engine>) {
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
}

fn build_request(system: &System, stream: bool, idempotent: bool) -> RequestBuilder {
    let body = completion(PROMPT, TOKENS.into(), stream);
    call(system.callers(0), &body).header("x-idempotent", idempotent.to_string())
}

/// Waits for an engine that runs a request.
async fn wait_until_busy(engines: &[Engine]) -> usize {
    for _ in 0..5_000 {
        let found = engines
            .iter()
            .position(|engine| engine.counts().running > 0);
        if let Some(found) = found {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("no engine ran the request");
}

fn count_runs(engines: &[Engine]) -> u32 {
    let prompt = digest::hex(PROMPT.as_bytes());
    let counts = engines.iter().map(Engine::counts);
    counts
        .map(|counts| counts.runs_by_digest.get(&prompt).copied().unwrap_or(0))
        .sum()
}

/// Sends a request and injects a fault into its engine while the answer is being generated.
async fn send_with_fault(
    system: &System,
    engines: &[Engine],
    request: RequestBuilder,
    fault: Fault,
) -> Response {
    let response = tokio::spawn(send(request));
    let index = wait_until_busy(engines).await;
    tokio::time::sleep(4 * SLOW_STEP).await;
    engines[index].inject(&fault);
    let _ = system;
    response.await.expect("the caller finishes")
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_survives_the_death_of_its_engine() {
    let (system, engines) = start_slow(2).await;
    let response = send_with_fault(
        &system,
        &engines,
        build_request(&system, false, true),
        Fault::Die,
    )
    .await;
    assert_eq!(
        (response.status, response.text()),
        (200, answer(PROMPT, TOKENS)),
        "{response:?}"
    );
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_truncated_by_the_death_of_its_engine_has_no_end_marker() {
    let (system, engines) = start_slow(2).await;
    let request = build_request(&system, true, true).header("x-deadline-ms", "3000");
    let response = send_with_fault(&system, &engines, request, Fault::Die).await;
    assert_eq!(streamed_text(&response.body), None, "{response:?}");
    assert!(
        response.body.contains("\"class\":\"failed\""),
        "{response:?}"
    );
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_runs_once_when_its_engine_dies() {
    let (system, engines) = start_slow(2).await;
    let request = build_request(&system, false, false).header("x-deadline-ms", "3000");
    let response = send_with_fault(&system, &engines, request, Fault::Die).await;
    assert!(
        ["failed", "unknown"].contains(&response.class().as_str()),
        "{response:?}"
    );
    assert_eq!(count_runs(&engines), 1);
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_to_a_frozen_engine_fails_at_its_deadline() {
    let (system, engines) = start_slow(2).await;
    let request = build_request(&system, false, false).header("x-deadline-ms", "3000");
    let response = send_with_fault(&system, &engines, request, Fault::Freeze).await;
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(count_runs(&engines), 1);
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_moves_from_a_frozen_engine_to_another() {
    let (system, engines) = start_slow(2).await;
    let response = send_with_fault(
        &system,
        &engines,
        build_request(&system, false, true),
        Fault::Freeze,
    )
    .await;
    assert_eq!(
        (response.status, response.text()),
        (200, answer(PROMPT, TOKENS)),
        "{response:?}"
    );
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_on_a_silent_connection_is_resumed() {
    for (stream, idempotent) in [(true, true), (true, false), (false, false)] {
        let (system, engines) = start_slow(2).await;
        let request = build_request(&system, stream, idempotent);
        let response = send_with_fault(&system, &engines, request, Fault::SilenceOpen).await;
        let text = if stream {
            streamed_text(&response.body)
        } else {
            Some(response.text())
        };
        assert_eq!(text, Some(answer(PROMPT, TOKENS)), "{response:?}");
        assert_eq!(count_runs(&engines), 1);
        stop(system, engines).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_pooled_connection_fails_no_request() {
    let (system, engines) = start_slow(1).await;
    let first = send(build_request(&system, false, false)).await;
    assert_eq!(first.status, 200, "{first:?}");
    engines[0].inject(&Fault::SilenceOpen);
    let second = send(build_request(&system, false, false)).await;
    assert_eq!(
        (second.status, second.text()),
        (200, answer(PROMPT, TOKENS)),
        "{second:?}"
    );
    assert_eq!(count_runs(&engines), 2, "one run for each request");
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_answer_is_resumed() {
    for broken in [true, false] {
        let (system, engines) = start_slow(1).await;
        engines[0].inject(&Fault::Cut {
            after_tokens: 3,
            count: 1,
            broken,
        });
        let response = send(build_request(&system, true, false)).await;
        assert_eq!(
            streamed_text(&response.body),
            Some(answer(PROMPT, TOKENS)),
            "{response:?}"
        );
        assert_eq!(count_runs(&engines), 1);
        stop(system, engines).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crossed_answer_never_reaches_the_wrong_caller() {
    for header in [true, false] {
        let (system, engines) = start_slow(1).await;
        let other = call(
            system.callers(0),
            &completion("another caller's", TOKENS.into(), true),
        );
        let other = tokio::spawn(send(other));
        wait_until_busy(&engines).await;
        engines[0].inject(&Fault::Cross { count: 1, header });
        let response = send(build_request(&system, true, false)).await;
        assert_eq!(
            streamed_text(&response.body),
            Some(answer(PROMPT, TOKENS)),
            "{response:?}"
        );
        let other = other.await.expect("the other caller finishes");
        let expected = Some(answer("another caller's", TOKENS));
        assert_eq!(streamed_text(&other.body), expected, "{other:?}");
        stop(system, engines).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_waited_for() {
    let (system, engines) = start_slow(1).await;
    engines[0].inject(&Fault::Late {
        ms: 3_000,
        count: 1,
    });
    let response = send(build_request(&system, false, false)).await;
    assert_eq!(
        (response.status, response.text()),
        (200, answer(PROMPT, TOKENS)),
        "{response:?}"
    );
    assert_eq!(count_runs(&engines), 1);
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_by_a_full_engine_is_retried() {
    let (system, engines) = start_slow(2).await;
    for engine in &engines {
        engine.inject(&Fault::Refuse { count: 1 });
    }
    // Each request adds a fifth of a retry to the budget.
    for _ in 0..8 {
        send(call(system.callers(0), &completion("warm", 1, false))).await;
    }
    let response = send(build_request(&system, false, false)).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(count_runs(&engines), 1);
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_their_budget() {
    const REQUESTS: u64 = 60;
    let (system, engines) = start_slow(2).await;
    for engine in &engines {
        engine.inject(&Fault::Fail);
    }
    let pending: Vec<_> = (0..REQUESTS)
        .map(|_| tokio::spawn(send(build_request(&system, false, true))))
        .collect();
    for pending in pending {
        let response = pending.await.expect("the caller finishes");
        // On a busy machine a request can time out before the engine's 500 arrives.
        assert!(response.status >= 500, "{response:?}");
        assert_ne!(response.class_or_relayed(), "not_run", "{response:?}");
    }
    let attempts: u64 = engines.iter().map(|engine| engine.counts().received).sum();
    assert!(attempts * 10 < REQUESTS * 12, "{attempts} attempts");
    stop(system, engines).await;
}

/// Waits until the engines run nothing and hold no memory.
async fn wait_until_idle(engines: &[Engine]) {
    let is_idle = |engine: &Engine| {
        let counts = engine.counts();
        counts.running == 0 && counts.waiting == 0 && counts.memory_used_tokens == 0
    };
    let waiting = async {
        while !engines.iter().all(is_idle) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    waited.expect("the engines release their memory");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_is_cancelled_when_its_caller_disconnects() {
    let (system, engines) = start_slow(1).await;
    engines[0].inject(&Fault::LoseCancel {
        count: 2,
        done: false,
    });
    let body = completion(PROMPT, 2_000, true);
    let pending = tokio::spawn(send(
        call(system.callers(0), &body).header("x-deadline-ms", "60000"),
    ));
    wait_until_busy(&engines).await;
    pending.abort();
    wait_until_idle(&engines).await;
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_without_streaming_is_cancelled_when_its_caller_disconnects() {
    let (system, engines) = start_slow(1).await;
    let body = completion(PROMPT, 2_000, false);
    let pending = tokio::spawn(send(
        call(system.callers(0), &body).header("x-deadline-ms", "60000"),
    ));
    wait_until_busy(&engines).await;
    pending.abort();
    wait_until_idle(&engines).await;
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_attempt_is_cancelled_at_the_deadline() {
    let (system, engines) = start_slow(1).await;
    let body = completion(PROMPT, 100, false);
    let request = call(system.callers(0), &body).header("x-deadline-ms", "1500");
    let response = send(request).await;
    assert_eq!(
        (response.status, response.class().as_str()),
        (504, "failed"),
        "{response:?}"
    );
    wait_until_idle(&engines).await;
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_takes_no_pooled_connection() {
    let system = System::start(1).await;
    let service = system.service("p1", 0).await;
    let url = format!("http://{}/services/salon-api/reorders", system.callers(0));
    let order = |key: &str| {
        let request = reqwest::Client::new().post(&url).body("two boxes");
        request
            .bearer_auth(support::CALLER_KEY)
            .header("x-test-key", key)
    };
    assert_eq!(send(order("k1")).await.status, 200);
    service.inject(&Fault::SilenceOpen);
    let second = send(order("k2")).await;
    assert_eq!(second.status, 200, "{second:?}");
    let counts = service.counts();
    assert_eq!(counts.runs_by_key.get("k1"), Some(&1));
    assert_eq!(counts.runs_by_key.get("k2"), Some(&1));
    service.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_holds_no_resources_beyond_its_deadline() {
    use tokio::io::AsyncWriteExt;

    let (system, engines) = start_slow(1).await;
    let body = completion(PROMPT, 100, true).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         x-deadline-ms: 1500\r\ncontent-length: {}\r\n\r\n{body}",
        support::CALLER_KEY,
        body.len()
    );
    let mut caller = tokio::net::TcpStream::connect(system.callers(0))
        .await
        .expect("the host listens");
    caller
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    wait_until_busy(&engines).await;
    wait_until_idle(&engines).await;
    let ended = &system.hosts[0].metrics().ended;
    let failed = async {
        while ended.with_label_values(&["failed"]).get() == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), failed).await;
    waited.expect("the request ends as failed");
    assert_eq!(system.hosts[0].metrics().in_flight.get(), 0);
    drop(caller);
    stop(system, engines).await;
}
