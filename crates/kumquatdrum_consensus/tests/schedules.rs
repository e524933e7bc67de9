//! Randomised schedules of loss, delay, duplication, reordering, crashes, lost disks and replica
//! changes, by fixed seeds.

mod common;

use common::schedule::{self, Report};

const SEEDS: u64 = 200;
/// Seeds beyond those that failed once: a change whose last step only the removed leader had, and
/// a process that stood still and learnt of its election in a later term.
const FOUND: [u64; 2] = [37_442, 190_401];
const THREADS: u64 = 4;

fn run_share(thread: u64) -> Report {
    let mut total = Report::default();
    for seed in (0..SEEDS)
        .chain(FOUND)
        .filter(|seed| seed % THREADS == thread)
    {
        println!("seed {seed}");
        total.add(schedule::run(seed));
    }
    total
}

/// Safety is checked at every step, progress after healing. The counts show that the schedules
/// contain what they are meant to contain.
#[test]
fn safety_holds_and_progress_returns() {
    let mut total = Report::default();
    std::thread::scope(|scope| {
        let shares: Vec<_> = (0..THREADS)
            .map(|t| scope.spawn(move || run_share(t)))
            .collect();
        for share in shares {
            total.add(share.join().expect("a schedule failed"));
        }
    });
    assert!(total.elections > SEEDS);
    assert!(total.committed > 20 * SEEDS);
    assert!(total.crashes > 5 * SEEDS);
    assert!(total.wipes > SEEDS);
    assert!(total.changes > SEEDS);
}
