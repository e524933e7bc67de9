//! Intervals, timeouts and size limits of membership and failure detection.

use std::time::Duration;

/// Interval at which endpoints are expected to renew their announcement.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Time without renewal after which an endpoint is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(4);
/// Time without renewal after which an endpoint is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// Additional time for an endpoint whose last renewal came from a host that is now silent, so that
/// the endpoint can switch to another host.
pub const HANDOVER_GRACE: Duration = Duration::from_secs(3);
/// Time without renewal after which a gone endpoint is forgotten. Until then, late messages don't
/// add it again.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Age of the last renewal at which a single failed dispatch makes an endpoint suspect.
pub const LATE_AFTER: Duration = Duration::from_millis(2_500);
/// Number of failed dispatches within [`FAILURE_WINDOW`] that make an endpoint suspect.
pub const FAILURE_LIMIT: u32 = 3;
/// Window over which failed dispatches are counted.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(5);
/// Minimum time for which an endpoint stays suspect after its last failed dispatch.
pub const FAILURE_HOLD: Duration = Duration::from_secs(2);

/// Expected interval between ticks; about one push is sent per tick.
pub const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Minimum interval between two pushes to the same peer.
pub const PUSH_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Maximum interval between two pushes to the same peer.
pub const PUSH_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// Minimum size limit of a push.
pub const PUSH_BYTES: usize = 1_000;
/// Size limit of a push per endpoint of the data centre, if above [`PUSH_BYTES`].
pub const PUSH_BYTES_PER_ENDPOINT: usize = 5;
/// Size limit for the summaries of other data centres in a push.
pub const PUSH_SUMMARY_BYTES: usize = 400;

/// Time without a message after which a peer is silent.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);
/// Time for which a peer's report about other hosts is valid.
pub const REPORT_VALIDITY: Duration = Duration::from_millis(2_500);
/// Time after which a suspect peer is dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(7);
/// Gap between two ticks that indicates a stall of this daemon; suspicions are then suspended.
pub const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Number of other live hosts that must confirm a leaving notice, or all if there are fewer.
pub const NOTICE_CONFIRMATIONS: usize = 2;
/// Interval at which unconfirmed leaving notices are resent.
pub const NOTICE_RETRY: Duration = Duration::from_millis(200);
/// Time after which an acknowledged leaving notice is no longer resent; anti-entropy then spreads
/// it.
pub const NOTICE_EXPIRY: Duration = Duration::from_secs(5);

/// Time for which two tables must differ before they are compared.
pub const MISMATCH_AFTER: Duration = Duration::from_secs(1);
/// Minimum interval between table comparisons.
pub const TABLE_COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between roster exchanges.
pub const ROSTER_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of records or members in a message.
pub const ITEMS_PER_MESSAGE: usize = 100;

/// Interval at which relays send each other the state of their data centres.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);
/// Time without a summary after which a data centre is unreachable.
pub const UNREACHABLE_AFTER: Duration = Duration::from_secs(8);
/// Minimum interval between two forwards of a summary within the data centre.
pub const SUMMARY_FORWARD_INTERVAL: Duration = Duration::from_secs(5);
