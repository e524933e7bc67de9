//! What is done while an endpoint is silent.

use std::time::Duration;

use kumquatdrum_response::silence::{Limits, Silence, Step};
use kumquatdrum_types::Moment;

const LIMITS: Limits = Limits {
    resume: Duration::from_secs(2),
    check: Duration::from_millis(1_600),
};

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000 + ms)
}

#[test]
fn no_further_endpoint_is_tried_before_another_silence() {
    let mut silence = Silence::new(at(0), LIMITS);
    silence.record_check(at(1_600));
    assert_eq!(silence.step(at(2_000), true), Step::Try);
    silence.record_failed_try(at(2_500));
    assert_eq!(silence.step(at(2_500), true), Step::Wait(at(3_200)));
    silence.record_check(at(3_200));
    assert_eq!(silence.step(at(4_499), true), Step::Wait(at(4_500)));
    assert_eq!(silence.step(at(4_500), true), Step::Try);
}

#[test]
fn a_stream_that_cannot_be_resumed_is_only_checked() {
    let mut silence = Silence::new(at(0), LIMITS);
    for check in 1..=4 {
        let due = 1_600 * check;
        assert_eq!(silence.step(at(due - 1), false), Step::Wait(at(due)));
        assert_eq!(silence.step(at(due), false), Step::Check);
        silence.record_check(at(due));
    }
}

#[test]
fn a_cut_path_hastens_one_try_only() {
    let mut silence = Silence::new(at(0), LIMITS);
    silence.record_cut(at(500));
    assert_eq!(silence.step(at(500), true), Step::Try);
    silence.record_failed_try(at(600));
    silence.record_cut(at(600));
    assert!(silence.is_cut());
    assert_eq!(silence.step(at(600), true), Step::Wait(at(1_600)));
}

#[test]
fn a_cut_path_does_not_delay_a_try() {
    let mut silence = Silence::new(at(0), LIMITS);
    silence.record_cut(at(2_300));
    assert_eq!(silence.step(at(2_000), true), Step::Try);
}
