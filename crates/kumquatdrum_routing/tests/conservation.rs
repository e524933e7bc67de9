//! Every request ends in exactly one dispatch, refusal or withdrawal.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_routing::{Failure, Health, Output, Progress, Router, Usage};
use kumquatdrum_types::Moment;
use support::{announcement, build_request, endpoint, load, router};

/// The entropy of one case, in bytes.
const ENTROPY_BYTES: u64 = 8_192;
const CASES: u64 = 150;

#[derive(Default)]
struct Tracker {
    waiting: BTreeSet<String>,
    in_flight: BTreeSet<u64>,
}

impl Tracker {
    fn record(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => {
                    assert!(
                        self.waiting.remove(dispatch.request.as_str()),
                        "{dispatch:?}"
                    );
                    assert!(self.in_flight.insert(dispatch.attempt), "{dispatch:?}");
                }
                Output::Refuse(refuse) => {
                    assert!(self.waiting.remove(refuse.request.as_str()), "{refuse:?}");
                }
                Output::Resync(_) => {}
            }
        }
    }
}

fn random_step(
    u: &mut Unstructured<'_>,
    router: &mut Router,
    tracker: &mut Tracker,
    now: Moment,
    step: u64,
) -> Result<()> {
    let index: usize = u.int_in_range(0..=5)?;
    match u.int_in_range(0..=9)? {
        0..=3 => {
            let name = format!("r{step}");
            let tokens = *u.choose(&[500, 4_000, 30_000, 200_000, 900_000, 5_000_000])?;
            let deadline = now + Duration::from_millis(u.int_in_range(0..=60_000)?);
            let mut request = build_request(&name, tokens, deadline);
            request.priority.level = u.int_in_range(0..=3)?;
            request.weight = u.int_in_range(0..=3)?;
            request.workspace = (*u.choose(&["x", "y", "z"])?).into();
            if u.ratio(1, 8)? {
                request.excluded.push(endpoint(index));
            }
            tracker.waiting.insert(name);
            let outputs = router.submit(now, request);
            tracker.record(outputs);
        }
        4 => {
            let name = tracker.waiting.iter().nth(u.int_in_range(0..=3)?).cloned();
            if let Some(name) = name {
                assert!(router.withdraw(now, &name.as_str().into()));
                tracker.waiting.remove(&name);
            }
        }
        5 | 6 => {
            let attempt = tracker
                .in_flight
                .iter()
                .nth(u.int_in_range(0..=3)?)
                .copied();
            let progress = *u.choose(&[
                Progress::Started,
                Progress::FirstToken,
                Progress::Finished(Usage::default()),
                Progress::Failed(Failure::Busy),
                Progress::Failed(Failure::Cancelled),
            ])?;
            if let Some(attempt) = attempt {
                if matches!(progress, Progress::Finished(_) | Progress::Failed(_)) {
                    tracker.in_flight.remove(&attempt);
                }
                tracker.record(router.record_progress(now, attempt, progress));
            }
        }
        7 => {
            let boot = u.int_in_range(1..=4)?;
            let report = load(step, u.int_in_range(0..=100_000)?);
            let mut announced = announcement(index, boot, step, Some(report));
            announced.leaving = u.ratio(1, 6)?;
            tracker.record(router.announce(now, &announced));
        }
        8 => {
            let states = [
                Health::Alive,
                Health::Suspect,
                Health::Leaving,
                Health::Gone,
            ];
            let health = *u.choose(&states)?;
            tracker.record(router.set_health(now, &endpoint(index), health));
        }
        _ => tracker.record(router.tick(now)),
    }
    Ok(())
}

#[test]
fn every_request_ends_exactly_once_and_counts_return_to_zero() {
    for case in 0..CASES {
        let property = |u: &mut Unstructured<'_>| {
            let mut router = router("a", 4, 1);
            let mut tracker = Tracker::default();
            let mut now = Moment::ZERO;
            for step in 2..400 {
                now = now + Duration::from_millis(u.int_in_range(0..=2_000)?);
                random_step(u, &mut router, &mut tracker, now, step)?;
                assert_eq!(router.queued(), tracker.waiting.len());
                assert_eq!(router.in_flight(), tracker.in_flight.len());
            }
            // After all deadlines, no request waits and every attempt ends.
            tracker.record(router.tick(now + Duration::from_secs(120)));
            assert!(tracker.waiting.is_empty(), "{:?}", tracker.waiting);
            for attempt in std::mem::take(&mut tracker.in_flight) {
                let failed = Progress::Failed(Failure::Broken);
                tracker.record(router.record_progress(now, attempt, failed));
            }
            assert_eq!((router.queued(), router.in_flight()), (0, 0));
            for index in 0..6 {
                let index = router.pool().find(&endpoint(index));
                let in_flight = index.map_or(0, |index| router.pool().endpoint(index).in_flight());
                assert_eq!(in_flight, 0);
            }
            Ok(())
        };
        arbtest(property).seed(ENTROPY_BYTES | case << 32).run();
    }
}
