//! Requests that crash the engines that run them.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use support::{System, call, completion, send};

/// The number of engines that a request may crash.
const MAX_CRASHES: usize = 3;
const ENGINES: usize = 6;
const REPETITIONS: usize = 4;
const STEP: Duration = Duration::from_millis(25);

fn find_busy(engines: &[Engine]) -> Option<&Engine> {
    let mut engines = engines.iter();
    engines.find(|engine| engine.counts().running > 0)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_reaches_no_other() {
    let system = System::start(1).await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let name = format!("e{number}");
        let engine = system.engine_with(&name, 0, |options| options.sizes.step = STEP);
        engines.push(engine.await);
    }
    let mut crashes = 0;
    for _ in 0..REPETITIONS {
        let body = completion("a prompt that crashes engines", 20, false);
        let request = call(system.callers(0), &body).header("x-idempotent", "true");
        let response = tokio::spawn(send(request));
        while !response.is_finished() {
            if let Some(engine) = find_busy(&engines) {
                engine.inject(&Fault::Die);
                crashes += 1;
                while engine.counts().running > 0 && !response.is_finished() {
                    tokio::time::sleep(STEP).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        response.await.expect("the caller finishes");
    }
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
}
