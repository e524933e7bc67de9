//! Requests whose host stops gracefully or crashes.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_testing::Fault;
use reqwest::RequestBuilder;
use support::{
    Cluster, ONE_DATA_CENTRE, completion, count_held, count_runs, expected_answer, not_idempotent,
    probe, reorder, send, shutdown, status, wait_for, wait_until_idle,
};

const STEP: Duration = Duration::from_millis(25);
const TOKENS: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_under_load_cuts_off_no_request() {
    const REQUESTS: usize = 60;
    let mut cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let engines = vec![
        cluster.start_engine("e1", ONE_DATA_CENTRE[0], STEP).await,
        cluster.start_engine("e2", ONE_DATA_CENTRE[0], STEP).await,
    ];
    cluster.wait_for_endpoints(&[0], 2).await;
    let host = cluster.nodes[0].callers();
    let request = move |number: usize| {
        let prompt = format!("shade {number}");
        async move { (send(completion(host, &prompt, TOKENS)).await, prompt) }
    };
    let mut requests: Vec<_> = (0..REQUESTS)
        .map(|number| tokio::spawn(request(number)))
        .collect();
    wait_for("all requests are in flight", async || {
        (count_held(&engines) as usize >= REQUESTS).then_some(())
    })
    .await;
    cluster.nodes[0].signal("-TERM");
    let health = format!("{}/health", cluster.nodes[0].platform());
    wait_for("the health check fails", async || {
        probe(&health).await.is_none().then_some(())
    })
    .await;
    // A request that the load balancer sends before it notices the failed health check.
    requests.push(tokio::spawn(request(REQUESTS)));
    for request in requests {
        let (answer, prompt) = request.await.expect("the caller finishes");
        let answer = answer.expect("an answer");
        assert_eq!(
            answer.text(),
            Some(expected_answer(&prompt, TOKENS)),
            "{answer:?}"
        );
    }
    assert_eq!(cluster.nodes[0].wait_for_exit().await, Some(0));
    wait_until_idle(&engines).await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_after_its_hosts_death_runs_once() {
    const PROMPT: &str = "confirm swap 7";
    let mut cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let engines = vec![
        cluster.start_engine("e1", ONE_DATA_CENTRE[0], STEP).await,
        cluster.start_engine("e2", ONE_DATA_CENTRE[0], STEP).await,
    ];
    let work = Duration::from_secs(2);
    let plain = cluster
        .start_plain_service("p1", ONE_DATA_CENTRE[0], work)
        .await;
    cluster.wait_for_endpoints(&[0, 1, 2], 3).await;
    let first = cluster.nodes[0].callers();
    // These requests run for longer than this test waits.
    let long = |prompt| completion(first, prompt, 4_000).header("x-deadline-ms", "120000");
    let lost = [
        tokio::spawn(send(not_idempotent(
            completion(first, PROMPT, TOKENS),
            "swap-7",
        ))),
        tokio::spawn(send(reorder(first, "order-7"))),
        tokio::spawn(send(long("a long history"))),
        tokio::spawn(send(long("another long history"))),
    ];
    wait_for("all four run", async || {
        let plain = plain.counts().running;
        (count_held(&engines) == 3 && plain == 1).then_some(())
    })
    .await;
    cluster.nodes[0].kill();
    for lost in lost {
        let _ = lost.await.expect("the caller finishes");
    }

    let second = cluster.nodes[1].callers();
    let again = wait_for("the key's request is answered or given up on", async || {
        let again = send(not_idempotent(completion(second, PROMPT, TOKENS), "swap-7")).await?;
        // If the killed host was the leader, claims fail until the next election.
        let has_no_leader = again.code() == "claim_unavailable" && again.class() == "not_run";
        let is_open = again.code() == "key_running" || has_no_leader;
        (!is_open).then_some(again)
    })
    .await;
    assert_eq!(
        again.text(),
        Some(expected_answer(PROMPT, TOKENS)),
        "{again:?}"
    );
    assert_eq!(count_runs(&engines, PROMPT), 1);

    let again = wait_for("the reorder's outcome is reported", async || {
        send(reorder(second, "order-7")).await
    })
    .await;
    assert_eq!(
        (again.status, again.class().as_str()),
        (409, "unknown"),
        "{again:?}"
    );
    assert_eq!(plain.counts().runs_by_key["order-7"], 1);

    // The other two have no key, so a surviving host cancels them.
    wait_until_idle(&engines).await;
    plain.shutdown().await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_again_after_a_crash_of_all_hosts_runs_once() {
    const PROMPT: &str = "confirm swap 8";
    let mut cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let engines = vec![cluster.start_engine("e1", ONE_DATA_CENTRE[0], STEP).await];
    let work = Duration::from_secs(2);
    let plain = cluster
        .start_plain_service("p1", ONE_DATA_CENTRE[0], work)
        .await;
    cluster.wait_for_endpoints(&[0], 2).await;
    let first = cluster.nodes[0].callers();
    let lost = [
        tokio::spawn(send(not_idempotent(
            completion(first, PROMPT, TOKENS),
            "swap-8",
        ))),
        tokio::spawn(send(reorder(first, "order-8"))),
    ];
    wait_for("both run", async || {
        (count_held(&engines) == 1 && plain.counts().running == 1).then_some(())
    })
    .await;
    for node in &mut cluster.nodes {
        node.kill();
    }
    for lost in lost {
        let _ = lost.await.expect("the caller finishes");
    }
    for node in &mut cluster.nodes {
        node.start();
    }
    cluster.wait_until_listening().await;
    cluster.wait_until_ready().await;

    // The key may be sent again after `not_run`, and its outcome is open while it runs.
    let third = cluster.nodes[2].callers();
    let again = wait_for("the key's request is answered", async || {
        let again = send(not_idempotent(completion(third, PROMPT, TOKENS), "swap-8")).await?;
        let is_open = again.class() == "not_run" || again.code() == "key_running";
        (!is_open).then_some(again)
    })
    .await;
    assert_eq!(
        again.text(),
        Some(expected_answer(PROMPT, TOKENS)),
        "{again:?}"
    );
    assert_eq!(count_runs(&engines, PROMPT), 1);
    let again = wait_for("the reorder's outcome is reported", async || {
        let again = send(reorder(third, "order-8")).await?;
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
async fn a_planned_stop_of_the_leader_fails_no_keyed_request_to_other_hosts() {
    const REQUESTS: usize = 40;
    let mut cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let plain = cluster
        .start_plain_service("p1", ONE_DATA_CENTRE[0], Duration::ZERO)
        .await;
    cluster.wait_for_endpoints(&[0, 1, 2], 1).await;
    let hosts = cluster.hosts();
    let leader = wait_for("a leader", async || {
        let status = status(&hosts).await?;
        let leader = status["leader"].as_str()?;
        cluster.nodes.iter().position(|node| node.name == leader)
    })
    .await;
    let others: Vec<_> = (0..3).filter(|node| *node != leader).collect();
    let mut requests = Vec::new();
    for number in 0..REQUESTS {
        if number == REQUESTS / 4 {
            cluster.nodes[leader].signal("-TERM");
        }
        let host = cluster.nodes[others[number % 2]].callers();
        let request = async move { send(reorder(host, &format!("order-{number}"))).await };
        requests.push(tokio::spawn(request));
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    for request in requests {
        let answer = request
            .await
            .expect("the caller finishes")
            .expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let counts = plain.counts();
    assert_eq!(counts.runs_by_key.len(), REQUESTS);
    assert!(counts.runs_by_key.values().all(|runs| *runs == 1));
    assert_eq!(cluster.nodes[leader].wait_for_exit().await, Some(0));
    plain.shutdown().await;
}

/// Returns a non-idempotent request with a key and a short deadline.
fn request_with_short_deadline(host: SocketAddr, prompt: &str) -> RequestBuilder {
    not_idempotent(completion(host, prompt, TOKENS), "swap-9").header("x-deadline-ms", "5000")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_request_ran_is_not_reported_as_not_run() {
    const PROMPT: &str = "confirm swap 9";
    let cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let engines = vec![cluster.start_engine("e1", ONE_DATA_CENTRE[0], STEP).await];
    cluster.wait_for_endpoints(&[0], 1).await;
    let host = cluster.nodes[0].callers();
    let first = tokio::spawn(send(request_with_short_deadline(host, PROMPT)));
    wait_for("the request runs", async || {
        (count_runs(&engines, PROMPT) == 1).then_some(())
    })
    .await;
    engines[0].inject(&Fault::Die);
    let first = first
        .await
        .expect("the caller finishes")
        .expect("an answer");
    assert!(
        ["failed", "unknown"].contains(&first.class().as_str()),
        "{first:?}"
    );
    let hosts = [cluster.nodes[0].operators()];
    wait_for("the engine's death is noticed", async || {
        let status = status(&hosts).await?;
        (status["endpoints"][0]["condition"] == "gone").then_some(())
    })
    .await;
    // No endpoint is left, which must not be reported as `not_run`: the request ran before.
    let again = send(request_with_short_deadline(host, PROMPT))
        .await
        .expect("an answer");
    assert!(
        ["failed", "unknown"].contains(&again.class().as_str()),
        "{again:?}"
    );
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_host_and_engine_died_is_reported_as_unknown() {
    const PROMPT: &str = "confirm swap 9";
    let mut cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let engines = vec![
        cluster.start_engine("e1", ONE_DATA_CENTRE[0], STEP).await,
        cluster.start_engine("e2", ONE_DATA_CENTRE[0], STEP).await,
    ];
    cluster.wait_for_endpoints(&[0, 1], 2).await;
    let lost = tokio::spawn(send(request_with_short_deadline(
        cluster.nodes[0].callers(),
        PROMPT,
    )));
    let engine = wait_for("the request runs", async || {
        engines.iter().find(|engine| engine.counts().running == 1)
    })
    .await;
    engine.inject(&Fault::Die);
    cluster.nodes[0].kill();
    let _ = lost.await.expect("the caller finishes");
    let second = cluster.nodes[1].callers();
    let again = wait_for("the key's outcome is decided", async || {
        let again = send(request_with_short_deadline(second, PROMPT)).await?;
        let is_open = again.class() == "not_run" || again.code() == "key_running";
        (!is_open).then_some(again)
    })
    .await;
    let found = (again.class(), again.code());
    let expected = ("unknown".to_owned(), "key_unknown".to_owned());
    assert_eq!(found, expected, "{again:?}");
    assert_eq!(count_runs(&engines, PROMPT), 1);
    shutdown(engines).await;
}
