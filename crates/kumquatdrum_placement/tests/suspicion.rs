//! Which engines may share a prefill after failures to reach engines.

mod model;

use std::time::Duration;

use kumquatdrum_placement::{
    DataCentreKey, Decision, EndpointKey, Failure, Job, JobId, Plan, Planner,
};
use kumquatdrum_types::Moment;
use model::simulation::engine_settings;

const START: Moment = Moment::from_millis(1_000_000);
const LOCAL: DataCentreKey = DataCentreKey(0);
const REMOTE: DataCentreKey = DataCentreKey(1);
const ENGINES: u64 = 12;
/// The interval at which live engines announce themselves.
const ANNOUNCEMENT: Duration = Duration::from_millis(1_200);

/// Returns the data centre of an engine: half of them are remote.
fn data_centre(key: u64) -> DataCentreKey {
    if key < ENGINES / 2 { LOCAL } else { REMOTE }
}

/// Returns a planner of the local data centre that has just heard of all engines.
fn planner() -> Planner {
    let mut planner = Planner::new(engine_settings()).with_data_centre(LOCAL);
    planner.set_endpoints((0..ENGINES).map(|key| (EndpointKey(key), data_centre(key))));
    announce(&mut planner, 0..ENGINES, START);
    planner
}

fn announce(planner: &mut Planner, keys: impl IntoIterator<Item = u64>, at: Moment) {
    for key in keys {
        planner.record_announcement(EndpointKey(key), at);
    }
}

fn job(number: u64, now: Moment) -> Job {
    Job {
        id: JobId { host: 1, number },
        prompt_tokens: 200_000,
        answer_tokens: 1_000,
        max_pause: Duration::from_secs(1),
        arrived: now,
        due: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(15),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

fn place(planner: &mut Planner, number: u64, now: Moment) -> Plan {
    match planner.place(now, &job(number, now)) {
        Decision::Send(plan, _) => {
            planner.record_end(now, plan.job);
            plan
        }
        other => panic!("{other:?}"),
    }
}

/// Returns the engines of a plan, in order of their keys.
fn engines(plan: &Plan) -> Vec<u64> {
    let mut keys: Vec<u64> = plan.prefill_engines().map(|key| key.0).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn an_engine_that_could_not_be_reached_is_avoided_until_it_announces_itself() {
    let mut planner = planner();
    let failed = EndpointKey(3);
    assert!(planner.record_unreachable(START, failed, LOCAL));
    assert!(!planner.record_unreachable(START, failed, LOCAL), "known");
    for (number, waited) in [0, 500, 3_000].into_iter().enumerate() {
        let now = START + Duration::from_millis(waited);
        announce(&mut planner, (0..ENGINES).filter(|key| *key != 3), now);
        let plan = place(&mut planner, number as u64, now);
        assert!(!engines(&plan).contains(&3), "after {waited} ms: {plan:?}");
    }
    let now = START + ANNOUNCEMENT * 3;
    announce(&mut planner, [3], now);
    assert!(engines(&place(&mut planner, 9, now)).contains(&3));
}

#[test]
fn an_engine_without_announcements_is_tried_again_after_some_seconds() {
    let mut planner = planner();
    planner.record_unreachable(START, EndpointKey(3), LOCAL);
    let plan = place(&mut planner, 1, START + Duration::from_secs(6));
    assert!(engines(&plan).contains(&3));
}

#[test]
fn failures_count_where_they_were_seen_and_in_the_engines_own_data_centre() {
    // The engine, the data centre that could not reach it, and whether it counts at a local host.
    let cases = [
        (1, LOCAL, true),
        (1, REMOTE, false),
        (7, LOCAL, true),
        (7, REMOTE, true),
    ];
    for (key, from, counts) in cases {
        let mut planner = planner();
        let is_suspected = planner.record_unreachable(START, EndpointKey(key), from);
        assert_eq!(is_suspected, counts, "engine {key} from {from:?}");
        let plan = place(&mut planner, 1, START);
        assert_eq!(!engines(&plan).contains(&key), counts, "{plan:?}");
    }
}

/// Load: long prompts during a network partition, which separates a data centre without a word. Each
/// prompt that names an engine behind the partition fails after its engine has waited for it.
#[test]
fn prompts_leave_out_a_data_centre_that_is_cut_off() {
    let mut planner = planner();
    let mut failures = 0;
    for number in 0..15 {
        let now = START + Duration::from_millis(400) * (number + 1);
        announce(&mut planner, 0..ENGINES / 2, now);
        let plan = place(&mut planner, number.into(), now);
        let unreachable = engines(&plan)
            .into_iter()
            .find(|key| data_centre(*key) == REMOTE);
        if let Some(key) = unreachable {
            failures += 1;
            planner.record_unreachable(now, EndpointKey(key), LOCAL);
        }
    }
    // Two failures reveal the partition, and two more that it lasts after five seconds.
    assert!(failures <= 4, "{failures} of 15 prompts failed");
    let healed = START + Duration::from_secs(8);
    announce(&mut planner, 0..ENGINES, healed);
    let plan = place(&mut planner, 99, healed);
    assert_eq!(engines(&plan).len(), ENGINES as usize, "{plan:?}");
}

/// Load: engines of one data centre crash, while its others go on.
#[test]
fn crashes_in_a_data_centre_do_not_exclude_its_other_engines() {
    let mut planner = planner();
    let now = START + ANNOUNCEMENT;
    announce(&mut planner, 0..ENGINES, now);
    for key in [7, 8, 9] {
        planner.record_unreachable(now + Duration::from_millis(10), EndpointKey(key), LOCAL);
    }
    let later = now + ANNOUNCEMENT;
    announce(&mut planner, [6, 10, 11], later);
    let plan = place(&mut planner, 1, later);
    assert_eq!(engines(&plan), [0, 1, 2, 3, 4, 5, 6, 10, 11]);
}

#[test]
fn a_job_that_may_be_sent_to_one_engine_only_has_it_as_the_first() {
    let mut planner = planner();
    let only = |number, key| Job {
        first: Some(EndpointKey(key)),
        ..job(number, START)
    };
    for key in [2, 11] {
        let Decision::Send(plan, _) = planner.place(START, &only(key, key)) else {
            panic!("not placed");
        };
        assert_eq!(plan.first, EndpointKey(key));
        planner.record_end(START, plan.job);
    }
    let mut excluded = only(5, 4);
    excluded.excluded.push(EndpointKey(4));
    assert_eq!(planner.place(START, &excluded), Decision::NoEngine);
}

#[test]
fn suspicions_that_the_path_explains_are_forgotten() {
    let mut planner = planner();
    announce(&mut planner, 0..ENGINES, START);
    let now = START + Duration::from_millis(100);
    let failed: Vec<u64> = (0..ENGINES / 2).collect();
    for key in &failed {
        planner.record_unreachable(now, EndpointKey(*key), LOCAL);
        planner.record_failure(now, EndpointKey(*key), Failure::Down);
    }
    let is_used = |plan: &Plan| engines(plan).iter().any(|key| failed.contains(key));
    assert!(!is_used(&place(&mut planner, 1, now)));
    planner.forget_failures();
    assert!(is_used(&place(&mut planner, 2, now)));
}
