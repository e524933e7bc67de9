//! Delivery, authentication, reconnection, queue limits and shutdown of daemons over loopback.

mod support;

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_peer::{Channel, Client, Error, LocalDaemon, Pace};
use kumquatdrum_types::HostId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use support::{TEST_TIMEOUT, daemon, daemon_with, local, next, serve_on};

fn client(
    cluster: &str,
    secret: &str,
    host: &HostId,
    address: SocketAddr,
) -> (Client, LocalDaemon) {
    let local = local("entry-1", cluster, secret);
    let client = Client::new(local.clone());
    client.set_address(host, address);
    (client, local)
}

async fn ask(client: &Client, host: &HostId, body: &'static str) -> Result<Bytes, Error> {
    client
        .ask(host, Channel::Control, Bytes::from(body), TEST_TIMEOUT)
        .await
}

#[tokio::test]
async fn the_parts_of_a_response_arrive_in_order() {
    let daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, daemon.address);
    let body = Bytes::from("second");
    let opened = client.exchange(&host, Channel::Requests, body, TEST_TIMEOUT);
    let mut exchange = opened.await.expect("an exchange");
    for part in ["first", "second"] {
        assert_eq!(exchange.next().await, Ok(Some(Bytes::from(part))));
    }
    assert_eq!(exchange.next().await, Ok(None));
}

#[tokio::test]
async fn a_dropped_exchange_cancels_the_request() {
    let mut daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, daemon.address);
    let body = Bytes::from("hang");
    let opened = client.exchange(&host, Channel::Requests, body, TEST_TIMEOUT);
    let mut exchange = opened.await.expect("an exchange");
    assert_eq!(exchange.next().await, Ok(Some(Bytes::from("first"))));
    drop(exchange);
    assert_eq!(next(&mut daemon).await.2, Bytes::from("cancelled"));
}

#[tokio::test]
async fn an_exchange_with_another_secret_is_refused() {
    let daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "another secret", &host, daemon.address);
    let body = Bytes::from("second");
    let opened = client.exchange(&host, Channel::Requests, body, TEST_TIMEOUT);
    let refused = opened.await.expect_err("a refusal");
    assert!(matches!(refused, Error::Refused { .. }), "{refused}");
}

#[tokio::test]
async fn messages_arrive_once_in_order_and_requests_are_answered() {
    let mut daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, local) = client("salons", "secret", &host, daemon.address);
    for number in 0..100 {
        client.send(&host, Channel::Membership, Bytes::from(format!("{number}")));
    }
    for number in 0..100 {
        let (from, channel, body) = next(&mut daemon).await;
        assert_eq!(from, local.identity);
        assert_eq!(channel, Channel::Membership);
        assert_eq!(body, format!("{number}"));
    }
    assert_eq!(ask(&client, &host, "who").await.unwrap(), "control:who");
    let failure = ask(&client, &host, "fail").await.unwrap_err();
    assert_eq!(
        failure.to_string(),
        "host entry-2 returned an error: no majority"
    );
    client.shutdown().await;
    let sent = local.counters.read(Channel::Membership);
    let received = daemon.local.counters.read(Channel::Membership);
    assert_eq!(sent.messages_sent, 100);
    assert_eq!(sent.messages_received, received.messages_sent);
    assert_eq!(sent.bytes_sent, received.bytes_received);
    assert_eq!(ask(&client, &host, "who").await, Err(Error::Closed));
}

#[tokio::test]
async fn a_large_body_passes_and_one_above_the_limit_is_rejected() {
    let mut daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, daemon.address);
    let chunk = Bytes::from(vec![1; (4 << 20) + 1]);
    client.send(&host, Channel::Consensus, chunk.clone());
    assert_eq!(next(&mut daemon).await.2, chunk);
    let huge = Bytes::from(vec![1; (8 << 20) + 1]);
    let answer = client
        .ask(&host, Channel::Consensus, huge, TEST_TIMEOUT)
        .await;
    assert!(matches!(answer, Err(Error::TooLarge { .. })));
    client.shutdown().await;
}

#[tokio::test]
async fn another_cluster_a_wrong_secret_and_a_wrong_host_are_refused() {
    let mut daemon = daemon("entry-2").await;
    let cases = [
        ("banks", "secret", "entry-2", "another cluster"),
        ("salons", "guess", "entry-2", "wrong secret"),
        ("salons", "secret", "entry-3", "meant for another host"),
    ];
    for (cluster, secret, host, reason) in cases {
        let host = HostId::new(host);
        let (client, local) = client(cluster, secret, &host, daemon.address);
        client.send(&host, Channel::Membership, Bytes::from("hello"));
        let refused = Error::Refused {
            host: host.clone(),
            reason: reason.to_owned(),
        };
        assert_eq!(ask(&client, &host, "who").await, Err(refused));
        client.shutdown().await;
        let traffic = local.counters.read(Channel::Membership);
        assert_eq!(traffic.messages_dropped, 1, "{reason}");
    }
    assert!(daemon.deliveries.try_recv().is_err());
}

/// Records logged lines.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl slog::Drain for Lines {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &slog::Record<'_>, _: &slog::OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Line(record.msg().to_string());
        let _ = slog::KV::serialize(&record.kv(), record, &mut line);
        self.0.lock().unwrap().push(line.0);
        Ok(())
    }
}

struct Line(String);

impl slog::Serializer for Line {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

#[tokio::test]
async fn refusals_are_logged_at_a_limited_rate_and_without_secrets() {
    let lines = Lines::default();
    let mut server = local("entry-2", "salons", "the-true-secret");
    server.logger = slog::Logger::root(lines.clone(), slog::o!());
    let daemon = daemon_with(server).await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "the-guessed-secret", &host, daemon.address);
    for _ in 0..50 {
        ask(&client, &host, "who").await.unwrap_err();
    }
    client.shutdown().await;
    let lines = lines.0.lock().unwrap();
    assert!(!lines.is_empty() && lines.len() < 50, "{lines:?}");
    let first = &lines[0];
    assert!(first.contains("claimed_host=entry-1"), "{first}");
    assert!(first.contains("reason=wrong secret"), "{first}");
    let leaks = |line: &String| line.contains("-secret");
    assert!(!lines.iter().any(leaks), "{lines:?}");
}

/// Forwards bytes until it is frozen; existing connections then stay open and silent.
async fn proxy(target: SocketAddr, mut frozen: watch::Receiver<bool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let outbound = TcpStream::connect(target).await.unwrap();
            frozen.mark_unchanged();
            let (from_client, to_client) = inbound.into_split();
            let (from_server, to_server) = outbound.into_split();
            tokio::spawn(forward(from_client, to_server, frozen.clone()));
            tokio::spawn(forward(from_server, to_client, frozen.clone()));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut frozen: watch::Receiver<bool>,
) {
    let mut buffer = [0; 4_096];
    loop {
        tokio::select! {
            biased;
            _ = frozen.changed() => std::future::pending().await,
            count = from.read(&mut buffer) => match count {
                Ok(count) if count > 0 => to.write_all(&buffer[..count]).await.unwrap(),
                _ => return,
            },
        }
    }
}

#[tokio::test]
async fn a_silent_connection_is_replaced_by_a_new_one() {
    let mut daemon = daemon("entry-2").await;
    let (freeze, frozen) = watch::channel(false);
    let address = proxy(daemon.address, frozen).await;
    let host = HostId::new("entry-2");
    let (client, local) = client("salons", "secret", &host, address);
    ask(&client, &host, "first").await.unwrap();
    freeze.send(true).unwrap();
    // Pings end the call before its time limit.
    let lost = ask(&client, &host, "second").await.unwrap_err();
    assert!(matches!(lost, Error::Lost { .. }), "{lost}");
    assert!(!lost.is_unsent());
    assert_eq!(ask(&client, &host, "third").await.unwrap(), "control:third");
    client.send(&host, Channel::Limits, Bytes::from("after"));
    assert_eq!(next(&mut daemon).await.2, "after");
    client.shutdown().await;
    assert_eq!(local.counters.read(Channel::Limits).messages_dropped, 0);
}

#[tokio::test]
async fn a_full_queue_drops_and_counts_its_oldest_messages() {
    let mut daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, local) = client("salons", "secret", &host, daemon.address);
    // The test doesn't yield in between, so all messages are queued before any is sent.
    for number in 0..3_000_u32 {
        let body = Bytes::from(number.to_string());
        client.send(&host, Channel::Membership, body);
    }
    let dropped = local.counters.read(Channel::Membership).messages_dropped;
    assert_eq!(dropped, 3_000 - 1_024);
    for number in 3_000 - 1_024..3_000 {
        let (_, _, body) = next(&mut daemon).await;
        assert_eq!(body, number.to_string());
    }
    client.send(&HostId::new("nobody"), Channel::Setup, Bytes::new());
    assert_eq!(local.counters.read(Channel::Setup).messages_dropped, 1);
    client.shutdown().await;
}

#[tokio::test]
async fn requests_to_unreachable_and_unknown_hosts_are_reported_as_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, address);
    let error = ask(&client, &host, "who").await.unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }));
    assert!(error.is_unsent());
    let unknown = HostId::new("entry-9");
    let error = ask(&client, &unknown, "who").await.unwrap_err();
    assert_eq!(error, Error::UnknownHost(unknown));
    client.shutdown().await;
}

#[tokio::test]
async fn a_daemon_at_a_new_address_is_reached_there() {
    let host = HostId::new("entry-2");
    let first = daemon("entry-2").await;
    let (client, _) = client("salons", "secret", &host, first.address);
    ask(&client, &host, "first").await.unwrap();
    first.stop.send(()).unwrap();
    first.task.await.unwrap().unwrap();
    let second = daemon("entry-2").await;
    client.set_address(&host, second.address);
    assert_eq!(ask(&client, &host, "moved").await.unwrap(), "control:moved");
    client.shutdown().await;
}

#[tokio::test]
async fn shutdown_sends_queued_messages_and_joins_all_tasks() {
    let mut daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, local) = client("salons", "secret", &host, daemon.address);
    client.send(&host, Channel::Control, Bytes::from("queued"));
    client.shutdown().await;
    assert_eq!(next(&mut daemon).await.2, "queued");
    // All other references belonged to the client's tasks and peers.
    drop(client);
    assert_eq!(Arc::strong_count(&local.counters), 1);
    daemon.stop.send(()).unwrap();
    daemon.task.await.unwrap().unwrap();
    assert!(daemon.deliveries.recv().await.is_none());
}

#[tokio::test]
async fn a_slow_response_times_out_without_closing_the_connection() {
    let daemon = daemon("entry-2").await;
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, daemon.address);
    let limit = Duration::from_millis(50);
    let answer = client
        .ask(&host, Channel::Control, Bytes::from("hang"), limit)
        .await;
    let timeout = Error::Timeout {
        host: host.clone(),
        timeout: limit,
    };
    assert_eq!(answer, Err(timeout));
    assert_eq!(ask(&client, &host, "who").await.unwrap(), "control:who");
    client.shutdown().await;
}

/// A connection to a machine without power hangs, as the kernel repeats its request only after a
/// second. A listener whose queue is full drops connection requests in the same way.
#[tokio::test]
async fn a_host_that_comes_up_during_a_request_is_reached_by_it() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.listen(1).unwrap();
    let mut fillers = Vec::new();
    while let Ok(filler) = timeout(Duration::from_millis(100), TcpStream::connect(address)).await {
        fillers.push(filler.unwrap());
    }
    let host = HostId::new("entry-2");
    let (client, _) = client("salons", "secret", &host, address);
    client.set_pace(&host, Pace::Quick);
    let request = tokio::spawn(async move { ask(&client, &host, "now").await });
    tokio::time::sleep(Duration::from_millis(250)).await;
    for _ in fillers.drain(..) {
        listener.accept().await.unwrap();
    }
    let _daemon = serve_on(listener, local("entry-2", "salons", "secret"));
    let response = request.await.unwrap();
    assert_eq!(response, Ok(Bytes::from("control:now")));
}
