//! The times and sizes that liveness and gossip are built on.

use std::time::Duration;

/// Endpoints are asked to renew their announcement this often.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// An endpoint without renewal for this long is suspect.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(4);
/// An endpoint without renewal for this long is gone.
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// An endpoint whose last renewal came through a host that fell silent gets this much longer, as
/// it has to find another host first.
pub const HANDOVER_GRACE: Duration = Duration::from_secs(3);
/// A gone endpoint is remembered this long, so that late messages don't bring it back.
pub const FORGET_AFTER: Duration = Duration::from_secs(60);
/// A renewal older than this makes one failed dispatch enough for suspicion.
pub const LATE_AFTER: Duration = Duration::from_millis(2_500);
/// Failed dispatches within [`FAILURE_WINDOW`] that make an endpoint suspect.
pub const FAILURE_LIMIT: u32 = 3;
/// The time over which failed dispatches are counted.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(5);
/// An endpoint suspected for its failures stays so at least this long after the last of them.
pub const FAILURE_HOLD: Duration = Duration::from_secs(2);

/// The daemon should tick about this often; one peer is pushed to in each such slot.
pub const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// No peer is pushed to more often than this.
pub const PUSH_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Each peer of the data centre is pushed to at least this often.
pub const PUSH_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// The bytes of one push, where the data centre is small.
pub const PUSH_BYTES: usize = 1_000;
/// The bytes of one push that each endpoint of the data centre adds, where it is large.
pub const PUSH_BYTES_PER_ENDPOINT: usize = 5;
/// The bytes of one push that other data centres' summaries may take.
pub const PUSH_SUMMARY_BYTES: usize = 400;

/// A peer not heard for this long counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);
/// What a peer said of others counts for this long.
pub const REPORT_VALIDITY: Duration = Duration::from_millis(2_500);
/// A suspect peer is dead after this long.
pub const DEAD_AFTER: Duration = Duration::from_secs(7);
/// A gap between two ticks longer than this is the daemon's own; nothing is suspected for a while.
pub const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Hosts that must hold a leaving notice before the endpoint is told so, where there are as many.
pub const NOTICE_COPIES: usize = 2;
/// An unconfirmed leaving notice is sent again after this long.
pub const NOTICE_RETRY: Duration = Duration::from_millis(200);
/// A leaving notice is no longer sent again after this long; the exchange of digests does the rest.
pub const NOTICE_EXPIRY: Duration = Duration::from_secs(5);

/// Tables that differ for this long are compared.
pub const MISMATCH_AFTER: Duration = Duration::from_secs(1);
/// Tables are compared at most this often.
pub const TABLE_COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
/// Rosters are compared at most this often.
pub const ROSTER_INTERVAL: Duration = Duration::from_secs(5);
/// Records, keys or members of one message.
pub const ITEMS_PER_MESSAGE: usize = 100;

/// Relays tell each other the state of their data centres this often.
pub const SUMMARY_INTERVAL: Duration = Duration::from_secs(2);
/// A data centre without a summary for this long is cut off.
pub const CUT_OFF_AFTER: Duration = Duration::from_secs(8);
/// A changed summary is passed on within the data centre at most this often.
pub const SUMMARY_FORWARD_INTERVAL: Duration = Duration::from_secs(5);
