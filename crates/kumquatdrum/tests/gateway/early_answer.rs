//! Callers get an answer that a host gives before it has read the request.

use std::time::Duration;

use tokio::time::Instant;

use crate::caller::{Answer, Caller, End, Framing, Request, call};
use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

/// The number of times that each request is sent, by each of two hosts in turn.
const REPETITIONS: usize = 6;
/// The most bytes of a refused request without end that a host may read.
const MAX_READ_BYTES: usize = 16 << 20;
/// The longest time for which a host may read a refused request without end.
const MAX_READ_TIME: Duration = Duration::from_secs(20);

/// Returns the ways in which the body of a refused request is sent.
fn ways<'a>(path: &'a str, key: &'a str, body_bytes: usize) -> Vec<Request<'a>> {
    let request = Request {
        key,
        body_bytes,
        ..Request::new(path, "at-early")
    };
    let ms = Duration::from_millis;
    let mut ways = Vec::new();
    for framing in [Framing::Length, Framing::Chunked] {
        for (pieces, pause) in [
            (0, ms(0)),
            (1, ms(20)),
            (2, ms(40)),
            (8, ms(20)),
            (4, ms(250)),
        ] {
            ways.push(Request {
                framing,
                pieces,
                pause,
                ..request.clone()
            });
        }
    }
    // A caller that does not wait for the word to continue.
    ways.push(Request {
        headers: "Expect: 100-continue\r\n",
        pieces: 2,
        pause: ms(50),
        ..request
    });
    ways
}

/// Sends a refused request in all ways and checks that each caller gets the answer.
async fn check(cluster: &Cluster, status: u16, path: &str, key: &str, body_bytes: usize) {
    let mut calls = tokio::task::JoinSet::new();
    for repetition in 0..REPETITIONS {
        let address = cluster.callers(CONTROL_HOSTS + repetition % 2);
        for way in 0..ways(path, key, body_bytes).len() {
            let (path, key) = (path.to_owned(), key.to_owned());
            calls.spawn(async move {
                let request = &ways(&path, &key, body_bytes)[way];
                let end = call(address, request).await;
                (format!("{request:?}"), end)
            });
        }
    }
    let ends = calls.join_all().await;
    let lost = ends.iter().filter(|(_, end)| end.status() != status);
    let lost: Vec<_> = lost.collect();
    assert!(
        lost.is_empty(),
        "{} of {}: {lost:#?}",
        lost.len(),
        ends.len()
    );
}

async fn start(subnet: u16) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(1)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    for host in [3, 4] {
        cluster.wait_until_ready(host, &endpoint).await;
    }
    (cluster, endpoint)
}

#[tokio::test]
async fn a_404_is_not_lost_when_the_body_arrives_after_it() {
    let (cluster, _endpoint) = start(3).await;
    for body_bytes in [100, 60_000, 2_000_000] {
        check(&cluster, 404, "/none/x", "key-1", body_bytes).await;
    }
}

#[tokio::test]
async fn a_401_is_not_lost_when_the_body_arrives_after_it() {
    let (cluster, _endpoint) = start(4).await;
    for body_bytes in [100, 60_000, 2_000_000] {
        check(&cluster, 401, "/safe/x", "key-2", body_bytes).await;
    }
}

#[tokio::test]
async fn a_413_is_not_lost_when_the_body_arrives_after_it() {
    let (cluster, _endpoint) = start(5).await;
    check(&cluster, 413, "/safe/x", "key-1", 400_000).await;
}

#[tokio::test]
async fn a_503_of_a_host_without_a_setup_is_not_lost_when_the_body_arrives_after_it() {
    let mut cluster = Cluster::start(6);
    for host in 0..CONTROL_HOSTS {
        cluster.kill(host);
    }
    for host in [3, 4] {
        cluster.wait_until_started(host).await;
    }
    check(&cluster, 503, "/safe/x", "key-1", 60_000).await;
}

#[tokio::test]
async fn a_431_is_not_lost_when_the_head_goes_on_after_it() {
    let (cluster, _endpoint) = start(7).await;
    let line = format!("X-Long: {}\r\n", "x".repeat(1_000));
    let lines = line.repeat(200);
    for _ in 0..REPETITIONS {
        let request = Request {
            headers: &lines,
            ..Request::new("/safe/x", "at-long")
        };
        let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
        for part in request.head().as_bytes().chunks(8_000) {
            caller.write(part).await.expect("the host reads on");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(caller.receive().await.status(), 431);
    }
}

#[tokio::test]
async fn a_caller_that_waits_for_the_word_to_continue_gets_the_refusal_instead() {
    let (cluster, _endpoint) = start(8).await;
    let request = Request {
        headers: "Expect: 100-continue\r\n",
        body_bytes: 60_000,
        ..Request::new("/none/x", "at-expect")
    };
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    let head = request.head();
    caller.write(head.as_bytes()).await.expect("the host reads");
    let end = caller.receive().await;
    let End::Answered(Answer { status, head, .. }) = end else {
        panic!("{end:?}");
    };
    assert_eq!(status, 404);
    assert!(head.contains("connection: close"), "{head}");
    assert!(
        caller.is_closed().await,
        "the connection is closed in order"
    );
}

#[tokio::test]
async fn a_request_behind_a_refused_one_on_the_same_connection_is_served() {
    let (cluster, endpoint) = start(9).await;
    for framing in [Framing::Length, Framing::Chunked] {
        let before = endpoint.runs();
        let refused = Request {
            framing,
            body_bytes: 60_000,
            pieces: 2,
            pause: Duration::from_millis(30),
            ..Request::new("/none/x", "at-refused")
        };
        let next = Request::new("/safe/x", "at-next");
        let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
        caller.send(&refused).await.expect("the host reads on");
        caller.send(&next).await.expect("the host reads on");
        assert_eq!(caller.receive().await.status(), 404);
        assert_eq!(caller.receive().await.status(), 200);
        assert_eq!(endpoint.runs(), before + 1);
    }
}

#[tokio::test]
async fn the_end_of_a_refused_request_is_not_taken_for_that_of_the_next() {
    let (cluster, endpoint) = start(34).await;
    let refused = Request {
        body_bytes: 2_000,
        ..Request::new("/none/x", "at-refused")
    };
    let next = Request {
        body_bytes: 2_000,
        ..Request::new("/safe/x", "at-next")
    };
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    let begun = [refused.head().as_bytes(), &[b'x'; 1_000]].concat();
    caller.write(&begun).await.expect("the host reads");
    assert_eq!(caller.receive().await.status(), 404);
    let rest = [&[b'x'; 1_000], next.head().as_bytes()].concat();
    caller.write(&rest).await.expect("the host reads on");
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.write(&[b'x'; 2_000]).await.expect("the host reads");
    assert_eq!(caller.receive().await.status(), 200);
    // Longer than the limit of a head.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let third = caller.call(&Request::new("/safe/x", "at-third")).await;
    assert_eq!(third.status(), 200, "{third:?}");
    assert_eq!(endpoint.runs(), 2);
}

#[tokio::test]
async fn a_host_does_not_read_a_refused_request_without_end() {
    let (cluster, _endpoint) = start(10).await;
    let request = Request {
        framing: Framing::Chunked,
        body_bytes: 64 << 10,
        pieces: 1,
        ..Request::new("/none/x", "at-endless")
    };
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    let head = request.head();
    caller.write(head.as_bytes()).await.expect("the host reads");
    let chunk = [b"10000\r\n", vec![b'x'; 64 << 10].as_slice(), b"\r\n"].concat();
    let (started, mut sent) = (Instant::now(), 0);
    while caller.write(&chunk).await.is_ok() {
        sent += chunk.len();
        assert!(sent < MAX_READ_BYTES, "the host goes on reading");
        assert!(
            started.elapsed() < MAX_READ_TIME,
            "the host goes on reading"
        );
    }
}
