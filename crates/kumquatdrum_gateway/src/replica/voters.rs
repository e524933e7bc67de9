//! Replacement of lost voters by live spare replicas.

use kumquatdrum_consensus::following::Change;
use kumquatdrum_consensus::replacement::{Evidence, Loss};
use kumquatdrum_consensus::{Input, Member, ProposalOutcome, Status, Token};
use kumquatdrum_types::Moment;
use slog::{info, warn};

use super::Replica;

/// A requested change of the voters.
#[derive(Debug)]
pub(super) struct PendingChange {
    token: Token,
    requested: Moment,
}

impl Replica {
    /// Tells this host's table which replicas the log names.
    pub(super) fn publish_replicas(&mut self) {
        let (index, replicas) = self.node.replicas();
        if self.published_replicas != Some(index) {
            self.published_replicas = Some(index);
            self.dependencies.hosts.set_replicas(replicas.clone());
        }
    }

    /// Replaces lost voters by live spare replicas, if this replica is the leader.
    pub(super) fn replace_lost_voters(&mut self) {
        if !self.node.is_caught_up_leader() {
            return;
        }
        let now = self.dependencies.clock.now();
        let (status, hosts) = (self.node.status(), self.dependencies.hosts.replica_hosts());
        let changes = self.monitor.check(now, &status, &hosts);
        self.report_following(&status, &changes);
        let Some(plan) = self.planner.plan(now, &status, &hosts) else {
            return;
        };
        warn!(self.dependencies.logger, "voters_change"; "event" => "voters_change",
            "lost" => join(plan.lost.iter().map(describe_loss)),
            "voters" => join(plan.voters.iter().map(|voter: &Member| voter.id.to_string())));
        let token = self.next_token();
        self.pending_change = Some(PendingChange {
            token,
            requested: now,
        });
        self.step(Input::ChangeReplicas {
            token,
            voters: plan.voters,
        });
    }

    /// Logs which voters have stopped or begun to follow, and sets the gauges.
    fn report_following(&self, status: &Status, changes: &[Change]) {
        let metrics = &self.dependencies.metrics.replica;
        let voters = status.replicas.voters.len();
        let silent = self.monitor.silent().len();
        metrics.voters.set(voters as i64);
        metrics.voters_following.set((voters - silent) as i64);
        for change in changes {
            match change {
                Change::Silent {
                    voter,
                    silence,
                    is_host_live,
                    announced,
                } => warn!(self.dependencies.logger, "voter_silent"; "event" => "voter_silent",
                    "voter" => %voter, "ms" => silence.as_millis() as u64,
                    "host_live" => is_host_live,
                    "announced" => announced.as_ref().map(ToString::to_string)),
                Change::Follows { voter } => info!(self.dependencies.logger, "voter_follows";
                    "event" => "voter_follows", "voter" => %voter),
            }
        }
    }

    /// Sets the gauges of the leader, as this replica is none.
    pub(super) fn clear_leader_gauges(&self) {
        let metrics = &self.dependencies.metrics;
        metrics.leader.set(0);
        metrics.replica.voters.set(0);
        metrics.replica.voters_following.set(0);
    }

    /// Records and logs the outcome of a change of the voters, with how far each replica is.
    pub(super) fn finish_change(&mut self, token: Token, outcome: &ProposalOutcome) {
        let status = self.node.status();
        let latest = self.pending_change.take_if(|change| change.token == token);
        if latest.is_some() {
            let is_committed = matches!(outcome, ProposalOutcome::Committed { .. });
            self.planner
                .record_end(&status.replicas.voters, is_committed);
        }
        let now = self.dependencies.clock.now();
        let ms = latest.map(|change| (now - change.requested).as_millis() as u64);
        let progress = status.peers.iter().map(|peer| {
            let state = if peer.is_alive { "alive" } else { "silent" };
            format!("{}:{}:{state}", peer.id, peer.matched)
        });
        info!(self.dependencies.logger, "voters_change_ended"; "event" => "voters_change_ended",
            "outcome" => outcome.as_str(), "ms" => ms, "commit" => %status.commit,
            "last_index" => %status.last_index, "progress" => join(progress));
    }

    /// Returns the voters that were silent when this leader last checked.
    pub(super) fn silent_voters(&self) -> String {
        join(self.planner.silent().iter().map(ToString::to_string))
    }
}

fn describe_loss(loss: &Loss) -> String {
    match loss.evidence {
        Evidence::Superseded => format!("{}:superseded", loss.voter),
        Evidence::Silent(silence) => format!("{}:{}ms", loss.voter, silence.as_millis()),
        Evidence::Stopping => format!("{}:stopping", loss.voter),
    }
}

fn join(names: impl Iterator<Item = String>) -> String {
    names.collect::<Vec<_>>().join(",")
}
