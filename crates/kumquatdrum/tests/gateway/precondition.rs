//! Requests that expect a version of the weights that the endpoints don't have.

use reqwest::StatusCode;

use crate::cluster::{Cluster, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// Guards against a caller's precondition that takes a service's endpoints from all other callers.
#[tokio::test]
async fn a_precondition_that_no_endpoint_meets_takes_none_from_other_requests() {
    for (subnet, setup, path) in [
        (206, config(1), "/safe/x"),
        (207, engine_config(1), "/stream/x"),
    ] {
        let cluster = Cluster::start(subnet);
        cluster.apply(&setup).await;
        let mut endpoints = Vec::new();
        for id in ["i-1", "i-2"] {
            let endpoint = Endpoint::start(id, Behaviour::StreamOrCompleteBody).await;
            cluster.announce(&endpoint, "plain", "ready", 1).await;
            cluster.wait_until_ready(3, &endpoint).await;
            endpoints.push(endpoint);
        }
        for number in 0..10 {
            let attempt = format!("at-{number}");
            let send = async |version| {
                let request = cluster.request(3, path, &attempt);
                let request = request.header("Kumquatdrum-Expect-Version", version);
                request.send().await.expect("an answer").status()
            };
            assert_eq!(send("2").await, StatusCode::MISDIRECTED_REQUEST);
            assert_eq!(send("1").await, StatusCode::OK);
            let other = cluster.request(3, path, &attempt).send().await;
            assert_eq!(other.expect("an answer").status(), StatusCode::OK);
        }
        assert!(!cluster.read_log(3).contains("event=endpoint_displaced"));
    }
}
