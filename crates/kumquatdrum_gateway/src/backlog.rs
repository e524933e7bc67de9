//! Requests that are held while a host that has started can't place them yet.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatdrum_types::Moment;
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

/// The fraction of a request's time that is left for its placement and answer when it is no longer
/// held, or else for the caller's attempt at another host.
const SERVING_FRACTION: f64 = 0.25;
/// The minimum of that time. An answer takes longer even without load.
const MIN_SERVING_TIME: Duration = Duration::from_millis(200);
/// The maximum fraction of its remaining time for which a caller waits to retry.
const RETRY_FRACTION: f64 = 0.3;

/// Returns how long a request with a timeout is held.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_gateway::backlog;
///
/// assert_eq!(backlog::max_hold(Duration::from_secs(8)), Duration::from_secs(6));
/// assert_eq!(backlog::max_hold(Duration::from_millis(100)), Duration::ZERO);
/// ```
pub fn max_hold(timeout: Duration) -> Duration {
    let reserve = timeout.mul_f64(SERVING_FRACTION).max(MIN_SERVING_TIME);
    timeout.saturating_sub(reserve)
}

/// Returns the delay after which a caller may retry that has this much time left, at most `limit`.
pub fn retry_after(left: Duration, limit: Duration) -> Duration {
    left.mul_f64(RETRY_FRACTION).min(limit)
}

/// The maximum number of held requests, since they occupy memory and connections.
const MAX_HELD: usize = 4_096;

/// The held requests in the order of their deadlines.
#[derive(Debug, Default)]
pub struct Backlog {
    state: Mutex<State>,
    added: Notify,
}

#[derive(Debug, Default)]
struct State {
    held: BTreeMap<(Moment, u64), oneshot::Sender<()>>,
    last: u64,
}

/// A held request. Dropping it removes the request.
#[derive(Debug)]
pub struct Entry<'a> {
    backlog: &'a Backlog,
    key: (Moment, u64),
    released: oneshot::Receiver<()>,
}

impl Backlog {
    /// Adds a request with a deadline. If too many are held, the one with the latest deadline is
    /// released, which is then refused.
    pub fn add(&self, deadline: Moment) -> Entry<'_> {
        let (sender, released) = oneshot::channel();
        let mut state = self.state.lock();
        state.last += 1;
        let key = (deadline, state.last);
        state.held.insert(key, sender);
        let latest = if state.held.len() > MAX_HELD {
            state.held.pop_last()
        } else {
            None
        };
        drop(state);
        if let Some((_, sender)) = latest {
            // The request may have been given up.
            let _ = sender.send(());
        }
        self.added.notify_one();
        Entry {
            backlog: self,
            key,
            released,
        }
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.state.lock().held.is_empty()
    }

    /// Waits until a request has been added since the last call.
    pub async fn wait_for_requests(&self) {
        self.added.notified().await;
    }

    /// Releases the request with the earliest deadline. Returns whether there was one.
    pub fn release_next(&self) -> bool {
        let next = self.state.lock().held.pop_first();
        next.is_some_and(|(_, sender)| {
            // The request may have been given up.
            let _ = sender.send(());
            true
        })
    }
}

impl Entry<'_> {
    /// Waits until the request is released.
    pub async fn wait(&mut self) {
        let _ = (&mut self.released).await;
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.backlog.state.lock().held.remove(&self.key);
    }
}
