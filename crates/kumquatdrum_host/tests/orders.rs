//! A new version of a model on its way from the declaration to the engines, over loopback.

mod support;

use std::time::Duration;

use kumquatdrum_host::embedded;
use kumquatdrum_orders::{Report, Role};
use kumquatdrum_testing::{Engine, engine};
use kumquatdrum_types::Version;
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
