//! Runs randomised schedules of faults, lost disks and replica changes with fixed seeds.

mod common;

use common::schedule::{self, Report};

const SEED_COUNT: u64 = 200;
/// Seeds of regressions: a change whose last step only the removed leader has, and a paused process
/// that learns of its election in a later term.
const REGRESSION_SEEDS: [u64; 2] = [37_442, 190_401];
const THREAD_COUNT: u64 = 4;

fn run_share(thread: u64) -> Report {
    let mut total = Report::default();
    for seed in (0..SEED_COUNT)
        .chain(REGRESSION_SEEDS)
        .filter(|seed| seed % THREAD_COUNT == thread)
    {
        println!("seed {seed}");
        total.add(schedule::run(seed));
    }
    total
}

/// Safety holds at every step, progress returns after recovery, and each kind of event occurs.
#[test]
fn safety_holds_and_progress_returns() {
    let mut total = Report::default();
    std::thread::scope(|scope| {
        let shares: Vec<_> = (0..THREAD_COUNT)
            .map(|t| scope.spawn(move || run_share(t)))
            .collect();
        for share in shares {
            total.add(share.join().expect("a schedule failed"));
        }
    });
    assert!(total.elections > SEED_COUNT);
    assert!(total.committed > 20 * SEED_COUNT);
    assert!(total.crashes > 5 * SEED_COUNT);
    assert!(total.wipes > SEED_COUNT);
    assert!(total.changes > SEED_COUNT);
}

/// Guards against requests for other voters that take each other's places and lose an entry, or make two
/// leaders.
#[test]
fn safety_holds_while_requested_changes_replace_each_other() {
    let count = match std::env::var("CHANGE_SEEDS") {
        Ok(text) => text.parse().expect("a number of seeds"),
        Err(_) => SEED_COUNT,
    };
    std::thread::scope(|scope| {
        for thread in 0..THREAD_COUNT {
            scope.spawn(move || {
                for seed in (thread..count).step_by(THREAD_COUNT as usize) {
                    println!("seed {seed}");
                    schedule::run_with_changes(seed, 20);
                }
            });
        }
    });
}
