//! Callers that send one request after the other on connections that stay open, and the announcements of the
//! endpoint that serves them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::sync::RwLock;
use tokio::time::{sleep, timeout};

use crate::caller::{Caller, End, Request};
use crate::cluster::Cluster;
use crate::endpoint::Endpoint;

const PAUSE: Duration = Duration::from_millis(20);
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);

/// What became of the requests of one caller.
#[derive(Debug, Default)]
pub struct Outcome {
    pub answered: u64,
    /// Descriptions of the other requests.
    pub failures: Vec<String>,
}

/// Sends requests on one connection until `is_over`. A connection that was lost counts as a failure.
pub async fn call(address: SocketAddr, name: String, is_over: &AtomicBool) -> Outcome {
    let mut outcome = Outcome::default();
    let mut connection = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let attempt = format!("{name}-{number}");
        let mut caller = match connection.take() {
            Some(caller) => caller,
            None => Caller::connect(address).await.expect("a connection"),
        };
        match caller.call(&Request::new("/safe/x", &attempt)).await {
            End::Answered(answer) if answer.status == 200 => {
                outcome.answered += 1;
                connection = Some(caller);
            }
            end => outcome.failures.push(format!("{attempt}: {end:?}")),
        }
        sleep(PAUSE).await;
    }
    outcome
}

/// Announces an endpoint to one control host after the other until `is_over`.
pub async fn announce(
    cluster: &RwLock<Cluster>,
    endpoint: &Endpoint,
    hosts: impl Fn() -> Vec<usize>,
    is_over: &AtomicBool,
) {
    let mut sequence = 1;
    while !is_over.load(Ordering::Relaxed) {
        sequence += 1;
        for host in hosts() {
            let cluster = cluster.read().await;
            let call = cluster.try_announce(host, endpoint, "plain", "ready", sequence);
            let acknowledged = timeout(ANNOUNCEMENT_TIMEOUT, call).await;
            if acknowledged.unwrap_or(false) {
                break;
            }
        }
        sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}
