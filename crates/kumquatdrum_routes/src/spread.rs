//! Which control host tells a host of a new record.
//!
//! Answers a change of a large setup before many hosts: a leader that sent the record to all of
//! them by itself had no time left for its heartbeats. Each control host tells a share of the hosts,
//! the same by all views that agree on who is live; where views differ, a host that was missed sees
//! the higher revision in the answer to its next greeting and fetches the record.

use kumquatdrum_types::{HostId, hash};

/// The control host among those that are live that tells a host, by rendezvous hashing: where one
/// is lost, its hosts alone go to others.
///
/// ```
/// use kumquatdrum_routes::spread;
/// use kumquatdrum_types::HostId;
///
/// let control = ["control-1", "control-2"].map(HostId::new);
/// let sender = spread::sender(&HostId::new("entry-1"), &control);
/// assert!(sender.is_some_and(|sender| control.contains(sender)));
/// ```
pub fn sender<'a>(
    host: &HostId,
    control: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let weight = |sender: &&'a HostId| (hash::pair(sender.as_str(), host.as_str()), *sender);
    control.into_iter().max_by_key(weight)
}
