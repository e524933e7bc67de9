//! The declaration survives crashes, lost disks and partitions of control hosts.

mod support;

use std::fs;
use std::time::Duration;

use kumquatdrum_testing::Engine;
use support::{
    Cluster, Node, ONE_DATA_CENTRE, OPERATORS, THREE_DATA_CENTRES, apply, completion, count_runs,
    declaration, expected_answer, not_idempotent, operate, read_declaration, send, shutdown,
    status, wait_for,
};

const TOKENS: u32 = 5;

/// Waits until a version is in force on each of the given hosts.
async fn wait_until_in_force(cluster: &Cluster, nodes: &[usize], version: u64) {
    for &node in nodes {
        let hosts = [cluster.nodes[node].operators()];
        wait_for("the version is in force", async || {
            let status = status(&hosts).await?;
            (status["version"] == version).then_some(())
        })
        .await;
    }
}

/// Waits until a host returns a confirmed declaration, and checks that it never returns a version
/// below `floor`.
async fn wait_until_confirmed(cluster: &Cluster, node: usize, floor: u64) -> (u64, String) {
    let hosts = [cluster.nodes[node].operators()];
    wait_for("a confirmed read-back", async || {
        let (version, text, is_confirmed) = read_declaration(&hosts).await?;
        assert!(
            version >= floor,
            "host {node} went back to version {version}"
        );
        is_confirmed.then_some((version, text))
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_version_outlives_a_crash_of_all_hosts() {
    let mut cluster = Cluster::start(THREE_DATA_CENTRES).await;
    let hosts = cluster.hosts();
    let (first, second) = (declaration(1), declaration(2));
    let file = cluster.write_file("second.json", &second);
    let applied = apply(&hosts, OPERATORS[1], 1, &file).await;
    assert_eq!(applied.code, 0, "{applied:?}");
    for node in &mut cluster.nodes {
        node.kill();
    }
    for node in &mut cluster.nodes {
        node.start();
    }
    cluster.wait_until_listening().await;
    for node in 0..cluster.nodes.len() {
        let (version, text) = wait_until_confirmed(&cluster, node, 2).await;
        assert_eq!((version, text.as_str()), (2, second.as_str()));
    }
    cluster.wait_until_ready().await;

    let file = cluster.folder.path().join("first.json");
    let again = apply(&hosts, OPERATORS[0], 0, &file).await;
    assert_eq!(again.code, 0, "{again:?}");
    assert!(again.stdout.contains("accepted as version 1"), "{again:?}");
    let old = operate(&hosts, OPERATORS[0], &["show", "--version", "1"]).await;
    assert_eq!((old.code, old.stdout), (0, first));
    assert_eq!(wait_until_confirmed(&cluster, 0, 2).await, (2, second));
    let audit = operate(&hosts, OPERATORS[0], &["audit"]).await;
    assert_eq!(audit.code, 0, "{audit:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_that_lost_its_disk_votes_again() {
    check_lost_disk(None).await;
}

/// Guards against a host that never starts again, as its process was killed while it created its data file.
#[tokio::test(flavor = "multi_thread")]
async fn a_control_host_with_an_unfinished_data_file_votes_again() {
    check_lost_disk(Some(&[0; 4096])).await;
}

/// Loses the disk of a control host, which comes back with the given data file, and then another host.
async fn check_lost_disk(left: Option<&[u8]>) {
    let mut cluster = Cluster::start(THREE_DATA_CENTRES).await;
    let hosts = cluster.hosts();
    cluster.nodes[2].kill();
    fs::remove_dir_all(&cluster.nodes[2].data).expect("the data folder is removed");
    if let Some(contents) = left {
        fs::create_dir_all(&cluster.nodes[2].data).expect("the data folder");
        let file = cluster.nodes[2].data.join(kumquatdrum_disk::FILE_NAME);
        fs::write(file, contents).expect("the data file");
    }
    cluster.nodes[2].start();
    cluster.wait_until_listening().await;
    let second = cluster.write_file("second.json", &declaration(2));
    wait_for("a change is accepted", async || {
        (apply(&hosts, OPERATORS[0], 1, &second).await.code == 0).then_some(())
    })
    .await;
    // Asks the host itself, as the others may still list its previous replica as the voter.
    let wiped = [cluster.nodes[2].operators()];
    wait_for("the new replica votes", async || {
        let status = status(&wiped).await?;
        let nodes = status["hosts"].as_array()?;
        let node = nodes.iter().find(|node| node["host"] == "host-2")?;
        (node["replica"] == "voter").then_some(())
    })
    .await;
    wait_until_in_force(&cluster, &[0, 1, 2], 2).await;

    // Loses a second host right after the repair.
    cluster.nodes[0].kill();
    let rest = hosts[1..].to_vec();
    let third = cluster.write_file("third.json", &declaration(3));
    wait_for("a change is accepted by the two", async || {
        (apply(&rest, OPERATORS[0], 2, &third).await.code == 0).then_some(())
    })
    .await;
    for node in [1, 2] {
        assert_eq!(
            wait_until_confirmed(&cluster, node, 2).await,
            (3, declaration(3))
        );
    }
    let old = operate(&rest, OPERATORS[0], &["show", "--version", "1"]).await;
    assert_eq!((old.code, old.stdout), (0, declaration(1)));
    let audit = operate(&rest, OPERATORS[0], &["audit"]).await;
    assert_eq!(audit.code, 0, "{audit:?}");
}

/// Starts a cluster with one engine, in the first data centre.
async fn start_with_engine() -> (Cluster, Vec<Engine>) {
    let cluster = Cluster::start(THREE_DATA_CENTRES).await;
    let engine = cluster.start_engine("e1", THREE_DATA_CENTRES[0], Duration::from_millis(1));
    let engines = vec![engine.await];
    cluster.wait_for_endpoints(&[0], 1).await;
    (cluster, engines)
}

/// Isolates the first host by freezing the others.
async fn freeze_others(cluster: &Cluster) {
    for other in &cluster.nodes[1..] {
        other.freeze().await;
    }
}

fn thaw_others(cluster: &Cluster) {
    cluster.nodes[1..].iter().for_each(Node::thaw);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_data_centre_serves_requests_but_accepts_no_declaration() {
    let (cluster, engines) = start_with_engine().await;
    let (hosts, isolated) = (cluster.hosts(), [cluster.nodes[0].operators()]);
    let callers = cluster.nodes[0].callers();
    let second = cluster.write_file("second.json", &declaration(2));
    freeze_others(&cluster).await;

    let served = send(completion(callers, "shade 1", TOKENS)).await;
    let served = served.expect("an answer");
    assert_eq!(
        served.text(),
        Some(expected_answer("shade 1", TOKENS)),
        "{served:?}"
    );
    let (version, text, is_confirmed) = read_declaration(&isolated).await.expect("a read-back");
    assert_eq!((version, text, is_confirmed), (1, declaration(1), false));
    let not_accepted = apply(&isolated, OPERATORS[0], 1, &second).await;
    assert_eq!(not_accepted.code, 3, "{not_accepted:?}");

    thaw_others(&cluster);
    wait_for("the same apply is accepted", async || {
        (apply(&hosts, OPERATORS[0], 1, &second).await.code == 0).then_some(())
    })
    .await;
    for node in 0..cluster.nodes.len() {
        assert_eq!(
            wait_until_confirmed(&cluster, node, 1).await,
            (2, declaration(2))
        );
    }
    wait_until_in_force(&cluster, &[0, 1, 2], 2).await;
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_no_majority_can_claim_is_refused_long_before_its_deadline() {
    let (cluster, engines) = start_with_engine().await;
    let callers = cluster.nodes[0].callers();
    // Longer than the client's own timeout.
    let keyed = || {
        not_idempotent(completion(callers, "confirm 1", TOKENS), "confirm-1")
            .header("x-deadline-ms", "120000")
    };
    freeze_others(&cluster).await;
    let refused = send(keyed()).await.expect("an answer");
    let found = (refused.class(), refused.code());
    let expected = ("not_run".to_owned(), "claim_unavailable".to_owned());
    assert_eq!(found, expected, "{refused:?}");
    assert_eq!(count_runs(&engines, "confirm 1"), 0);

    thaw_others(&cluster);
    // A late claim may still be committed; until it is released, the outcome of the key is open.
    let again = wait_for("the key's request is served", async || {
        let again = send(keyed()).await?;
        let is_open = again.class() == "not_run" || again.code() == "key_running";
        (!is_open).then_some(again)
    })
    .await;
    assert_eq!(
        again.text(),
        Some(expected_answer("confirm 1", TOKENS)),
        "{again:?}"
    );
    assert_eq!(count_runs(&engines, "confirm 1"), 1);
    shutdown(engines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_operators_with_equal_bases_one_wins() {
    let cluster = Cluster::start(ONE_DATA_CENTRE).await;
    let hosts = cluster.hosts();
    let files = [2, 3].map(|number| {
        let name = format!("{number}.json");
        cluster.write_file(&name, &declaration(number))
    });
    let (one, other) = tokio::join!(
        apply(&hosts[..1], OPERATORS[0], 1, &files[0]),
        apply(&hosts[1..2], OPERATORS[1], 1, &files[1]),
    );
    let mut codes = [one.code, other.code];
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "{one:?} {other:?}");
    let (winner, loser) = if one.code == 0 { (2, other) } else { (3, one) };
    assert!(
        loser.stdout.contains("conflict: the current version is 2"),
        "{loser:?}"
    );
    assert_eq!(
        wait_until_confirmed(&cluster, 2, 1).await,
        (2, declaration(winner))
    );
}
