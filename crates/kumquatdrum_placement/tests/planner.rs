//! What a planner keeps of jobs, here and at other hosts.

mod model;

use std::time::Duration;

use kumquatdrum_placement::{DataCentreKey, Decision, EndpointKey, Job, JobId, Plan, Planner};
use kumquatdrum_types::Moment;
use model::play::figures;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

const START: Moment = Moment::from_millis(1_000_000);

fn planner(engines: u64) -> Planner {
    let mut planner = Planner::new(figures());
    planner.set_endpoints((1..=engines).map(|number| (EndpointKey(number), DataCentreKey(0))));
    planner
}

fn job(number: u64, prompt: u64, arrived: Moment) -> Job {
    let (pause, target) = match prompt {
        0..=24_000 => (250, 300),
        24_001..=110_000 => (600, 1_500),
        _ => (1_000, 3_000),
    };
    Job {
        id: JobId { host: 1, number },
        prompt_tokens: prompt,
        answer_tokens: 1_000,
        max_pause: Duration::from_millis(pause),
        arrived,
        due: arrived + Duration::from_millis(target),
        deadline: arrived + Duration::from_secs(10),
        excluded: Vec::new(),
    }
}

#[track_caller]
fn sent(decision: Decision) -> Plan {
    match decision {
        Decision::Send(plan, _) => plan,
        other => panic!("not sent: {other:?}"),
    }
}

#[test]
fn parts_of_two_long_prompts_never_meet_at_an_engine() {
    let mut planner = planner(20);
    let first = sent(planner.place(START, &job(1, 150_000, START)));
    let at = START + Duration::from_millis(10);
    match planner.place(at, &job(2, 150_000, at)) {
        Decision::Wait(_) => {}
        Decision::Send(second, _) => {
            assert!(
                second
                    .readers()
                    .all(|reader| first.readers().all(|other| other != reader))
            );
        }
        other => panic!("{other:?}"),
    }
    // Once the first token has come, the engines are free for the next one.
    planner.record_first_token(at, first.job);
    sent(planner.place(at, &job(2, 150_000, at)));
}

#[test]
fn a_prompt_waits_while_it_would_make_too_many_answers_pause_and_is_refused_in_the_end() {
    let mut planner = planner(4);
    let at = |ms| START + Duration::from_millis(ms);
    // Eight answers at each engine, asked for some time ago.
    let shorts: Vec<Plan> = (0..32)
        .map(|number| {
            let others = (1..=4).filter(|key| *key != number % 4 + 1);
            let short = Job {
                excluded: others.map(EndpointKey).collect(),
                ..job(number, 2_000, START)
            };
            sent(planner.place(START, &short))
        })
        .collect();
    for told in [2_000, 4_000] {
        for short in &shorts {
            planner.refresh(at(told), short.clone(), false);
        }
    }
    let very_long = job(100, 250_000, at(3_500));
    match planner.place(at(3_500), &very_long) {
        Decision::Wait(turn) => assert!(turn.blocked),
        other => panic!("{other:?}"),
    }
    // Others don't wait for it.
    sent(planner.place(at(3_501), &job(101, 2_000, at(3_501))));
    // Its first token can't be in time any more.
    let late = planner.place(at(5_500), &very_long);
    assert_eq!(late, Decision::TooCostly);
    // An answer that broke and goes on elsewhere is late anyway, and is not given up.
    let broken = job(103, 250_000, START);
    match planner.place(at(5_500), &broken) {
        Decision::Wait(turn) => assert!(turn.blocked),
        other => panic!("{other:?}"),
    }
    planner.dequeue(broken.id);
    for short in shorts {
        planner.record_end(at(5_501), short.job);
    }
    sent(planner.place(at(5_502), &job(102, 250_000, at(5_502))));
}

/// A planner that stands in data centre 0 of two, and a short answer at engine 1 there.
fn two_data_centres() -> (Planner, Plan) {
    let mut planner = Planner::new(figures()).with_data_centre(DataCentreKey(0));
    planner.set_endpoints([
        (EndpointKey(1), DataCentreKey(0)),
        (EndpointKey(2), DataCentreKey(0)),
        (EndpointKey(3), DataCentreKey(1)),
        (EndpointKey(4), DataCentreKey(1)),
    ]);
    let first = sent(planner.place(START, &job(1, 2_000, START)));
    assert_eq!(first.first, EndpointKey(1));
    let read = START + Duration::from_millis(50);
    planner.record_first_token(read, first.job);
    (planner, first)
}

fn part_at(key: u64, number: u64, part_ms: f32) -> Plan {
    Plan {
        job: JobId { host: 2, number },
        first: EndpointKey(key),
        helpers: vec![],
        prompt: 100_000,
        target_ms: 3_000,
        part_ms,
        tokens: 100_000,
        pause_ms: 1_000,
    }
}

#[test]
fn a_short_prompt_waits_behind_a_part_rather_than_keep_long_reads_off_another_engine() {
    let (mut planner, packed) = two_data_centres();
    let at = START + Duration::from_millis(100);
    planner.record_dispatch(at, part_at(packed.first.0, 1, 100.0));
    let behind = sent(planner.place(at, &job(2, 2_000, at)));
    assert_eq!(behind.first, packed.first);
    // Behind a longer one its first token would be late.
    planner.record_dispatch(at, part_at(packed.first.0, 2, 150.0));
    let clean = sent(planner.place(at, &job(3, 2_000, at)));
    assert_eq!(clean.first, EndpointKey(2));
}

#[test]
fn a_short_prompt_leaves_the_data_centre_only_where_it_would_be_late_there() {
    let (mut planner, packed) = two_data_centres();
    let at = START + Duration::from_millis(100);
    // The other data centre writes more, and is passed over.
    for number in 1..=4 {
        let other = Plan {
            pause_ms: 250,
            tokens: 3_000,
            ..part_at(3, number, 0.0)
        };
        planner.refresh(at, other, false);
    }
    let near = sent(planner.place(at, &job(2, 2_000, at)));
    assert_eq!(near.first, packed.first);
    planner.record_dispatch(at, part_at(1, 11, 1_000.0));
    planner.record_dispatch(at, part_at(2, 12, 1_000.0));
    let far = sent(planner.place(at, &job(3, 2_000, at)));
    assert_eq!(far.first, EndpointKey(3));
}

#[test]
fn a_long_answer_comes_from_the_own_data_centre_where_one_engine_there_has_the_room() {
    let (mut planner, short) = two_data_centres();
    let at = START + Duration::from_millis(100);
    planner.record_end(at, short.job);
    // Engines 1 and 2 hold something, so that those elsewhere are roomier.
    for key in [1, 2] {
        let held = Plan {
            tokens: 50_000,
            pause_ms: 60_000,
            ..part_at(key, key, 0.0)
        };
        planner.refresh(at, held, false);
    }
    let near = sent(planner.place(at, &job(2, 150_000, at)));
    assert!([1, 2].contains(&near.first.0), "{near:?}");
    planner.record_end(at, near.job);
    let too_large = sent(planner.place(at, &job(3, 280_000, at)));
    assert!([3, 4].contains(&too_large.first.0), "{too_large:?}");
}

#[test]
fn the_prompt_that_weighs_more_for_its_reading_goes_first_on_every_host() {
    let mut planner = planner(4);
    let busy = sent(planner.place(START, &job(1, 200_000, START)));
    let at = START + Duration::from_millis(10);
    let (long, longest) = (job(2, 60_000, at), job(3, 190_000, at));
    assert!(matches!(planner.place(at, &longest), Decision::Wait(_)));
    let held = planner.place(at, &long);
    assert!(
        matches!(held, Decision::Wait(_)),
        "{held:?} beside {busy:?}"
    );
    planner.record_first_token(at, busy.job);
    assert!(
        matches!(planner.place(at, &longest), Decision::Wait(_)),
        "the other one goes first"
    );
    sent(planner.place(at, &long));
    planner.dequeue(long.id);
}

#[test]
fn a_host_that_falls_silent_holds_nothing_for_long() {
    let mut planner = planner(2);
    let other = Plan {
        job: JobId { host: 2, number: 1 },
        first: EndpointKey(1),
        helpers: Vec::new(),
        prompt: 300_000,
        target_ms: 3_000,
        part_ms: 100.0,
        tokens: 300_000,
        pause_ms: 1_000,
    };
    planner.record_dispatch(START, other.clone());
    // Its memory is taken, and it is told of again.
    let at = START + Duration::from_secs(2);
    planner.refresh(at, other, false);
    let later = START + Duration::from_secs(4);
    let beside = sent(planner.place(later, &job(2, 100_000, later)));
    assert_eq!(beside.first, EndpointKey(2));
    planner.record_end(later, beside.job);
    let last = START + Duration::from_secs(9);
    let plan = sent(planner.place(last, &job(3, 300_000, last)));
    assert!(
        plan.helpers.iter().all(|part| part.reserved == 0),
        "{plan:?}"
    );
}

#[test]
fn memory_is_back_at_its_idle_level_whatever_happens_to_jobs() {
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
                end_one(&mut planner, &mut running, now, random.next_u32());
            }
        }
        while !running.is_empty() {
            end_one(&mut planner, &mut running, now, random.next_u32());
        }
        let idle = now + Duration::from_secs(10);
        let whole = sent(planner.place(idle, &job(9_999, 300_000, idle)));
        assert_eq!(whole.readers().count(), 6, "seed {seed}: {whole:?}");
        assert!(
            whole.helpers.iter().all(|part| part.reserved == 0),
            "seed {seed}: {whole:?}"
        );
    }
}

fn end_one(planner: &mut Planner, running: &mut Vec<Plan>, now: Moment, drawn: u32) {
    if running.is_empty() {
        return;
    }
    let plan = running.swap_remove(drawn as usize % running.len());
    match drawn % 4 {
        0 => {}
        1 => planner.record_first_token(now, plan.job),
        _ => {
            planner.refresh(now, plan.clone(), drawn.is_multiple_of(2));
            planner.record_first_token(now, plan.job);
        }
    }
    planner.record_end(now, plan.job);
    // An end that is told twice, and a late word of it, change nothing.
    planner.record_end(now, plan.job);
    planner.record_first_token(now, plan.job);
}

/// A relay that froze, or one that bundles, hands on a dispatch after another way has told its end.
#[test]
fn news_of_a_job_that_has_ended_holds_nothing() {
    let mut planner = planner(1);
    let at = |ms| START + Duration::from_millis(ms);
    let ended = part_at(1, 1, 3_000.0);
    planner.record_end(at(0), ended.job);
    planner.record_dispatch(at(100), ended.clone());
    planner.refresh(at(200), ended.clone(), true);
    let plan = sent(planner.place(at(300), &job(2, 2_000, at(300))));
    planner.record_end(at(310), plan.job);
    // Its memory and its reading time are free for a prompt that fills the engine.
    sent(planner.place(at(400), &job(3, 250_000, at(400))));
}
