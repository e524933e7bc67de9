//! Records for hosts that control hosts can't connect to.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_gateway::message::{Request, Response};
use kumquatdrum_peer::{Channel, Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_types::{BootId, HostId};
use slog::{Discard, Logger, o};

use crate::cluster::{CONTROL_HOSTS, Cluster, config};

const LIMIT: Duration = Duration::from_secs(2);

/// Guards against control hosts that only connect back to a host which asks them for a record.
#[tokio::test]
async fn a_host_that_no_other_can_connect_to_gets_a_record_in_the_answer() {
    let cluster = Cluster::start(250);
    cluster.apply(&config(7)).await;
    // Nothing listens at this host's address.
    let address = cluster.peer_address(CONTROL_HOSTS + 100).ip();
    let client = Client::new(LocalDaemon {
        cluster: "test".to_owned(),
        secret: Secret::new("test"),
        identity: Identity {
            host: HostId::new(address.to_string()),
            boot: BootId(1),
        },
        counters: Arc::new(Counters::default()),
        logger: Logger::root(Discard, o!()),
    });
    let fetch = postcard::to_stdvec(&Request::Fetch { above: 0 }).expect("a request");
    for host in 0..CONTROL_HOSTS {
        cluster.wait_for_revision(host, 7).await;
        let control = cluster.peer_address(host);
        let id = HostId::new(control.ip().to_string());
        client.set_address(&id, control);
        let answer = client.ask(&id, Channel::Setup, fetch.clone().into(), LIMIT);
        let answer = answer.await.expect("an answer");
        let answer: Response = postcard::from_bytes(&answer).expect("a response");
        assert!(
            matches!(&answer, Response::Record(record) if record.revision == 7),
            "{answer:?}"
        );
    }
    client.shutdown().await;
}
