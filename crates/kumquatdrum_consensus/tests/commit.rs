//! Drives a single node by hand: commit, acknowledgements, batching and disk failures.

use bytes::Bytes;
use kumquatdrum_consensus::{
    Append, AppendAck, Batch, Body, ClusterId, Content, Entry, HardState, Input, LogIndex, Member,
    Message, Node, Output, Probe, Proposal, ProposalOutcome, Replicas, Settings, Snapshot,
    StoredState, Term, Token,
};
use kumquatdrum_types::Moment;

const CLUSTER: ClusterId = ClusterId(5);

/// A node with two peers that the test simulates.
struct Harness {
    node: Node,
    now: Moment,
    members: Vec<Member>,
    outputs: Vec<Output>,
    /// Whether batches are synced at once.
    is_sync_immediate: bool,
}

impl Harness {
    fn new(term: u64, entries: Vec<Entry>) -> Self {
        let members = ["a", "b", "c"]
            .map(|host| Member::new(host, 1, "ikeja"))
            .to_vec();
        let snapshot = Snapshot {
            cluster: CLUSTER,
            index: LogIndex(0),
            term: Term(0),
            replicas: Replicas::from_voters(members.clone()),
            data: Bytes::new(),
        };
        let stored = StoredState {
            hard_state: HardState {
                cluster: Some(CLUSTER),
                term: Term(term),
                vote: None,
            },
            snapshot: Some(snapshot),
            entries,
        };
        let mut settings = Settings::new(members[0].clone());
        settings.max_uncommitted_bytes = 500;
        Self {
            node: Node::new(settings, stored, Moment::ZERO, 1),
            now: Moment::ZERO,
            members,
            outputs: Vec::new(),
            is_sync_immediate: true,
        }
    }

    fn step(&mut self, input: Input) {
        for output in self.node.step(self.now, input) {
            match &output {
                Output::Wake { at } => self.now = *at,
                Output::Persist(batch) if self.is_sync_immediate => {
                    let sequence = batch.sequence;
                    self.outputs.push(output);
                    self.step(Input::Persisted { sequence });
                    continue;
                }
                _ => {}
            }
            self.outputs.push(output);
        }
    }

    fn deliver(&mut self, peer: usize, body: Body) {
        let message = Message {
            cluster: Some(CLUSTER),
            from: self.members[peer].id.clone(),
            to: Some(self.members[0].id.clone()),
            body,
        };
        self.step(Input::Message(Box::new(message)));
    }

    fn acknowledge(&mut self, peer: usize, matched: u64) {
        let ack = AppendAck {
            term: self.node.term(),
            matched: LogIndex(matched),
            reject: None,
            probe: Probe::default(),
        };
        self.deliver(peer, Body::AppendAck(ack));
    }

    /// Makes the node win an election with the vote of the first peer.
    fn win_election(&mut self) {
        let is_pre_vote = |output: &Output| match output {
            Output::Send { message, .. } => matches!(message.body, Body::PreVote(_)),
            _ => false,
        };
        while !self.outputs.iter().any(is_pre_vote) {
            self.step(Input::Tick);
        }
        let asked = Term(self.node.term().0 + 1);
        let answer = Body::PreVoteAnswer {
            term: self.node.term(),
            asked,
            granted: true,
        };
        self.deliver(1, answer);
        let vote = Body::VoteAnswer {
            term: asked,
            granted: true,
        };
        self.deliver(1, vote);
        assert!(self.node.is_leader());
    }

    fn propose(&mut self, token: u64, size: usize) {
        let proposal = Proposal {
            token: Token(token),
            payload: Bytes::from(vec![1; size]),
        };
        self.step(Input::Propose(proposal));
    }

    fn outcome(&self, wanted: u64) -> Option<&ProposalOutcome> {
        self.outputs.iter().find_map(|output| match output {
            Output::Proposed { token, outcome } if token.0 == wanted => Some(outcome),
            _ => None,
        })
    }

    fn batches(&self) -> Vec<&Batch> {
        let mut batches = Vec::new();
        for output in &self.outputs {
            if let Output::Persist(batch) = output {
                batches.push(batch);
            }
        }
        batches
    }

    fn last_sequence(&self) -> u64 {
        self.batches().last().map_or(0, |batch| batch.sequence)
    }
}

/// Returns a leader's append of entries after index 1.
fn append(leader_term: u64, entries: Vec<Entry>) -> Body {
    Body::Append(Append {
        term: Term(leader_term),
        previous_index: LogIndex(1),
        previous_term: Term(2),
        entries,
        commit: LogIndex(0),
        probe: Probe::default(),
    })
}

#[test]
fn a_synced_batch_does_not_acknowledge_entries_that_replaced_its_own() {
    let mut harness = Harness::new(3, vec![payload(1, 2)]);
    harness.step(Input::Tick);
    harness.is_sync_immediate = false;
    harness.deliver(1, append(4, vec![payload(2, 4), payload(3, 4)]));
    let old = harness.last_sequence();
    harness.deliver(2, append(5, vec![payload(2, 5)]));
    harness.step(Input::Persisted { sequence: old });
    let matched = |harness: &Harness| {
        let highest = harness.outputs.iter().filter_map(|output| match output {
            Output::Send { message, .. } => match &message.body {
                Body::AppendAck(ack) if ack.term == Term(5) => Some(ack.matched),
                _ => None,
            },
            _ => None,
        });
        highest.max()
    };
    assert_eq!(matched(&harness), Some(LogIndex(1)));
    let new = harness.last_sequence();
    assert!(new > old);
    harness.step(Input::Persisted { sequence: new });
    assert_eq!(matched(&harness), Some(LogIndex(2)));
}

/// A removed leader may be the only replica with the last step of the change, which the others
/// cannot commit without its vote.
#[test]
fn a_removed_replica_campaigns_until_the_change_is_committed() {
    let all = ["a", "b", "c", "d"].map(|host| Member::new(host, 1, "ikeja"));
    let joint = Replicas::from_voters(all[..3].to_vec()).enter_joint(all[1..].to_vec());
    let steps = [joint.clone(), joint.leave_joint()];
    let entry = |(number, replicas): (usize, Replicas)| Entry {
        term: Term(2),
        index: LogIndex(1 + number as u64),
        content: Content::Replicas(replicas),
    };
    let mut harness = Harness::new(3, steps.into_iter().enumerate().map(entry).collect());
    let pre_votes = |harness: &Harness| {
        let is_pre_vote = |output: &&Output| match output {
            Output::Send { message, .. } => matches!(message.body, Body::PreVote(_)),
            _ => false,
        };
        harness.outputs.iter().filter(is_pre_vote).count()
    };
    for _ in 0..20 {
        harness.step(Input::Tick);
    }
    assert!(pre_votes(&harness) > 0);
    let heartbeat = Append {
        term: Term(4),
        previous_index: LogIndex(2),
        previous_term: Term(2),
        entries: Vec::new(),
        commit: LogIndex(2),
        probe: Probe::default(),
    };
    harness.deliver(1, Body::Append(heartbeat));
    harness.outputs.clear();
    for _ in 0..20 {
        harness.step(Input::Tick);
    }
    assert_eq!(pre_votes(&harness), 0);
}

fn payload(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: LogIndex(index),
        content: Content::Payload(Bytes::from_static(b"old")),
    }
}

/// An entry of an earlier term that a majority has can still be overwritten by another leader
/// until an entry of the current term is committed.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_current_term() {
    let mut harness = Harness::new(3, vec![payload(1, 2)]);
    harness.win_election();
    let applies = |harness: &Harness| {
        let applies = harness
            .outputs
            .iter()
            .filter(|o| matches!(o, Output::Apply { .. }));
        applies.count()
    };
    harness.acknowledge(1, 1);
    harness.acknowledge(2, 1);
    assert_eq!(applies(&harness), 0);
    harness.acknowledge(1, 2);
    assert_eq!(applies(&harness), 1);
}

#[test]
fn a_vote_is_not_sent_before_it_is_synced() {
    let mut harness = Harness::new(3, Vec::new());
    harness.is_sync_immediate = false;
    harness.step(Input::Tick);
    harness.now = Moment::from_millis(10_000);
    let vote = kumquatdrum_consensus::VoteRequest {
        term: Term(4),
        last_index: LogIndex(9),
        last_term: Term(3),
        is_leadership_transfer: false,
    };
    harness.deliver(1, Body::RequestVote(vote));
    let has_granted = |harness: &Harness| {
        harness.outputs.iter().any(|output| match output {
            Output::Send { message, .. } => {
                matches!(message.body, Body::VoteAnswer { granted: true, .. })
            }
            _ => false,
        })
    };
    assert!(!has_granted(&harness));
    let vote = harness.batches()[0].hard_state.clone().and_then(|h| h.vote);
    assert_eq!(vote.as_ref(), Some(&harness.members[1].id));
    let sequence = harness.last_sequence();
    harness.step(Input::Persisted { sequence });
    assert!(has_granted(&harness));
}

/// Proposals made while the disk is busy share one batch, and the leader commits no entry that
/// only one peer has persisted.
#[test]
fn proposals_share_a_batch_while_the_disk_is_busy() {
    let mut harness = Harness::new(3, Vec::new());
    harness.win_election();
    harness.is_sync_immediate = false;
    for token in 0..9 {
        harness.propose(token, 1);
    }
    let first = harness.last_sequence();
    harness.acknowledge(1, 10);
    assert_eq!(harness.outcome(0), None);
    harness.step(Input::Persisted { sequence: first });
    let sizes: Vec<usize> = harness
        .batches()
        .iter()
        .rev()
        .take(2)
        .map(|b| b.entries.len())
        .collect();
    assert_eq!(sizes, [8, 1]);
    let last = harness.last_sequence();
    harness.step(Input::Persisted { sequence: last });
    assert_eq!(
        harness.outcome(8),
        Some(&ProposalOutcome::Committed {
            index: LogIndex(10)
        })
    );
}

#[test]
fn proposals_beyond_the_limit_are_rejected_at_once() {
    let mut harness = Harness::new(3, Vec::new());
    harness.win_election();
    harness.propose(1, 400);
    harness.propose(2, 400);
    assert_eq!(harness.outcome(1), None);
    assert_eq!(harness.outcome(2), Some(&ProposalOutcome::Busy));
    harness.acknowledge(1, 2);
    harness.propose(3, 400);
    assert_eq!(harness.outcome(3), None);
}

#[test]
fn a_leader_whose_disk_fails_steps_down_and_halts() {
    let mut harness = Harness::new(3, Vec::new());
    harness.win_election();
    harness.is_sync_immediate = false;
    harness.propose(1, 1);
    let reason = "no space left".to_owned();
    harness.step(Input::PersistFailed { reason });
    assert_eq!(harness.outcome(1), Some(&ProposalOutcome::Unknown));
    assert!(
        harness
            .outputs
            .iter()
            .any(|o| matches!(o, Output::SteppedDown { .. }))
    );
    assert!(
        harness
            .outputs
            .iter()
            .any(|o| matches!(o, Output::Halted { .. }))
    );
    harness.outputs.clear();
    harness.acknowledge(1, 2);
    harness.now = Moment::from_millis(100_000);
    harness.step(Input::Tick);
    assert_eq!(harness.outputs, []);
    harness.propose(2, 1);
    assert_eq!(
        harness.outcome(2),
        Some(&ProposalOutcome::NotLeader { leader: None })
    );
}

#[test]
fn a_leader_whose_disk_stalls_steps_down() {
    let mut harness = Harness::new(3, Vec::new());
    harness.win_election();
    harness.is_sync_immediate = false;
    harness.propose(1, 1);
    for _ in 0..60 {
        let probe = Probe {
            round: 1,
            sent_at: harness.now,
        };
        let (term, matched) = (harness.node.term(), LogIndex(1));
        let ack = AppendAck {
            term,
            matched,
            reject: None,
            probe,
        };
        harness.deliver(1, Body::AppendAck(ack));
        harness.step(Input::Tick);
    }
    assert!(!harness.node.is_leader());
    assert_eq!(harness.outcome(1), Some(&ProposalOutcome::Unknown));
}
