//! Replacement of silent voters by live spare replicas.

use std::time::Duration;

use kumquatdrum_consensus::{Input, Member, ProposalOutcome, Token, placement};
use kumquatdrum_types::Moment;
use slog::{info, warn};

use super::Replica;

/// The silence after which a voter is replaced; longer than a restart.
const REPLACE_AFTER: Duration = Duration::from_millis(2_500);

/// A requested change of the voters.
#[derive(Debug)]
pub(super) struct PendingChange {
    token: Token,
    requested: Moment,
}

impl Replica {
    /// Replaces a silent voter by a live spare replica, if this replica is the leader.
    pub(super) fn replace_silent_voters(&mut self) {
        let status = self.node.status();
        if !self.node.is_caught_up_leader()
            || status.replicas.is_joint()
            || !status.replicas_committed
        {
            return;
        }
        let now = self.dependencies.clock.now();
        for peer in &status.peers {
            if peer.is_alive {
                self.silent.swap_remove(&peer.id);
            } else {
                self.silent.entry(peer.id.clone()).or_insert(now);
            }
        }
        let voters = &status.replicas.voters;
        let is_lost = |voter: &&Member| {
            let since = self.silent.get(&voter.id);
            since.is_some_and(|since| now - *since >= REPLACE_AFTER)
        };
        let lost = voters.iter().find(is_lost).cloned();
        let Some(next) = self.next_voters(voters, lost.as_ref()) else {
            return;
        };
        warn!(self.dependencies.logger, "voters_change"; "event" => "voters_change",
            "lost" => lost.map(|lost| lost.id.to_string()),
            "voters" => next.iter().map(|voter| voter.id.to_string()).collect::<Vec<_>>().join(","));
        let token = self.next_token();
        if self.pending_change.is_none() {
            self.pending_change = Some(PendingChange {
                token,
                requested: now,
            });
        }
        self.step(Input::ChangeReplicas {
            token,
            voters: next,
        });
    }

    /// Logs the outcome of a change of the voters, with how far each replica is.
    pub(super) fn finish_change(&mut self, token: Token, outcome: &ProposalOutcome) {
        let finished = self.pending_change.take_if(|change| change.token == token);
        let now = self.dependencies.clock.now();
        let ms = finished.map(|change| (now - change.requested).as_millis() as u64);
        let status = self.node.status();
        let progress = status.peers.iter().map(|peer| {
            let id = &peer.id;
            let (matched, is_alive) = (peer.matched, peer.is_alive);
            format!(
                "{id}:{matched}:{}",
                if is_alive { "alive" } else { "silent" }
            )
        });
        info!(self.dependencies.logger, "voters_change_ended"; "event" => "voters_change_ended",
            "outcome" => outcome.as_str(), "ms" => ms, "commit" => %status.commit,
            "last_index" => %status.last_index,
            "progress" => progress.collect::<Vec<_>>().join(","));
    }

    fn next_voters(&self, voters: &[Member], lost: Option<&Member>) -> Option<Vec<Member>> {
        let spares = self.spares(voters);
        let target = 2 * self.dependencies.settings.lost_replicas + 1;
        let mut next = voters.to_vec();
        if let Some(lost) = lost {
            let spare = placement::choose_replacement(voters, &lost.id, &spares);
            match spare {
                Some(spare) => {
                    next.retain(|voter| voter.id != lost.id);
                    next.push(spare.clone());
                }
                None if voters.len() > target => next.retain(|voter| voter.id != lost.id),
                None => return None,
            }
            return Some(next);
        }
        // An even number of voters tolerates no more failures than one voter fewer.
        let additions = target.saturating_sub(voters.len());
        let additions = additions.min(spares.len());
        let additions = if (voters.len() + additions).is_multiple_of(2) {
            additions.saturating_sub(1)
        } else {
            additions
        };
        next.extend(spares.into_iter().take(additions));
        (next.len() > voters.len()).then_some(next)
    }

    /// Returns the live replicas on hosts without a voter, data centres with the fewest voters
    /// first.
    fn spares(&self, voters: &[Member]) -> Vec<Member> {
        let hosts = self.dependencies.hosts.live_hosts();
        let live = hosts.into_iter().filter(|host| !host.is_stopping);
        let live = live.filter_map(|host| host.replica);
        let mut spares: Vec<Member> = live
            .filter(|spare| !voters.iter().any(|voter| voter.id.host == spare.id.host))
            .collect();
        let voters_in_data_centre = |spare: &Member| {
            let voters = voters.iter();
            voters
                .filter(|voter| voter.data_centre == spare.data_centre)
                .count()
        };
        spares.sort_by_key(|spare| (voters_in_data_centre(spare), spare.id.clone()));
        spares
    }
}
