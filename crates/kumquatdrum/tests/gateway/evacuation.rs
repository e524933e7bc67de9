//! Evacuations of data centres while hosts fail.

use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint, SIX_EVENTS};

const TIMEOUT: Duration = Duration::from_secs(40);
/// The time after which an operator repeats an order.
const REPEAT_AFTER: Duration = Duration::from_secs(1);
/// Longer than the time in which a host that lags behind an order learns of it by hellos.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Longer than an election, and than the silence after which a host counts as lost.
const FREEZE_TIME: Duration = Duration::from_millis(2_500);

/// Starts a cluster with one endpoint in each of the given data centres.
async fn start(
    subnet: u16,
    data_centres: &[&str],
    behaviour: Behaviour,
) -> (Cluster, Vec<Endpoint>) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(1)).await;
    let mut endpoints = Vec::new();
    for (number, data_centre) in data_centres.iter().enumerate() {
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        let announcement = json!({
            "service": "plain", "address": endpoint.address.to_string(), "zone": data_centre,
            "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1,
        });
        let path = format!("/-/Instances.Heartbeat/{}", endpoint.id);
        let answer = cluster.call_control(0, &path, Some(&announcement)).await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
        endpoints.push(endpoint);
    }
    for host in CONTROL_HOSTS..HOSTS {
        for endpoint in &endpoints {
            cluster.wait_until_ready(host, endpoint).await;
        }
    }
    (cluster, endpoints)
}

/// Sends an order once, as an operator who waits for a second.
async fn try_order(cluster: &Cluster, host: usize, order: &str) -> Option<StatusCode> {
    let path = format!("/-/Evacuation.{order}");
    let request = cluster.control_request(host, Method::POST, &path);
    let answer = request.timeout(REPEAT_AFTER).send().await;
    answer.ok().map(|answer| answer.status())
}

/// Repeats an order at the given control hosts until it is acknowledged.
pub async fn order(cluster: &Cluster, hosts: &[usize], order: &str) {
    let until = Instant::now() + TIMEOUT;
    for host in hosts.iter().cycle() {
        if try_order(cluster, *host, order).await == Some(StatusCode::OK) {
            return;
        }
        assert!(Instant::now() < until, "no acknowledgement of {order}");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Waits for the confirmed status of a control host.
async fn status(cluster: &Cluster, host: usize) -> Value {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(answer) = cluster.call_control(host, "/evacuations", None).await
            && answer.status() == StatusCode::OK
        {
            let text = answer.text().await.expect("a status");
            let status: Value = serde_json::from_str(&text).expect("JSON");
            if status["isConfirmed"] == true {
                return status;
            }
        }
        assert!(Instant::now() < until, "no confirmed status");
        sleep(Duration::from_millis(50)).await;
    }
}

async fn find_leader(cluster: &Cluster) -> usize {
    let until = Instant::now() + TIMEOUT;
    loop {
        for host in 0..CONTROL_HOSTS {
            if cluster.metric(host, "kumquatdrum_gateway_leader").await == 1 {
                return host;
            }
        }
        assert!(Instant::now() < until, "no leader");
    }
}

async fn call(cluster: &Cluster, host: usize, attempt: &str) -> StatusCode {
    let answer = cluster.request(host, "/safe/x", attempt).send().await;
    answer.expect("an answer").status()
}

/// Guards against requests that a host sends by an outdated state.
#[tokio::test]
async fn traffic_reaches_no_evacuated_endpoint_once_the_order_is_acknowledged() {
    let (cluster, endpoints) = start(53, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let host = CONTROL_HOSTS + caller % 2;
        let log_path = cluster.log_path(host);
        let attempts = (0..300).map(|number| format!("at-{caller}-{number}"));
        let requests: Vec<_> = attempts
            .map(|attempt| (cluster.request(host, "/safe/x", &attempt), attempt))
            .collect();
        callers.spawn(async move {
            for (request, attempt) in requests {
                let answer = request.send().await.expect("an answer");
                let status = answer.status();
                let body = answer.text().await.expect("a body");
                let log = std::fs::read_to_string(&log_path).unwrap_or_default();
                let lines: Vec<&str> = log.lines().filter(|line| line.contains(&attempt)).collect();
                assert_eq!(status, StatusCode::OK, "{body}: {lines:#?}");
                sleep(Duration::from_millis(5)).await;
            }
        });
    }
    sleep(Duration::from_millis(200)).await;
    order(&cluster, &[0, 1, 2], "Start/zone-0").await;
    let acknowledged = Instant::now();
    let evacuated = endpoints[0].record.clone();
    let before = evacuated.arrivals.lock().len();
    assert!(before > 0, "the endpoint had no requests before");
    callers.join_all().await;
    let late = evacuated
        .arrivals
        .lock()
        .iter()
        .filter(|(at, _)| *at > acknowledged)
        .count();
    assert_eq!(late, 0, "requests reached an evacuated endpoint");
    assert_eq!(
        try_order(&cluster, 1, "Start/nowhere").await,
        Some(StatusCode::NOT_FOUND)
    );
    let status = status(&cluster, 2).await;
    assert_eq!(status["dataCentres"][0]["dataCentre"], "zone-0");
    assert_eq!(status["dataCentres"][0]["isEvacuated"], true);
    assert_eq!(status["audit"][0]["by"], "127.0.0.1");
    order(&cluster, &[2], "End/zone-0").await;
    for number in 0..20 {
        assert_eq!(
            call(&cluster, 3, &format!("back-{number}")).await,
            StatusCode::OK
        );
    }
    assert!(
        endpoints[0].runs() > before,
        "the endpoint is not used again"
    );
}

/// Runs the command against a control host, and returns its exit code and output.
async fn run(cluster: &Cluster, arguments: &[&str]) -> (Option<i32>, String) {
    let request = cluster.control_request(1, Method::GET, "").build();
    let url = request.expect("a request").url().to_string();
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_kumquatdrum"));
    command
        .arg("evacuate")
        .args(arguments)
        .args(["--control", &url]);
    let output = command.output().await.expect("the command runs");
    let text = String::from_utf8(output.stdout).expect("text");
    (output.status.code(), text)
}

#[tokio::test]
async fn the_commands_give_orders_and_show_the_status() {
    let (cluster, _endpoints) = start(59, &["zone-0"], Behaviour::CompleteBody).await;
    find_leader(&cluster).await;
    let (code, text) = run(&cluster, &["start", "nowhere"]).await;
    assert_eq!(code, Some(1), "{text}");
    assert!(text.contains("unknown data centre: nowhere"), "{text}");
    let (code, text) = run(&cluster, &["start", "zone-0"]).await;
    assert_eq!(code, Some(0), "{text}");
    let (_, text) = run(&cluster, &["status"]).await;
    assert!(text.contains("zone-0  evacuated since"), "{text}");
    let (code, text) = run(&cluster, &["end", "zone-0"]).await;
    assert_eq!(code, Some(0), "{text}");
    let (code, text) = run(&cluster, &["status", "--json"]).await;
    let status: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &status["version"]), (Some(0), &json!(2)));
    assert_eq!(status["audit"][1]["change"], "end");
    let nobody = ["status", "--control", "127.0.0.1:1"];
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_kumquatdrum"));
    let output = command.arg("evacuate").args(nobody).output().await;
    assert_eq!(output.expect("the command runs").status.code(), Some(3));
}

/// Guards against requests that wait until their deadline, and against streams that are cut off.
#[tokio::test]
async fn without_an_endpoint_requests_are_refused_at_once_and_streams_finish() {
    let (cluster, endpoints) = start(54, &["zone-0", "zone-0"], SIX_EVENTS).await;
    let stream = cluster.request(3, "/stream/x", "at-1").send().await;
    let mut stream = stream.expect("an answer");
    let first = stream.chunk().await.expect("a stream").expect("an event");
    order(&cluster, &[1], "Start/zone-0").await;
    let started = Instant::now();
    for host in CONTROL_HOSTS..HOSTS {
        let refused = cluster.request(host, "/safe/x", "at-2").send().await;
        let refused = refused.expect("an answer");
        assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers().contains_key("retry-after"));
    }
    assert!(started.elapsed() < Duration::from_secs(4), "not at once");
    let rest = stream.text().await.expect("the rest of the stream");
    assert!(
        first.starts_with(b"id: 1") && rest.contains("piece 6"),
        "{rest}"
    );
    assert_eq!(endpoints.iter().map(Endpoint::runs).sum::<usize>(), 1);
}

/// Guards against an order that is lost with the leader, or applied twice.
#[tokio::test]
async fn an_order_survives_the_leader_that_is_lost_before_the_acknowledgement() {
    let (mut cluster, _endpoints) = start(55, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    let leader = find_leader(&cluster).await;
    let others: Vec<usize> = (0..CONTROL_HOSTS).filter(|host| *host != leader).collect();
    let path = "/-/Evacuation.Start/zone-0";
    let request = cluster.control_request(others[0], Method::POST, path);
    let attempt = tokio::spawn(request.timeout(REPEAT_AFTER).send());
    sleep(Duration::from_millis(3)).await;
    cluster.kill(leader);
    let _ = attempt.await;
    order(&cluster, &others, "Start/zone-0").await;
    for host in others {
        let status = status(&cluster, host).await;
        assert_eq!(status["dataCentres"][0]["isEvacuated"], true);
        assert_eq!(status["version"], 1);
    }
}

/// Asserts that an order is acknowledged at the first attempt. If the machine had stopped the asked host
/// for over a second, it has to refuse; only then, the order is repeated.
async fn assert_single_order(cluster: &Cluster, asked: usize, order: &str, context: &str) {
    let path = format!("/-/Evacuation.{order}");
    let count_suspended = || cluster.read_log(asked).matches("outcome=suspended").count();
    let until = Instant::now() + TIMEOUT;
    loop {
        let before = count_suspended();
        let answer = cluster.call_control(asked, &path, Some(&json!({}))).await;
        let answer = answer.map(|answer| answer.status());
        if answer == Some(StatusCode::OK) {
            return;
        }
        let log = cluster.read_log(asked);
        let is_suspended = answer == Some(StatusCode::SERVICE_UNAVAILABLE)
            && count_suspended() > before
            && Instant::now() < until;
        assert!(is_suspended, "{answer:?} to {context}: {log}");
        sleep(REPEAT_AFTER).await;
    }
}

/// Guards against a frozen control host that uses up the time for an order at another one.
#[tokio::test]
async fn a_single_order_is_acknowledged_while_one_control_host_is_frozen() {
    let (cluster, _endpoints) = start(60, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    for asked in 0..CONTROL_HOSTS {
        find_leader(&cluster).await;
        let others = (0..CONTROL_HOSTS).filter(|host| *host != asked);
        for frozen in others {
            cluster.signal(frozen, "-STOP");
            sleep(FREEZE_TIME).await;
            for order in ["Start/zone-0", "End/zone-0"] {
                let context = format!("{order} at {asked}, {frozen} frozen");
                assert_single_order(&cluster, asked, order, &context).await;
            }
            cluster.signal(frozen, "-CONT");
            sleep(SETTLE_TIME).await;
        }
    }
}

/// Guards against a frozen control host that carries out an abandoned order when it resumes.
#[tokio::test]
async fn a_control_host_that_is_frozen_over_an_order_does_not_undo_later_ones() {
    let (cluster, _endpoints) = start(56, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    let leader = find_leader(&cluster).await;
    let frozen = (leader + 1) % CONTROL_HOSTS;
    let others: Vec<usize> = (0..CONTROL_HOSTS).filter(|host| *host != frozen).collect();
    cluster.signal(frozen, "-STOP");
    assert_eq!(try_order(&cluster, frozen, "Start/zone-0").await, None);
    order(&cluster, &others, "Start/zone-0").await;
    assert_eq!(try_order(&cluster, frozen, "Start/zone-0").await, None);
    order(&cluster, &others, "End/zone-0").await;
    cluster.signal(frozen, "-CONT");
    sleep(SETTLE_TIME).await;
    for host in 0..CONTROL_HOSTS {
        let status = status(&cluster, host).await;
        assert_eq!(status["dataCentres"][0]["isEvacuated"], false);
        assert_eq!(status["version"], 2);
    }
}

/// Guards against a resumed host that sends by the state from before its suspension.
#[tokio::test]
async fn a_host_that_was_frozen_over_an_order_sends_nothing_to_the_data_centre() {
    let (cluster, endpoints) = start(57, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    cluster.signal(3, "-STOP");
    order(&cluster, &[0, 1, 2], "Start/zone-0").await;
    sleep(SETTLE_TIME).await;
    let mut callers = JoinSet::new();
    for number in 0..12 {
        let request = cluster.request(3, "/safe/x", &format!("at-{number}"));
        callers.spawn(async move { request.send().await.expect("an answer").status() });
    }
    sleep(Duration::from_millis(200)).await;
    cluster.signal(3, "-CONT");
    assert_eq!(callers.join_all().await, [StatusCode::OK; 12]);
    assert_eq!((endpoints[0].runs(), endpoints[1].runs()), (0, 12));
}

/// Guards against an acknowledged order that hosts forget when all of them lose power.
#[tokio::test]
async fn an_acknowledged_order_survives_the_loss_of_all_hosts() {
    let (mut cluster, endpoints) = start(58, &["zone-0", "zone-1"], Behaviour::CompleteBody).await;
    for host in 0..CONTROL_HOSTS {
        for endpoint in &endpoints {
            cluster.wait_until_stored(host, endpoint).await;
        }
    }
    order(&cluster, &[0, 1, 2], "Start/zone-0").await;
    for host in 0..HOSTS {
        cluster.kill(host);
    }
    for host in 0..HOSTS {
        cluster.start_host(host, false);
    }
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &endpoints[1]).await;
        for number in 0..8 {
            let attempt = format!("at-{host}-{number}");
            assert_eq!(call(&cluster, host, &attempt).await, StatusCode::OK);
        }
    }
    assert_eq!((endpoints[0].runs(), endpoints[1].runs()), (0, 16));
    for host in 0..CONTROL_HOSTS {
        let status = status(&cluster, host).await;
        assert_eq!(status["dataCentres"][0]["isEvacuated"], true);
    }
}
