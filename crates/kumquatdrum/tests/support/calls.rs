//! Calls of callers, and what they got.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_testing::Engine;
use kumquatdrum_types::digest;
use reqwest::RequestBuilder;
use serde_json::{Value, json};

use super::{CALLER_KEY, LIMIT, MODEL_SERVICE, PLAIN_SERVICE, until};

/// What a caller got.
#[derive(Debug)]
pub struct Got {
    pub status: u16,
    pub body: String,
}

impl Got {
    /// The error, which stands in the last event where the stream's head was sent before.
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

    /// The text of a whole answer; `None` where it isn't whole.
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

/// Whether a page answers with success.
pub async fn get(url: &str) -> Option<()> {
    let answer = reqwest::Client::new()
        .get(url)
        .timeout(Duration::from_secs(1))
        .send()
        .await;
    answer
        .is_ok_and(|answer| answer.status().is_success())
        .then_some(())
}

/// A streamed completion.
pub fn completion(host: SocketAddr, prompt: &str, tokens: u32) -> RequestBuilder {
    let body = json!({"model": MODEL_SERVICE, "prompt": prompt, "max_tokens": tokens,
                      "stream": true});
    reqwest::Client::new()
        .post(format!("http://{host}/v1/completions"))
        .bearer_auth(CALLER_KEY)
        .timeout(LIMIT)
        .body(body.to_string())
}

/// A reorder, which must not be repeated.
pub fn reorder(host: SocketAddr, key: &str) -> RequestBuilder {
    reqwest::Client::new()
        .post(format!("http://{host}/services/{PLAIN_SERVICE}/orders"))
        .bearer_auth(CALLER_KEY)
        .header("idempotency-key", key)
        .timeout(LIMIT)
        .body(json!({"test_key": key}).to_string())
}

/// The same, marked as not to be repeated and with a key.
pub fn once(request: RequestBuilder, key: &str) -> RequestBuilder {
    request
        .header("x-idempotent", "false")
        .header("idempotency-key", key)
}

/// Sends a request and reads the answer; `None` where the connection fails.
pub async fn got(request: RequestBuilder) -> Option<Got> {
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    let body = response.text().await.unwrap_or_default();
    Some(Got { status, body })
}

/// The whole answer that the stand-in gives to a prompt.
pub fn answer(prompt: &str, tokens: u32) -> String {
    let digest = digest::hex(prompt.as_bytes());
    (0..tokens)
        .map(|index| kumquatdrum_testing::prompt::token(&digest, index))
        .collect()
}

/// How often a prompt ran.
pub fn runs(engines: &[Engine], prompt: &str) -> u32 {
    let prompt = digest::hex(prompt.as_bytes());
    let counts = engines.iter().map(Engine::counts);
    counts
        .map(|counts| counts.runs_by_digest.get(&prompt).copied().unwrap_or(0))
        .sum()
}

/// Requests that the engines hold.
pub fn held(engines: &[Engine]) -> u32 {
    let counts = engines.iter().map(Engine::counts);
    counts.map(|counts| counts.running + counts.waiting).sum()
}

/// Waits until the engines hold nothing any more.
pub async fn idle(engines: &[Engine]) {
    until("the engines' memory comes back", async || {
        let used: u64 = engines
            .iter()
            .map(|engine| engine.counts().memory_used_tokens)
            .sum();
        (used == 0 && held(engines) == 0).then_some(())
    })
    .await;
}

pub async fn shutdown(engines: Vec<Engine>) {
    for engine in engines {
        engine.shutdown().await;
    }
}
