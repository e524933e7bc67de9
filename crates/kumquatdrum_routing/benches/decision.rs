//! Measures the cost of one decision for several pool sizes: a submit that ends in a dispatch and
//! its progress, with load reports and cached prefixes.
//!
//! `cargo bench -p kumquatdrum_routing --bench decision`

use std::time::{Duration, Instant};

use kumquatdrum_routing::{
    BlockHash, CacheChange, CacheEvent, Output, Priority, Progress, Request, RequestKind, Router,
    Settings, Usage,
};
use kumquatdrum_types::endpoint::{Engine, Kind};
use kumquatdrum_types::{Announcement, BootId, EndpointId, Load, Moment};

const ENDPOINT_COUNTS: [usize; 3] = [25, 300, 7_600];
const DECISIONS: u64 = 20_000;
const RUNS: u64 = 5;
const OWNERS: usize = 9;
/// Requests in flight at any time.
const MAX_IN_FLIGHT: usize = 64;
/// One of this many requests is long; all others are short.
const LONG_REQUEST_INTERVAL: u64 = 50;

fn endpoint(index: usize) -> EndpointId {
    format!("engine-{index}").as_str().into()
}

fn announcement(index: usize, sequence: u64) -> Announcement {
    Announcement {
        endpoint: endpoint(index),
        boot: BootId(1),
        sequence,
        service: "formula-llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "hall".into(),
        kind: Kind::Engine(Engine {
            model: "formula".into(),
            memory_tokens: 400_000,
            batch_limit: 64,
            prefill_tokens_per_second: 20_000,
            load: Some(Load {
                sequence,
                prefill_tokens: (index as u64 * 7_919) % 4_000,
                ..Load::default()
            }),
        }),
        leaving: false,
    }
}

fn router(size: usize) -> Router {
    let owners = (0..OWNERS).map(|owner| format!("host-{owner}"));
    let mut router = Router::new(Settings::new("host-0", owners), 1);
    for index in 0..size {
        let _ = router.announce(Moment::ZERO, &announcement(index, 1));
        let stored: Vec<BlockHash> = (0..64)
            .map(|block| BlockHash(block | (index as u64 % 40) << 32))
            .collect();
        let event = CacheEvent {
            boot: BootId(1),
            sequence: 1,
            change: CacheChange::Stored(stored),
        };
        let _ = router.apply_cache_event(Moment::ZERO, &endpoint(index), &event);
    }
    router
}

fn build_request(number: u64, now: Moment) -> Request {
    let is_long = number.is_multiple_of(LONG_REQUEST_INTERVAL);
    let blocks = if is_long { 800 } else { 8 };
    Request {
        id: number.to_string().as_str().into(),
        workspace: (number % 10).to_string().as_str().into(),
        weight: 1,
        priority: Priority::default(),
        prompt_tokens: blocks * 256,
        expected_output_tokens: 100,
        prefix: (0..blocks)
            .map(|block| BlockHash(block | (number % 60) << 32))
            .collect(),
        deadline: now + Duration::from_secs(600),
        excluded: Vec::new(),
        kind: RequestKind::Model,
    }
}

/// Returns the microseconds of a submit and of the progress of an attempt.
fn measure(size: usize) -> (f64, f64) {
    let mut router = router(size);
    let mut in_flight = std::collections::VecDeque::new();
    let (mut submit_time, mut progress_time) = (Duration::ZERO, Duration::ZERO);
    for number in 0..DECISIONS {
        let now = Moment::from_millis(1_000 + number);
        // Load reports arrive continuously and are not measured.
        let _ = router.announce(now, &announcement(number as usize % size, 2 + number));
        let request = build_request(number, now);
        let start = Instant::now();
        let outputs = router.submit(now, request);
        std::hint::black_box(router.next_tick());
        submit_time += start.elapsed();
        in_flight.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Dispatch(dispatch) => Some(dispatch.attempt),
            _ => None,
        }));
        let start = Instant::now();
        while in_flight.len() > MAX_IN_FLIGHT {
            let Some(attempt) = in_flight.pop_front() else {
                break;
            };
            let _ = router.record_progress(now, attempt, Progress::FirstToken);
            let _ = router.record_progress(now, attempt, Progress::Finished(Usage::default()));
        }
        progress_time += start.elapsed();
    }
    let per_decision = |duration: Duration| duration.as_secs_f64() * 1e6 / DECISIONS as f64;
    (per_decision(submit_time), per_decision(progress_time))
}

/// Returns the microseconds of a submit that waits behind `waiting` requests.
fn measure_waiting(size: usize, waiting: u64) -> f64 {
    let mut router = router(size);
    let now = Moment::from_millis(1_000);
    for index in 0..size {
        let mut announcement = announcement(index, 2);
        if let Kind::Engine(engine) = &mut announcement.kind
            && let Some(load) = &mut engine.load
        {
            load.prefill_tokens = 10_000_000;
        }
        let _ = router.announce(now, &announcement);
    }
    let mut duration = Duration::ZERO;
    for number in 0..2 * waiting {
        let mut request = build_request(number, now);
        request.prompt_tokens = 20_000;
        let start = Instant::now();
        std::hint::black_box(router.submit(now, request));
        std::hint::black_box(router.next_tick());
        if number >= waiting {
            duration += start.elapsed();
        }
    }
    assert_eq!(router.queued() as u64, 2 * waiting, "all wait");
    duration.as_secs_f64() * 1e6 / waiting as f64
}

fn main() {
    println!("| endpoints | submit, us: median of {RUNS} (lowest-highest) | progress, us |");
    println!("| --- | --- | --- |");
    for size in ENDPOINT_COUNTS {
        let mut runs: Vec<(f64, f64)> = (0..RUNS).map(|_| measure(size)).collect();
        runs.sort_by(|a, b| a.0.total_cmp(&b.0));
        let median = runs[runs.len() / 2];
        println!(
            "| {size} | {:.1} ({:.1}-{:.1}) | {:.1} |",
            median.0,
            runs[0].0,
            runs[runs.len() - 1].0,
            median.1
        );
    }
    println!("\n| endpoints | waiting | submit that waits, us |");
    println!("| --- | --- | --- |");
    for size in ENDPOINT_COUNTS {
        for waiting in [100, 4_000] {
            let duration = measure_waiting(size, waiting);
            println!("| {size} | {waiting}-{} | {duration:.1} |", 2 * waiting);
        }
    }
}
