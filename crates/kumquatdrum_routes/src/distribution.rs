//! Assignment of hosts to the control hosts that send them records, and flow control.
//!
//! Each control host sends a new record to a share of the hosts, and bounds the bytes in flight so
//! that heartbeats on the same link are not delayed. A second control host announces the revision, so
//! that a host which the first can't connect to learns of it, and [fetches](crate::fetch) the record
//! in an answer. Answers count towards the same bound.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{DataCentre, HostId, hash};

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
    control
        .into_iter()
        .max_by_key(|sender| weight(sender, host))
}

/// Selects the control host that announces revisions to a host: in another data centre than the one
/// that sends it records if there is such a one, so that a cut rarely concerns both.
///
/// ```
/// use kumquatdrum_routes::distribution;
/// use kumquatdrum_types::{DataCentre, HostId};
///
/// let (north, south) = (DataCentre::new("north"), DataCentre::new("south"));
/// let hosts = ["control-1", "control-2", "control-3"].map(HostId::new);
/// let control = [(&hosts[0], &north), (&hosts[1], &north), (&hosts[2], &south)];
/// let entry = HostId::new("entry-1");
/// let sender = distribution::sender(&entry, &hosts);
/// let announcer = distribution::announcer(&entry, control);
/// assert!(sender == Some(&hosts[2]) || announcer == Some(&hosts[2]));
/// ```
pub fn announcer<'a>(
    host: &HostId,
    control: impl IntoIterator<Item = (&'a HostId, &'a DataCentre), IntoIter: Clone>,
) -> Option<&'a HostId> {
    let control = control.into_iter();
    let (sender, near) = control.clone().max_by_key(|(id, _)| weight(id, host))?;
    let others = control.filter(|(id, _)| *id != sender);
    let preference =
        |(id, data_centre): &(&'a HostId, &'a DataCentre)| (*data_centre != near, weight(id, host));
    others.max_by_key(preference).map(|(id, _)| id)
}

fn weight<'a>(sender: &'a HostId, host: &HostId) -> (u64, &'a HostId) {
    (hash::pair(sender.as_str(), host.as_str()), sender)
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
    /// Transfers in flight by receiving host.
    in_flight: IndexMap<HostId, Transfer>,
}

#[derive(Debug)]
struct Transfer {
    bytes: usize,
    /// The revision, if it was requested.
    answer: Option<u64>,
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
        if !self.has_room(bytes) {
            return None;
        }
        let is_idle = |host: &&HostId| !self.in_flight.contains_key(*host);
        let host = self.waiting.iter().find(is_idle)?.clone();
        self.waiting.shift_remove(&host);
        let answer = None;
        self.in_flight
            .insert(host.clone(), Transfer { bytes, answer });
        Some(host)
    }

    /// Starts the transfer of a record in the answer to a host's request, in place of a queued one.
    /// Returns `false` while it would exceed the limit, or while the host is still receiving a record.
    ///
    /// ```
    /// use kumquatdrum_routes::distribution::Queue;
    /// use kumquatdrum_types::HostId;
    ///
    /// let (mut queue, host) = (Queue::default(), HostId::new("entry-1"));
    /// assert!(queue.start_answer(&host, 7, 20_000));
    /// assert!(!queue.start_answer(&host, 7, 20_000));
    /// queue.finish_answer(&host, 7);
    /// assert!(queue.start_answer(&host, 7, 20_000));
    /// ```
    pub fn start_answer(&mut self, host: &HostId, revision: u64, bytes: usize) -> bool {
        if self.in_flight.contains_key(host) || !self.has_room(bytes) {
            return false;
        }
        self.waiting.shift_remove(host);
        let answer = Some(revision);
        self.in_flight
            .insert(host.clone(), Transfer { bytes, answer });
        true
    }

    /// Ends the transfer of an answer, whether or not it was acknowledged.
    pub fn finish_answer(&mut self, host: &HostId, revision: u64) {
        let transfer = self.in_flight.get(host);
        if transfer.is_some_and(|transfer| transfer.answer == Some(revision)) {
            self.in_flight.swap_remove(host);
        }
    }

    /// Ends the transfer to a host, whether or not it was acknowledged.
    pub fn finish(&mut self, host: &HostId) {
        self.in_flight.swap_remove(host);
    }

    fn has_room(&self, bytes: usize) -> bool {
        let in_flight: usize = self.in_flight.values().map(|transfer| transfer.bytes).sum();
        in_flight == 0 || in_flight + bytes <= MAX_IN_FLIGHT_BYTES
    }
}
