//! Intervals, timeouts and limits of propagation.

use std::time::Duration;

/// Time after which an unanswered request is sent to another host.
pub const ASK_RETRY: Duration = Duration::from_millis(500);
/// Interval at which a relay exchanges versions with control replicas and one data centre in turn.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Minimum interval between reports of version changes to control replicas.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Age up to which version changes are repeated in exchanges, in case a report is lost.
pub const REPORT_REPEAT_WINDOW: Duration = Duration::from_secs(6);
/// Interval at which a relay reports the versions of all hosts of its data centre.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which notifications to another data centre are repeated.
pub const NOTIFICATION_RETRY: Duration = Duration::from_millis(500);
/// Number of notifications to a data centre, after which it depends on exchanges.
pub const NOTIFICATION_LIMIT: u8 = 6;
/// Maximum interval between two statuses.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Time without contact to a majority of control replicas after which a host is cut off.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(10);
/// Time that a starting host waits for a majority of control replicas.
pub const START_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Time that a starting host waits if a higher version is known but can't be fetched.
pub const START_FETCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum number of texts kept as bases of deltas.
pub const HISTORY_COUNT: usize = 16;
/// Maximum total size of texts kept as bases of deltas, in bytes.
pub const HISTORY_BYTES: usize = 4 << 20;
