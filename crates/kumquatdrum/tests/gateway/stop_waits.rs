//! Requests that wait while their host stops, or while the setup changes.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Caller, End, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::proxy::{Mode, Proxy};

/// The host that stops, or whose setup changes while requests wait.
const HOST: usize = CONTROL_HOSTS;
/// The host that the prompt which fills the engine is sent to.
const OTHER_HOST: usize = CONTROL_HOSTS + 1;
const PROMPTS: usize = 4;
/// A prompt that runs in a fraction of a second.
const SHORT: &str = "Kumquatdrum-Token-Count: 1000,100\r\n";
/// A prompt that runs for longer than half of the time that a host has to stop.
const LONG: &str = "Kumquatdrum-Token-Count: 150000,800\r\n";
/// By this time after the signal, all that waits at a stopping host has an answer.
const LAST_REFUSAL: Duration = Duration::from_millis(7_200);
/// The time in which a host refuses what it can't serve, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(1_500);

/// A site with one engine that serves one prompt at a time.
struct Site {
    cluster: Cluster,
    engine: Endpoint,
}

impl Site {
    async fn start(subnet: u16, answer: Duration) -> Self {
        let cluster = Cluster::start(subnet);
        cluster.apply(&setup(1)).await;
        let pause = Duration::from_millis(250);
        let events = (answer.as_millis() / pause.as_millis()) as u64;
        let engine = Endpoint::start("i-1", Behaviour::CompleteStream { events, pause }).await;
        cluster.announce(&engine, "plain", "ready", 1).await;
        for host in [HOST, OTHER_HOST] {
            cluster.wait_until_ready(host, &engine).await;
        }
        Self { cluster, engine }
    }

    /// Sends a prompt on a connection of its own.
    fn send(&self, host: usize, attempt: &str, headers: &'static str) -> JoinHandle<Ended> {
        let address = self.cluster.callers(host);
        let attempt = attempt.to_owned();
        tokio::spawn(async move {
            let mut request = Request::new("/stream/x", &attempt);
            request.deadline_ms = 20_000;
            request.headers = headers;
            let end = caller::call(address, &request).await;
            let at = Instant::now();
            Ended { end, at }
        })
    }

    /// Fills the engine, and then sends prompts that wait for it.
    async fn send_waiting(&self, headers: &'static str) -> Vec<JoinHandle<Ended>> {
        self.fill().await;
        let callers = (0..PROMPTS).map(|number| self.send(HOST, &format!("at-{number}"), headers));
        let callers = callers.collect();
        sleep(Duration::from_millis(400)).await;
        assert_eq!(self.engine.runs(), 1, "the others wait");
        callers
    }

    async fn fill(&self) {
        self.send(OTHER_HOST, "at-fill", SHORT);
        while self.engine.runs() == 0 {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(Duration::from_millis(400)).await;
    }
}

/// What became of a request, and when.
struct Ended {
    end: End,
    at: Instant,
}

impl Ended {
    fn is_refusal(&self) -> bool {
        let End::Answered(answer) = &self.end else {
            return false;
        };
        answer.status == 503 && answer.head.contains("\r\nretry-after: 0.000\r\n")
    }
}

fn setup(version: u64) -> Value {
    let mut config = engine_config(version);
    config["services"][0]["engine"]["slots"] = json!(1);
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(30_000);
        route["targetLatencyMs"] = json!(5_000);
        route["gapAimMs"] = json!(4_000);
    }
    config
}

async fn expect_refusals(callers: Vec<JoinHandle<Ended>>, until: Instant) {
    for caller in callers {
        let ended = caller.await.expect("a caller");
        assert!(ended.is_refusal(), "{:?}", ended.end);
        assert!(ended.at < until, "late by {:?}", ended.at - until);
    }
}

#[tokio::test]
async fn prompts_that_wait_for_an_engine_are_refused_before_their_host_ends() {
    let mut site = Site::start(211, Duration::from_secs(15)).await;
    let callers = site.send_waiting(SHORT).await;
    let stopped = Instant::now();
    site.cluster.signal(HOST, "-TERM");
    expect_refusals(callers, stopped + LAST_REFUSAL).await;
    assert_eq!(site.engine.runs(), 1);
    assert_eq!(site.cluster.wait_for_exit(HOST).await, Some(0));
}

#[tokio::test]
async fn prompts_that_outlast_their_host_are_refused_at_once() {
    let site = Site::start(212, Duration::from_secs(15)).await;
    let callers = site.send_waiting(LONG).await;
    let stopped = Instant::now();
    site.cluster.signal(HOST, "-TERM");
    expect_refusals(callers, stopped + AT_ONCE).await;
    let late = site.send(HOST, "at-late", LONG);
    expect_refusals(vec![late], Instant::now() + AT_ONCE).await;
    assert_eq!(site.engine.runs(), 1);
}

#[tokio::test]
async fn a_prompt_that_gets_an_engine_in_time_is_served_by_a_host_that_stops() {
    let site = Site::start(213, Duration::from_millis(2_500)).await;
    site.fill().await;
    let caller = site.send(HOST, "at-1", SHORT);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(site.engine.runs(), 1, "it waits");
    site.cluster.signal(HOST, "-TERM");
    let ended = caller.await.expect("a caller");
    assert_eq!(ended.end.status(), 200, "{:?}", ended.end);
}

#[tokio::test]
async fn a_body_that_still_arrives_when_its_host_ends_is_refused() {
    let site = Site::start(214, Duration::from_secs(1)).await;
    let address = site.cluster.callers(HOST);
    let mut caller = Caller::connect(address).await.expect("a connection");
    let mut request = Request::new("/stream/x", "at-slow");
    request.deadline_ms = 20_000;
    let sent = caller.write(request.head().as_bytes()).await;
    sent.expect("the head is sent");
    caller.write(b"xx").await.expect("a part is sent");
    sleep(Duration::from_millis(300)).await;
    let stopped = Instant::now();
    site.cluster.signal(HOST, "-TERM");
    let end = caller.receive().await;
    let ended = Ended {
        end,
        at: Instant::now(),
    };
    assert!(ended.is_refusal(), "{:?}", ended.end);
    assert!(ended.at < stopped + LAST_REFUSAL);
}

#[tokio::test]
async fn waiting_prompts_are_placed_by_a_changed_declaration_of_their_engines() {
    let site = Site::start(215, Duration::from_secs(10)).await;
    let callers = site.send_waiting(SHORT).await;
    let mut added = setup(2);
    let mut route = added["routes"][0].clone();
    route["name"] = json!("added");
    route["pathPrefix"] = json!("/added/");
    added["routes"].as_array_mut().expect("routes").push(route);
    site.cluster.apply(&added).await;
    site.cluster.wait_for_revision(HOST, 2).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(site.engine.runs(), 1, "they still wait");
    added["version"] = json!(3);
    added["services"][0]["engine"]["slots"] = json!(16);
    site.cluster.apply(&added).await;
    site.cluster.wait_for_revision(HOST, 3).await;
    sleep(AT_ONCE).await;
    assert_eq!(site.engine.runs(), 1 + PROMPTS, "all are placed");
    for caller in callers {
        let ended = caller.await.expect("a caller");
        assert_eq!(ended.end.status(), 200, "{:?}", ended.end);
    }
}

#[tokio::test]
async fn waiting_prompts_are_refused_when_their_service_is_dropped() {
    let site = Site::start(216, Duration::from_secs(15)).await;
    let callers = site.send_waiting(SHORT).await;
    let mut dropped = setup(2);
    dropped["services"][0]["name"] = json!("other");
    for route in dropped["routes"].as_array_mut().expect("routes") {
        route["service"] = json!("other");
    }
    site.cluster.apply(&dropped).await;
    site.cluster.wait_for_revision(HOST, 2).await;
    expect_refusals(callers, Instant::now() + AT_ONCE).await;
    assert_eq!(site.engine.runs(), 1);
}

#[tokio::test]
async fn a_changed_declaration_does_not_hide_what_engines_run() {
    let site = Site::start(217, Duration::from_secs(8)).await;
    site.fill().await;
    let mut changed = setup(2);
    changed["services"][0]["engine"]["step_ms"] = json!(0.9);
    site.cluster.apply(&changed).await;
    for host in [HOST, OTHER_HOST] {
        site.cluster.wait_for_revision(host, 2).await;
    }
    for host in [HOST, OTHER_HOST] {
        site.send(host, &format!("at-{host}"), SHORT);
    }
    sleep(Duration::from_millis(2_500)).await;
    assert_eq!(site.engine.runs(), 1, "the engine's only slot is taken");
}

#[tokio::test]
async fn a_stream_goes_on_when_the_host_that_relays_it_ends() {
    let mut cluster = Cluster::with_hosts(218, CONTROL_HOSTS + 3);
    let mut setup = config(1);
    setup["routes"][2]["timeoutMs"] = json!(30_000);
    cluster.apply(&setup).await;
    let pause = Duration::from_millis(250);
    let behaviour = Behaviour::CompleteStream { events: 44, pause };
    let (mut proxies, mut endpoints) = (Vec::new(), Vec::new());
    for number in 1..=3 {
        let mut endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        let proxy = Proxy::for_processes(endpoint.address, vec![cluster.process(HOST)]).await;
        endpoint.address = proxy.address;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        for host in CONTROL_HOSTS..cluster.hosts() {
            cluster.wait_until_ready(host, &endpoint).await;
        }
        proxy.set_process_mode(cluster.process(HOST), Mode::Reset);
        endpoints.push(endpoint);
        proxies.push(proxy);
    }
    let address = cluster.callers(HOST);
    // Requests break until the host knows that it does not reach the endpoints.
    while !cluster.read_log(HOST).contains("event=path_cut") {
        let request = Request::new("/unsafe/x", "at-first");
        let _ = timeout(AT_ONCE, caller::call(address, &request)).await;
    }
    let stream = tokio::spawn(async move {
        let mut request = Request::new("/stream/x", "at-relayed");
        request.deadline_ms = 20_000;
        caller::call(address, &request).await
    });
    let until = Instant::now() + Duration::from_secs(5);
    let is_relaying = |cluster: &Cluster, host: usize| {
        let log = cluster.read_log(host);
        let mut lines = log.lines();
        lines.any(|line| line.contains("event=relaying") && line.contains("request=at-relayed"))
    };
    let relay = loop {
        let mut hosts = HOST + 1..cluster.hosts();
        if let Some(host) = hosts.find(|host| is_relaying(&cluster, *host)) {
            break host;
        }
        assert!(Instant::now() < until, "{}", cluster.read_log(HOST));
        sleep(Duration::from_millis(20)).await;
    };
    sleep(Duration::from_millis(500)).await;
    cluster.signal(relay, "-TERM");
    let End::Answered(answer) = stream.await.expect("a caller") else {
        panic!("not a whole stream: {}", cluster.read_log(HOST));
    };
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.ends_with("data: piece 44\n\n"), "{text}");
    assert_eq!(text.matches("data: ").count(), 44, "{text}");
    assert_eq!(cluster.wait_for_exit(relay).await, Some(0));
}

#[tokio::test]
async fn a_request_that_is_held_on_a_new_host_is_refused_when_that_host_stops() {
    let cluster = Cluster::start(219);
    cluster.wait_until_started(HOST).await;
    let address = cluster.callers(HOST);
    let call = tokio::spawn(async move {
        let mut request = Request::new("/stream/x", "at-held");
        request.deadline_ms = 20_000;
        caller::call(address, &request).await
    });
    sleep(Duration::from_millis(500)).await;
    assert!(!call.is_finished(), "no setup is known yet");
    cluster.signal(HOST, "-TERM");
    let end = timeout(AT_ONCE, call).await.expect("an answer at once");
    assert_eq!(end.expect("a caller").status(), 503);
}
