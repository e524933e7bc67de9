//! Orders to evacuate data centres: proposals, and their application to the register.

use kumquatdrum_consensus::LogIndex;
use kumquatdrum_routes::Entry;
use kumquatdrum_routes::evacuation::{Change, Outcome};
use slog::info;
use tokio::sync::oneshot;

use super::Replica;
use super::commands::{PendingProposal, Subject};
use crate::message::Response;

impl Replica {
    pub(super) fn propose_change(&mut self, change: Change, sender: oneshot::Sender<Response>) {
        // An order whose caller has disconnected must not take effect later.
        if sender.is_closed() {
            return;
        }
        if !self.bears_losses() {
            let _ = sender.send(Response::Unavailable);
            return;
        }
        self.propose(&Entry::Evacuation(change), Subject::Evacuations, sender);
    }

    pub(super) fn apply_change(&mut self, index: LogIndex, change: &Change) {
        let outcome = self.register.evacuate(change);
        info!(self.dependencies.logger, "evacuation_committed"; "event" => "evacuation_committed",
            "data_centre" => change.data_centre.as_str(), "active" => change.is_active,
            "base" => change.base, "by" => &change.by, "index" => %index,
            "outcome" => outcome.name(), "version" => self.register.evacuations().version());
        match outcome {
            Outcome::Changed => self.publish_evacuations(),
            Outcome::Stale if !self.pending_proposals.is_empty() => {
                self.stale_changes.insert(index);
            }
            Outcome::Unchanged | Outcome::Stale => {}
        }
    }

    /// Returns the response to a proposal whose entry was committed and applied.
    pub(super) fn committed_response(
        &mut self,
        proposal: &PendingProposal,
        index: LogIndex,
    ) -> Response {
        let is_stale = self.stale_changes.swap_remove(&index);
        if self.pending_proposals.is_empty() {
            self.stale_changes.clear();
        }
        match proposal.subject {
            Subject::Setup(_) => Response::Applied,
            Subject::Evacuations if is_stale => Response::Stale,
            Subject::Evacuations => {
                Response::Evacuations(self.register.evacuations().without_audit())
            }
        }
    }

    pub(super) fn publish_evacuations(&self) {
        let evacuations = self.register.evacuations();
        if evacuations.version() > 0 {
            (self.dependencies.on_evacuations)(evacuations, self.node.is_leader());
        }
    }
}
