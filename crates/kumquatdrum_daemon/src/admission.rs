//! What a request may take for granted, from the declaration and its own headers.

use std::time::Duration;

use kumquatdrum_declaration::Service;

/// Tokens of an answer whose caller names no bound.
pub const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// The deadline of a request: the caller's within the service's cap, else the service's.
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
pub fn resolve_deadline(service: &Service, wanted: Option<Duration>) -> Duration {
    let cap = Duration::from_millis(service.deadline_cap_ms);
    let usual = Duration::from_millis(service.deadline_ms);
    wanted.unwrap_or(usual).min(cap)
}

/// Whether a request may be done more than once: the caller's word goes before the declaration's.
pub fn is_idempotent(service: &Service, method: &str, path: &str, said: Option<bool>) -> bool {
    said.unwrap_or_else(|| kumquatdrum_declaration::is_idempotent(service, method, path))
}

/// The tokens that so many bytes of text stand for, at least 1.
///
/// ```
/// assert_eq!(kumquatdrum_daemon::admission::estimate_tokens(8_000, 4_000), 2_000);
/// ```
pub fn estimate_tokens(bytes: usize, bytes_per_token_milli: u64) -> u64 {
    let milli = (bytes as u64).saturating_mul(1_000);
    (milli / bytes_per_token_milli.max(1)).max(1)
}
