//! Hundreds of hosts that place prompts on a thousand engines, and know of each other's dispatches late.
//!
//! Guards against hosts with the same view that choose the same engines: the busiest engine got 34 times
//! the mean, and prompts waited on it for seconds while most engines had nothing to do.

mod model;

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_placement::{DataCentreKey, Decision, EndpointKey, Job, JobId, Plan, Planner};
use kumquatdrum_routes::Engine;
use kumquatdrum_types::{Moment, hash};

use model::simulation::engine_settings;

const ENGINES: u64 = 975;
const DATA_CENTRES: u64 = 5;
const PROMPTS: u64 = 2_500;
/// The time between two prompts: 177 a second over all hosts.
const INTERVAL: Duration = Duration::from_micros(5_650);
const SLOTS: u32 = 10;

fn engine() -> Engine {
    Engine {
        slots: SLOTS,
        pass_steps: 80,
        ..engine_settings()
    }
}

fn planner(host: u64) -> Planner {
    let mut planner = Planner::new(engine()).with_data_centre(DataCentreKey(host % DATA_CENTRES));
    planner.set_endpoints(
        (1..=ENGINES).map(|key| (EndpointKey(key), DataCentreKey(key % DATA_CENTRES))),
    );
    planner
}

fn job(number: u64, host: u64, now: Moment) -> Job {
    let draw = hash::mix(number) % 100;
    let (prompt_tokens, target_ms) = match draw {
        0..2 => (220_000, 4_000),
        2..9 => (45_000, 1_500),
        _ => (4_960, 400),
    };
    let host = host as u32;
    Job {
        id: JobId { host, number },
        prompt_tokens,
        answer_tokens: 1_600,
        max_pause: Duration::from_millis(target_ms * 3 / 4),
        arrived: now,
        due: now + Duration::from_millis(target_ms),
        deadline: now + Duration::from_secs(10),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

/// What other hosts learn late, by the host that knows it already.
enum News {
    Sent(Plan),
    Ended(JobId),
}

/// The number of prompts that each engine got, and the most that it had at once.
struct Outcome {
    prompts: IndexMap<EndpointKey, u32>,
    most_at_once: u32,
    sent: u64,
}

/// Places prompts in turn on hosts that learn of each other's dispatches and their ends after `lateness`.
fn play(hosts: u64, lateness: Duration) -> Outcome {
    let mut planners: Vec<Planner> = (0..hosts).map(planner).collect();
    let mut news: VecDeque<(Moment, u32, News)> = VecDeque::new();
    let mut ends: Vec<(Moment, JobId, EndpointKey)> = Vec::new();
    let mut running: IndexMap<EndpointKey, u32> = IndexMap::new();
    let mut outcome = Outcome {
        prompts: IndexMap::new(),
        most_at_once: 0,
        sent: 0,
    };
    let mut now = Moment::from_millis(10_000);
    for number in 0..PROMPTS {
        now = now + INTERVAL;
        while news.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, from, news)) = news.pop_front() else {
                break;
            };
            let others = planners.iter_mut().enumerate();
            for (_, planner) in others.filter(|(host, _)| *host != from as usize) {
                match &news {
                    News::Sent(plan) => planner.record_dispatch(now, plan.clone()),
                    News::Ended(job) => planner.record_end(now, *job),
                }
            }
        }
        ends.retain(|(at, job, engine)| {
            let is_running = *at > now;
            if !is_running {
                planners[job.host as usize].record_end(now, *job);
                news.push_back((now + lateness, job.host, News::Ended(*job)));
                running[engine] -= 1;
            }
            is_running
        });
        let host = hash::mix(number ^ 0x5eed) % hosts;
        let job = job(number, host, now);
        if let Decision::Send(plan, _) = planners[host as usize].place(now, &job) {
            let count = running.entry(plan.first).or_default();
            *count += 1;
            outcome.most_at_once = outcome.most_at_once.max(*count);
            *outcome.prompts.entry(plan.first).or_default() += 1;
            outcome.sent += 1;
            ends.push((now + Duration::from_millis(1_600), plan.job, plan.first));
            news.push_back((now + lateness, plan.job.host, News::Sent(plan)));
        }
    }
    outcome
}

#[test]
fn no_engine_gets_many_times_the_mean_however_late_hosts_know_of_each_other() {
    for lateness_ms in [20, 1_000] {
        let outcome = play(30, Duration::from_millis(lateness_ms));
        let busiest = outcome.prompts.values().max().copied().unwrap_or_default();
        let mean = outcome.sent as f64 / ENGINES as f64;
        println!(
            "{lateness_ms} ms late: busiest {busiest}, mean {mean:.2}, {} at once, {} sent",
            outcome.most_at_once, outcome.sent
        );
        assert!(f64::from(busiest) <= 4.0 * mean, "{lateness_ms}: {busiest}");
        assert!(outcome.most_at_once <= SLOTS, "{lateness_ms}");
        assert!(outcome.sent >= PROMPTS * 99 / 100, "{lateness_ms}");
    }
}
