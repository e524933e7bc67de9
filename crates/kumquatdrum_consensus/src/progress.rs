//! The replication progress of a follower as tracked by its leader.

use std::collections::VecDeque;

use kumquatdrum_types::Moment;

use crate::{AppendAck, LogIndex, Probe, Rejection, Snapshot};

/// The transfer of a snapshot to a follower.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) offset: u64,
    pub(crate) sent_at: Moment,
}

/// The replication progress of a follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// When the leader began to send to the follower.
    pub(crate) added_at: Moment,
    /// The last synced entry up to which the follower's log matches.
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// Whether the last matching entry is unknown, which limits sending to one message at a time.
    pub(crate) is_probing: bool,
    /// Whether the message that was sent while probing is unanswered.
    pub(crate) has_probe_in_flight: bool,
    /// The last entry of each unacknowledged message.
    pub(crate) in_flight: VecDeque<LogIndex>,
    pub(crate) snapshot_transfer: Option<Transfer>,
    /// The latest heartbeat round that the follower answered.
    pub(crate) round: u64,
    /// The send time of the latest answered message.
    pub(crate) acked_at: Option<Moment>,
}

impl Progress {
    pub(crate) fn new(now: Moment, last: LogIndex) -> Self {
        Self {
            added_at: now,
            matched: LogIndex(0),
            next: last.next(),
            is_probing: true,
            has_probe_in_flight: false,
            in_flight: VecDeque::new(),
            snapshot_transfer: None,
            round: 0,
            acked_at: None,
        }
    }

    pub(crate) fn record_answer(&mut self, probe: Probe) {
        self.round = self.round.max(probe.round);
        self.acked_at = self.acked_at.max(Some(probe.sent_at));
    }

    /// Returns whether flow control allows a message with entries.
    pub(crate) fn can_send(&self, max_in_flight_appends: usize) -> bool {
        match &self.snapshot_transfer {
            Some(_) => false,
            None if self.is_probing => !self.has_probe_in_flight,
            None => self.in_flight.len() < max_in_flight_appends,
        }
    }

    pub(crate) fn record_sent(&mut self, last: LogIndex) {
        if self.is_probing {
            self.has_probe_in_flight = true;
        } else {
            self.in_flight.push_back(last);
            self.next = last.next();
        }
    }

    pub(crate) fn record_ack(&mut self, ack: &AppendAck) {
        match &ack.reject {
            Some(reject) => self.record_rejected(reject),
            None => self.record_accepted(ack.matched),
        }
    }

    fn record_accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        let reached = self.matched;
        self.next = self.next.max(reached.next());
        self.is_probing = false;
        self.has_probe_in_flight = false;
        self.in_flight.retain(|last| *last > reached);
        let is_done = |transfer: &Transfer| transfer.snapshot.index <= reached;
        if self.snapshot_transfer.as_ref().is_some_and(is_done) {
            self.snapshot_transfer = None;
        }
    }

    fn record_rejected(&mut self, reject: &Rejection) {
        if reject.previous_index <= self.matched && !reject.needs_snapshot {
            return;
        }
        let next = reject.previous_index.min(reject.hint.next());
        self.next = next.max(self.matched.next());
        self.is_probing = true;
        self.has_probe_in_flight = false;
        self.in_flight.clear();
    }
}
