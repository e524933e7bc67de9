//! What hosts know of each other while control hosts and data centres fail, played by seeds in virtual time.
//!
//! Guards against messages that grow with hosts times control hosts, against live hosts that count as lost
//! because their contacts fail, and against lost ones that are noticed late.

mod fleet;
mod news;

use self::fleet::{Fleet, SLOW_MS, Size};

/// The time within which each host knows that another one is lost, see docs/design/fan-out.md.
const LOST_KNOWN_MS: u64 = 4_000;
/// The same for a host that is back, or a control host without the majority.
const BACK_KNOWN_MS: u64 = 4_000;

const SMALL: Size = Size {
    entry: 100,
    control: 25,
};

/// Plays the failures of one seed, and returns the longest times until all knew of lost hosts, and of a
/// data centre that is back.
fn play_failures(size: Size, seed: u64) -> (u64, u64) {
    // In every other play some messages are slow: a listing of a control host, then one of a contact.
    let slow_one_in = if seed.is_multiple_of(2) { 0 } else { 500 };
    let slow_ms = 2 * SLOW_MS * (seed % 2);
    let mut fleet = Fleet::start(size, seed, slow_one_in);
    fleet.run_until(4_000);
    fleet.expect_all_live("start");
    // Two control hosts and an entry host at once, of which one control host is a contact of many.
    let lost = [
        fleet.control(seed % 25),
        fleet.control((seed + 7) % 25),
        fleet.entry(seed),
    ];
    for host in lost {
        fleet.kill(host);
    }
    let lost_ms = fleet.run_until_known(LOST_KNOWN_MS + slow_ms);
    fleet.expect_all_live("lost hosts");
    for host in lost {
        fleet.restart(host);
    }
    fleet.run_for(BACK_KNOWN_MS + slow_ms);
    fleet.expect_all_live("restarted hosts");
    // A data centre is cut off.
    fleet.cut(seed % 5);
    fleet.run_for(LOST_KNOWN_MS + slow_ms);
    fleet.expect_majority_except_in(seed % 5);
    fleet.join();
    let back_ms = fleet.run_until_known(BACK_KNOWN_MS + slow_ms);
    fleet.expect_all_live("the cut data centre");
    fleet.expect_majority_except_in(u64::MAX);
    (lost_ms, back_ms)
}

#[test]
fn failures_of_control_hosts_and_data_centres_are_known_in_time_and_lose_no_other_host() {
    for seed in 0..2 {
        let (lost_ms, back_ms) = play_failures(SMALL, seed);
        println!("seed {seed}: lost hosts known after {lost_ms} ms, back {back_ms} ms");
    }
}

/// The same with a thousand hosts and more seeds: `MEMBERSHIP_SEEDS=0..200`, with `--release`.
#[test]
#[ignore = "takes minutes"]
fn failures_among_a_thousand_hosts_are_known_in_time_and_lose_no_other_host() {
    let seeds = std::env::var("MEMBERSHIP_SEEDS").unwrap_or_else(|_| "0..2".to_owned());
    let (first, end) = seeds.split_once("..").expect("a range of seeds");
    let (first, end): (u64, u64) = (first.parse().expect("a seed"), end.parse().expect("a seed"));
    let size = Size {
        entry: 984,
        control: 25,
    };
    let (mut lost_ms, mut back_ms) = (Vec::new(), Vec::new());
    for seed in first..end {
        let (lost, back) = play_failures(size, seed);
        println!("seed {seed}: lost hosts known after {lost} ms, back {back} ms");
        lost_ms.push(lost);
        back_ms.push(back);
    }
    lost_ms.sort_unstable();
    back_ms.sort_unstable();
    let summary = |times: &[u64]| (times[times.len() / 2], times.last().copied());
    println!(
        "lost: {:?}, back: {:?} (median, worst)",
        summary(&lost_ms),
        summary(&back_ms)
    );
}

#[test]
fn what_a_host_and_a_control_host_exchange_does_not_grow_with_hosts_times_control_hosts() {
    let rates = |entry, control| {
        let mut fleet = Fleet::start(Size { entry, control }, 1, 500);
        fleet.run_until(5_000);
        fleet.count_from_now();
        fleet.run_for(10_000);
        let counts = fleet.counts();
        println!("{entry} + {control}: {counts:?}");
        counts
    };
    let few = rates(60, 5);
    let many = rates(300, 25);
    // 60 hosts for five control hosts, and as many for each five of 25.
    assert!(many.sent_by_entry <= few.sent_by_entry * 1.3 && many.contacts <= 3.5);
    assert!(many.received_from_entry <= few.received_from_entry * 1.3);
    // A listing without changes names the sender alone, of 325 hosts.
    assert!(many.listed <= 3.0 && few.listed <= 3.0);
}
