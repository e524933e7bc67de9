//! Who votes: a live spare replica takes the place of a voter that is silent.

use std::time::Duration;

use kumquatdrum_consensus::{Input, Member, placement};
use slog::warn;

use super::Machine;

/// How long a voter may be silent before a spare replica takes its place: longer than a restart.
const SILENCE: Duration = Duration::from_millis(2_500);

impl Machine {
    /// As the leader: puts a live spare replica in the place of a voter that is silent.
    pub(super) fn tend(&mut self) {
        let status = self.node.status();
        if !self.node.is_caught_up_leader()
            || status.replicas.is_joint()
            || !status.replicas_committed
        {
            return;
        }
        let now = self.parts.clock.now();
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
            since.is_some_and(|since| now - *since >= SILENCE)
        };
        let lost = voters.iter().find(is_lost).cloned();
        let Some(next) = self.next_voters(voters, lost.as_ref()) else {
            return;
        };
        warn!(self.parts.logger, "voters_change"; "event" => "voters_change",
            "lost" => lost.map(|lost| lost.id.to_string()),
            "voters" => next.iter().map(|voter| voter.id.to_string()).collect::<Vec<_>>().join(","));
        let token = self.token();
        self.step(Input::ChangeReplicas {
            token,
            voters: next,
        });
    }

    fn next_voters(&self, voters: &[Member], lost: Option<&Member>) -> Option<Vec<Member>> {
        let spares = self.spares(voters);
        let wanted = 2 * self.parts.settings.lost_replicas + 1;
        let mut next = voters.to_vec();
        if let Some(lost) = lost {
            let spare = placement::choose_replacement(voters, &lost.id, &spares);
            match spare {
                Some(spare) => {
                    next.retain(|voter| voter.id != lost.id);
                    next.push(spare.clone());
                }
                None if voters.len() > wanted => next.retain(|voter| voter.id != lost.id),
                None => return None,
            }
            return Some(next);
        }
        // An even number of voters bears no more losses than one less.
        let room = wanted.saturating_sub(voters.len());
        let room = room.min(spares.len());
        let room = if (voters.len() + room).is_multiple_of(2) {
            room.saturating_sub(1)
        } else {
            room
        };
        next.extend(spares.into_iter().take(room));
        (next.len() > voters.len()).then_some(next)
    }

    /// Live replicas on hosts without a voter, the emptier data centres first.
    fn spares(&self, voters: &[Member]) -> Vec<Member> {
        let hosts = self.parts.hosts.live();
        let live = hosts.into_iter().filter(|host| !host.stopping);
        let live = live.filter_map(|host| host.replica);
        let mut spares: Vec<Member> = live
            .filter(|spare| !voters.iter().any(|voter| voter.id.host == spare.id.host))
            .collect();
        let held = |spare: &Member| {
            let same = voters.iter();
            same.filter(|voter| voter.data_centre == spare.data_centre)
                .count()
        };
        spares.sort_by_key(|spare| (held(spare), spare.id.clone()));
        spares
    }
}
