//! Requests that one host sends for another while either of them stops.

use std::time::Duration;

use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Caller, End, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::proxy::{Mode, Proxy};

/// The host that does not reach the endpoints.
const HOST: usize = CONTROL_HOSTS;
const ENDPOINTS: usize = 3;
/// The maximum time until a host knows that it does not reach the endpoints.
const MAX_DOUBT: Duration = Duration::from_secs(10);

/// A cluster in which other hosts send the requests of [`HOST`].
struct Site {
    cluster: Cluster,
    endpoints: Vec<Endpoint>,
    _proxies: Vec<Proxy>,
}

impl Site {
    async fn start(subnet: u16) -> Self {
        let cluster = Cluster::with_hosts(subnet, CONTROL_HOSTS + 3);
        let mut setup = config(1);
        for route in setup["routes"].as_array_mut().expect("routes") {
            route["timeoutMs"] = json!(30_000);
        }
        cluster.apply(&setup).await;
        let (mut proxies, mut endpoints) = (Vec::new(), Vec::new());
        for number in 0..ENDPOINTS {
            let mut endpoint = Endpoint::start(&format!("i-{number}"), Behaviour::ByPath).await;
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
        let until = Instant::now() + MAX_DOUBT;
        while !cluster.read_log(HOST).contains("event=path_cut") {
            assert!(Instant::now() < until, "{}", cluster.read_log(HOST));
            let request = Request::new("/safe/0-0-0-0", "at-first");
            let call = caller::call(cluster.callers(HOST), &request);
            let _ = timeout(Duration::from_secs(1), call).await;
        }
        Self {
            cluster,
            endpoints,
            _proxies: proxies,
        }
    }

    /// Sends a request, whose last byte leaves after a delay.
    fn send(&self, path: &'static str, attempt: &'static str, delay: Duration) -> JoinHandle<End> {
        let address = self.cluster.callers(HOST);
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await.expect("a host");
            let request = Request {
                deadline_ms: 20_000,
                pieces: 1,
                pause: delay,
                ..Request::new(path, attempt)
            };
            caller.send(&request).await.expect("the host reads");
            caller.receive().await
        })
    }

    fn runs(&self, attempt: &str) -> usize {
        let runs = self.endpoints.iter().map(|endpoint| {
            let attempts = endpoint.record.attempts.lock();
            attempts.get(attempt).copied().unwrap_or(0)
        });
        runs.sum()
    }

    /// Waits until a host sends a request of another one, and returns it.
    async fn wait_for_relay(&self, attempt: &str) -> usize {
        let until = Instant::now() + MAX_DOUBT;
        let is_relaying = |host: &usize| {
            let log = self.cluster.read_log(*host);
            let request = format!("request={attempt} ");
            let mut lines = log.lines().map(|line| format!("{line} "));
            lines.any(|line| line.contains("event=relaying") && line.contains(&request))
        };
        loop {
            let mut others = HOST + 1..self.cluster.hosts();
            if let Some(host) = others.find(is_relaying) {
                return host;
            }
            assert!(Instant::now() < until, "{}", self.cluster.read_log(HOST));
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_request_that_may_not_be_repeated_has_a_final_answer_when_its_relay_ends() {
    let mut site = Site::start(339).await;
    let call = site.send("/unsafe/15000-0-0-0", "at-1", Duration::ZERO);
    let relay = site.wait_for_relay("at-1").await;
    sleep(Duration::from_millis(500)).await;
    site.cluster.signal(relay, "-TERM");
    let end = call.await.expect("a caller");
    assert_eq!(end.status(), 502, "{end:?}");
    assert_eq!(site.runs("at-1"), 1);
    assert_eq!(site.cluster.wait_for_exit(relay).await, Some(0));
}

#[tokio::test]
async fn relayed_requests_of_a_stopping_host_are_not_cut() {
    let mut site = Site::start(340).await;
    let cases = [
        // The usual durations, which are known before the stop.
        ("/unsafe/3000-0-0-0", "at-whole-usual", None, 200),
        ("/stream/0-10-300-0", "at-stream-usual", None, 200),
        ("/unsafe/3000-0-0-0", "at-whole-early", Some(500), 200),
        ("/stream/0-10-300-0", "at-stream-early", Some(500), 200),
        ("/unsafe/3000-0-0-0", "at-whole-late", Some(5_000), 503),
        ("/stream/0-10-300-0", "at-stream-late", Some(5_000), 503),
        ("/unsafe/20000-0-0-0", "at-whole-longer", Some(500), 502),
    ];
    let lead = Duration::from_millis(300);
    let mut calls = Vec::new();
    for (path, attempt, sent_ms, status) in cases {
        let Some(sent_ms) = sent_ms else {
            let end = site.send(path, attempt, Duration::ZERO).await;
            assert_eq!(end.expect("a caller").status(), status, "{attempt}");
            continue;
        };
        let delay = lead + Duration::from_millis(sent_ms);
        calls.push((site.send(path, attempt, delay), attempt, status));
    }
    sleep(lead).await;
    site.cluster.signal(HOST, "-TERM");
    for (call, attempt, status) in calls {
        let end = call.await.expect("a caller");
        assert_eq!(end.status(), status, "{attempt} {end:?}");
        assert_eq!(site.runs(attempt), usize::from(status != 503), "{attempt}");
    }
    assert_eq!(site.cluster.wait_for_exit(HOST).await, Some(0));
    let log = site.cluster.read_log(HOST);
    let is_relayed = |line: &str| line.contains("event=relayed") && line.contains("at-whole-early");
    assert!(log.lines().any(is_relayed), "{log}");
}
