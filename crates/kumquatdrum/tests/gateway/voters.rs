//! What the logs of control hosts tell about the replicas, and an operator that reads a setup back.

use std::ops::RangeInclusive;
use std::time::Duration;

use reqwest::{Method, StatusCode};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::cluster::Cluster;

/// The time for which a lost control host counts as lost after it or its successor is back.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// The time between the end of a process and its next start.
pub const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// The time after a final fault in which an acknowledged setup is read back.
pub const READ_LIMIT: Duration = Duration::from_secs(6);
/// The time for which the setup is read after that.
const STABLE: Duration = Duration::from_secs(3);
/// The time after which an operator asks the next control host.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of the first additions of voters.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The events that tell the state of a replica.
const EVENTS: [&str; 9] = [
    "started",
    "became_leader",
    "stepped_down",
    "voters_change",
    "voters_change_ended",
    "replicas_appended",
    "campaign",
    "vote",
    "disk_opened",
];

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> Option<&'a str> {
    let mut words = line.split_ascii_whitespace();
    words.find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Returns the lines of all logs with the given event, with their hosts.
fn lines(cluster: &Cluster, event: &str) -> Vec<(usize, String)> {
    let hosts = 0..cluster.hosts();
    let lines = hosts.flat_map(|host| {
        let log = cluster.read_log(host);
        let lines = log
            .lines()
            .filter(|line| value(line, "event") == Some(event));
        lines
            .map(|line| (host, line.to_owned()))
            .collect::<Vec<_>>()
    });
    lines.collect()
}

fn number(line: &str, key: &str) -> Option<u64> {
    value(line, key)?.parse().ok()
}

/// Returns the host that became the leader of the newest term.
pub fn leader(cluster: &Cluster) -> usize {
    let lines = lines(cluster, "became_leader");
    let newest = lines.iter().max_by_key(|(_, line)| number(line, "term"));
    newest.expect("a leader").0
}

/// Returns the hosts of the voters, as the last change of the replicas in any log names them.
pub fn voters(cluster: &Cluster) -> Vec<usize> {
    let lines = lines(cluster, "replicas_appended");
    let newest = lines.iter().max_by_key(|(_, line)| number(line, "index"));
    let voters = newest.and_then(|(_, line)| value(line, "voters"));
    let voters = voters.unwrap_or_default().trim_matches('"').split(',');
    let hosts = voters.filter_map(|voter| {
        let (address, _) = voter.split_once('/')?;
        let (_, host) = address.rsplit_once('.')?;
        host.parse::<usize>().ok()
    });
    hosts.map(|host| host - 1).collect()
}

/// Waits until the log has the given number of voters.
pub async fn wait_for_voters(cluster: &Cluster, count: usize) {
    let until = Instant::now() + START_LIMIT;
    loop {
        let ended = lines(cluster, "voters_change_ended");
        let is_committed = |(_, line): &(usize, String)| line.contains("outcome=committed");
        if voters(cluster).len() == count && ended.iter().any(is_committed) {
            return;
        }
        assert!(Instant::now() < until, "{}", replica_lines(cluster));
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the lines of all logs that tell the state of the replicas.
pub fn replica_lines(cluster: &Cluster) -> String {
    let lines = EVENTS.iter().flat_map(|event| lines(cluster, event));
    let mut lines: Vec<(String, usize)> = lines.map(|(host, line)| (line, host)).collect();
    lines.sort_by(|(line, _), (other, _)| value(line, "time").cmp(&value(other, "time")));
    let lines = lines
        .iter()
        .map(|(line, host)| format!("host {host}: {line}\n"));
    lines.collect()
}

/// Kills all hosts, empties the data folders of some, and starts all that ran again after a pause.
pub async fn kill_all(cluster: &mut Cluster, emptied: &[usize]) {
    let hosts: Vec<usize> = (0..cluster.hosts())
        .filter(|host| cluster.is_running(*host))
        .collect();
    for host in &hosts {
        cluster.signal(*host, "-KILL");
    }
    for host in &hosts {
        cluster.kill(*host);
    }
    for host in emptied {
        std::fs::remove_dir_all(cluster.data_path(*host)).expect("the data folder is removed");
    }
    sleep(RESTART_PAUSE).await;
    for host in &hosts {
        cluster.start_host(*host, false);
    }
}

/// Reads the setup from one control host after the other. Returns what was seen if no setup comes in
/// time, or one that is not of the given revisions, then or later.
pub async fn read_back(
    cluster: &Cluster,
    hosts: &[usize],
    revisions: RangeInclusive<u64>,
) -> Result<Duration, String> {
    let started = Instant::now();
    let mut readings = Vec::new();
    let mut read_after = None;
    let mut hosts = hosts.iter().cycle();
    loop {
        let host = *hosts.next().expect("a control host");
        let asked = started.elapsed();
        let answer = read(cluster, host).await;
        let answered = started.elapsed();
        readings.push(format!(
            "host {host} asked at {asked:?}, answered at {answered:?}: {answer:?}\n"
        ));
        let failure = match (answer, read_after) {
            (Some((_, Some(revision))), _) if !revisions.contains(&revision) => Some(format!(
                "revision {revision} was read, not one of {revisions:?}"
            )),
            (Some((_, Some(_))), None) if answered <= READ_LIMIT => {
                read_after = Some(answered);
                None
            }
            (_, None) if answered > READ_LIMIT => {
                Some(format!("none of {revisions:?} was read in {READ_LIMIT:?}"))
            }
            (_, Some(read_after)) if answered > read_after + STABLE => return Ok(read_after),
            _ => None,
        };
        if let Some(failure) = failure {
            return Err(format!("{failure}\n{}", readings.concat()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the status of a reading and the revision that was read, or `None` if no answer came in time.
async fn read(cluster: &Cluster, host: usize) -> Option<(StatusCode, Option<u64>)> {
    let request = cluster.control_request(host, Method::GET, "/-/Config.Get");
    let answer = request.timeout(ANSWER_TIMEOUT).send().await.ok()?;
    let status = answer.status();
    let text = answer.text().await.ok()?;
    let setup = serde_json::from_str::<Value>(&text).ok();
    let revision = setup.and_then(|setup| setup["version"].as_u64());
    Some((status, revision.filter(|_| status == StatusCode::OK)))
}
