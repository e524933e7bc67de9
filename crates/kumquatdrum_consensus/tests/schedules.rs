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
