//! Prompts longer than one engine.

mod support;

use std::time::Duration;

use kumquatdrum_testing::{Engine, Fault};
use support::{System, answer, call, completion, got};

const MEMORY: u64 = 10_000;

async fn start(engines: usize) -> (System, Vec<Engine>) {
    let system = System::start(1).await;
    let mut started = Vec::new();
    for number in 0..engines {
        let name = format!("e{number}");
        let engine = system.engine_with(&name, 0, |options| {
            options.sizes.memory_tokens = MEMORY;
            options.sizes.cache_tokens = 0;
        });
        started.push(engine.await);
    }
    (system, started)
}

async fn end(system: System, engines: Vec<Engine>) {
    for engine in engines {
        engine.shutdown().await;
    }
    system.stop().await;
}

fn prompt(tokens: usize) -> String {
    "four".repeat(tokens)
}

async fn idle(engines: &[Engine]) {
    let waiting = async {
        while engines
            .iter()
            .any(|engine| engine.counts().memory_used_tokens > 0)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), waiting).await;
    waited.expect("the engines' memory comes back");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_twice_an_engines_memory_is_answered() {
    let (system, engines) = start(3).await;
    let prompt = prompt(2 * MEMORY as usize + 1_000);
    let got = got(call(system.callers(0), &completion(&prompt, 5, false))).await;
    assert_eq!(got.status, 200, "{}", got.body);
    assert_eq!(got.text(), answer(&prompt, 5));
    idle(&engines).await;
    end(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_beyond_all_engines_is_refused_at_once() {
    let (system, engines) = start(2).await;
    let prompt = prompt(3 * MEMORY as usize);
    let got = got(call(system.callers(0), &completion(&prompt, 5, false))).await;
    assert_eq!(
        (got.status, got.code().as_str()),
        (413, "prompt_too_long"),
        "{}",
        got.body
    );
    assert_eq!((got.class().as_str(), got.retry_after), ("not_run", None));
    end(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_long_prompts_at_once_both_end_and_return_the_memory() {
    let (system, engines) = start(3).await;
    let prompt = prompt(2 * MEMORY as usize + 1_000);
    let ask =
        || call(system.callers(0), &completion(&prompt, 5, false)).header("x-deadline-ms", "20000");
    let (first, second) = tokio::join!(got(ask()), got(ask()));
    for got in [first, second] {
        assert_eq!(got.status, 200, "{}", got.body);
    }
    idle(&engines).await;
    end(system, engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_death_of_one_of_several_engines_returns_the_others_memory() {
    let (system, mut engines) = start(3).await;
    for engine in &engines {
        engine.inject(&Fault::Late {
            ms: 1_000,
            count: 1,
        });
    }
    let prompt = prompt(2 * MEMORY as usize + 1_000);
    let ask =
        call(system.callers(0), &completion(&prompt, 5, false)).header("x-deadline-ms", "5000");
    let asked = tokio::spawn(got(ask));
    while engines
        .iter()
        .any(|engine| engine.counts().memory_used_tokens == 0)
    {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    engines[1].inject(&Fault::Die);
    let got = asked.await.expect("the caller lives");
    assert!([200, 502, 503, 504].contains(&got.status), "{}", got.body);
    engines.remove(1).shutdown().await;
    idle(&engines).await;
    end(system, engines).await;
}
