//! Retry budgets and the ejection of endpoints.

use std::time::Duration;

use kumquatdrum_placement::{Balancer, Budget, DataCentreKey, EndpointKey, Failure};
use kumquatdrum_types::Moment;

const START: Moment = Moment::from_millis(60_000);

fn take_all(budget: &mut Budget, now: Moment, hosts: usize) -> usize {
    (0..1_000).filter(|_| budget.try_take(now, hosts)).count()
}

#[test]
fn all_hosts_together_stay_within_the_retry_budget() {
    let window = Duration::from_secs(10);
    let mut total = 0;
    for _ in 0..8 {
        let mut budget = Budget::new(0.2, 104.0, window);
        for _ in 0..100 {
            budget.record_request(START);
        }
        total += take_all(&mut budget, START, 8);
    }
    assert!(total <= 160 + 104, "{total} retries allowed of 264");
    assert!(total > 130, "only {total} of 264 retries allowed");
}

#[test]
fn the_retry_window_slides() {
    let mut budget = Budget::new(0.0, 10.0, Duration::from_secs(10));
    let first = take_all(&mut budget, START, 1);
    assert!(first > 0);
    assert_eq!(take_all(&mut budget, START + Duration::from_secs(9), 1), 0);
    let later = START + Duration::from_millis(10_001);
    assert_eq!(take_all(&mut budget, later, 1), first);
}

#[test]
fn an_unreachable_endpoint_is_ejected_and_probed_again() {
    let (good, bad) = (EndpointKey(1), EndpointKey(2));
    let mut balancer = Balancer::default();
    balancer.set_endpoints([(good, DataCentreKey(0), 4), (bad, DataCentreKey(1), 4)]);
    assert!(balancer.record_failure(START, bad, Failure::Unreachable));
    for _ in 0..8 {
        assert_eq!(balancer.choose(START, &[]), Some(good));
    }
    let later = START + Duration::from_secs(5);
    let chosen: Vec<_> = (0..4).filter_map(|_| balancer.choose(later, &[])).collect();
    assert!(chosen.contains(&bad));
    // If all endpoints are ejected, all remain candidates.
    balancer.record_failure(later, good, Failure::Unreachable);
    balancer.record_failure(later, bad, Failure::Unreachable);
    assert!(balancer.choose(later, &[]).is_some());
    assert_eq!(balancer.choose(later, &[good, bad]), None);
}

#[test]
fn an_unreachable_data_centre_is_ejected_as_a_whole() {
    let (local, remote) = (DataCentreKey(0), DataCentreKey(1));
    let mut balancer = Balancer::default();
    balancer.set_endpoints((0..10).map(|number| {
        (
            EndpointKey(number),
            if number < 2 { local } else { remote },
            4,
        )
    }));
    for key in 2..5 {
        balancer.record_failure(START, EndpointKey(key), Failure::Unreachable);
    }
    for _ in 0..6 {
        let chosen = balancer.choose(START, &[]).expect("an endpoint");
        assert!(chosen.0 < 2, "{chosen:?} is in the unreachable data centre");
    }
    balancer.record_success(START, EndpointKey(9), None);
    let chosen: Vec<_> = (0..6).filter_map(|_| balancer.choose(START, &[])).collect();
    assert!(
        chosen.iter().any(|key| key.0 >= 5),
        "one response makes the data centre usable again"
    );
}

#[test]
fn crashed_endpoints_do_not_eject_their_data_centre() {
    let mut balancer = Balancer::default();
    let endpoints = (0..5).map(|number| (EndpointKey(number), DataCentreKey(number / 4), 4));
    balancer.set_endpoints(endpoints);
    for key in 0..3 {
        assert!(balancer.record_failure(START, EndpointKey(key), Failure::Down));
    }
    let chosen: Vec<_> = (0..6).filter_map(|_| balancer.choose(START, &[])).collect();
    assert!(chosen.contains(&EndpointKey(3)), "{chosen:?}");
    assert!(chosen.iter().all(|key| key.0 >= 3), "{chosen:?}");
}

/// Plays 90 requests a second of 20 ms each on three endpoints, the first of which fails until `sick_for`.
/// Returns the requests that each got later than `since`.
fn play_failing_endpoint(failure: Failure, sick_for: Duration, since: Duration) -> [usize; 3] {
    const REQUEST: Duration = Duration::from_millis(20);
    const INTERVAL: Duration = Duration::from_millis(11);
    let mut balancer = Balancer::default();
    balancer.set_endpoints((0..3).map(|number| (EndpointKey(number), DataCentreKey(0), 6)));
    let mut running: Vec<(Moment, EndpointKey)> = Vec::new();
    let mut counts = [0; 3];
    let mut now = START;
    while now < START + since + Duration::from_secs(5) {
        now = now + INTERVAL;
        let (ended, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|(at, _)| *at <= now);
        running = rest;
        for (at, key) in ended {
            balancer.record_end(key);
            if key == EndpointKey(0) && at < START + sick_for {
                balancer.record_failure(at, key, failure);
            } else {
                balancer.record_success(at, key, None);
            }
        }
        let key = balancer.choose(now, &[]).expect("an endpoint");
        running.push((now + REQUEST, key));
        counts[key.0 as usize] += usize::from(now > START + since);
    }
    counts
}

#[test]
fn an_endpoint_that_was_full_gets_its_share_again() {
    let second = Duration::from_secs(1);
    let counts = play_failing_endpoint(Failure::Busy, second, 4 * second);
    let total: usize = counts.iter().sum();
    assert!(counts[0] * 6 > total, "{counts:?}");
}

#[test]
fn an_endpoint_that_returned_errors_is_tried_again() {
    let second = Duration::from_secs(1);
    let counts = play_failing_endpoint(Failure::Error, second, 40 * second);
    let total: usize = counts.iter().sum();
    assert!(counts[0] * 6 > total, "{counts:?}");
}

#[test]
fn failures_that_the_path_explains_are_forgotten() {
    let mut balancer = Balancer::default();
    let keys = [EndpointKey(1), EndpointKey(2)];
    balancer.set_endpoints(keys.map(|key| (key, DataCentreKey(0), 4)));
    balancer.record_failure(START, EndpointKey(1), Failure::Down);
    balancer.forget_failures();
    let chosen = [(); 2].map(|()| balancer.choose(START, &[]).expect("an endpoint"));
    assert_ne!(chosen[0], chosen[1], "both endpoints get requests again");
}
