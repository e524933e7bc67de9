//! Endpoints that answer what hosts ask themselves, probes and reservations, with bytes without end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, config, engine_config};
use crate::endless::{MAX_RESIDENT_BYTES, peak_bytes};
use crate::endpoint::{Behaviour, Endpoint, Part};

const HOST: usize = CONTROL_HOSTS;
const PARTS: [Part; 6] = [
    Part::StatusLine,
    Part::Headers,
    Part::Interim,
    Part::ChunkSize,
    Part::Body,
    Part::Excess,
];
/// How long each part is played.
const SPAN: Duration = Duration::from_millis(2_500);
/// The maximum time until requests are served after a fault.
const MAX_RECOVERY: Duration = Duration::from_secs(20);
/// The time in which other requests are served on a busy machine.
const MAX_TAKEN: Duration = Duration::from_secs(2);

/// Starts a cluster whose service `plain` has three endpoints; another one, `sound`, has one.
async fn start(
    subnet: u16,
    engine: bool,
    behaviour: Behaviour,
) -> (Cluster, Vec<Endpoint>, Endpoint) {
    let cluster = Cluster::start(subnet);
    let mut setup = if engine { engine_config(1) } else { config(1) };
    for route in setup["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(30_000);
        route["targetLatencyMs"] = json!(20_000);
    }
    let mut service = config(1)["services"][0].clone();
    service["name"] = json!("sound");
    let services = setup["services"].as_array_mut().expect("services");
    services.push(service);
    let mut route = setup["routes"][0].clone();
    for (key, value) in [
        ("name", "sound"),
        ("pathPrefix", "/sound/"),
        ("service", "sound"),
    ] {
        route[key] = json!(value);
    }
    setup["routes"].as_array_mut().expect("routes").push(route);
    cluster.apply(&setup).await;
    let sound = Endpoint::start("i-sound", Behaviour::CompleteBody).await;
    cluster.announce(&sound, "sound", "ready", 1).await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        endpoints.push(endpoint);
    }
    for endpoint in endpoints.iter().chain([&sound]) {
        cluster.wait_until_ready(HOST, endpoint).await;
    }
    (cluster, endpoints, sound)
}

/// Waits until a request that needs orders is served, without faults.
async fn recover(cluster: &Cluster, endpoints: &[Endpoint], request: &Request<'_>) {
    for endpoint in endpoints {
        *endpoint.record.upkeep_part.lock() = None;
    }
    let until = Instant::now() + MAX_RECOVERY;
    while caller::call(cluster.callers(HOST), request).await.status() != 200 {
        assert!(Instant::now() < until, "{}", cluster.read_log(HOST));
        sleep(Duration::from_millis(100)).await;
    }
}

/// Sends requests to the sound service and the given one in turn, and returns what is wrong.
async fn play(cluster: &Cluster, part: Part, request: &Request<'_>) -> Vec<String> {
    let (started, mut faults) = (Instant::now(), Vec::new());
    let (mut most, mut longest) = (0, Duration::ZERO);
    let address = cluster.callers(HOST);
    while started.elapsed() < SPAN {
        let sent_at = Instant::now();
        let sound = Request::new("/sound/x", "at-sound");
        let (end, _) = tokio::join!(
            caller::call(address, &sound),
            timeout(Duration::from_millis(500), caller::call(address, request))
        );
        if end.status() != 200 {
            faults.push(format!("{part:?}: {end:?}"));
        }
        longest = longest.max(sent_at.elapsed());
        most = most.max(peak_bytes(cluster.process(HOST)));
        sleep(Duration::from_millis(50)).await;
    }
    println!("{part:?}: {most} at the peak, others in {longest:?}");
    if longest > MAX_TAKEN {
        faults.push(format!("{part:?}: another request took {longest:?}"));
    }
    if most > MAX_RESIDENT_BYTES {
        faults.push(format!("{part:?}: {most} bytes at the peak"));
    }
    faults
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_to_probes_without_end_harm_no_other_request() {
    let (cluster, endpoints, _sound) = start(325, false, Behaviour::EndlessByPath).await;
    let mut faults = Vec::new();
    for part in PARTS {
        let probes = || -> usize {
            let probes = endpoints.iter().map(|endpoint| &endpoint.record.probes);
            probes.map(|probes| probes.load(Ordering::Relaxed)).sum()
        };
        let before = probes();
        for endpoint in &endpoints {
            *endpoint.record.upkeep_part.lock() = Some(part);
        }
        // Answers that break off make the host doubt its path.
        let request = Request::new("/safe/status-line", "at-broken");
        faults.extend(play(&cluster, part, &request).await);
        if probes() == before {
            faults.push(format!("{part:?}: no probe"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_to_reservations_without_end_harm_no_other_request() {
    let pause = Duration::from_millis(40);
    let behaviour = Behaviour::CompleteStream { events: 2, pause };
    let (cluster, endpoints, _sound) = start(327, true, behaviour).await;
    let mut faults = Vec::new();
    // The prompt exceeds the memory of one engine.
    let request = Request {
        headers: "Kumquatdrum-Token-Count: 400000,100\r\n",
        deadline_ms: 30_000,
        ..Request::new("/stream/x", "at-spanning")
    };
    for part in PARTS {
        let orders = || -> usize {
            let orders = endpoints.iter().map(|endpoint| &endpoint.record.orders);
            orders.map(|orders| orders.lock().len()).sum()
        };
        recover(&cluster, &endpoints, &request).await;
        let before = orders();
        for endpoint in &endpoints {
            *endpoint.record.upkeep_part.lock() = Some(part);
        }
        faults.extend(play(&cluster, part, &request).await);
        if orders() == before {
            faults.push(format!("{part:?}: no order"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
