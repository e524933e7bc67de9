//! Questions for the leader: confirmed, proposed where they are a record, and answered.

use bytes::Bytes;
use kumquatdrum_consensus::{Input, LogIndex, Proposal, ProposalOutcome, Token};
use kumquatdrum_routes::Record;
use kumquatdrum_types::{HostId, Moment};
use slog::{error, info};
use tokio::sync::oneshot;

use super::{Ask, Machine};
use crate::message::Answer;

/// A question that waits until a majority has confirmed that this replica still leads.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    pub(super) ask: Ask,
    pub(super) sender: oneshot::Sender<Answer>,
    pub(super) asked: Moment,
}

/// A record that waits until a majority holds it on disk.
#[derive(Debug)]
pub(super) struct Uncommitted {
    pub(super) revision: u64,
    pub(super) sender: oneshot::Sender<Answer>,
    pub(super) proposed: Moment,
}

impl Machine {
    pub(super) fn confirmed(&mut self, token: Token, round: u64) {
        let Some(Unconfirmed { ask, sender, asked }) = self.unconfirmed.swap_remove(&token) else {
            return;
        };
        info!(self.parts.logger, "leader_confirmed"; "event" => "leader_confirmed",
            "question" => ask.name(), "term" => %self.node.term(), "round" => round,
            "applied" => %self.node.applied(), "revision" => self.register.revision(),
            "ms" => (self.parts.clock.now() - asked).as_millis() as u64);
        match ask {
            Ask::Read => {
                let current = self.register.current().cloned();
                let _ = sender.send(Answer::Current(current));
            }
            Ask::Apply(record) if record.revision <= self.register.revision() => {
                let _ = sender.send(Answer::Applied);
            }
            Ask::Apply(record) => self.propose(&record, sender),
        }
    }

    pub(super) fn unconfirmed(&mut self, token: Token, leader: Option<HostId>) {
        let Some(Unconfirmed { ask, sender, asked }) = self.unconfirmed.swap_remove(&token) else {
            return;
        };
        info!(self.parts.logger, "leader_unconfirmed"; "event" => "leader_unconfirmed",
            "question" => ask.name(), "term" => %self.node.term(),
            "leader" => leader.as_ref().map(|leader| leader.as_str().to_owned()),
            "ms" => (self.parts.clock.now() - asked).as_millis() as u64);
        let _ = sender.send(Answer::NotLeader(leader));
    }

    fn propose(&mut self, record: &Record, sender: oneshot::Sender<Answer>) {
        match postcard::to_stdvec(record) {
            Ok(payload) => {
                let token = self.token();
                let uncommitted = Uncommitted {
                    revision: record.revision,
                    sender,
                    proposed: self.parts.clock.now(),
                };
                self.waiting.insert(token, uncommitted);
                let payload = Bytes::from(payload);
                self.step(Input::Propose(Proposal { token, payload }));
            }
            Err(reason) => {
                error!(self.parts.logger, "record_not_encoded"; "event" => "record_not_encoded",
                    "reason" => %reason);
                let _ = sender.send(Answer::Unavailable);
            }
        }
    }

    pub(super) fn proposed(&mut self, token: Token, outcome: &ProposalOutcome) {
        let Some(uncommitted) = self.waiting.swap_remove(&token) else {
            return;
        };
        self.tell_outcome(&uncommitted, outcome);
        let answer = match outcome {
            ProposalOutcome::Committed { .. } => Answer::Applied,
            ProposalOutcome::NotLeader { leader } => {
                Answer::NotLeader(leader.as_ref().map(|leader| leader.host.clone()))
            }
            ProposalOutcome::Busy | ProposalOutcome::Unknown => Answer::Unavailable,
        };
        let _ = uncommitted.sender.send(answer);
    }

    /// An acknowledgement names the replicas that hold the entry, as they are what it rests on.
    fn tell_outcome(&self, uncommitted: &Uncommitted, outcome: &ProposalOutcome) {
        let ms = (self.parts.clock.now() - uncommitted.proposed).as_millis() as u64;
        let (index, holders) = match outcome {
            ProposalOutcome::Committed { index } => (Some(index.0), self.holders(*index)),
            _ => (None, String::new()),
        };
        info!(self.parts.logger, "setup_proposed"; "event" => "setup_proposed",
            "revision" => uncommitted.revision, "outcome" => outcome.name(),
            "term" => %self.node.term(), "index" => index, "holders" => holders, "ms" => ms);
    }

    fn holders(&self, index: LogIndex) -> String {
        let status = self.node.status();
        let peers = status.peers.iter();
        let held = peers.filter(|peer| peer.matched >= index);
        let held = held.map(|peer| peer.id.to_string());
        let own = std::iter::once(status.id.to_string());
        own.chain(held).collect::<Vec<_>>().join(",")
    }
}
