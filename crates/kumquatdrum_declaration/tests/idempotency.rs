//! Idempotency of calls, lookups and differences in the example declarations.

use std::sync::Arc;

use kumquatdrum_declaration::{Index, diff, is_idempotent, parse_and_check};

const TOONIKAART: &str = include_str!("../../../examples/toonikaart.json");
const TREASURY: &str = include_str!("../../../examples/treasury.json");

fn index(text: &str) -> Index {
    Index::new(Arc::new(
        parse_and_check(text).expect("an example without findings"),
    ))
}

#[test]
fn idempotency_follows_the_rules_or_else_the_defaults() {
    let cases = [
        (TOONIKAART, "salon-api", "POST", "/reorders", false),
        (TOONIKAART, "salon-api", "POST", "/reorders/7", false),
        (TOONIKAART, "salon-api", "post", "/reorders", false),
        (TOONIKAART, "salon-api", "POST", "/stock-checks", true),
        (
            TOONIKAART,
            "salon-api",
            "POST",
            "/stock-checks?item=4",
            true,
        ),
        (TOONIKAART, "salon-api", "POST", "/anything", false),
        (TOONIKAART, "salon-api", "PUT", "/anything", false),
        (TOONIKAART, "salon-api", "GET", "/stock%20list/", true),
        (TOONIKAART, "formula-llm", "POST", "/v1/completions", true),
        (TREASURY, "treasury-portal", "POST", "/confirmations", false),
        (TREASURY, "treasury-portal", "PUT", "/matches/9", true),
        (TREASURY, "treasury-portal", "GET", "/", true),
    ];
    for (text, service, method, path, expected) in cases {
        let index = index(text);
        let service = index.service(service).expect("a service");
        assert_eq!(
            is_idempotent(service, method, path),
            expected,
            "{method} {path}"
        );
    }
}

/// An endpoint that normalises paths could route each of these to `/reorders`.
#[test]
fn ambiguous_paths_are_not_idempotent() {
    let index = index(TOONIKAART);
    let service = index.service("salon-api").expect("a service");
    for path in [
        "/stock-checks/../reorders",
        "/stock-checks/%2e%2e/reorders",
        "/stock-checks/..%2Freorders",
        "/stock-checks//../reorders",
        "/stock-checks\\..\\reorders",
        "/stock-checks/..;/reorders",
        "/stock-checks/%72eorders",
        "/stock-checks/%zz",
        "/stock-checks/%",
    ] {
        assert!(!is_idempotent(service, "POST", path), "{path}");
    }
}

#[test]
fn index_resolves_keys_and_names() {
    let index = index(TOONIKAART);
    let caller = index
        .workspace_by_key("demo-juuksur-tartu")
        .expect("a workspace");
    assert_eq!(caller.name.as_str(), "juuksur-tartu");
    assert!(index.workspace_by_key("demo-unknown").is_none());
    let service = index.service_for(caller, "formula-llm").expect("a service");
    assert_eq!(index.model_of(service).expect("a model").replicas, 25);
    assert!(index.service_for(caller, "treasury-portal").is_none());
    assert_eq!(index.priority("archive").expect("a priority").level, 6);
    assert!(index.endpoint("salon-api-03").is_some());
}

#[test]
fn a_workspace_with_a_service_list_can_call_only_these() {
    let mut declaration = parse_and_check(TOONIKAART).expect("no findings");
    declaration.workspaces[0].services.truncate(1);
    let index = Index::new(Arc::new(declaration));
    let workspace = index.workspace("juuksur-tartu").expect("a workspace");
    assert!(index.service_for(workspace, "formula-llm").is_some());
    assert!(index.service_for(workspace, "salon-api").is_none());
}

#[test]
fn diff_holds_pointers_without_values() {
    let old = parse_and_check(TOONIKAART).expect("no findings");
    let mut new = old.clone();
    new.workspaces.swap(0, 1);
    new.workspaces[2].keys[0].sha256 = kumquatdrum_types::digest::hex(b"new key");
    new.models[0].version = "2026-12-01".into();
    new.models[0].replicas = 26;
    new.endpoints.remove(0);
    new.priorities[2].name = "whole-archive".into();
    let changes: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "/workspaces/juuksur-vilnius/keys",
        "/models/formula-card/version",
        "/models/formula-card/replicas",
        "-/priorities/archive",
        "+/priorities/whole-archive",
        "-/endpoints/formula-llm-01",
    ];
    assert_eq!(changes, expected);
    assert!(diff(&old, &old).is_empty());
}
