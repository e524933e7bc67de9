//! Confirmed reads: a majority must answer a heartbeat sent after the request.

use crate::node::{Node, Role};
use crate::{LogIndex, Output, Token};

/// A read that awaits confirmation.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) token: Token,
    /// The entry that must be applied: the last one committed at the request, or the term's first
    /// entry if that is later.
    index: LogIndex,
    /// The earliest heartbeat round that confirms the read once a majority has answered.
    round: u64,
}

impl Node {
    pub(crate) fn on_confirm_read(&mut self, token: Token) {
        let Role::Leader(leader) = &mut self.role else {
            let leader = self.leader.clone();
            self.output(Output::ReadRefused { token, leader });
            return;
        };
        let index = self.commit.max(leader.first_index);
        let round = leader.round + 1;
        let has_read_in_round = leader
            .pending_reads
            .iter()
            .any(|read| read.round <= leader.round);
        leader.pending_reads.push_back(Request {
            token,
            index,
            round,
        });
        if !has_read_in_round {
            self.broadcast_heartbeat();
        }
    }

    /// Returns the latest heartbeat round that a majority has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        self.log
            .replicas()
            .quorum_value(|id| match leader.peers.get(id) {
                _ if *id == self.id => leader.round,
                Some(progress) => progress.round,
                None => 0,
            })
    }

    pub(crate) fn answer_reads(&mut self) {
        let confirmed = self.confirmed_round();
        let applied = self.applied;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let done = leader
            .pending_reads
            .iter()
            .take_while(|r| r.round <= confirmed && r.index <= applied);
        let done = done.count();
        let done: Vec<Request> = leader.pending_reads.drain(..done).collect();
        let round = leader.round;
        let needs_new_round = leader
            .pending_reads
            .front()
            .is_some_and(|read| read.round > round);
        for read in done {
            let index = read.index.max(applied);
            self.output(Output::ReadConfirmed {
                token: read.token,
                index,
                round: confirmed,
            });
        }
        if needs_new_round {
            self.broadcast_heartbeat();
            self.answer_reads();
        }
    }
}
