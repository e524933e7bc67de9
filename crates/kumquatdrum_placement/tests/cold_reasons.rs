//! Which endpoints are cold, and until when.

use std::time::Duration;

use kumquatdrum_placement::cold::{Reason, Sighting, Tracker};
use kumquatdrum_placement::{DataCentreKey, EndpointKey};
use kumquatdrum_types::{Moment, ServiceName};

const START: Moment = Moment::from_millis(60_000);
const COLD_START: Duration = Duration::from_secs(30);
const OLD: u64 = 1;
const INTERVAL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

/// Tells a tracker of endpoints: each one's number, when its announcement was made and how long it
/// says that the endpoint is cold.
fn see(tracker: &mut Tracker, ms: u64, endpoints: &[(u64, u64, u64)]) {
    let sightings = endpoints
        .iter()
        .map(|(number, made_ms, warming_ms)| Sighting {
            key: EndpointKey(*number),
            data_centre: DataCentreKey(7),
            made_at: at(*made_ms),
            warming: Duration::from_millis(*warming_ms),
        });
    let sightings: Vec<Sighting> = sightings.collect();
    tracker.record_activity(at(ms));
    tracker.settle(at(ms), true);
    tracker.update(at(ms), &ServiceName::new("m"), COLD_START, &sightings);
}

fn reason(tracker: &mut Tracker, ms: u64, number: u64) -> Option<Reason> {
    let status = tracker.assess(at(ms), EndpointKey(number)).status;
    status.map(|status| status.reason)
}

/// Returns a host that has been running for 14 s and knows the endpoint [`OLD`], which is warm.
fn tracker() -> Tracker {
    let started = START.saturating_sub(INTERVAL * 10);
    let mut tracker = Tracker::new(started, INTERVAL, INTERVAL * 4);
    for seconds in 0..10 {
        tracker.record_activity(started + INTERVAL * seconds);
        tracker.settle(started + INTERVAL * seconds, true);
    }
    see(&mut tracker, 0, &[(OLD, 0, 0)]);
    see(&mut tracker, 2_000, &[(OLD, 2_000, 0)]);
    see(&mut tracker, 4_000, &[(OLD, 4_000, 0)]);
    assert_eq!(reason(&mut tracker, 4_000, OLD), None);
    tracker
}

#[test]
fn an_endpoint_is_cold_for_the_announced_time() {
    let mut tracker = tracker();
    see(&mut tracker, 5_200, &[(OLD, 5_000, 3_000)]);
    assert_eq!(reason(&mut tracker, 7_900, OLD), Some(Reason::Announced));
    assert_eq!(reason(&mut tracker, 8_000, OLD), None);
}

#[test]
fn an_endpoint_that_appears_is_cold_whatever_it_says_and_one_that_was_there_is_not() {
    let mut tracker = tracker();
    see(&mut tracker, 5_000, &[(OLD, 5_000, 0), (2, 5_000, 0)]);
    assert_eq!(reason(&mut tracker, 5_000, OLD), None);
    assert!(tracker.assess(at(5_000), EndpointKey(2)).is_new);
    see(&mut tracker, 34_500, &[(OLD, 34_500, 0), (2, 34_500, 0)]);
    assert_eq!(reason(&mut tracker, 34_900, 2), Some(Reason::Started));
    see(&mut tracker, 35_000, &[(2, 35_000, 0)]);
    assert_eq!(reason(&mut tracker, 35_000, 2), None);
}

#[test]
fn an_endpoint_that_a_starting_host_learns_of_late_is_not_new() {
    let mut tracker = Tracker::new(START, INTERVAL, INTERVAL * 4);
    for ms in [0, 2_000, 4_000] {
        see(&mut tracker, ms, &[(OLD, ms, 0)]);
    }
    // The response with all endpoints takes seconds if many hosts start at once.
    see(&mut tracker, 5_000, &[(OLD, 5_000, 0), (2, 5_000, 0)]);
    assert_eq!(reason(&mut tracker, 5_000, 2), None);
}

#[test]
fn an_endpoint_that_fails_is_cold_until_an_announcement_made_later() {
    let mut tracker = tracker();
    tracker.record_failure(at(5_000), EndpointKey(OLD));
    // Made before the failure, but received after it.
    see(&mut tracker, 5_500, &[(OLD, 4_900, 0)]);
    assert_eq!(reason(&mut tracker, 5_500, OLD), Some(Reason::Failed));
    see(&mut tracker, 6_200, &[(OLD, 6_000, 0)]);
    assert_eq!(reason(&mut tracker, 6_200, OLD), None);
}

#[test]
fn a_response_counts_until_an_announcement_made_later_says_zero() {
    let mut tracker = tracker();
    let left = Duration::from_secs(20);
    tracker.record_response(at(5_000), EndpointKey(OLD), left);
    see(&mut tracker, 5_500, &[(OLD, 4_900, 0)]);
    assert_eq!(reason(&mut tracker, 5_500, OLD), Some(Reason::Responded));
    see(&mut tracker, 6_500, &[(OLD, 6_000, 0)]);
    assert_eq!(reason(&mut tracker, 6_500, OLD), None);
}

#[test]
fn endpoints_that_return_from_an_evacuation_are_cold_unless_they_say_zero_later() {
    let mut tracker = tracker();
    tracker.record_return(at(4_500), DataCentreKey(7));
    assert_eq!(reason(&mut tracker, 4_600, OLD), Some(Reason::Returned));
    tracker.record_return(at(4_500), DataCentreKey(8));
    see(&mut tracker, 5_000, &[(OLD, 5_000, 0)]);
    assert_eq!(reason(&mut tracker, 5_000, OLD), None);
}

#[test]
fn what_a_starting_or_resumed_host_has_not_heard_since_is_cold() {
    let mut tracker = Tracker::new(START, INTERVAL, INTERVAL * 4);
    // A control host has the second one from its disk.
    let early = Moment::from_millis(58_000);
    let sighting = |number, made_at| Sighting {
        key: EndpointKey(number),
        data_centre: DataCentreKey(7),
        made_at,
        warming: Duration::ZERO,
    };
    let seen = [sighting(OLD, START), sighting(2, early)];
    tracker.update(START, &ServiceName::new("m"), COLD_START, &seen);
    assert_eq!(reason(&mut tracker, 0, OLD), None);
    assert_eq!(reason(&mut tracker, 0, 2), Some(Reason::Unheard));
    see(&mut tracker, 500, &[(OLD, 300, 0), (2, 400, 0)]);
    assert_eq!(reason(&mut tracker, 500, 2), None);
    // The host is suspended for 20 s.
    see(&mut tracker, 20_500, &[(OLD, 20_000, 0)]);
    assert_eq!(reason(&mut tracker, 20_500, OLD), Some(Reason::Unheard));
    see(&mut tracker, 21_000, &[(OLD, 20_900, 0)]);
    assert_eq!(reason(&mut tracker, 21_000, OLD), None);
}

#[test]
fn silence_makes_an_endpoint_cold_only_if_others_are_heard() {
    let mut tracker = tracker();
    for ms in [6_000, 8_000, 10_000] {
        see(&mut tracker, ms, &[(OLD, 4_000, 0), (2, 4_000, 0)]);
    }
    assert_eq!(reason(&mut tracker, 10_000, OLD), None);
    see(&mut tracker, 10_500, &[(OLD, 4_000, 0), (2, 10_500, 0)]);
    assert_eq!(reason(&mut tracker, 10_500, OLD), Some(Reason::Silent));
}

#[test]
fn a_host_that_was_isolated_for_long_waits_until_it_knows_all_hosts_again() {
    let mut tracker = tracker();
    assert!(tracker.settle(at(18_000), false));
    assert!(!tracker.settle(at(20_000), false));
    assert!(!tracker.settle(at(40_000), true));
    assert!(!tracker.settle(at(47_000), true));
    assert!(tracker.settle(at(48_000), true));
}
