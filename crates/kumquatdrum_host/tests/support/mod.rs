//! Hosts, stand-in endpoints and callers for end-to-end tests on loopback in one process.

#![allow(dead_code)]

mod log;

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_host::embedded::{self, ENDPOINT_KEY, Specification};
use kumquatdrum_host::{Host, Settings};
use kumquatdrum_testing::{Engine, Service, announcer, engine, service};
use kumquatdrum_types::{Version, digest};
use serde_json::{Value, json};
use tempfile::TempDir;

pub const CALLER_KEY: &str = "chair-7";
pub const MODEL_SERVICE: &str = "formula-llm";
pub const PLAIN_SERVICE: &str = "salon-api";

/// Hosts with a declaration in force.
pub struct System {
    pub hosts: Vec<Host>,
    pub folder: TempDir,
}

pub fn declaration() -> String {
    json!({
        "workspaces": [{
            "name": "tartu",
            "keys": [{"sha256": digest::hex(CALLER_KEY.as_bytes())}],
        }],
        "services": [
            {"name": MODEL_SERVICE, "kind": {"model": {"model": "formula"}},
             "deadline_ms": 10_000, "deadline_cap_ms": 60_000},
            {"name": PLAIN_SERVICE, "kind": {"plain": {}},
             "deadline_ms": 5_000, "deadline_cap_ms": 60_000},
        ],
        "models": [{"name": "formula", "version": "1", "memory_bytes_per_token": 1, "replicas": 1,
                    "max_prompt_tokens": 2_000_000}],
    })
    .to_string()
}

/// Returns the declaration with limits of its workspace.
pub fn declaration_with_limits(limits: Value) -> String {
    let mut declaration: Value = serde_json::from_str(&declaration()).expect("JSON");
    declaration["workspaces"][0]["limits"] = limits;
    declaration.to_string()
}

pub fn logger() -> slog::Logger {
    slog::Logger::root(log::Stdout, slog::o!())
}

/// Returns the specifications of `count` hosts with three replicas, or one if there are fewer hosts.
pub fn specs(count: usize, data_centres: &[&str]) -> Vec<Specification> {
    (0..count)
        .map(|number| {
            let data_centre = data_centres[number % data_centres.len()];
            Specification::new(
                format!("host-{number}"),
                data_centre,
                number < 3 && (count > 2 || number < 1),
            )
        })
        .collect()
}

impl System {
    pub async fn start(count: usize) -> Self {
        Self::start_in(count, &["hall-raatuse"]).await
    }

    pub async fn start_in(count: usize, data_centres: &[&str]) -> Self {
        let folder = TempDir::new().expect("a folder for data");
        let specs = specs(count, data_centres);
        let hosts = embedded::start(&specs, folder.path(), &logger()).await;
        let hosts = hosts.expect("the hosts start");
        let answer = embedded::apply(&hosts, Version(0), &declaration()).await;
        answer.expect("the declaration is accepted");
        Self { hosts, folder }
    }

    /// Starts hosts with changed settings in one data centre.
    pub async fn start_with(count: usize, change: impl Fn(&mut Settings)) -> Self {
        let folder = TempDir::new().expect("a folder for data");
        let specs = specs(count, &["hall-raatuse"]);
        let mut hosts = Vec::new();
        for spec in &specs {
            let mut settings = embedded::settings(spec, &specs, folder.path());
            change(&mut settings);
            let host = Host::start(settings, &logger()).await;
            hosts.push(host.expect("the host starts"));
        }
        embedded::connect(&hosts);
        let answer = embedded::apply(&hosts, Version(0), &declaration()).await;
        answer.expect("the declaration is accepted");
        Self { hosts, folder }
    }

    fn announcer(&self, host: usize) -> announcer::Options {
        announcer::Options {
            hosts: vec![self.hosts[host].addresses.endpoints],
            key: ENDPOINT_KEY.to_owned(),
            interval: Duration::from_millis(200),
        }
    }

    /// Starts an engine that announces itself to one host.
    pub async fn engine(&self, name: &str, host: usize) -> Engine {
        self.engine_with(name, host, |_| {}).await
    }

    pub async fn engine_with(
        &self,
        name: &str,
        host: usize,
        change: impl FnOnce(&mut engine::Options),
    ) -> Engine {
        let mut options = engine::Options::new(name, MODEL_SERVICE, "formula", "hall-raatuse");
        options.process.announcer = self.announcer(host);
        change(&mut options);
        let engine = Engine::start(options).await.expect("the engine starts");
        while engine.announced() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        engine
    }

    pub async fn service(&self, name: &str, host: usize) -> Service {
        let mut options = service::Options::new(name, PLAIN_SERVICE, "hall-raatuse");
        options.process.announcer = self.announcer(host);
        let service = Service::start(options).await.expect("the service starts");
        while service.announced() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        service
    }

    pub fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].addresses.callers
    }

    pub async fn stop(self) {
        embedded::stop(self.hosts).await;
    }
}

/// A caller's request before it is sent.
pub struct Call {
    pub request: reqwest::RequestBuilder,
}

/// The response to a caller.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON answer")
    }

    pub fn code(&self) -> String {
        let value = self.json();
        value["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    pub fn class(&self) -> String {
        let value = self.json();
        value["error"]["class"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the class, or `relayed` if the endpoint's error was passed on.
    pub fn class_or_relayed(&self) -> String {
        match serde_json::from_str::<Value>(&self.body) {
            Ok(value) if value["error"]["class"].is_string() => self.class(),
            _ => "relayed".to_owned(),
        }
    }

    pub fn text(&self) -> String {
        let value = self.json();
        value["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

pub fn completion(prompt: &str, max_tokens: u64, stream: bool) -> Value {
    json!({"model": MODEL_SERVICE, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
}

/// Returns the complete answer of a stand-in engine to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let digest = digest::hex(prompt.as_bytes());
    (0..tokens)
        .map(|index| kumquatdrum_testing::prompt::token(&digest, index))
        .collect()
}

pub fn call(address: SocketAddr, body: &Value) -> reqwest::RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{address}/v1/completions"))
        .bearer_auth(CALLER_KEY)
        .body(body.to_string())
}

pub async fn send(request: reqwest::RequestBuilder) -> Response {
    let response = request.send().await.expect("an answer");
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    Response {
        status: response.status().as_u16(),
        retry_after,
        body: response.text().await.unwrap_or_default(),
    }
}

/// Returns the text of a streamed answer; `None` if the end marker is missing.
pub fn streamed_text(body: &str) -> Option<String> {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut text = String::new();
    for event in data {
        if event == "[DONE]" {
            return Some(text);
        }
        let value: Value = serde_json::from_str(event).ok()?;
        text.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    None
}
