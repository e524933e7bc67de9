//! Requests of callers, and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_testing::Engine;
use kumquatdrum_types::digest;
use reqwest::RequestBuilder;
use serde_json::{Value, json};

use super::{CALLER_KEY, MODEL_SERVICE, PLAIN_SERVICE, TIMEOUT, wait_for};

/// The answer to a caller's request.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl Answer {
    /// Returns the error, which is in the last event if the stream had already begun.
    pub fn error(&self) -> Value {
        let mut events = self.body.lines().rev();
        let last = events
            .find_map(|line| line.strip_prefix("data: "))
            .unwrap_or(&self.body);
        let value: Value = serde_json::from_str(last).unwrap_or_default();
        value["error"].clone()
    }

    pub fn code(&self) -> String {
        self.error()["code"].as_str().unwrap_or_default().to_owned()
    }

    pub fn class(&self) -> String {
        let error = self.error();
        error["class"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of a complete answer, or `None` if it is incomplete.
    pub fn text(&self) -> Option<String> {
        let data = self
            .body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
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
}

/// Requests a URL and returns `None` unless the answer has a success status.
pub async fn probe(url: &str) -> Option<()> {
    let answer = reqwest::Client::new()
        .get(url)
        .timeout(Duration::from_secs(1))
        .send()
        .await;
    answer
        .is_ok_and(|answer| answer.status().is_success())
        .then_some(())
}

/// Returns a request for a streamed completion.
pub fn completion(host: SocketAddr, prompt: &str, tokens: u32) -> RequestBuilder {
    let body = json!({"model": MODEL_SERVICE, "prompt": prompt, "max_tokens": tokens,
                      "stream": true});
    reqwest::Client::new()
        .post(format!("http://{host}/v1/completions"))
        .bearer_auth(CALLER_KEY)
        .timeout(TIMEOUT)
        .body(body.to_string())
}

/// Returns a non-idempotent request with a key to the plain service.
pub fn reorder(host: SocketAddr, key: &str) -> RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{host}/services/{PLAIN_SERVICE}/orders"))
        .bearer_auth(CALLER_KEY)
        .header("idempotency-key", key)
        .timeout(TIMEOUT)
        .body(json!({"test_key": key}).to_string())
}

/// Marks a request as not idempotent and gives it a key.
pub fn not_idempotent(request: RequestBuilder, key: &str) -> RequestBuilder {
    request
        .header("x-idempotent", "false")
        .header("idempotency-key", key)
}

/// Sends a request and reads the answer; returns `None` if the connection fails.
pub async fn send(request: RequestBuilder) -> Option<Answer> {
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    Some(Answer { status, body })
}

/// Returns the complete answer that a stand-in engine gives to a prompt.
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    let digest = digest::hex(prompt.as_bytes());
    (0..tokens)
        .map(|index| kumquatdrum_testing::prompt::token(&digest, index))
        .collect()
}

/// Returns how often a prompt ran on all engines together.
pub fn count_runs(engines: &[Engine], prompt: &str) -> u32 {
    let prompt = digest::hex(prompt.as_bytes());
    let counts = engines.iter().map(Engine::counts);
    counts
        .map(|counts| counts.runs_by_digest.get(&prompt).copied().unwrap_or(0))
        .sum()
}

/// Returns the number of requests that run or wait on the engines.
pub fn count_held(engines: &[Engine]) -> u32 {
    let counts = engines.iter().map(Engine::counts);
    counts.map(|counts| counts.running + counts.waiting).sum()
}

/// Waits until the engines have no requests and no memory in use.
pub async fn wait_until_idle(engines: &[Engine]) {
    wait_for("the engines are idle", async || {
        let used: u64 = engines
            .iter()
            .map(|engine| engine.counts().memory_used_tokens)
            .sum();
        (used == 0 && count_held(engines) == 0).then_some(())
    })
    .await;
}

pub async fn shutdown(engines: Vec<Engine>) {
    for engine in engines {
        engine.shutdown().await;
    }
}
