//! Replacement of lost voters by spare replicas.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{HostId, Moment};

use crate::{Member, PeerStatus, ReplicaId, Status, placement};

/// The share of the silence of a lost voter that a new leader waits for a first answer.
const FIRST_ANSWER_SHARE: u32 = 4;

/// The settings of a [`Planner`].
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The number of voters to have.
    pub voters: usize,
    /// The silence after which a voter is lost.
    pub lost_after: Duration,
}

/// What this replica's host knows of another host with a data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// The host.
    pub id: HostId,
    /// When this host last heard from it.
    pub heard_at: Moment,
    /// The replica that it announces, if its data folder is open.
    pub replica: Option<Member>,
    /// Whether it is live.
    pub is_live: bool,
    /// Whether it stops for good or to start again.
    pub is_stopping: bool,
}

impl Host {
    /// Returns whether the host's replica may become a voter.
    ///
    /// ```
    /// use kumquatdrum_consensus::replacement::Host;
    /// use kumquatdrum_types::{HostId, Moment};
    ///
    /// let host = Host {
    ///     id: HostId::new("10.0.0.1"),
    ///     heard_at: Moment::ZERO,
    ///     replica: None,
    ///     is_live: true,
    ///     is_stopping: true,
    /// };
    /// assert!(!host.is_available());
    /// ```
    pub fn is_available(&self) -> bool {
        self.is_live && !self.is_stopping
    }
}

/// The evidence that a voter is lost, or will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Its host announces another replica, so its disk is gone.
    Superseded,
    /// It has not answered for this time.
    Silent(Duration),
    /// Its host stops.
    Stopping,
}

impl Evidence {
    /// Returns the order in which lost voters get spares: those whose disks are gone, those that have been
    /// silent the longest, and those that still answer.
    fn rank(self) -> (u8, Reverse<Duration>) {
        match self {
            Self::Superseded => (0, Reverse(Duration::ZERO)),
            Self::Silent(silence) => (1, Reverse(silence)),
            Self::Stopping => (2, Reverse(Duration::ZERO)),
        }
    }
}

/// A voter that is lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// The voter.
    pub voter: ReplicaId,
    /// The evidence that it is lost.
    pub evidence: Evidence,
}

/// A change of the voters to request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The voters that are lost, including those without a replacement.
    pub lost: Vec<Loss>,
    /// The next voters.
    pub voters: Vec<Member>,
}

/// Decides on a leader which voters are lost, and which replicas take their places.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_consensus::replacement::{Planner, Settings};
/// use kumquatdrum_types::Moment;
///
/// let settings = Settings { voters: 3, lost_after: Duration::from_secs(1) };
/// let planner = Planner::new(settings, Moment::ZERO);
/// assert!(planner.silent().is_empty());
/// ```
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    started: Moment,
    /// The voters of a change that was requested and has not ended.
    requested: Option<Vec<Member>>,
    /// How often a change failed that the replica was to join.
    failures: IndexMap<ReplicaId, u32>,
    /// The voters that were given up, and when. They are no spares until their hosts are heard again.
    given_up: IndexMap<ReplicaId, Moment>,
    silent: Vec<ReplicaId>,
}

impl Planner {
    /// Creates the planner of a replica that starts now.
    pub fn new(settings: Settings, now: Moment) -> Self {
        Self {
            settings,
            started: now,
            requested: None,
            failures: IndexMap::new(),
            given_up: IndexMap::new(),
            silent: Vec::new(),
        }
    }

    /// Returns the voters that did not answer within the election timeout before the latest check.
    pub fn silent(&self) -> &[ReplicaId] {
        &self.silent
    }

    /// Returns the change to request of a leader that has caught up, if any. It takes the place of a
    /// change requested before.
    pub fn plan(&mut self, now: Moment, status: &Status, hosts: &[Host]) -> Option<Plan> {
        let view = View {
            now,
            started: self.started,
            lost_after: self.settings.lost_after,
            status,
            hosts,
        };
        self.silent = view.silent();
        if status.replicas.is_joint() || !status.replicas_committed || !view.has_majority() {
            return None;
        }
        let lost = view.lost();
        let voters = self.next_voters(&view, &lost);
        if let Some(requested) = &self.requested
            && view.is_sound(requested, &lost, &voters)
        {
            return None;
        }
        if voters == status.replicas.voters {
            return None;
        }
        let is_unheard = |id: &ReplicaId, at: Moment| {
            let host = view.host(&id.host);
            host.is_some_and(|host| host.heard_at <= at)
        };
        self.given_up.retain(|id, at| is_unheard(id, *at));
        let is_kept = |loss: &Loss| voters.iter().any(|voter| voter.id == loss.voter);
        for loss in lost.iter().filter(|loss| !is_kept(loss)) {
            self.given_up.insert(loss.voter.clone(), now);
        }
        self.requested = Some(voters.clone());
        Some(Plan { lost, voters })
    }

    /// Records that the requested change has ended. After a failure other spares come first.
    pub fn record_end(&mut self, voters: &[Member], is_committed: bool) {
        let Some(requested) = self.requested.take() else {
            return;
        };
        if is_committed {
            self.failures.clear();
            return;
        }
        let joining = requested.iter().filter(|m| !voters.contains(m));
        for member in joining {
            *self.failures.entry(member.id.clone()).or_insert(0) += 1;
        }
    }

    /// Forgets the requested change, as this replica has become the leader.
    pub fn reset(&mut self) {
        self.requested = None;
        self.failures.clear();
    }

    fn next_voters(&self, view: &View<'_>, lost: &[Loss]) -> Vec<Member> {
        let mut next = view.status.replicas.voters.clone();
        for Loss { voter, .. } in lost {
            let is_lost = |member: &Member| lost.iter().any(|loss| loss.voter == member.id);
            let spares = self.spares(view, &next, is_lost);
            let spare = placement::choose_replacement(&next, voter, &spares).cloned();
            match spare {
                Some(spare) => {
                    next.retain(|member| member.id != *voter);
                    next.push(spare);
                }
                None if next.len() > self.settings.voters => {
                    next.retain(|member| member.id != *voter);
                }
                None => {}
            }
        }
        if lost.is_empty() && self.silent.is_empty() {
            self.add_voters(view, &mut next);
            self.balance(view, &mut next);
        }
        next
    }

    /// Moves a vote to a data centre that has two voters fewer than another one, so that the loss of a data
    /// centre takes as few voters as possible.
    fn balance(&self, view: &View<'_>, next: &mut Vec<Member>) {
        if next.len() != view.status.replicas.voters.len() {
            return;
        }
        let spares = self.spares(view, next, |_| false);
        let leader = &view.status.id;
        if let Some((from, to)) = placement::choose_move(next, leader, &spares) {
            let (from, to) = (from.id.clone(), to.clone());
            next.retain(|member| member.id != from);
            next.push(to);
        }
    }

    /// Adds spares up to the number of voters to have, but keeps it odd, since an even number tolerates no
    /// more losses than one voter fewer.
    fn add_voters(&self, view: &View<'_>, next: &mut Vec<Member>) {
        let spares = self.spares(view, next, |_| false);
        let additions = self.settings.voters.saturating_sub(next.len());
        let additions = additions.min(spares.len());
        let is_even = (next.len() + additions).is_multiple_of(2);
        let additions = additions.saturating_sub(usize::from(is_even));
        for _ in 0..additions {
            let spares = self.spares(view, next, |_| false);
            let spare = placement::choose_addition(next, &spares).cloned();
            next.extend(spare);
        }
    }

    /// Returns the replicas that may become voters, in the order of preference: those with the fewest
    /// failures, on hosts without a voter that remains.
    fn spares(
        &self,
        view: &View<'_>,
        voters: &[Member],
        is_lost: impl Fn(&Member) -> bool,
    ) -> Vec<Member> {
        let is_given_up = |host: &Host, replica: &Member| {
            let given_up_at = self.given_up.get(&replica.id);
            given_up_at.is_some_and(|at| host.heard_at <= *at)
        };
        let hosts = view.hosts.iter().filter(|host| host.is_available());
        let replicas = hosts.filter_map(|host| {
            let replica = host.replica.as_ref()?;
            (!is_given_up(host, replica)).then_some(replica)
        });
        let has_voter = |replica: &Member| {
            let mut remaining = voters.iter().filter(|voter| !is_lost(voter));
            remaining.any(|voter| voter.id.host == replica.id.host)
        };
        let is_spare = |replica: &&Member| {
            !has_voter(replica) && !voters.contains(replica) && !view.is_failing(&replica.id)
        };
        let mut spares: Vec<Member> = replicas.filter(is_spare).cloned().collect();
        let failures = |spare: &Member| self.failures.get(&spare.id).copied().unwrap_or(0);
        let fewest = spares.iter().map(failures).min().unwrap_or(0);
        spares.retain(|spare| failures(spare) == fewest);
        let learners = &view.status.replicas.learners;
        spares.sort_by_key(|spare| (!learners.contains(spare), spare.id.clone()));
        spares
    }
}

/// The state that a decision is based on.
struct View<'a> {
    now: Moment,
    started: Moment,
    lost_after: Duration,
    status: &'a Status,
    hosts: &'a [Host],
}

impl View<'_> {
    fn peer(&self, id: &ReplicaId) -> Option<&PeerStatus> {
        self.status.peers.iter().find(|peer| peer.id == *id)
    }

    fn host(&self, id: &HostId) -> Option<&Host> {
        self.hosts.iter().find(|host| host.id == *id)
    }

    /// Returns whether a replica answers; the leader itself does.
    fn answers(&self, id: &ReplicaId) -> bool {
        *id == self.status.id || self.peer(id).is_some_and(|peer| peer.is_alive)
    }

    /// Returns whether a majority of the voters answers.
    fn has_majority(&self) -> bool {
        self.status.replicas.is_majority(|id| self.answers(id))
    }

    fn silent(&self) -> Vec<ReplicaId> {
        let voters = self.status.replicas.voters.iter();
        let silent = voters.filter(|voter| !self.answers(&voter.id));
        silent.map(|voter| voter.id.clone()).collect()
    }

    fn lost(&self) -> Vec<Loss> {
        let voters = self.status.replicas.voters.iter().map(|voter| &voter.id);
        let losses = voters.filter_map(|voter| {
            let evidence = self.evidence(voter)?;
            let voter = voter.clone();
            Some(Loss { voter, evidence })
        });
        let mut losses: Vec<Loss> = losses.collect();
        losses.sort_by_key(|loss| loss.evidence.rank());
        losses
    }

    fn evidence(&self, voter: &ReplicaId) -> Option<Evidence> {
        let silence = self.now - self.silent_since(voter);
        match silence {
            _ if *voter == self.status.id => None,
            _ if self.is_stopping(voter) => Some(Evidence::Stopping),
            _ if self.answers(voter) || self.may_answer(voter) => None,
            _ if self.is_superseded(voter) => Some(Evidence::Superseded),
            silence if silence >= self.lost_after => Some(Evidence::Silent(silence)),
            _ => None,
        }
    }

    /// Returns whether a replica had too little time to answer this leader for the first time.
    fn may_answer(&self, id: &ReplicaId) -> bool {
        let peer = self.peer(id).filter(|peer| peer.acked_at.is_none());
        peer.is_some_and(|peer| self.now - peer.added_at < self.lost_after / FIRST_ANSWER_SHARE)
    }

    fn is_stopping(&self, voter: &ReplicaId) -> bool {
        let host = self.host(&voter.host);
        host.is_some_and(|host| {
            let announced = host.replica.as_ref().map(|replica| &replica.id);
            host.is_stopping && announced == Some(voter)
        })
    }

    /// Returns whether a voter's host announces a replica that is newer than the voter.
    fn is_superseded(&self, voter: &ReplicaId) -> bool {
        let announced = self
            .host(&voter.host)
            .and_then(|host| host.replica.as_ref());
        let retired = &self.status.replicas.retired;
        announced.is_some_and(|replica| replica.id != *voter && !retired.contains(&replica.id))
    }

    /// Returns when a replica's silence began. Before its first answer to this leader, that is when its
    /// host was last heard from, so that a new leader doesn't count anew.
    fn silent_since(&self, id: &ReplicaId) -> Moment {
        let answered = self.peer(id).and_then(|peer| peer.acked_at);
        let heard_at = self
            .host(&id.host)
            .map_or(self.started, |host| host.heard_at);
        let elected_at = self.status.elected_at.unwrap_or(self.now);
        answered.unwrap_or(heard_at.min(elected_at))
    }

    /// Returns whether a replica receives the log and has not answered for as long as a lost voter.
    fn is_failing(&self, id: &ReplicaId) -> bool {
        let Some(peer) = self.peer(id) else {
            return false;
        };
        !peer.is_alive && self.now - peer.acked_at.unwrap_or(peer.added_at) >= self.lost_after
    }

    /// Returns whether a requested change is still to be waited for: all that join are available, and it
    /// keeps no more lost voters than the best change would.
    fn is_sound(&self, requested: &[Member], lost: &[Loss], best: &[Member]) -> bool {
        let voters = &self.status.replicas.voters;
        let mut joining = requested.iter().filter(|m| !voters.contains(m));
        let is_available = |member: &Member| {
            let host = self.host(&member.id.host);
            let is_announced = host
                .is_some_and(|host| host.is_available() && host.replica.as_ref() == Some(member));
            is_announced && !self.is_failing(&member.id)
        };
        let count_lost = |members: &[Member]| {
            let is_lost = |member: &&Member| lost.iter().any(|loss| loss.voter == member.id);
            members.iter().filter(is_lost).count()
        };
        joining.all(is_available) && count_lost(requested) <= count_lost(best)
    }
}
