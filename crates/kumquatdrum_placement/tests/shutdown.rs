//! What a host that ends soon still takes.

use std::time::Duration;

use kumquatdrum_placement::{Balancer, Job, JobId, Planner, Shutdown};
use kumquatdrum_types::Moment;
use support::engine;

mod support;

const END_MS: u64 = 8_000;

fn allows(now_ms: u64, expected_ms: u64, deadline_ms: u64) -> bool {
    let shutdown = Shutdown::new(Moment::from_millis(END_MS));
    let expected = Duration::from_millis(expected_ms);
    let (now, deadline) = (
        Moment::from_millis(now_ms),
        Moment::from_millis(deadline_ms),
    );
    shutdown.allows(now, expected, deadline)
}

#[test]
fn a_request_that_outlasts_its_host_does_not_wait() {
    assert!(allows(0, 4_000, u64::MAX / 1_000));
    assert!(!allows(0, 4_001, u64::MAX / 1_000));
    assert!(!allows(2_000, 4_000, u64::MAX / 1_000));
    assert!(!allows(0, u64::MAX / 1_000, u64::MAX / 1_000));
}

#[test]
fn a_request_whose_deadline_comes_first_is_not_refused_for_its_length() {
    assert!(allows(2_000, 60_000, END_MS));
    assert!(!allows(2_000, 60_000, END_MS + 1));
}

#[test]
fn every_wait_ends_in_time_for_its_refusal_to_arrive() {
    assert!(allows(6_999, 0, u64::MAX / 1_000));
    assert!(!allows(7_000, 0, u64::MAX / 1_000));
    assert!(!allows(7_000, 0, 7_100));
    assert!(!allows(9_000, 0, u64::MAX / 1_000));
}

#[test]
fn a_host_without_time_to_stop_lets_nothing_wait() {
    let shutdown = Shutdown::new(Moment::from_millis(500));
    assert_eq!(shutdown.waits_end_at(), Moment::ZERO);
    assert!(!shutdown.allows(Moment::ZERO, Duration::ZERO, Moment::NEVER));
}

fn allows_answer(now_ms: u64, longest_ms: Option<u64>, deadline_ms: u64) -> bool {
    let shutdown = Shutdown::new(Moment::from_millis(END_MS));
    let longest = longest_ms.map(Duration::from_millis);
    let (now, deadline) = (
        Moment::from_millis(now_ms),
        Moment::from_millis(deadline_ms),
    );
    shutdown.allows_answer(now, longest, deadline)
}

#[test]
fn a_request_whose_answer_would_be_cut_is_not_sent() {
    assert!(allows_answer(4_000, Some(3_000), u64::MAX / 1_000));
    assert!(!allows_answer(4_001, Some(3_000), u64::MAX / 1_000));
    assert!(!allows_answer(0, Some(u64::MAX / 1_000), u64::MAX / 1_000));
    assert!(!allows_answer(7_000, Some(0), u64::MAX / 1_000));
}

#[test]
fn a_request_whose_answer_has_no_known_duration_is_sent_if_its_deadline_comes_first() {
    assert!(allows_answer(2_000, None, END_MS));
    assert!(!allows_answer(2_000, None, END_MS + 1));
    assert!(!allows_answer(7_000, None, 7_100));
}

/// Returns a job whose answer is due after 300 ms.
fn job(max_pause: Duration) -> Job {
    Job {
        id: JobId { host: 1, number: 1 },
        prompt_tokens: 0,
        answer_tokens: 0,
        max_pause,
        arrived: Moment::from_millis(1_000),
        due: Moment::from_millis(1_300),
        deadline: Moment::from_millis(9_000),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

#[test]
fn a_slow_answer_among_fast_ones_counts_for_requests_of_its_kind_only() {
    let (stream, whole) = (job(Duration::from_millis(250)), job(Duration::MAX));
    let mut balancer = Balancer::default();
    assert_eq!(balancer.longest_duration(&stream), None);
    let target = Duration::from_millis(300);
    assert_eq!(balancer.longest_duration(&whole), Some(target));
    balancer.record_duration(true, Duration::from_secs(3));
    for _ in 0..50 {
        balancer.record_duration(true, Duration::from_millis(100));
        balancer.record_duration(false, Duration::from_millis(10));
    }
    let longest = Duration::from_secs(3);
    assert_eq!(balancer.longest_duration(&stream), Some(longest));
    let longest = Duration::from_millis(10);
    assert_eq!(balancer.longest_duration(&whole), Some(longest));
}

#[test]
fn a_service_that_has_become_faster_is_not_taken_for_slow() {
    let whole = job(Duration::MAX);
    let mut balancer = Balancer::default();
    balancer.record_duration(false, Duration::from_secs(6));
    for _ in 0..64 {
        balancer.record_duration(false, Duration::from_millis(10));
    }
    let longest = Duration::from_millis(10);
    assert_eq!(balancer.longest_duration(&whole), Some(longest));
}

#[test]
fn a_prompt_of_unknown_size_is_not_taken_for_an_empty_one() {
    let planner = Planner::new(engine());
    let unknown = job(Duration::from_millis(250));
    let typical = Job {
        prompt_tokens: 10_000,
        answer_tokens: 1_000,
        ..unknown.clone()
    };
    let expected = planner.expected_duration(&unknown);
    assert_eq!(expected, planner.expected_duration(&typical));
    assert!(expected > Duration::from_secs(1), "{expected:?}");
}
