//! Runs randomised schedules over a range of seeds and prints their totals.
//!
//! `cargo bench -p kumquatdrum_consensus --bench schedules -- FIRST COUNT`

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

#[path = "../tests/common/mod.rs"]
mod common;

use common::schedule::{self, Report};

const DEFAULT_SEED_COUNT: u64 = 2_000;
const IDLE_SECONDS: u64 = 60;
const THREAD_COUNT: usize = 4;

/// Prints the messages and bytes per second that an idle replica sends at five heartbeats a second.
fn print_idle_traffic(hosts: usize) {
    let mut cluster = common::Cluster::formed(1, hosts, hosts);
    cluster.run_for(5_000);
    let (messages, bytes) = (cluster.messages_sent, cluster.bytes_sent);
    cluster.run_for(IDLE_SECONDS * 1_000);
    let rate_per_host = |total: u64| total as f64 / (IDLE_SECONDS * hosts as u64) as f64;
    println!(
        "idle replicas={hosts} messages_per_second_each={:.1} bytes_per_second_each={:.0}",
        rate_per_host(cluster.messages_sent - messages),
        rate_per_host(cluster.bytes_sent - bytes),
    );
}

fn main() {
    let numbers: Vec<u64> = std::env::args()
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let first = numbers.first().copied().unwrap_or(0);
    let count = numbers.get(1).copied().unwrap_or(DEFAULT_SEED_COUNT);
    let next = AtomicU64::new(first);
    let total = Mutex::new((Report::default(), Vec::new()));
    let started = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + count {
                        break;
                    }
                    let result = std::panic::catch_unwind(|| schedule::run(seed));
                    let mut total = total.lock().unwrap_or_else(PoisonError::into_inner);
                    match result {
                        Ok(report) => total.0.add(report),
                        Err(_) => total.1.push(seed),
                    }
                }
            });
        }
    });
    print_idle_traffic(3);
    print_idle_traffic(7);
    let (report, mut violations) = total.into_inner().unwrap_or_else(PoisonError::into_inner);
    violations.sort_unstable();
    println!(
        "seeds={count} first={first} violations={}",
        violations.len()
    );
    println!("violating_seeds={violations:?}");
    println!("{report:?}");
    println!(
        "seconds={:.1} threads={THREAD_COUNT}",
        started.elapsed().as_secs_f64()
    );
    assert!(violations.is_empty(), "safety or progress violated");
}
