//! The schedule of requests to control hosts, played by seeds without clock and network.
//!
//! Guards against hellos that wait for control hosts that are not up, and against requests for lists
//! and endpoints that are repeated while their answers are under way, which overloaded control hosts
//! when 300 hosts started at once.

#[path = "support/play.rs"]
mod play;

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_gateway::contact::{ContactRequest, Reply, Schedule, Target};
use kumquatdrum_types::{HostId, Moment, hash};

use self::play::{CONTROL_HOSTS, Play, START, control};

const WELCOME: Reply = Reply::Welcome {
    has_setup: true,
    lacks_endpoints: false,
};

/// Control hosts that come up one after another, 0.1 to 0.5 s after the first host.
fn ups(seed: u64) -> [u64; CONTROL_HOSTS] {
    std::array::from_fn(|number| 100 + hash::mix(seed ^ number as u64) % 400)
}

#[test]
fn hosts_are_informed_soon_after_the_first_control_host_is_up() {
    for seed in 0..20 {
        let up = ups(seed);
        let first = up.into_iter().min().unwrap_or_default();
        let play = Play {
            seed,
            up,
            endpoints_ms: 2,
            lost_one_in: 0,
            max_queue_ms: 1_000,
            frozen: (0, 0),
            hosts: 12,
            length_ms: 3_000,
            ..Play::default()
        };
        for record in play.run() {
            // Hellos waited 700 ms for control hosts that were not up, and paused for 100 ms.
            let answered = record.first_answer.expect("an answer");
            assert!(answered <= first + 20, "seed {seed}: {record:?}");
            let (listed, _) = record.listings[0];
            assert!(listed >= answered && listed <= answered + 50, "seed {seed}");
            let received = record.endpoints_received.expect("all endpoints");
            assert!(received <= first + 150, "seed {seed}: {record:?}");
        }
    }
}

#[test]
fn three_hundred_hosts_request_all_endpoints_once_from_each_source() {
    for seed in 0..3 {
        let play = Play {
            seed,
            up: ups(seed),
            // 360 KB at 21 MB/s.
            endpoints_ms: 17,
            endpoint_bytes: 360_000,
            lost_one_in: 0,
            max_queue_ms: u64::MAX / 2,
            frozen: (0, 0),
            hosts: 300,
            length_ms: 9_000,
            ..Play::default()
        };
        let records = play.run();
        let mut by_source: IndexMap<HostId, usize> = IndexMap::new();
        for record in &records {
            // Refusals by the allowance counted as sources, so most hosts got no second one.
            // A third if the first two are no contacts any more once others are up.
            assert!(
                (2..=3).contains(&record.sources.len()),
                "seed {seed}: {record:?}"
            );
            let sources: IndexSet<&HostId> = record.sources.iter().collect();
            assert_eq!(
                sources.len(),
                record.sources.len(),
                "seed {seed}: {record:?}"
            );
            for (_, source) in &record.endpoints {
                *by_source.entry(source.clone()).or_default() += 1;
            }
        }
        let requests: usize = by_source.values().sum();
        println!("seed {seed}: all endpoints requested {by_source:?}");
        // Refusals are light and come at once; an answer that is sent is never dropped for its lateness.
        assert!(requests <= 300 * 12, "seed {seed}: {by_source:?}");
        let sent: usize = records.iter().map(|record| record.endpoints_sent).sum();
        assert!(sent <= 300 * 2 + 300 / 10, "seed {seed}: {sent}");
    }
}

/// Guards against hellos that wait for a slow answer or a listing, so that a host counts as lost, which
/// it does after 2 s.
#[test]
fn slow_answers_do_not_delay_the_next_hello() {
    for seed in 0..20 {
        let play = Play {
            seed,
            endpoints_ms: 5,
            max_queue_ms: 1_000,
            hosts: 4,
            length_ms: 60_000,
            max_hello_ms: 5_000,
            ..Play::default()
        };
        for record in play.run() {
            // The first hello is awaited for 3 s until one was answered.
            let answered = record.answered_by.values().min().expect("an answer");
            let sent = record.hello_times.iter();
            let sent: Vec<&(u64, HostId)> = sent.filter(|(at, _)| at >= answered).collect();
            let times: Vec<u64> = sent.iter().map(|(at, _)| *at).collect();
            let times = [&[*answered], &times[..], &[play.length_ms]].concat();
            let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
            assert!(gaps.max() <= Some(1_600), "seed {seed}: {times:?}");
            // In any span in which a host that is silent would be lost, two control hosts hear from it.
            for start in (*answered + 1_600..play.length_ms - 2_000).step_by(100) {
                let span = sent
                    .iter()
                    .filter(|(at, _)| (start..start + 2_000).contains(at));
                let heard: IndexSet<&HostId> = span.map(|(_, to)| to).collect();
                assert!(heard.len() >= 2, "seed {seed}, {start}: {heard:?}");
            }
        }
    }
}

/// Guards against placing by the empty answer of a control host without its disk.
#[test]
fn control_hosts_without_disks_are_no_sources() {
    for (seed, empty) in (0..10).flat_map(|seed| (0..=CONTROL_HOSTS).map(move |n| (seed, n))) {
        let play = Play {
            seed,
            up: [0; CONTROL_HOSTS],
            endpoints_ms: 5,
            max_queue_ms: 1_000,
            hosts: 4,
            length_ms: 3_000,
            empty,
            ..Play::default()
        };
        for record in play.run() {
            assert_eq!(record.sources.len(), (CONTROL_HOSTS - empty).min(2));
            if empty < CONTROL_HOSTS {
                assert_eq!(record.informed, record.endpoints_received, "seed {seed}");
            }
            assert!(record.informed.is_some(), "seed {seed}: {record:?}");
            let requests = record.endpoints.len();
            assert!(requests <= CONTROL_HOSTS, "seed {seed}: {record:?}");
        }
    }
}

#[test]
fn nothing_is_repeated_and_all_are_informed_if_answers_are_lost() {
    for seed in 0..20 {
        let play = Play {
            seed,
            up: ups(seed),
            endpoints_ms: 5,
            lost_one_in: 4,
            max_queue_ms: 1_000,
            frozen: (0, 0),
            hosts: 8,
            length_ms: 30_000,
            ..Play::default()
        };
        for record in play.run() {
            assert!(record.endpoints_received.is_some(), "seed {seed}");
            assert!(record.listings.len() > 10, "seed {seed}: {record:?}");
        }
    }
}

#[test]
fn listings_continue_while_control_hosts_are_frozen() {
    let frozen = (0..20).flat_map(|seed| (1..4).map(move |frozen| (seed, frozen)));
    for ((seed, frozen), max_hello_ms) in frozen.flat_map(|it| [(it, 0), (it, 400)]) {
        let play = Play {
            seed,
            up: ups(seed),
            endpoints_ms: 5,
            max_queue_ms: 1_000,
            frozen: (frozen, 5_000),
            hosts: 4,
            length_ms: 15_000,
            max_hello_ms,
            ..Play::default()
        };
        for record in play.run() {
            // Hosts count as lost 2 s after the last listing that has arrived.
            let times = &record.listings_received;
            let gaps = [&times[..], &[play.length_ms]].concat();
            let gaps = gaps.windows(2).map(|pair| pair[1] - pair[0]);
            assert!(
                times.len() > 1 && gaps.max() < Some(2_000),
                "seed {seed}, {frozen} frozen, {max_hello_ms} ms: {:?}",
                record.listings_received
            );
        }
    }
}

#[test]
fn hellos_and_listings_go_to_three_contacts_in_the_steady_state() {
    let play = Play {
        seed: 1,
        up: [0; CONTROL_HOSTS],
        endpoints_ms: 5,
        lost_one_in: 0,
        max_queue_ms: 1_000,
        frozen: (0, 0),
        hosts: 1,
        length_ms: 20_000,
        ..Play::default()
    };
    for record in play.run() {
        // Two near contacts each 0.5 s, a far one each second, and one at the start to each known host.
        let mut hellos: Vec<(usize, bool)> = (0..CONTROL_HOSTS)
            .map(|number| (record.hellos[&control(number)], number >= 2))
            .collect();
        hellos.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        for (place, (count, is_far)) in hellos.into_iter().enumerate() {
            let (least, most) = [(36, 42), (36, 42), (16, 22)]
                .get(place)
                .copied()
                .unwrap_or((1, 1));
            assert!((least..=most).contains(&count), "{record:?}");
            assert_eq!(is_far, place >= 2, "{record:?}");
        }
        // One a second of each contact, in its hellos, besides those that close a gap between two.
        assert!(record.listings.len() <= 66, "{:?}", record.listings);
        let hellos: usize = record.hellos.values().sum();
        assert!(hellos <= 41 + 41 + 21 + 6, "{record:?}");
        // Hosts count as lost 2 s after the last listing.
        let gaps = record.listings.windows(2).map(|pair| pair[1].0 - pair[0].0);
        assert!(gaps.max() <= Some(1_000), "{:?}", record.listings);
        let sources: IndexMap<&HostId, ()> =
            record.listings.iter().map(|(_, from)| (from, ())).collect();
        assert_eq!(sources.len(), 3, "a partitioned one hides none");
    }
}

#[test]
fn a_frozen_control_host_delays_nothing() {
    for frozen in 0..CONTROL_HOSTS {
        let mut up = [0; CONTROL_HOSTS];
        up[frozen] = u64::MAX / 2;
        let play = Play {
            seed: 1,
            up,
            endpoints_ms: 5,
            lost_one_in: 0,
            max_queue_ms: 1_000,
            frozen: (0, 0),
            hosts: 1,
            length_ms: 10_000,
            ..Play::default()
        };
        let record = &play.run()[0];
        assert!(record.endpoints_received <= Some(100), "{record:?}");
        // Two near contacts and a far one, or one near and two far ones if a near one is frozen.
        let near = if frozen < 2 { 1 } else { 2 };
        let others = (0..CONTROL_HOSTS).filter(|number| *number != frozen);
        let counts = others.map(|number| (number, record.hellos[&control(number)]));
        let counts: Vec<(usize, usize)> = counts.collect();
        let often = counts
            .iter()
            .filter(|(number, count)| *number < 2 && *count >= 18);
        assert_eq!(often.count(), near, "{record:?}");
        let far = counts.iter().filter(|(number, _)| *number >= 2);
        let far: usize = far.map(|(_, count)| count).sum();
        assert!(far >= 9 * (3 - near), "{record:?}");
        // One hello is in flight at a time.
        assert!(record.hellos[&control(frozen)] <= 4, "{record:?}");
    }
}

#[test]
fn starting_hosts_spread_over_the_near_control_hosts() {
    let play = Play {
        seed: 1,
        up: [10; CONTROL_HOSTS],
        endpoints_ms: 1,
        lost_one_in: 0,
        max_queue_ms: 1_000,
        frozen: (0, 0),
        hosts: 240,
        length_ms: 200,
        ..Play::default()
    };
    let mut first: IndexMap<HostId, usize> = IndexMap::new();
    for record in play.run() {
        *first.entry(record.endpoints[0].1.clone()).or_default() += 1;
    }
    let most = first.values().max();
    assert!(most <= Some(&144) && first.len() >= 2, "{first:?}");
    assert!(first.contains_key(&control(0)) && first.contains_key(&control(1)));
}

/// Guards against the late answer to a hello before a removal that ends the wait for the next one.
#[test]
fn a_late_answer_is_not_taken_for_the_next_hello() {
    let now = Moment::from_millis(START);
    let mut schedule = Schedule::new(now, control(9), false);
    let target = Target {
        host: control(0),
        is_remote: false,
    };
    schedule.set_targets([target.clone()]);
    let first = schedule.poll(now);
    schedule.set_targets([]);
    schedule.set_targets([target]);
    let second = schedule.poll(now);
    let [ContactRequest::Hello(first), ContactRequest::Hello(second)] = [&first[0], &second[0]]
    else {
        panic!("hellos were expected: {first:?} {second:?}");
    };
    let welcome = WELCOME;
    schedule.record_hello(now, first, welcome);
    let later = now + Duration::from_millis(500);
    assert!(schedule.poll(later).is_empty(), "the second is in flight");
    schedule.record_hello(later, second, welcome);
    assert!(!schedule.poll(later).is_empty());
}

/// Refuses all hellos to a control host for some milliseconds, and returns the number of hellos.
fn refuse(schedule: &mut Schedule, from: &HostId, range: std::ops::Range<u64>) -> usize {
    let mut hellos = 0;
    for at in range {
        let now = Moment::from_millis(START) + Duration::from_millis(at);
        for request in schedule.poll(now) {
            let ContactRequest::Hello(hello) = request else {
                continue;
            };
            let reply = if hello.to == *from {
                hellos += 1;
                Reply::Missing
            } else {
                WELCOME
            };
            schedule.record_hello(now, &hello, reply);
        }
    }
    hellos
}

fn near(number: usize) -> Target {
    Target {
        host: control(number),
        is_remote: false,
    }
}

/// Guards against a host that finds the first control host late because it was refused for long.
#[test]
fn a_host_that_knows_no_control_host_does_not_slow_down() {
    for refused_ms in [10_000, 20_000] {
        let mut schedule = Schedule::new(Moment::from_millis(START), control(9), false);
        schedule.set_targets([near(0)]);
        let hellos = refuse(&mut schedule, &control(0), 0..refused_ms);
        assert!(hellos as u64 >= refused_ms / 100, "{hellos}");
        let is_sent = (refused_ms..=refused_ms + 150).any(|at| {
            let now = Moment::from_millis(START) + Duration::from_millis(at);
            !schedule.poll(now).is_empty()
        });
        assert!(is_sent, "{refused_ms}");
    }
}

#[test]
fn a_control_host_without_an_answer_is_retried_quickly_for_a_while_only() {
    let mut schedule = Schedule::new(Moment::from_millis(START), control(9), false);
    schedule.set_targets([near(0), near(1)]);
    let hellos = refuse(&mut schedule, &control(0), 0..20_000);
    // 30 at 100 ms, and one each 500 ms in the remaining 17 s.
    assert!((60..=70).contains(&hellos), "{hellos}");
}

/// Guards against control hosts that send all endpoints to most hosts that start.
#[test]
fn starting_hosts_spread_over_six_near_control_hosts() {
    let play = Play {
        seed: 1,
        up: [10; CONTROL_HOSTS],
        endpoints_ms: 1,
        max_queue_ms: 1_000,
        hosts: 240,
        length_ms: 1_000,
        is_all_near: true,
        ..Play::default()
    };
    let mut requests: IndexMap<HostId, usize> = IndexMap::new();
    for record in play.run() {
        assert_eq!(record.endpoints.len(), 2, "{record:?}");
        for (_, from) in record.endpoints {
            *requests.entry(from).or_default() += 1;
        }
    }
    assert_eq!(requests.len(), CONTROL_HOSTS, "{requests:?}");
    assert!(requests.values().max() <= Some(&120), "{requests:?}");
}

/// Guards against requests to far control hosts just because their answers arrived first.
#[test]
fn a_near_control_host_that_answers_a_little_later_is_asked_first() {
    for late_ms in [25, 60] {
        let play = Play {
            seed: 1,
            up: [late_ms, late_ms, 0, 0, 0, 0],
            endpoints_ms: 1,
            max_queue_ms: 1_000,
            hosts: 20,
            length_ms: 500,
            ..Play::default()
        };
        for record in play.run() {
            let (at, from) = &record.endpoints[0];
            let is_near = *from == control(0) || *from == control(1);
            // The wait for near ones ends 40 ms after the first answer.
            assert_eq!(is_near, late_ms == 25, "{late_ms}: {record:?}");
            assert!(*at <= 60, "{late_ms}: {record:?}");
        }
    }
}

/// Guards against control hosts that lack the hosts or endpoints that only another one knows.
#[test]
fn control_hosts_request_all_endpoints_and_listings_of_all_others() {
    let play = Play {
        seed: 1,
        up: ups(1),
        endpoints_ms: 5,
        max_queue_ms: 1_000,
        hosts: 2,
        length_ms: 10_000,
        is_control: true,
        ..Play::default()
    };
    for record in play.run() {
        assert_eq!(record.sources.len(), CONTROL_HOSTS, "{record:?}");
        for number in 0..CONTROL_HOSTS {
            let from = control(number);
            assert!(record.sources.contains(&from), "{record:?}");
            let listings = record.listings.iter().filter(|(_, asked)| *asked == from);
            // Each 0.5 s, also of those in other data centres.
            assert!((17..=21).contains(&listings.count()), "{record:?}");
        }
    }
}

/// Guards against changed endpoints from each source all the time, and against none while a source is
/// frozen: endpoints count as silent after 4.8 s.
#[test]
fn changed_endpoints_come_from_one_source_and_go_on_if_it_freezes() {
    for (seed, frozen) in (0..10).flat_map(|seed| (0..3).map(move |frozen| (seed, frozen))) {
        let play = Play {
            seed,
            endpoints_ms: 5,
            max_queue_ms: 1_000,
            frozen: (frozen, 10_000),
            hosts: 4,
            length_ms: 30_000,
            ..Play::default()
        };
        for record in play.run() {
            let times = &record.changes_received;
            let steady = times
                .iter()
                .filter(|at| (2_000..10_000).contains(*at))
                .count();
            assert!((7..=12).contains(&steady), "seed {seed}: {times:?}");
            // Until the end, as none may come after both sources have frozen.
            let ends = [&times[..], &[play.length_ms]].concat();
            let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
            assert!(
                gaps.max() <= Some(3_500),
                "seed {seed}, {frozen} frozen: {times:?}"
            );
        }
    }
}
