//! The times that the spread is built on.

use std::time::Duration;

/// A question without answer is put to another host after this long.
pub const ASK_RETRY: Duration = Duration::from_millis(500);
/// A relay tells control replicas, and one other data centre in turn, what it has this often.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// News on which hosts have which version are told at most this often.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// What changed this long ago at most is told again, in case a telling was lost.
pub const REPORT_REPEAT_WINDOW: Duration = Duration::from_secs(6);
/// A relay tells the versions of all hosts of its data centre this often.
pub const FULL_REPORT_INTERVAL: Duration = Duration::from_secs(30);
/// A new version is told to other data centres again until they have it.
pub const NOTIFICATION_RETRY: Duration = Duration::from_millis(500);
/// How often a new version is told to a data centre at its arrival; later the exchange does it.
pub const NOTIFICATION_LIMIT: u8 = 6;
/// A status is given out at least this often.
pub const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// No word of a majority of control replicas for this long is a cut-off.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(10);
/// A restarting host waits this long for a majority of control replicas.
pub const START_CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer where it knows of a higher version that it can't get.
pub const START_FETCH_TIMEOUT: Duration = Duration::from_secs(6);
/// Former texts kept to work out differences from, by count.
pub const HISTORY_COUNT: usize = 16;
/// Former texts kept to work out differences from, by bytes.
pub const HISTORY_BYTES: usize = 4 << 20;
