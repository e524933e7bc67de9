//! Output and exit codes of the operators' commands, run against local listeners.

mod support;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_operator::command::{apply, audit, check, show, status};
use kumquatdrum_operator::report::Report;
use kumquatdrum_operator::{Client, Connection, Exit, client};
use kumquatdrum_setup::{Failure, Standing};
use kumquatdrum_types::Version;
use support::{Fake, Fault, Host, KEY, request, text};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn connection(hosts: &[&str]) -> Connection {
    Connection {
        hosts: hosts.iter().map(ToString::to_string).collect(),
        key: KEY.to_owned(),
        timeout: Duration::from_secs(30),
    }
}

/// Returns a URL at which nothing listens.
async fn unreachable_url() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    format!("http://{address}")
}

/// Starts a host that reads each request and closes the connection without a response.
async fn start_dropping_host() -> (String, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1_024]).await;
        }
    });
    (format!("http://{address}"), task)
}

/// A temporary file that is removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("kumquatdrum-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).expect("a writable folder");
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

async fn apply_file(
    hosts: &[&str],
    file: &File,
    base: u64,
    wait_ms: Option<u64>,
) -> (Exit, String) {
    let options = apply::Options {
        connection: connection(hosts),
        file: file.0.clone(),
        base,
        apply_id: None,
        wait: wait_ms.map(Duration::from_millis),
        json: false,
    };
    let mut out = Vec::new();
    let exit = apply::run(&options, &mut out).await;
    (exit, String::from_utf8(out).expect("valid UTF-8"))
}

#[test]
fn check_lists_all_findings() {
    let good = File::new("check-good", &text(1));
    let bad = File::new("check-bad", r#"{"a": 1, "b": 2}"#);
    let run = |file: &PathBuf, json| {
        let options = check::Options {
            file: file.clone(),
            json,
        };
        let mut out = Vec::new();
        let exit = check::run(&options, &mut out);
        (exit, String::from_utf8(out).expect("valid UTF-8"))
    };
    assert_eq!(
        run(&good.0, false),
        (Exit::Success, "no findings\n".to_owned())
    );
    let lines = "/a: is not a known key\n/b: is not a known key\n";
    assert_eq!(run(&bad.0, false), (Exit::Failure, lines.to_owned()));
    let (exit, json) = run(&bad.0, true);
    assert_eq!(exit, Exit::Failure);
    let json: serde_json::Value = serde_json::from_str(&json).expect("valid JSON");
    assert_eq!(json["findings"][1]["place"], "/b");
    let (exit, _) = run(&PathBuf::from("/nonexistent/file.json"), false);
    assert_eq!(exit, Exit::Usage);
}

#[tokio::test]
async fn exit_codes_distinguish_success_refusal_and_an_invalid_key() {
    let control = Arc::new(Fake::default());
    let host = Host::start(Arc::clone(&control)).await;
    let hosts = [host.url.as_str()];
    let one = File::new("apply-one", &text(1));
    let two = File::new("apply-two", &text(2));
    let bad = File::new("apply-bad", "[]");
    let (exit, out) = apply_file(&hosts, &one, 0, None).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Success, "accepted as version 1\n")
    );
    let (exit, out) = apply_file(&hosts, &two, 0, None).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Failure, "conflict: the current version is 1\n")
    );
    let (exit, out) = apply_file(&hosts, &bad, 1, None).await;
    assert_eq!(exit, Exit::Failure);
    assert!(out.starts_with("/: invalid type"), "{out}");
    let mut unauthorized = connection(&hosts);
    unauthorized.key = "guess".to_owned();
    let options = status::Options {
        connection: unauthorized,
        json: false,
    };
    let mut out = Vec::new();
    assert_eq!(status::run(&options, &mut out).await, Exit::Usage);
    assert_eq!(out, b"the key is not an operator's key\n");
    host.stop().await;
}

#[tokio::test]
async fn apply_tries_the_next_host_after_a_failure() {
    let control = Arc::new(Fake::default());
    let host = Host::start(Arc::clone(&control)).await;
    let dead = unreachable_url().await;
    let (dropping, task) = start_dropping_host().await;
    let one = File::new("next-one", &text(1));
    // The first host is unreachable, the second drops the connection, the third is unavailable.
    let fault = Fault::Fail(Failure::Unavailable);
    control.faults.lock().unwrap().push_back(fault);
    let hosts = [dead.as_str(), &dropping, &host.url, &host.url];
    let (exit, out) = apply_file(&hosts, &one, 0, None).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Success, "accepted as version 1\n")
    );
    task.abort();
    host.stop().await;
}

#[tokio::test]
async fn the_outcome_of_a_lost_response_is_learnt_from_the_next_host() {
    let control = Arc::new(Fake::default());
    let host = Host::start(Arc::clone(&control)).await;
    let one = File::new("lost-one", &text(1));
    control.faults.lock().unwrap().push_back(Fault::LoseAnswer);
    let hosts = [host.url.as_str(), &host.url];
    let (exit, out) = apply_file(&hosts, &one, 0, None).await;
    assert_eq!(
        (exit, out.as_str()),
        (Exit::Success, "accepted as version 1\n")
    );
    assert_eq!(control.state.lock().unwrap().current_version(), Version(1));
    host.stop().await;
}

#[tokio::test]
async fn unreachable_hosts_and_unknown_outcomes_have_different_messages() {
    let dead = unreachable_url().await;
    let (dropping, task) = start_dropping_host().await;
    let one = File::new("apart-one", &text(1));
    let (exit, out) = apply_file(&[&dead], &one, 0, None).await;
    assert_eq!(exit, Exit::Unknown);
    assert!(out.starts_with("no host could be reached"), "{out}");
    let (exit, out) = apply_file(&[&dropping, &dead], &one, 0, None).await;
    assert_eq!(exit, Exit::Unknown);
    assert!(out.starts_with("the outcome is unknown"), "{out}");
    let (exit, _) = apply_file(&[], &one, 0, None).await;
    assert_eq!(exit, Exit::Usage);
    assert!(!out.contains(KEY));
    task.abort();
}

#[tokio::test]
async fn apply_reports_the_rollout_on_each_host() {
    let control = Arc::new(Fake::default());
    control
        .h2_versions
        .lock()
        .unwrap()
        .extend([None, Some(0), Some(1)]);
    let host = Host::start(Arc::clone(&control)).await;
    let one = File::new("wait-one", &text(1));
    let (exit, out) = apply_file(&[&host.url], &one, 0, Some(60_000)).await;
    let expected = "accepted as version 1\nin force: h1 (hall-ringtee)\n\
                    in force: h2 (hall-ringtee)\nin force everywhere\n";
    assert_eq!((exit, out.as_str()), (Exit::Success, expected));
    host.stop().await;
}

#[tokio::test]
async fn show_prints_only_the_declaration() {
    let control = Arc::new(Fake::default());
    control.apply_now(&request(0, 1));
    control.apply_now(&request(1, 2));
    let host = Host::start(Arc::clone(&control)).await;
    let run = async |version, at: Option<&str>| {
        let options = show::Options {
            connection: connection(&[&host.url]),
            version,
            at: at.map(str::to_owned),
            json: false,
        };
        let (mut out, mut notes) = (Vec::new(), Vec::new());
        let exit = show::run(&options, &mut out, &mut notes).await;
        let text = |bytes| String::from_utf8(bytes).expect("valid UTF-8");
        (exit, text(out), text(notes))
    };
    let (exit, out, notes) = run(None, None).await;
    assert_eq!((exit, out), (Exit::Success, text(2)));
    assert_eq!(
        notes,
        "version 2, accepted 2026-12-02T22:30:02.000Z, confirmed\n"
    );
    let (exit, out, _) = run(None, Some("2026-12-03T00:30:01.5+02:00")).await;
    assert_eq!((exit, out), (Exit::Success, text(1)));
    assert_eq!(run(Some(9), None).await.0, Exit::Failure);
    assert_eq!(run(Some(1), Some("0")).await.0, Exit::Usage);
    assert_eq!(run(None, Some("yesterday")).await.0, Exit::Usage);
    host.stop().await;
}

/// Guards against losing the response, which is sent before the body has been read.
#[tokio::test]
async fn a_large_file_with_an_invalid_key_is_unauthorized() {
    let control = Arc::new(Fake::default());
    let host = Host::start(control).await;
    let mut unauthorized = connection(&[&host.url]);
    unauthorized.key = "guess".to_owned();
    let client = Client::new(unauthorized).expect("valid connection");
    let large = " ".repeat(7 << 20);
    for _ in 0..3 {
        let answer = client.apply(Version(0), None, &large).await;
        assert_eq!(answer, Ok(Report::Unauthorized));
    }
    host.stop().await;
}

/// Guards against showing the outdated version of an isolated host.
#[tokio::test]
async fn show_prefers_a_confirmed_version() {
    let behind = Arc::new(Fake::default());
    let current = Arc::new(Fake::default());
    let as_of_unix_ms = Some(0);
    *behind.standing.lock().unwrap() = Standing::LastKnown { as_of_unix_ms };
    current.apply_now(&request(0, 1));
    let first = Host::start(behind).await;
    let second = Host::start(Arc::clone(&current)).await;
    let dead = unreachable_url().await;
    let client =
        Client::new(connection(&[&first.url, &dead, &second.url])).expect("valid connection");
    let selector = kumquatdrum_setup::Selector::Current;
    let shown = client.show(selector).await.expect("a declaration");
    assert_eq!(
        (shown.version, shown.standing),
        (Version(1), Standing::Confirmed)
    );
    *current.standing.lock().unwrap() = Standing::LastKnown { as_of_unix_ms };
    let shown = client.show(selector).await.expect("a declaration");
    assert_eq!(shown.version, Version(1));
    let client = Client::new(connection(&[&dead])).expect("valid connection");
    let error = client.show(selector).await.expect_err("unreachable host");
    assert!(matches!(error, client::Error::Unreachable(_)), "{error}");
    first.stop().await;
    second.stop().await;
}

async fn run_audit(url: &str, json: bool) -> (Exit, String) {
    let options = audit::Options {
        connection: connection(&[url]),
        from: 1,
        json,
    };
    let mut out = Vec::new();
    let exit = audit::run(&options, &mut out).await;
    (exit, String::from_utf8(out).expect("valid UTF-8"))
}

#[tokio::test]
async fn audit_verifies_the_chain_over_pages() {
    let control = Arc::new(Fake {
        max_page_size: 2,
        ..Fake::default()
    });
    for base in [0, 0, 1, 2, 3] {
        control.apply_now(&request(base, base as u8 + 1));
    }
    let head = control.state.lock().unwrap().trail().head();
    let host = Host::start(control).await;
    let (exit, out) = run_audit(&host.url, false).await;
    assert_eq!(exit, Exit::Success);
    let last = out.lines().last().expect("a verification line");
    assert_eq!(last, format!("4 entries, chain verified, head {head}"));
    assert!(out.starts_with("1  2026-12-02T22:30:01.000Z  kadri  base 0  accepted as 1  sha256 "));
    let (_, out) = run_audit(&host.url, true).await;
    let lines: Vec<serde_json::Value> = out
        .lines()
        .map(|line| serde_json::from_str(line).expect("valid JSON"))
        .collect();
    assert_eq!(lines.len(), 5);
    assert_eq!(lines[4]["verified"], true);
    host.stop().await;
}

#[tokio::test]
async fn audit_and_show_detect_tampered_responses() {
    let control = Arc::new(Fake {
        max_page_size: 2,
        is_tampering: true,
        ..Fake::default()
    });
    for base in 0..3 {
        control.apply_now(&request(base, base as u8 + 1));
    }
    let host = Host::start(control).await;
    let (exit, out) = run_audit(&host.url, false).await;
    assert_eq!(exit, Exit::Failure);
    let last = out.lines().last().expect("a verification line");
    assert_eq!(
        last,
        "the chain is broken: entry 2 does not match its digest"
    );
    let (exit, out) = run_audit(&host.url, true).await;
    assert_eq!(exit, Exit::Failure);
    assert!(
        out.lines()
            .last()
            .expect("a verification line")
            .contains(r#""verified":false"#)
    );
    let options = show::Options {
        connection: connection(&[&host.url]),
        version: None,
        at: None,
        json: false,
    };
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    assert_eq!(
        show::run(&options, &mut out, &mut notes).await,
        Exit::Failure
    );
    assert!(out.is_empty());
    assert_eq!(notes, b"the text of version 3 does not match its digest\n");
    host.stop().await;
}

#[tokio::test]
async fn status_prints_hosts_and_versions() {
    let control = Arc::new(Fake::default());
    control.h2_versions.lock().unwrap().push_back(None);
    let host = Host::start(control).await;
    let options = status::Options {
        connection: connection(&[&host.url]),
        json: false,
    };
    let mut out = Vec::new();
    assert_eq!(status::run(&options, &mut out).await, Exit::Success);
    let out = String::from_utf8(out).expect("valid UTF-8");
    for line in [
        "as seen by h1 (hall-ringtee)",
        "control leader h1",
        "  h1  hall-ringtee  version 0  reachable  control replica",
        "  h2  hall-ringtee  version ?  unreachable  control replica",
    ] {
        assert!(out.lines().any(|found| found == line), "{line}\n{out}");
    }
    host.stop().await;
}
