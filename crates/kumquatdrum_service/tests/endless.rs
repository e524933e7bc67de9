//! Plain services that send bytes without end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use kumquatdrum_service::{Client, Service};
use kumquatdrum_types::BootId;
use kumquatdrum_types::exchange::{Call, Event, Fault, Target};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::timeout;

/// The bytes of an answer that may leave the service, with what sockets buffer.
const MAX_BYTES: usize = 32 << 20;
/// The time in which an exchange with such a service ends.
const MAX_TIME: Duration = Duration::from_secs(2);

#[tokio::test]
async fn the_body_of_an_error_without_end_is_not_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("the listener's address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let read = stream.read(&mut [0; 4096]).await;
        assert!(read.is_ok_and(|bytes| bytes > 0));
        let head = b"HTTP/1.1 500 Internal Server Error\r\n\r\n";
        let mut written = stream.write_all(head).await;
        let more = vec![b'x'; 64 << 10];
        while written.is_ok() {
            written = stream.write_all(&more).await;
            counter.fetch_add(more.len(), Ordering::Relaxed);
        }
    });
    let call = Call {
        target: Target {
            endpoint: "plain-1".into(),
            boot: BootId(1),
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
        time_left: Duration::from_secs(60),
    };
    let events = Client::new().expect("a client").call(call);
    let events = timeout(MAX_TIME, events.collect::<Vec<_>>()).await;
    let sent = sent.load(Ordering::Relaxed);
    println!("{sent} bytes, ended: {}", events.is_ok());
    assert!(sent < MAX_BYTES, "{sent} bytes taken");
    let events = events.expect("an end in time");
    let Some(Event::Fault(Fault::Rejected { status, body })) = events.last() else {
        panic!("{} events", events.len());
    };
    assert_eq!((*status, body.len()), (500, 64 << 10));
}
