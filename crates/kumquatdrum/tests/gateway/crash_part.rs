//! Parts of prompts that crash the endpoints that answer them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::StatusCode;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, CRASHING_PART, Endpoint};

/// The number of endpoints that requests with a part may crash.
const MAX_CRASHES: usize = 5;
/// The pause between two requests with the part.
const PAUSE: Duration = Duration::from_millis(220);
const ENDPOINTS: usize = 12;

async fn start(subnet: u16) -> (Cluster, Vec<Endpoint>) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(3)).await;
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let id = format!("i-{number}");
        let endpoint = Endpoint::start(&id, Behaviour::StreamOrCompleteBody).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        endpoints.push(endpoint);
    }
    for endpoint in &endpoints {
        cluster.wait_until_ready(3, endpoint).await;
        cluster.wait_until_ready(4, endpoint).await;
    }
    (cluster, endpoints)
}

/// Sends a request that no other one equals, and returns its status if the answer is complete.
async fn send(cluster: &Cluster, host: usize, attempt: &str, parts: &str) -> Option<StatusCode> {
    let call = cluster.request(host, "/stream/x", attempt);
    let call = call.header("Kumquatdrum-Prompt-Prefix", parts);
    let answer = call.body(attempt.to_owned()).send().await.ok()?;
    let status = answer.status();
    answer.text().await.is_ok().then_some(status)
}

fn count_crashed(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().filter(|one| one.has_ended()).count()
}

/// Sends sound requests until told to stop, and returns how many of them were served, and all.
async fn run_sound(
    cluster: Arc<Cluster>,
    caller: usize,
    is_over: Arc<AtomicBool>,
) -> (usize, usize) {
    let (mut served, mut all) = (0, 0);
    while !is_over.load(Ordering::Relaxed) {
        let attempt = format!("at-sound-{caller}-{all}");
        // The first part is in all prompts, the second one in some, the third one in few.
        let parts = format!("a1:40,c{}:300,d{}:20,{caller}{all}:100", all % 3, all % 40);
        let status = send(&cluster, 3 + caller % 2, &attempt, &parts).await;
        served += usize::from(status == Some(StatusCode::OK));
        all += 1;
    }
    (served, all)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_with_a_part_that_crashed_five_endpoints_reach_no_other() {
    let (cluster, endpoints) = start(151).await;
    let (cluster, is_over) = (Arc::new(cluster), Arc::new(AtomicBool::new(false)));
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        callers.spawn(run_sound(cluster.clone(), caller, is_over.clone()));
    }
    let mut crashing = JoinSet::new();
    for number in 0..30 {
        let cluster = cluster.clone();
        crashing.spawn(async move {
            let parts = format!("a1:40,{CRASHING_PART}:30,c{}:300,e{number}:100", number % 3);
            let attempt = format!("at-crash-{number}");
            send(&cluster, 3 + number % 2, &attempt, &parts).await
        });
        sleep(PAUSE).await;
    }
    let statuses = crashing.join_all().await;
    is_over.store(true, Ordering::Relaxed);
    let counts = callers.join_all().await;
    let (served, all) = counts
        .iter()
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let crashed = count_crashed(&endpoints);
    println!("{crashed} endpoints crashed, {served} of {all} others served");
    assert!(
        crashed <= MAX_CRASHES,
        "{crashed} endpoints crashed:\n{}",
        cluster.read_logs()
    );
    assert!(served * 20 >= all * 19, "{served} of {all} others served");
    let refused = Some(StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(*statuses.last().expect("a request"), refused);
}

/// Sends requests with the part, and sound ones between them, until one is refused, and returns the
/// refusal's text.
async fn send_until_refused(cluster: &Cluster) -> String {
    for number in 0..20 {
        let attempt = format!("at-between-{number}");
        let status = send(cluster, 3, &attempt, "a1:40,b:100").await;
        assert_eq!(status, Some(StatusCode::OK));
        let attempt = format!("at-crash-{number}");
        let parts = format!("a1:40,{CRASHING_PART}:30,e{number}:100");
        let call = cluster.request(3 + number % 2, "/stream/x", &attempt);
        let call = call.header("Kumquatdrum-Prompt-Prefix", parts);
        let answer = call.body(attempt).send().await.expect("an answer");
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            assert!(answer.headers().contains_key("retry-after"));
            return answer.text().await.expect("a body");
        }
        sleep(PAUSE).await;
    }
    panic!("no request was refused: {}", cluster.read_log(3));
}

#[tokio::test]
async fn a_blocked_part_is_refused_by_a_host_that_has_just_started() {
    let (mut cluster, endpoints) = start(152).await;
    let refusal = send_until_refused(&cluster).await;
    assert!(refusal.contains(CRASHING_PART), "{refusal}");
    assert!(refusal.contains("crashed"), "{refusal}");
    cluster.kill(4);
    cluster.start_host(4, false);
    cluster.wait_until_ready(4, &endpoints[0]).await;
    let crashed = count_crashed(&endpoints);
    let parts = format!("{CRASHING_PART}:30,f:100");
    let mut refused = 0;
    for number in 0..5 {
        let status = send(&cluster, 4, &format!("at-{number}"), &parts).await;
        refused += usize::from(status == Some(StatusCode::SERVICE_UNAVAILABLE));
    }
    // One of them may be a probe.
    assert!(refused >= 4, "{refused} of 5 refused");
    assert!(count_crashed(&endpoints) <= crashed + 1);
    let last = format!("a1:40,c1:300,{CRASHING_PART}:100");
    let status = send(&cluster, 4, "at-last", &last).await;
    assert_eq!(
        status,
        Some(StatusCode::OK),
        "the last part is never blocked"
    );
}

#[tokio::test]
async fn a_part_that_no_longer_crashes_endpoints_is_served_again() {
    let (cluster, endpoints) = start(153).await;
    send_until_refused(&cluster).await;
    for endpoint in &endpoints {
        endpoint.record.is_immune.store(true, Ordering::Relaxed);
    }
    let crashed = count_crashed(&endpoints);
    let mut statuses = Vec::new();
    while statuses.last() != Some(&Some(StatusCode::OK)) && statuses.len() < 80 {
        let number = statuses.len();
        let parts = format!("a1:40,{CRASHING_PART}:30,g{number}:100");
        let attempt = format!("at-again-{number}");
        statuses.push(send(&cluster, 3 + number % 2, &attempt, &parts).await);
        sleep(PAUSE).await;
    }
    assert_eq!(statuses.last(), Some(&Some(StatusCode::OK)), "{statuses:?}");
    // Known on both hosts.
    sleep(PAUSE).await;
    for host in [3, 4] {
        let parts = format!("a1:40,{CRASHING_PART}:30,h{host}:100");
        let status = send(&cluster, host, &format!("at-known-{host}"), &parts).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
    assert_eq!(count_crashed(&endpoints), crashed);
}
