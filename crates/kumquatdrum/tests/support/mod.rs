//! Hosts in separate processes on loopback, with stand-in endpoints in the test's process.

#![allow(dead_code)]

mod calls;

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use kumquatdrum_testing::{Engine, Service, announcer, engine, service};
use kumquatdrum_types::digest;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

pub use calls::*;

pub const BINARY: &str = env!("CARGO_BIN_EXE_kumquatdrum");
pub const CALLER_KEY: &str = "chair-7";
pub const MODEL_SERVICE: &str = "formula-llm";
pub const PLAIN_SERVICE: &str = "salon-api";
pub const OPERATORS: [&str; 2] = ["mari", "ade"];
pub const ONE_DATA_CENTRE: [&str; 3] = ["hall-raatuse"; 3];
pub const THREE_DATA_CENTRES: [&str; 3] = ["hall-raatuse", "hall-ulikooli", "hall-ringtee"];
/// Timeout of every wait.
pub const TIMEOUT: Duration = Duration::from_secs(45);

const ENDPOINT_KEY: &str = "endpoint key";
const FIRST_PORT: u16 = 7_100;
const LISTENERS: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of lines of each host's log that a failed test prints.
const LOG_TAIL_LINES: usize = 25;

/// A host, and its process while it runs.
pub struct Node {
    pub name: String,
    pub data_centre: String,
    /// Addresses for callers, endpoints, operators, peers and the platform, in this order.
    listeners: [SocketAddr; LISTENERS],
    pub settings: PathBuf,
    pub data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Three control hosts.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub folder: TempDir,
}

/// Returns `count` addresses with different ports on a loopback IP that no other cluster uses, so
/// that no other test or outgoing connection can take a port while its host is down.
fn allocate_addresses(count: usize) -> Vec<SocketAddr> {
    static CLUSTERS: AtomicU32 = AtomicU32::new(0);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = (std::process::id() << 3 | (number & 7)).to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    // The ports need no probing: the address is unique, and outgoing connections use higher ports.
    let ports = FIRST_PORT..;
    ports.take(count).map(|port| (ip, port).into()).collect()
}

impl Node {
    pub fn callers(&self) -> SocketAddr {
        self.listeners[0]
    }

    pub fn endpoints(&self) -> SocketAddr {
        self.listeners[1]
    }

    pub fn operators(&self) -> String {
        format!("http://{}", self.listeners[2])
    }

    fn peers(&self) -> SocketAddr {
        self.listeners[3]
    }

    pub fn platform(&self) -> String {
        format!("http://{}", self.listeners[4])
    }

    /// Starts the host's process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(BINARY)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        self.child = Some(child.expect("the host starts"));
    }

    /// Sends a signal to the host's process, by its id.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("the host runs").id();
        let sent = Command::new("kill").args([name, &id.to_string()]).status();
        assert!(sent.expect("a signal").success(), "{name} to {id}");
    }

    /// Stops the host's process with SIGSTOP and waits until all of its threads are stopped.
    pub async fn freeze(&self) {
        self.signal("-STOP");
        let id = self.child.as_ref().expect("the host runs").id();
        wait_for("the host is stopped", async || {
            let mut threads = fs::read_dir(format!("/proc/{id}/task")).ok()?;
            let is_stopped = |thread: PathBuf| {
                let state = fs::read_to_string(thread.join("stat")).unwrap_or_default();
                state
                    .rsplit(')')
                    .next()
                    .is_some_and(|rest| rest.starts_with(" T"))
            };
            threads
                .all(|thread| thread.is_ok_and(|thread| is_stopped(thread.path())))
                .then_some(())
        })
        .await;
    }

    /// Resumes the host's process.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Kills the host's process, as in a crash.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the host's process exits and returns its exit code.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("the host runs");
        let status = wait_for("the host exits", async || {
            child.try_wait().expect("a state")
        })
        .await;
        self.child = None;
        status.code()
    }

    fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.name, self.log_tail());
        }
    }
}

impl Cluster {
    /// Starts three hosts in the given data centres and applies the first declaration.
    pub async fn start(data_centres: [&str; 3]) -> Self {
        let mut cluster = Self::prepare(data_centres);
        for node in &mut cluster.nodes {
            node.start();
        }
        cluster.wait_until_listening().await;
        let first = cluster.write_file("first.json", &declaration(1));
        let hosts = cluster.hosts();
        wait_for("the first apply", async || {
            let run = apply(&hosts, OPERATORS[0], 0, &first).await;
            (run.code == 0).then_some(())
        })
        .await;
        cluster.wait_until_ready().await;
        cluster
    }

    /// Writes the settings of three hosts without starting them.
    pub fn prepare(data_centres: [&str; 3]) -> Self {
        let folder = TempDir::new().expect("a folder");
        let addresses = allocate_addresses(data_centres.len() * LISTENERS);
        let mut nodes = Vec::new();
        for (number, (data_centre, listeners)) in data_centres
            .iter()
            .zip(addresses.chunks(LISTENERS))
            .enumerate()
        {
            let name = format!("host-{number}");
            nodes.push(Node {
                data_centre: (*data_centre).to_owned(),
                listeners: listeners.try_into().expect("five listeners"),
                settings: folder.path().join(format!("{name}.json")),
                data: folder.path().join(&name),
                log: folder.path().join(format!("{name}.log")),
                child: None,
                name,
            });
        }
        for node in &nodes {
            let text = settings(node, &nodes).to_string();
            fs::write(&node.settings, text).expect("a settings file");
        }
        Self { nodes, folder }
    }

    /// Returns the addresses of the operators' listeners.
    pub fn hosts(&self) -> Vec<String> {
        self.nodes.iter().map(Node::operators).collect()
    }

    /// Writes a file into the cluster's folder.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("a file");
        path
    }

    /// Waits until each host's listeners are open.
    pub async fn wait_until_listening(&self) {
        for node in &self.nodes {
            wait_for("the host listens", async || {
                probe(&format!("{}/live", node.platform())).await
            })
            .await;
        }
    }

    /// Waits until each host is ready for callers.
    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            wait_for("the host is ready", async || {
                probe(&format!("{}/health", node.platform())).await
            })
            .await;
        }
    }

    fn announcer(&self, data_centre: &str) -> announcer::Options {
        let local = self
            .nodes
            .iter()
            .filter(|node| node.data_centre == data_centre);
        announcer::Options {
            hosts: local.map(Node::endpoints).collect(),
            key: ENDPOINT_KEY.to_owned(),
            interval: Duration::from_millis(300),
        }
    }

    /// Starts an engine that takes `step` for each token, and waits until it is announced.
    pub async fn start_engine(&self, name: &str, data_centre: &str, step: Duration) -> Engine {
        let mut options = engine::Options::new(name, MODEL_SERVICE, "formula", data_centre);
        options.process.announcer = self.announcer(data_centre);
        options.sizes.step = step;
        let engine = Engine::start(options).await.expect("the engine starts");
        wait_for("the engine is announced", async || {
            (engine.announced() > 0).then_some(())
        })
        .await;
        engine
    }

    /// Starts a plain service that takes `work` for each request, and waits until it is announced.
    pub async fn start_plain_service(
        &self,
        name: &str,
        data_centre: &str,
        work: Duration,
    ) -> Service {
        let mut options = service::Options::new(name, PLAIN_SERVICE, data_centre);
        options.process.announcer = self.announcer(data_centre);
        options.work = work;
        let plain = Service::start(options).await.expect("the service starts");
        wait_for("the service is announced", async || {
            (plain.announced() > 0).then_some(())
        })
        .await;
        plain
    }

    /// Waits until each of the given hosts knows at least `count` live endpoints.
    pub async fn wait_for_endpoints(&self, nodes: &[usize], count: usize) {
        for &number in nodes {
            let hosts = [self.nodes[number].operators()];
            wait_for("the host knows the endpoints", async || {
                let status = status(&hosts).await?;
                let endpoints = status["endpoints"].as_array()?;
                let alive = endpoints.iter().filter(|one| one["condition"] == "alive");
                (alive.count() >= count).then_some(())
            })
            .await;
        }
    }
}

/// Returns the settings of one host of a cluster.
pub fn settings(node: &Node, nodes: &[Node]) -> Value {
    let [callers, endpoints, operators, peers, platform] = node.listeners;
    let others = nodes.iter().filter(|other| other.name != node.name);
    json!({
        "host": node.name,
        "data_centre": node.data_centre,
        "cluster": {"name": "test", "secret": "a secret of the test's cluster"},
        "listen": {"callers": callers, "endpoints": endpoints, "operators": operators,
                   "peers": peers, "platform": platform},
        "hosts": others.map(|other| json!({
            "host": other.name, "data_centre": other.data_centre, "address": other.peers(),
        })).collect::<Vec<_>>(),
        "replicas": nodes.iter().map(|node| &node.name).collect::<Vec<_>>(),
        "data": node.data,
        "operators": OPERATORS.map(|name| json!({
            "name": name, "sha256": digest::hex(operator_key(name).as_bytes()),
        })),
        "endpoint_key_sha256": digest::hex(ENDPOINT_KEY.as_bytes()),
        "drain": {"notice_ms": 3_000, "longest_ms": 60_000},
    })
}

pub fn operator_key(name: &str) -> String {
    format!("key of {name}")
}

/// Returns a declaration that contains `number`, so that declarations differ.
pub fn declaration(number: u32) -> String {
    let declaration = json!({
        "workspaces": [{
            "name": "tartu",
            "keys": [{"sha256": digest::hex(CALLER_KEY.as_bytes()), "note": number.to_string()}],
        }],
        "services": [
            {"name": MODEL_SERVICE, "kind": {"model": {"model": "formula"}},
             "deadline_ms": 30_000, "deadline_cap_ms": 120_000},
            {"name": PLAIN_SERVICE, "kind": {"plain": {}},
             "deadline_ms": 30_000, "deadline_cap_ms": 120_000},
        ],
        "models": [{"name": "formula", "version": "1", "memory_bytes_per_token": 1, "replicas": 1,
                    "max_prompt_tokens": 100_000}],
    });
    format!("{declaration:#}\n")
}

/// Polls until a value is returned, and panics on a timeout.
pub async fn wait_for<T>(condition: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < end, "timed out: {condition}");
        sleep(POLL_INTERVAL).await;
    }
}

/// The exit code and output of a command.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Self {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Runs the command line with the given arguments until it exits.
pub async fn run(arguments: &[&str]) -> Run {
    let child = tokio::process::Command::new(BINARY)
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(TIMEOUT, child).await;
    output
        .unwrap_or_else(|_| panic!("timed out: {arguments:?}"))
        .expect("the command starts")
        .into()
}

/// Runs an operator's subcommand against the given hosts.
pub async fn operate(hosts: &[String], operator: &str, arguments: &[&str]) -> Run {
    let key = operator_key(operator);
    let mut command_line = vec![arguments[0], "--operator-key", &key];
    for host in hosts {
        command_line.extend(["--host", host]);
    }
    command_line.extend(&arguments[1..]);
    run(&command_line).await
}

pub async fn apply(hosts: &[String], operator: &str, base: u64, file: &Path) -> Run {
    let base = base.to_string();
    let file = file.to_str().expect("a UTF-8 path");
    operate(hosts, operator, &["apply", "--base", &base, file]).await
}

/// Returns the declaration that a host shows: version, text, and whether a majority confirmed it.
pub async fn read_declaration(hosts: &[String]) -> Option<(u64, String, bool)> {
    let run = operate(hosts, OPERATORS[0], &["show", "--json"]).await;
    let value: Value = serde_json::from_str(&run.stdout).ok()?;
    let text = value["text"].as_str()?.to_owned();
    Some((
        value["version"].as_u64()?,
        text,
        value["standing"] == "confirmed",
    ))
}

pub async fn status(hosts: &[String]) -> Option<Value> {
    let run = operate(hosts, OPERATORS[0], &["status", "--json"]).await;
    serde_json::from_str(&run.stdout)
        .ok()
        .filter(|_| run.code == 0)
}
