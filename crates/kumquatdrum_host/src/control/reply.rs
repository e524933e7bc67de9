//! Answers to those who wait for the log.

use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{Answer as Applied, Failure, Standing, StateMachine};
use tokio::sync::oneshot;

use super::question::Outcome;
use super::{Answer, Question};

/// The most entries of one page of the audit trail.
const PAGE: usize = 500;
/// Claims and settlements that share one log entry at the most.
const BATCH: usize = 4_096;

/// Who waits for a proposal.
pub(super) enum Waiting {
    Apply(oneshot::Sender<Outcome>),
    Claims(Vec<(usize, oneshot::Sender<Outcome>)>),
    Settlements(Vec<(usize, oneshot::Sender<Outcome>)>),
}

/// Takes together what waits, in the order in which it came.
pub(super) fn batch<T>(
    waiting: &mut Vec<(Vec<T>, oneshot::Sender<Outcome>)>,
) -> (Vec<T>, Vec<(usize, oneshot::Sender<Outcome>)>) {
    let mut items = Vec::new();
    let mut senders = Vec::new();
    let mut taken = 0;
    for (part, _) in waiting.iter() {
        if taken > 0 && items.len() + part.len() > BATCH {
            break;
        }
        taken += 1;
        items.reserve(part.len());
    }
    for (part, sender) in waiting.drain(..taken) {
        senders.push((part.len(), sender));
        items.extend(part);
    }
    (items, senders)
}

pub(super) fn tell(waiting: Waiting, answer: Result<Applied, Failure>) {
    match (waiting, answer) {
        (Waiting::Apply(sender), Ok(Applied::Apply(answer))) => {
            let _ = sender.send(Ok(Answer::Apply(answer)));
        }
        (Waiting::Claims(senders), Ok(Applied::Claims(answers))) => {
            split(senders, answers, Answer::Claim);
        }
        (Waiting::Settlements(senders), Ok(Applied::Settle(answers))) => {
            split(senders, answers, Answer::Settle);
        }
        (waiting, answer) => fail(waiting, &answer.err().unwrap_or(Failure::Unknown)),
    }
}

fn split<T>(
    senders: Vec<(usize, oneshot::Sender<Outcome>)>,
    answers: Vec<T>,
    wrap: impl Fn(Vec<T>) -> Answer,
) {
    let mut answers = answers.into_iter();
    for (count, sender) in senders {
        let part = answers.by_ref().take(count).collect();
        let _ = sender.send(Ok(wrap(part)));
    }
}

fn fail(waiting: Waiting, failure: &Failure) {
    let senders: Vec<_> = match waiting {
        Waiting::Apply(sender) => vec![sender],
        Waiting::Claims(senders) | Waiting::Settlements(senders) => {
            senders.into_iter().map(|(_, sender)| sender).collect()
        }
    };
    for sender in senders {
        let _ = sender.send(Err(failure.clone()));
    }
}

/// Answers a read from a state.
pub(super) fn answered(state: &StateMachine, question: &Question, standing: Standing) -> Outcome {
    match question {
        Question::Show(selector) => state
            .show(*selector, standing)
            .map(Answer::Show)
            .ok_or(Failure::NoSuchVersion),
        Question::Audit { from, limit } => {
            let limit = usize::try_from(*limit).unwrap_or(PAGE).min(PAGE);
            let (previous, entries) = state.trail().page(*from, limit);
            let next = from.max(&1) + entries.len() as u64;
            Ok(Answer::Audit(Page {
                previous,
                entries: entries.to_vec(),
                next: (next <= state.trail().len()).then_some(next),
                standing,
            }))
        }
        Question::Key(workspace, key) => {
            let entry = state.claims().get(workspace, key);
            Ok(Answer::Key(
                entry.map(kumquatdrum_setup::claim::Entry::holder),
            ))
        }
        Question::Apply(_) | Question::Claim(_) | Question::Settle(_) => Err(Failure::Unavailable),
    }
}
