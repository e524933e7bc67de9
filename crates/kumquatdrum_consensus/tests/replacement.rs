//! Series of losses of control hosts, within the tolerance: lost voters are replaced in time.
//!
//! `REPLACEMENT_SEEDS=0..2000 cargo test --package kumquatdrum_consensus --test replacement` runs more seeds.

mod common;

use std::ops::Range;

use common::fleet::{Fleet, Stage};
use kumquatdrum_consensus::ReplicaId;
use rand_core::Rng;

/// The time that a lost host, or its successor, has to catch up.
const CATCH_UP_MILLIS: u64 = 4_000;
/// The time in which a setup is read back after the loss of all hosts.
const RECOVERY_MILLIS: u64 = 6_000;
const LOSSES: usize = 8;
const STEP_MILLIS: u64 = 100;
/// The steps in which a change of the voters may begin.
const MAX_STEPS_TO_STAGE: usize = 30;
const STAGES: [Stage; 4] = [
    Stage::LearnerAppended,
    Stage::LearnerCommitted,
    Stage::JointAppended,
    Stage::Leaving,
];

/// How a host is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Its process ends and starts again.
    Crash,
    /// It stands still.
    Pause,
    /// It starts again with an empty disk.
    Wipe,
    /// It is gone, and another host takes its place.
    Replace,
}

/// A host that is lost, or was lost and is still catching up.
#[derive(Debug)]
struct Lost {
    kind: Kind,
    replica: ReplicaId,
    host: usize,
    /// Milliseconds until the host or its successor is back; after that until it no longer counts.
    back_in: u64,
    counts_for: u64,
}

struct Series {
    fleet: Fleet,
    seed: u64,
    tolerated: usize,
    lost: Vec<Lost>,
    gone: Vec<usize>,
    events: Vec<String>,
}

impl Series {
    fn random(&mut self, range: Range<u64>) -> u64 {
        range.start + self.fleet.cluster.random.next_u64() % (range.end - range.start)
    }

    fn is_lost(&self, number: usize) -> bool {
        self.gone.contains(&number) || self.lost.iter().any(|lost| lost.host == number)
    }

    /// Waits until no more hosts are lost than may be, and a little longer, or until a change of the voters
    /// has come to a step. Returns the leader in the latter case.
    fn wait(&mut self, at_once: usize) -> Option<usize> {
        while self.lost.len() >= at_once {
            self.step();
        }
        if self.random(0..2) == 0 {
            let stage = STAGES[self.random(0..STAGES.len() as u64) as usize];
            return self.wait_for_stage(stage);
        }
        // Many losses come together, or right after an earlier one has been caught up with.
        let pause = self.random(0..20).saturating_sub(8);
        (0..pause).for_each(|_| self.step());
        None
    }

    fn wait_for_stage(&mut self, stage: Stage) -> Option<usize> {
        for _ in 0..MAX_STEPS_TO_STAGE {
            if let Some(leader) = self.fleet.run_until_stage(stage, STEP_MILLIS) {
                self.count_down();
                return Some(leader).filter(|leader| !self.is_lost(*leader));
            }
            self.count_down();
        }
        None
    }

    /// Loses the leader of a change that has come to a step, or another host, a voter if possible.
    fn lose_one(&mut self, changing: Option<usize>) {
        let count = self.fleet.cluster.hosts.len();
        let sound: Vec<usize> = (0..count).filter(|n| !self.is_lost(*n)).collect();
        let voters = self.fleet.voters();
        let is_voter = |n: &usize| voters.contains(&self.fleet.cluster.hosts[*n].member.id);
        let mut candidates: Vec<usize> = sound.iter().copied().filter(is_voter).collect();
        if candidates.is_empty() {
            candidates = sound;
        }
        let leader = self.fleet.cluster.leader().filter(|n| !self.is_lost(*n));
        let any = candidates[self.random(0..candidates.len() as u64) as usize];
        let host = match (changing, leader) {
            (Some(changing), _) => changing,
            (None, Some(leader)) if self.random(0..2) == 0 => leader,
            _ => any,
        };
        let kinds = [Kind::Crash, Kind::Pause, Kind::Wipe, Kind::Replace];
        let kind = kinds[self.random(0..4) as usize];
        let replica = self.fleet.cluster.hosts[host].member.id.clone();
        let now = self.fleet.cluster.now.micros / 1_000;
        let back_in = self.random(3..25) * STEP_MILLIS;
        let is_leader = leader == Some(host);
        self.events.push(format!(
            "{now}: {kind:?} of {replica}, leader {is_leader}, back in {back_in}"
        ));
        let cluster = &mut self.fleet.cluster;
        match kind {
            Kind::Crash => cluster.crash(host),
            Kind::Pause => {
                cluster.paused.insert(host);
            }
            Kind::Wipe => cluster.wipe(host),
            Kind::Replace => {
                cluster.crash(host);
                self.gone.push(host);
            }
        }
        let host = match kind {
            Kind::Replace => cluster.add_host(format!("host-{count}")),
            _ => host,
        };
        self.lost.push(Lost {
            kind,
            replica,
            host,
            back_in,
            counts_for: CATCH_UP_MILLIS,
        });
    }

    fn step(&mut self) {
        self.fleet.run_for(STEP_MILLIS);
        self.count_down();
    }

    /// Records that a step has passed, and checks that hosts which have caught up left no lost voter behind.
    fn count_down(&mut self) {
        for lost in &mut self.lost {
            match lost {
                lost if lost.back_in == 0 => lost.counts_for -= STEP_MILLIS,
                lost => {
                    lost.back_in -= STEP_MILLIS;
                    if lost.back_in == 0 {
                        self.fleet.cluster.paused.remove(&lost.host);
                        self.fleet.cluster.start(lost.host);
                    }
                }
            }
        }
        let voters = self.fleet.voters();
        for lost in self.lost.iter().filter(|lost| lost.counts_for == 0) {
            let has_disk = matches!(lost.kind, Kind::Crash | Kind::Pause);
            assert!(
                has_disk || !voters.contains(&lost.replica),
                "seed {}: {} still votes\n{}",
                self.seed,
                lost.replica,
                self.events.join("\n")
            );
        }
        self.lost.retain(|lost| lost.counts_for > 0);
    }

    /// Loses all hosts, and the disks of the leader and of as many others as are tolerated.
    fn lose_all(&mut self) {
        let running: Vec<usize> = (0..self.fleet.cluster.hosts.len())
            .filter(|number| !self.gone.contains(number))
            .collect();
        let voters = self.fleet.voters();
        let leader = self.fleet.cluster.leader();
        let mut victims: Vec<usize> = leader.into_iter().collect();
        let is_voter = |number: &&usize| {
            let id = &self.fleet.cluster.hosts[**number].member.id;
            Some(**number) != leader && voters.contains(id)
        };
        victims.extend(running.iter().filter(is_voter));
        victims.truncate(self.tolerated);
        for number in &running {
            if victims.contains(number) {
                self.fleet.cluster.wipe(*number);
            } else {
                self.fleet.cluster.crash(*number);
            }
        }
        self.fleet.run_for(500);
        for number in running {
            self.fleet.cluster.start(number);
        }
    }
}

/// Plays a series of losses and, after it, the loss of all hosts.
fn play(seed: u64, hosts: usize, tolerated: usize, at_once: usize) {
    let mut series = Series {
        fleet: Fleet::formed(seed, hosts, tolerated),
        seed,
        tolerated,
        lost: Vec::new(),
        gone: Vec::new(),
        events: Vec::new(),
    };
    for _ in 0..LOSSES {
        let changing = series.wait(at_once);
        series.lose_one(changing);
    }
    while !series.lost.is_empty() {
        series.step();
    }
    series.lose_all();
    series.fleet.run_for(RECOVERY_MILLIS);
    let leader = series.fleet.cluster.leader();
    let events = series.events.join("\n");
    let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader\n{events}"));
    let read = series.fleet.cluster.read(leader);
    series.fleet.run_for(500);
    let outcome = series.fleet.cluster.reads[&read];
    assert_eq!(outcome, Some(true), "seed {seed}: not read\n{events}");
}

fn seeds() -> Range<u64> {
    match std::env::var("REPLACEMENT_SEEDS") {
        Ok(text) => {
            let (first, end) = text.split_once("..").expect("FIRST..END");
            first.parse().expect("a seed")..end.parse().expect("a seed")
        }
        Err(_) => 0..20,
    }
}

/// Guards against losses that add up as voters are replaced too late.
#[test]
fn three_hosts_tolerate_a_series_of_losses() {
    seeds().for_each(|seed| play(seed, 3, 1, 1));
}

/// Guards against losses that add up as voters are replaced too late.
#[test]
fn five_hosts_tolerate_a_series_of_single_losses() {
    seeds().for_each(|seed| play(seed, 5, 2, 1));
}

/// Guards against losses that add up as two lost voters are replaced too late.
#[test]
fn five_hosts_tolerate_a_series_of_losses_of_two() {
    seeds().for_each(|seed| play(seed, 5, 2, 2));
}

/// Guards against losses that add up as two lost voters are replaced too late.
#[test]
fn eight_hosts_tolerate_a_series_of_losses_of_two() {
    seeds().for_each(|seed| play(seed, 8, 2, 2));
}
