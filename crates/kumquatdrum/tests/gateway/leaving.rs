//! Endpoints that say in their answers that they are leaving.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::backoff::load;
use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The time in which requests that were already sent arrive.
const IN_TRANSIT: Duration = Duration::from_millis(200);

/// Returns the number of requests that a host sent to an endpoint after it had passed on an answer
/// that says that the endpoint is leaving.
fn count_late(endpoint: &Endpoint) -> usize {
    let host = |attempt: &str| attempt.rsplit('@').next().map(str::to_owned);
    let answers = endpoint.record.leaving_answers.lock();
    let arrivals = endpoint.record.arrivals.lock();
    let late = arrivals.iter().filter(|(arrived, attempt)| {
        let mut answers = answers.iter();
        answers.any(|(at, answered)| host(answered) == host(attempt) && *arrived > *at + IN_TRANSIT)
    });
    late.count()
}

async fn check_leaving(subnet: u8, config: Value, path: &'static str) {
    let cluster = Arc::new(Cluster::start(subnet));
    cluster.apply(&config).await;
    let leaving = Endpoint::start("i-leaving", Behaviour::StreamOrCompleteBody).await;
    let other = Endpoint::start("i-other", Behaviour::StreamOrCompleteBody).await;
    for endpoint in [&leaving, &other] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &leaving).await;
        cluster.wait_until_ready(host, &other).await;
    }
    leaving.record.is_leaving.store(true, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(3);
    let announcing = async {
        for sequence in 2..10 {
            cluster.announce(&leaving, "plain", "ready", sequence).await;
            sleep(Duration::from_millis(300)).await;
        }
    };
    let ((sent, served), ()) = tokio::join!(load(&cluster, path, until), announcing);
    assert!(!leaving.record.leaving_answers.lock().is_empty());
    assert_eq!(count_late(&leaving), 0);
    assert_eq!(served, sent);
}

#[tokio::test]
async fn a_plain_endpoint_that_says_that_it_leaves_gets_no_more_requests() {
    check_leaving(83, config(3), "/safe/x").await;
}

#[tokio::test]
async fn an_engine_that_says_that_it_leaves_gets_no_more_prompts() {
    check_leaving(84, engine_config(3), "/stream/x").await;
}
