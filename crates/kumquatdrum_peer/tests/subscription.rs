//! Messages to a host that can't be connected to, and that has subscribed to them.

mod support;

use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt};
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_types::HostId;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

use support::{TEST_TIMEOUT, local, next, serve_on};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

async fn wait_for(client: &Client, host: &HostId, is_reachable: bool) {
    let reached = async {
        while client.check_reachable(host) != is_reachable {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TEST_TIMEOUT, reached).await.expect("reachability");
}

/// Guards against messages that are lost although their receiver has a connection to the sender.
#[tokio::test]
async fn a_subscriber_gets_messages_while_it_cannot_be_connected_to_and_not_afterwards() {
    let host = HostId::new("replica-2");
    let unused = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = unused.local_addr().expect("an address");
    drop(unused);
    let client = Client::new(local("replica-1", "salons", "secret"));
    client.set_address(&host, address);
    assert!(client.check_reachable(&host), "no attempt has failed yet");
    client.send(&host, Channel::Consensus, "lost".into());
    wait_for(&client, &host, false).await;

    let mut messages = client.subscribe(&host, Channel::Consensus);
    for body in ["vote", "entry"] {
        client.send(&host, Channel::Consensus, body.into());
    }
    for body in ["vote", "entry"] {
        let next = timeout(TEST_TIMEOUT, messages.next()).await;
        assert_eq!(next.expect("a message"), Some(Bytes::from(body)));
    }

    let listener = TcpListener::bind(address).await.expect("the same port");
    let mut server = serve_on(listener, local("replica-2", "salons", "secret"));
    wait_for(&client, &host, true).await;
    client.send(&host, Channel::Consensus, "direct".into());
    let (_, _, body) = next(&mut server).await;
    assert_eq!(body, Bytes::from("direct"));
    assert!(messages.next().now_or_never().is_none());
    client.shutdown().await;
    assert_eq!(messages.next().await, None, "ends with the client");
    server.task.abort();
}
