//! The follower side of replication: entries, the commit index and snapshots.

use crate::durability;
use crate::node::{Node, Role};
use crate::{
    Append, AppendAck, Body, ClusterId, LogIndex, Probe, Rejection, ReplicaId, Snapshot,
    SnapshotChunk, Term,
};

/// A partially received snapshot.
#[derive(Debug)]
pub(crate) struct Transfer {
    term: Term,
    header: Snapshot,
    data: Vec<u8>,
}

impl Node {
    /// Handles a message of a cluster that this replica does not belong to; a replica without
    /// state may join it.
    pub(crate) fn on_foreign_message(
        &mut self,
        from: &ReplicaId,
        cluster: Option<ClusterId>,
        body: Body,
    ) {
        let Some(cluster) = cluster.filter(|_| self.has_no_state()) else {
            return;
        };
        match body {
            Body::Append(append) => {
                let reject = snapshot_rejection(&append);
                let ack = AppendAck {
                    term: append.term,
                    matched: LogIndex(0),
                    reject: Some(reject),
                    probe: append.probe,
                };
                self.send_for_cluster(cluster, from, Body::AppendAck(ack));
            }
            Body::SnapshotChunk(chunk) => self.collect_chunk(from, chunk),
            Body::PreVote(vote) => {
                self.join_candidate_cluster(cluster);
                self.on_pre_vote(from, &vote);
            }
            Body::RequestVote(vote) => {
                self.join_candidate_cluster(cluster);
                self.on_request_vote(from, &vote);
            }
            _ => {}
        }
    }

    /// Joins the cluster of a candidate that addresses this incarnation as a voter: an initial
    /// replica that has received nothing since the cluster formed, and so has never voted.
    fn join_candidate_cluster(&mut self, cluster: ClusterId) {
        self.hard_state.cluster = Some(cluster);
        self.durability.mark_hard_state_dirty();
    }

    /// Follows the sender as the leader; returns false if its term has ended.
    fn accept_leader(&mut self, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        let is_known = term == self.hard_state.term && self.leader.as_ref() == Some(from);
        if !is_known || !matches!(self.role, Role::Follower) {
            self.become_follower(term, Some(from.clone()));
        }
        self.last_contact = self.now;
        self.reset_election_timer();
        true
    }

    /// Sends the current term to the leader of an earlier one; acknowledges no entries.
    fn send_own_term(&mut self, from: &ReplicaId) {
        let term = self.hard_state.term;
        self.send_append_ack(from, term, LogIndex(0), None, Probe::default());
    }

    pub(crate) fn on_append(&mut self, from: &ReplicaId, append: Append) {
        let probe = append.probe;
        if !self.accept_leader(from, append.term) {
            self.send_own_term(from);
            return;
        }
        self.probe = probe;
        let reject = self.append_entries(append).err();
        let matched = self.matched_index();
        self.send_append_ack(from, self.hard_state.term, matched, reject, probe);
    }

    /// Returns the last persisted entry up to which the log matches the leader's.
    fn matched_index(&self) -> LogIndex {
        self.verified_index.min(self.durability.persisted())
    }

    fn send_append_ack(
        &mut self,
        to: &ReplicaId,
        term: Term,
        matched: LogIndex,
        reject: Option<Rejection>,
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

    fn append_entries(&mut self, append: Append) -> Result<(), Rejection> {
        if self.log.snapshot().is_none() {
            return Err(snapshot_rejection(&append));
        }
        let previous = append.previous_index;
        let is_matching =
            previous <= self.commit || self.log.term_at(previous) == Some(append.previous_term);
        if !is_matching {
            let below = previous.previous();
            return Err(Rejection {
                previous_index: previous,
                hint: self.log.find_conflict_hint(below, append.previous_term),
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
                    self.durability.record_truncation(entry.index);
                    self.log.push(entry);
                }
                None => self.log.push(entry),
            }
        }
        self.verified_index = self.verified_index.max(last);
        self.commit = self.commit.max(append.commit.min(self.verified_index));
        Ok(())
    }

    /// Counts newly persisted entries as the leader, or acknowledges them as a follower.
    pub(crate) fn on_log_persisted(&mut self) {
        if self.is_leader() {
            self.advance_commit();
            return;
        }
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.id) {
            let matched = self.matched_index();
            self.send_append_ack(&leader, self.hard_state.term, matched, None, self.probe);
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: &ReplicaId, chunk: SnapshotChunk) {
        let probe = chunk.probe;
        if !self.accept_leader(from, chunk.term) {
            self.send_own_term(from);
            return;
        }
        self.probe = probe;
        let header = &chunk.header;
        let has_entries =
            header.index <= self.commit || self.log.term_at(header.index) == Some(header.term);
        if has_entries && self.log.snapshot().is_some() {
            self.verified_index = self.verified_index.max(header.index);
            let matched = self.matched_index();
            self.send_append_ack(from, self.hard_state.term, matched, None, probe);
            return;
        }
        self.collect_chunk(from, chunk);
    }

    /// Adds a chunk to the incoming snapshot, and installs the snapshot once it is complete.
    fn collect_chunk(&mut self, from: &ReplicaId, chunk: SnapshotChunk) {
        let is_same = |known: &Transfer| known.term == chunk.term && known.header == chunk.header;
        let mut incoming = match self.incoming_snapshot.take() {
            Some(known) if is_same(&known) => known,
            _ => Transfer {
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
            self.install_snapshot(from, incoming, chunk.probe);
            return;
        }
        let answer = Body::SnapshotAck {
            term: chunk.term,
            index: incoming.header.index,
            received,
            probe: chunk.probe,
        };
        let cluster = incoming.header.cluster;
        self.incoming_snapshot = Some(incoming);
        self.send_for_cluster(cluster, from, answer);
    }

    fn install_snapshot(&mut self, from: &ReplicaId, incoming: Transfer, probe: Probe) {
        let snapshot = Snapshot {
            data: incoming.data.into(),
            ..incoming.header
        };
        if self.hard_state.cluster != Some(snapshot.cluster) {
            self.hard_state.cluster = Some(snapshot.cluster);
            self.durability.mark_hard_state_dirty();
        }
        self.accept_leader(from, incoming.term);
        self.probe = probe;
        self.commit = snapshot.index;
        self.verified_index = snapshot.index;
        self.log.reset(snapshot.clone());
        self.durability.record_installation(snapshot.clone());
        let ack = AppendAck {
            term: self.hard_state.term,
            matched: snapshot.index,
            reject: None,
            probe,
        };
        self.durability.defer(durability::Action::Restore(snapshot));
        self.send_after_sync(from, Body::AppendAck(ack));
    }
}

/// Returns the rejection of a replica without state, which needs a snapshot to learn the replicas.
fn snapshot_rejection(append: &Append) -> Rejection {
    Rejection {
        previous_index: append.previous_index,
        hint: LogIndex(0),
        needs_snapshot: true,
    }
}
