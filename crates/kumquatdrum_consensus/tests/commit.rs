//! One node by hand: what it says, when, and what it withholds.

use bytes::Bytes;
use kumquatdrum_consensus::{
    Append, AppendAck, Batch, Body, ClusterId, Content, Entry, HardState, Input, LogIndex, Member,
    Message, Node, Output, Probe, Proposal, ProposalOutcome, Replicas, Settings, Snapshot,
    StoredState, Term, Token,
};
use kumquatdrum_types::Moment;

const CLUSTER: ClusterId = ClusterId(5);

/// A node with two peers, of whom the test plays both.
struct Bench {
    node: Node,
    now: Moment,
    members: Vec<Member>,
    out: Vec<Output>,
    sync: bool,
}

impl Bench {
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
            out: Vec::new(),
            sync: true,
        }
    }

    fn step(&mut self, input: Input) {
        for output in self.node.step(self.now, input) {
            match &output {
                Output::Wake { at } => self.now = *at,
                Output::Persist(batch) if self.sync => {
                    let sequence = batch.sequence;
                    self.out.push(output);
                    self.step(Input::Persisted { sequence });
                    continue;
                }
                _ => {}
            }
            self.out.push(output);
        }
    }

    fn say(&mut self, peer: usize, body: Body) {
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
        self.say(peer, Body::AppendAck(ack));
    }

    /// Lets the node win an election with the votes of the first peer.
    fn lead(&mut self) {
        let asks = |output: &Output| match output {
            Output::Send { message, .. } => matches!(message.body, Body::PreVote(_)),
            _ => false,
        };
        while !self.out.iter().any(asks) {
            self.step(Input::Tick);
        }
        let asked = Term(self.node.term().0 + 1);
        let answer = Body::PreVoteAnswer {
            term: self.node.term(),
            asked,
            granted: true,
        };
        self.say(1, answer);
        let vote = Body::VoteAnswer {
            term: asked,
            granted: true,
        };
        self.say(1, vote);
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
        self.out.iter().find_map(|output| match output {
            Output::Proposed { token, outcome } if token.0 == wanted => Some(outcome),
            _ => None,
        })
    }

    fn batches(&self) -> Vec<&Batch> {
        let mut batches = Vec::new();
        for output in &self.out {
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

/// Entries that follow the first one, from a leader that the test plays.
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

/// A batch on its way to the disk says nothing about entries that have replaced its own since.
#[test]
fn entries_are_not_acknowledged_for_those_they_replaced() {
    let mut bench = Bench::new(3, vec![payload(1, 2)]);
    bench.step(Input::Tick);
    bench.sync = false;
    bench.say(1, append(4, vec![payload(2, 4), payload(3, 4)]));
    let old = bench.last_sequence();
    bench.say(2, append(5, vec![payload(2, 5)]));
    bench.step(Input::Persisted { sequence: old });
    let matched = |bench: &Bench| {
        let highest = bench.out.iter().filter_map(|output| match output {
            Output::Send { message, .. } => match &message.body {
                Body::AppendAck(ack) if ack.term == Term(5) => Some(ack.matched),
                _ => None,
            },
            _ => None,
        });
        highest.max()
    };
    assert_eq!(matched(&bench), Some(LogIndex(1)));
    let new = bench.last_sequence();
    assert!(new > old);
    bench.step(Input::Persisted { sequence: new });
    assert_eq!(matched(&bench), Some(LogIndex(2)));
}

/// A leader that a change removes may be the only one that has its last step; the others wait
/// for it, as the step before needs its vote.
#[test]
fn a_removed_replica_stands_until_the_change_is_committed() {
    let all = ["a", "b", "c", "d"].map(|host| Member::new(host, 1, "ikeja"));
    let joint = Replicas::from_voters(all[..3].to_vec()).joint(all[1..].to_vec());
    let steps = [joint.clone(), joint.settled()];
    let entry = |(number, replicas): (usize, Replicas)| Entry {
        term: Term(2),
        index: LogIndex(1 + number as u64),
        content: Content::Replicas(replicas),
    };
    let mut bench = Bench::new(3, steps.into_iter().enumerate().map(entry).collect());
    let asked = |bench: &Bench| {
        let asks = |output: &&Output| match output {
            Output::Send { message, .. } => matches!(message.body, Body::PreVote(_)),
            _ => false,
        };
        bench.out.iter().filter(asks).count()
    };
    for _ in 0..20 {
        bench.step(Input::Tick);
    }
    assert!(asked(&bench) > 0);
    let heartbeat = Append {
        term: Term(4),
        previous_index: LogIndex(2),
        previous_term: Term(2),
        entries: Vec::new(),
        commit: LogIndex(2),
        probe: Probe::default(),
    };
    bench.say(1, Body::Append(heartbeat));
    bench.out.clear();
    for _ in 0..20 {
        bench.step(Input::Tick);
    }
    assert_eq!(asked(&bench), 0);
}

fn payload(index: u64, term: u64) -> Entry {
    Entry {
        term: Term(term),
        index: LogIndex(index),
        content: Content::Payload(Bytes::from_static(b"old")),
    }
}

/// An entry of an earlier term that a majority has may still be overwritten by a leader that the
/// others elect, until an entry of the own term covers it.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_own() {
    let mut bench = Bench::new(3, vec![payload(1, 2)]);
    bench.lead();
    let applies = |bench: &Bench| {
        let applies = bench
            .out
            .iter()
            .filter(|o| matches!(o, Output::Apply { .. }));
        applies.count()
    };
    bench.acknowledge(1, 1);
    bench.acknowledge(2, 1);
    assert_eq!(applies(&bench), 0);
    bench.acknowledge(1, 2);
    assert_eq!(applies(&bench), 1);
}

#[test]
fn nothing_is_said_for_a_vote_before_it_is_synced() {
    let mut bench = Bench::new(3, Vec::new());
    bench.sync = false;
    bench.step(Input::Tick);
    bench.now = Moment::from_millis(10_000);
    let vote = kumquatdrum_consensus::Vote {
        term: Term(4),
        last_index: LogIndex(9),
        last_term: Term(3),
        succeeds: false,
    };
    bench.say(1, Body::RequestVote(vote));
    let answered = |bench: &Bench| {
        bench.out.iter().any(|output| match output {
            Output::Send { message, .. } => {
                matches!(message.body, Body::VoteAnswer { granted: true, .. })
            }
            _ => false,
        })
    };
    assert!(!answered(&bench));
    let vote = bench.batches()[0].hard_state.clone().and_then(|h| h.vote);
    assert_eq!(vote.as_ref(), Some(&bench.members[1].id));
    let sequence = bench.last_sequence();
    bench.step(Input::Persisted { sequence });
    assert!(answered(&bench));
}

/// What comes up while the disk is busy goes into one batch, and the leader commits nothing that
/// only one peer has while its own disk is behind.
#[test]
fn proposals_share_a_batch_while_the_disk_is_busy() {
    let mut bench = Bench::new(3, Vec::new());
    bench.lead();
    bench.sync = false;
    for token in 0..9 {
        bench.propose(token, 1);
    }
    let first = bench.last_sequence();
    bench.acknowledge(1, 10);
    assert_eq!(bench.outcome(0), None);
    bench.step(Input::Persisted { sequence: first });
    let sizes: Vec<usize> = bench
        .batches()
        .iter()
        .rev()
        .take(2)
        .map(|b| b.entries.len())
        .collect();
    assert_eq!(sizes, [8, 1]);
    let last = bench.last_sequence();
    bench.step(Input::Persisted { sequence: last });
    assert_eq!(
        bench.outcome(8),
        Some(&ProposalOutcome::Committed {
            index: LogIndex(10)
        })
    );
}

#[test]
fn proposals_beyond_the_limit_are_refused_at_once() {
    let mut bench = Bench::new(3, Vec::new());
    bench.lead();
    bench.propose(1, 400);
    bench.propose(2, 400);
    assert_eq!(bench.outcome(1), None);
    assert_eq!(bench.outcome(2), Some(&ProposalOutcome::Busy));
    bench.acknowledge(1, 2);
    bench.propose(3, 400);
    assert_eq!(bench.outcome(3), None);
}

#[test]
fn a_failed_disk_ends_leading_and_silences_the_node() {
    let mut bench = Bench::new(3, Vec::new());
    bench.lead();
    bench.sync = false;
    bench.propose(1, 1);
    let reason = "no space left".to_owned();
    bench.step(Input::PersistFailed { reason });
    assert_eq!(bench.outcome(1), Some(&ProposalOutcome::Unknown));
    assert!(
        bench
            .out
            .iter()
            .any(|o| matches!(o, Output::SteppedDown { .. }))
    );
    assert!(bench.out.iter().any(|o| matches!(o, Output::Halted { .. })));
    bench.out.clear();
    bench.acknowledge(1, 2);
    bench.now = Moment::from_millis(100_000);
    bench.step(Input::Tick);
    assert_eq!(bench.out, []);
    bench.propose(2, 1);
    assert_eq!(
        bench.outcome(2),
        Some(&ProposalOutcome::NotLeader { leader: None })
    );
}

#[test]
fn a_leader_whose_disk_hangs_steps_down() {
    let mut bench = Bench::new(3, Vec::new());
    bench.lead();
    bench.sync = false;
    bench.propose(1, 1);
    for _ in 0..60 {
        let probe = Probe {
            round: 1,
            sent_at: bench.now,
        };
        let (term, matched) = (bench.node.term(), LogIndex(1));
        let ack = AppendAck {
            term,
            matched,
            reject: None,
            probe,
        };
        bench.say(1, Body::AppendAck(ack));
        bench.step(Input::Tick);
    }
    assert!(!bench.node.is_leader());
    assert_eq!(bench.outcome(1), Some(&ProposalOutcome::Unknown));
}
