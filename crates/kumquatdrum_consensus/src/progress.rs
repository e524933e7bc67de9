//! How far a leader knows a follower to be.

use std::collections::VecDeque;

use kumquatdrum_types::Moment;

use crate::{AppendAck, LogIndex, Probe, Reject, Snapshot};

/// A snapshot on its way to a follower.
#[derive(Debug)]
pub(crate) struct Transfer {
    pub(crate) snapshot: Snapshot,
    pub(crate) offset: u64,
    pub(crate) sent_at: Moment,
}

/// A follower as its leader sees it.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Its log matches through here, synced.
    pub(crate) matched: LogIndex,
    /// The next entry to send.
    pub(crate) next: LogIndex,
    /// Whether it is not known where the logs meet; then one message at a time.
    pub(crate) probing: bool,
    /// Whether the one message is out.
    pub(crate) probe_sent: bool,
    /// Last entries of the unanswered messages.
    pub(crate) in_flight: VecDeque<LogIndex>,
    pub(crate) transfer: Option<Transfer>,
    /// The latest round that it answered.
    pub(crate) round: u64,
    /// When the latest answered message was sent.
    pub(crate) acked_at: Option<Moment>,
}

impl Progress {
    pub(crate) fn new(last: LogIndex) -> Self {
        Self {
            matched: LogIndex(0),
            next: last.next(),
            probing: true,
            probe_sent: false,
            in_flight: VecDeque::new(),
            transfer: None,
            round: 0,
            acked_at: None,
        }
    }

    pub(crate) fn heard(&mut self, probe: Probe) {
        self.round = self.round.max(probe.round);
        self.acked_at = self.acked_at.max(Some(probe.sent_at));
    }

    /// Whether a message with entries may be sent now.
    pub(crate) fn may_send(&self, max_in_flight: usize) -> bool {
        match &self.transfer {
            Some(_) => false,
            None if self.probing => !self.probe_sent,
            None => self.in_flight.len() < max_in_flight,
        }
    }

    pub(crate) fn sent_through(&mut self, last: LogIndex) {
        if self.probing {
            self.probe_sent = true;
        } else {
            self.in_flight.push_back(last);
            self.next = last.next();
        }
    }

    pub(crate) fn acknowledged(&mut self, ack: &AppendAck) {
        match &ack.reject {
            Some(reject) => self.rejected(reject),
            None => self.accepted(ack.matched),
        }
    }

    fn accepted(&mut self, matched: LogIndex) {
        self.matched = self.matched.max(matched);
        let reached = self.matched;
        self.next = self.next.max(reached.next());
        self.probing = false;
        self.probe_sent = false;
        self.in_flight.retain(|last| *last > reached);
        let done = |transfer: &Transfer| transfer.snapshot.index <= reached;
        if self.transfer.as_ref().is_some_and(done) {
            self.transfer = None;
        }
    }

    fn rejected(&mut self, reject: &Reject) {
        if reject.previous_index <= self.matched && !reject.needs_snapshot {
            return;
        }
        let guess = reject.previous_index.min(reject.hint.next());
        self.next = guess.max(self.matched.next());
        self.probing = true;
        self.probe_sent = false;
        self.in_flight.clear();
    }
}
