//! Randomised schedules: faults of all kinds for a while, then healing and progress.

use kumquatdrum_consensus::{Member, Rules};
use rand_core::Rng;

use super::{CALM, Cluster, Faults};

const ACTIONS: u64 = 120;
const MAX_BURST: u64 = 16;
const MAX_PAUSE_MILLIS: u64 = 500;
const HEALING_MILLIS: u64 = 120_000;

/// What a schedule came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Report {
    pub steps: u64,
    pub elections: u64,
    pub committed: u64,
    pub crashes: u64,
    pub wipes: u64,
    pub changes: u64,
}

impl Report {
    pub fn add(&mut self, other: Self) {
        self.steps += other.steps;
        self.elections += other.elections;
        self.committed += other.committed;
        self.crashes += other.crashes;
        self.wipes += other.wipes;
        self.changes += other.changes;
    }
}

/// Runs the schedule of a seed; panics where safety or progress is violated.
pub fn run(seed: u64) -> Report {
    let (hosts, initial) = [(3, 3), (5, 3), (5, 5), (4, 3)][(seed % 4) as usize];
    let mut cluster = Cluster::new(seed, hosts, initial, Rules::default());
    let mut report = Report::default();
    cluster.run_until(20_000, |c| c.leader().is_some());
    for _ in 0..ACTIONS {
        act(&mut cluster, &mut report);
        let pause = cluster.random.next_u64() % MAX_PAUSE_MILLIS;
        cluster.run_for(pause);
    }
    cluster.heal();
    let whole = cluster.run_until(HEALING_MILLIS, |c| c.leader().is_some() && c.is_whole());
    assert!(whole, "not repaired: {}", statuses(&cluster));
    assert!(cluster.commit(), "no progress: {}", statuses(&cluster));
    let caught_up = cluster.run_until(20_000, Cluster::is_whole);
    assert!(caught_up, "a voter lags: {}", statuses(&cluster));
    report.steps = cluster.steps;
    report.elections = cluster.checker.elections;
    report.committed = cluster.checker.last_applied().0;
    report
}

/// One line a host, for the message of a failure.
fn statuses(cluster: &Cluster) -> String {
    let names = |members: &[Member]| members.iter().map(|m| m.id.to_string()).collect::<Vec<_>>();
    let line = |number: usize| {
        let Some(status) = cluster.status(number) else {
            return format!("\n{number}: down");
        };
        format!(
            "\n{} {:?} term {} commit {} applied {} last {} voters {:?} outgoing {:?} learners {:?}",
            status.id,
            status.role,
            status.term,
            status.commit,
            status.applied,
            status.last,
            names(&status.replicas.voters),
            names(&status.replicas.outgoing),
            names(&status.replicas.learners),
        )
    };
    (0..cluster.hosts.len()).map(line).collect()
}

fn act(cluster: &mut Cluster, report: &mut Report) {
    cluster.observe();
    let count = cluster.hosts.len() as u64;
    let any = (cluster.random.next_u64() % count) as usize;
    let leader = cluster.leader().unwrap_or(any);
    match cluster.random.next_u64() % 100 {
        0..42 => {
            let burst = cluster.random.next_u64() % MAX_BURST;
            let target = if burst == 0 { any } else { leader };
            for _ in 0..=burst {
                cluster.propose(target);
            }
        }
        42..52 => {
            let target = if cluster.random.next_u64().is_multiple_of(3) {
                any
            } else {
                leader
            };
            cluster.read(target);
        }
        52..58 => {
            cluster.crash(if any.is_multiple_of(2) { leader } else { any });
            report.crashes += 1;
        }
        58..72 => cluster.start(any),
        72..75 => cluster.isolate(leader),
        75..78 => {
            cluster.cut.insert((any, leader));
        }
        78..80 => {
            cluster.paused.insert(leader);
        }
        80..83 => resume(cluster),
        83 => cluster.resign(leader),
        84..86 => cluster.cut.clear(),
        86..89 => cluster.faults = CALM,
        89..92 => cluster.faults = bad_weather(cluster),
        92..96 if may_wipe(cluster, any) => {
            cluster.wipe(any);
            cluster.start(any);
            report.wipes += 1;
        }
        96..98 => {
            cluster.hosts[any].disk_fails = true;
        }
        98..100 => {
            let voters = some_hosts(cluster);
            cluster.change(leader, &voters);
            report.changes += 1;
        }
        _ => {}
    }
}

/// Processes go on where they stood; the first thing they get is a read.
fn resume(cluster: &mut Cluster) {
    for number in std::mem::take(&mut cluster.paused) {
        cluster.read(number);
    }
}

fn bad_weather(cluster: &mut Cluster) -> Faults {
    Faults {
        loss_percent: cluster.random.next_u64() % 30,
        duplicate_percent: cluster.random.next_u64() % 30,
        delay_micros: 1 + cluster.random.next_u64() % 400_000,
        sync_micros: 1 + cluster.random.next_u64() % 100_000,
    }
}

/// Three hosts, whichever.
fn some_hosts(cluster: &mut Cluster) -> Vec<usize> {
    let count = cluster.hosts.len();
    let start = (cluster.random.next_u64() % count as u64) as usize;
    (0..3).map(|offset| (start + offset) % count).collect()
}

/// A disk may be lost only while a majority of the voters' disks stays, as no system survives
/// more. While a change is under way no further loss is provoked.
fn may_wipe(cluster: &mut Cluster, victim: usize) -> bool {
    let Some(voters) = cluster.settled_voters() else {
        return false;
    };
    let id = &cluster.hosts[victim].member.id;
    let lost = voters
        .iter()
        .filter(|v| cluster.host_of(v).is_none() || *v == id);
    lost.count() <= (voters.len() - 1) / 2 && !voters.is_empty()
}
