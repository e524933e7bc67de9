//! Placement decisions and the planner's state of jobs on all hosts.

mod model;

use std::time::Duration;

use kumquatdrum_placement::{
    DataCentreKey, Decision, EndpointKey, Harm, Job, JobId, Plan, Planner,
};
use kumquatdrum_routes::Engine;
use kumquatdrum_types::Moment;
use model::simulation::engine_settings;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Moment = Moment::from_millis(1_000_000);

fn planner(engines: u64) -> Planner {
    let mut planner = Planner::new(engine_settings());
    planner.set_endpoints((1..=engines).map(|number| (EndpointKey(number), DataCentreKey(0))));
    planner
}

fn job(number: u64, prompt_tokens: u64, arrived: Moment) -> Job {
    let (max_pause, target) = match prompt_tokens {
        0..=24_000 => (250, 300),
        24_001..=110_000 => (600, 1_500),
        _ => (1_000, 3_000),
    };
    Job {
        id: JobId { host: 1, number },
        prompt_tokens,
        answer_tokens: 1_000,
        max_pause: Duration::from_millis(max_pause),
        arrived,
        due: arrived + Duration::from_millis(target),
        deadline: arrived + Duration::from_secs(10),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

#[track_caller]
fn expect_sent(decision: Decision) -> Plan {
    match decision {
        Decision::Send(plan, _) => plan,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn only_short_prompts_are_expected_to_complete_on_an_engine_that_leaves_soon() {
    let planner = planner(1);
    let duration = |tokens| planner.expected_duration(&job(1, tokens, START));
    let drain = Duration::from_millis(1_500);
    assert!(duration(5_000) < drain, "{:?}", duration(5_000));
    assert!(duration(150_000) > 2 * drain, "{:?}", duration(150_000));
}

#[test]
fn a_changed_declaration_does_not_free_what_runs() {
    let engine = |slots| Engine {
        slots,
        ..engine_settings()
    };
    let mut planner = Planner::new(engine(1));
    planner.set_endpoints([(EndpointKey(1), DataCentreKey(0))]);
    let running = expect_sent(planner.place(START, &job(1, 2_000, START)));
    planner.set_engine(Engine {
        step_ms: 2.0,
        ..engine(1)
    });
    let waiting = planner.place(START, &job(2, 2_000, START));
    assert!(matches!(waiting, Decision::Wait(_)), "{waiting:?}");
    assert_eq!(planner.renew_jobs(START, 1), [(running, true)]);
    planner.set_engine(engine(2));
    expect_sent(planner.place(START, &job(2, 2_000, START)));
}

#[test]
fn long_prefills_never_overlap_on_an_engine() {
    let mut planner = planner(20);
    let first = expect_sent(planner.place(START, &job(1, 150_000, START)));
    let at = START + Duration::from_millis(10);
    match planner.place(at, &job(2, 150_000, at)) {
        Decision::Wait(_) => {}
        Decision::Send(second, _) => {
            assert!(
                second
                    .prefill_engines()
                    .all(|engine| first.prefill_engines().all(|other| other != engine))
            );
        }
        other => panic!("{other:?}"),
    }
    // After the first token, the engines are free for the next prompt.
    planner.record_first_token(at, first.job);
    expect_sent(planner.place(at, &job(2, 150_000, at)));
}

#[test]
fn a_disruptive_prompt_waits_and_is_rejected_once_it_would_be_late() {
    let mut planner = planner(4);
    let at = |ms| START + Duration::from_millis(ms);
    // Eight answers on each engine, which have been running for a while.
    let shorts: Vec<Plan> = (0..32)
        .map(|number| {
            let others = (1..=4).filter(|key| *key != number % 4 + 1);
            let short = Job {
                excluded: others.map(EndpointKey).collect(),
                ..job(number, 2_000, START)
            };
            expect_sent(planner.place(START, &short))
        })
        .collect();
    for announced_ms in [2_000, 4_000] {
        for short in &shorts {
            planner.renew_job(at(announced_ms), short.clone(), false);
        }
    }
    let very_long = job(100, 250_000, at(3_500));
    match planner.place(at(3_500), &very_long) {
        Decision::Wait(waiter) => assert!(waiter.is_blocked),
        other => panic!("{other:?}"),
    }
    // Short prompts overtake it.
    expect_sent(planner.place(at(3_501), &job(101, 2_000, at(3_501))));
    // Its first token can no longer be in time.
    let late = planner.place(at(5_500), &very_long);
    let Decision::TooCostly(refusal) = late else {
        panic!("{late:?}");
    };
    assert_eq!(refusal.harm, Harm::Pauses);
    // A resumed answer is late in any case and is not rejected.
    let resumed = job(103, 250_000, START);
    match planner.place(at(5_500), &resumed) {
        Decision::Wait(waiter) => assert!(waiter.is_blocked),
        other => panic!("{other:?}"),
    }
    planner.dequeue(resumed.id);
    for short in shorts {
        planner.record_end(at(5_501), short.job);
    }
    expect_sent(planner.place(at(5_502), &job(102, 250_000, at(5_502))));
}

/// Returns the planner of a host in the first of two data centres, and the plan of a short prompt
/// on engine 1 there.
fn two_data_centres() -> (Planner, Plan) {
    let mut planner = Planner::new(engine_settings()).with_data_centre(DataCentreKey(0));
    planner.set_endpoints([
        (EndpointKey(1), DataCentreKey(0)),
        (EndpointKey(2), DataCentreKey(0)),
        (EndpointKey(3), DataCentreKey(1)),
        (EndpointKey(4), DataCentreKey(1)),
    ]);
    let first = expect_sent(planner.place(START, &job(1, 2_000, START)));
    assert_eq!(first.first, EndpointKey(1));
    let first_token_at = START + Duration::from_millis(50);
    planner.record_first_token(first_token_at, first.job);
    (planner, first)
}

fn plan_with_part(key: u64, number: u64, part_ms: f32) -> Plan {
    Plan {
        job: JobId { host: 2, number },
        first: EndpointKey(key),
        helpers: vec![],
        prompt_tokens: 100_000,
        target_ms: 3_000,
        part_ms,
        memory_tokens: 100_000,
        pause_ms: 1_000,
    }
}

#[test]
fn a_short_prompt_queues_behind_a_long_prefill_before_it_occupies_another_engine() {
    let (mut planner, packed) = two_data_centres();
    let at = START + Duration::from_millis(100);
    planner.record_dispatch(at, plan_with_part(packed.first.0, 1, 100.0));
    let delayed = expect_sent(planner.place(at, &job(2, 2_000, at)));
    assert_eq!(delayed.first, packed.first);
    // Behind a longer prefill, the first token would be late.
    planner.record_dispatch(at, plan_with_part(packed.first.0, 2, 150.0));
    let spread = expect_sent(planner.place(at, &job(3, 2_000, at)));
    assert_eq!(spread.first, EndpointKey(2));
}

#[test]
fn a_short_prompt_leaves_the_data_centre_only_if_it_would_be_late_there() {
    let (mut planner, packed) = two_data_centres();
    let at = START + Duration::from_millis(100);
    // The other data centre has more answers, but is not chosen.
    for number in 1..=4 {
        let other = Plan {
            pause_ms: 250,
            memory_tokens: 3_000,
            ..plan_with_part(3, number, 0.0)
        };
        planner.renew_job(at, other, false);
    }
    let local = expect_sent(planner.place(at, &job(2, 2_000, at)));
    assert_eq!(local.first, packed.first);
    planner.record_dispatch(at, plan_with_part(1, 11, 1_000.0));
    planner.record_dispatch(at, plan_with_part(2, 12, 1_000.0));
    let remote = expect_sent(planner.place(at, &job(3, 2_000, at)));
    assert_eq!(remote.first, EndpointKey(3));
}

#[test]
fn a_long_prompt_is_answered_from_the_local_data_centre_if_an_engine_has_the_memory() {
    let (mut planner, short) = two_data_centres();
    let at = START + Duration::from_millis(100);
    planner.record_end(at, short.job);
    // Engines 1 and 2 use some memory, so the remote engines have more free.
    for key in [1, 2] {
        let memory_holder = Plan {
            memory_tokens: 50_000,
            pause_ms: 60_000,
            ..plan_with_part(key, key, 0.0)
        };
        planner.renew_job(at, memory_holder, false);
    }
    let local = expect_sent(planner.place(at, &job(2, 150_000, at)));
    assert!([1, 2].contains(&local.first.0), "{local:?}");
    planner.record_end(at, local.job);
    let too_large = expect_sent(planner.place(at, &job(3, 280_000, at)));
    assert!([3, 4].contains(&too_large.first.0), "{too_large:?}");
}

#[test]
fn the_prompt_with_more_weight_per_prefill_time_goes_first() {
    let mut planner = planner(4);
    let first = expect_sent(planner.place(START, &job(1, 200_000, START)));
    let at = START + Duration::from_millis(10);
    let (long, longest) = (job(2, 60_000, at), job(3, 190_000, at));
    assert!(matches!(planner.place(at, &longest), Decision::Wait(_)));
    let decision = planner.place(at, &long);
    assert!(
        matches!(decision, Decision::Wait(_)),
        "{decision:?}, engines in use by {first:?}"
    );
    planner.record_first_token(at, first.job);
    assert!(
        matches!(planner.place(at, &longest), Decision::Wait(_)),
        "the prompt with more weight per prefill time is next"
    );
    expect_sent(planner.place(at, &long));
    planner.dequeue(long.id);
}

#[test]
fn resources_of_a_host_that_stops_announcing_jobs_are_released() {
    let mut planner = planner(2);
    let other = Plan {
        job: JobId { host: 2, number: 1 },
        first: EndpointKey(1),
        helpers: Vec::new(),
        prompt_tokens: 300_000,
        target_ms: 3_000,
        part_ms: 100.0,
        memory_tokens: 300_000,
        pause_ms: 1_000,
    };
    planner.record_dispatch(START, other.clone());
    // The job uses memory and is announced again.
    let at = START + Duration::from_secs(2);
    planner.renew_job(at, other, false);
    let later = START + Duration::from_secs(4);
    let plan = expect_sent(planner.place(later, &job(2, 100_000, later)));
    assert_eq!(plan.first, EndpointKey(2));
    planner.record_end(later, plan.job);
    let last = START + Duration::from_secs(9);
    let plan = expect_sent(planner.place(last, &job(3, 300_000, last)));
    assert!(
        plan.helpers
            .iter()
            .all(|helper| helper.reserved_tokens == 0),
        "{plan:?}"
    );
}

#[test]
fn memory_is_released_for_any_order_of_job_events() {
    for seed in 0..60 {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut planner = planner(6);
        let mut now = START;
        let mut running: Vec<Plan> = Vec::new();
        for number in 0..200 {
            now = now + Duration::from_millis(u64::from(random.next_u32() % 80));
            let prompt = 1_000 + u64::from(random.next_u32()) % 260_000;
            match planner.place(now, &job(number, prompt, now)) {
                Decision::Send(plan, _) => running.push(plan),
                _ => planner.dequeue(JobId { host: 1, number }),
            }
            if running.len() > 8 || random.next_u32() % 3 == 0 {
                end_random_job(&mut planner, &mut running, now, random.next_u32());
            }
        }
        while !running.is_empty() {
            end_random_job(&mut planner, &mut running, now, random.next_u32());
        }
        let idle = now + Duration::from_secs(10);
        let plan = expect_sent(planner.place(idle, &job(9_999, 300_000, idle)));
        assert_eq!(plan.prefill_engines().count(), 6, "seed {seed}: {plan:?}");
        assert!(
            plan.helpers
                .iter()
                .all(|helper| helper.reserved_tokens == 0),
            "seed {seed}: {plan:?}"
        );
    }
}

fn end_random_job(planner: &mut Planner, running: &mut Vec<Plan>, now: Moment, random: u32) {
    if running.is_empty() {
        return;
    }
    let plan = running.swap_remove(random as usize % running.len());
    match random % 4 {
        0 => {}
        1 => planner.record_first_token(now, plan.job),
        _ => {
            planner.renew_job(now, plan.clone(), random.is_multiple_of(2));
            planner.record_first_token(now, plan.job);
        }
    }
    planner.record_end(now, plan.job);
    // Repeated and late events of an ended job have no effect.
    planner.record_end(now, plan.job);
    planner.record_first_token(now, plan.job);
}

/// A slow relay may deliver a dispatch after the end of the job has arrived by another path.
#[test]
fn late_messages_about_an_ended_job_reserve_nothing() {
    let mut planner = planner(1);
    let at = |ms| START + Duration::from_millis(ms);
    let ended = plan_with_part(1, 1, 3_000.0);
    planner.record_end(at(0), ended.job);
    planner.record_dispatch(at(100), ended.clone());
    planner.renew_job(at(200), ended.clone(), true);
    let plan = expect_sent(planner.place(at(300), &job(2, 2_000, at(300))));
    planner.record_end(at(310), plan.job);
    // The engine's memory and prefill time are free for a prompt that fills it.
    expect_sent(planner.place(at(400), &job(3, 250_000, at(400))));
}

/// Load: a prompt whose first token is late on any number of engines, while others send short
/// prompts or nothing.
#[test]
fn a_prompt_that_is_always_late_does_not_take_engines_that_others_need() {
    for (short_prompts, is_sent) in [(0, true), (20, true), (500, false)] {
        let mut planner = planner(46);
        for number in 1..=short_prompts {
            let at = START + Duration::from_micros(5_000 * number);
            let plan = expect_sent(planner.place(at, &job(number, 4_000, at)));
            planner.record_end(at, plan.job);
        }
        let at = START + Duration::from_micros(5_000 * short_prompts);
        let decision = planner.place(at, &job(1_000, 900_000, at));
        match decision {
            Decision::Send(..) => assert!(is_sent, "sent beside {short_prompts}"),
            Decision::TooCostly(refusal) => {
                assert!(!is_sent, "refused beside {short_prompts}");
                assert_eq!(refusal.harm, Harm::Delay);
            }
            other => panic!("{other:?}"),
        }
        // A prompt that can be in time is read: most engines stay free.
        let decision = planner.place(at, &job(1_001, 200_000, at));
        assert!(
            matches!(decision, Decision::Send(..) | Decision::Wait(_)),
            "{decision:?}"
        );
    }
}
