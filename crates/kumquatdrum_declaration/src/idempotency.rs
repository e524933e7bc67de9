//! Which calls may be done more than once.

use crate::{Rule, Service, ServiceKind};

const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Whether a call of a service may be repeated.
///
/// The first rule that matches decides, else the kind of the service does. A path that an
/// endpoint could read as another one (dot segments, empty segments, needless percent encoding)
/// might slip past the rules, and such a call is never repeated.
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
    if !is_regular(path) {
        return false;
    }
    let rule = service
        .rules
        .iter()
        .find(|rule| matches(rule, method, path));
    match (rule, &service.kind) {
        (Some(rule), _) => rule.idempotent,
        (None, ServiceKind::Model { .. }) => true,
        (None, ServiceKind::Plain {}) => names_method(&SAFE_METHODS, method),
    }
}

fn matches(rule: &Rule, method: &str, path: &str) -> bool {
    let is_method = rule.methods.is_empty() || names_method(&rule.methods, method);
    is_method && path.starts_with(&rule.path_prefix)
}

fn names_method(methods: &[impl AsRef<str>], method: &str) -> bool {
    methods
        .iter()
        .any(|known| known.as_ref().eq_ignore_ascii_case(method))
}

/// Whether a path can be read in one way only.
pub(crate) fn is_regular(path: &str) -> bool {
    let path = path.strip_prefix('/').unwrap_or(path);
    let path = path.strip_suffix('/').unwrap_or(path);
    let has_odd_segment = path
        .split('/')
        .any(|segment| matches!(segment, "" | "." | ".."));
    let is_root = path.is_empty();
    (is_root || !has_odd_segment) && !path.contains(['\\', ';']) && !encodes_needlessly(path)
}

/// Whether some percent-encoded byte could have been written plainly, or is a separator.
fn encodes_needlessly(path: &str) -> bool {
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
