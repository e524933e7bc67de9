//! How long jobs wait for cold endpoints.

use std::time::Duration;

use kumquatdrum_placement::{Allowance, EndpointKey, Limits, Place, Rate};
use kumquatdrum_types::Moment;

const START: Moment = Moment::from_millis(1_000_000);
const KEY: EndpointKey = EndpointKey(77);
const INTERVAL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

/// Returns the limits at a host that does not share the only endpoint, which is cold until further
/// notice.
fn limits() -> Limits {
    let mut limits = Limits::default();
    let rate = Rate::new(14.0).expect("a rate");
    let warmups = limits.warmups_mut();
    warmups.set_allowance(Some(Allowance::new(rate, 1.5, 5.0)));
    warmups.set_announcement_interval(INTERVAL);
    let hosts: Vec<u32> = (0..300).collect();
    for local in 0..300 {
        limits
            .warmups_mut()
            .set_hosts(START, local, Some(hosts.clone()));
        limits.warmups_mut().begin(START, KEY, None, false);
        if limits.is_exhausted(at(60_000), KEY) {
            return limits;
        }
    }
    panic!("all hosts share the endpoint");
}

/// Jobs were refused 1.5 s after an endpoint had turned cold, though it announced itself in time and
/// the news was on its way.
#[test]
fn jobs_wait_for_late_news_while_they_have_time_left() {
    let limits = limits();
    let is_in_time = |ms, left_ms, is_new| {
        let place = Place {
            ahead: 3,
            left: Duration::from_millis(left_ms),
            is_new,
        };
        limits.summarise(at(ms), |_| true).is_in_time(place)
    };
    let wait = |ms| limits.summarise(at(ms), |_| true).wait(0);
    // The interval of announcements, a round of a control host and a hello.
    assert_eq!(wait(0), Some(Duration::from_secs(3)));
    assert_eq!(wait(1_600), Some(Duration::from_millis(1_400)));
    assert!(is_in_time(0, 10_000, true));
    for ms in [1_600, 3_000, 6_000, 20_000] {
        assert!(is_in_time(ms, 2_000, false), "{ms}");
    }
    assert!(!is_in_time(0, 2_000, true));
    for ms in [3_000, 20_000] {
        assert_eq!(wait(ms), Some(Duration::from_millis(250)));
        assert!(!is_in_time(ms, 200, false), "{ms}");
    }
}
