//! A cluster of control hosts and caller-facing hosts, each on its own loopback address.

use std::fs::File;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::endpoint::Endpoint;
use crate::links::Links;

mod growth;

pub const CONTROL_HOSTS: usize = 3;
pub const HOSTS: usize = 5;
/// The port at which hosts connect to each other.
const PEER_PORT: u16 = 7340;
/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the second octet of the addresses of subnets below 256; the others have the next one.
/// `TEST_NETWORK` sets another one for runs at the same time.
fn network() -> u8 {
    let network = std::env::var("TEST_NETWORK").ok();
    network.map_or(77, |network| network.parse().expect("an octet"))
}

/// A running cluster: the first hosts are control hosts, the next ones take callers, and those that are added
/// later are control hosts.
pub struct Cluster {
    pub client: Client,
    /// The control hosts that hosts know when they start.
    pub seeds: Vec<usize>,
    folder: TempDir,
    subnet: u16,
    /// The hosts that take callers.
    entries: Range<usize>,
    lost_replicas: usize,
    /// Whether the hosts connect to each other through proxies.
    has_links: bool,
    hosts: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts a cluster of [`HOSTS`] hosts in a subnet that no other test uses.
    pub fn start(subnet: u16) -> Self {
        Self::with_hosts(subnet, HOSTS)
    }

    /// Starts a cluster of the given size, spread evenly over three data centres.
    pub fn with_hosts(subnet: u16, hosts: usize) -> Self {
        let mut cluster = Self::new(subnet, hosts, false);
        cluster.start_all();
        cluster
    }

    /// Starts a cluster like [`Self::start`], whose hosts connect to each other through proxies.
    pub async fn with_links(subnet: u16) -> (Self, Links) {
        let mut cluster = Self::new(subnet, HOSTS, true);
        let address = |from: usize, to: usize| cluster.address(to, cluster.peer_port(from));
        let links = Links::start(HOSTS, address).await;
        cluster.start_all();
        (cluster, links)
    }

    fn new(subnet: u16, hosts: usize, has_links: bool) -> Self {
        let client = Client::builder()
            .pool_max_idle_per_host(0)
            .build()
            .expect("a client");
        let folder = TempDir::new().expect("a folder");
        Self {
            client,
            seeds: (0..CONTROL_HOSTS).collect(),
            folder,
            subnet,
            entries: CONTROL_HOSTS..hosts,
            lost_replicas: 1,
            has_links,
            hosts: (0..hosts).map(|_| None).collect(),
        }
    }

    fn start_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.start_host(host, true);
        }
    }

    /// Starts a host. `can_form_cluster` allows a control host to form a new cluster.
    pub fn start_host(&mut self, host: usize, can_form_cluster: bool) {
        let settings = self.folder.path().join(format!("host-{host}.json"));
        std::fs::write(&settings, self.settings(host, can_form_cluster).to_string())
            .expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path(host))
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_kumquatdrum"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log)
            .spawn()
            .expect("a host");
        self.hosts[host] = Some(child);
    }

    fn settings(&self, host: usize, can_form_cluster: bool) -> Value {
        let seeds = self.seeds.iter();
        let seeds = seeds.map(|seed| self.address(*seed, 8229).to_string());
        let seeds: Vec<String> = seeds.collect();
        let mut listen = json!({"metrics": self.address(host, 8219).to_string()});
        let mut settings = json!({
            "name": format!("host-{host}"),
            "address": self.address(host, 0).ip().to_string(),
            "data_centre": format!("zone-{}", host % 3),
            "peer_port": self.peer_port(host),
            "seeds": seeds,
            "cluster": {"name": "test", "secret": "test"},
            "announcement_ms": 300,
            "lost_replicas": self.lost_replicas,
            "drain_ms": 2000,
            "stop_ms": 8000,
            "cold": {"overage": 1.5, "slack": 5.0},
        });
        if self.entries.contains(&host) {
            listen["callers"] = json!(self.address(host, 8227).to_string());
            listen["health"] = json!(self.address(host, 8220).to_string());
        } else {
            listen["control"] = json!(self.address(host, 8229).to_string());
            let data = self.data_path(host);
            settings["replica"] = json!({"data": data, "found": can_form_cluster});
        }
        settings["listen"] = listen;
        settings
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        let [network_offset, subnet] = self.subnet.to_be_bytes();
        let octets = [127, network() + network_offset, subnet, host as u8 + 1];
        SocketAddr::from((octets, port))
    }

    /// Returns the address at which other hosts connect to a host.
    pub fn peer_address(&self, host: usize) -> SocketAddr {
        self.address(host, self.peer_port(host))
    }

    /// Returns the port at which a host listens for others, and at which it connects to them: one of its
    /// own with proxies.
    fn peer_port(&self, host: usize) -> u16 {
        PEER_PORT + if self.has_links { host as u16 } else { 0 }
    }

    pub fn data_path(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    /// Returns the path of a host's log.
    pub fn log_path(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("host-{host}.log"))
    }

    /// Reads a host's log.
    pub fn read_log(&self, host: usize) -> String {
        std::fs::read_to_string(self.log_path(host)).unwrap_or_default()
    }

    /// Returns the logs of all hosts, one after the other.
    pub fn read_logs(&self) -> String {
        (0..HOSTS).map(|host| self.read_log(host)).collect()
    }

    /// Returns the id of a host's process.
    pub fn process(&self, host: usize) -> u32 {
        self.hosts[host].as_ref().expect("the host runs").id()
    }

    /// Sends a signal to a host's process.
    pub fn signal(&self, host: usize, signal: &str) {
        let child = self.hosts[host].as_ref().expect("the host runs");
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(status.expect("kill").success());
    }

    /// Kills a host's process and waits for it to exit.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].take() {
            child.kill().expect("the host can be killed");
            child.wait().expect("the host exits");
        }
    }

    /// Returns the number of hosts.
    pub fn hosts(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether a host's process was started and has neither been killed nor awaited since.
    pub fn is_running(&self, host: usize) -> bool {
        self.hosts[host].is_some()
    }

    /// Returns the exit status of a host's process if it has exited, and forgets the process.
    pub fn take_exit(&mut self, host: usize) -> Option<ExitStatus> {
        let child = self.hosts[host].as_mut().expect("the host runs");
        let status = child.try_wait().expect("the process state")?;
        self.hosts[host] = None;
        Some(status)
    }

    /// Waits until a host's process exits and returns its exit code.
    pub async fn wait_for_exit(&mut self, host: usize) -> Option<i32> {
        let mut child = self.hosts[host].take().expect("the host runs");
        let until = Instant::now() + TIMEOUT;
        loop {
            match child.try_wait().expect("the process state") {
                Some(status) => return status.code(),
                None if Instant::now() > until => {
                    child.kill().expect("the host can be killed");
                    return None;
                }
                None => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Sends a request to a control host; returns `None` if there is no answer.
    pub async fn call_control(
        &self,
        host: usize,
        path: &str,
        body: Option<&Value>,
    ) -> Option<Response> {
        let url = format!("http://{}{path}", self.address(host, 8229));
        let request = match body {
            Some(body) => self.client.post(url).body(body.to_string()),
            None => self.client.get(url),
        };
        request.timeout(Duration::from_secs(5)).send().await.ok()
    }

    /// Returns a request without a body to a control host.
    pub fn control_request(
        &self,
        host: usize,
        method: reqwest::Method,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.address(host, 8229));
        self.client.request(method, url)
    }

    /// Applies a config, retrying on all control hosts, and returns the one that acknowledged it.
    pub async fn apply(&self, config: &Value) -> usize {
        let until = Instant::now() + TIMEOUT;
        loop {
            for host in 0..CONTROL_HOSTS {
                let answer = self
                    .call_control(host, "/-/Config.Replace", Some(config))
                    .await;
                if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
                    return host;
                }
            }
            assert!(Instant::now() < until, "no acknowledgement in time");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads the config from a control host, waiting until it has one.
    pub async fn read_config(&self, host: usize) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            match self.call_control(host, "/-/Config.Get", None).await {
                Some(answer) if answer.status() == StatusCode::OK => {
                    return answer.text().await.expect("a config");
                }
                _ => assert!(Instant::now() < until, "no config in time"),
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Announces an endpoint to control host 0 until that is acknowledged.
    pub async fn announce(&self, endpoint: &Endpoint, service: &str, state: &str, sequence: u64) {
        let until = Instant::now() + TIMEOUT;
        while !self
            .try_announce(0, endpoint, service, state, sequence)
            .await
        {
            assert!(Instant::now() < until, "no acknowledgement in time");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Announces an endpoint once and returns whether that was acknowledged.
    pub async fn try_announce(
        &self,
        host: usize,
        endpoint: &Endpoint,
        service: &str,
        state: &str,
        sequence: u64,
    ) -> bool {
        let announcement = json!({
            "service": service, "address": endpoint.address.to_string(), "zone": "zone-0",
            "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "seq": sequence,
            "born": 1,
        });
        self.send_announcement(host, endpoint, &announcement).await
    }

    /// Sends an endpoint's announcement once and returns whether that was acknowledged.
    pub async fn send_announcement(
        &self,
        host: usize,
        endpoint: &Endpoint,
        announcement: &Value,
    ) -> bool {
        let path = format!("/-/Instances.Heartbeat/{}", endpoint.id);
        let answer = self.call_control(host, &path, Some(announcement)).await;
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Returns whether a host's readiness check succeeds.
    pub async fn is_ready(&self, host: usize) -> bool {
        let url = format!("http://{}/-/ready", self.address(host, 8220));
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Waits until a host takes callers and knows an endpoint.
    pub async fn wait_until_ready(&self, host: usize, endpoint: &Endpoint) {
        let until = Instant::now() + TIMEOUT;
        while !(self.is_ready(host).await && self.knows(host, endpoint)) {
            assert!(Instant::now() < until, "not ready: {}", self.read_log(host));
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a host knows an endpoint.
    pub async fn wait_until_known(&self, host: usize, endpoint: &Endpoint) {
        let until = Instant::now() + TIMEOUT;
        while !self.knows(host, endpoint) {
            assert!(Instant::now() < until, "unknown: {}", self.read_log(host));
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether a host knows an endpoint.
    pub fn knows(&self, host: usize, endpoint: &Endpoint) -> bool {
        let known = format!("endpoint={} event=endpoint_known", endpoint.id);
        self.read_log(host).contains(&known)
    }

    /// Waits until a control host has stored all that it has logged about an endpoint.
    pub async fn wait_until_stored(&self, host: usize, endpoint: &Endpoint) {
        let until = Instant::now() + TIMEOUT;
        let known = format!("endpoint={} event=endpoint_known", endpoint.id);
        let count_updates = |log: &str| log.matches(&known).count();
        let path = self.data_path(host).join("endpoints");
        let mut previous = 0;
        loop {
            let log = self.read_log(host);
            let is_stored = std::fs::read(&path).is_ok_and(|bytes| {
                bytes
                    .windows(endpoint.id.len())
                    .any(|id| id == endpoint.id.as_bytes())
            });
            // Changes are written in batches: a change that was logged an interval ago is on disk.
            if is_stored && previous > 0 && count_updates(&log) == previous {
                return;
            }
            previous = count_updates(&log);
            assert!(Instant::now() < until, "not stored: {log}");
            sleep(POLL_INTERVAL * 5).await;
        }
    }

    /// Returns the value of a host's metric, given its name and labels as in the text format.
    pub async fn metric(&self, host: usize, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.address(host, 8219));
        let answer = self.client.get(url).send().await.expect("metrics");
        let text = answer.text().await.expect("the text of the metrics");
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        let value = value.and_then(|value| value.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no number for {name} in {text}"))
    }

    /// Waits until a revision is in force on a host.
    pub async fn wait_for_revision(&self, host: usize, revision: u64) {
        let until = Instant::now() + TIMEOUT;
        while self.metric(host, "kumquatdrum_gateway_revision").await != revision {
            assert!(
                Instant::now() < until,
                "not in force: {}",
                self.read_log(host)
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a host's listeners are open.
    pub async fn wait_until_started(&self, host: usize) {
        let until = Instant::now() + TIMEOUT;
        while !self.read_log(host).contains("event=started") {
            assert!(
                Instant::now() < until,
                "not started: {}",
                self.read_log(host)
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns a host's address for callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.address(host, 8227)
    }

    /// Returns a caller's request to a host.
    pub fn request(&self, host: usize, path: &str, attempt: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.callers(host));
        self.client
            .post(url)
            .header("Host", "a.example")
            .header("Kumquatdrum-Attempt-Id", attempt)
            .header("Kumquatdrum-Deadline-Ms", "8000")
            .header("Kumquatdrum-Key", "key-1")
            .timeout(Duration::from_secs(20))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in 0..self.hosts.len() {
            self.kill(host);
        }
    }
}

/// Returns a config with a safe, an unsafe and a stream route to one service.
pub fn config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        json!({"name": prefix, "host": "a.example", "pathPrefix": prefix, "kind": kind,
               "timeoutMs": 8000, "targetLatencyMs": 300, "priority": 1, "service": "plain",
               "maxAttempts": attempts, "public": false, "resumable": kind == "stream",
               "gapAimMs": 250})
    };
    json!({
        "version": version,
        "routes": [route("/safe/", "safe", 2), route("/unsafe/", "unsafe", 1),
                   route("/stream/", "stream", 2)],
        "services": [{"name": "plain", "healthPath": "/health", "maxConns": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100_000,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "workspace-1", "apiKeys": ["key-1"], "priority": 1}],
    })
}

/// Returns a config like [`config`], whose service is a model engine.
pub fn engine_config(version: u64) -> Value {
    let mut config = config(version);
    config["services"][0]["engine"] = json!({
        "slots": 16, "kvCapacityTokens": 315_000, "stride": 51, "step_ms": 0.85,
        "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177_000.0,
        "pairs_per_m": 0.184, "chunk": 2048, "usual": {"prompt": 5_000, "answer": 300},
        "hopMs": 0.05,
    });
    config
}

/// Returns whether a folder exists.
pub fn is_folder(path: &Path) -> bool {
    path.is_dir()
}
