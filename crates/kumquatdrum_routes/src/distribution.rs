//! Assignment of hosts to the control hosts that send them records, and flow control.
//!
//! Each control host sends a new record to a share of the hosts, and bounds the bytes in flight so
//! that heartbeats on the same link are not delayed. A host that is missed because control hosts
//! disagree about who is live sees the higher revision in the next hello exchange and fetches the
//! record.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, hash};

/// The maximum number of record bytes in flight from one host. Heartbeats queue behind them, so
/// this stays within what a 170 Mbit/s link sends in one heartbeat interval.
const MAX_IN_FLIGHT_BYTES: usize = 2 * 1024 * 1024;

/// Selects the control host that sends records to a host, by rendezvous hashing: if a control host
/// is lost, only its share is reassigned.
///
/// ```
/// use kumquatdrum_routes::distribution;
/// use kumquatdrum_types::HostId;
///
/// let control = ["control-1", "control-2"].map(HostId::new);
/// let sender = distribution::sender(&HostId::new("entry-1"), &control);
/// assert!(sender.is_some_and(|sender| control.contains(sender)));
/// ```
pub fn sender<'a>(
    host: &HostId,
    control: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let weight = |sender: &&'a HostId| (hash::pair(sender.as_str(), host.as_str()), *sender);
    control.into_iter().max_by_key(weight)
}

/// The hosts that wait for the latest record, and the transfers in flight.
///
/// ```
/// use kumquatdrum_routes::distribution::Queue;
/// use kumquatdrum_types::HostId;
///
/// let mut queue = Queue::default();
/// queue.add([HostId::new("entry-1"), HostId::new("entry-1")]);
/// let host = queue.start_next(20_000).expect("a waiting host");
/// assert_eq!(queue.start_next(20_000), None);
/// queue.finish(&host);
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    waiting: IndexSet<HostId>,
    /// Bytes in flight by receiving host.
    in_flight: IndexMap<HostId, usize>,
}

impl Queue {
    /// Enqueues hosts for the latest record.
    pub fn add(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        self.waiting.extend(hosts);
    }

    /// Starts the transfer of a record of `bytes` bytes and returns its receiver. Returns `None`
    /// while the transfer would exceed the limit, or while every waiting host is still receiving an
    /// earlier record.
    pub fn start_next(&mut self, bytes: usize) -> Option<HostId> {
        let sum: usize = self.in_flight.values().sum();
        if sum > 0 && sum + bytes > MAX_IN_FLIGHT_BYTES {
            return None;
        }
        let is_idle = |host: &&HostId| !self.in_flight.contains_key(*host);
        let host = self.waiting.iter().find(is_idle)?.clone();
        self.waiting.shift_remove(&host);
        self.in_flight.insert(host.clone(), bytes);
        Some(host)
    }

    /// Ends the transfer to a host, whether or not it was acknowledged.
    pub fn finish(&mut self, host: &HostId) {
        self.in_flight.swap_remove(host);
    }

    /// Returns whether a transfer to the host is in flight.
    pub fn is_in_flight(&self, host: &HostId) -> bool {
        self.in_flight.contains_key(host)
    }
}
