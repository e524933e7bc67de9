//! Announcements to entry hosts, and calls of plain services.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_testing::server::{Server, loopback};
use kumquatdrum_testing::service::{Options, Service};
use kumquatdrum_testing::{Fault, announcer};
use kumquatdrum_types::Announcement;
use parking_lot::Mutex;
use rocket::serde::json::Json;
use rocket::{State, post, routes};
use serde_json::{Value, json};
use tokio::net::TcpSocket;

type Log = Arc<Mutex<Vec<Announcement>>>;

#[post("/v1/endpoints", data = "<announcement>")]
fn endpoints(announcement: Json<Announcement>, log: &State<Log>) {
    log.lock().push(announcement.into_inner());
}

async fn entry_host() -> (Server, Log) {
    let log = Log::default();
    let managed = Arc::clone(&log);
    let server = Server::start(loopback(), |rocket| {
        rocket.manage(managed).mount("/", routes![endpoints])
    });
    (server.await.unwrap(), log)
}

#[tokio::test]
async fn announcements_fail_over_to_the_next_host_and_end_with_a_leaving_notice() {
    let (host, log) = entry_host().await;
    // A bound port without a listener refuses connections and can't be taken by another test.
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind(loopback()).unwrap();
    let unreachable = socket.local_addr().unwrap();
    let mut options = Options::new("p1", "salon-api", "hall-raatuse");
    options.process.announcer = announcer::Options {
        hosts: vec![unreachable, host.address],
        interval: Duration::from_millis(5),
        ..announcer::Options::default()
    };
    let service = Service::start(options).await.unwrap();
    while service.announced() < 3 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    service.leave().await;
    let log = log.lock().clone();
    let sequences: Vec<u64> = log
        .iter()
        .map(|announcement| announcement.sequence)
        .collect();
    assert!(sequences.is_sorted_by(|left, right| left < right));
    assert_eq!(log[0].address, service.address());
    assert!(!log[0].leaving);
    assert!(log.last().unwrap().leaving);
    service.shutdown().await;
    host.stop().await;
}

#[tokio::test]
async fn a_plain_service_echoes_calls_and_counts_runs() {
    let service = Service::start(Options::new("p1", "salon-api", "hall-raatuse"));
    let service = service.await.unwrap();
    let client = reqwest::Client::new();
    let url = format!("http://{}/orders/7?box=2", service.address());
    for method in [reqwest::Method::PUT, reqwest::Method::PATCH] {
        let request = client.request(method, &url).header("x-attempt-id", "a");
        let answer = request.json(&json!({"test_key": "k"})).send().await;
        let echo: Value = answer.unwrap().json().await.unwrap();
        assert_eq!(echo["path"], "/orders/7?box=2");
        assert_eq!(echo["attempt"], "a");
        assert_eq!(echo["body"]["test_key"], "k");
    }
    service.inject(&Fault::Refuse { count: 1 });
    let refused = client.get(&url).header("x-test-key", "k").send().await;
    assert_eq!(refused.unwrap().status(), 503);
    let counts = service.counts();
    assert_eq!(counts.runs_by_key["k"], 2);
    assert_eq!(counts.runs_by_attempt["a"], 2);
    assert_eq!(counts.received, 3);
    service.shutdown().await;
}
