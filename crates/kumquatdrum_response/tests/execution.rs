//! What callers get after several attempts, in any order.

use http::StatusCode;
use kumquatdrum_response::execution::{Execution, Record, Reply};

const MAX_ATTEMPTS: usize = 4;
const STATUSES: [u16; 7] = [200, 400, 408, 421, 429, 500, 503];

/// How an attempt ends.
#[derive(Debug, Clone, Copy)]
enum Attempt {
    Unsent,
    Lost,
    Answered(Execution, u16),
}

fn attempts() -> Vec<Attempt> {
    let executions = [Execution::Ran, Execution::Failed, Execution::NotRun];
    let answers = executions
        .iter()
        .flat_map(|execution| STATUSES.map(|status| Attempt::Answered(*execution, status)));
    [Attempt::Unsent, Attempt::Lost]
        .into_iter()
        .chain(answers)
        .collect()
}

/// Calls `check` with all orders of up to [`MAX_ATTEMPTS`] attempts.
fn for_all_orders(check: &mut impl FnMut(&[Attempt]), order: &mut Vec<Attempt>) {
    check(order);
    if order.len() == MAX_ATTEMPTS {
        return;
    }
    for attempt in attempts() {
        order.push(attempt);
        for_all_orders(check, order);
        order.pop();
    }
}

/// Plays attempts for as long as they are allowed, or all if `is_idempotent` is `None`. Returns those
/// that were made, and the record.
fn play(order: &[Attempt], is_idempotent: Option<bool>) -> (&[Attempt], Record<(usize, u16)>) {
    let mut record = Record::default();
    for (number, attempt) in order.iter().enumerate() {
        if is_idempotent.is_some_and(|is_idempotent| !record.can_repeat(is_idempotent)) {
            return (&order[..number], record);
        }
        match *attempt {
            Attempt::Unsent => {}
            Attempt::Lost => record.record_loss(),
            Attempt::Answered(execution, status) => {
                let answer = (number, status);
                let status = StatusCode::from_u16(status).expect("a status");
                record.record_answer(execution, status, answer);
            }
        }
    }
    (order, record)
}

impl Attempt {
    const fn may_have_run(self) -> bool {
        !matches!(self, Self::Unsent | Self::Answered(Execution::NotRun, _))
    }

    const fn has_run(self) -> bool {
        matches!(self, Self::Answered(Execution::Ran | Execution::Failed, _))
    }
}

fn is_promise(status: u16) -> bool {
    [408, 421, 429, 503].contains(&status)
}

/// Checks the reply to a request with the given attempts against what they say.
fn check_reply(made: &[Attempt], is_time_up: bool, reply: &Reply<(usize, u16)>) {
    let can_have_run = made.iter().any(|attempt| attempt.may_have_run());
    let is_true = |attempt: &Attempt| match attempt {
        Attempt::Answered(_, status) => attempt.has_run() && !is_promise(*status),
        _ => false,
    };
    let has_ended = |attempt: &Attempt| {
        matches!(attempt, Attempt::Answered(Execution::Ran, _)) && is_true(attempt)
    };
    let case = || format!("{made:?}, {is_time_up}: {reply:?}");
    match *reply {
        Reply::Refusal => {
            assert!(!can_have_run, "a false promise: {}", case());
            let is_answer = |attempt: &Attempt| matches!(attempt, Attempt::Answered(..));
            assert!(
                !made.iter().any(is_answer),
                "an answer is dropped: {}",
                case()
            );
        }
        Reply::Rejection((number, _)) => {
            assert!(!can_have_run, "a false promise: {}", case());
            let later = &made[number + 1..];
            assert!(
                later
                    .iter()
                    .all(|attempt| matches!(attempt, Attempt::Unsent)),
                "{}",
                case()
            );
        }
        Reply::Answer((number, status)) => {
            assert!(
                made[number].has_run(),
                "an answer of another attempt: {}",
                case()
            );
            assert!(!is_promise(status), "a false promise: {}", case());
            assert!(!is_time_up || has_ended(&made[number]), "{}", case());
        }
        Reply::Failure => {
            assert!(can_have_run && !is_time_up, "{}", case());
            assert!(
                !made.iter().any(is_true),
                "an answer is dropped: {}",
                case()
            );
        }
        Reply::Timeout => {
            assert!(can_have_run && is_time_up, "{}", case());
            assert!(
                !made.iter().any(has_ended),
                "an answer is dropped: {}",
                case()
            );
        }
    }
}

#[test]
fn no_order_of_attempts_ends_with_a_false_promise() {
    let mut check = |order: &[Attempt]| {
        for is_idempotent in [None, Some(false), Some(true)] {
            for is_time_up in [false, true] {
                let (made, mut record) = play(order, is_idempotent);
                check_reply(made, is_time_up, &record.take_reply(is_time_up));
            }
        }
    };
    for_all_orders(&mut check, &mut Vec::new());
}

#[test]
fn no_order_of_attempts_runs_a_request_twice_unless_it_is_idempotent() {
    let mut check = |order: &[Attempt]| {
        let (made, _) = play(order, Some(false));
        let runs = made.iter().filter(|attempt| attempt.may_have_run());
        assert!(runs.count() <= 1, "{made:?}");
        let (made, _) = play(order, Some(true));
        let mut ran = made.iter();
        let ended = ran.position(|attempt| {
            matches!(attempt, Attempt::Answered(Execution::Ran, status) if !is_promise(*status))
        });
        assert!(
            ended.is_none_or(|ended| ended + 1 == made.len()),
            "{made:?}"
        );
    };
    for_all_orders(&mut check, &mut Vec::new());
}

#[test]
fn a_reply_that_was_taken_leaves_no_promise_behind() {
    let mut record = Record::<&str>::default();
    assert_eq!(record.take_reply(false), Reply::Refusal);
    assert_eq!(record.take_reply(false), Reply::Failure);
}
