//! Which endpoints are cold, and until when.

use std::time::Duration;

use kumquatdrum_placement::cold::{Activity, Reason, Sighting, Tracker};
use kumquatdrum_placement::{Allowance, Balancer, DataCentreKey, EndpointKey, Rate};
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
    tracker.settle(at(ms), true);
    tracker.update(at(ms), &ServiceName::new("m"), COLD_START, &sightings);
}

fn sighting(number: u64, made_at: Moment) -> Sighting {
    Sighting {
        key: EndpointKey(number),
        data_centre: DataCentreKey(7),
        made_at,
        warming: Duration::ZERO,
    }
}

fn reason(tracker: &mut Tracker, ms: u64, number: u64) -> Option<Reason> {
    let status = tracker.assess(at(ms), EndpointKey(number)).status;
    status.map(|status| status.reason)
}

/// Returns a host that has been running for 14 s and knows the endpoint [`OLD`], which is warm.
fn tracker() -> Tracker {
    let started = START.saturating_sub(INTERVAL * 10);
    let mut tracker = Tracker::new(started, INTERVAL * 4);
    for seconds in 0..10 {
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
    let mut tracker = Tracker::new(START, INTERVAL * 4);
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
fn what_a_starting_host_has_not_heard_for_long_or_a_resumed_one_since_is_cold() {
    let mut tracker = Tracker::new(START, INTERVAL * 4);
    // A control host has it from its disk.
    let early = sighting(
        2,
        START.saturating_sub(INTERVAL * 4 + Duration::from_millis(1)),
    );
    tracker.update(START, &ServiceName::new("m"), COLD_START, &[early]);
    assert_eq!(reason(&mut tracker, 0, 2), Some(Reason::Unheard));
    see(&mut tracker, 500, &[(OLD, 300, 0), (2, 400, 0)]);
    assert_eq!(reason(&mut tracker, 500, OLD), None);
    assert_eq!(reason(&mut tracker, 500, 2), None);
    // The host is suspended for 20 s.
    tracker.resume(at(20_500));
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

/// Nothing was placed for more than a second after the loss of all hosts, as their control hosts
/// remembered the endpoints with ages of two announcement intervals.
#[test]
fn a_starting_host_trusts_what_control_hosts_remember() {
    for age in [INTERVAL * 2, INTERVAL * 3] {
        let mut tracker = Tracker::new(START, INTERVAL * 4);
        let now = at(300);
        assert!(!tracker.settle(now, false));
        let seen = [1, 2, 3].map(|number| sighting(number, now.saturating_sub(age)));
        tracker.update(now, &ServiceName::new("m"), COLD_START, &seen);
        for number in [1, 2, 3] {
            assert_eq!(reason(&mut tracker, 300, number), None, "{age:?}");
        }
    }
}

/// Plays hosts that start within 0.2 s, of which each learns of the endpoints up to 0.1 s later, and
/// gets requests from then on.
#[test]
fn hosts_that_all_start_place_at_once_on_endpoints_that_were_warm() {
    for hosts in [6_u64, 68] {
        for number in 0..hosts {
            let start_ms = 200 * number / hosts;
            let mut tracker = Tracker::new(at(start_ms), INTERVAL * 4);
            let mut balancer = Balancer::default();
            let keys = [1, 2, 3].map(EndpointKey);
            balancer.set_endpoints(keys.map(|key| (key, DataCentreKey(7), 64)));
            let rate = Rate::new(14.0).expect("a rate");
            let warmups = balancer.limits_mut().warmups_mut();
            warmups.set_allowance(Some(Allowance::new(rate, 1.5, 5.0)));
            let learned_ms = start_ms + 100;
            for ms in (learned_ms..learned_ms + 1_500).step_by(50) {
                tracker.settle(at(ms), false);
                // The first announcement after the restart comes after 1.5 s.
                let made_at = at(0).saturating_sub(INTERVAL * 2);
                let seen = [1, 2, 3].map(|number| sighting(number, made_at));
                tracker.update(at(ms), &ServiceName::new("m"), COLD_START, &seen);
                for key in keys {
                    let assessment = tracker.assess(at(ms), key);
                    let warmups = balancer.limits_mut().warmups_mut();
                    if let Some(status) = assessment.status {
                        warmups.begin(at(ms), key, status.end, assessment.is_new);
                    }
                }
                let chosen = balancer.choose(at(ms), &[]);
                assert!(chosen.is_some(), "host {number} of {hosts} at {ms} ms");
            }
        }
    }
}

/// One endpoint that is heard made all others cold, of which the pool keeps those that are silent
/// unless half are heard.
#[test]
fn silence_of_most_endpoints_makes_none_cold() {
    for (count, heard, is_cold) in [(3, 1, false), (3, 2, true), (45, 1, false), (45, 23, true)] {
        let mut tracker = Tracker::new(START, INTERVAL * 4);
        let see = |tracker: &mut Tracker, ms, heard: u64| {
            let made_ms = |number| if number < heard { ms } else { 4_000 };
            let seen: Vec<_> = (0..count).map(|n| (n + 1, made_ms(n), 0)).collect();
            see(tracker, ms, &seen);
        };
        for ms in [4_000, 6_000, 8_000] {
            see(&mut tracker, ms, count);
        }
        tracker.record_failure(at(8_500), EndpointKey(count));
        for ms in [10_000, 12_000] {
            see(&mut tracker, ms, heard);
        }
        let silent = is_cold.then_some(Reason::Silent);
        for number in heard + 1..count {
            let reason = reason(&mut tracker, 12_000, number);
            assert_eq!(reason, silent, "{number} of {count}, {heard} heard");
        }
        assert_eq!(reason(&mut tracker, 12_000, 1), None);
        // The failed one is cold, for the time of a start at most if most are silent.
        let failed = silent.or(Some(Reason::Failed));
        assert_eq!(reason(&mut tracker, 12_000, count), failed);
        assert_eq!(
            reason(&mut tracker, 38_500, count),
            silent,
            "{count}, {heard}"
        );
    }
}

/// If the first request after a suspension recorded the activity, others would be placed by what
/// was known before while the endpoints are refreshed.
#[test]
fn a_suspended_host_is_active_only_once_it_has_resumed() {
    let activity = Activity::new(START);
    for ms in [1_300, 2_600, 5_600] {
        assert!(activity.record(at(ms)), "{ms}");
    }
    // A request that read the clock earlier doesn't turn it back.
    assert!(activity.record(at(4_000)));
    assert!(activity.record(at(8_600)));
    for _ in 0..2 {
        assert!(!activity.record(at(11_601)));
        assert!(activity.is_suspended(at(11_601)));
    }
    activity.resume(at(11_601));
    assert!(activity.record(at(11_700)));
}

/// A host settled 2 s after it had been complete at one instant, though others need those 2 s of
/// contact to learn of it.
#[test]
fn a_host_settles_after_two_seconds_of_completeness_without_interruption() {
    let mut tracker = Tracker::new(START, INTERVAL * 4);
    assert!(!tracker.settle(START, true));
    for ms in [500, 1_900, 2_100] {
        assert!(!tracker.settle(at(ms), false), "{ms}");
    }
    for ms in [2_500, 4_000] {
        assert!(!tracker.settle(at(ms), true), "{ms}");
    }
    assert!(tracker.settle(at(4_100), true));
    // The same holds after an isolation.
    assert!(tracker.settle(at(19_000), false));
    assert!(!tracker.settle(at(20_000), false));
    assert!(!tracker.settle(at(30_000), true));
    assert!(!tracker.settle(at(37_500), false));
    assert!(!tracker.settle(at(39_400), true));
    assert!(tracker.settle(at(39_500), true));
    assert!(tracker.settle(at(40_000), false));
}
