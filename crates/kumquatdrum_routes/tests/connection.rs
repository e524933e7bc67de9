//! Connections stay open for as long as their callers may count on it.

use std::time::Duration;

use kumquatdrum_routes::Limits;
use kumquatdrum_routes::connection::{Action, Standing, decide};
use kumquatdrum_types::Moment;

const NOW: Moment = Moment::from_millis(10_000);

/// Returns the decision at [`NOW`] with limits of 2 s for a head and 5 s of idleness.
fn decide_now(standing: Standing, is_stopping: bool) -> Action {
    let limits = Limits {
        header_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(5),
        ..Limits::default()
    };
    decide(NOW, standing, &limits, is_stopping)
}

fn idle(since_ms: u64, limit_s: u64, is_new: bool) -> Standing {
    Standing::Idle {
        since: Moment::from_millis(since_ms),
        limit: Duration::from_secs(limit_s),
        is_new,
    }
}

fn wait(until_ms: u64) -> Action {
    Action::WaitUntil(Moment::from_millis(until_ms))
}

#[test]
fn a_connection_is_not_closed_before_either_idle_limit_has_passed() {
    let cases = [
        ("within both", idle(9_000, 5, false), wait(14_000)),
        ("raised meanwhile", idle(6_000, 1, false), wait(11_000)),
        ("lowered meanwhile", idle(2_000, 30, false), wait(32_000)),
        ("past both", idle(4_000, 3, false), Action::Close),
        ("without a request yet", idle(9_000, 5, true), wait(14_000)),
    ];
    for (case, standing, expected) in cases {
        assert_eq!(decide_now(standing, false), expected, "{case}");
    }
}

#[test]
fn a_head_has_its_time_from_its_first_byte_and_is_refused_after_it() {
    let head = |since_ms| Standing::Head {
        since: Moment::from_millis(since_ms),
    };
    for is_stopping in [false, true] {
        assert_eq!(decide_now(head(9_500), is_stopping), wait(11_500));
        assert_eq!(decide_now(head(8_000), is_stopping), Action::Refuse);
    }
}

#[test]
fn a_stopping_host_closes_idle_connections_but_none_with_a_request() {
    assert_eq!(decide_now(idle(9_900, 5, false), true), Action::Close);
    assert_eq!(decide_now(idle(9_900, 5, true), true), wait(10_400));
    assert_eq!(decide_now(idle(9_000, 5, true), true), Action::Close);
    assert_eq!(decide_now(Standing::Busy, true), wait(15_000));
}
