//! A request's way, and what callers get where endpoints fail.

use reqwest::StatusCode;

use crate::cluster::{Cluster, config};
use crate::endpoint::{Endpoint, Manner};

async fn serving(net: u8, manner: Manner) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(net);
    cluster.apply(&config(3)).await;
    let endpoint = Endpoint::start("i-1", manner).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.ready(3, &endpoint).await;
    (cluster, endpoint)
}

#[tokio::test]
async fn a_request_reaches_its_endpoint_unchanged() {
    let (cluster, endpoint) = serving(1, Manner::Whole).await;
    let call = cluster.call(3, "/safe/a%20b?c=d&e", "at-1");
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
    let seen = endpoint.seen.requests.lock().concat();
    let lower = seen.to_lowercase();
    assert!(
        seen.starts_with("POST /safe/a%20b?c=d&e HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.ends_with("\r\n\r\nthe body"), "{seen}");
    assert!(
        lower.contains("kumquatdrum-tenant: workspace-1\r\n"),
        "{seen}"
    );
    assert!(lower.contains("x-own: kept\r\n"), "{seen}");
    assert!(!lower.contains("kumquatdrum-key"), "{seen}");

    let unknown = cluster.call(3, "/nowhere/", "at-2").send().await;
    assert_eq!(unknown.expect("an answer").status(), StatusCode::NOT_FOUND);
    let keyless = cluster
        .client
        .get(format!("http://{}/safe/x", cluster.callers(3)));
    let keyless = keyless
        .header("Host", "a.example")
        .header("Kumquatdrum-Key", "other");
    let keyless = keyless.send().await.expect("an answer");
    assert_eq!(keyless.status(), StatusCode::UNAUTHORIZED);
    let large = cluster.call(3, "/safe/x", "at-3").body(vec![b'x'; 100_001]);
    let large = large.send().await.expect("an answer");
    assert_eq!(large.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(endpoint.runs(), 1);
}

#[tokio::test]
async fn an_answer_to_another_request_reaches_nobody() {
    let (cluster, endpoint) = serving(2, Manner::Crossed).await;
    let answer = cluster.call(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs(), 1);
}

#[tokio::test]
async fn what_may_not_be_repeated_runs_once_when_its_answer_is_lost() {
    let (cluster, endpoint) = serving(3, Manner::Lost).await;
    let other = Endpoint::start("i-2", Manner::Lost).await;
    cluster.announce(&other, "plain", "ready", 1).await;
    cluster.ready(3, &other).await;
    let answer = cluster.call(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs() + other.runs(), 1);
    // What may be repeated is tried at the other one, and no further.
    let answer = cluster.call(3, "/safe/x", "at-2").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
    assert_eq!(endpoint.runs() + other.runs(), 3);
}

#[tokio::test]
async fn bytes_after_an_answer_belong_to_nobody() {
    let (cluster, _endpoint) = serving(4, Manner::Twice).await;
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.call(3, "/safe/x", attempt).send().await;
        let answer = answer.expect("an answer");
        let stamp = answer.headers()["kumquatdrum-response-stamp"].clone();
        assert_eq!(stamp, format!("stamp-{attempt}").as_str());
        assert_eq!(answer.text().await.expect("a body"), "whole");
    }
}

#[tokio::test]
async fn an_answer_without_length_that_is_reset_is_not_whole() {
    let (cluster, _endpoint) = serving(5, Manner::Unframed).await;
    let answer = cluster.call(3, "/unsafe/x", "at-1").send().await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn another_endpoint_at_the_address_runs_nothing() {
    let (cluster, endpoint) = serving(6, Manner::Whole).await;
    let mut stale = Endpoint::start("i-0", Manner::Whole).await;
    stale.address = endpoint.address;
    // It started at the same moment, so that neither is known to be the later one.
    cluster.announce(&stale, "plain", "ready", 1).await;
    cluster.ready(3, &stale).await;
    for attempt in 0..6 {
        let answer = cluster
            .call(3, "/safe/x", &format!("at-{attempt}"))
            .send()
            .await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    }
    assert_eq!((endpoint.runs(), stale.runs()), (6, 0));
}
