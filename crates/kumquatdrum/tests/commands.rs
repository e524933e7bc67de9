//! Exit codes of the commands, and what they print.

mod support;

use std::fs;
use std::process::Command;

use serde_json::{Value, json};
use support::{
    BINARY, Cluster, MODEL_SERVICE, ONE_PLACE, OPERATORS, THREE_PLACES, apply, declaration,
    operate, run, settings,
};

/// Nobody listens there.
const NOWHERE: &str = "http://127.0.0.1:1";

#[tokio::test(flavor = "multi_thread")]
async fn what_is_wrong_is_told_by_the_exit_code() {
    let cluster = Cluster::start(ONE_PLACE).await;
    let hosts = cluster.hosts();
    let bad = cluster.file("bad.json", r#"{"services": [{"name": "x"}]}"#);
    let good = cluster.file("good.json", &declaration(2));
    let missing = cluster.folder.path().join("missing.json");
    let (bad, good, missing) = (
        bad.to_str().expect("a plain path"),
        good.to_str().expect("a plain path"),
        missing.to_str().expect("a plain path"),
    );
    let nowhere = [NOWHERE.to_owned()];
    let own: [(&[&str], i32); 8] = [
        (&["check", good], 0),
        (&["check", bad], 1),
        (&["check", missing], 2),
        (&["check", "--settings", bad], 1),
        (&["serve", "--settings", bad], 2),
        (&["serve", "--settings", missing], 2),
        (&["nonsense"], 2),
        (&["--help"], 0),
    ];
    for (arguments, code) in own {
        let run = run(arguments).await;
        assert_eq!(run.code, code, "{arguments:?} {run:?}");
    }
    let asked: [(&[String], &[&str], i32); 7] = [
        (&hosts, &["apply", "--base", "1", bad], 1),
        (&hosts, &["apply", "--base", "1", missing], 2),
        (&hosts, &["apply", "--base", "9", good], 1),
        (&nowhere, &["apply", "--base", "1", good], 3),
        (&hosts, &["show", "--version", "9"], 1),
        (&hosts, &["show", "--at", "yesterday"], 2),
        (&nowhere, &["show"], 3),
    ];
    for (hosts, arguments, code) in asked {
        let run = operate(hosts, OPERATORS[0], arguments).await;
        assert_eq!(run.code, code, "{arguments:?} {run:?}");
    }
    let stranger = operate(&hosts, "nobody", &["show"]).await;
    assert_eq!(stranger.code, 2, "{stranger:?}");
    let file = cluster.folder.path().join("good.json");
    let accepted = apply(&hosts, OPERATORS[0], 1, &file).await;
    assert_eq!(
        accepted.code, 0,
        "nothing of the above was applied: {accepted:?}"
    );
}

#[tokio::test]
async fn the_shipped_examples_have_no_findings() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for name in ["toonikaart", "treasury"] {
        let run = run(&["check", &format!("{root}/{name}.json")]).await;
        assert_eq!(run.code, 0, "{name} {run:?}");
    }
    for name in THREE_PLACES {
        let file = format!("{root}/settings/{name}.json");
        let run = run(&["check", "--settings", &file]).await;
        assert_eq!(run.code, 0, "{name} {run:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_process_on_a_data_folder_is_refused() {
    let cluster = Cluster::start(ONE_PLACE).await;
    let elsewhere = Cluster::prepare(ONE_PLACE);
    let mut copy = settings(&elsewhere.nodes[0], &elsewhere.nodes);
    copy["data"] = json!(cluster.nodes[0].data);
    let file = cluster.file("copy.json", &copy.to_string());
    let second = run(&["serve", "--settings", file.to_str().expect("a plain path")]).await;
    assert_eq!(second.code, 2, "{second:?}");
    assert!(second.stderr.contains("data folder"), "{second:?}");
    cluster.ready().await;
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
async fn a_replay_whose_outcome_fails_says_no() {
    let cluster = Cluster::start(ONE_PLACE).await;
    let entry = json!({"at_ms": 0, "workspace": "tartu", "key": "tartu", "service": MODEL_SERVICE,
        "path": "/v1/completions", "prompt_tokens": 10, "max_tokens": 2, "deadline_ms": 1_000,
        "idempotent": true, "expect": "finished"});
    let trace = cluster.file("trace.jsonl", &entry.to_string());
    let keys = cluster.file(
        "keys.json",
        &json!({"tartu": support::CALLER_KEY}).to_string(),
    );
    let target = format!("http://{}", cluster.nodes[0].callers());
    let arguments = [
        "replay",
        trace.to_str().expect("a plain path"),
        "--target",
        &target,
        "--keys",
        keys.to_str().expect("a plain path"),
        "--json",
    ];
    // The trace names a priority by number; none is declared.
    let refused = run(&arguments).await;
    assert_eq!(refused.code, 1, "{refused:?}");
    let report: Value = serde_json::from_str(&refused.stdout).expect("JSON");
    assert_eq!(report["codes"]["bad_request"], 1);
    let nobody = cluster.file("nobody.json", "{}");
    let mut without = arguments;
    without[5] = nobody.to_str().expect("a plain path");
    assert_eq!(run(&without).await.code, 2);
    fs::remove_file(&trace).expect("the trace goes");
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
