//! Orders that bring engines to a new version of a declared model, over loopback.

mod support;

use std::time::Duration;

use kumquatdrum_engine::{Client, Engine as _};
use kumquatdrum_host::embedded;
use kumquatdrum_orders::{Action, Answer, Order, OrderId, Report, Role};
use kumquatdrum_testing::{Engine, Fault, engine};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{Moment, Version};
use serde_json::{Value, json};
use support::{MODEL_SERVICE, System, call, completion, declaration, send};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the declaration of the support module with another version and with endpoints, one of
/// which doesn't check fencing tokens.
fn declare_version(version: &str) -> String {
    let mut file: Value = serde_json::from_str(&declaration()).expect("a declaration");
    file["models"][0]["version"] = json!(version);
    file["models"][0]["replicas"] = json!(3);
    let endpoints = (0..3).map(|index| {
        json!({"name": format!("e{index}"), "service": MODEL_SERVICE,
               "data_centre": "hall-raatuse", "checks_fencing": index != 1})
    });
    file["endpoints"] = endpoints.collect();
    file.to_string()
}

fn enable_orders(options: &mut engine::Options, checks_fencing: bool) {
    options.orders = Some(engine::orders::Options {
        version: "1".to_owned(),
        checks_fencing,
        load_time: Duration::from_millis(100),
    });
}

fn reports(engines: &[Engine]) -> Vec<Report> {
    let reports = engines.iter().filter_map(Engine::order_report);
    reports.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_declared_version_is_loaded_by_one_engine_after_another() {
    let system = System::start_with(3, |settings| settings.limits.loads_per_minute = 600).await;
    let mut engines = Vec::new();
    for index in 0..3 {
        let name = format!("e{index}");
        let change = |options: &mut engine::Options| enable_orders(options, index != 1);
        engines.push(system.engine_with(&name, 0, change).await);
    }
    let answer = embedded::apply(&system.hosts, Version(1), &declare_version("2")).await;
    answer.expect("the declaration is accepted");
    let watched = async {
        loop {
            let reports = reports(&engines);
            let serving = reports.iter().filter(|report| report.role == Role::Serving);
            assert!(
                serving.count() >= 2,
                "engines must load one at a time: {reports:?}"
            );
            let is_new = |report: &Report| report.version.as_deref() == Some("2");
            if reports.iter().all(is_new) {
                return;
            }
            let answer = send(call(system.callers(0), &completion("shade 7.1", 2, false))).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    };
    let loaded = tokio::time::timeout(TIMEOUT, watched).await;
    loaded.expect("all engines load the new version");
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
}

/// Starts an engine that checks fencing tokens, with its target and a client.
async fn start_checking_engine() -> (Engine, Target, Client) {
    let mut options = engine::Options::new("e0", MODEL_SERVICE, "formula", "hall-raatuse");
    enable_orders(&mut options, true);
    let engine = Engine::start(options).await.expect("the engine starts");
    let target = Target {
        endpoint: "e0".into(),
        boot: reports(std::slice::from_ref(&engine))[0].boot,
        address: engine.address(),
    };
    (engine, target, Client::new().expect("a client"))
}

fn load_order(target: &Target, fencing: u64) -> Order {
    Order {
        id: OrderId {
            fencing,
            sequence: 1,
        },
        endpoint: target.endpoint.clone(),
        boot: target.boot,
        action: Action::LoadModel {
            model: "formula".into(),
            version: "2".to_owned(),
        },
        send_until: Moment::NEVER,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_last_check_fails_has_no_effect() {
    let (engine, target, client) = start_checking_engine().await;
    let answer = client.order(&target, &load_order(&target, 7), Box::new(|| false));
    assert_eq!(answer.await, Answer::NotSent);
    let report = client.order_report(&target).await.expect("a report");
    assert_eq!(report.role, Role::Serving);
    engine.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_fencing_tokens_refuses_an_old_one() {
    let (engine, target, client) = start_checking_engine().await;
    let mut fence = load_order(&target, 8);
    fence.action = Action::Fence;
    let answer = client.order(&target, &fence, Box::new(|| true));
    assert_eq!(answer.await, Answer::Accepted);
    let answer = client.order(&target, &load_order(&target, 7), Box::new(|| true));
    assert_eq!(answer.await, Answer::Fenced { current: 8 });
    let report = client.order_report(&target).await.expect("a report");
    assert_eq!(report.version.as_deref(), Some("1"));
    engine.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_to_a_frozen_engine_times_out() {
    let (engine, target, client) = start_checking_engine().await;
    engine.inject(&Fault::Freeze);
    let answer = client.order(&target, &load_order(&target, 7), Box::new(|| true));
    let answer = tokio::time::timeout(TIMEOUT, answer).await;
    assert!(matches!(answer, Ok(Answer::Lost { .. })), "{answer:?}");
    engine.shutdown().await;
}
