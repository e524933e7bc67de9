//! When a connection of a caller is closed because the caller sends nothing.

use std::time::Duration;

use kumquatdrum_types::Moment;

use crate::Limits;

/// How long a new connection of a stopping host may stay without a request.
const MAX_FIRST_IDLE_TIME: Duration = Duration::from_millis(500);

/// The minimum idle time of a connection, whatever the limits say.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);
/// How long a busy connection is left alone.
const BUSY_TIME: Duration = Duration::from_secs(5);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// For the next request, since a moment.
    Idle {
        /// When the connection became idle.
        since: Moment,
        /// The maximum idle time that was in force then.
        limit: Duration,
        /// Whether there was no request yet.
        is_new: bool,
    },
    /// For the rest of a head, whose first byte came at a moment.
    Head {
        /// When that byte came.
        since: Moment,
    },
    /// For something else than the caller's next request.
    Busy,
}

/// What happens to a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It stays as it is until a moment.
    WaitUntil(Moment),
    /// It is closed, as there is no request.
    Close,
    /// The request is refused, as its head takes too long.
    Refuse,
}

/// Decides what happens to a connection. `limits` are those in force.
///
/// Callers go by the limits that they know last, so an idle connection stays open for as long as either
/// those in force or the earlier ones allow.
///
/// ```
/// use kumquatdrum_routes::connection::{Action, Standing, decide};
/// use kumquatdrum_routes::Limits;
/// use kumquatdrum_types::Moment;
/// use std::time::Duration;
///
/// let limits = Limits { idle_timeout: Duration::from_secs(2), ..Limits::default() };
/// let since = Moment::from_millis(100);
/// let standing = Standing::Idle { since, limit: Duration::from_secs(5), is_new: false };
/// let action = decide(Moment::from_millis(4_000), standing, &limits, false);
/// assert_eq!(action, Action::WaitUntil(Moment::from_millis(5_100)));
/// ```
pub fn decide(now: Moment, standing: Standing, limits: &Limits, is_stopping: bool) -> Action {
    let (until, ended) = match standing {
        Standing::Idle {
            since,
            is_new: true,
            ..
        } if is_stopping => (since + MAX_FIRST_IDLE_TIME, Action::Close),
        Standing::Idle { .. } if is_stopping => (now, Action::Close),
        Standing::Idle { since, limit, .. } => {
            let limit = limit.max(limits.idle_timeout).max(MIN_IDLE_TIME);
            (since + limit, Action::Close)
        }
        Standing::Head { since } => (since + limits.header_timeout, Action::Refuse),
        Standing::Busy => return Action::WaitUntil(now + BUSY_TIME),
    };
    if now >= until {
        ended
    } else {
        Action::WaitUntil(until)
    }
}
