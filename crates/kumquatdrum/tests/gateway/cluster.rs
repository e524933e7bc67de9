//! Three control hosts and two that take callers, each at a loopback address of its own.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::endpoint::Endpoint;

pub const CONTROL: usize = 3;
pub const HOSTS: usize = 5;
/// Everything on loopback comes about within seconds, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(50);

/// Hosts 0 to 2 keep the setup, 3 and 4 take callers.
pub struct Cluster {
    pub client: Client,
    folder: TempDir,
    net: u8,
    hosts: Vec<Option<Child>>,
}

impl Cluster {
    /// Starts all hosts; `net` tells clusters of one test run apart.
    pub fn start(net: u8) -> Self {
        Self::of(net, HOSTS)
    }

    /// The same with so many hosts, which stand in the data centres by turns.
    pub fn of(net: u8, hosts: usize) -> Self {
        let client = Client::builder()
            .pool_max_idle_per_host(0)
            .build()
            .expect("a client");
        let folder = TempDir::new().expect("a folder");
        let mut cluster = Self {
            client,
            folder,
            net,
            hosts: (0..hosts).map(|_| None).collect(),
        };
        for host in 0..hosts {
            cluster.start_host(host, true);
        }
        cluster
    }

    /// Starts a host, with the seeds allowed to found a cluster or not.
    pub fn start_host(&mut self, host: usize, found: bool) {
        let settings = self.folder.path().join(format!("host-{host}.json"));
        std::fs::write(&settings, self.settings(host, found).to_string()).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log(host))
            .expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_kumquatdrum"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .stdout(log.try_clone().expect("the log again"))
            .stderr(log)
            .spawn()
            .expect("a host");
        self.hosts[host] = Some(child);
    }

    fn settings(&self, host: usize, found: bool) -> Value {
        let seeds: Vec<String> = (0..CONTROL)
            .map(|seed| self.address(seed, 8229).to_string())
            .collect();
        let mut listen = json!({"metrics": self.address(host, 8219).to_string()});
        let mut settings = json!({
            "name": format!("host-{host}"),
            "address": self.address(host, 0).ip().to_string(),
            "data_centre": format!("zone-{}", host % 3),
            "peer_port": 7340,
            "seeds": seeds,
            "cluster": {"name": "test", "secret": "test"},
            "announcement_ms": 300,
            "stop_ms": 8000,
        });
        if host < CONTROL {
            listen["control"] = json!(self.address(host, 8229).to_string());
            let data = self.data(host);
            settings["replica"] = json!({"data": data, "found": found});
        } else {
            listen["callers"] = json!(self.address(host, 8227).to_string());
            listen["health"] = json!(self.address(host, 8220).to_string());
        }
        settings["listen"] = listen;
        settings
    }

    fn address(&self, host: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, 77, self.net, host as u8 + 1], port))
    }

    pub fn data(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("data-{host}"))
    }

    /// The log of a host.
    pub fn log(&self, host: usize) -> PathBuf {
        self.folder.path().join(format!("host-{host}.log"))
    }

    /// What a host has logged.
    pub fn logged(&self, host: usize) -> String {
        std::fs::read_to_string(self.log(host)).unwrap_or_default()
    }

    /// Sends a host a signal.
    pub fn signal(&self, host: usize, signal: &str) {
        let child = self.hosts[host].as_ref().expect("the host runs");
        let status = Command::new("kill")
            .args([signal, &child.id().to_string()])
            .status();
        assert!(status.expect("kill").success());
    }

    /// Kills a host and waits for its end.
    pub fn kill(&mut self, host: usize) {
        if let Some(mut child) = self.hosts[host].take() {
            child.kill().expect("the host can be killed");
            child.wait().expect("its end");
        }
    }

    /// Whether a host's process has been started and not been waited for.
    pub fn runs(&self, host: usize) -> bool {
        self.hosts[host].is_some()
    }

    /// Waits for a host to end by itself; its exit code.
    pub async fn ended(&mut self, host: usize) -> Option<i32> {
        let mut child = self.hosts[host].take().expect("the host runs");
        let until = Instant::now() + PATIENCE;
        loop {
            match child.try_wait().expect("its state") {
                Some(status) => return status.code(),
                None if Instant::now() > until => {
                    child.kill().expect("the host can be killed");
                    return None;
                }
                None => sleep(LOOK).await,
            }
        }
    }

    /// A call of a control host.
    pub async fn control(&self, host: usize, path: &str, body: Option<&Value>) -> Option<Response> {
        let url = format!("http://{}{path}", self.address(host, 8229));
        let request = match body {
            Some(body) => self.client.post(url).body(body.to_string()),
            None => self.client.get(url),
        };
        request.timeout(Duration::from_secs(5)).send().await.ok()
    }

    /// Applies a config at any control host until it is acknowledged.
    pub async fn apply(&self, config: &Value) -> usize {
        let until = Instant::now() + PATIENCE;
        loop {
            for host in 0..CONTROL {
                let answer = self.control(host, "/-/Config.Replace", Some(config)).await;
                if answer.is_some_and(|answer| answer.status() == StatusCode::OK) {
                    return host;
                }
            }
            assert!(Instant::now() < until, "no acknowledgement in time");
            sleep(LOOK).await;
        }
    }

    /// Reads the config back from a host until it tells one.
    pub async fn read(&self, host: usize) -> String {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.control(host, "/-/Config.Get", None).await {
                Some(answer) if answer.status() == StatusCode::OK => {
                    return answer.text().await.expect("a config");
                }
                _ => assert!(Instant::now() < until, "no config in time"),
            }
            sleep(LOOK).await;
        }
    }

    /// Announces an endpoint at any control host until that is acknowledged.
    pub async fn announce(&self, endpoint: &Endpoint, service: &str, state: &str, sequence: u64) {
        let until = Instant::now() + PATIENCE;
        while !self.beat(0, endpoint, service, state, sequence).await {
            assert!(Instant::now() < until, "no acknowledgement in time");
            sleep(LOOK).await;
        }
    }

    /// Announces an endpoint once at one control host; whether that was acknowledged.
    pub async fn beat(
        &self,
        host: usize,
        endpoint: &Endpoint,
        service: &str,
        state: &str,
        sequence: u64,
    ) -> bool {
        let beat = json!({
            "service": service, "address": endpoint.address.to_string(), "zone": "zone-0",
            "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "seq": sequence,
            "born": 1,
        });
        let path = format!("/-/Instances.Heartbeat/{}", endpoint.id);
        let answer = self.control(host, &path, Some(&beat)).await;
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    }

    /// The answer to the balancer's question.
    pub async fn is_ready(&self, host: usize) -> bool {
        let url = format!("http://{}/-/ready", self.address(host, 8220));
        let answer = self.client.get(url).send().await;
        answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Waits until a host takes callers and has heard of an endpoint.
    pub async fn ready(&self, host: usize, endpoint: &Endpoint) {
        let until = Instant::now() + PATIENCE;
        let known = format!("endpoint={} event=endpoint_known", endpoint.id);
        while !(self.is_ready(host).await && self.logged(host).contains(&known)) {
            assert!(Instant::now() < until, "not ready: {}", self.logged(host));
            sleep(LOOK).await;
        }
    }

    /// Waits until a control host has kept the newest that it knows of an endpoint on its disk.
    pub async fn keeps(&self, host: usize, endpoint: &Endpoint) {
        let until = Instant::now() + PATIENCE;
        let known = format!("endpoint={} event=endpoint_known", endpoint.id);
        let heard = |log: &str| log.matches(&known).count();
        let path = self.data(host).join("endpoints");
        let mut before = 0;
        loop {
            let log = self.logged(host);
            let is_kept = std::fs::read(&path).is_ok_and(|bytes| {
                bytes
                    .windows(endpoint.id.len())
                    .any(|id| id == endpoint.id.as_bytes())
            });
            // A write gathers the changes of a moment, so what was heard a look ago is there.
            if is_kept && before > 0 && heard(&log) == before {
                return;
            }
            before = heard(&log);
            assert!(Instant::now() < until, "not kept: {log}");
            sleep(LOOK * 5).await;
        }
    }

    /// A counter or gauge of a host, by its name and labels as the text gives them.
    pub async fn meter(&self, host: usize, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.address(host, 8219));
        let answer = self.client.get(url).send().await.expect("metrics");
        let text = answer.text().await.expect("their text");
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        let value = value.and_then(|value| value.trim().parse().ok());
        value.unwrap_or_else(|| panic!("no number for {name} in {text}"))
    }

    /// Waits until a host goes by a revision.
    pub async fn goes_by(&self, host: usize, revision: u64) {
        let until = Instant::now() + PATIENCE;
        while self.meter(host, "kumquatdrum_gateway_revision").await != revision {
            assert!(Instant::now() < until, "not told: {}", self.logged(host));
            sleep(LOOK).await;
        }
    }

    /// Waits until a host's listeners are open.
    pub async fn started(&self, host: usize) {
        let until = Instant::now() + PATIENCE;
        while !self.logged(host).contains("event=started") {
            assert!(Instant::now() < until, "not started: {}", self.logged(host));
            sleep(LOOK).await;
        }
    }

    /// Where a host takes callers.
    pub fn callers(&self, host: usize) -> SocketAddr {
        self.address(host, 8227)
    }

    /// A caller's request.
    pub fn call(&self, host: usize, path: &str, attempt: &str) -> reqwest::RequestBuilder {
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

/// A config with a route for each kind, all to services of one endpoint kind.
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

/// Whether a folder is there.
pub fn is_folder(path: &Path) -> bool {
    path.is_dir()
}
