//! Back-offs that endpoints request of hosts, and how hosts return to these endpoints.

use std::time::Duration;

use kumquatdrum_placement::{Backoffs, EndpointKey, Place, Summary};
use kumquatdrum_types::Moment;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Moment = Moment::from_millis(1_000_000);
const KEY: EndpointKey = EndpointKey(77);
const OTHER: EndpointKey = EndpointKey(78);
const STEP: Duration = Duration::from_millis(1);
const SECONDS: u64 = 30;
/// The longest time by which a host extends a back-off.
const MAX_SPREAD: Duration = Duration::from_millis(250);
/// The time after a back-off in which a host that has requests sends one.
const MAX_RETURN: Duration = Duration::from_millis(1_250);

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn an_endpoint_is_held_until_its_back_off_ends_and_not_much_longer() {
    for local in 0..60 {
        for delay in [100, 500, 3_000, 20_000].map(millis) {
            let mut backoffs = Backoffs::new(local);
            let until = backoffs.request(START, KEY, delay).expect("a back-off");
            assert!(START + delay <= until && until <= START + delay + MAX_SPREAD);
            assert_eq!(backoffs.end(START, KEY), Some(until));
            assert_eq!(
                backoffs.held_until(until.saturating_sub(STEP), KEY),
                Some(until)
            );
            assert_eq!(backoffs.held_until(until, KEY), None);
            assert_eq!(backoffs.held_until(START, OTHER), None);
        }
    }
}

#[test]
fn the_back_off_that_ends_last_holds() {
    let mut backoffs = Backoffs::new(1);
    let long = backoffs.request(START, KEY, millis(3_000));
    assert_eq!(backoffs.request(START + STEP, KEY, millis(500)), long);
    let longer = backoffs.request(START + STEP, KEY, millis(5_000));
    assert!(longer > long);
}

#[test]
fn invalid_back_offs_hold_for_minutes_at_most_and_empty_ones_not_at_all() {
    let mut backoffs = Backoffs::new(1);
    assert_eq!(backoffs.request(START, KEY, Duration::ZERO), None);
    assert!(backoffs.is_empty());
    let until = backoffs.request(START, KEY, Duration::MAX);
    assert!(until.is_some_and(|until| until <= START + millis(300_250)));
}

#[test]
fn a_response_to_an_earlier_request_does_not_end_a_back_off() {
    let mut backoffs = Backoffs::new(1);
    backoffs.request(START, KEY, millis(2_000));
    for _ in 0..40 {
        backoffs.record_response(START + millis(10), KEY);
    }
    assert!(backoffs.end(START + millis(1_999), KEY).is_some());
}

#[test]
fn an_endpoint_recovers_step_by_step() {
    let mut backoffs = Backoffs::new(1);
    let mut now = backoffs
        .request(START, KEY, millis(1_000))
        .expect("a back-off");
    let mut rounds = Vec::new();
    while !backoffs.is_empty() {
        let mut sent = 0;
        while sent < 100 && backoffs.held_until(now, KEY).is_none() {
            backoffs.admit(now, KEY);
            sent += 1;
        }
        rounds.push(sent);
        now = now + millis(20);
        for _ in 0..sent {
            backoffs.record_response(now, KEY);
        }
    }
    assert_eq!(rounds, [1, 2, 4, 8]);
}

#[test]
fn an_unanswered_request_delays_the_recovery_for_a_second() {
    let mut backoffs = Backoffs::new(1);
    let until = backoffs
        .request(START, KEY, millis(1_000))
        .expect("a back-off");
    backoffs.admit(until, KEY);
    assert_eq!(backoffs.held_until(until, KEY), Some(until + millis(1_000)));
    assert_eq!(backoffs.held_until(until + millis(1_000), KEY), None);
}

#[test]
fn a_job_waits_for_a_back_off_that_ends_within_its_time() {
    let summary = Summary {
        held_for: Some(millis(1_000)),
        ..Summary::default()
    };
    let place = Place {
        ahead: 5,
        left: millis(2_000),
        is_new: true,
    };
    assert!(summary.is_in_time(place));
    let left = millis(900);
    assert!(!summary.is_in_time(Place { left, ..place }));
}

/// A host with requests for one endpoint.
struct Host {
    backoffs: Backoffs,
    waiting: u32,
}

/// A response on its way: when it arrives, at which host, and the back-off that it requests.
type Response = (Moment, usize, Option<Duration>);

/// The arrivals of a play, and the back-offs that the endpoint requested of each host.
#[derive(Default)]
struct Record {
    arrivals: Vec<(Moment, usize)>,
    backoffs: Vec<(Moment, usize, Duration)>,
}

/// Plays an endpoint that takes some requests a second and rejects the others with a back-off,
/// while hosts restart and responses are delayed.
fn play(hosts: usize, capacity: u32, seed: u64) -> Record {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut record = Record::default();
    let mut responses: Vec<Response> = Vec::new();
    let start_host = |number: usize| Host {
        backoffs: Backoffs::new(number as u32),
        waiting: 0,
    };
    let mut system: Vec<Host> = (0..hosts).map(start_host).collect();
    let mut room = f64::from(capacity);
    let mut now = START;
    while now < START + Duration::from_secs(SECONDS) {
        now = now + STEP;
        room = (room + f64::from(capacity) * STEP.as_secs_f64()).min(f64::from(capacity) / 4.0);
        let (arrived, still): (Vec<Response>, Vec<Response>) =
            responses.into_iter().partition(|(at, ..)| *at <= now);
        responses = still;
        for (_, host, backoff) in arrived {
            let backoffs = &mut system[host].backoffs;
            match backoff {
                Some(delay) => {
                    backoffs.request(now, KEY, delay);
                }
                None => backoffs.record_response(now, KEY),
            }
        }
        for (number, host) in system.iter_mut().enumerate() {
            host.waiting += u32::from(random.next_u32() % 100 == 0);
            while host.waiting > 0 && host.backoffs.held_until(now, KEY).is_none() {
                host.waiting -= 1;
                host.backoffs.admit(now, KEY);
                record.arrivals.push((now, number));
                let answered_at = now + millis(1 + u64::from(random.next_u32() % 80));
                room -= 1.0;
                let delay = millis(200 + u64::from(random.next_u32() % 3_000));
                let rejection = (room < 0.0).then_some(delay);
                if let Some(delay) = rejection {
                    room += 1.0;
                    record.backoffs.push((answered_at, number, delay));
                }
                responses.push((answered_at, number, rejection));
            }
            // Callers give up after a while.
            host.waiting = host.waiting.min(50);
        }
    }
    record
}

#[test]
fn a_host_sends_nothing_during_a_back_off_and_returns_soon_after_it() {
    for (hosts, capacity, seeds) in [(1, 5, 0..20), (6, 40, 0..20), (60, 200, 0..2)] {
        for seed in seeds {
            let Record { arrivals, backoffs } = play(hosts, capacity, seed);
            assert!(
                !backoffs.is_empty(),
                "{hosts} hosts, seed {seed}: no back-off"
            );
            for (from, host, delay) in &backoffs {
                let (until, latest) = (*from + *delay, *from + *delay + MAX_RETURN);
                let mut own = arrivals.iter().filter(|(_, sender)| sender == host);
                let during = own.clone().find(|(at, _)| *at > *from && *at < until);
                assert_eq!(during, None, "{hosts} hosts, seed {seed}: from {from:?}");
                let mut others = backoffs.iter().filter(|(_, sender, _)| sender == host);
                let overlaps = others.any(|(other_from, _, other_delay)| {
                    *other_from < latest && *other_from + *other_delay > until
                });
                let has_returned = own.any(|(at, _)| *at >= until && *at <= latest);
                assert!(
                    has_returned || overlaps || latest > START + Duration::from_secs(SECONDS),
                    "{hosts} hosts, seed {seed}: not back by {latest:?}"
                );
            }
        }
    }
}

#[test]
fn sixty_hosts_do_not_return_at_the_same_moment() {
    let ends = (0..60).map(|local| {
        let mut backoffs = Backoffs::new(local);
        backoffs
            .request(START, KEY, millis(2_000))
            .expect("a back-off")
    });
    let mut ends: Vec<Moment> = ends.collect();
    ends.sort();
    let in_window = |start: &Moment| {
        let end = *start + millis(20);
        ends.iter().filter(|at| *at >= start && **at < end).count()
    };
    let busiest = ends.iter().map(in_window).max();
    assert!(busiest <= Some(15), "{busiest:?}");
}
