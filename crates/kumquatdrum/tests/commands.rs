//! Exit codes and output of the commands.

mod support;

use std::fs;
use std::process::Command;

use serde_json::{Value, json};
use support::{
    BINARY, Cluster, MODEL_SERVICE, ONE_DATA_CENTRE, OPERATORS, THREE_DATA_CENTRES, apply,
    declaration, operate, run, settings,
};

/// An operators' address without a listener.
const UNREACHABLE_HOST: &str = "http://127.0.0.1:1";

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_distinguish_kinds_of_failure() {
    let cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let hosts = cluster.hosts();
    let bad = cluster.write_file("bad.json", r#"{"services": [{"name": "x"}]}"#);
    let good = cluster.write_file("good.json", &declaration(2));
    let missing = cluster.folder.path().join("missing.json");
    let (bad, good, missing) = (
        bad.to_str().expect("a UTF-8 path"),
        good.to_str().expect("a UTF-8 path"),
        missing.to_str().expect("a UTF-8 path"),
    );
    let unreachable = [UNREACHABLE_HOST.to_owned()];
    let local: [(&[&str], i32); 8] = [
        (&["check", good], 0),
        (&["check", bad], 1),
        (&["check", missing], 2),
        (&["check", "--settings", bad], 1),
        (&["serve", "--settings", bad], 2),
        (&["serve", "--settings", missing], 2),
        (&["nonsense"], 2),
        (&["--help"], 0),
    ];
    for (arguments, code) in local {
        let run = run(arguments).await;
        assert_eq!(run.code, code, "{arguments:?} {run:?}");
    }
    let remote: [(&[String], &[&str], i32); 7] = [
        (&hosts, &["apply", "--base", "1", bad], 1),
        (&hosts, &["apply", "--base", "1", missing], 2),
        (&hosts, &["apply", "--base", "9", good], 1),
        (&unreachable, &["apply", "--base", "1", good], 3),
        (&hosts, &["show", "--version", "9"], 1),
        (&hosts, &["show", "--at", "yesterday"], 2),
        (&unreachable, &["show"], 3),
    ];
    for (hosts, arguments, code) in remote {
        let run = operate(hosts, OPERATORS[0], arguments).await;
        assert_eq!(run.code, code, "{arguments:?} {run:?}");
    }
    let unauthorized = operate(&hosts, "nobody", &["show"]).await;
    assert_eq!(unauthorized.code, 2, "{unauthorized:?}");
    let file = cluster.folder.path().join("good.json");
    let accepted = apply(&hosts, OPERATORS[0], 1, &file).await;
    assert_eq!(
        accepted.code, 0,
        "an earlier command was applied: {accepted:?}"
    );
}

#[tokio::test]
async fn the_shipped_examples_have_no_findings() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["toonikaart", "treasury"] {
        let run = run(&["check", &format!("{root}/{name}.json")]).await;
        assert_eq!(run.code, 0, "{name} {run:?}");
    }
    for name in THREE_DATA_CENTRES {
        let file = format!("{root}/settings/{name}.json");
        let run = run(&["check", "--settings", &file]).await;
        assert_eq!(run.code, 0, "{name} {run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_process_on_a_data_folder_is_rejected() {
    let cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let other = Cluster::prepare(ONE_DATA_CENTRE);
    let mut copy = settings(&other.nodes[0], &other.nodes);
    copy["data"] = json!(cluster.nodes[0].data);
    let file = cluster.write_file("copy.json", &copy.to_string());
    let second = run(&["serve", "--settings", file.to_str().expect("a UTF-8 path")]).await;
    assert_eq!(second.code, 2, "{second:?}");
    assert!(second.stderr.contains("data folder"), "{second:?}");
    cluster.wait_until_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_prints_nothing_but_json() {
    let arguments = ["demo", "--json", "--seconds", "2", "--scale", "0.02"];
    let demo = run(&arguments).await;
    let report: Value = serde_json::from_str(&demo.stdout).expect("JSON");
    assert_eq!(demo.code, 0, "{demo:?}");
    assert_eq!(report["finished"], report["requests"]);
    assert_eq!(report["counted"]["run_twice"], 0);
    assert_eq!(demo.stderr, "");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replay_with_a_failed_check_exits_with_1() {
    let cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let entry = json!({"at_ms": 0, "workspace": "tartu", "key": "tartu", "service": MODEL_SERVICE,
        "path": "/v1/completions", "prompt_tokens": 10, "max_tokens": 2, "deadline_ms": 1_000,
        "idempotent": true, "expect": "finished"});
    let trace = cluster.write_file("trace.jsonl", &entry.to_string());
    let keys = cluster.write_file(
        "keys.json",
        &json!({"tartu": support::CALLER_KEY}).to_string(),
    );
    let target = format!("http://{}", cluster.nodes[0].callers());
    let arguments = [
        "replay",
        trace.to_str().expect("a UTF-8 path"),
        "--target",
        &target,
        "--keys",
        keys.to_str().expect("a UTF-8 path"),
        "--json",
    ];
    // The entry's default priority is not declared.
    let refused = run(&arguments).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    let report: Value = serde_json::from_str(&refused.stdout).expect("JSON");
    assert_eq!(report["codes"]["bad_request"], 1);
    let no_keys = cluster.write_file("no-keys.json", "{}");
    let mut without_keys = arguments;
    without_keys[5] = no_keys.to_str().expect("a UTF-8 path");
    assert_eq!(run(&without_keys).await.code, 2);
    fs::remove_file(&trace).expect("the trace is removed");
    assert_eq!(run(&arguments).await.code, 2);
}

#[test]
fn the_shell_completion_is_built_in() {
    let output = Command::new(BINARY)
        .arg("--bpaf-complete-style-bash")
        .output();
    let output = output.expect("the command starts");
    assert!(String::from_utf8_lossy(&output.stdout).contains("kumquatdrum"));
}
