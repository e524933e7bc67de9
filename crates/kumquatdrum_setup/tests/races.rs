//! Operators who race with equal bases, on lagging replicas with lost answers and resends.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_setup::{Answer, ApplyAnswer, ApplyRequest, Command, Preparation, StateMachine};
use kumquatdrum_types::Version;
use support::{request, stamp};

const INTERLEAVING_COUNT: u64 = 1_000;
const ENTROPY_BYTES: u64 = 256;
const STEP_COUNT: usize = 24;

/// Replicas that have applied different parts of one log.
struct Cluster {
    log: Vec<Command>,
    replicas: [StateMachine; 3],
}

impl Cluster {
    /// Handles a request on a replica as the leader; returns the answer if no entry is proposed.
    fn send(&mut self, replica: usize, request: &ApplyRequest) -> Option<ApplyAnswer> {
        match self.replicas[replica].prepare(request) {
            Preparation::Answered(answer) => Some(answer),
            Preparation::Propose(action) => {
                let stamp = stamp(1);
                self.log.push(Command { stamp, action });
                None
            }
        }
    }

    fn advance(&mut self, replica: usize) -> Option<Answer> {
        let state = &mut self.replicas[replica];
        let command = self.log.get(state.applied() as usize)?;
        Some(state.apply(state.applied() + 1, command))
    }
}

fn race(u: &mut Unstructured<'_>) -> Result<()> {
    let mut cluster = Cluster {
        log: Vec::new(),
        replicas: Default::default(),
    };
    let rivals = [request("kadri", 0, 1), request("ngozi", 0, 2)];
    let later = request("third", 1, 3);
    let mut answers: [Vec<ApplyAnswer>; 2] = Default::default();
    for _ in 0..STEP_COUNT {
        let replica = u.choose_index(3)?;
        match u.choose_index(4)? {
            0 | 1 => {
                let rival = u.choose_index(2)?;
                answers[rival].extend(cluster.send(replica, &rivals[rival]));
            }
            2 => drop(cluster.advance(replica)),
            _ => drop(cluster.send(replica, &later)),
        }
    }
    for (rival, request) in rivals.iter().enumerate() {
        cluster.send(0, request);
        while cluster
            .replicas
            .iter()
            .any(|state| state.applied() < cluster.log.len() as u64)
        {
            (0..3).for_each(|replica| drop(cluster.advance(replica)));
        }
        let mut last = cluster.replicas[2].clone();
        answers[rival].push(support::apply(&mut last, request));
    }
    let [first, second, third] = &cluster.replicas;
    assert!(first == second && second == third);
    assert_eq!(first.encode(), third.encode());
    check_answers(&answers, first);
    Ok(())
}

/// Checks that exactly one of the two operators always got the version and the other a conflict.
fn check_answers(answers: &[Vec<ApplyAnswer>; 2], state: &StateMachine) {
    let won =
        |answers: &Vec<ApplyAnswer>| answers.iter().all(|answer| *answer == support::accepted(1));
    let lost = |answers: &Vec<ApplyAnswer>| {
        let is_conflict = |answer: &ApplyAnswer| matches!(answer, ApplyAnswer::Conflict { .. });
        answers.iter().all(is_conflict)
    };
    let [first, second] = answers;
    assert!(
        (won(first) && lost(second)) || (won(second) && lost(first)),
        "{answers:?}"
    );
    assert!(state.current_version() <= Version(2));
}

#[test]
fn exactly_one_of_two_racing_applies_is_accepted() {
    for index in 0..INTERLEAVING_COUNT {
        arbtest(race).seed(ENTROPY_BYTES | index << 32);
    }
}
