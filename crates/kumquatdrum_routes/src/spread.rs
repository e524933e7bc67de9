//! Which control host tells a host of a new record, and how many hosts are told at once.
//!
//! Answers changes of a large setup before many hosts: a leader that sent the record to all of
//! them at once had no room left on its link for its heartbeats. Each control host tells a share of
//! the hosts, the same by all views that agree on who is live; where views differ, a host that was
//! missed sees the higher revision in the answer to its next greeting and asks to be told. Whoever
//! is told, the bytes under way from one host are bounded.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, hash};

/// Bytes of records under way from one host. A heartbeat waits behind them on the host's own link:
/// a tenth of a second at 170 Mbit/s, as long as the interval between two of them and a sixth of the
/// silence that costs a leader its quorum.
const WINDOW_BYTES: usize = 2 * 1024 * 1024;

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

/// The hosts that one host has yet to tell of its newest record, and those that it is telling.
///
/// ```
/// use kumquatdrum_routes::spread::Round;
/// use kumquatdrum_types::HostId;
///
/// let mut round = Round::default();
/// round.add([HostId::new("entry-1"), HostId::new("entry-1")]);
/// let told = round.next(20_000).expect("a host to tell");
/// assert_eq!(round.next(20_000), None);
/// round.end(&told);
/// ```
#[derive(Debug, Default)]
pub struct Round {
    waiting: IndexSet<HostId>,
    /// Bytes on their way, by host.
    under_way: IndexMap<HostId, usize>,
}

impl Round {
    /// Hosts to be told of what is the newest record when their turn comes.
    pub fn add(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        self.waiting.extend(hosts);
    }

    /// A host to be told now of a record of so many bytes; none while that would fill the link. One
    /// that is still being told of an earlier record waits for the end of that.
    pub fn next(&mut self, bytes: usize) -> Option<HostId> {
        let sum: usize = self.under_way.values().sum();
        if sum > 0 && sum + bytes > WINDOW_BYTES {
            return None;
        }
        let free = |host: &&HostId| !self.under_way.contains_key(*host);
        let host = self.waiting.iter().find(free)?.clone();
        self.waiting.shift_remove(&host);
        self.under_way.insert(host.clone(), bytes);
        Some(host)
    }

    /// A host has the record, or is not waited for any more.
    pub fn end(&mut self, host: &HostId) {
        self.under_way.swap_remove(host);
    }

    /// Whether a host is being told.
    pub fn is_telling(&self, host: &HostId) -> bool {
        self.under_way.contains_key(host)
    }
}
