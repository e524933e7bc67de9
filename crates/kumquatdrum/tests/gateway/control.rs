//! Operators and endpoints: what is acknowledged holds.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use crate::cluster::{CONTROL, Cluster, HOSTS, config, is_folder};
use crate::endpoint::{Endpoint, Manner};

#[tokio::test]
async fn the_highest_revision_is_read_back_byte_for_byte_at_every_host() {
    let cluster = Cluster::start(21);
    let newest = config(30);
    cluster.apply(&config(4)).await;
    cluster.apply(&newest).await;
    // Older and equal revisions are acknowledged, and change nothing.
    let mut other = config(30);
    other["routes"] = json!([]);
    cluster.apply(&config(4)).await;
    cluster.apply(&other).await;
    for host in 0..CONTROL {
        assert_eq!(cluster.read(host).await, newest.to_string());
    }
    let mut invalid = config(31);
    invalid["routes"][0]["service"] = json!("nobody");
    let answer = cluster
        .control(1, "/-/Config.Replace", Some(&invalid))
        .await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_REQUEST);
    // What is invalid is refused before its revision is looked at.
    invalid["version"] = json!(1);
    let answer = cluster
        .control(2, "/-/Config.Replace", Some(&invalid))
        .await;
    assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_REQUEST);
    assert_eq!(cluster.read(0).await, newest.to_string());
}

#[tokio::test]
async fn what_was_acknowledged_survives_whoever_acknowledged_it() {
    let mut cluster = Cluster::start(22);
    cluster.apply(&config(1)).await;
    for revision in 2..6 {
        let host = cluster.apply(&config(revision)).await;
        cluster.kill(host);
        let next = (host + 1) % CONTROL;
        assert_eq!(cluster.read(next).await, config(revision).to_string());
        cluster.start_host(host, false);
        assert_eq!(cluster.read(host).await, config(revision).to_string());
    }
}

#[tokio::test]
async fn a_host_that_lost_its_disk_catches_up_before_another_is_lost() {
    let mut cluster = Cluster::start(23);
    cluster.apply(&config(1)).await;
    let host = cluster.apply(&config(2)).await;
    cluster.kill(host);
    assert!(is_folder(&cluster.data(host)));
    std::fs::remove_dir_all(cluster.data(host)).expect("the disk is lost");
    cluster.start_host(host, false);
    assert_eq!(cluster.read(host).await, config(2).to_string());
    // The new replica votes in the place of the old one.
    sleep(Duration::from_secs(4)).await;
    let other = (host + 1) % CONTROL;
    cluster.kill(other);
    cluster.apply(&config(3)).await;
    assert_eq!(cluster.read(host).await, config(3).to_string());
}

/// With its text as it is, sent by the leader to each host and again by any control host that was
/// greeted meanwhile, this change moved four times its text.
#[tokio::test]
async fn a_change_of_many_routes_moves_less_than_its_text_to_all_hosts_together() {
    const ROUTES: usize = 1_200;
    let cluster = Cluster::start(25);
    cluster.apply(&config(1)).await;
    for host in 0..HOSTS {
        cluster.goes_by(host, 1).await;
    }
    let mut large = config(2);
    let route = large["routes"][0].clone();
    let routes = large["routes"].as_array_mut().expect("routes");
    routes.extend((0..ROUTES).map(|number| {
        let mut route = route.clone();
        route["name"] = json!(format!("route-{number}"));
        route["pathPrefix"] = json!(format!("/route-{number}/"));
        route
    }));
    let before = setup_bytes(&cluster).await;
    cluster.apply(&large).await;
    for host in 0..HOSTS {
        cluster.goes_by(host, 2).await;
    }
    let moved = setup_bytes(&cluster).await - before;
    let text = large.to_string().len() as u64;
    assert!(moved < text, "{moved} bytes were sent for a text of {text}");
}

/// Bytes of the log and of the setup's spread that all hosts have sent.
async fn setup_bytes(cluster: &Cluster) -> u64 {
    let mut sum = 0;
    for host in 0..HOSTS {
        for channel in ["consensus", "setup"] {
            let labels = format!("{{channel=\"{channel}\",direction=\"sent\"}}");
            let name = format!("kumquatdrum_gateway_peer_bytes_total{labels}");
            sum += cluster.meter(host, &name).await;
        }
    }
    sum
}

#[tokio::test]
async fn a_leaving_endpoint_gets_nothing_once_that_is_acknowledged() {
    let cluster = Cluster::start(24);
    cluster.apply(&config(1)).await;
    let leaving = Endpoint::start("i-1", Manner::Whole).await;
    let staying = Endpoint::start("i-2", Manner::Whole).await;
    cluster.announce(&leaving, "plain", "ready", 1).await;
    cluster.announce(&staying, "plain", "ready", 1).await;
    for host in [3, 4] {
        cluster.ready(host, &leaving).await;
        cluster.ready(host, &staying).await;
    }
    cluster.announce(&leaving, "plain", "draining", 2).await;
    // A late announcement changes nothing.
    cluster.announce(&leaving, "plain", "ready", 1).await;
    for attempt in 0..8 {
        let call = cluster.call(3 + attempt % 2, "/safe/x", &format!("at-{attempt}"));
        assert_eq!(
            call.send().await.expect("an answer").status(),
            StatusCode::OK
        );
    }
    assert_eq!((leaving.runs(), staying.runs()), (0, 8));
}

/// Endpoints announce themselves about once a second. Hosts that forgot them all knew one or two in the
/// first tenth of a second, packed short prompts on those, and refused long ones for want of room.
#[tokio::test]
async fn hosts_that_were_all_lost_at_once_know_who_is_there_before_anybody_announces_again() {
    let mut cluster = Cluster::start(26);
    cluster.apply(&config(1)).await;
    let stays = Endpoint::start("i-1", Manner::Whole).await;
    let leaves = Endpoint::start("i-2", Manner::Whole).await;
    cluster.announce(&stays, "plain", "ready", 1).await;
    cluster.announce(&leaves, "plain", "ready", 1).await;
    cluster.ready(3, &leaves).await;
    cluster.announce(&leaves, "plain", "draining", 2).await;
    for host in 0..CONTROL {
        cluster.keeps(host, &leaves).await;
    }
    for host in 0..HOSTS {
        cluster.kill(host);
    }
    for host in 0..HOSTS {
        cluster.start_host(host, false);
    }
    cluster.ready(3, &stays).await;
    for number in 0..6 {
        let attempt = format!("back-{number}");
        let answer = cluster.call(3, "/safe/x", &attempt).send().await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
    }
    assert_eq!((stays.runs(), leaves.runs()), (6, 0));
    let recalled = (0..CONTROL).filter(|host| cluster.logged(*host).contains("from=disk"));
    assert!(recalled.count() > 0, "nobody read its disk");
}

#[tokio::test]
async fn a_damaged_file_of_endpoints_is_told_and_does_no_harm() {
    let mut cluster = Cluster::start(27);
    cluster.apply(&config(1)).await;
    let endpoint = Endpoint::start("i-1", Manner::Whole).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.keeps(0, &endpoint).await;
    cluster.kill(0);
    std::fs::write(cluster.data(0).join("endpoints"), "no endpoints").expect("a file");
    cluster.start_host(0, false);
    assert_eq!(cluster.read(0).await, config(1).to_string());
    assert!(cluster.logged(0).contains("event=endpoints_not_recalled"));
    cluster.announce(&endpoint, "plain", "ready", 2).await;
}
