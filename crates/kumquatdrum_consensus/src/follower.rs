//! Following a leader: entries, commit and snapshots.

use crate::durability::Held;
use crate::node::{Node, Role};
use crate::{
    Append, AppendAck, Body, ClusterId, LogIndex, Probe, Reject, ReplicaId, Snapshot,
    SnapshotChunk, Term,
};

/// A snapshot of which parts have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    term: Term,
    header: Snapshot,
    data: Vec<u8>,
}

impl Node {
    /// A message of a cluster that this replica does not belong to. Where nothing hangs on this
    /// replica yet, it may join.
    pub(crate) fn on_foreign(&mut self, from: &ReplicaId, cluster: Option<ClusterId>, body: Body) {
        let Some(cluster) = cluster.filter(|_| self.is_untouched()) else {
            return;
        };
        match body {
            Body::Append(append) => {
                let reject = needs_snapshot(&append);
                let ack = AppendAck {
                    term: append.term,
                    matched: LogIndex(0),
                    reject: Some(reject),
                    probe: append.probe,
                };
                self.send_in(cluster, from, Body::AppendAck(ack));
            }
            Body::SnapshotChunk(chunk) => self.collect(from, chunk),
            Body::PreVote(vote) => {
                self.adopt(cluster);
                self.on_pre_vote(from, &vote);
            }
            Body::RequestVote(vote) => {
                self.adopt(cluster);
                self.on_request_vote(from, &vote);
            }
            _ => {}
        }
    }

    /// Takes the cluster of a candidate that knows this very incarnation as a voter: one listed
    /// when the cluster formed, which has missed all since. It cannot have voted before.
    fn adopt(&mut self, cluster: ClusterId) {
        self.hard_state.cluster = Some(cluster);
        self.durability.hard_state_changed();
    }

    /// Recognises a leader; false where its term is over.
    fn accept_leader(&mut self, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        let known = term == self.hard_state.term && self.leader.as_ref() == Some(from);
        if !known || !matches!(self.role, Role::Follower) {
            self.become_follower(term, Some(from.clone()));
        }
        self.last_contact = self.now;
        self.reset_election_timer();
        true
    }

    /// Lets the leader of an older term learn of this one; nothing is said of the log.
    fn tell_own_term(&mut self, from: &ReplicaId) {
        let term = self.hard_state.term;
        self.answer_append(from, term, LogIndex(0), None, Probe::default());
    }

    pub(crate) fn on_append(&mut self, from: &ReplicaId, append: Append) {
        let probe = append.probe;
        if !self.accept_leader(from, append.term) {
            self.tell_own_term(from);
            return;
        }
        self.probe = probe;
        let reject = self.take_entries(append).err();
        let matched = self.matched();
        self.answer_append(from, self.hard_state.term, matched, reject, probe);
    }

    /// Matches the leader's log and is on disk through here.
    fn matched(&self) -> LogIndex {
        self.verified.min(self.durability.persisted())
    }

    fn answer_append(
        &mut self,
        to: &ReplicaId,
        term: Term,
        matched: LogIndex,
        reject: Option<Reject>,
        probe: Probe,
    ) {
        let ack = AppendAck {
            term,
            matched,
            reject,
            probe,
        };
        self.send(to, Body::AppendAck(ack));
    }

    fn take_entries(&mut self, append: Append) -> Result<(), Reject> {
        if self.log.snapshot().is_none() {
            return Err(needs_snapshot(&append));
        }
        let previous = append.previous_index;
        let fits =
            previous <= self.commit || self.log.term_at(previous) == Some(append.previous_term);
        if !fits {
            let below = previous.previous();
            return Err(Reject {
                previous_index: previous,
                hint: self.log.last_not_after(below, append.previous_term),
                needs_snapshot: false,
            });
        }
        let mut last = previous;
        for entry in append.entries {
            if entry.index != last.next() {
                break;
            }
            last = entry.index;
            match self.log.term_at(entry.index) {
                _ if entry.index <= self.commit => {}
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.durability.truncated(entry.index);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
        }
        self.verified = self.verified.max(last);
        self.commit = self.commit.max(append.commit.min(self.verified));
        Ok(())
    }

    /// More of the log is on disk: the leader may count it.
    pub(crate) fn on_log_persisted(&mut self) {
        if self.is_leader() {
            self.advance_commit();
            return;
        }
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) {
            let matched = self.matched();
            self.answer_append(&leader, self.hard_state.term, matched, None, self.probe);
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: &ReplicaId, chunk: SnapshotChunk) {
        let probe = chunk.probe;
        if !self.accept_leader(from, chunk.term) {
            self.tell_own_term(from);
            return;
        }
        self.probe = probe;
        let header = &chunk.header;
        let known =
            header.index <= self.commit || self.log.term_at(header.index) == Some(header.term);
        if known && self.log.snapshot().is_some() {
            self.verified = self.verified.max(header.index);
            let matched = self.matched();
            self.answer_append(from, self.hard_state.term, matched, None, probe);
            return;
        }
        self.collect(from, chunk);
    }

    /// Adds a part to the incoming snapshot, and installs it when it is whole.
    fn collect(&mut self, from: &ReplicaId, chunk: SnapshotChunk) {
        let same = |known: &Incoming| known.term == chunk.term && known.header == chunk.header;
        let mut incoming = match self.incoming.take() {
            Some(known) if same(&known) => known,
            _ => Incoming {
                term: chunk.term,
                header: chunk.header,
                data: Vec::new(),
            },
        };
        if chunk.offset == incoming.data.len() as u64 {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let received = incoming.data.len() as u64;
        if received >= chunk.total {
            self.install(from, incoming, chunk.probe);
            return;
        }
        let answer = Body::SnapshotAck {
            term: chunk.term,
            index: incoming.header.index,
            received,
            probe: chunk.probe,
        };
        let cluster = incoming.header.cluster;
        self.incoming = Some(incoming);
        self.send_in(cluster, from, answer);
    }

    fn install(&mut self, from: &ReplicaId, incoming: Incoming, probe: Probe) {
        let snapshot = Snapshot {
            data: incoming.data.into(),
            ..incoming.header
        };
        if self.hard_state.cluster != Some(snapshot.cluster) {
            self.hard_state.cluster = Some(snapshot.cluster);
            self.durability.hard_state_changed();
        }
        self.accept_leader(from, incoming.term);
        self.probe = probe;
        self.commit = snapshot.index;
        self.verified = snapshot.index;
        self.log.reset(snapshot.clone());
        self.durability.installed(snapshot.clone());
        let ack = AppendAck {
            term: self.hard_state.term,
            matched: snapshot.index,
            reject: None,
            probe,
        };
        self.durability.hold(Held::Restore(snapshot));
        self.send_synced(from, Body::AppendAck(ack));
    }
}

/// The answer of a replica without any state: a snapshot tells it the replicas.
fn needs_snapshot(append: &Append) -> Reject {
    Reject {
        previous_index: append.previous_index,
        hint: LogIndex(0),
        needs_snapshot: true,
    }
}
