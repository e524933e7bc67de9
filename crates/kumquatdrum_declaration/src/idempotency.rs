//! Idempotency of calls.

use crate::{Rule, Service, ServiceKind};

const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Returns whether a call of a service is idempotent.
///
/// The first matching rule decides, or else the kind of the service. A path that isn't in normal
/// form (dot segments, empty segments, needless percent encoding) may evade the rules, so its call
/// never counts as idempotent.
///
/// ```
/// use kumquatdrum_declaration::{Rule, Service, ServiceKind, is_idempotent};
///
/// let reorder = Rule {
///     methods: vec!["POST".into()],
///     path_prefix: "/reorders".into(),
///     idempotent: false,
/// };
/// let service = Service {
///     name: "salon-api".into(),
///     kind: ServiceKind::Plain {},
///     deadline_ms: 1_000,
///     deadline_cap_ms: 5_000,
///     rules: vec![reorder],
/// };
/// assert!(!is_idempotent(&service, "POST", "/reorders/7"));
/// assert!(is_idempotent(&service, "GET", "/stock"));
/// ```
pub fn is_idempotent(service: &Service, method: &str, path: &str) -> bool {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    if !is_normalised(path) {
        return false;
    }
    let rule = service
        .rules
        .iter()
        .find(|rule| matches(rule, method, path));
    match (rule, &service.kind) {
        (Some(rule), _) => rule.idempotent,
        (None, ServiceKind::Model { .. }) => true,
        (None, ServiceKind::Plain {}) => contains_method(&SAFE_METHODS, method),
    }
}

fn matches(rule: &Rule, method: &str, path: &str) -> bool {
    let is_method = rule.methods.is_empty() || contains_method(&rule.methods, method);
    is_method && path.starts_with(&rule.path_prefix)
}

fn contains_method(methods: &[impl AsRef<str>], method: &str) -> bool {
    methods
        .iter()
        .any(|listed| listed.as_ref().eq_ignore_ascii_case(method))
}

/// Returns whether a path is in normal form, so that all endpoints interpret it alike.
pub(crate) fn is_normalised(path: &str) -> bool {
    let path = path.strip_prefix('/').unwrap_or(path);
    let path = path.strip_suffix('/').unwrap_or(path);
    let has_empty_or_dot_segment = path
        .split('/')
        .any(|segment| matches!(segment, "" | "." | ".."));
    let is_root = path.is_empty();
    (is_root || !has_empty_or_dot_segment)
        && !path.contains(['\\', ';'])
        && !has_needless_encoding(path)
}

/// Returns whether a percent-encoded byte needs no encoding, is a separator or is malformed.
fn has_needless_encoding(path: &str) -> bool {
    path.split('%').skip(1).any(|rest| {
        let byte = rest
            .get(..2)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte {
            None => true,
            Some(byte) => {
                byte.is_ascii_alphanumeric() || b"-._~/\\%;?#".contains(&byte) || byte < b' '
            }
        }
    })
}
