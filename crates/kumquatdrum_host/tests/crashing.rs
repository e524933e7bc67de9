//! Requests that crash the engines that run them.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use support::{Response, System, call, completion, send};

/// The number of engines that a request may crash.
const MAX_CRASHES: usize = 3;
const ENGINES: usize = 6;
const REPETITIONS: usize = 4;
const STEP: Duration = Duration::from_millis(25);
/// The time in which a host has checked a crashed engine twice.
const PAUSE: Duration = Duration::from_millis(300);

/// The engines of a test.
#[derive(Default)]
struct Engines {
    live: Vec<Engine>,
    crashed: Vec<Engine>,
}

/// Sends the request to a host and crashes each engine that runs it. Returns the response.
async fn send_and_crash(system: &System, host: usize, engines: &mut Engines) -> Response {
    send_with_fault(system, host, engines, &Fault::Die).await
}

/// Sends the request to a host and injects a fault into each engine that runs it. Returns the
/// response.
async fn send_with_fault(
    system: &System,
    host: usize,
    engines: &mut Engines,
    fault: &Fault,
) -> Response {
    let body = completion("a prompt that crashes engines", 20, false);
    let request = call(system.callers(host), &body).header("x-idempotent", "true");
    let response = tokio::spawn(send(request));
    while !response.is_finished() {
        let mut live = engines.live.iter();
        if let Some(busy) = live.position(|engine| engine.counts().running > 0) {
            let engine = engines.live.swap_remove(busy);
            engine.inject(fault);
            engines.crashed.push(engine);
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    response.await.expect("the caller finishes")
}

async fn start(hosts: usize) -> (System, Engines) {
    let system = System::start(hosts).await;
    let mut engines = Engines::default();
    for number in 0..ENGINES {
        let name = format!("e{number}");
        let engine = system.engine_with(&name, 0, |options| options.sizes.step = STEP);
        engines.live.push(engine.await);
    }
    (system, engines)
}

async fn stop(system: System, engines: Engines) {
    for engine in engines.live.into_iter().chain(engines.crashed) {
        engine.shutdown().await;
    }
    system.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_reaches_no_other() {
    let (system, mut engines) = start(1).await;
    for _ in 0..REPETITIONS {
        send_and_crash(&system, 0, &mut engines).await;
    }
    assert_eq!(engines.crashed.len(), MAX_CRASHES);
    let refused = send_and_crash(&system, 0, &mut engines).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(refused.body.contains("\"blocked\""), "{refused:?}");
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_engines_is_refused_by_other_hosts() {
    let (system, mut engines) = start(3).await;
    for _ in 0..REPETITIONS {
        send_and_crash(&system, 0, &mut engines).await;
    }
    assert_eq!(engines.crashed.len(), MAX_CRASHES);
    // Each host asks a coordinator once a second.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for host in 1..3 {
        let refused = send_and_crash(&system, host, &mut engines).await;
        assert_eq!(refused.status, 503, "{refused:?}");
    }
    assert_eq!(engines.crashed.len(), MAX_CRASHES);
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_counts_although_the_listener_closes_after_the_connections() {
    let (system, mut engines) = start(1).await;
    for _ in 0..ENGINES {
        send_with_fault(&system, 0, &mut engines, &Fault::DieSlowly).await;
        tokio::time::sleep(PAUSE).await;
    }
    // One more copy may be sent before the third crash is known.
    let crashes = engines.crashed.len();
    assert!(crashes <= MAX_CRASHES + 1, "{crashes} engines crashed");
    stop(system, engines).await;
}
