//! Faults of links, disks and processes within the tolerance, alone and together with the loss of all hosts in
//! the middle of a change: a majority of the voters' disks remains, and a leader is elected.
//!
//! Hosts hear of each other as in the gateway: over links that may be cut, from the addresses that they know,
//! those of the replicas in their logs included.
//! `TOLERANCE_SEEDS=0..2000 cargo test --release --package kumquatdrum_consensus --test tolerance` runs more seeds.

mod common;

use std::collections::BTreeSet;
use std::ops::Range;

use common::fleet::Fleet;
use kumquatdrum_consensus::ReplicaId;
use rand_core::Rng;

const CATCH_UP_MILLIS: u64 = 4_000;
const RECOVERY_MILLIS: u64 = 10_000;
const STEP_MILLIS: u64 = 100;
const EVENTS: usize = 14;
const SLOW_DISK_MICROS: u64 = 1_200_000;

/// What happens to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Crash,
    Pause,
    /// It starts again with an empty disk.
    Wipe,
    /// It is gone, and another host takes its place.
    Replace,
    /// It is gone once its successor has caught up, after it has announced for a while that it stops.
    ReplaceLate,
    /// It is cut off from all others.
    Isolate,
    /// It hears others, and they don't hear it.
    Mute,
    /// Others hear it, and it doesn't hear them.
    Deaf,
    /// It loses its link to another host.
    CutLink,
    /// Its disk refuses writes.
    FailingDisk,
    /// Its disk takes long for each write.
    SlowDisk,
}

#[derive(Debug, Clone, Copy)]
struct Plan {
    hosts: usize,
    tolerated: usize,
    kinds: &'static [Kind],
    /// Whether all hosts are killed in the middle, with their disks kept.
    kills_all: bool,
    /// Whether hosts are split in halves for some time.
    splits: bool,
    delay_micros: u64,
    sync_micros: u64,
    loss_percent: u64,
}

const PROCESSES: &[Kind] = &[Kind::Crash, Kind::Pause, Kind::Wipe, Kind::Replace];
const LINKS: &[Kind] = &[
    Kind::Wipe,
    Kind::Replace,
    Kind::Isolate,
    Kind::Mute,
    Kind::Deaf,
    Kind::CutLink,
];
const DISKS: &[Kind] = &[Kind::Wipe, Kind::Replace, Kind::FailingDisk, Kind::SlowDisk];

const REMOVALS: &[Kind] = &[Kind::Crash, Kind::ReplaceLate];

const CALM: Plan = Plan {
    hosts: 6,
    tolerated: 2,
    kinds: PROCESSES,
    kills_all: false,
    splits: false,
    delay_micros: 2_000,
    sync_micros: 3_000,
    loss_percent: 0,
};

#[derive(Debug)]
struct Lost {
    kind: Kind,
    host: usize,
    links: BTreeSet<(usize, usize)>,
    back_in: u64,
    counts_for: u64,
}

struct Day {
    fleet: Fleet,
    plan: Plan,
    seed: u64,
    lost: Vec<Lost>,
    events: Vec<String>,
}

impl Day {
    fn random(&mut self, range: Range<u64>) -> u64 {
        range.start + self.fleet.cluster.random.next_u64() % (range.end - range.start)
    }

    fn describe(&self, problem: &str) -> String {
        let count = self.fleet.cluster.hosts.len();
        let statuses = (0..count).filter_map(|number| {
            let status = self.fleet.cluster.status(number)?;
            let ids = |members: &[kumquatdrum_consensus::Member]| {
                let ids: Vec<String> = members.iter().map(|m| m.id.host.to_string()).collect();
                ids.join(",")
            };
            Some(format!(
                "{} {:?} term {} commit {} last {} voters {} outgoing {} learners {}",
                status.id,
                status.role,
                status.term,
                status.commit,
                status.last_index,
                ids(&status.replicas.voters),
                ids(&status.replicas.outgoing),
                ids(&status.replicas.learners),
            ))
        });
        let statuses: Vec<String> = statuses.collect();
        let (now, events) = (self.now(), self.events.join("\n"));
        let statuses = statuses.join("\n");
        format!(
            "seed {} at {now}: {problem}\n{events}\n{statuses}",
            self.seed
        )
    }

    fn now(&self) -> u64 {
        self.fleet.cluster.now.micros / 1_000
    }

    fn is_lost(&self, number: usize) -> bool {
        self.fleet.gone.contains(&number) || self.lost.iter().any(|lost| lost.host == number)
    }

    /// Returns the voters whose disks are gone, and those on hosts that are lost.
    fn missing_voters(&self) -> Vec<ReplicaId> {
        let is_away = |number: usize| {
            let mut away = self.lost.iter().filter(|lost| lost.back_in > 0);
            away.any(|lost| lost.host == number)
        };
        let is_there = |id: &ReplicaId| {
            let host = self.fleet.cluster.host_of(id);
            host.is_some_and(|number| !self.fleet.gone.contains(&number) && !is_away(number))
        };
        let voters = self.fleet.voters().into_iter();
        voters.filter(|id| !is_there(id)).collect()
    }

    fn step(&mut self) {
        self.fleet.run_for(STEP_MILLIS);
        let mut ended = Vec::new();
        for lost in &mut self.lost {
            if lost.back_in > 0 {
                lost.back_in -= STEP_MILLIS;
                if lost.back_in == 0 {
                    ended.push((lost.host, lost.links.clone()));
                }
            } else {
                lost.counts_for -= STEP_MILLIS;
            }
        }
        for (host, links) in ended {
            self.bring_back(host, &links);
        }
        self.lost.retain(|lost| lost.counts_for > 0);
        let missing = self.missing_voters();
        let problem = format!("more voters are missing than hosts are lost: {missing:?}");
        assert!(
            missing.len() <= self.lost.len(),
            "{}",
            self.describe(&problem)
        );
    }

    fn bring_back(&mut self, host: usize, links: &BTreeSet<(usize, usize)>) {
        let cluster = &mut self.fleet.cluster;
        cluster.paused.remove(&host);
        cluster.slow_disks.remove(&host);
        cluster.hosts[host].has_failing_disk = false;
        cluster.cut_links.retain(|link| !links.contains(link));
        cluster.start(host);
    }

    fn choose_host(&mut self) -> Option<usize> {
        let count = self.fleet.cluster.hosts.len();
        let sound: Vec<usize> = (0..count).filter(|n| !self.is_lost(*n)).collect();
        let leader = self.fleet.cluster.leader().filter(|n| !self.is_lost(*n));
        if let Some(leader) = leader
            && self.random(0..3) == 0
        {
            return Some(leader);
        }
        let voters = self.fleet.voters();
        let prefers_voters = self.random(0..4) > 0;
        let id = |n: &usize| &self.fleet.cluster.hosts[*n].member.id;
        let mut candidates: Vec<usize> = sound.clone();
        if prefers_voters {
            candidates.retain(|n| voters.contains(id(n)));
        }
        let place = self.random(0..candidates.len().max(1) as u64) as usize;
        candidates.get(place).copied()
    }

    fn lose_one(&mut self) {
        let Some(host) = self.choose_host() else {
            return;
        };
        let kinds = self.plan.kinds;
        let kind = kinds[self.random(0..kinds.len() as u64) as usize];
        let replica = self.fleet.cluster.hosts[host].member.id.clone();
        let back_in = self.random(3..30) * STEP_MILLIS;
        let is_leader = self.fleet.cluster.leader() == Some(host);
        let now = self.now();
        self.events.push(format!(
            "{now}: {kind:?} of {replica}, leader {is_leader}, back in {back_in}"
        ));
        let count = self.fleet.cluster.hosts.len();
        let other = self.random(0..count as u64) as usize;
        let others = (0..count).filter(|other| *other != host);
        let links: BTreeSet<(usize, usize)> = match kind {
            Kind::Isolate => others.flat_map(|n| [(n, host), (host, n)]).collect(),
            Kind::Mute => others.map(|n| (host, n)).collect(),
            Kind::Deaf => others.map(|n| (n, host)).collect(),
            Kind::CutLink => [(host, other), (other, host)].into(),
            _ => BTreeSet::new(),
        };
        let cluster = &mut self.fleet.cluster;
        cluster.cut_links.extend(&links);
        let mut counted = host;
        match kind {
            Kind::Crash => cluster.crash(host),
            Kind::Wipe => cluster.wipe(host),
            Kind::Pause => {
                cluster.paused.insert(host);
            }
            Kind::FailingDisk => cluster.hosts[host].has_failing_disk = true,
            Kind::SlowDisk => {
                cluster.slow_disks.insert(host, SLOW_DISK_MICROS);
            }
            Kind::Replace => {
                cluster.crash(host);
                self.fleet.gone.insert(host);
                counted = cluster.add_host(format!("host-{count}"));
            }
            Kind::ReplaceLate => {
                let successor = cluster.add_host(format!("host-{count}"));
                cluster.start(successor);
                return self.remove_late(host);
            }
            Kind::Isolate | Kind::Mute | Kind::Deaf | Kind::CutLink => {}
        }
        self.lost.push(Lost {
            kind,
            host: counted,
            links,
            back_in,
            counts_for: CATCH_UP_MILLIS,
        });
    }

    /// Removes a host whose successor has caught up: from then on it doesn't count, whether it votes or not.
    fn remove_late(&mut self, host: usize) {
        for _ in 0..CATCH_UP_MILLIS / STEP_MILLIS {
            self.step();
        }
        self.fleet.stopping.insert(host);
        if self.fleet.cluster.leader() == Some(host) {
            self.fleet.cluster.transfer_leadership(host);
        }
        for _ in 0..20 {
            self.step();
        }
        self.fleet.cluster.crash(host);
        self.fleet.gone.insert(host);
    }

    /// Kills all hosts, and wipes as many disks of voters as are tolerated beside those that are lost.
    fn kill_all(&mut self, is_final: bool) {
        let count = self.fleet.cluster.hosts.len();
        let running: Vec<usize> = (0..count)
            .filter(|n| !self.fleet.gone.contains(n))
            .collect();
        let lost = self.lost.iter().filter(|lost| {
            let is_empty = matches!(lost.kind, Kind::Wipe | Kind::Replace);
            is_empty || lost.kind == Kind::SlowDisk || lost.kind == Kind::FailingDisk
        });
        let left = self.plan.tolerated.saturating_sub(lost.count());
        let wipes = if is_final { left } else { 0 };
        let voters = self.fleet.voters();
        let is_voter = |n: &usize| voters.contains(&self.fleet.cluster.hosts[*n].member.id);
        let mut victims: Vec<usize> = running.clone();
        victims.retain(|n| !self.is_lost(*n) && is_voter(n));
        let first = self.random(0..victims.len().max(1) as u64) as usize;
        victims.rotate_left(first);
        victims.truncate(wipes);
        let now = self.now();
        self.events
            .push(format!("{now}: all killed, wiped: {victims:?}"));
        let cluster = &mut self.fleet.cluster;
        for number in &running {
            if victims.contains(number) {
                cluster.wipe(*number);
            } else {
                cluster.crash(*number);
            }
        }
        let links = cluster.cut_links.clone();
        self.fleet.run_for(800);
        for number in running {
            self.bring_back(number, &links);
        }
        for lost in &mut self.lost {
            (lost.back_in, lost.counts_for) = (0, CATCH_UP_MILLIS);
        }
    }

    /// Cuts the hosts into halves for some seconds.
    fn split(&mut self) {
        let count = self.fleet.cluster.hosts.len();
        let side: Vec<bool> = (0..count).map(|_| self.random(0..2) == 0).collect();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        let cut: BTreeSet<(usize, usize)> = links
            .filter(|(from, to)| side[*from] != side[*to])
            .collect();
        let millis = self.random(5..40) * STEP_MILLIS;
        let now = self.now();
        self.events
            .push(format!("{now}: split {side:?} for {millis}"));
        let before = self.fleet.cluster.cut_links.clone();
        self.fleet.cluster.cut_links.extend(cut);
        for _ in 0..millis / STEP_MILLIS {
            self.fleet.run_for(STEP_MILLIS);
        }
        self.fleet.cluster.cut_links = before;
        for _ in 0..CATCH_UP_MILLIS / STEP_MILLIS {
            self.fleet.run_for(STEP_MILLIS);
        }
    }

    fn check_recovery(&mut self) {
        self.fleet.run_for(RECOVERY_MILLIS);
        let Some(leader) = self.fleet.cluster.leader() else {
            panic!("{}", self.describe("no leader"));
        };
        let read = self.fleet.cluster.read(leader);
        self.fleet.run_for(1_000);
        let outcome = self.fleet.cluster.reads[&read];
        assert_eq!(outcome, Some(true), "{}", self.describe("not read"));
    }
}

fn play(seed: u64, plan: Plan) {
    let mut fleet = Fleet::formed(seed, plan.hosts, plan.tolerated);
    fleet.is_strict = true;
    fleet.cluster.faults.delay_micros = plan.delay_micros;
    fleet.cluster.faults.sync_micros = plan.sync_micros;
    fleet.cluster.faults.loss_percent = plan.loss_percent;
    let mut day = Day {
        fleet,
        plan,
        seed,
        lost: Vec::new(),
        events: Vec::new(),
    };
    for _ in 0..EVENTS {
        while day.lost.len() >= plan.tolerated {
            day.step();
        }
        let pause = day.random(0..20).saturating_sub(8);
        (0..pause).for_each(|_| day.step());
        match day.random(0..8) {
            0 if plan.kills_all => day.kill_all(false),
            1 if plan.splits && day.lost.is_empty() => day.split(),
            _ => day.lose_one(),
        }
    }
    let pause = day.random(0..60);
    (0..pause).for_each(|_| day.step());
    day.kill_all(true);
    day.check_recovery();
}

/// Plays all seeds, and reports those that fail.
fn play_all(plan: Plan) {
    let seeds = match std::env::var("TOLERANCE_SEEDS") {
        Ok(text) => {
            let (first, end) = text.split_once("..").expect("FIRST..END");
            first.parse().expect("a seed")..end.parse().expect("a seed")
        }
        Err(_) => 0..10,
    };
    let failed = seeds.filter(|seed| std::panic::catch_unwind(|| play(*seed, plan)).is_err());
    let failed: Vec<u64> = failed.collect();
    assert!(failed.is_empty(), "failing seeds: {failed:?}");
}

macro_rules! days {
    ($($(#[$doc:meta])* $name:ident: $plan:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { play_all($plan); })*
    };
}

days! {
    /// Guards against losses that add up where hosts know only some addresses.
    six_hosts_bear_losses_of_two: CALM;
    /// Guards against a change that a loss of all hosts leaves half done.
    six_hosts_bear_the_loss_of_all_in_a_change: Plan { kills_all: true, ..CALM };
    three_hosts_bear_the_loss_of_all_in_a_change: Plan { hosts: 3, tolerated: 1, kills_all: true, ..CALM };
    four_hosts_bear_single_losses: Plan { hosts: 4, tolerated: 1, kills_all: true, ..CALM };
    five_hosts_bear_losses_of_two: Plan { hosts: 5, kills_all: true, ..CALM };
    seven_hosts_bear_losses_of_three: Plan { hosts: 7, tolerated: 3, kills_all: true, ..CALM };
    ten_hosts_bear_losses_of_three: Plan { hosts: 10, tolerated: 3, kills_all: true, ..CALM };
    /// Guards against links that fail in one direction.
    six_hosts_bear_cut_links: Plan { kinds: LINKS, kills_all: true, ..CALM };
    five_hosts_bear_cut_links: Plan { hosts: 5, kinds: LINKS, kills_all: true, ..CALM };
    /// Guards against disks that refuse writes or are slow.
    six_hosts_bear_failing_disks: Plan { kinds: DISKS, ..CALM };
    eight_hosts_bear_failing_disks: Plan { hosts: 8, kinds: DISKS, ..CALM };
    eight_hosts_bear_splits: Plan { hosts: 8, splits: true, ..CALM };
    six_hosts_bear_splits: Plan { hosts: 6, splits: true, kills_all: true, ..CALM };
    /// Guards against a host that stops, after its successor has caught up, and is still a voter.
    six_hosts_bear_planned_removals: Plan { kinds: REMOVALS, ..CALM };
    /// Guards against voters that are taken for lost on slow networks.
    six_hosts_bear_losses_on_a_slow_network: Plan { delay_micros: 50_000, sync_micros: 30_000, ..CALM };
    six_hosts_bear_losses_of_messages: Plan { loss_percent: 8, delay_micros: 20_000, ..CALM };
}
