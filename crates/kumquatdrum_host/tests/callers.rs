//! Authorization, validation and limits of callers' requests.

mod support;

use kumquatdrum_host::embedded::{ENDPOINT_KEY, OPERATOR_KEY};
use kumquatdrum_types::Version;
use serde_json::{Value, json};
use support::{CALLER_KEY, Response, System, answer, call, completion, send};

fn post(url: &str, key: Option<&str>, body: impl Into<reqwest::Body>) -> reqwest::RequestBuilder {
    let request = reqwest::Client::new().post(url).body(body);
    match key {
        Some(key) => request.bearer_auth(key),
        None => request,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn each_listener_accepts_only_its_own_kind_of_key() {
    let system = System::start(1).await;
    let at = system.hosts[0].addresses;
    let completions = format!("http://{}/v1/completions", at.callers);
    let applies = format!("http://{}/v1/apply?base=1", at.operators);
    let endpoints = format!("http://{}/v1/endpoints", at.endpoints);
    let wrong = [
        (&completions, None),
        (&completions, Some("chair-8")),
        (&completions, Some(OPERATOR_KEY)),
        (&completions, Some(ENDPOINT_KEY)),
        (&applies, None),
        (&applies, Some(CALLER_KEY)),
        (&endpoints, None),
        (&endpoints, Some(CALLER_KEY)),
    ];
    for (url, key) in wrong {
        let response = send(post(url, key, "{}")).await;
        assert_eq!(response.status, 401, "{url} {key:?} {response:?}");
    }
    system.stop().await;
}

async fn send_with_headers(system: &System, body: Value, headers: &[(&str, &str)]) -> Response {
    let mut request = call(system.callers(0), &body);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    send(request).await
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_with_a_reason_and_not_dispatched() {
    let system = System::start(1).await;
    let engine = system.engine("e1", 0).await;
    let good = completion("shade", 2, false);
    let cases = [
        (
            json!({"prompt": "x"}),
            vec![],
            400,
            "bad_request",
            "missing field `model`",
        ),
        (
            json!({"model": "formula-llm"}),
            vec![],
            400,
            "bad_request",
            "exactly one of",
        ),
        (json!([1, 2]), vec![], 400, "bad_request", "line 1"),
        (
            json!({"model": "nobody", "prompt": "x"}),
            vec![],
            404,
            "unknown_service",
            "no such service",
        ),
        (
            json!({"model": "salon-api", "prompt": "x"}),
            vec![],
            404,
            "unknown_service",
            "no such",
        ),
        (
            good.clone(),
            vec![("x-deadline-ms", "soon")],
            400,
            "bad_request",
            "x-deadline-ms",
        ),
        (
            good.clone(),
            vec![("x-idempotent", "maybe")],
            400,
            "bad_request",
            "x-idempotent",
        ),
        (
            good.clone(),
            vec![("x-priority", "highest")],
            400,
            "bad_request",
            "x-priority",
        ),
        (
            good.clone(),
            vec![("idempotency-key", "")],
            400,
            "bad_request",
            "idempotency-key",
        ),
        (
            good.clone(),
            vec![("x-prompt-tokens", "9000000")],
            413,
            "prompt_too_long",
            "exceeds",
        ),
    ];
    for (body, headers, status, code, message) in cases {
        let response = send_with_headers(&system, body, &headers).await;
        assert_eq!(
            (response.status, response.code().as_str()),
            (status, code),
            "{response:?}"
        );
        assert_eq!(response.class(), "not_run", "{response:?}");
        assert!(response.body.contains(message), "{message}: {response:?}");
        assert_eq!(response.retry_after, None, "{response:?}");
    }
    assert_eq!(engine.counts().received, 0);
    let response = send(call(system.callers(0), &good)).await;
    assert_eq!(response.text(), answer("shade", 2));
    engine.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_forge_daemon_headers() {
    let system = System::start(1).await;
    let service = system.service("p1", 0).await;
    let url = format!("http://{}/services/salon-api/stock", system.callers(0));
    let request = post(&url, Some(CALLER_KEY), "abc")
        .header("x-attempt-id", "forged")
        .header("x-owner", "forged");
    let response = send(request).await;
    assert_eq!(response.status, 200, "{response:?}");
    assert!(!response.body.contains("forged"), "{response:?}");
    service.shutdown().await;
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_over_the_limit_is_refused_before_it_is_read() {
    let system = System::start(1).await;
    let body = vec![b'x'; 33 << 20];
    let url = format!("http://{}/v1/completions", system.callers(0));
    let sent = post(&url, Some(CALLER_KEY), body).send().await;
    // The response may arrive while the body is being sent; the connection is then closed.
    if let Ok(response) = sent {
        assert_eq!(response.status().as_u16(), 413);
    }
    assert_eq!(system.hosts[0].body_bytes(), 0);
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_long_prompts_stay_within_the_hosts_body_budget() {
    const PROMPTS: usize = 200;
    let system = System::start_with(1, |settings| {
        settings.limits.held_body_bytes = 64 << 20;
    });
    let system = system.await;
    let engine = system
        .engine_with("e1", 0, |options| {
            options.sizes.memory_tokens = 4_000_000;
            options.sizes.cache_tokens = 0;
        })
        .await;
    let prompt = "four".repeat(1 << 20);
    let body = completion(&prompt, 1, false).to_string();
    let address = system.callers(0);
    let client = reqwest::Client::new();
    let pending: Vec<_> = (0..PROMPTS)
        .map(|_| {
            let request = client
                .post(format!("http://{address}/v1/completions"))
                .bearer_auth(CALLER_KEY)
                .header("x-deadline-ms", "60000")
                .body(body.clone());
            tokio::spawn(send(request))
        })
        .collect();
    let (mut finished, mut refused) = (0, 0);
    for pending in pending {
        let response = pending.await.expect("the caller finishes");
        assert!(system.hosts[0].body_bytes() <= 64 << 20);
        if response.status == 200 {
            finished += 1;
            continue;
        }
        assert_eq!(response.class(), "not_run", "{}", response.body);
        assert!(response.retry_after.is_some(), "{}", response.body);
        refused += 1;
    }
    assert_eq!(finished + refused, PROMPTS);
    assert!(
        finished > 0 && refused > 0,
        "{finished} finished, {refused} refused"
    );
    assert_eq!(system.hosts[0].body_bytes(), 0);
    engine.shutdown().await;
    system.stop().await;
}

/// Guards against hosts that admit requests beyond the limits of the declaration in force.
#[tokio::test(flavor = "multi_thread")]
async fn requests_over_the_concurrency_limit_are_refused_with_retry_after() {
    const CONCURRENCY: usize = 2;
    const CALLERS: usize = 12;
    let system = System::start(1).await;
    let engine = system
        .engine_with("e1", 0, |options| {
            options.sizes.step = std::time::Duration::from_millis(100);
        })
        .await;
    let text = support::declaration_with_limits(json!({"concurrency": CONCURRENCY}));
    let applied = kumquatdrum_host::embedded::apply(&system.hosts, Version(1), &text).await;
    applied.expect("the declaration is accepted");
    // The admitted requests, if any, outlast the refusals of all others.
    let body = completion("shade", 100, false);
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..CALLERS {
        let request = call(system.callers(0), &body);
        callers.spawn(send(request.header("x-deadline-ms", "60000")));
    }
    for ended in 0..CALLERS {
        let response = callers.join_next().await.expect("a caller waits");
        let response = response.expect("the caller finishes");
        if ended >= CALLERS - CONCURRENCY && response.status == 200 {
            continue;
        }
        assert_eq!(
            (response.status, response.code().as_str()),
            (429, "concurrency_limited"),
            "{response:?}"
        );
        assert!(response.retry_after.is_some(), "{response:?}");
    }
    engine.shutdown().await;
    system.stop().await;
}
