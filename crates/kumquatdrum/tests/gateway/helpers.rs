//! Engines that fail while they share the prefill of another engine's prompt.

use reqwest::StatusCode;

use crate::cluster::{CONTROL_HOSTS, Cluster, engine_config};
use crate::endpoint::{Endpoint, SIX_EVENTS};

const LIVE_ENGINES: usize = 6;
/// Tokens of a prompt whose prefill all engines share.
const LONG_PROMPT: &str = "60000,100";
/// The maximum number of engines that may get a request, by the config.
const MAX_ATTEMPTS: usize = 2;

/// Starts engines, of which the first have crashed without a word.
async fn start(subnet: u16, hosts: usize, dead: usize) -> (Cluster, Vec<Endpoint>) {
    let cluster = Cluster::with_hosts(subnet, hosts);
    cluster.apply(&engine_config(3)).await;
    let mut engines = Vec::new();
    for number in 0..LIVE_ENGINES + dead {
        let engine = Endpoint::start(&format!("i-{number}"), SIX_EVENTS).await;
        cluster.announce(&engine, "plain", "ready", 1).await;
        engines.push(engine);
    }
    for host in CONTROL_HOSTS..hosts {
        for engine in &engines {
            cluster.wait_until_ready(host, engine).await;
        }
    }
    let live = engines.split_off(dead);
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    for engine in &engines {
        engine.stop();
    }
    let engines = live;
    for engine in &engines {
        engine.record.unreachable.lock().clone_from(&addresses);
    }
    (cluster, engines)
}

#[tokio::test]
async fn a_prompt_survives_the_failure_of_several_helpers() {
    let (cluster, engines) = start(76, CONTROL_HOSTS + 1, 3).await;
    let call = cluster.request(CONTROL_HOSTS, "/stream/x", "at-long");
    let answer = call
        .header("Kumquatdrum-Token-Count", LONG_PROMPT)
        .send()
        .await
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let body = answer.text().await.expect("a stream");
    assert!(body.contains("piece 6"), "{body}");
    let log = cluster.read_log(CONTROL_HOSTS);
    assert!(log.contains("event=helper_failed"), "{log}");
    let asked = engines
        .iter()
        .filter(|engine| engine.runs() + engine.refusals() > 0);
    assert!(asked.count() <= MAX_ATTEMPTS, "{log}");
}

#[tokio::test]
async fn hosts_learn_of_a_dead_engine_from_each_other() {
    let hosts = CONTROL_HOSTS + 3;
    let (cluster, engines) = start(77, hosts, 1).await;
    let send = async |host: usize, attempt: String| {
        let call = cluster.request(host, "/stream/x", &attempt);
        let call = call.header("Kumquatdrum-Token-Count", LONG_PROMPT);
        let answer = call.send().await.expect("an answer");
        let status = answer.status();
        answer.text().await.expect("a body");
        status
    };
    let first = send(CONTROL_HOSTS, "at-first".to_owned()).await;
    let log = cluster.read_log(CONTROL_HOSTS);
    assert_eq!(first, StatusCode::OK, "{log}");
    let refusals = || engines.iter().map(Endpoint::refusals).sum::<usize>();
    let before = refusals();
    for host in CONTROL_HOSTS + 1..hosts {
        let status = send(host, format!("at-{host}")).await;
        assert_eq!(status, StatusCode::OK, "{}", cluster.read_log(host));
    }
    assert_eq!(refusals(), before, "other hosts chose a dead helper");
    let log = cluster.read_log(CONTROL_HOSTS + 1);
    assert!(log.contains("event=endpoint_suspected"), "{log}");
}

#[tokio::test]
async fn a_resumed_stream_survives_the_failure_of_a_helper() {
    let (cluster, engines) = start(81, CONTROL_HOSTS + 1, 0).await;
    let call = cluster.request(CONTROL_HOSTS, "/stream/x", "at-resumed");
    let call = call.header("Kumquatdrum-Token-Count", LONG_PROMPT);
    let mut answer = call.send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let start = answer.chunk().await.expect("a stream").expect("an event");
    // One helper crashes without a word, then the engine that answers.
    let is_first = |engine: &&Endpoint| engine.runs() > 0;
    let (first, helpers): (Vec<_>, Vec<_>) = engines.iter().partition(is_first);
    helpers[0].stop();
    for engine in &helpers[1..] {
        engine.record.unreachable.lock().push(helpers[0].address);
    }
    first[0].stop();
    let rest = answer.text().await.expect("the rest of the stream");
    let log = cluster.read_log(CONTROL_HOSTS);
    assert!(start.starts_with(b"id: 1"), "{start:?}");
    assert!(rest.contains("piece 6"), "{rest}: {log}");
    assert!(log.contains("event=helper_failed"), "{log}");
    let runs = engines.iter().map(Endpoint::runs).sum::<usize>();
    assert_eq!(runs, MAX_ATTEMPTS, "{log}");
}
