//! Engines that send bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use kumquatdrum_engine::{Client, Engine};
use kumquatdrum_orders::{Action, Order, OrderId};
use kumquatdrum_types::exchange::{Call, Target};
use kumquatdrum_types::{BootId, Moment};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// The bytes of an answer that may leave the engine, with what sockets buffer.
const MAX_BYTES: usize = 32 << 20;
/// The time in which an exchange with such an engine ends.
const MAX_TIME: Duration = Duration::from_secs(4);

/// Starts an engine that answers each request with a start and then without end, and counts what it
/// sends.
async fn start(start: &'static str, more: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener's address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    let more = more.repeat((64 << 10) / more.len());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let read = stream.read(&mut [0; 4096]).await;
            assert!(read.is_ok_and(|bytes| bytes > 0));
            let mut written = stream.write_all(start.as_bytes()).await;
            while written.is_ok() {
                written = stream.write_all(more.as_bytes()).await;
                counter.fetch_add(more.len(), Ordering::Relaxed);
            }
        }
    });
    (address, sent)
}

fn target(address: SocketAddr) -> Target {
    Target {
        endpoint: "engine-1".into(),
        boot: BootId(1),
        address,
    }
}

fn call(address: SocketAddr) -> Call {
    Call {
        target: target(address),
        attempt: "at-1".into(),
        owner: "host-1".into(),
        owner_attempt: 1,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
        prompt_tokens: 10,
        priority: 1,
        time_left: Duration::from_secs(60),
    }
}

/// Waits for an exchange to end, and checks how much of the answer was taken.
async fn check(name: &str, exchange: impl Future<Output = ()>, sent: &AtomicUsize) {
    let ended = timeout(MAX_TIME, exchange).await;
    let sent = sent.load(Ordering::Relaxed);
    println!("{name}: {sent} bytes, ended: {}", ended.is_ok());
    assert!(sent < MAX_BYTES, "{name}: {sent} bytes taken");
    assert!(ended.is_ok(), "{name}: not ended after {MAX_TIME:?}");
}

const BODY: &str = "HTTP/1.1 200 OK\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\n\r\n";
const STREAM: &str =
    "HTTP/1.1 200 OK\r\nx-attempt-id: at-1\r\ncontent-type: text/event-stream\r\n\r\n";

#[tokio::test]
async fn the_body_of_an_error_without_end_is_not_kept() {
    let (address, sent) = start(ERROR, "x").await;
    let client = Client::new().expect("a client");
    let events = client.dispatch(call(address)).collect::<Vec<_>>();
    let exchange = async move {
        events.await;
    };
    check("dispatch", exchange, &sent).await;
}

#[tokio::test]
async fn an_event_of_many_lines_without_end_is_not_kept() {
    let (address, sent) = start(STREAM, "data: x\n").await;
    let client = Client::new().expect("a client");
    let events = client.dispatch(call(address)).collect::<Vec<_>>();
    let exchange = async move {
        events.await;
    };
    check("event", exchange, &sent).await;
}

#[tokio::test]
async fn reports_without_end_are_not_kept() {
    let client = Client::new().expect("a client");
    let (address, sent) = start(BODY, "x").await;
    let report = client.order_report(&target(address));
    let exchange = async move { assert!(report.await.is_err()) };
    check("report", exchange, &sent).await;
    let (address, sent) = start(BODY, " ").await;
    let page = client.cache_events(&target(address), 0);
    let exchange = async move { assert!(page.await.is_err()) };
    check("cache events", exchange, &sent).await;
}

#[tokio::test]
async fn the_answer_to_an_order_without_end_is_not_kept() {
    let client = Client::new().expect("a client");
    for start_of_answer in [BODY, ERROR] {
        let (address, sent) = start(start_of_answer, "x").await;
        let order = Order {
            id: OrderId {
                fencing: 1,
                sequence: 1,
            },
            endpoint: "engine-1".into(),
            boot: BootId(1),
            action: Action::Fence,
            send_until: Moment::NEVER,
        };
        let answer = client.order(&target(address), &order, Box::new(|| true));
        let exchange = async move {
            answer.await;
        };
        check("order", exchange, &sent).await;
    }
}
