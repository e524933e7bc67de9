//! Benchmark of the control plane over loopback, with all hosts in one process.
//!
//! `cargo bench -p kumquatdrum_host --bench control -- HOSTS DATA_CENTRES CLAIMERS WORKSPACES`
//!
//! Prints the time from an accepted apply until it is in force on all hosts, also after the leader's
//! death, the rate and latency of claims, and the cost of an idle host.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use kumquatdrum_host::Host;
use kumquatdrum_host::embedded::{self, Specification};
use kumquatdrum_peer::Channel;
use kumquatdrum_setup::{ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Digest};
use kumquatdrum_types::{AttemptId, HostId, IdempotencyKey, Version, WorkspaceName};

const APPLIES: u64 = 60;
const IDLE_TIME: Duration = Duration::from_secs(10);
const CLAIM_TIME: Duration = Duration::from_secs(5);

fn declaration(number: u64, workspaces: u64) -> String {
    let mut text = String::from(r#"{"workspaces": ["#);
    for workspace in 0..workspaces {
        let comma = if workspace == 0 { "" } else { "," };
        let limit = if workspace == 0 { number + 1 } else { 100 };
        let _ = write!(
            text,
            r#"{comma}{{"name": "w{workspace}", "keys": [{{"sha256": "{}"}}], "limits": {{"concurrency": {limit}}}}}"#,
            kumquatdrum_types::digest::hex(workspace.to_string().as_bytes())
        );
    }
    text + "]}"
}

fn quantile(sorted: &[Duration], fraction: f64) -> Duration {
    let last = sorted.len().saturating_sub(1);
    sorted[(last as f64 * fraction).round() as usize]
}

fn print_times(name: &str, mut times: Vec<Duration>) {
    times.sort();
    println!(
        "{name}: n {} median {:?} p99 {:?} max {:?}",
        times.len(),
        quantile(&times, 0.5),
        quantile(&times, 0.99),
        quantile(&times, 1.0)
    );
}

async fn apply(hosts: &[Host], base: u64, workspaces: u64) -> Duration {
    let request = ApplyRequest::new("bench", Version(base), declaration(base, workspaces));
    loop {
        let accepted = hosts[0].control().apply(request.clone()).await;
        let started = Instant::now();
        match accepted {
            Ok(ApplyAnswer::Accepted { version }) => {
                for host in hosts {
                    let mut in_force = host.in_force().subscribe();
                    let _ = in_force.wait_for(|known| *known >= version).await;
                }
                return started.elapsed();
            }
            Ok(other) => panic!("{other:?}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn find_leader(hosts: &[Host]) -> usize {
    loop {
        let leading = hosts
            .iter()
            .position(|host| host.metrics().leader.get() == 1);
        if let Some(leading) = leading {
            return leading;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks: f64 = fields[11..13]
        .iter()
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

fn resident_mib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) / 1024
}

fn sent_traffic(hosts: &[Host]) -> Vec<(&'static str, u64, u64)> {
    let sum = |channel: Channel| {
        let read = hosts.iter().map(|host| host.traffic().read(channel));
        let (messages, bytes) = read.fold((0, 0), |(messages, bytes), traffic| {
            (messages + traffic.messages_sent, bytes + traffic.bytes_sent)
        });
        (channel.name(), messages, bytes)
    };
    Channel::ALL.into_iter().map(sum).collect()
}

async fn measure_idle(hosts: &[Host]) {
    let (before, cpu_before) = (sent_traffic(hosts), cpu_seconds());
    tokio::time::sleep(IDLE_TIME).await;
    let share = (cpu_seconds() - cpu_before) / IDLE_TIME.as_secs_f64() / hosts.len() as f64;
    println!(
        "idle host: {:.2}% of a core, {:.1} MiB resident ({} MiB for all hosts)",
        100.0 * share,
        resident_mib() as f64 / hosts.len() as f64,
        resident_mib()
    );
    for ((name, messages, bytes), (_, old_messages, old_bytes)) in
        sent_traffic(hosts).into_iter().zip(before)
    {
        let host_seconds = IDLE_TIME.as_secs_f64() * hosts.len() as f64;
        println!(
            "  {name}: {:.1} messages/s {:.0} bytes/s sent per host",
            (messages - old_messages) as f64 / host_seconds,
            (bytes - old_bytes) as f64 / host_seconds
        );
    }
}

fn claim(host: &str, claimer: usize, number: u64) -> Claim {
    Claim {
        workspace: WorkspaceName::new(format!("w{}", claimer % 100)),
        key: IdempotencyKey::new(format!("{claimer}-{number}")),
        fingerprint: Digest::of(b"a request"),
        host: HostId::new(host),
        attempt: AttemptId::new(format!("a-{claimer}-{number}")),
        deadline_ms: 1_000,
        retain_ms: 1_000,
    }
}

async fn measure_claims(hosts: &[Host], claimers: usize) {
    let until = Instant::now() + CLAIM_TIME;
    let cpu_before = cpu_seconds();
    let tasks: Vec<_> = (0..claimers)
        .map(|claimer| {
            let control = Arc::clone(hosts[claimer % hosts.len()].control());
            tokio::spawn(async move {
                let mut times = Vec::new();
                for number in 0.. {
                    if Instant::now() >= until {
                        break;
                    }
                    let started = Instant::now();
                    let answers = control.claim(vec![claim("h", claimer, number)]).await;
                    if matches!(answers.as_deref(), Ok([ClaimAnswer::Granted])) {
                        times.push(started.elapsed());
                    }
                }
                times
            })
        })
        .collect();
    let mut times = Vec::new();
    for task in tasks {
        times.extend(task.await.unwrap_or_default());
    }
    let spent = cpu_seconds() - cpu_before;
    println!(
        "claims: {:.0}/s by {claimers} concurrent claimers, {:.0} us of CPU time per claim",
        times.len() as f64 / CLAIM_TIME.as_secs_f64(),
        1e6 * spent / times.len().max(1) as f64
    );
    print_times("claim latency", times);
}

#[tokio::main]
async fn main() {
    let arguments: Vec<usize> = std::env::args()
        .filter_map(|text| text.parse().ok())
        .collect();
    let count = arguments.first().copied().unwrap_or(9);
    let data_centres = arguments.get(1).copied().unwrap_or(3);
    let claimers = arguments.get(2).copied().unwrap_or(200);
    let workspaces = arguments.get(3).map_or(10, |count| *count as u64);
    let specs: Vec<Specification> = (0..count)
        .map(|number| {
            let data_centre = format!("dc-{}", number % data_centres);
            Specification::new(format!("host-{number:03}"), data_centre, number < 3)
        })
        .collect();
    let folder = std::env::temp_dir().join(format!("kumquatdrum-control-{}", std::process::id()));
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let mut hosts = embedded::start(&specs, &folder, &logger)
        .await
        .expect("the hosts start");
    println!("{count} hosts in {data_centres} data centres, 3 replicas, {workspaces} workspaces");
    apply(&hosts, 0, workspaces).await;
    measure_idle(&hosts).await;
    let before = sent_traffic(&hosts);
    let mut times = Vec::new();
    for base in 1..=APPLIES {
        times.push(apply(&hosts, base, workspaces).await);
    }
    print_times("accepted to in force everywhere", times);
    for ((name, messages, bytes), (_, old_messages, old_bytes)) in
        sent_traffic(&hosts).into_iter().zip(before)
    {
        println!(
            "  {name}: {:.1} messages {:.0} bytes per change, over all hosts",
            (messages - old_messages) as f64 / APPLIES as f64,
            (bytes - old_bytes) as f64 / APPLIES as f64
        );
    }
    measure_claims(&hosts, claimers).await;
    if count > 3 {
        let leading = find_leader(&hosts).await;
        let killed = hosts.remove(leading);
        killed.kill().await;
        let started = Instant::now();
        apply(&hosts, APPLIES + 1, workspaces).await;
        println!(
            "in force everywhere {:?} after the leader's death",
            started.elapsed()
        );
    }
    for host in hosts {
        host.kill().await;
    }
    let _ = std::fs::remove_dir_all(folder);
}
