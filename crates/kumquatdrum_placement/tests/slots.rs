//! The order of short prompts of several hosts that wait for a slot.

use std::time::Duration;

use kumquatdrum_placement::{
    DataCentreKey, Decision, EndpointKey, Job, JobId, Plan, Planner, SlotOrder, Waiter,
};
use kumquatdrum_types::Moment;

mod model;

const NOW: Moment = Moment::from_millis(100_000);
const TARGET_MS: u64 = 300;

/// Returns a job that runs on an engine of a busy planner.
fn running_on(key: EndpointKey) -> JobId {
    JobId {
        host: 9,
        number: key.0 * 100,
    }
}

/// Returns a planner with an engine in each of two data centres, whose slots are all taken.
fn busy_planner(local: DataCentreKey) -> Planner {
    let engine = model::simulation::engine_settings();
    let slots = u64::from(engine.slots);
    let mut planner = Planner::new(engine).with_data_centre(local);
    planner.set_endpoints([1, 2].map(|key| (EndpointKey(key), DataCentreKey(key))));
    for key in [EndpointKey(1), EndpointKey(2)] {
        for number in 0..slots {
            let id = JobId {
                number: running_on(key).number + number,
                ..running_on(key)
            };
            planner.record_dispatch(NOW, running_plan(id, key));
        }
    }
    planner
}

fn running_plan(job: JobId, first: EndpointKey) -> Plan {
    Plan {
        job,
        first,
        helpers: Vec::new(),
        prompt_tokens: 2_000,
        target_ms: TARGET_MS as u32,
        part_ms: 0.0,
        memory_tokens: 2_500,
        pause_ms: 250,
    }
}

fn job(host: u32, number: u64, arrived: Moment) -> Job {
    Job {
        id: JobId { host, number },
        prompt_tokens: 2_000,
        answer_tokens: 500,
        max_pause: Duration::from_millis(250),
        arrived,
        due: arrived + Duration::from_millis(TARGET_MS),
        deadline: arrived + Duration::from_secs(10),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

#[track_caller]
fn wait(planner: &mut Planner, now: Moment, job: &Job) -> Waiter {
    match planner.place(now, job) {
        Decision::Wait(waiter) => waiter,
        decision => panic!("{decision:?}"),
    }
}

#[track_caller]
fn sent(planner: &mut Planner, now: Moment, job: &Job) -> EndpointKey {
    match planner.place(now, job) {
        Decision::Send(plan, _) => plan.first,
        decision => panic!("{decision:?}"),
    }
}

/// Retries a waiting job every 100 ms, as hosts do at least.
fn keep_waiting(planner: &mut Planner, job: &Job, from: Moment, ms: u64) {
    for elapsed in (0..ms).step_by(100) {
        wait(planner, from + Duration::from_millis(elapsed), job);
    }
}

/// Guards against two hosts that take the same slot while another one stays free, and against a late
/// prompt that takes the slot of one that can be in time.
#[test]
fn waiting_prompts_of_two_hosts_take_different_slots() {
    let mut hosts = [1, 2].map(|data_centre| busy_planner(DataCentreKey(data_centre)));
    let late = job(0, 1, NOW);
    keep_waiting(&mut hosts[0], &late, NOW, TARGET_MS);
    let now = NOW + Duration::from_millis(TARGET_MS);
    let jobs = [job(0, 10, now), job(1, 11, now)];
    for (host, job) in jobs.iter().enumerate() {
        let waiter = wait(&mut hosts[host], now, job);
        assert_eq!(waiter.slot_order, Some(SlotOrder::InTime));
        hosts[1 - host].enqueue(now, waiter);
    }
    let now = now + Duration::from_millis(20);
    let late = wait(&mut hosts[0], now, &late);
    assert_eq!(late.slot_order, Some(SlotOrder::Late));
    hosts[1].enqueue(now, late);
    for planner in &mut hosts {
        planner.record_end(now, running_on(EndpointKey(1)));
        planner.record_end(now, running_on(EndpointKey(2)));
    }
    let chosen: Vec<EndpointKey> = jobs
        .iter()
        .zip(&mut hosts)
        .map(|(job, planner)| sent(planner, now, job))
        .collect();
    assert_ne!(chosen[0], chosen[1]);
}

/// Guards against callers that are refused although a slot is free, and against prompts that wait until
/// their callers have gone.
#[test]
fn a_waiting_prompt_gets_a_slot_or_is_refused_before_its_caller_gives_up() {
    let mut planner = busy_planner(DataCentreKey(1));
    let prompt = job(0, 1, NOW);
    let resumed = Job {
        is_resumed: true,
        ..job(0, 2, NOW.saturating_sub(Duration::from_secs(5)))
    };
    keep_waiting(&mut planner, &prompt, NOW, 1_200);
    keep_waiting(&mut planner, &resumed, NOW, 1_200);
    let now = NOW + Duration::from_millis(1_300);
    assert_eq!(planner.place(now, &prompt), Decision::Expired);
    let waiter = wait(&mut planner, now, &resumed);
    assert_eq!(waiter.slot_order, Some(SlotOrder::Resumed));
    planner.dequeue(resumed.id);
    planner.record_end(now, running_on(EndpointKey(1)));
    assert_eq!(sent(&mut planner, now, &prompt), EndpointKey(1));
}
