//! No request is lost: each ends in exactly one dispatch, refusal or withdrawal.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_routing::{Failure, Health, Output, Progress, Router, Usage};
use kumquatdrum_types::Moment;
use support::{announcement, ask, endpoint, load, router};

/// Bytes of entropy of one case.
const SIZE: u64 = 8_192;
const CASES: u64 = 150;

#[derive(Default)]
struct Ledger {
    waiting: BTreeSet<String>,
    open: BTreeSet<u64>,
}

impl Ledger {
    fn note(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => {
                    assert!(
                        self.waiting.remove(dispatch.request.as_str()),
                        "{dispatch:?}"
                    );
                    assert!(self.open.insert(dispatch.attempt), "{dispatch:?}");
                }
                Output::Refuse(refuse) => {
                    assert!(self.waiting.remove(refuse.request.as_str()), "{refuse:?}");
                }
                Output::Resync(_) => {}
            }
        }
    }
}

fn one_step(
    u: &mut Unstructured<'_>,
    router: &mut Router,
    ledger: &mut Ledger,
    now: Moment,
    step: u64,
) -> Result<()> {
    let index: usize = u.int_in_range(0..=5)?;
    match u.int_in_range(0..=9)? {
        0..=3 => {
            let name = format!("r{step}");
            let tokens = *u.choose(&[500, 4_000, 30_000, 200_000, 900_000, 5_000_000])?;
            let due = now + Duration::from_millis(u.int_in_range(0..=60_000)?);
            let mut request = ask(&name, tokens, due);
            request.priority.level = u.int_in_range(0..=3)?;
            request.weight = u.int_in_range(0..=3)?;
            request.workspace = (*u.choose(&["x", "y", "z"])?).into();
            if u.ratio(1, 8)? {
                request.excluded.push(endpoint(index));
            }
            ledger.waiting.insert(name);
            let outputs = router.submit(now, request);
            ledger.note(outputs);
        }
        4 => {
            let named = ledger.waiting.iter().nth(u.int_in_range(0..=3)?).cloned();
            if let Some(name) = named {
                assert!(router.withdraw(now, &name.as_str().into()));
                ledger.waiting.remove(&name);
            }
        }
        5 | 6 => {
            let attempt = ledger.open.iter().nth(u.int_in_range(0..=3)?).copied();
            let progress = *u.choose(&[
                Progress::Started,
                Progress::FirstToken,
                Progress::Finished(Usage::default()),
                Progress::Failed(Failure::Busy),
                Progress::Failed(Failure::Cancelled),
            ])?;
            if let Some(attempt) = attempt {
                if matches!(progress, Progress::Finished(_) | Progress::Failed(_)) {
                    ledger.open.remove(&attempt);
                }
                ledger.note(router.record_progress(now, attempt, progress));
            }
        }
        7 => {
            let boot = u.int_in_range(1..=4)?;
            let report = load(step, u.int_in_range(0..=100_000)?);
            let mut news = announcement(index, boot, step, Some(report));
            news.leaving = u.ratio(1, 6)?;
            ledger.note(router.announce(now, &news));
        }
        8 => {
            let states = [
                Health::Alive,
                Health::Suspect,
                Health::Leaving,
                Health::Gone,
            ];
            let health = *u.choose(&states)?;
            ledger.note(router.set_health(now, &endpoint(index), health));
        }
        _ => ledger.note(router.tick(now)),
    }
    Ok(())
}

#[test]
fn every_request_ends_exactly_once_and_counts_return_to_zero() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| {
            let mut router = router("a", 4, 1);
            let mut ledger = Ledger::default();
            let mut now = Moment::ZERO;
            for step in 2..400 {
                now = now + Duration::from_millis(u.int_in_range(0..=2_000)?);
                one_step(u, &mut router, &mut ledger, now, step)?;
                assert_eq!(router.queued(), ledger.waiting.len());
                assert_eq!(router.in_flight(), ledger.open.len());
            }
            // At the end of all deadlines nothing waits, and all attempts end.
            ledger.note(router.tick(now + Duration::from_secs(120)));
            assert!(ledger.waiting.is_empty(), "{:?}", ledger.waiting);
            for attempt in std::mem::take(&mut ledger.open) {
                let ended = Progress::Failed(Failure::Broken);
                ledger.note(router.record_progress(now, attempt, ended));
            }
            assert_eq!((router.queued(), router.in_flight()), (0, 0));
            for index in 0..6 {
                let place = router.fleet().find(&endpoint(index));
                let left = place.map_or(0, |place| router.fleet().slot(place).in_flight());
                assert_eq!(left, 0);
            }
            Ok(())
        };
        arbtest(property).seed(SIZE | case << 32).run();
    }
}
