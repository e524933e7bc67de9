//! Unusual rates and allowances of cold endpoints.

use std::time::Duration;

use kumquatdrum_placement::{Allowance, EndpointKey, Limits, Rate};
use kumquatdrum_types::Moment;

const START: Moment = Moment::from_millis(1_000_000);
const KEY: EndpointKey = EndpointKey(77);

/// Returns the limits at a host that knows no other, and to which endpoint [`KEY`] is new and cold.
fn limits(rate: f64, overage: f64, slack: f64) -> Limits {
    let mut limits = Limits::default();
    let rate = Rate::new(rate).expect("a rate");
    let warmups = limits.warmups_mut();
    warmups.set_allowance(Some(Allowance::new(rate, overage, slack)));
    warmups.set_hosts(START, 1, Some(vec![1]));
    let end = START + Duration::from_secs(600);
    warmups.begin(START, KEY, Some(end), true);
    limits
}

/// A rate without a lower bound would give an interval that is too long for a duration.
#[test]
fn a_tiny_rate_counts_as_the_lowest_one() {
    for rate in [1e-18, 1e-300, f64::MIN_POSITIVE] {
        let limits = limits(rate, 1.5, 5.0);
        assert!(limits.is_exhausted(START + Duration::from_secs(19), KEY));
        assert!(!limits.is_exhausted(START + Duration::from_secs(20), KEY));
        let summary = limits.summarise(START, |_| true);
        assert_eq!(summary.wait(0), Some(Duration::from_secs(20)), "{rate}");
    }
}

#[test]
fn a_host_alone_does_not_exceed_a_small_allowance() {
    let cases = [
        (14.0, 1.0, 0.0, 0),
        (14.0, 1.0, 0.9, 0),
        (14.0, 1.0, 1.0, 15),
        (14.0, 0.5, 5.0, 0),
        (0.5, 1.5, 0.0, 0),
        // The spare part is below one, but one request in two seconds doesn't exceed the whole.
        (0.5, 1.5, 0.5, 1),
        (2.5, 1.1, 0.3, 3),
        (14.0, 1.5, 5.0, 15),
    ];
    for (rate, overage, slack, expected) in cases {
        let mut limits = limits(rate, overage, slack);
        let mut sent: Vec<u64> = Vec::new();
        for ms in 0..10_000 {
            let now = START + Duration::from_millis(ms);
            if !limits.is_exhausted(now, KEY) {
                limits.record_local(now, KEY);
                sent.push(ms);
            }
        }
        let within = |start: &u64| {
            let window = *start..=start + 1_000;
            sent.iter().filter(|ms| window.contains(ms)).count()
        };
        let busiest = sent.iter().map(within).max();
        let busiest = busiest.unwrap_or_default();
        assert!(
            busiest as f64 <= rate * overage + slack,
            "{busiest} at {rate}, {overage}, {slack}"
        );
        // Requests are sent a part of a millisecond late here.
        let least = expected - expected / 10;
        assert!(
            (least..=expected).contains(&busiest),
            "{busiest} at {rate}, {overage}, {slack}"
        );
    }
}

/// The metric counted requests that a cold endpoint got, too.
#[test]
fn a_request_is_moved_if_a_warm_endpoint_gets_it_in_place_of_an_exhausted_one() {
    let mut limits = limits(14.0, 1.5, 5.0);
    let end = START + Duration::from_secs(600);
    let (warm, other) = (EndpointKey(1), EndpointKey(2));
    let now = START + Duration::from_secs(1);
    assert!(!limits.warmups().is_moved(now, warm));
    limits.record_local(now, KEY);
    assert!(limits.warmups().is_moved(now, warm));
    limits.warmups_mut().begin(START, other, Some(end), true);
    assert!(!limits.warmups().is_moved(now, other));
    assert!(!limits.warmups().is_moved(now, KEY));
}
