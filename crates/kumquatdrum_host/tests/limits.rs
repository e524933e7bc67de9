//! The limits of the declaration in force.

mod support;

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_host::in_force::Store;
use kumquatdrum_host::limits::Limits;
use kumquatdrum_routing::limits::{Coordinator, Limiter};
use kumquatdrum_setup::{Digest, in_force::Offer};
use kumquatdrum_types::{BootId, Moment, Version};
use serde_json::{Value, json};

/// Guards against requests that are admitted under the limits of the version before the one in
/// force.
#[test]
fn limits_hold_as_soon_as_their_version_is_in_force() {
    let store = Arc::new(Store::default());
    let now = Moment::ZERO;
    let limiter = Limiter::new("a".into(), 1, now);
    let coordinator = Coordinator::new("a".into(), BootId(1), 1, Duration::from_secs(600));
    let mut limits = Limits::new(store.clone(), limiter, coordinator);
    let mut admitted = |count: usize| {
        (0..count)
            .filter(|_| limits.limiter(now).admit(now, &"tartu".into(), 1).is_ok())
            .count()
    };
    assert!(store.offer(offer(1, json!({}))));
    assert_eq!(admitted(4), 4);
    // A host admits 30 percent of a limit without a grant; four requests are in flight.
    assert!(store.offer(offer(2, json!({"concurrency": 20}))));
    assert_eq!(admitted(5), 2);
    assert!(store.offer(offer(3, json!({"concurrency": 30}))));
    assert_eq!(admitted(5), 3);
    assert!(store.offer(offer(4, json!({}))));
    assert_eq!(admitted(5), 5);
}

fn offer(version: u64, limits: Value) -> Offer {
    let text = support::declaration_with_limits(limits);
    Offer {
        version: Version(version),
        digest: Digest::of(text.as_bytes()),
        accepted_unix_ms: 0,
        text: text.into(),
    }
}
