//! Memory that is reserved at other engines for a prompt.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// Tokens of a prompt that exceeds the memory of one engine.
const SPANNING_PROMPT: &str = "400000,100";
/// The time for which memory may stay reserved after the request that used it has ended.
const FREE_LIMIT: Duration = Duration::from_secs(4);

/// Load: a prompt that exceeds one engine, whose first engine falls silent before the head of its answer,
/// before its first event or during the answer.
#[tokio::test]
async fn memory_is_released_soon_after_the_first_engine_falls_silent() {
    for (subnet, after) in [(209, None), (79, Some(0)), (80, Some(2))] {
        let cluster = Cluster::with_hosts(subnet, CONTROL_HOSTS + 1);
        cluster.apply(&engine_config(3)).await;
        let mut engines = Vec::new();
        for number in 0..4 {
            let name = format!("i-{number}");
            let engine = Endpoint::start(&name, Behaviour::GoDark { after }).await;
            cluster.announce(&engine, "plain", "ready", 1).await;
            engines.push(engine);
        }
        for engine in &engines {
            cluster.wait_until_ready(CONTROL_HOSTS, engine).await;
        }
        let call = cluster.request(CONTROL_HOSTS, "/stream/x", "at-spanning");
        let call = call.header("Kumquatdrum-Token-Count", SPANNING_PROMPT);
        let call = tokio::spawn(async move { call.send().await?.text().await });
        let darkened = wait_until_dark(&engines).await;
        sleep(FREE_LIMIT).await;
        call.abort();
        let orders = engines.iter().flat_map(|engine| {
            let orders = engine.record.orders.lock();
            orders.clone()
        });
        let orders: Vec<(Instant, String)> = orders.collect();
        let is_reserved = |order: &&(Instant, String)| order.1.contains("reserve");
        let reserved = orders.iter().filter(is_reserved);
        let reserved = reserved.filter(|(at, _)| *at <= darkened).count();
        let released = orders.iter().filter(|(_, body)| body.contains("release"));
        let released = released.filter(|(at, _)| *at <= darkened + FREE_LIMIT);
        let log = cluster.read_log(CONTROL_HOSTS);
        assert!(reserved > 0, "{log}");
        assert!(released.count() >= reserved, "{orders:?} {log}");
    }
}

/// Returns when the first engine fell silent.
async fn wait_until_dark(engines: &[Endpoint]) -> Instant {
    let started = Instant::now();
    loop {
        let darkened = engines
            .iter()
            .find_map(|engine| *engine.record.darkened.lock());
        if let Some(darkened) = darkened {
            return darkened;
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "no engine was asked"
        );
        sleep(Duration::from_millis(20)).await;
    }
}
