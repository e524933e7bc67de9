//! Deadline, idempotency and token estimates of a request, from the declaration and its headers.

use std::time::Duration;

use kumquatdrum_declaration::Service;

/// Expected output tokens of a request that sets no limit.
pub const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Returns the requested deadline, or the service's default, within the service's cap.
///
/// ```
/// use kumquatdrum_daemon::admission::resolve_deadline;
/// use std::time::Duration;
///
/// let service: kumquatdrum_declaration::Service = serde_json::from_str(
///     r#"{"name": "s", "kind": {"plain": {}}, "deadline_ms": 1000, "deadline_cap_ms": 5000}"#,
/// )
/// .unwrap();
/// assert_eq!(resolve_deadline(&service, None), Duration::from_secs(1));
/// assert_eq!(resolve_deadline(&service, Some(Duration::from_secs(9))), Duration::from_secs(5));
/// ```
pub fn resolve_deadline(service: &Service, requested: Option<Duration>) -> Duration {
    let cap = Duration::from_millis(service.deadline_cap_ms);
    let default = Duration::from_millis(service.deadline_ms);
    requested.unwrap_or(default).min(cap)
}

/// Returns whether a request is idempotent. The caller's header overrides the declaration.
pub fn is_idempotent(service: &Service, method: &str, path: &str, requested: Option<bool>) -> bool {
    requested.unwrap_or_else(|| kumquatdrum_declaration::is_idempotent(service, method, path))
}

/// Estimates the tokens in `bytes` of text, at least 1. `bytes_per_token_milli` is in thousandths
/// of a byte.
///
/// ```
/// assert_eq!(kumquatdrum_daemon::admission::estimate_tokens(8_000, 4_000), 2_000);
/// ```
pub fn estimate_tokens(bytes: usize, bytes_per_token_milli: u64) -> u64 {
    let milli = (bytes as u64).saturating_mul(1_000);
    (milli / bytes_per_token_milli.max(1)).max(1)
}
