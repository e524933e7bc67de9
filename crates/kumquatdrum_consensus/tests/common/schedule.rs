//! Randomised schedules: a phase of faults, after which the cluster must recover.

use std::collections::BTreeSet;

use kumquatdrum_consensus::{Member, Safeguards};
use rand_core::Rng;

use super::{Cluster, Faults, NO_FAULTS};

const ACTION_COUNT: u64 = 120;
const MAX_BURST_PROPOSALS: u64 = 16;
const MAX_PAUSE_MILLIS: u64 = 500;
const RECOVERY_TIMEOUT_MILLIS: u64 = 120_000;

/// The event counts of one or more schedules.
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

/// Runs the schedule of a seed; panics on a violation of safety or progress.
pub fn run(seed: u64) -> Report {
    run_with_changes(seed, 0)
}

/// Runs a schedule in which a share of the actions is followed by further requests for other voters, which
/// take each other's places. Some name replicas whose disks are gone.
pub fn run_with_changes(seed: u64, change_percent: u64) -> Report {
    let (hosts, initial_count) = [(3, 3), (5, 3), (5, 5), (4, 3)][(seed % 4) as usize];
    let mut cluster = Cluster::new(seed, hosts, initial_count, Safeguards::default());
    let mut report = Report::default();
    let mut former = BTreeSet::new();
    cluster.run_until(20_000, |c| c.leader().is_some());
    for _ in 0..ACTION_COUNT {
        run_random_action(&mut cluster, &mut report);
        former.extend(cluster.hosts.iter().map(|host| host.member.clone()));
        if change_percent > 0 && cluster.random.next_u64() % 100 < change_percent {
            request_changes(&mut cluster, &former, &mut report);
        }
        let pause = cluster.random.next_u64() % MAX_PAUSE_MILLIS;
        cluster.run_for(pause);
    }
    cluster.heal();
    // A change may begin with a replica whose disk was lost after it had caught up, which is beyond what
    // two or three voters bear.
    if change_percent > 0 && !has_majority_of_disks(&cluster) {
        println!("seed {seed}: no majority of the voters' disks is left");
        return report;
    }
    let is_repaired = cluster.run_until(RECOVERY_TIMEOUT_MILLIS, |c| {
        c.leader().is_some() && c.is_fully_replicated()
    });
    assert!(is_repaired, "not repaired: {}", describe_hosts(&cluster));
    assert!(
        cluster.commit(),
        "no progress: {}",
        describe_hosts(&cluster)
    );
    let has_caught_up = cluster.run_until(20_000, Cluster::is_fully_replicated);
    assert!(has_caught_up, "a voter lags: {}", describe_hosts(&cluster));
    report.steps = cluster.steps;
    report.elections = cluster.checker.elections;
    report.committed = cluster.checker.last_applied().0;
    report
}

/// Describes the status of each host on one line, for failure messages.
fn describe_hosts(cluster: &Cluster) -> String {
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
            status.last_index,
            names(&status.replicas.voters),
            names(&status.replicas.outgoing),
            names(&status.replicas.learners),
        )
    };
    (0..cluster.hosts.len()).map(line).collect()
}

fn run_random_action(cluster: &mut Cluster, report: &mut Report) {
    cluster.observe();
    let count = cluster.hosts.len() as u64;
    let any = (cluster.random.next_u64() % count) as usize;
    let leader = cluster.leader().unwrap_or(any);
    match cluster.random.next_u64() % 100 {
        0..42 => {
            let burst = cluster.random.next_u64() % MAX_BURST_PROPOSALS;
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
            cluster.cut_links.insert((any, leader));
        }
        78..80 => {
            cluster.paused.insert(leader);
        }
        80..83 => resume(cluster),
        83 => cluster.transfer_leadership(leader),
        84..86 => cluster.cut_links.clear(),
        86..89 => cluster.faults = NO_FAULTS,
        89..92 => cluster.faults = random_faults(cluster),
        92..96 if can_wipe(cluster, any) => {
            cluster.wipe(any);
            cluster.start(any);
            report.wipes += 1;
        }
        96..98 => {
            cluster.hosts[any].has_failing_disk = true;
        }
        98..100 => {
            let voters = choose_voters(cluster);
            cluster.change(leader, &voters);
            report.changes += 1;
        }
        _ => {}
    }
}

/// Resumes all paused processes, each with a read as its first input.
fn resume(cluster: &mut Cluster) {
    for number in std::mem::take(&mut cluster.paused) {
        cluster.read(number);
    }
}

fn random_faults(cluster: &mut Cluster) -> Faults {
    Faults {
        loss_percent: cluster.random.next_u64() % 30,
        duplicate_percent: cluster.random.next_u64() % 30,
        delay_micros: 1 + cluster.random.next_u64() % 400_000,
        sync_micros: 1 + cluster.random.next_u64() % 100_000,
    }
}

/// Returns whether a majority of the disks of the voters is left, of each set of voters on a running host.
fn has_majority_of_disks(cluster: &Cluster) -> bool {
    let statuses = (0..cluster.hosts.len()).filter_map(|number| cluster.status(number));
    let mut replicas = statuses.map(|status| status.replicas);
    replicas.all(|replicas| {
        let has_formed = !replicas.voters.is_empty();
        !has_formed || replicas.is_majority(|id| cluster.host_of(id).is_some())
    })
}

/// Requests up to three changes in a row, each of random voters, with short pauses.
fn request_changes(cluster: &mut Cluster, former: &BTreeSet<Member>, report: &mut Report) {
    for _ in 0..=cluster.random.next_u64() % 3 {
        let Some(leader) = cluster.leader() else {
            return;
        };
        let hosts = choose_voters(cluster);
        let hosts = hosts.iter().map(|number| &cluster.hosts[*number].member);
        let mut voters: Vec<Member> = hosts.cloned().collect();
        if cluster.random.next_u64().is_multiple_of(8) {
            let place = cluster.random.next_u64() as usize % former.len();
            let former = former.iter().nth(place).cloned();
            let former = former.filter(|former| voters.iter().all(|v| v.id.host != former.id.host));
            voters.extend(former);
        }
        let kept = 1 + cluster.random.next_u64() as usize % voters.len();
        voters.truncate(kept.max(2));
        cluster.change_to(leader, voters);
        report.changes += 1;
        let pause = cluster.random.next_u64() % 20;
        cluster.run_for(pause);
    }
}

/// Chooses three hosts at random.
fn choose_voters(cluster: &mut Cluster) -> Vec<usize> {
    let count = cluster.hosts.len();
    let start = (cluster.random.next_u64() % count as u64) as usize;
    (0..3).map(|offset| (start + offset) % count).collect()
}

/// Returns whether a disk may be lost: a majority of the voters' disks must remain, and no
/// replica change may be in progress.
fn can_wipe(cluster: &mut Cluster, victim: usize) -> bool {
    let Some(voters) = cluster.committed_voters() else {
        return false;
    };
    let id = &cluster.hosts[victim].member.id;
    let lost = voters
        .iter()
        .filter(|v| cluster.host_of(v).is_none() || *v == id);
    lost.count() <= (voters.len() - 1) / 2 && !voters.is_empty()
}
