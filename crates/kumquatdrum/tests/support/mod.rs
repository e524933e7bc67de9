//! Hosts as processes of their own on loopback, with stand-in endpoints in the test's process.

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
pub const ONE_PLACE: [&str; 3] = ["hall-raatuse"; 3];
pub const THREE_PLACES: [&str; 3] = ["hall-raatuse", "hall-ulikooli", "hall-ringtee"];
/// The bound of every wait; a test that reaches it has failed.
pub const LIMIT: Duration = Duration::from_secs(45);

const ENDPOINT_KEY: &str = "endpoint key";
const FIRST_PORT: u16 = 7_100;
const LISTENERS: usize = 5;
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Lines of a host's log that a failed test prints.
const LOG_TAIL: usize = 25;

/// One host, running or not.
pub struct Node {
    pub name: String,
    pub place: String,
    /// For callers, endpoints, operators, peers and the platform.
    listeners: [SocketAddr; LISTENERS],
    pub settings: PathBuf,
    pub data: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Three hosts that keep the replicated log.
pub struct Cluster {
    pub nodes: Vec<Node>,
    pub folder: TempDir,
}

/// An address for each listener. Each cluster has a loopback address to itself, so that neither
/// another test nor an outgoing connection takes a port while its host is down.
fn addresses(count: usize) -> Vec<SocketAddr> {
    static CLUSTERS: AtomicU32 = AtomicU32::new(0);
    let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let [_, high, middle, low] = (std::process::id() << 3 | (number & 7)).to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 63), middle, low);
    // Nobody else has the address, and outgoing connections take higher ports. To probe for free
    // ones would open listeners that a process started by another test may hold for a moment.
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

    /// Stops the host's process and waits until none of its threads runs any more.
    pub async fn freeze(&self) {
        self.signal("-STOP");
        let id = self.child.as_ref().expect("the host runs").id();
        until("the host stands still", async || {
            let mut threads = fs::read_dir(format!("/proc/{id}/task")).ok()?;
            let stands = |thread: PathBuf| {
                let state = fs::read_to_string(thread.join("stat")).unwrap_or_default();
                state
                    .rsplit(')')
                    .next()
                    .is_some_and(|rest| rest.starts_with(" T"))
            };
            threads
                .all(|thread| thread.is_ok_and(|thread| stands(thread.path())))
                .then_some(())
        })
        .await;
    }

    /// Lets the process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    /// Ends the host's process at once, as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the host's process ends by itself; its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let child = self.child.as_mut().expect("the host runs");
        let status = until("the host ends", async || child.try_wait().expect("a state")).await;
        self.child = None;
        status.code()
    }

    fn log_tail(&self) -> String {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL)..].join("\n")
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
    /// Three hosts in these data centres, with the first declaration in force.
    pub async fn start(places: [&str; 3]) -> Self {
        let mut cluster = Self::prepare(places);
        for node in &mut cluster.nodes {
            node.start();
        }
        cluster.up().await;
        let first = cluster.file("first.json", &declaration(1));
        let hosts = cluster.hosts();
        until("the first apply", async || {
            let run = apply(&hosts, OPERATORS[0], 0, &first).await;
            (run.code == 0).then_some(())
        })
        .await;
        cluster.ready().await;
        cluster
    }

    /// The same, written down and not started.
    pub fn prepare(places: [&str; 3]) -> Self {
        let folder = TempDir::new().expect("a folder");
        let addresses = addresses(places.len() * LISTENERS);
        let mut nodes = Vec::new();
        for (number, (place, listeners)) in
            places.iter().zip(addresses.chunks(LISTENERS)).enumerate()
        {
            let name = format!("host-{number}");
            nodes.push(Node {
                place: (*place).to_owned(),
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

    /// The operators' listeners.
    pub fn hosts(&self) -> Vec<String> {
        self.nodes.iter().map(Node::operators).collect()
    }

    /// Writes a file into the cluster's folder.
    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.path().join(name);
        fs::write(&path, text).expect("a file");
        path
    }

    /// Waits until each host listens.
    pub async fn up(&self) {
        for node in &self.nodes {
            until("the host listens", async || {
                get(&format!("{}/live", node.platform())).await
            })
            .await;
        }
    }

    /// Waits until each host is ready for callers.
    pub async fn ready(&self) {
        for node in &self.nodes {
            until("the host is ready", async || {
                get(&format!("{}/health", node.platform())).await
            })
            .await;
        }
    }

    fn announcer(&self, place: &str) -> announcer::Options {
        let near = self.nodes.iter().filter(|node| node.place == place);
        announcer::Options {
            hosts: near.map(Node::endpoints).collect(),
            key: ENDPOINT_KEY.to_owned(),
            interval: Duration::from_millis(300),
        }
    }

    /// An engine of a data centre whose answers take `step` for each token.
    pub async fn engine(&self, name: &str, place: &str, step: Duration) -> Engine {
        let mut options = engine::Options::new(name, MODEL_SERVICE, "formula", place);
        options.process.announcer = self.announcer(place);
        options.sizes.step = step;
        let engine = Engine::start(options).await.expect("the engine starts");
        until("the engine is announced", async || {
            (engine.announced() > 0).then_some(())
        })
        .await;
        engine
    }

    /// A plain service of a data centre.
    pub async fn plain(&self, name: &str, place: &str, work: Duration) -> Service {
        let mut options = service::Options::new(name, PLAIN_SERVICE, place);
        options.process.announcer = self.announcer(place);
        options.work = work;
        let plain = Service::start(options).await.expect("the service starts");
        until("the service is announced", async || {
            (plain.announced() > 0).then_some(())
        })
        .await;
        plain
    }

    /// Waits until each host knows so many endpoints that take work.
    pub async fn knows_endpoints(&self, nodes: &[usize], count: usize) {
        for &number in nodes {
            let hosts = [self.nodes[number].operators()];
            until("the host knows the endpoints", async || {
                let status = status(&hosts).await?;
                let endpoints = status["endpoints"].as_array()?;
                let alive = endpoints.iter().filter(|one| one["condition"] == "alive");
                (alive.count() >= count).then_some(())
            })
            .await;
        }
    }
}

/// The settings of one host among several.
pub fn settings(node: &Node, nodes: &[Node]) -> Value {
    let [callers, endpoints, operators, peers, platform] = node.listeners;
    let others = nodes.iter().filter(|other| other.name != node.name);
    json!({
        "host": node.name,
        "data_centre": node.place,
        "cluster": {"name": "test", "secret": "a secret of the test's cluster"},
        "listen": {"callers": callers, "endpoints": endpoints, "operators": operators,
                   "peers": peers, "platform": platform},
        "hosts": others.map(|other| json!({
            "host": other.name, "data_centre": other.place, "address": other.peers(),
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

/// A declaration; the number tells one from another.
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

/// Asks again and again until there is an answer.
pub async fn until<T>(what: &str, mut ask: impl AsyncFnMut() -> Option<T>) -> T {
    let end = Instant::now() + LIMIT;
    loop {
        if let Some(answer) = ask().await {
            return answer;
        }
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(LOOK_AGAIN).await;
    }
}

/// How a command ended.
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

/// Runs a command to its end.
pub async fn run(arguments: &[&str]) -> Run {
    let child = tokio::process::Command::new(BINARY)
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(LIMIT, child).await;
    output
        .unwrap_or_else(|_| panic!("not in time: {arguments:?}"))
        .expect("the command starts")
        .into()
}

/// Runs an operators' command against hosts.
pub async fn operate(hosts: &[String], operator: &str, arguments: &[&str]) -> Run {
    let key = operator_key(operator);
    let mut whole = vec![arguments[0], "--operator-key", &key];
    for host in hosts {
        whole.extend(["--host", host]);
    }
    whole.extend(&arguments[1..]);
    run(&whole).await
}

pub async fn apply(hosts: &[String], operator: &str, base: u64, file: &Path) -> Run {
    let base = base.to_string();
    let file = file.to_str().expect("a plain path");
    operate(hosts, operator, &["apply", "--base", &base, file]).await
}

/// What a host shows: version, text, and whether a majority confirmed it.
pub async fn shown(hosts: &[String]) -> Option<(u64, String, bool)> {
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
