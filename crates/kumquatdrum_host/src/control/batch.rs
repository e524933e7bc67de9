//! Batches of claims and settlements, and the responses to waiting requests.

use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{Answer as Applied, Failure, Standing, StateMachine};
use tokio::sync::oneshot;

use super::request::Outcome;
use super::{Request, Response};

/// The maximum number of entries in one page of the audit trail.
const MAX_PAGE_ENTRIES: usize = 500;
/// The maximum number of claims or settlements in one log entry.
const MAX_BATCH_ITEMS: usize = 4_096;

/// The senders of the responses to one proposal.
pub(super) enum Waiters {
    Apply(oneshot::Sender<Outcome>),
    Claims(Vec<(usize, oneshot::Sender<Outcome>)>),
    Settlements(Vec<(usize, oneshot::Sender<Outcome>)>),
}

/// Takes the next batch of waiting items, in their order of arrival.
pub(super) fn take_batch<T>(
    waiting: &mut Vec<(Vec<T>, oneshot::Sender<Outcome>)>,
) -> (Vec<T>, Vec<(usize, oneshot::Sender<Outcome>)>) {
    let mut items = Vec::new();
    let mut senders = Vec::new();
    let mut taken = 0;
    for (part, _) in waiting.iter() {
        if taken > 0 && items.len() + part.len() > MAX_BATCH_ITEMS {
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

/// Sends the result of a proposal to its waiters.
pub(super) fn respond(waiters: Waiters, answer: Result<Applied, Failure>) {
    match (waiters, answer) {
        (Waiters::Apply(sender), Ok(Applied::Apply(answer))) => {
            let _ = sender.send(Ok(Response::Apply(answer)));
        }
        (Waiters::Claims(senders), Ok(Applied::Claims(answers))) => {
            send_parts(senders, answers, Response::Claim);
        }
        (Waiters::Settlements(senders), Ok(Applied::Settle(answers))) => {
            send_parts(senders, answers, Response::Settle);
        }
        (waiters, answer) => fail(waiters, &answer.err().unwrap_or(Failure::Unknown)),
    }
}

fn send_parts<T>(
    senders: Vec<(usize, oneshot::Sender<Outcome>)>,
    answers: Vec<T>,
    wrap: impl Fn(Vec<T>) -> Response,
) {
    let mut answers = answers.into_iter();
    for (count, sender) in senders {
        let part = answers.by_ref().take(count).collect();
        let _ = sender.send(Ok(wrap(part)));
    }
}

fn fail(waiters: Waiters, failure: &Failure) {
    let senders: Vec<_> = match waiters {
        Waiters::Apply(sender) => vec![sender],
        Waiters::Claims(senders) | Waiters::Settlements(senders) => {
            senders.into_iter().map(|(_, sender)| sender).collect()
        }
    };
    for sender in senders {
        let _ = sender.send(Err(failure.clone()));
    }
}

/// Reads the response to a request from the state.
pub(super) fn read_state(state: &StateMachine, request: &Request, standing: Standing) -> Outcome {
    match request {
        Request::Show(selector) => state
            .show(*selector, standing)
            .map(Response::Show)
            .ok_or(Failure::NoSuchVersion),
        Request::Audit { from, limit } => {
            let limit = usize::try_from(*limit)
                .unwrap_or(MAX_PAGE_ENTRIES)
                .min(MAX_PAGE_ENTRIES);
            let (previous, entries) = state.trail().page(*from, limit);
            let next = from.max(&1) + entries.len() as u64;
            Ok(Response::Audit(Page {
                previous,
                entries: entries.to_vec(),
                next: (next <= state.trail().len()).then_some(next),
                standing,
            }))
        }
        Request::Key(workspace, key) => {
            let entry = state.claims().get(workspace, key);
            Ok(Response::Key(
                entry.map(kumquatdrum_setup::claim::Entry::holder),
            ))
        }
        Request::Apply(_) | Request::Claim(_) | Request::Settle(_) => Err(Failure::Unavailable),
    }
}
