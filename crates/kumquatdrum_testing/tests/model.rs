//! The engine model: admission, scheduling order, prefix cache and memory.

use std::time::Duration;

use kumquatdrum_testing::model::{
    Hold, HoldError, Model, Options, Rejection, Request, Stage, Summary,
};
use kumquatdrum_testing::prompt;
use kumquatdrum_types::{AttemptId, Moment, digest};

fn options() -> Options {
    Options {
        memory_tokens: 1_000,
        batch_limit: 4,
        queue_limit: 8,
        chunk_tokens: 100,
        cache_tokens: 500,
        ..Options::default()
    }
}

fn request(id: &str, prompt_tokens: u64, max_tokens: u32) -> Request {
    Request {
        id: id.into(),
        owner: "host-1".into(),
        counter: 1,
        priority: 0,
        deadline: Moment::NEVER,
        prompt_tokens,
        max_tokens,
        digest: digest::hex(id.as_bytes()),
        blocks: Vec::new(),
        reservation: None,
    }
}

fn hold(id: &str, tokens: u64) -> Hold {
    Hold {
        id: id.into(),
        owner: "host-1".into(),
        tokens,
    }
}

fn run_until_idle(model: &mut Model) -> Vec<AttemptId> {
    let mut finished = Vec::new();
    while !model.is_idle() {
        let step = model.step(Moment::ZERO);
        let ended = step.progress.into_iter();
        finished.extend(
            ended
                .filter(|progress| progress.state == Stage::Finished)
                .map(|progress| progress.id),
        );
    }
    finished
}

#[test]
fn long_prompts_are_computed_in_chunks_while_others_decode() {
    let mut model = Model::new(options());
    model.submit(Moment::ZERO, request("short", 10, 5)).unwrap();
    model.submit(Moment::ZERO, request("long", 350, 1)).unwrap();
    assert_eq!(run_until_idle(&mut model), ["long".into(), "short".into()]);
    assert_eq!(model.memory_used(), 0);
}

#[test]
fn a_lower_priority_value_runs_first() {
    let mut model = Model::new(Options {
        batch_limit: 1,
        ..options()
    });
    let urgent = Request {
        priority: 0,
        ..request("urgent", 10, 1)
    };
    let low_priority = Request {
        priority: 5,
        ..request("deferrable", 10, 1)
    };
    model.submit(Moment::ZERO, low_priority).unwrap();
    model.submit(Moment::ZERO, urgent).unwrap();
    assert_eq!(
        run_until_idle(&mut model),
        ["urgent".into(), "deferrable".into()]
    );
}

#[test]
fn a_known_attempt_never_runs_again() {
    let mut model = Model::new(options());
    model.submit(Moment::ZERO, request("a", 10, 1)).unwrap();
    run_until_idle(&mut model);
    let finished = Summary {
        state: Stage::Finished,
        started: true,
    };
    let again = model.submit(Moment::ZERO, request("a", 10, 1));
    assert_eq!(again, Err(Rejection::Known(finished)));
}

#[test]
fn a_cancel_before_its_request_refuses_the_request() {
    let mut model = Model::new(options());
    assert_eq!(model.cancel(&"a".into()), Stage::Cancelled);
    let cancelled = Summary {
        state: Stage::Cancelled,
        started: false,
    };
    let late = model.submit(Moment::ZERO, request("a", 10, 1));
    assert_eq!(late, Err(Rejection::Known(cancelled)));
}

#[test]
fn a_cancelled_attempt_records_whether_it_had_started() {
    let mut model = Model::new(options());
    model.submit(Moment::ZERO, request("ran", 500, 9)).unwrap();
    model.step(Moment::ZERO);
    model.submit(Moment::ZERO, request("idle", 500, 9)).unwrap();
    model.cancel(&"idle".into());
    assert_eq!(model.step(Moment::ZERO).started, []);
    model.cancel(&"ran".into());
    assert!(model.summary(&"ran".into()).started);
    assert!(!model.summary(&"idle".into()).started);
    assert_eq!(model.memory_used(), 0);
}

#[test]
fn a_request_fails_at_its_deadline() {
    let mut model = Model::new(options());
    let late = Request {
        deadline: Moment::from_millis(5),
        ..request("late", 500, 9)
    };
    model.submit(Moment::ZERO, late).unwrap();
    model.step(Moment::ZERO);
    let step = model.step(Moment::from_millis(5));
    assert_eq!(step.progress[0].state, Stage::Failed);
    assert_eq!(model.memory_used(), 0);
}

#[test]
fn a_request_larger_than_the_memory_is_refused() {
    let mut model = Model::new(options());
    let refused = model.submit(Moment::ZERO, request("huge", 1_000, 1));
    assert_eq!(refused, Err(Rejection::TooLong));
}

#[test]
fn a_full_queue_refuses_requests() {
    let mut model = Model::new(options());
    for index in 0..8 {
        let id = format!("a{index}");
        model.submit(Moment::ZERO, request(&id, 10, 1)).unwrap();
    }
    let refused = model.submit(Moment::ZERO, request("one more", 10, 1));
    assert_eq!(refused, Err(Rejection::Full));
}

#[test]
fn a_cached_prefix_is_not_computed_again() {
    let text = "x".repeat(4 * prompt::BLOCK_BYTES);
    let with_blocks = |id: &str| Request {
        blocks: prompt::blocks(&text),
        ..request(id, 400, 1)
    };
    let mut model = Model::new(options());
    model.submit(Moment::ZERO, with_blocks("cold")).unwrap();
    run_until_idle(&mut model);
    model.submit(Moment::ZERO, with_blocks("warm")).unwrap();
    run_until_idle(&mut model);
    assert_eq!(model.attempt(&"cold".into()).unwrap().cached_tokens, 0);
    assert_eq!(model.attempt(&"warm".into()).unwrap().cached_tokens, 399);
}

#[test]
fn evictions_are_reported() {
    let mut model = Model::new(options());
    for letter in ["x", "y"] {
        let text = letter.repeat(4 * prompt::BLOCK_BYTES);
        let wanted = Request {
            blocks: prompt::blocks(&text),
            ..request(letter, 400, 1)
        };
        model.submit(Moment::ZERO, wanted).unwrap();
        run_until_idle(&mut model);
    }
    let (events, last) = model.cache_events(0);
    let ops: Vec<String> = events.map(|event| format!("{:?}", event.op)).collect();
    assert_eq!(ops.iter().filter(|op| *op == "Stored").count(), 8);
    assert_eq!(ops.iter().filter(|op| *op == "Evicted").count(), 3);
    assert_eq!(last, 11);
}

#[test]
fn reservations_limit_memory_expire_and_pass_to_an_attempt() {
    let mut model = Model::new(options());
    let ttl = Duration::from_millis(10);
    model.reserve(Moment::ZERO, hold("r", 900), ttl).unwrap();
    let full = model.reserve(Moment::ZERO, hold("s", 200), ttl);
    assert_eq!(full, Err(HoldError::Full));
    let taken = model.reserve(Moment::ZERO, hold("r", 800), ttl);
    assert_eq!(taken, Err(HoldError::Taken));
    let long = Request {
        reservation: Some("r".into()),
        ..request("long", 2_500, 1)
    };
    model.submit(Moment::ZERO, long).unwrap();
    assert_eq!(model.memory_used(), 900);
    run_until_idle(&mut model);
    assert_eq!(model.memory_used(), 0);
    model.reserve(Moment::ZERO, hold("s", 200), ttl).unwrap();
    model.step(Moment::from_millis(10));
    assert_eq!(model.memory_used(), 0);
}

#[test]
fn exported_kv_counts_until_it_is_dropped() {
    let mut model = Model::new(options());
    model.submit(Moment::ZERO, request("a", 10, 2)).unwrap();
    run_until_idle(&mut model);
    assert_eq!(model.export_kv(&"a".into()).unwrap().tokens, 12);
    model.import_kv(hold("b", 5)).unwrap();
    assert_eq!(model.memory_used(), 17);
    assert!(model.drop_kv("a"));
    assert!(model.drop_kv("b"));
    assert!(!model.drop_kv("b"));
    assert_eq!(model.memory_used(), 0);
}

#[test]
fn the_load_reports_the_highest_counter_of_each_owner() {
    let mut model = Model::new(options());
    for counter in [3, 2] {
        let counted = Request {
            counter,
            ..request(&format!("a{counter}"), 10, 1)
        };
        model.submit(Moment::ZERO, counted).unwrap();
    }
    let refused = Request {
        counter: 9,
        ..request("huge", 2_000, 1)
    };
    model.submit(Moment::ZERO, refused).unwrap_err();
    let load = model.load();
    assert_eq!(load.seen, [("host-1".to_owned(), 9)]);
    assert_eq!(load.waiting, 2);
    assert_eq!(load.prefill_tokens, 20);
}

/// Guards against leaked memory and duplicate runs under random sequences of calls.
#[test]
fn memory_is_freed_after_any_sequence_of_calls() {
    const SEEDS: u64 = 64;
    const ENTROPY_BYTES: u64 = 2_048;
    for seed in 0..SEEDS {
        arbtest::arbtest(check_random_calls).seed(ENTROPY_BYTES | (seed << 32));
    }
}

fn check_random_calls(
    entropy: &mut arbtest::arbitrary::Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let mut model = Model::new(options());
    let mut now = Moment::ZERO;
    for index in 0..100 {
        let id = format!("a{}", entropy.int_in_range(0..=40)?);
        match entropy.int_in_range(0..=9)? {
            0..=2 => {
                let wanted = Request {
                    priority: entropy.int_in_range(0..=3)?,
                    deadline: now + Duration::from_millis(entropy.int_in_range(1..=50)?),
                    reservation: entropy.ratio(1, 4)?.then(|| format!("r{}", index % 5)),
                    ..request(
                        &id,
                        entropy.int_in_range(1..=1_100)?,
                        entropy.int_in_range(1..=9)?,
                    )
                };
                let before = model.summary(&wanted.id).state;
                let is_accepted = model.submit(now, wanted).is_ok();
                assert!(!is_accepted || before == Stage::NeverSeen);
            }
            3 => drop(model.cancel(&id.as_str().into())),
            4 => {
                let name = format!("r{}", index % 5);
                let tokens = entropy.int_in_range(1..=600)?;
                let _ = model.reserve(now, hold(&name, tokens), Duration::from_millis(20));
            }
            5 => drop(model.export_kv(&id.as_str().into())),
            _ => drop(model.step(now)),
        }
        assert!(model.memory_used() <= 1_000);
        now = now + Duration::from_millis(1);
    }
    let after_expiry = now + Duration::from_secs(60);
    model.step(after_expiry);
    let kept: Vec<String> = model.kv().map(|hold| hold.id.clone()).collect();
    for id in kept {
        model.drop_kv(&id);
    }
    assert_eq!(model.memory_used(), 0);
    Ok(())
}
