//! What a host concludes from its requests about its path to the endpoints of a service.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatdrum_placement::{Change, EndpointKey, Path, Route, Trouble};
use kumquatdrum_types::Moment;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const ENDPOINTS: usize = 6;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn key(number: u64) -> EndpointKey {
    EndpointKey(number)
}

/// Returns a path on which an endpoint has answered at 1,000 ms.
fn answered() -> Path {
    let mut path = Path::default();
    assert_eq!(path.record_answer(at(1_000), key(0), at(950)), None);
    path
}

/// Returns a path that counts as cut since 2,000 ms.
fn cut() -> Path {
    let mut path = answered();
    for number in 0..2 {
        path.record_trouble(
            at(2_000),
            key(number),
            Trouble::Unconnected,
            at(2_000),
            ENDPOINTS,
        );
        path.record_second_opinion(at(2_000), key(number), ENDPOINTS);
    }
    assert!(path.is_cut());
    path
}

#[test]
fn a_path_is_cut_once_a_relay_reaches_two_endpoints_that_this_host_does_not() {
    let mut path = answered();
    path.record_trouble(
        at(2_000),
        key(1),
        Trouble::Unconnected,
        at(2_000),
        ENDPOINTS,
    );
    assert_eq!(
        path.record_second_opinion(at(2_002), key(1), ENDPOINTS),
        None
    );
    assert_eq!(path.route(at(2_003), key(1)), Route::RelayFirst);
    assert_eq!(path.route(at(2_003), key(2)), Route::Direct);
    let doubt = path.record_trouble(
        at(2_004),
        key(2),
        Trouble::Unconnected,
        at(2_004),
        ENDPOINTS,
    );
    assert_eq!(doubt, Some(Change::Doubted));
    let cut = path.record_second_opinion(at(2_006), key(2), ENDPOINTS);
    assert_eq!(cut, Some(Change::Cut));
    assert_eq!(path.route(at(2_007), key(3)), Route::RelayOnly);
}

#[test]
fn an_endpoint_that_only_a_relay_reaches_is_tried_directly_again_after_a_second() {
    let mut path = answered();
    path.record_trouble(
        at(2_000),
        key(1),
        Trouble::Unconnected,
        at(2_000),
        ENDPOINTS,
    );
    path.record_second_opinion(at(2_000), key(1), ENDPOINTS);
    path.record_answer(at(2_010), key(2), at(2_005));
    assert_eq!(path.route(at(2_900), key(1)), Route::RelayFirst);
    assert_eq!(path.route(at(3_001), key(1)), Route::Direct);
}

#[test]
fn trouble_with_one_endpoint_raises_no_doubt() {
    for trouble in [Trouble::Unconnected, Trouble::Broken, Trouble::Late] {
        let mut path = answered();
        for millis in 2_000..2_100 {
            let now = at(millis);
            assert_eq!(
                path.record_trouble(now, key(1), trouble, now, ENDPOINTS),
                None
            );
        }
        assert_eq!(path.route(at(2_100), key(2)), Route::Direct);
    }
}

#[test]
fn an_endpoint_that_is_silent_while_others_answer_raises_no_doubt() {
    let mut path = answered();
    for millis in (2_000..4_000).step_by(100) {
        let now = at(millis);
        let silent = key(millis / 100 % 2);
        let from = at(millis - 150);
        assert_eq!(
            path.record_trouble(now, silent, Trouble::Late, from, ENDPOINTS),
            None
        );
        path.record_answer(at(millis + 10), key(2), at(millis));
    }
    assert!(!path.is_in_doubt());
}

#[test]
fn the_silence_of_the_only_endpoint_is_no_evidence() {
    let mut path = answered();
    assert_eq!(
        path.record_trouble(at(2_000), key(0), Trouble::Late, at(1_900), 1),
        None
    );
    let refused = path.record_trouble(at(2_000), key(0), Trouble::Unconnected, at(2_000), 1);
    assert_eq!(refused, Some(Change::Doubted));
}

#[test]
fn a_probe_that_is_answered_ends_a_doubt_at_once() {
    let mut path = answered();
    for number in 1..3 {
        path.record_trouble(
            at(2_000),
            key(number),
            Trouble::Broken,
            at(2_000),
            ENDPOINTS,
        );
    }
    assert_eq!(path.route(at(2_001), key(3)), Route::RelayFirst);
    let cleared = path.record_answer(at(2_003), key(3), at(2_001));
    assert_eq!(cleared, Some(Change::Cleared));
    assert_eq!(path.route(at(2_004), key(3)), Route::Direct);
}

#[test]
fn relayed_answers_and_a_failed_probe_cut_a_path_in_either_order() {
    for is_probe_first in [false, true] {
        let mut path = answered();
        for number in 1..3 {
            path.record_trouble(at(2_200), key(number), Trouble::Late, at(2_000), ENDPOINTS);
        }
        let changes = if is_probe_first {
            let probe = path.record_failed_probe(at(2_350), Trouble::Late);
            [probe, path.record_relayed_answer(at(2_360))]
        } else {
            let relayed = path.record_relayed_answer(at(2_350));
            [relayed, path.record_failed_probe(at(2_360), Trouble::Late)]
        };
        assert_eq!(changes, [None, Some(Change::Cut)]);
    }
}

#[test]
fn a_host_that_no_relay_helps_is_isolated_after_three_probes() {
    let mut path = answered();
    for number in 1..3 {
        path.record_trouble(
            at(2_000),
            key(number),
            Trouble::Unconnected,
            at(2_000),
            ENDPOINTS,
        );
    }
    assert_eq!(
        path.record_failed_probe(at(2_150), Trouble::Unconnected),
        None
    );
    assert_eq!(path.route(at(2_160), key(1)), Route::RelayFirst);
    path.record_failed_probe(at(2_400), Trouble::Unconnected);
    assert!(!path.is_isolated());
    path.record_failed_probe(at(2_650), Trouble::Unconnected);
    assert!(path.is_isolated());
    assert!(!path.is_cut(), "no other host reaches the endpoints");
    assert_eq!(path.route(at(2_660), key(5)), Route::RelayOnly);
    let restored = path.record_answer(at(2_900), key(5), at(2_890));
    assert_eq!(restored, Some(Change::Restored));
}

#[test]
fn answers_on_connections_from_before_a_cut_do_not_end_it() {
    let mut path = cut();
    assert_eq!(path.record_answer(at(2_500), key(3), at(1_990)), None);
    assert!(path.is_in_doubt());
}

#[test]
fn a_path_returns_step_by_step() {
    let mut path = cut();
    let recovering = path.record_answer(at(5_000), key(3), at(4_990));
    assert_eq!(recovering, Some(Change::Recovering));
    let mut allowed = Vec::new();
    for round in 0..3 {
        let now = at(5_010 + round * 10);
        let routes = (0..16).map(|number| path.route(now, key(number)));
        let direct = routes.filter(|route| *route == Route::Direct).count();
        allowed.push(direct);
        for _ in 0..direct {
            path.record_answer(now + Duration::from_millis(1), key(3), now);
        }
    }
    assert_eq!(allowed, [1, 2, 16]);
}

#[test]
fn trouble_during_the_return_cuts_a_path_again() {
    let mut path = cut();
    path.record_answer(at(5_000), key(3), at(4_990));
    let mut fail = |number| {
        let now = at(5_300);
        path.record_trouble(now, key(number), Trouble::Unconnected, now, ENDPOINTS)
    };
    // A single lost packet does not.
    assert_eq!(fail(4), None);
    assert_eq!(fail(5), Some(Change::Cut));
}

/// How a cut shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Shape {
    Refused,
    Hangs,
    Reset,
    Silent,
}

const SHAPES: [Shape; 4] = [Shape::Refused, Shape::Hangs, Shape::Reset, Shape::Silent];
/// The times of the runtime around the core.
const CONNECT_TIMEOUT: u64 = 300;
const PATIENCE: Duration = Duration::from_millis(150);
const PROBE_INTERVAL: u64 = 250;
const HOP: u64 = 3;

/// What happens at a moment.
#[derive(Debug, Clone, Copy)]
enum Event {
    Send(EndpointKey),
    Answer(EndpointKey, Moment),
    Trouble(EndpointKey, Trouble, Moment),
    SecondOpinion(EndpointKey),
    RelayedAnswer,
    Probe(EndpointKey),
    FailedProbe,
}

/// A host, its endpoints, and the requests under way.
struct World {
    path: Path,
    events: BTreeMap<(u64, u64), Event>,
    random: Pcg32,
    shape: Shape,
    cut: std::ops::Range<u64>,
    /// An endpoint that is down for all hosts.
    down: EndpointKey,
    loss: f64,
}

impl World {
    fn push(&mut self, millis: u64, event: Event) {
        let number = self.events.len() as u64 + (u64::from(self.random.next_u32()) << 20);
        self.events.insert((millis, number), event);
    }

    fn chance(&mut self, probability: f64) -> bool {
        f64::from(self.random.next_u32()) < probability * f64::from(u32::MAX)
    }

    /// Sends a direct request.
    fn send(&mut self, now: u64, key: EndpointKey) {
        let is_cut = self.cut.contains(&now);
        let is_lost = self.chance(self.loss);
        let work = 20 + u64::from(self.random.next_u32() % 60);
        let patience = self.path.patience(PATIENCE).as_millis() as u64;
        match self.shape {
            _ if is_lost && !is_cut => self.fail(now + CONNECT_TIMEOUT, key, at(now), true),
            _ if key == self.down => self.fail(now + 1, key, at(now + 1), false),
            Shape::Refused if is_cut => self.fail(now + 1, key, at(now + 1), true),
            Shape::Hangs if is_cut => self.fail(now + CONNECT_TIMEOUT, key, at(now), true),
            Shape::Reset if is_cut => {
                self.push(now + 2, Event::Trouble(key, Trouble::Broken, at(now + 2)));
            }
            Shape::Silent if is_cut => {
                self.push(now + patience, Event::Trouble(key, Trouble::Late, at(now)));
            }
            _ => self.push(now + work, Event::Answer(key, at(now))),
        }
    }

    /// A connection fails; another host has a try at the same endpoint.
    fn fail(&mut self, now: u64, key: EndpointKey, from: Moment, is_up: bool) {
        self.push(now, Event::Trouble(key, Trouble::Unconnected, from));
        if is_up {
            self.push(now + HOP, Event::SecondOpinion(key));
        }
    }

    fn probe(&mut self, now: u64, key: EndpointKey) {
        let timeout = self.path.patience(PATIENCE).as_millis() as u64;
        if self.cut.contains(&now) || key == self.down {
            self.push(now + timeout, Event::FailedProbe);
        } else {
            self.push(now + 2, Event::Answer(key, at(now)));
        }
    }

    /// Plays all events. Returns the route of each request.
    fn play(&mut self) -> Vec<(u64, Route)> {
        let mut routes = Vec::new();
        let mut next_probe = 0;
        while let Some(((millis, _), event)) = self.events.pop_first() {
            let now = at(millis);
            match event {
                Event::Send(key) => {
                    let route = self.path.route(now, key);
                    routes.push((millis, route));
                    match route {
                        Route::Direct => self.send(millis, key),
                        _ if key == self.down => {}
                        _ => self.push(millis + 30, Event::RelayedAnswer),
                    }
                }
                Event::Answer(key, sent_at) => {
                    self.path.record_answer(now, key, sent_at);
                }
                Event::Trouble(key, trouble, from) => {
                    self.path.record_trouble(now, key, trouble, from, ENDPOINTS);
                }
                Event::SecondOpinion(key) => {
                    self.path.record_second_opinion(now, key, ENDPOINTS);
                }
                Event::RelayedAnswer => {
                    self.path.record_relayed_answer(now);
                }
                Event::Probe(key) => self.probe(millis, key),
                Event::FailedProbe => {
                    self.path.record_failed_probe(now, Trouble::Late);
                }
            }
            if self.path.is_in_doubt() && millis >= next_probe {
                next_probe = millis + PROBE_INTERVAL;
                let ages = (0..ENDPOINTS as u64).map(|number| {
                    let age = Duration::from_millis(u64::from(self.random.next_u32() % 1_200));
                    (key(number), age)
                });
                let known: Vec<(EndpointKey, Duration)> = ages.collect();
                let turn = self.random.next_u32() as usize;
                let place = self.path.choose_probe(now, &known, turn);
                self.push(
                    millis,
                    Event::Probe(key(place.expect("an endpoint") as u64)),
                );
            }
        }
        routes
    }
}

/// Guards against probes of endpoints that have ended while one that has just started is known.
#[test]
fn the_endpoint_that_announced_itself_last_is_probed_first() {
    let mut path = answered();
    for number in 1..3 {
        path.record_trouble(at(2_000), key(number), Trouble::Unconnected, at(2_000), 6);
    }
    let age = Duration::from_millis;
    let mut known: Vec<(EndpointKey, Duration)> = (0..6).map(|n| (key(n), age(900))).collect();
    known.push((key(6), age(50)));
    for turn in 0..7 {
        assert_eq!(path.choose_probe(at(2_100), &known, turn), Some(6));
    }
    path.record_trouble(at(2_100), key(6), Trouble::Unconnected, at(2_100), 7);
    let next = path
        .choose_probe(at(2_350), &known, 6)
        .expect("an endpoint");
    assert!(![1, 2, 6].contains(&next), "{next} is in trouble");
}

#[test]
fn endpoints_take_turns_once_the_path_is_cut() {
    let path = cut();
    let known: Vec<(EndpointKey, Duration)> = (0..6).map(|n| (key(n), Duration::ZERO)).collect();
    let chosen = (0..6).map(|turn| path.choose_probe(at(2_100), &known, turn));
    assert!(chosen.eq((0..6).map(Some)));
}

#[test]
fn a_silence_of_all_endpoints_for_a_second_does_not_isolate_a_host() {
    let mut path = answered();
    for number in 1..3 {
        path.record_trouble(at(2_000), key(number), Trouble::Late, at(1_900), ENDPOINTS);
    }
    for probe in 1..8 {
        path.record_failed_probe(at(2_000 + probe * 150), Trouble::Late);
        assert!(!path.is_isolated(), "after {probe} probes");
    }
    path.record_failed_probe(at(3_200), Trouble::Late);
    assert!(path.is_isolated());
}

#[test]
fn refused_probes_isolate_a_host_that_has_seen_silence() {
    let mut path = answered();
    for number in 1..3 {
        path.record_trouble(at(2_000), key(number), Trouble::Late, at(1_900), ENDPOINTS);
    }
    for probe in 1..3 {
        path.record_failed_probe(at(2_000 + probe * 150), Trouble::Late);
    }
    path.record_failed_probe(at(2_450), Trouble::Unconnected);
    assert!(path.is_isolated());
}

#[test]
fn cuts_of_each_shape_are_bypassed_within_a_second_and_left_within_one() {
    for seed in 0..400 {
        let mut random = Pcg32::seed_from_u64(seed);
        let shape = SHAPES[seed as usize % SHAPES.len()];
        let start = 3_000 + u64::from(random.next_u32() % 1_000);
        let end = start + 2_000 + u64::from(random.next_u32() % 4_000);
        let interval = 10 + u64::from(random.next_u32() % 100);
        let loss = f64::from(random.next_u32() % 3) * 0.01;
        let down = key(u64::from(random.next_u32()) % 12);
        let mut world = World {
            path: Path::default(),
            events: BTreeMap::new(),
            random,
            shape,
            cut: start..end,
            down,
            loss,
        };
        for millis in (0..end + 3_000).step_by(interval as usize) {
            let endpoint = key(u64::from(world.random.next_u32()) % ENDPOINTS as u64);
            world.push(millis, Event::Send(endpoint));
        }
        let routes = world.play();
        let direct = |from: u64, until: u64| {
            let within = routes.iter().filter(|(at, _)| (from..until).contains(at));
            let routes: Vec<Route> = within.map(|(_, route)| *route).collect();
            let direct = routes.iter().filter(|route| **route == Route::Direct);
            (direct.count(), routes.len())
        };
        let case = format!("seed {seed}: {shape:?}, a request each {interval} ms, {loss} lost");
        let (bypassing, all) = direct(start + 1_000, end);
        assert_eq!(bypassing, 0, "{case}: of {all} requests during the cut");
        // After a lost packet, one endpoint's requests take relays for a second.
        let allowed = if loss > 0.0 { 5 } else { 2 };
        let (before, all) = direct(500, start);
        let is_usual = before * 10 >= all * (10 - allowed);
        assert!(is_usual, "{case}: {before} of {all} before the cut");
        let (after, all) = direct(end + 1_000, end + 3_000);
        let is_usual = after * 10 >= all * (10 - allowed);
        assert!(is_usual, "{case}: {after} of {all} after the cut");
        assert!(!world.path.is_cut(), "{case}");
    }
}
