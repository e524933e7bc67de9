//! The claim of a request's idempotency key.

use std::sync::Arc;

use kumquatdrum_caller::Reply;
use kumquatdrum_daemon::lifecycle::{Input, Lifecycle, Timing};
use kumquatdrum_routing::{Failure, Progress};
use kumquatdrum_types::Refusal;

use super::{ClaimState, Completion, Driver};
use crate::key;

impl Driver {
    pub(super) fn claim(&mut self) {
        let Some(key) = self.job.key.clone() else {
            return;
        };
        self.claim = ClaimState::InFlight;
        let context = Arc::clone(&self.context);
        let deadline = self.job.policy.deadline;
        self.operation = Some(Box::pin(async move {
            Completion::Claim(key.claim(&context, deadline).await)
        }));
    }

    pub(super) fn handle_claim(&mut self, outcome: key::Outcome) -> Option<Input> {
        match outcome {
            key::Outcome::Granted => {
                self.claim = ClaimState::Granted;
                Some(Input::Claimed)
            }
            key::Outcome::Refused(refusal, wait) => {
                self.claim = ClaimState::None;
                Some(Input::ClaimRefused(refusal, wait))
            }
            key::Outcome::Follow(target, attempt) => {
                self.settle_attempt(Progress::Failed(Failure::Cancelled));
                let policy = self.job.policy.clone();
                let lifecycle = Lifecycle::attach(policy, Timing::default(), target, attempt);
                self.lifecycle = lifecycle;
                self.claim = ClaimState::None;
                for output in self.lifecycle.start() {
                    self.execute(output);
                }
                None
            }
            key::Outcome::Problem(problem) => {
                self.settle_attempt(Progress::Failed(Failure::Cancelled));
                self.claim = ClaimState::None;
                self.pending = Some(Reply::Problem(problem));
                Some(Input::ClaimRefused(Refusal::ClaimUnavailable, None))
            }
        }
    }
}
