//! The leader side of replication: heartbeats, entries, snapshots and their acknowledgements.

use crate::node::{Node, Role};
use crate::progress;
use crate::{Append, AppendAck, Body, LogIndex, Probe, ReplicaId, Snapshot, SnapshotChunk, Term};

impl Node {
    /// Sends a heartbeat of a new round to all peers.
    pub(crate) fn broadcast_heartbeat(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.heartbeat_at = self.now + self.settings.heartbeat_interval;
        leader.commit_at_heartbeat = self.commit;
        let peers: Vec<ReplicaId> = leader.peers.keys().cloned().collect();
        for peer in peers {
            self.send_heartbeat(&peer);
        }
    }

    fn send_heartbeat(&mut self, peer: &ReplicaId) {
        let (now, heartbeat) = (self.now, self.settings.heartbeat_interval);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.peers.get_mut(peer) else {
            return;
        };
        progress.has_probe_in_flight = false;
        let acked_at = progress.acked_at.unwrap_or(leader.elected_at);
        let is_alive = acked_at + self.settings.election_timeout > now;
        let next = progress.next;
        match &progress.snapshot_transfer {
            Some(transfer) if is_alive && transfer.sent_at + heartbeat <= now => {
                self.send_snapshot_chunk(peer);
            }
            Some(_) => self.send_append(peer, self.log.base_index().next(), false),
            None if progress.is_probing && is_alive => self.replicate(peer),
            None => self.send_append(peer, next, false),
        }
    }

    /// Sends new entries to all peers.
    pub(crate) fn replicate_all(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = leader.peers.keys().cloned().collect();
        for peer in peers {
            self.replicate_if_behind(&peer);
        }
    }

    fn replicate_if_behind(&mut self, peer: &ReplicaId) {
        let last = self.log.last_index();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader
            .peers
            .get(peer)
            .is_some_and(|progress| progress.next <= last)
        {
            self.replicate(peer);
        }
    }

    /// Sends entries within the limits of flow control, or starts a snapshot transfer.
    fn replicate(&mut self, peer: &ReplicaId) {
        loop {
            let Role::Leader(leader) = &mut self.role else {
                return;
            };
            let Some(progress) = leader.peers.get_mut(peer) else {
                return;
            };
            if !progress.can_send(self.settings.max_in_flight_appends) {
                return;
            }
            let next = progress.next;
            if next <= self.log.base_index() {
                self.start_snapshot_transfer(peer);
                return;
            }
            self.send_append(peer, next, true);
            let Role::Leader(leader) = &self.role else {
                return;
            };
            let new_next = leader.peers.get(peer).map(|progress| progress.next);
            if new_next.is_none_or(|new| new == next || new > self.log.last_index()) {
                return;
            }
        }
    }

    fn current_probe(&self, round: u64) -> Probe {
        Probe {
            round,
            sent_at: self.now,
        }
    }

    /// Sends an append after the entry before `next`, with entries or as a heartbeat.
    fn send_append(&mut self, peer: &ReplicaId, next: LogIndex, with_entries: bool) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let previous_index = next.previous().max(self.log.base_index());
        let entries = if with_entries {
            self.log
                .slice(previous_index.next(), self.settings.max_append_bytes)
        } else {
            Vec::new()
        };
        if let Some(last) = entries.last().map(|entry| entry.index)
            && let Some(progress) = leader.peers.get_mut(peer)
        {
            progress.record_sent(last);
        }
        let append = Append {
            term: self.hard_state.term,
            previous_index,
            previous_term: self.log.term_at(previous_index).unwrap_or_default(),
            entries,
            commit: self.commit,
            probe: self.current_probe(round),
        };
        self.send(peer, Body::Append(append));
    }

    fn start_snapshot_transfer(&mut self, peer: &ReplicaId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(progress) = leader.peers.get_mut(peer) {
            progress.in_flight.clear();
            progress.snapshot_transfer = Some(progress::Transfer {
                snapshot,
                offset: 0,
                sent_at: now,
            });
        }
        self.send_snapshot_chunk(peer);
    }

    fn send_snapshot_chunk(&mut self, peer: &ReplicaId) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let round = leader.round;
        let progress = leader.peers.get_mut(peer);
        let Some(transfer) = progress.and_then(|progress| progress.snapshot_transfer.as_mut())
        else {
            return;
        };
        if transfer.offset == 0
            && let Some(latest) = self.log.snapshot()
            && latest.index > transfer.snapshot.index
        {
            transfer.snapshot = latest.clone();
        }
        transfer.sent_at = now;
        let total = transfer.snapshot.data.len();
        let start = usize::try_from(transfer.offset).map_or(total, |offset| offset.min(total));
        let end = total.min(start + self.settings.snapshot_chunk_bytes);
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            header: Snapshot {
                data: bytes::Bytes::new(),
                ..transfer.snapshot.clone()
            },
            total: total as u64,
            offset: start as u64,
            data: transfer.snapshot.data.slice(start..end),
            probe: self.current_probe(round),
        };
        self.send(peer, Body::SnapshotChunk(chunk));
    }

    /// Returns whether an answer belongs to this leader's term; a later term ends its leadership.
    fn is_current_answer(&mut self, term: Term) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        self.is_leader() && term == self.hard_state.term
    }

    pub(crate) fn on_append_ack(&mut self, from: &ReplicaId, ack: &AppendAck) {
        if !self.is_current_answer(ack.term) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.peers.get_mut(from) else {
            return;
        };
        progress.record_answer(ack.probe);
        let in_transfer = progress.snapshot_transfer.is_some();
        let needs_snapshot = ack.reject.as_ref().is_some_and(|r| r.needs_snapshot);
        if !(in_transfer && ack.reject.is_some()) {
            progress.record_ack(ack);
        }
        if needs_snapshot && !in_transfer {
            self.start_snapshot_transfer(from);
        }
        self.advance_commit();
        self.advance_change();
        self.replicate_if_behind(from);
    }

    pub(crate) fn on_snapshot_ack(
        &mut self,
        from: &ReplicaId,
        term: Term,
        index: LogIndex,
        received: u64,
        probe: Probe,
    ) {
        if !self.is_current_answer(term) {
            return;
        }
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(progress) = leader.peers.get_mut(from) else {
            return;
        };
        progress.record_answer(probe);
        let Some(transfer) = &mut progress.snapshot_transfer else {
            return;
        };
        let has_new_offset = transfer.snapshot.index == index && transfer.offset != received;
        if has_new_offset {
            transfer.offset = received;
            self.send_snapshot_chunk(from);
        }
    }
}
