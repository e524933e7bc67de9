//! How many requests hosts send together to an endpoint that names a limit.

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kumquatdrum_placement::{
    Balancer, DataCentreKey, Decision, EndpointKey, Job, JobId, Limits, Place, Planner, Rate,
};
use kumquatdrum_types::Moment;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Moment = Moment::from_millis(1_000_000);
const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(1);
const KEY: EndpointKey = EndpointKey(77);
const SECONDS: u64 = 30;

/// The load on a simulated system.
#[derive(Debug, Clone, Copy)]
struct Load {
    hosts: u32,
    rate: f64,
    /// Requests per second at each of the hosts that have any.
    demand: f64,
    /// The hosts that have requests.
    busy_hosts: u32,
    max_delay_ms: u64,
    /// The share of messages that are lost.
    loss: f64,
    /// The interval at which a host restarts, which then knows no limit and no requests.
    restart_interval: Option<Duration>,
}

const USUAL: Load = Load {
    hosts: 9,
    rate: 2.0,
    demand: 3.0,
    busy_hosts: 9,
    max_delay_ms: 20,
    loss: 0.0,
    restart_interval: None,
};

struct Host {
    limits: Limits,
    waiting: u32,
}

fn share(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

fn start_host(load: &Load, number: u32) -> Host {
    let mut limits = Limits::default();
    limits.set_hosts(number, 0..load.hosts);
    Host { limits, waiting: 0 }
}

/// Plays a load and returns when requests were sent to the limited endpoint.
fn play(load: Load, seed: u64) -> Vec<Moment> {
    let mut random = Pcg32::seed_from_u64(seed);
    let rate = Rate::new(load.rate).expect("a rate");
    let mut hosts: Vec<Host> = (0..load.hosts)
        .map(|number| start_host(&load, number))
        .collect();
    for host in &mut hosts {
        host.limits.name(START, KEY, rate);
    }
    let mut in_transit: BinaryHeap<Reverse<(Moment, u32, u32)>> = BinaryHeap::new();
    let mut sent = Vec::new();
    let mut now = START;
    let mut restarted_at = START;
    while now < START + Duration::from_secs(SECONDS) {
        now = now + STEP;
        while let Some(Reverse((at, to, from))) =
            in_transit.peek().copied().filter(|next| next.0.0 <= now)
        {
            in_transit.pop();
            hosts[to as usize].limits.name(at, KEY, rate);
            hosts[to as usize].limits.record(at, KEY, from);
        }
        if load
            .restart_interval
            .is_some_and(|interval| now - restarted_at >= interval)
        {
            restarted_at = now;
            let number = random.next_u32() % load.hosts;
            hosts[number as usize] = start_host(&load, number);
            hosts[number as usize].limits.name(now, KEY, rate);
        }
        for number in 0..load.busy_hosts {
            let host = &mut hosts[number as usize];
            host.waiting += u32::from(share(&mut random) < load.demand * STEP.as_secs_f64());
            if host.waiting == 0 || host.limits.is_exhausted(now, KEY) {
                continue;
            }
            host.waiting -= 1;
            host.limits.record_local(now, KEY);
            sent.push(now);
            for other in (0..load.hosts).filter(|other| *other != number) {
                if share(&mut random) >= load.loss {
                    let delay = u64::from(random.next_u32()) % load.max_delay_ms;
                    let at = now + Duration::from_millis(1 + delay);
                    in_transit.push(Reverse((at, other, number)));
                }
            }
        }
    }
    sent
}

fn busiest_window(sent: &[Moment]) -> usize {
    let in_window = |start: &Moment| {
        let end = *start + WINDOW;
        sent.iter().filter(|at| *at >= start && **at <= end).count()
    };
    sent.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(rate: f64) -> usize {
    (6.0 * rate + 5.0) as usize
}

#[test]
fn all_hosts_together_stay_within_the_limit_and_use_it() {
    let loads = [
        USUAL,
        Load { rate: 1.8, ..USUAL },
        Load {
            rate: 0.05,
            ..USUAL
        },
        Load {
            rate: 20.0,
            demand: 10.0,
            ..USUAL
        },
        Load {
            max_delay_ms: 150,
            ..USUAL
        },
        Load {
            loss: 0.05,
            ..USUAL
        },
        Load {
            hosts: 1,
            busy_hosts: 1,
            demand: 10.0,
            ..USUAL
        },
        Load {
            hosts: 300,
            busy_hosts: 300,
            demand: 0.5,
            max_delay_ms: 60,
            ..USUAL
        },
        Load {
            hosts: 300,
            busy_hosts: 300,
            rate: 1.8,
            demand: 0.5,
            max_delay_ms: 60,
            ..USUAL
        },
        Load {
            restart_interval: Some(Duration::from_secs(5)),
            ..USUAL
        },
    ];
    for load in loads {
        let seeds = if load.hosts > 100 { 0..2 } else { 0..20 };
        for seed in seeds {
            let sent = play(load, seed);
            let busiest = busiest_window(&sent);
            let used = sent.len() as f64 / (load.rate * SECONDS as f64);
            assert!(
                busiest <= allowed(load.rate),
                "{busiest} at seed {seed}: {load:?}"
            );
            assert!(
                used > 0.85 || load.rate < 1.0,
                "used {used} at seed {seed}: {load:?}"
            );
        }
    }
}

#[test]
fn the_requests_of_one_host_use_what_the_others_leave() {
    for busy_hosts in 1..=3 {
        let load = Load {
            busy_hosts,
            demand: 6.0,
            ..USUAL
        };
        let used = play(load, 1).len() as f64 / (load.rate * SECONDS as f64);
        assert!(used > 0.9, "{used} with {busy_hosts} busy hosts");
    }
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
}

fn after(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

#[test]
fn a_limit_ends_with_a_response_that_names_none_unless_it_overtook_another() {
    let mut limits = Limits::default();
    limits.name(START, KEY, rate(0.5));
    assert!(!limits.end(after(100), KEY));
    assert!(limits.contains(KEY));
    assert!(limits.end(after(600), KEY));
    assert!(!limits.is_exhausted(after(600), KEY));
}

#[test]
fn an_unchanged_limit_is_announced_once_a_second() {
    let mut limits = Limits::default();
    let named = (0..50).filter(|step| limits.name(after(step * 100), KEY, rate(2.0)));
    assert_eq!(named.count(), 5);
    assert!(limits.name(after(5_001), KEY, rate(1.0)));
}

#[test]
fn a_limit_that_falls_leaves_no_requests_of_the_higher_rate() {
    let mut limits = Limits::default();
    limits.name(START, KEY, rate(100.0));
    limits.name(after(1_000), KEY, rate(1.0));
    let sent = (0..100).filter(|_| {
        let is_free = !limits.is_exhausted(after(1_001), KEY);
        limits.record_local(after(1_001), KEY);
        is_free
    });
    assert_eq!(sent.count(), 1);
}

fn job(number: u64, prompt_tokens: u64) -> Job {
    Job {
        id: JobId { host: 1, number },
        prompt_tokens,
        answer_tokens: 100,
        max_pause: Duration::from_millis(250),
        arrived: START,
        due: after(300),
        deadline: after(10_000),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

fn planner(engines: u64) -> Planner {
    let mut planner = Planner::new(support::engine());
    planner.set_endpoints((1..=engines).map(|number| (EndpointKey(number), DataCentreKey(0))));
    planner
}

#[test]
fn a_prompt_goes_to_other_engines_while_a_limit_is_reached() {
    let mut planner = planner(2);
    planner.limits_mut().name(START, EndpointKey(1), rate(1.0));
    for number in 0..8 {
        match planner.place(START, &job(number, 2_000)) {
            Decision::Send(plan, _) => assert_eq!(plan.first, EndpointKey(2)),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn a_prompt_waits_if_all_engines_have_reached_their_limits() {
    let mut planner = planner(2);
    for key in 1..=2 {
        planner
            .limits_mut()
            .name(START, EndpointKey(key), rate(1.0));
    }
    // It fits both engines together only.
    for prompt_tokens in [2_000, 400_000] {
        let decision = planner.place(START, &job(1, prompt_tokens));
        assert_eq!(decision, Decision::Limited);
    }
    let at = after(1_100);
    let sent = (0..4)
        .filter(|number| matches!(planner.place(at, &job(*number, 2_000)), Decision::Send(..)));
    assert_eq!(sent.count(), 2);
}

#[test]
fn engines_with_a_limit_prefill_no_parts_of_long_prompts() {
    let mut planner = planner(6);
    for key in 1..=3 {
        planner
            .limits_mut()
            .name(START, EndpointKey(key), rate(10.0));
    }
    match planner.place(after(1_000), &job(1, 150_000)) {
        Decision::Send(plan, _) => assert!(plan.prefill_engines().all(|key| key.0 > 3), "{plan:?}"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_plain_request_goes_to_other_endpoints_while_a_limit_is_reached() {
    let mut balancer = Balancer::default();
    let endpoints = (1..=2).map(|number| (EndpointKey(number), DataCentreKey(0), 4));
    balancer.set_endpoints(endpoints);
    balancer.limits_mut().name(START, EndpointKey(1), rate(1.0));
    let chosen: Vec<_> = (0..8).filter_map(|_| balancer.choose(START, &[])).collect();
    assert_eq!(chosen, vec![EndpointKey(2); 8]);
    assert_eq!(balancer.choose(START, &[EndpointKey(2)]), None);
    assert!(balancer.has_exhausted(START, &[EndpointKey(2)]));
}

/// What became of jobs that came to one host at the same moment.
#[derive(Debug, Default, PartialEq, Eq)]
struct Turns {
    /// Jobs refused on arrival.
    refused: usize,
    sent: usize,
    /// Jobs refused after they had waited.
    given_up: usize,
}

/// Plays jobs that all come at [`START`] to one host, each with the given time until its deadline.
/// The host looks at the waiting jobs at an interval of up to `max_interval_ms`, and at the last
/// one before it sends the first one.
fn play_turns(
    jobs: usize,
    per_second: f64,
    left: Duration,
    max_interval_ms: u32,
    seed: u64,
) -> Turns {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut limits = Limits::default();
    limits.name(START, KEY, rate(per_second));
    let deadline = START + left;
    let mut turns = Turns::default();
    let mut waiting = 0;
    for _ in 0..jobs {
        let place = Place {
            ahead: waiting,
            left,
            is_new: true,
        };
        if limits.summarise(START, |_| true).is_in_time(place) {
            waiting += 1;
        } else {
            turns.refused += 1;
        }
    }
    let mut now = START;
    while waiting > 0 {
        now = now + Duration::from_millis(u64::from(1 + random.next_u32() % max_interval_ms));
        let summary = limits.summarise(now, |_| true);
        let is_in_time = |ahead| {
            let left = deadline - now;
            let is_new = false;
            summary.is_in_time(Place {
                ahead,
                left,
                is_new,
            })
        };
        let kept = (0..waiting).filter(|ahead| is_in_time(*ahead)).count();
        turns.given_up += waiting - kept;
        waiting = kept;
        if waiting > 0 && !limits.is_exhausted(now, KEY) {
            limits.record_local(now, KEY);
            waiting -= 1;
            turns.sent += 1;
        }
    }
    turns
}

#[test]
fn a_job_that_joins_the_waiting_jobs_gets_its_turn() {
    let left = Duration::from_secs(8);
    for (per_second, sent) in [(2.0, 15), (0.5, 3), (20.0, 154), (0.3, 2)] {
        for seed in 0..50 {
            let turns = play_turns(200, per_second, left, 50, seed);
            let expected = Turns {
                refused: 200 - sent,
                sent,
                given_up: 0,
            };
            assert_eq!(turns, expected, "{per_second} per second, seed {seed}");
        }
    }
}

#[test]
fn the_first_of_the_waiting_jobs_waits_for_a_token_that_comes_in_time() {
    let mut limits = Limits::default();
    limits.name(START, KEY, rate(0.2));
    let place = Place {
        ahead: 0,
        left: Duration::from_secs(2),
        is_new: true,
    };
    assert!(!limits.summarise(START, |_| true).is_in_time(place));
    assert!(limits.summarise(after(4_000), |_| true).is_in_time(place));
}

#[test]
fn a_debt_to_other_hosts_delays_the_waiting_jobs() {
    let mut limits = Limits::default();
    limits.set_hosts(1, 1..=2);
    limits.name(START, KEY, rate(2.0));
    for _ in 0..4 {
        limits.record(START, KEY, 2);
    }
    let wait = limits.summarise(START, |_| true).wait(0).expect("a wait");
    // Four requests of the other host are paid off at 2 per second; then a token comes at no less
    // than half of the rate.
    assert!(wait >= Duration::from_millis(2_500), "{wait:?}");
    assert!(wait <= Duration::from_secs(3), "{wait:?}");
}
