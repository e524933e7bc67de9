//! How many requests hosts send together to a cold endpoint, and who serves the others.

mod support;

use std::time::Duration;

use kumquatdrum_placement::{
    Allowance, Balancer, DataCentreKey, Decision, EndpointKey, Job, JobId, Limits, Planner, Rate,
};
use kumquatdrum_types::Moment;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Moment = Moment::from_millis(1_000_000);
const KEY: EndpointKey = EndpointKey(77);
const RATE: f64 = 14.0;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
const ALLOWED: usize = 26;
const WINDOW: Duration = Duration::from_secs(1);
/// The time after its start for which a host does not know all hosts.
const SETTLE_MS: u64 = 2_000;
/// The longest time in which a host becomes known to another one.
const MAX_MEMBERSHIP_DELAY_MS: u32 = 1_500;
/// The time after which a host of a minority sends nothing, and the one after which it is forgotten.
const MINORITY_MS: u64 = 17_000;
const EXPIRY_MS: u64 = 20_000;
const ANNOUNCEMENT_MS: u64 = 1_000;

/// The course of a simulation.
#[derive(Debug, Clone, Copy)]
struct Course {
    hosts: u32,
    millis: u64,
    /// The time within which the hosts start. If 0, they have been running for long.
    starts_within_ms: u32,
    restart_interval_ms: Option<u64>,
    /// When the hosts are split into two halves.
    partition_ms: Option<u64>,
    /// Whether the endpoint was in use before it turned cold, at this many requests a second from
    /// each host that does not know yet.
    usual_per_second: f64,
    max_delay_ms: u32,
    /// The share of announcements that a host misses.
    loss: f64,
}

const USUAL: Course = Course {
    hosts: 6,
    millis: 8_000,
    starts_within_ms: 0,
    restart_interval_ms: None,
    partition_ms: None,
    usual_per_second: 0.0,
    max_delay_ms: 20,
    loss: 0.0,
};

struct Host {
    limits: Limits,
    started_ms: u64,
    /// When this host learns of each host.
    known_ms: Vec<u64>,
    is_informed: bool,
}

impl Host {
    fn new(limits: Limits, started_ms: u64, known_ms: Vec<u64>) -> Self {
        Self {
            limits,
            started_ms,
            known_ms,
            is_informed: false,
        }
    }

    /// Updates the hosts that this one, given by its number, knows.
    fn refresh(&mut self, course: &Course, ms: u64, number: u32) {
        let half = course.hosts / 2;
        let split = |since: u64| course.partition_ms.is_some_and(|at| ms >= at + since);
        let is_cut = number >= half && split(MINORITY_MS);
        let hosts = (ms >= self.started_ms + SETTLE_MS && !is_cut).then(|| {
            let hosts = (0..course.hosts).zip(&self.known_ms);
            let hosts = hosts.filter(|(host, known)| {
                ms >= **known && !(split(EXPIRY_MS) && (*host >= half) != (number >= half))
            });
            hosts.map(|(host, _)| host).collect()
        });
        let warmups = self.limits.warmups_mut();
        warmups.set_hosts(at(ms), number, hosts);
    }
}

fn at(ms: u64) -> Moment {
    START + Duration::from_millis(ms)
}

fn share(random: &mut Pcg32) -> f64 {
    f64::from(random.next_u32()) / f64::from(u32::MAX)
}

fn limits() -> Limits {
    let mut limits = Limits::default();
    let rate = Rate::new(RATE).expect("a rate");
    let warmups = limits.warmups_mut();
    warmups.set_allowance(Some(Allowance::new(rate, OVERAGE, SLACK)));
    limits
}

/// Plays hosts that send as much as they may to an endpoint that they know to be cold, and returns
/// when requests were sent.
fn play(course: &Course, seed: u64) -> Vec<Moment> {
    let mut random = Pcg32::seed_from_u64(seed);
    let starts: Vec<u64> = (0..course.hosts)
        .map(|_| match course.starts_within_ms {
            0 => 0,
            within => 10_000 + u64::from(random.next_u32() % within),
        })
        .collect();
    let mut hosts: Vec<Host> = (0..course.hosts)
        .map(|number| {
            let known = starts
                .iter()
                .enumerate()
                .map(|(other, start)| match *start {
                    _ if other == number as usize => 0,
                    0 => 0,
                    start => start + u64::from(random.next_u32() % MAX_MEMBERSHIP_DELAY_MS),
                });
            Host::new(limits(), starts[number as usize], known.collect())
        })
        .collect();
    // Hosts have been running for 10 s when the endpoint turns cold.
    let (begin, end) = (10_000, 10_000 + course.millis);
    let mut news_ms = vec![u64::MAX; course.hosts as usize];
    let mut sent = Vec::new();
    for ms in begin..end {
        let now = at(ms);
        if (ms - begin).is_multiple_of(ANNOUNCEMENT_MS) {
            for news in news_ms.iter_mut().filter(|news| **news == u64::MAX) {
                if share(&mut random) >= course.loss {
                    *news = ms + u64::from(random.next_u32() % course.max_delay_ms);
                }
            }
        }
        if course
            .restart_interval_ms
            .is_some_and(|interval| (ms - begin) % interval == interval - 1)
        {
            let number = (random.next_u32() % course.hosts) as usize;
            let known = hosts[number].known_ms.clone();
            hosts[number] = Host::new(limits(), ms, known);
        }
        for number in 0..course.hosts {
            let host = &mut hosts[number as usize];
            if ms < host.started_ms {
                continue;
            }
            if ms % 50 == u64::from(number % 50) {
                host.refresh(course, ms, number);
            }
            if !host.is_informed && ms >= news_ms[number as usize] {
                host.is_informed = true;
                let is_new = course.usual_per_second <= 0.0;
                let warmups = host.limits.warmups_mut();
                warmups.begin(now, KEY, Some(at(end)), is_new);
            }
            let is_due = if host.is_informed {
                !host.limits.is_exhausted(now, KEY)
            } else {
                share(&mut random) < course.usual_per_second / 1e3
            };
            if is_due {
                host.limits.record_local(now, KEY);
                sent.push(now);
            }
        }
    }
    sent
}

fn busiest_window(sent: &[Moment]) -> usize {
    let in_window = |(number, start): (usize, &Moment)| {
        sent.partition_point(|at| *at <= *start + WINDOW) - number
    };
    sent.iter().enumerate().map(in_window).max().unwrap_or(0)
}

#[test]
fn all_hosts_together_stay_within_the_allowance_of_a_cold_endpoint() {
    for hosts in [6, 20, 68, 300] {
        let usual = Course { hosts, ..USUAL };
        // Each host restarts every 12 s in the mean.
        let restart_interval_ms = 12_000 / u64::from(hosts);
        // The usual load is half of the rate, over all hosts.
        let in_use = Course {
            usual_per_second: RATE / 2.0 / f64::from(hosts),
            ..usual
        };
        let courses = [
            usual,
            Course {
                max_delay_ms: 600,
                loss: 0.3,
                ..usual
            },
            Course {
                restart_interval_ms: Some(restart_interval_ms),
                ..usual
            },
            Course {
                starts_within_ms: 200,
                ..usual
            },
            Course {
                starts_within_ms: 4_000,
                loss: 0.3,
                ..usual
            },
            Course {
                partition_ms: Some(12_000),
                millis: 24_000,
                ..usual
            },
            Course {
                max_delay_ms: 300,
                ..in_use
            },
            Course {
                max_delay_ms: 300,
                loss: 0.2,
                restart_interval_ms: Some(restart_interval_ms),
                ..in_use
            },
        ];
        for course in courses {
            for seed in 0..if hosts > 100 { 1 } else { 6 } {
                let sent = play(&course, seed);
                let busiest = busiest_window(&sent);
                assert!(busiest <= ALLOWED, "{busiest} at seed {seed}: {course:?}");
                let used = sent.len() as f64 / (RATE * course.millis as f64 / 1e3);
                assert!(used > 0.3, "used {used} at seed {seed}: {course:?}");
            }
        }
    }
}

#[test]
fn a_host_that_does_not_know_all_hosts_sends_nothing_to_cold_endpoints() {
    let mut limits = limits();
    limits.warmups_mut().begin(START, KEY, None, true);
    assert!(limits.is_exhausted(at(60_000), KEY));
    limits.warmups_mut().set_hosts(at(60_000), 1, Some(vec![1]));
    assert!(!limits.is_exhausted(at(61_000), KEY));
    limits.warmups_mut().set_hosts(at(61_000), 1, None);
    assert!(limits.is_exhausted(at(62_000), KEY));
}

#[test]
fn a_limit_that_the_endpoint_names_holds_beside_its_allowance() {
    let mut limits = limits();
    limits.warmups_mut().set_hosts(START, 1, Some(vec![1]));
    limits
        .warmups_mut()
        .begin(START, KEY, Some(at(5_000)), false);
    limits.name(START, KEY, Rate::new(1.0).expect("a rate"));
    assert!(limits.is_exhausted(at(500), KEY));
    assert!(!limits.is_exhausted(at(1_100), KEY));
    limits.record_local(at(1_100), KEY);
    // The allowance has a token again, the named limit has none.
    assert!(limits.is_exhausted(at(1_300), KEY));
}

#[test]
fn jobs_wait_for_the_end_of_the_cold_time_at_a_host_that_may_not_send() {
    let mut limits = limits();
    let others = (0..300).filter(|number| *number != 1);
    let is_sharer = |limits: &mut Limits, hosts: Vec<u32>| {
        limits.warmups_mut().set_hosts(START, 1, Some(hosts));
        !limits.is_exhausted(at(3_900), KEY)
    };
    limits
        .warmups_mut()
        .begin(START, KEY, Some(at(4_000)), false);
    assert!(!is_sharer(&mut limits, others.chain([1]).collect()));
    limits
        .warmups_mut()
        .begin(START, KEY, Some(at(4_000)), false);
    let summary = limits.summarise(at(1_000), |_| true);
    assert_eq!(summary.endpoints, 1);
    assert_eq!(summary.wait(9), Some(Duration::from_secs(3)));
}

/// Plays requests that come to random hosts, each with a balancer of its own, while one of four
/// endpoints is cold. Returns when requests were sent to it, and the number of refusals.
fn balance(hosts: u32, per_second: f64, seed: u64) -> (Vec<Moment>, usize) {
    let mut random = Pcg32::seed_from_u64(seed);
    let rate = Rate::new(RATE).expect("a rate");
    let mut balancers: Vec<Balancer> = (0..hosts).map(|_| Balancer::default()).collect();
    for (number, balancer) in (0..hosts).zip(&mut balancers) {
        balancer.set_endpoints((75..79).map(|key| (EndpointKey(key), DataCentreKey(0), 64)));
        let warmups = balancer.limits_mut().warmups_mut();
        warmups.set_allowance(Some(Allowance::new(rate, OVERAGE, SLACK)));
        warmups.set_hosts(START, number, Some((0..hosts).collect()));
        warmups.begin(START, KEY, Some(at(10_000)), false);
    }
    let (mut sent, mut refused) = (Vec::new(), 0);
    let mut micros = 0.0;
    while micros < 8e6 {
        micros += 1e6 / per_second;
        let now = START + Duration::from_micros(micros as u64);
        let balancer = &mut balancers[(random.next_u32() % hosts) as usize];
        match balancer.choose(now, &[]) {
            Some(KEY) => sent.push(now),
            Some(_) => {}
            None => refused += 1,
        }
    }
    (sent, refused)
}

#[test]
fn other_endpoints_serve_what_a_cold_one_may_not() {
    for hosts in [6, 20, 68, 300] {
        for seed in 0..5 {
            let (sent, refused) = balance(hosts, 3_000.0, seed);
            assert_eq!(refused, 0, "{hosts} hosts, seed {seed}");
            let busiest = busiest_window(&sent);
            assert!((1..=ALLOWED).contains(&busiest), "{busiest}, {hosts} hosts");
        }
    }
}

fn job(number: u64, prompt_tokens: u64) -> Job {
    Job {
        id: JobId { host: 1, number },
        prompt_tokens,
        answer_tokens: 100,
        max_pause: Duration::from_millis(250),
        arrived: START,
        due: at(300),
        deadline: at(10_000),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

/// Returns a planner of the only host, with engines of which the given ones are cold.
fn planner(engines: u64, cold: impl IntoIterator<Item = u64>) -> Planner {
    let mut planner = Planner::new(support::engine());
    planner.set_endpoints((1..=engines).map(|number| (EndpointKey(number), DataCentreKey(0))));
    let rate = Rate::new(RATE).expect("a rate");
    let warmups = planner.limits_mut().warmups_mut();
    warmups.set_allowance(Some(Allowance::new(rate, OVERAGE, SLACK)));
    warmups.set_hosts(START, 1, Some(vec![1]));
    for key in cold {
        warmups.begin(START, EndpointKey(key), Some(at(30_000)), false);
    }
    planner
}

#[test]
fn cold_engines_take_part_in_no_prefill_of_several() {
    // The second prompt needs the memory of more engines than are warm, so it waits.
    for (prompt_tokens, is_sent) in [(150_000, true), (1_000_000, false)] {
        let mut planner = planner(6, 1..=3);
        match planner.place(at(1_000), &job(1, prompt_tokens)) {
            Decision::Send(plan, _) => {
                let mut keys = plan.prefill_engines();
                assert!(is_sent && keys.all(|key| key.0 > 3), "{plan:?}");
            }
            other => assert!(!is_sent, "{other:?}"),
        }
    }
    let mut planner = planner(6, 1..=6);
    match planner.place(at(1_000), &job(1, 150_000)) {
        Decision::Send(plan, _) => assert_eq!(plan.prefill_engines().count(), 1),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_cold_engine_prefills_a_short_prompt_alone() {
    // All engines but the cold one are excluded as the first.
    let mut planner = planner(6, [1]);
    let job = Job {
        first: Some(EndpointKey(1)),
        ..job(1, 24_000)
    };
    match planner.place(at(1_000), &job) {
        Decision::Send(plan, _) => assert_eq!(plan.prefill_engines().count(), 1),
        other => panic!("{other:?}"),
    }
}

#[test]
fn prompts_wait_if_all_engines_are_cold_and_have_had_their_requests() {
    let mut planner = planner(2, 1..=2);
    assert_eq!(planner.place(START, &job(0, 2_000)), Decision::Limited);
    let sent = (1..6).filter(|number| {
        let decision = planner.place(at(1_000), &job(*number, 2_000));
        matches!(decision, Decision::Send(..))
    });
    assert_eq!(sent.count(), 2);
}

/// Such a job was refused as if its engine were not known, though it only has to wait.
#[test]
fn a_job_waits_for_the_only_engine_that_it_may_be_sent_to() {
    let on_cold = |number, prompt_tokens| Job {
        first: Some(EndpointKey(1)),
        ..job(number, prompt_tokens)
    };
    for prompt_tokens in [2_000, 150_000] {
        let mut planner = planner(6, [1]);
        let early = planner.place(START, &on_cold(1, prompt_tokens));
        assert_eq!(early, Decision::Limited, "{prompt_tokens}");
        match planner.place(at(1_000), &on_cold(2, prompt_tokens)) {
            Decision::Send(plan, _) => {
                let keys: Vec<EndpointKey> = plan.prefill_engines().collect();
                assert_eq!(keys, [EndpointKey(1)]);
            }
            other => panic!("{other:?}"),
        }
        let unknown = Job {
            first: Some(EndpointKey(9)),
            ..job(3, prompt_tokens)
        };
        assert_eq!(planner.place(at(1_000), &unknown), Decision::NoEngine);
    }
}

#[test]
fn a_long_job_gets_the_only_engine_that_it_may_be_sent_to_though_it_names_a_limit() {
    let mut planner = planner(6, []);
    let rate = Rate::new(5.0).expect("a rate");
    planner.limits_mut().name(START, EndpointKey(1), rate);
    let job = Job {
        first: Some(EndpointKey(1)),
        ..job(1, 150_000)
    };
    match planner.place(at(1_000), &job) {
        Decision::Send(plan, _) => assert_eq!(plan.first, EndpointKey(1)),
        other => panic!("{other:?}"),
    }
}
