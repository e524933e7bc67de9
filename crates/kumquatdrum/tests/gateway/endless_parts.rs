//! Endpoints that send any part of an answer without end, directly or through a relay.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{self, Caller, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endless::{MAX_LATE, MAX_RESIDENT_BYTES, peak_bytes, resident_bytes};
use crate::endpoint::{Behaviour, Endpoint, Part};
use crate::proxy::{Mode, Proxy};

/// The host that the callers use.
const HOST: usize = CONTROL_HOSTS;
const DEADLINE: Duration = Duration::from_secs(2);
/// The requests to another service beside each one without end.
const OTHERS: u32 = 20;
/// The time in which those are served on a busy machine; a stream takes a quarter of a second.
const MAX_TAKEN: Duration = Duration::from_secs(2);
/// The callers that don't read.
const STALLED: usize = 30;
/// The maximum time until requests are served again after a fault.
const MAX_RECOVERY: Duration = Duration::from_secs(10);

/// A site with a sound service, and one whose endpoints send what a request names.
struct Site {
    cluster: Cluster,
    endpoints: Vec<Endpoint>,
    _sound: Endpoint,
    _proxies: Vec<Proxy>,
}

impl Site {
    async fn start(subnet: u16, is_relayed: bool) -> Self {
        let cluster = Cluster::start(subnet);
        let mut setup = config(1);
        let mut service = setup["services"][0].clone();
        service["name"] = json!("endless");
        let services = setup["services"].as_array_mut().expect("services");
        services.push(service);
        let routes = setup["routes"].as_array_mut().expect("routes");
        for mut route in routes.clone() {
            let prefix = route["pathPrefix"].as_str().expect("a prefix");
            let prefix = format!("/endless{prefix}");
            route["name"] = json!(prefix);
            route["pathPrefix"] = json!(prefix);
            route["service"] = json!("endless");
            routes.push(route);
        }
        cluster.apply(&setup).await;
        let sound = Endpoint::start("i-sound", Behaviour::StreamOrCompleteBody).await;
        cluster.announce(&sound, "plain", "ready", 1).await;
        cluster.wait_until_ready(HOST, &sound).await;
        let (mut proxies, mut endpoints) = (Vec::new(), Vec::new());
        for number in 0..3 {
            let name = format!("i-{number}");
            let mut endpoint = Endpoint::start(&name, Behaviour::EndlessByPath).await;
            if is_relayed {
                let process = cluster.process(HOST);
                let proxy = Proxy::for_processes(endpoint.address, vec![process]).await;
                proxy.set_process_mode(process, Mode::Reset);
                endpoint.address = proxy.address;
                proxies.push(proxy);
            }
            cluster.announce(&endpoint, "endless", "ready", 1).await;
            for host in CONTROL_HOSTS..cluster.hosts() {
                cluster.wait_until_ready(host, &endpoint).await;
            }
            endpoints.push(endpoint);
        }
        Self {
            cluster,
            endpoints,
            _sound: sound,
            _proxies: proxies,
        }
    }

    /// Waits until the service of the faulty endpoints is served.
    async fn recover(&self) {
        let until = Instant::now() + MAX_RECOVERY;
        let request = Request::new("/endless/safe/whole", "at-whole");
        loop {
            let call = caller::call(self.cluster.callers(HOST), &request);
            match timeout(Duration::from_secs(1), call).await {
                Ok(end) if end.status() == 200 => return,
                _ => assert!(Instant::now() < until, "{}", self.cluster.read_log(HOST)),
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn runs(&self) -> usize {
        self.endpoints.iter().map(Endpoint::runs).sum()
    }

    fn disconnects(&self) -> usize {
        let disconnects = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.record.disconnects.load(Ordering::Relaxed));
        disconnects.sum()
    }

    /// Returns the largest memory of any host that takes callers.
    fn resident_bytes(&self) -> u64 {
        let hosts = CONTROL_HOSTS..self.cluster.hosts();
        let sizes = hosts.map(|host| resident_bytes(self.cluster.process(host)));
        sizes.max().expect("a host")
    }

    /// Checks the largest memory that any host has had.
    fn check_peak(&self) {
        let hosts = CONTROL_HOSTS..self.cluster.hosts();
        let peaks = hosts.map(|host| peak_bytes(self.cluster.process(host)));
        let peak = peaks.max().expect("a host");
        println!("peak {peak}");
        assert!(peak < MAX_RESIDENT_BYTES, "{peak} bytes at the peak");
    }

    /// Sends requests to the sound service for a time, and returns how many were not served in time, and
    /// how long the slowest took.
    async fn count_unserved(&self, span: Duration) -> (usize, Duration) {
        let mut others = JoinSet::new();
        let address = self.cluster.callers(HOST);
        for number in 0..OTHERS {
            others.spawn(async move {
                sleep(span / OTHERS * number).await;
                let path = ["/safe/x", "/stream/x"][number as usize % 2];
                let attempt = format!("at-{number}");
                let (sent_at, request) = (Instant::now(), Request::new(path, &attempt));
                let end = caller::call(address, &request).await;
                (end.status(), sent_at.elapsed())
            });
        }
        let ends = others.join_all().await;
        let is_served = |(status, took): &(u16, Duration)| *status == 200 && *took < MAX_TAKEN;
        let longest = ends.iter().map(|(_, took)| *took).max();
        let unserved = ends.iter().filter(|end| !is_served(end)).count();
        (unserved, longest.unwrap_or_default())
    }

    /// Returns the largest memory of any host in a time.
    async fn watch(&self, span: Duration) -> u64 {
        let (started, mut most) = (Instant::now(), 0);
        while started.elapsed() < span {
            most = most.max(self.resident_bytes());
            sleep(Duration::from_millis(20)).await;
        }
        most
    }

    /// Plays an answer with a part without end, and returns what is wrong.
    async fn play(&self, method: &str, kind: &str, part: &str) -> Vec<String> {
        self.recover().await;
        let (runs, disconnects) = (self.runs(), self.disconnects());
        let address = self.cluster.callers(HOST);
        let mut caller = Caller::connect(address).await.expect("a host");
        let path = format!("/endless/{kind}/{part}");
        let request = Request {
            deadline_ms: DEADLINE.as_millis() as u64,
            headers: "Connection: close\r\n",
            body_bytes: 0,
            ..Request::new(&path, part)
        };
        let head = request.head().replacen("POST", method, 1);
        caller.write(head.as_bytes()).await.expect("the host reads");
        let (started, limit) = (Instant::now(), DEADLINE + MAX_LATE);
        let ended = async { (caller.discard(limit).await, started.elapsed()) };
        let ((received, elapsed), most, (unserved, longest)) =
            tokio::join!(ended, self.watch(limit), self.count_unserved(DEADLINE));
        println!(
            "{method} {kind} {part}: {received:?} bytes in {elapsed:?}, {most} resident, \
             others in {longest:?}"
        );
        let (runs, open) = (
            self.runs() - runs,
            self.runs() - runs - (self.disconnects() - disconnects),
        );
        let checks = [
            (received.is_none(), "not ended in time".to_owned()),
            (runs == 0, "not run".to_owned()),
            (open > 0, format!("{open} connections open")),
            (unserved > 0, format!("{unserved} others not served")),
            (most > MAX_RESIDENT_BYTES, format!("{most} bytes resident")),
        ];
        let faults = checks.into_iter().filter(|(is_fault, _)| *is_fault);
        let faults = faults.map(|(_, fault)| format!("{method} {kind} {part}: {fault}"));
        faults.collect()
    }

    async fn check(&self) {
        let mut faults = Vec::new();
        for (part, _) in Part::NAMED {
            let kind = if part == "events" { "stream" } else { "safe" };
            faults.extend(self.play("POST", kind, part).await);
        }
        for part in ["interim", "chunk-space", "trailers", "header-line"] {
            faults.extend(self.play("POST", "stream", part).await);
        }
        for part in ["body", "interim"] {
            faults.extend(self.play("POST", "unsafe", part).await);
            faults.extend(self.play("HEAD", "safe", part).await);
        }
        assert!(faults.is_empty(), "{faults:#?}");
        self.check_peak();
    }

    /// Plays answers without end to callers that don't read them.
    async fn check_stalled(&self) {
        self.recover().await;
        let mut callers = Vec::new();
        for number in 0..STALLED {
            let address = self.cluster.callers(HOST);
            let caller = Caller::connect_with_buffer(address, 4_096).await;
            let mut caller = caller.expect("a host");
            let path = ["/endless/safe/body", "/endless/stream/events"][number % 2];
            let attempt = format!("at-stalled-{number}");
            let request = Request {
                deadline_ms: 4_000,
                ..Request::new(path, &attempt)
            };
            caller.send(&request).await.expect("the host reads");
            callers.push(caller);
        }
        let span = Duration::from_secs(3);
        let (most, (unserved, longest)) = tokio::join!(self.watch(span), self.count_unserved(span));
        println!("{STALLED} callers don't read: {most} resident, others in {longest:?}");
        assert!(self.runs() >= STALLED);
        assert_eq!(unserved, 0, "{}", self.cluster.read_log(HOST));
        assert!(most < MAX_RESIDENT_BYTES, "{most} bytes resident");
        self.check_peak();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_part_of_an_answer_without_end_harms_other_requests() {
    Site::start(305, false).await.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_part_of_a_relayed_answer_without_end_harms_other_requests() {
    Site::start(342, true).await.check().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_without_end_to_callers_that_do_not_read_are_not_kept() {
    Site::start(345, false).await.check_stalled().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn relayed_answers_without_end_to_callers_that_do_not_read_are_not_kept() {
    Site::start(324, true).await.check_stalled().await;
}
