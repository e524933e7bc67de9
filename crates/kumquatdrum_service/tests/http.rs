//! All ways in which a plain service's answer can end.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use kumquatdrum_service::{Client, Service};
use kumquatdrum_types::exchange::{Call, Event, Fault, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one call with the given bytes, and returns how the exchange ended.
async fn call(answer: &'static str) -> Event {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener's address");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = stream.read(&mut [0; 4096]).await;
        assert!(read.is_ok_and(|bytes| bytes > 0));
        let sent = stream.write_all(answer.as_bytes()).await;
        sent.expect("a sent answer");
    });
    let call = Call {
        target: Target {
            endpoint: "plain-1".into(),
            boot: kumquatdrum_types::BootId(1),
            address,
        },
        attempt: "at-1".into(),
        owner: "host-1".into(),
        owner_attempt: 1,
        method: "POST".to_owned(),
        path: "/reorders".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
        prompt_tokens: 0,
        priority: 1,
        time_left: Duration::from_secs(5),
    };
    let events: Vec<Event> = Client::new().expect("a client").call(call).collect().await;
    server.await.expect("the answer was sent");
    let end = |event: &&Event| matches!(event, Event::Finished | Event::Fault(_));
    events.iter().find(end).cloned().expect("an end")
}

#[tokio::test]
async fn an_answer_that_may_have_been_broken_off_does_not_count_as_finished() {
    let broken = Event::Fault(Fault::Broken);
    let cases = [
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            Event::Finished,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            Event::Finished,
        ),
        ("HTTP/1.1 204 No Content\r\n\r\n", Event::Finished),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
            broken.clone(),
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            broken.clone(),
        ),
        ("HTTP/1.1 200 OK\r\n\r\nok", broken.clone()),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            broken.clone(),
        ),
        (
            "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
            broken.clone(),
        ),
        ("HTTP/1.1 101 Switching Protocols\r\n\r\n", broken.clone()),
        ("HTTP/1.0 200 OK\r\n\r\nok", broken.clone()),
    ];
    for (answer, expected) in cases {
        assert_eq!(call(answer).await, expected, "{answer:?}");
    }
}
