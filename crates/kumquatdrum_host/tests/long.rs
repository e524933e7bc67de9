//! Prompts that exceed the memory of one engine.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use support::{System, answer, call, completion, send};

const MEMORY_TOKENS: u64 = 10_000;

async fn start(engines: usize) -> (System, Vec<Engine>) {
    let system = System::start(1).await;
    let mut started = Vec::new();
    for number in 0..engines {
        let name = format!("e{number}");
        let engine = system.engine_with(&name, 0, |options| {
            options.sizes.memory_tokens = MEMORY_TOKENS;
            options.sizes.cache_tokens = 0;
        });
        started.push(engine.await);
    }
    (system, started)
}

async fn stop(system: System, engines: Vec<Engine>) {
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
}

fn prompt(tokens: usize) -> String {
    "four".repeat(tokens)
}

async fn wait_until_memory_is_released(engines: &[Engine]) {
    let waiting = async {
        while engines
            .iter()
            .any(|engine| engine.counts().memory_used_tokens > 0)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    waited.expect("the engines release their memory");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_twice_an_engines_memory_is_answered() {
    let (system, engines) = start(3).await;
    let prompt = prompt(2 * MEMORY_TOKENS as usize + 1_000);
    let response = send(call(system.callers(0), &completion(&prompt, 5, false))).await;
    assert_eq!(response.status, 200, "{}", response.body);
    assert_eq!(response.text(), answer(&prompt, 5));
    wait_until_memory_is_released(&engines).await;
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_exceeds_the_memory_of_all_engines_is_refused() {
    let (system, engines) = start(2).await;
    let prompt = prompt(3 * MEMORY_TOKENS as usize);
    let response = send(call(system.callers(0), &completion(&prompt, 5, false))).await;
    assert_eq!(
        (response.status, response.code().as_str()),
        (413, "prompt_too_long"),
        "{}",
        response.body
    );
    assert_eq!(
        (response.class().as_str(), response.retry_after),
        ("not_run", None)
    );
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_concurrent_long_prompts_finish_and_release_their_memory() {
    let (system, engines) = start(3).await;
    let prompt = prompt(2 * MEMORY_TOKENS as usize + 1_000);
    let request =
        || call(system.callers(0), &completion(&prompt, 5, false)).header("x-deadline-ms", "20000");
    let (first, second) = tokio::join!(send(request()), send(request()));
    for response in [first, second] {
        assert_eq!(response.status, 200, "{}", response.body);
    }
    wait_until_memory_is_released(&engines).await;
    stop(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_other_engines_release_their_memory_when_one_dies() {
    let (system, mut engines) = start(3).await;
    for engine in &engines {
        engine.inject(&Fault::Late {
            ms: 1_000,
            count: 1,
        });
    }
    let prompt = prompt(2 * MEMORY_TOKENS as usize + 1_000);
    let request =
        call(system.callers(0), &completion(&prompt, 5, false)).header("x-deadline-ms", "5000");
    let pending = tokio::spawn(send(request));
    while engines
        .iter()
        .any(|engine| engine.counts().memory_used_tokens == 0)
    {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    engines[1].inject(&Fault::Die);
    let response = pending.await.expect("the caller finishes");
    assert!(
        [200, 502, 503, 504].contains(&response.status),
        "{}",
        response.body
    );
    engines.remove(1).shutdown().await;
    wait_until_memory_is_released(&engines).await;
    stop(system, engines).await;
}
