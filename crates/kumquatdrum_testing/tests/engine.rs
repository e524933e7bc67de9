//! The stand-in engine over HTTP: the protocol and each injected fault.

use std::time::Duration;

use kumquatdrum_testing::engine::{Engine, Options};
use kumquatdrum_testing::{Fault, prompt};
use kumquatdrum_types::digest;
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Timeout of requests that must be answered, with a margin for a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without bytes after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

struct Fixture {
    engine: Engine,
    client: Client,
}

impl Fixture {
    async fn start() -> Self {
        Self::with(|_| {}).await
    }

    async fn with(change: impl FnOnce(&mut Options)) -> Self {
        let mut options = Options::new("e1", "formula-llm", "formula", "hall-raatuse");
        change(&mut options);
        Self {
            engine: Engine::start(options).await.unwrap(),
            client: Client::builder().timeout(REQUEST_TIMEOUT).build().unwrap(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.engine.address())
    }

    async fn post(&self, id: &str, prompt: &str, max_tokens: u32) -> Response {
        self.client
            .post(self.url("/v1/completions"))
            .header("x-attempt-id", id)
            .header("x-owner", "tartu-1")
            .json(&json!({"prompt": prompt, "max_tokens": max_tokens}))
            .send()
            .await
            .unwrap()
    }

    async fn get(&self, path: &str) -> Value {
        let answer = self.client.get(self.url(path)).send().await.unwrap();
        answer.json().await.unwrap()
    }

    async fn cancel(&self, id: &str) -> Value {
        self.cancel_within(REQUEST_TIMEOUT, id).await.unwrap()
    }

    async fn cancel_within(&self, timeout: Duration, id: &str) -> reqwest::Result<Value> {
        let url = self.url(&format!("/v1/attempts/{id}"));
        let request = self.client.delete(url).timeout(timeout);
        request.send().await?.json().await
    }

    async fn state(&self, id: &str) -> String {
        let shown = self.get(&format!("/v1/attempts/{id}")).await;
        shown["state"].as_str().unwrap().to_owned()
    }

    /// Waits until the attempt has generated a token.
    async fn wait_for_tokens(&self, id: &str) {
        while self.get(&format!("/v1/attempts/{id}")).await["tokens"] == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

fn expected_text(prompt: &str, tokens: u32) -> String {
    let digest = digest::hex(prompt.as_bytes());
    (0..tokens)
        .map(|index| prompt::token(&digest, index))
        .collect()
}

/// Returns the text of a stream and whether it has the end marker.
fn parse_stream(stream: &str) -> (String, bool) {
    let mut data = stream
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<Value> = data
        .clone()
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect();
    let text = events
        .iter()
        .filter_map(|event| event["choices"][0]["text"].as_str())
        .collect();
    (text, data.next_back() == Some("[DONE]"))
}

#[tokio::test]
async fn an_answer_is_streamed_completely_and_can_be_resumed() {
    let fixture = Fixture::start().await;
    let answer = fixture.post("a", "shade card", 4).await;
    assert_eq!(answer.headers()["x-attempt-id"], "a");
    let whole = answer.text().await.unwrap();
    assert_eq!(parse_stream(&whole), (expected_text("shade card", 4), true));
    let resumed = fixture.url("/v1/attempts/a/stream?from=2");
    let rest = fixture.client.get(resumed).send().await.unwrap();
    let rest = rest.text().await.unwrap();
    assert!(rest.starts_with("id: 2\n"));
    assert!(whole.ends_with(&rest));
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_known_attempt_is_refused_and_counted_once() {
    let fixture = Fixture::start().await;
    fixture.post("a", "reorder", 1).await.text().await.unwrap();
    let again = fixture.post("a", "reorder", 1).await;
    assert_eq!(again.status(), StatusCode::CONFLICT);
    let body: Value = again.json().await.unwrap();
    assert_eq!(body["error"]["state"], "finished");
    assert_eq!(body["error"]["started"], true);
    let counts = fixture.engine.counts();
    assert_eq!(counts.runs_by_attempt["a"], 1);
    assert_eq!(counts.received, 2);
    assert_eq!(counts.duplicate_digests().count(), 0);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_cancel_ends_the_attempt_and_frees_its_memory() {
    let fixture = Fixture::start().await;
    let answer = fixture.post("a", "history", 100_000).await;
    fixture.wait_for_tokens("a").await;
    let owned = fixture.get("/v1/attempts?owner=tartu-1").await;
    assert_eq!(owned["attempts"][0]["id"], "a");
    assert_eq!(fixture.cancel("a").await["state"], "cancelled");
    assert_eq!(fixture.cancel("a").await["state"], "cancelled");
    assert!(!parse_stream(&answer.text().await.unwrap()).1);
    assert_eq!(fixture.engine.counts().memory_used_tokens, 0);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_cancel_of_an_unknown_attempt_refuses_it_later() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.state("a").await, "never_seen");
    fixture.cancel("a").await;
    let late = fixture.post("a", "late", 1).await;
    assert_eq!(late.status(), StatusCode::CONFLICT);
    let body: Value = late.json().await.unwrap();
    assert_eq!(body["error"]["started"], false);
    assert_eq!(fixture.engine.counts().accepted, 0);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn malformed_requests_are_refused_without_a_run() {
    let fixture = Fixture::start().await;
    let bodies = ["", "{", "[]", "{}", "{\"prompt\": 3}"];
    for body in bodies {
        let url = fixture.url("/v1/completions");
        let request = fixture.client.post(url).header("x-attempt-id", "a");
        let answer = request.body(body).send().await.unwrap();
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST, "{body}");
    }
    assert_eq!(fixture.engine.counts().accepted, 0);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn injected_refusals_and_failures_are_answered() {
    let fixture = Fixture::start().await;
    fixture.engine.inject(&Fault::Refuse { count: 1 });
    let refused = fixture.post("a", "p", 1).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fixture.state("a").await, "never_seen");
    fixture.engine.inject(&Fault::Fail);
    let failed = fixture.post("b", "p", 1).await;
    assert_eq!(failed.status(), StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(fixture.state("b").await, "failed");
    fixture.engine.inject(&Fault::Heal);
    assert_eq!(fixture.post("c", "p", 1).await.status(), StatusCode::OK);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn crossed_answers_belong_to_another_attempt() {
    let fixture = Fixture::start().await;
    fixture.post("a", "first", 1).await.text().await.unwrap();
    for (id, header, shown) in [("b", true, "a"), ("c", false, "c")] {
        fixture.engine.inject(&Fault::Cross { count: 1, header });
        let crossed = fixture.post(id, "second", 1).await;
        assert_eq!(crossed.headers()["x-attempt-id"], shown);
        let text = crossed.text().await.unwrap();
        assert_ne!(parse_stream(&text).0, expected_text("second", 1));
    }
    let uncrossed = fixture.post("d", "second", 1).await;
    assert_eq!(
        parse_stream(&uncrossed.text().await.unwrap()),
        (expected_text("second", 1), true)
    );
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_cut_stream_lacks_its_end_marker() {
    let fixture = Fixture::start().await;
    for (id, broken) in [("a", false), ("b", true)] {
        fixture.engine.inject(&Fault::Cut {
            after_tokens: 2,
            count: 1,
            broken,
        });
        let cut = fixture.post(id, "pack", 5).await.text().await;
        assert_eq!(cut.is_err(), broken);
        let shown = cut.map(|text| parse_stream(&text));
        assert!(!shown.unwrap_or_default().1);
    }
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_lost_cancel_gets_no_answer() {
    let fixture = Fixture::start().await;
    for (id, done, state) in [("a", false, "running"), ("b", true, "cancelled")] {
        let answer = fixture.post(id, "p", 100_000).await;
        fixture.wait_for_tokens(id).await;
        fixture.engine.inject(&Fault::LoseCancel { count: 1, done });
        let lost = fixture.cancel_within(SILENCE_TIMEOUT, id).await;
        assert!(lost.unwrap_err().is_timeout());
        assert_eq!(fixture.state(id).await, state);
        fixture.cancel(id).await;
        drop(answer);
    }
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn open_connections_go_silent_while_new_ones_work() {
    let fixture = Fixture::start().await;
    let mut answer = fixture.post("a", "p", 100_000).await;
    answer.chunk().await.unwrap();
    fixture.engine.inject(&Fault::SilenceOpen);
    // Bytes written before the fault may still arrive.
    while tokio::time::timeout(SILENCE_TIMEOUT, answer.chunk())
        .await
        .is_ok()
    {}
    assert_eq!(fixture.state("a").await, "running");
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn an_idle_connection_goes_silent_too() {
    const REQUEST: &[u8] = b"GET /v1/health HTTP/1.1\r\nhost: e1\r\n\r\n";
    let fixture = Fixture::start().await;
    let mut connection = TcpStream::connect(fixture.engine.address()).await.unwrap();
    let mut buffer = [0; 4_096];
    connection.write_all(REQUEST).await.unwrap();
    assert!(connection.read(&mut buffer).await.unwrap() > 0);
    fixture.engine.inject(&Fault::SilenceOpen);
    connection.write_all(REQUEST).await.unwrap();
    while tokio::time::timeout(SILENCE_TIMEOUT, connection.read(&mut buffer))
        .await
        .is_ok()
    {}
    assert_eq!(fixture.get("/v1/health").await["endpoint"], "e1");
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_frozen_engine_makes_no_progress_until_thawed() {
    let fixture = Fixture::start().await;
    let mut answer = fixture.post("a", "p", 100_000).await;
    answer.chunk().await.unwrap();
    fixture.engine.inject(&Fault::Freeze);
    while tokio::time::timeout(SILENCE_TIMEOUT, answer.chunk())
        .await
        .is_ok()
    {}
    let url = fixture.url("/v1/health");
    let health = fixture
        .client
        .get(&url)
        .timeout(SILENCE_TIMEOUT)
        .send()
        .await;
    assert!(health.unwrap_err().is_timeout());
    fixture.engine.inject(&Fault::Thaw);
    assert!(answer.chunk().await.unwrap().is_some());
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_dead_engine_resets_and_refuses_connections() {
    let fixture = Fixture::start().await;
    let answer = fixture.post("a", "p", 100_000).await;
    fixture.engine.inject(&Fault::Die);
    assert!(answer.text().await.is_err());
    let url = fixture.url("/v1/health");
    // A connection accepted just before may be reset instead of refused.
    while !fixture
        .client
        .get(&url)
        .send()
        .await
        .unwrap_err()
        .is_connect()
    {}
    let counters = format!("http://{}/counters", fixture.engine.control_address());
    let counts = fixture.client.get(counters).send().await.unwrap();
    let counts: Value = counts.json().await.unwrap();
    assert_eq!(counts["runs_by_attempt"]["a"], 1);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn a_drained_engine_has_finished_its_streams() {
    let fixture = Fixture::start().await;
    let answer = fixture.post("a", "history", 50).await;
    let reader = tokio::spawn(answer.text());
    fixture.engine.drain().await;
    assert_eq!(fixture.state("a").await, "finished");
    let whole = reader.await.unwrap().unwrap();
    assert_eq!(parse_stream(&whole), (expected_text("history", 50), true));
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn faults_are_injected_over_the_control_port() {
    let fixture = Fixture::start().await;
    let url = format!("http://{}/faults", fixture.engine.control_address());
    let faults = json!([{"fault": "refuse", "count": 1}, {"fault": "late", "ms": 1, "count": 1}]);
    let injected = fixture.client.post(&url).json(&faults).send().await;
    assert_eq!(injected.unwrap().status(), StatusCode::NO_CONTENT);
    let refused = fixture.post("a", "p", 1).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    let unknown = fixture.client.post(&url).json(&json!({"fault": "unknown"}));
    assert!(unknown.send().await.unwrap().status().is_client_error());
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn load_reports_are_delayed_by_their_lag() {
    let fixture = Fixture::with(|options| options.reports.load_lag = REQUEST_TIMEOUT).await;
    fixture.post("a", "p", 1).await.text().await.unwrap();
    assert_eq!(fixture.get("/v1/load").await["seen"], json!([]));
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    let fixture = Fixture::with(|options| options.reports.lose_every = 2).await;
    let text = "x".repeat(3 * prompt::BLOCK_BYTES);
    fixture.post("a", &text, 1).await.text().await.unwrap();
    let events = fixture.get("/v1/cache/events?after=0").await;
    assert_eq!(events["last"], 3);
    let first = &prompt::blocks(&text)[0];
    assert_eq!(events["events"][0]["prefix"], first.as_str());
    assert_eq!(events["events"][1]["seq"], 3);
    fixture.engine.shutdown().await;
}

#[tokio::test]
async fn reservations_and_kv_count_as_used_memory() {
    let fixture = Fixture::start().await;
    let reservation = json!({"id": "r", "owner": "tartu-1", "tokens": 100, "ttl_ms": 60_000});
    let url = fixture.url("/v1/reservations");
    let held = fixture.client.post(url).json(&reservation).send().await;
    assert_eq!(held.unwrap().status(), StatusCode::OK);
    fixture.post("a", "p", 1).await.text().await.unwrap();
    let url = fixture.url("/v1/kv/a/export");
    fixture.client.post(url).send().await.unwrap();
    assert_eq!(fixture.engine.counts().memory_used_tokens, 102);
    let owned = fixture.get("/v1/attempts?owner=tartu-1").await;
    assert_eq!(owned["reservations"][0]["id"], "r");
    assert_eq!(owned["kv"][0]["id"], "a");
    for path in ["/v1/reservations/r", "/v1/kv/a"] {
        let freed = fixture.client.delete(fixture.url(path)).send().await;
        assert_eq!(freed.unwrap().json::<Value>().await.unwrap()["freed"], true);
    }
    assert_eq!(fixture.engine.counts().memory_used_tokens, 0);
    fixture.engine.shutdown().await;
}
