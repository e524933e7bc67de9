//! The path of a request through a gateway host, and the answers to callers when endpoints fail.

use reqwest::StatusCode;

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

async fn start_with_endpoint(subnet: u16, behaviour: Behaviour) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(3)).await;
    let endpoint = Endpoint::start("i-1", behaviour).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    (cluster, endpoint)
}

#[tokio::test]
async fn a_request_reaches_its_endpoint_unchanged() {
    let (cluster, endpoint) = start_with_endpoint(1, Behaviour::CompleteBody).await;
    let call = cluster.request(3, "/safe/a%20b?c=d&e", "at-1");
    let answer = call
        .header("Kumquatdrum-Tenant", "forged")
        .header("X-Own", "kept")
        .body("the body")
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.headers()["kumquatdrum-response-stamp"], "stamp-at-1");
    assert_eq!(answer.text().await.expect("a body"), "whole");
    let received = endpoint.record.requests.lock().concat();
    let lower = received.to_lowercase();
    assert!(
        received.starts_with("POST /safe/a%20b?c=d&e HTTP/1.1\r\n"),
        "{received}"
    );
    assert!(received.ends_with("\r\n\r\nthe body"), "{received}");
    assert!(
        lower.contains("kumquatdrum-tenant: workspace-1\r\n"),
        "{received}"
    );
    assert!(lower.contains("x-own: kept\r\n"), "{received}");
    assert!(!lower.contains("kumquatdrum-key"), "{received}");

    let unknown = cluster.request(3, "/nowhere/", "at-2").send().await;
    assert_eq!(unknown.expect("an answer").status(), StatusCode::NOT_FOUND);
    let unknown_key = cluster
        .client
        .get(format!("http://{}/safe/x", cluster.callers(3)));
    let unknown_key = unknown_key
        .header("Host", "a.example")
        .header("Kumquatdrum-Key", "other");
    let unknown_key = unknown_key.send().await.expect("an answer");
    assert_eq!(unknown_key.status(), StatusCode::UNAUTHORIZED);
    let large = cluster
        .request(3, "/safe/x", "at-3")
        .body(vec![b'x'; 100_001]);
    let large = large.send().await.expect("an answer");
    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(endpoint.runs(), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_forwarded() {
    let (cluster, endpoint) = start_with_endpoint(2, Behaviour::AnswerOtherAttempt).await;
    let answer = cluster.request(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs(), 1);
}

#[tokio::test]
async fn only_a_safe_request_is_retried_when_its_answer_is_lost() {
    let (cluster, endpoint) = start_with_endpoint(3, Behaviour::CloseWithoutAnswer).await;
    let other = Endpoint::start("i-2", Behaviour::CloseWithoutAnswer).await;
    cluster.announce(&other, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &other).await;
    let answer = cluster.request(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs() + other.runs(), 1);
    // A safe request is retried once, at the other endpoint.
    let answer = cluster.request(3, "/safe/x", "at-2").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs() + other.runs(), 3);
}

#[tokio::test]
async fn bytes_after_an_answer_are_not_forwarded() {
    let (cluster, _endpoint) = start_with_endpoint(4, Behaviour::AnswerTwice).await;
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.request(3, "/safe/x", attempt).send().await;
        let answer = answer.expect("an answer");
        let stamp = answer.headers()["kumquatdrum-response-stamp"].clone();
        assert_eq!(stamp, format!("stamp-{attempt}").as_str());
        assert_eq!(answer.text().await.expect("a body"), "whole");
    }
}

#[tokio::test]
async fn an_answer_without_length_that_is_reset_fails_with_bad_gateway() {
    let (cluster, _endpoint) = start_with_endpoint(5, Behaviour::ResetInBody).await;
    let answer = cluster.request(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn requests_succeed_despite_a_stale_announcement_of_the_same_address() {
    let (cluster, endpoint) = start_with_endpoint(6, Behaviour::CompleteBody).await;
    let mut stale = Endpoint::start("i-0", Behaviour::CompleteBody).await;
    stale.address = endpoint.address;
    // Both have the same start time, so that neither replaces the other.
    cluster.announce(&stale, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &stale).await;
    for attempt in 0..6 {
        let answer = cluster
            .request(3, "/safe/x", &format!("at-{attempt}"))
            .send()
            .await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    }
    assert_eq!((endpoint.runs(), stale.runs()), (6, 0));
}
