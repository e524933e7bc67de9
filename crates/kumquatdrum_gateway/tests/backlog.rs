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
