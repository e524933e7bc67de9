//! A new version of a model on its way from the declaration to the engines, over loopback.

mod support;

use std::time::Duration;

use kumquatdrum_engine::{Client, Engine as _};
use kumquatdrum_host::embedded;
use kumquatdrum_orders::{Action, Answer, Order, OrderId, Report, Role};
use kumquatdrum_testing::{Engine, Fault, engine};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{Moment, Version};
use serde_json::{Value, json};
use support::{MODEL_SERVICE, System, call, completion, declaration, got};

const PATIENCE: Duration = Duration::from_secs(30);

/// The support's declaration with another version, and with endpoints of which some check.
fn declared(version: &str) -> String {
    let mut file: Value = serde_json::from_str(&declaration()).expect("a declaration");
    file["models"][0]["version"] = json!(version);
    file["models"][0]["replicas"] = json!(3);
    let endpoints = (0..3).map(|place| {
        json!({"name": format!("e{place}"), "service": MODEL_SERVICE,
               "data_centre": "hall-raatuse", "checks_fencing": place != 1})
    });
    file["endpoints"] = endpoints.collect();
    file.to_string()
}

fn takes_orders(options: &mut engine::Options, checks_fencing: bool) {
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
    for place in 0..3 {
        let name = format!("e{place}");
        let change = |options: &mut engine::Options| takes_orders(options, place != 1);
        engines.push(system.engine_with(&name, 0, change).await);
    }
    let answer = embedded::apply(&system.hosts, Version(1), &declared("2")).await;
    answer.expect("the declaration is accepted");
    let watched = async {
        loop {
            let reports = reports(&engines);
            let serving = reports.iter().filter(|report| report.role == Role::Serving);
            assert!(serving.count() >= 2, "one at a time: {reports:?}");
            let is_new = |report: &Report| report.version.as_deref() == Some("2");
            if reports.iter().all(is_new) {
                return;
            }
            let answer = got(call(system.callers(0), &completion("shade 7.1", 2, false))).await;
            assert_eq!(answer.status, 200, "{answer:?}");
        }
    };
    let loaded = tokio::time::timeout(PATIENCE, watched).await;
    loaded.expect("all engines load the new version");
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
}

/// An engine that checks, and the way to it.
async fn checking_engine() -> (Engine, Target, Client) {
    let mut options = engine::Options::new("e0", MODEL_SERVICE, "formula", "hall-raatuse");
    takes_orders(&mut options, true);
    let engine = Engine::start(options).await.expect("the engine starts");
    let target = Target {
        endpoint: "e0".into(),
        boot: reports(std::slice::from_ref(&engine))[0].boot,
        address: engine.address(),
    };
    (engine, target, Client::new().expect("a client"))
}

fn load(target: &Target, fencing: u64) -> Order {
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
async fn nothing_of_an_order_is_obeyed_where_the_last_check_fails() {
    let (engine, target, client) = checking_engine().await;
    let answer = client.order(&target, &load(&target, 7), Box::new(|| false));
    assert_eq!(answer.await, Answer::NotSent);
    let report = client.order_report(&target).await.expect("a report");
    assert_eq!(report.role, Role::Serving);
    engine.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_checks_refuses_an_old_fencing_number() {
    let (engine, target, client) = checking_engine().await;
    let mut fence = load(&target, 8);
    fence.action = Action::Fence;
    let answer = client.order(&target, &fence, Box::new(|| true));
    assert_eq!(answer.await, Answer::Accepted);
    let answer = client.order(&target, &load(&target, 7), Box::new(|| true));
    assert_eq!(answer.await, Answer::OldFencing { current: 8 });
    let report = client.order_report(&target).await.expect("a report");
    assert_eq!(report.version.as_deref(), Some("1"));
    engine.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_to_a_frozen_engine_is_given_up() {
    let (engine, target, client) = checking_engine().await;
    engine.inject(&Fault::Freeze);
    let answer = client.order(&target, &load(&target, 7), Box::new(|| true));
    let answer = tokio::time::timeout(PATIENCE, answer).await;
    assert!(matches!(answer, Ok(Answer::Lost { .. })), "{answer:?}");
    engine.shutdown().await;
}
