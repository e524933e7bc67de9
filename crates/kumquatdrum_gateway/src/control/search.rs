//! The search for the leader among the replicas: which one is asked next, and when.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::{HostId, Moment};

/// The delays between the requests of a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// The silence of a replica after which the next one is asked too. Without one, a replica is asked
    /// only after the one before has answered.
    pub silence: Option<Duration>,
    /// The delay before replicas are asked again, as none of them leads.
    pub retry: Duration,
}

/// What a search does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// This replica is asked, while earlier requests stay open.
    Ask(HostId),
    /// Nothing is asked before this moment unless a replica answers.
    Wait(Moment),
}

/// The search for the replica that leads. It proceeds in rounds, each of which asks every replica at most
/// once; a replica is not asked again while it owes an answer.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_gateway::control::search::{Pace, Search, Step};
/// use kumquatdrum_types::{HostId, Moment};
///
/// let (local, leader) = (HostId::new("local"), HostId::new("leader"));
/// let pace = Pace {
///     silence: Some(Duration::from_millis(150)),
///     retry: Duration::from_millis(60),
/// };
/// let mut search = Search::new(pace, None);
/// let now = Moment::ZERO;
/// assert_eq!(search.step(now, || vec![local.clone()]), Step::Ask(local.clone()));
/// search.refuse(now, &local, Some(leader.clone()));
/// assert_eq!(search.step(now, Vec::new), Step::Ask(leader));
/// assert_eq!(search.requests(), 2);
/// ```
#[derive(Debug)]
pub struct Search {
    pace: Pace,
    /// The replica that the next round begins with.
    first: Option<HostId>,
    /// The replicas that have yet to be asked in this round.
    queue: VecDeque<HostId>,
    /// The replicas that were asked in this round.
    asked: IndexSet<HostId>,
    /// The replicas that owe an answer.
    open: IndexSet<HostId>,
    /// The replica that was asked last.
    last: Option<HostId>,
    /// When the next replica is asked unless one answers before.
    due: Moment,
    requests: u32,
}

impl Search {
    /// Begins a search with the replica that is presumed to lead, if any.
    ///
    /// ```
    /// use kumquatdrum_gateway::control::search::{Pace, Search, Step};
    /// use kumquatdrum_types::{HostId, Moment};
    ///
    /// let pace = Pace { silence: None, retry: std::time::Duration::from_millis(60) };
    /// let leader = HostId::new("leader");
    /// let mut search = Search::new(pace, Some(leader.clone()));
    /// let local = || vec![HostId::new("local")];
    /// assert_eq!(search.step(Moment::ZERO, local), Step::Ask(leader));
    /// ```
    pub fn new(pace: Pace, first: Option<HostId>) -> Self {
        Self {
            pace,
            first,
            queue: VecDeque::new(),
            asked: IndexSet::new(),
            open: IndexSet::new(),
            last: None,
            due: Moment::ZERO,
            requests: 0,
        }
    }

    /// Returns what to do now. `candidates` lists the replicas in the order of a round.
    ///
    /// ```
    /// use kumquatdrum_gateway::control::search::{Pace, Search, Step};
    /// use kumquatdrum_types::{HostId, Moment};
    ///
    /// let pace = Pace { silence: None, retry: std::time::Duration::from_millis(60) };
    /// let mut search = Search::new(pace, None);
    /// let local = || vec![HostId::new("local")];
    /// assert_eq!(search.step(Moment::ZERO, local), Step::Ask(HostId::new("local")));
    /// assert_eq!(search.step(Moment::ZERO, local), Step::Wait(Moment::NEVER));
    /// ```
    pub fn step(&mut self, now: Moment, candidates: impl FnOnce() -> Vec<HostId>) -> Step {
        if now < self.due {
            return Step::Wait(self.due);
        }
        if self.queue.is_empty() {
            self.start_round(candidates());
        }
        let Some(host) = self.queue.pop_front() else {
            self.due = now + self.pace.retry;
            return Step::Wait(self.due);
        };
        self.due = match self.pace.silence {
            Some(silence) => now + silence,
            None => Moment::NEVER,
        };
        self.requests += 1;
        self.asked.insert(host.clone());
        self.open.insert(host.clone());
        self.last = Some(host.clone());
        Step::Ask(host)
    }

    fn start_round(&mut self, candidates: Vec<HostId>) {
        self.asked.clear();
        let order: IndexSet<HostId> = self.first.take().into_iter().chain(candidates).collect();
        let silent = &self.open;
        let order = order.into_iter().filter(|host| !silent.contains(host));
        self.queue = order.collect();
    }

    /// Records that a replica does not lead, or could not be asked, and which one leads by its account.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_gateway::control::search::{Pace, Search, Step};
    /// use kumquatdrum_types::{HostId, Moment};
    ///
    /// let pace = Pace { silence: None, retry: Duration::from_millis(60) };
    /// let local = HostId::new("local");
    /// let mut search = Search::new(pace, None);
    /// search.step(Moment::ZERO, || vec![local.clone()]);
    /// search.refuse(Moment::ZERO, &local, None);
    /// assert_eq!(search.step(Moment::ZERO, Vec::new), Step::Wait(Moment::from_millis(60)));
    /// ```
    pub fn refuse(&mut self, now: Moment, host: &HostId, leader: Option<HostId>) {
        self.open.swap_remove(host);
        let is_last = self.last.as_ref() == Some(host);
        match leader.filter(|leader| leader != host) {
            Some(leader) if !self.asked.contains(&leader) && !self.open.contains(&leader) => {
                self.queue.retain(|queued| *queued != leader);
                self.queue.push_front(leader);
                self.due = now;
            }
            _ if !is_last => {}
            // Others name the same leader until an election; each request carries the whole command.
            Some(leader) => {
                let delay = match self.pace.silence {
                    Some(silence) if self.open.contains(&leader) => silence,
                    _ => self.pace.retry,
                };
                self.due = now + delay;
                self.first = Some(leader);
            }
            None if self.queue.is_empty() => self.due = now + self.pace.retry,
            None => self.due = now,
        }
    }

    /// Returns the number of requests that the search has led to.
    ///
    /// ```
    /// use kumquatdrum_gateway::control::search::{Pace, Search};
    ///
    /// let pace = Pace { silence: None, retry: std::time::Duration::from_millis(60) };
    /// assert_eq!(Search::new(pace, None).requests(), 0);
    /// ```
    pub fn requests(&self) -> u32 {
        self.requests
    }
}
