//! Operators' calls are answered before operators give up, also while control hosts are frozen.

use std::sync::Arc;
use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};

/// The time after which an operator sends a call again, to another control host.
const PATIENCE: Duration = Duration::from_secs(1);
/// The time after a loss in which a call must succeed: an election and a few calls.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// The time for which calls are made after a loss, which covers several calls to each control host.
const OBSERVED_TIME: Duration = Duration::from_secs(5);
/// The time for which the leader and others stay frozen if the rest is no majority.
const FREEZE_TIME: Duration = Duration::from_millis(2_500);
/// The delay between the first calls of two operators.
const STAGGER: Duration = Duration::from_millis(250);
/// Longer than the time in which all control hosts of a new cluster become voters.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The delay between a call that did not succeed and the next one.
const BACKOFF: Duration = Duration::from_millis(50);

/// A call that an operator makes.
#[derive(Debug, Clone, Copy)]
enum Call {
    Read,
    Apply,
    Status,
    Order,
}

impl Call {
    /// Makes the call once, and returns the status of its response.
    async fn send(self, cluster: &Cluster, host: usize, revision: u64) -> StatusCode {
        let (method, path) = match self {
            Self::Read => (Method::GET, "/-/Config.Get"),
            Self::Apply => (Method::POST, "/-/Config.Replace"),
            Self::Status => (Method::GET, "/evacuations"),
            Self::Order => (Method::POST, "/-/Evacuation.Start/zone-0"),
        };
        let mut request = cluster.control_request(host, method, path);
        if matches!(self, Self::Apply) {
            request = request.body(config(revision).to_string());
        }
        let sent = Instant::now();
        let answer = request.timeout(PATIENCE).send().await;
        let answer = answer.unwrap_or_else(|error| {
            let log = cluster.read_log(host);
            panic!(
                "{self:?} at host {host}, {:?}: {error}\n{log}",
                sent.elapsed()
            )
        });
        match answer.status() {
            StatusCode::OK if matches!(self, Self::Status) => {
                let text = answer.text().await.expect("a status");
                let status: Value = serde_json::from_str(&text).expect("JSON");
                let is_confirmed = status["isConfirmed"] == true;
                if is_confirmed {
                    StatusCode::OK
                } else {
                    StatusCode::SERVICE_UNAVAILABLE
                }
            }
            status => status,
        }
    }
}

/// Freezes the leader and further control hosts. Meanwhile an operator at each other control host makes
/// calls to these in turn: each must be answered within an operator's patience, and one must succeed soon,
/// once a majority runs.
async fn check_answers(subnet: u16, control_hosts: usize, frozen: usize, call: Call) {
    let cluster = Cluster::of_control_hosts(subnet, control_hosts);
    let cluster = Arc::new(cluster);
    cluster.apply(&config(1)).await;
    for host in 0..control_hosts {
        cluster.wait_for_revision(host, 1).await;
    }
    // Control hosts that have not all become voters tolerate fewer losses.
    sleep(SETTLE_TIME).await;
    let leader = find_leader(&cluster, control_hosts).await;
    let ranked = (0..control_hosts).map(|offset| (leader + offset) % control_hosts);
    let ranked: Vec<usize> = ranked.collect();
    let (frozen, live) = ranked.split_at(frozen);
    for host in frozen {
        cluster.signal(*host, "-STOP");
    }
    if frozen.len() * 2 > control_hosts {
        let succeeded = operate(&cluster, live, call, FREEZE_TIME).await;
        assert_eq!(succeeded, None, "{call:?} without a majority");
        for host in frozen {
            cluster.signal(*host, "-CONT");
        }
    }
    let succeeded = operate(&cluster, live, call, OBSERVED_TIME).await;
    assert!(
        succeeded.is_some_and(|after| after < RECOVERY_TIME),
        "{call:?} succeeded after {succeeded:?}"
    );
}

/// Makes calls for some time, with one operator per host who begins there. Returns the time after which
/// the first one succeeded.
async fn operate(
    cluster: &Arc<Cluster>,
    hosts: &[usize],
    call: Call,
    duration: Duration,
) -> Option<Duration> {
    let started = Instant::now();
    let mut operators = JoinSet::new();
    for first in 0..hosts.len() {
        let (cluster, hosts) = (Arc::clone(cluster), hosts.to_vec());
        operators.spawn(async move {
            sleep(STAGGER * first as u32).await;
            let mut succeeded = None;
            let mut revision = 1;
            for host in hosts.iter().cycle().skip(first) {
                if started.elapsed() > duration {
                    break;
                }
                revision += 1;
                match call.send(&cluster, *host, revision).await {
                    StatusCode::OK => {
                        succeeded.get_or_insert(started.elapsed());
                    }
                    status => assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{call:?}"),
                }
                sleep(BACKOFF).await;
            }
            succeeded
        });
    }
    let succeeded = operators.join_all().await;
    succeeded.into_iter().flatten().min()
}

async fn find_leader(cluster: &Cluster, control_hosts: usize) -> usize {
    loop {
        for host in 0..control_hosts {
            if cluster.metric(host, "kumquatdrum_gateway_leader").await == 1 {
                return host;
            }
        }
        sleep(BACKOFF).await;
    }
}

/// Guards against a replica that is asked until the reader has left, as it doesn't respond.
#[tokio::test]
async fn reads_are_answered_in_time_while_the_leader_is_frozen() {
    check_answers(446, 3, 1, Call::Read).await;
}

#[tokio::test]
async fn reads_are_answered_in_time_while_the_leader_and_another_are_frozen() {
    check_answers(447, 5, 2, Call::Read).await;
}

/// Guards against a control host that looks for a leader for longer than the reader waits.
#[tokio::test]
async fn reads_are_answered_in_time_while_a_majority_is_frozen() {
    check_answers(448, 3, 2, Call::Read).await;
}

#[tokio::test]
async fn applies_are_answered_in_time_while_the_leader_is_frozen() {
    check_answers(449, 3, 1, Call::Apply).await;
}

#[tokio::test]
async fn applies_are_answered_in_time_while_the_leader_and_another_are_frozen() {
    check_answers(450, 5, 2, Call::Apply).await;
}

#[tokio::test]
async fn applies_are_answered_in_time_while_a_majority_is_frozen() {
    check_answers(451, 3, 2, Call::Apply).await;
}

#[tokio::test]
async fn the_status_is_answered_in_time_while_the_leader_and_another_are_frozen() {
    check_answers(452, 5, 2, Call::Status).await;
}

#[tokio::test]
async fn the_status_is_answered_in_time_while_a_majority_is_frozen() {
    check_answers(453, 3, 2, Call::Status).await;
}

#[tokio::test]
async fn orders_are_answered_in_time_while_the_leader_and_another_are_frozen() {
    check_answers(454, 5, 2, Call::Order).await;
}

#[tokio::test]
async fn orders_are_answered_in_time_while_a_majority_is_frozen() {
    check_answers(455, 3, 2, Call::Order).await;
}
