//! What a host that ends soon still takes.

use std::time::Duration;

use kumquatdrum_placement::Shutdown;
use kumquatdrum_types::Moment;

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
