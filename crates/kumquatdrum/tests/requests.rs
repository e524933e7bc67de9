//! Requests while their entry host stops or dies.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_testing::Fault;
use reqwest::RequestBuilder;
use support::{
    Cluster, ONE_PLACE, answer, completion, get, got, held, idle, once, reorder, runs, shutdown,
    status, until,
};

const STEP: Duration = Duration::from_millis(25);
const TOKENS: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_off_no_request() {
    const REQUESTS: usize = 60;
    let mut cluster = Cluster::start(ONE_PLACE).await;
    let engines = vec![
        cluster.engine("e1", ONE_PLACE[0], STEP).await,
        cluster.engine("e2", ONE_PLACE[0], STEP).await,
    ];
    cluster.knows_endpoints(&[0], 2).await;
    let host = cluster.nodes[0].callers();
    let ask = move |number: usize| {
        let prompt = format!("shade {number}");
        async move { (got(completion(host, &prompt, TOKENS)).await, prompt) }
    };
    let mut asked: Vec<_> = (0..REQUESTS)
        .map(|number| tokio::spawn(ask(number)))
        .collect();
    until("the load is on", async || {
        (held(&engines) as usize >= REQUESTS).then_some(())
    })
    .await;
    cluster.nodes[0].signal("-TERM");
    let health = format!("{}/health", cluster.nodes[0].platform());
    until("the health turns red", async || {
        get(&health).await.is_none().then_some(())
    })
    .await;
    // The balancer has not seen it yet.
    asked.push(tokio::spawn(ask(REQUESTS)));
    for asked in asked {
        let (got, prompt) = asked.await.expect("the caller lives");
        let got = got.expect("an answer");
        assert_eq!(got.text(), Some(answer(&prompt, TOKENS)), "{got:?}");
    }
    assert_eq!(cluster.nodes[0].ended().await, Some(0));
    idle(&engines).await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_after_its_hosts_death_runs_once() {
    const PROMPT: &str = "confirm swap 7";
    let mut cluster = Cluster::start(ONE_PLACE).await;
    let engines = vec![
        cluster.engine("e1", ONE_PLACE[0], STEP).await,
        cluster.engine("e2", ONE_PLACE[0], STEP).await,
    ];
    let work = Duration::from_secs(2);
    let plain = cluster.plain("p1", ONE_PLACE[0], work).await;
    cluster.knows_endpoints(&[0, 1, 2], 3).await;
    let first = cluster.nodes[0].callers();
    // They would run for longer than this test waits.
    let long = |prompt| completion(first, prompt, 4_000).header("x-deadline-ms", "120000");
    let lost = [
        tokio::spawn(got(once(completion(first, PROMPT, TOKENS), "swap-7"))),
        tokio::spawn(got(reorder(first, "order-7"))),
        tokio::spawn(got(long("a long history"))),
        tokio::spawn(got(long("another long history"))),
    ];
    until("all four run", async || {
        let plain = plain.counts().running;
        (held(&engines) == 3 && plain == 1).then_some(())
    })
    .await;
    cluster.nodes[0].kill();
    for lost in lost {
        let _ = lost.await.expect("the caller lives");
    }

    let second = cluster.nodes[1].callers();
    let again = until("the key's request is answered or given up on", async || {
        let again = got(once(completion(second, PROMPT, TOKENS), "swap-7")).await?;
        // Where the dead host led, nothing can be claimed before the next leader.
        let has_no_leader = again.code() == "claim_unavailable" && again.class() == "not_run";
        let is_open = again.code() == "key_running" || has_no_leader;
        (!is_open).then_some(again)
    })
    .await;
    assert_eq!(again.text(), Some(answer(PROMPT, TOKENS)), "{again:?}");
    assert_eq!(runs(&engines, PROMPT), 1);

    let again = until("the reorder's fate is stated", async || {
        got(reorder(second, "order-7")).await
    })
    .await;
    assert_eq!(
        (again.status, again.class().as_str()),
        (409, "unknown"),
        "{again:?}"
    );
    assert_eq!(plain.counts().runs_by_key["order-7"], 1);

    // The other two have no key: a surviving host ends them.
    idle(&engines).await;
    plain.shutdown().await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_after_a_crash_of_all_hosts_runs_once() {
    const PROMPT: &str = "confirm swap 8";
    let mut cluster = Cluster::start(ONE_PLACE).await;
    let engines = vec![cluster.engine("e1", ONE_PLACE[0], STEP).await];
    let work = Duration::from_secs(2);
    let plain = cluster.plain("p1", ONE_PLACE[0], work).await;
    cluster.knows_endpoints(&[0], 2).await;
    let first = cluster.nodes[0].callers();
    let lost = [
        tokio::spawn(got(once(completion(first, PROMPT, TOKENS), "swap-8"))),
        tokio::spawn(got(reorder(first, "order-8"))),
    ];
    until("both run", async || {
        (held(&engines) == 1 && plain.counts().running == 1).then_some(())
    })
    .await;
    for node in &mut cluster.nodes {
        node.kill();
    }
    for lost in lost {
        let _ = lost.await.expect("the caller lives");
    }
    for node in &mut cluster.nodes {
        node.start();
    }
    cluster.up().await;
    cluster.ready().await;

    // Not run means that the key may be sent again, and running that its fate is open.
    let third = cluster.nodes[2].callers();
    let again = until("the key's request is answered", async || {
        let again = got(once(completion(third, PROMPT, TOKENS), "swap-8")).await?;
        let is_open = again.class() == "not_run" || again.code() == "key_running";
        (!is_open).then_some(again)
    })
    .await;
    assert_eq!(again.text(), Some(answer(PROMPT, TOKENS)), "{again:?}");
    assert_eq!(runs(&engines, PROMPT), 1);
    let again = until("the reorder's fate is stated", async || {
        let again = got(reorder(third, "order-8")).await?;
        (again.class() != "not_run").then_some(again)
    })
    .await;
    assert_eq!(
        (again.status, again.class().as_str()),
        (409, "unknown"),
        "{again:?}"
    );
    assert_eq!(plain.counts().runs_by_key["order-8"], 1);
    plain.shutdown().await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_leader_costs_no_key_of_other_hosts() {
    const REQUESTS: usize = 40;
    let mut cluster = Cluster::start(ONE_PLACE).await;
    let plain = cluster.plain("p1", ONE_PLACE[0], Duration::ZERO).await;
    cluster.knows_endpoints(&[0, 1, 2], 1).await;
    let hosts = cluster.hosts();
    let leader = until("a leader", async || {
        let status = status(&hosts).await?;
        let leader = status["leader"].as_str()?;
        cluster.nodes.iter().position(|node| node.name == leader)
    })
    .await;
    let others: Vec<_> = (0..3).filter(|node| *node != leader).collect();
    let mut asked = Vec::new();
    for number in 0..REQUESTS {
        if number == REQUESTS / 4 {
            cluster.nodes[leader].signal("-TERM");
        }
        let host = cluster.nodes[others[number % 2]].callers();
        let ask = async move { got(reorder(host, &format!("order-{number}"))).await };
        asked.push(tokio::spawn(ask));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for asked in asked {
        let got = asked.await.expect("the caller lives").expect("an answer");
        assert_eq!(got.status, 200, "{got:?}");
    }
    let counts = plain.counts();
    assert_eq!(counts.runs_by_key.len(), REQUESTS);
    assert!(counts.runs_by_key.values().all(|runs| *runs == 1));
    assert_eq!(cluster.nodes[leader].ended().await, Some(0));
    plain.shutdown().await;
}

/// A key that must not run twice, with little time.
fn hasty(host: SocketAddr, prompt: &str) -> RequestBuilder {
    once(completion(host, prompt, TOKENS), "swap-9").header("x-deadline-ms", "5000")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_ran_is_not_told_to_be_not_run() {
    const PROMPT: &str = "confirm swap 9";
    let cluster = Cluster::start(ONE_PLACE).await;
    let engines = vec![cluster.engine("e1", ONE_PLACE[0], STEP).await];
    cluster.knows_endpoints(&[0], 1).await;
    let host = cluster.nodes[0].callers();
    let first = tokio::spawn(got(hasty(host, PROMPT)));
    until("it runs", async || {
        (runs(&engines, PROMPT) == 1).then_some(())
    })
    .await;
    engines[0].inject(&Fault::Die);
    let first = first.await.expect("the caller lives").expect("an answer");
    assert!(
        ["failed", "unknown"].contains(&first.class().as_str()),
        "{first:?}"
    );
    let hosts = [cluster.nodes[0].operators()];
    until("the engine's death is noticed", async || {
        let status = status(&hosts).await?;
        (status["endpoints"][0]["condition"] == "gone").then_some(())
    })
    .await;
    // No endpoint is left that could take it; that says nothing of the earlier run.
    let again = got(hasty(host, PROMPT)).await.expect("an answer");
    assert!(
        ["failed", "unknown"].contains(&again.class().as_str()),
        "{again:?}"
    );
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_host_and_engine_died_is_settled() {
    const PROMPT: &str = "confirm swap 9";
    let mut cluster = Cluster::start(ONE_PLACE).await;
    let engines = vec![
        cluster.engine("e1", ONE_PLACE[0], STEP).await,
        cluster.engine("e2", ONE_PLACE[0], STEP).await,
    ];
    cluster.knows_endpoints(&[0, 1], 2).await;
    let lost = tokio::spawn(got(hasty(cluster.nodes[0].callers(), PROMPT)));
    let taken = until("it runs", async || {
        engines.iter().find(|engine| engine.counts().running == 1)
    })
    .await;
    taken.inject(&Fault::Die);
    cluster.nodes[0].kill();
    let _ = lost.await.expect("the caller lives");
    let second = cluster.nodes[1].callers();
    let again = until("the key's fate is settled", async || {
        let again = got(hasty(second, PROMPT)).await?;
        let is_open = again.class() == "not_run" || again.code() == "key_running";
        (!is_open).then_some(again)
    })
    .await;
    let found = (again.class(), again.code());
    let expected = ("unknown".to_owned(), "key_unknown".to_owned());
    assert_eq!(found, expected, "{again:?}");
    assert_eq!(runs(&engines, PROMPT), 1);
    shutdown(engines).await;
}
