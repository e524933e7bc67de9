//! Confirmed reads: a majority answers a heartbeat that was sent after the read was asked for.

use crate::node::{Node, Role};
use crate::{LogIndex, Output, Token};

/// A read that waits for confirmation.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) token: Token,
    /// What was committed when the read was asked for, or the first entry of the term.
    index: LogIndex,
    /// A majority must answer this round or a later one.
    round: u64,
}

impl Node {
    pub(crate) fn on_confirm_read(&mut self, token: Token) {
        let Role::Leader(leader) = &mut self.role else {
            let leader = self.leader.clone();
            self.output(Output::ReadRefused { token, leader });
            return;
        };
        let index = self.commit.max(leader.first);
        let round = leader.round + 1;
        let under_way = leader.reads.iter().any(|read| read.round <= leader.round);
        leader.reads.push_back(Read {
            token,
            index,
            round,
        });
        if !under_way {
            self.beat();
        }
    }

    /// The latest round that a majority has answered.
    fn confirmed_round(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        self.log
            .replicas()
            .reached(|id| match leader.peers.get(id) {
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
            .reads
            .iter()
            .take_while(|r| r.round <= confirmed && r.index <= applied);
        let done = done.count();
        let done: Vec<Read> = leader.reads.drain(..done).collect();
        let round = leader.round;
        let waits_for_next = leader.reads.front().is_some_and(|read| read.round > round);
        for read in done {
            let index = read.index.max(applied);
            self.output(Output::ReadConfirmed {
                token: read.token,
                index,
                round: confirmed,
            });
        }
        if waits_for_next {
            self.beat();
            self.answer_reads();
        }
    }
}
