//! Requests that are held while a host starts.
//!
//! Guards against a backlog that is released in another order than that of the deadlines, and against
//! requests that stay in it after they have been given up.

use futures::FutureExt;
use kumquatdrum_gateway::backlog::Backlog;
use kumquatdrum_types::Moment;

#[test]
fn requests_are_released_by_deadline_and_leave_when_they_are_given_up() {
    let backlog = Backlog::default();
    let mut held: Vec<_> = [30, 10, 20, 10]
        .map(|deadline| backlog.add(Moment::from_millis(deadline)))
        .into_iter()
        .collect();
    drop(held.remove(2));
    let mut released = Vec::new();
    while backlog.release_next() {
        for (number, entry) in held.iter_mut().enumerate() {
            if !released.contains(&number) && entry.wait().now_or_never().is_some() {
                released.push(number);
            }
        }
    }
    assert_eq!(released, [1, 2, 0]);
    assert!(backlog.is_empty());
}

/// Guards against held requests without a bound during a long outage of the control hosts.
#[test]
fn at_most_4096_requests_are_held_and_the_latest_deadline_is_refused() {
    let backlog = Backlog::default();
    let mut held: Vec<_> = (1..=4_096)
        .map(|deadline| backlog.add(Moment::from_millis(deadline)))
        .collect();
    let mut late = backlog.add(Moment::from_millis(5_000));
    assert!(late.wait().now_or_never().is_some());
    let mut early = backlog.add(Moment::from_millis(1));
    assert!(early.wait().now_or_never().is_none());
    let last = held.last_mut().expect("a held request");
    assert!(last.wait().now_or_never().is_some());
    assert!(held[4_094].wait().now_or_never().is_none());
}
