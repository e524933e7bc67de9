//! Heads of an engine's answers.

use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use kumquatdrum_engine::{Client, Engine};
use kumquatdrum_types::exchange::{Call, Event, Fault, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Answers one call with the given bytes, and returns the first event of the exchange.
async fn dispatch(answer: &'static str) -> Event {
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
            endpoint: "engine-1".into(),
            boot: kumquatdrum_types::BootId(1),
            address,
        },
        attempt: "at-1".into(),
        owner: "host-1".into(),
        owner_attempt: 1,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{}"),
        prompt_tokens: 1,
        priority: 1,
        time_left: Duration::from_secs(5),
    };
    let client = Client::new().expect("a client");
    let event = client.dispatch(call).next().await.expect("an event");
    server.await.expect("the answer was sent");
    event
}

#[tokio::test]
async fn an_answer_whose_status_is_none_counts_as_broken() {
    for answer in [
        "HTTP/1.1 600 OK\r\nX-Attempt-Id: at-1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 999 OK\r\nX-Attempt-Id: at-1\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: at-1\r\n\r\n",
        "HTTP/1.1 000 OK\r\nX-Attempt-Id: at-1\r\nContent-Length: 2\r\n\r\nok",
    ] {
        let event = dispatch(answer).await;
        assert_eq!(event, Event::Fault(Fault::Broken), "{answer:?}");
    }
    let answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: at-1\r\nContent-Length: 0\r\n\r\n";
    assert!(matches!(dispatch(answer).await, Event::Accepted(_)));
}
