//! The order of short prompts of several hosts that wait for a slot.

use std::time::Duration;

use kumquatdrum_placement::{
    DataCentreKey, Decision, EndpointKey, Job, JobId, Plan, Planner, SlotOrder, Waiter,
};
use kumquatdrum_types::Moment;

mod model;

const NOW: Moment = Moment::from_millis(100_000);
const TARGET_MS: u64 = 300;

/// Returns the planner of host 0 with two engines whose slots are all taken, and the first running job.
fn busy_planner() -> (Planner, JobId) {
    let engine = model::simulation::engine_settings();
    let slots = u64::from(engine.slots) * 2;
    let mut planner = Planner::new(engine);
    planner.set_endpoints([1, 2].map(|key| (EndpointKey(key), DataCentreKey(1))));
    for number in 0..slots {
        let decision = planner.place(NOW, &job(1, number, NOW));
        assert!(matches!(decision, Decision::Send(..)), "{decision:?}");
    }
    (planner, JobId { host: 1, number: 0 })
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
    }
}

#[track_caller]
fn wait(planner: &mut Planner, now: Moment, job: &Job) -> Waiter {
    match planner.place(now, job) {
        Decision::Wait(waiter) => waiter,
        decision => panic!("{decision:?}"),
    }
}

/// Retries a waiting job every 100 ms, as hosts do at least.
fn keep_waiting(planner: &mut Planner, job: &Job, from: Moment, ms: u64) {
    for elapsed in (0..ms).step_by(100) {
        wait(planner, from + Duration::from_millis(elapsed), job);
    }
}

/// Guards against two hosts that take the same slot, and against a late prompt that takes the slot of
/// one that can be in time.
#[test]
fn one_of_several_waiting_prompts_takes_a_free_slot() {
    let (mut planner, running) = busy_planner();
    let late = job(0, 1, NOW);
    keep_waiting(&mut planner, &late, NOW, TARGET_MS);
    let now = NOW + Duration::from_millis(TARGET_MS);
    let others: Vec<Waiter> = (10..14)
        .map(|number| wait(&mut planner, now, &job(0, number, now)))
        .collect();
    assert!(
        others
            .iter()
            .all(|other| other.slot_order == Some(SlotOrder::InTime))
    );
    let now = now + Duration::from_millis(20);
    planner.record_end(now, running);
    assert_eq!(
        wait(&mut planner, now, &late).slot_order,
        Some(SlotOrder::Late)
    );
    let newcomer = wait(&mut planner, now, &job(0, 20, now));
    assert_eq!(newcomer.slot_order, Some(SlotOrder::InTime));
    let arrived = now.saturating_sub(Duration::from_millis(20));
    let sent: Vec<Plan> = (10..14)
        .filter_map(
            |number| match planner.place(now, &job(0, number, arrived)) {
                Decision::Send(plan, _) => Some(plan),
                _ => None,
            },
        )
        .collect();
    assert_eq!(sent.len(), 1, "{sent:?}");
}

/// Guards against prompts that wait until their callers have gone, and against the refusal of an answer
/// that a caller is reading.
#[test]
fn a_waiting_prompt_is_refused_before_its_caller_gives_up() {
    let (mut planner, _) = busy_planner();
    let prompt = job(0, 1, NOW);
    keep_waiting(&mut planner, &prompt, NOW, 1_200);
    let decision = planner.place(NOW + Duration::from_millis(1_300), &prompt);
    assert_eq!(decision, Decision::Expired);
    let resumed = job(0, 2, NOW.saturating_sub(Duration::from_secs(5)));
    let waiter = wait(&mut planner, NOW, &resumed);
    assert_eq!(waiter.slot_order, Some(SlotOrder::Resumed));
}
