//! Tells whether this host reaches the endpoints of a service, from the outcomes of its requests.
//!
//! The load: hosts lose their own connections to some or all endpoints for seconds, while other hosts
//! reach them. Requests go by a relay then: another host that sends them to the endpoint.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::EndpointKey;

/// The number of endpoints in trouble that raise a doubt; a single one may be down.
const MIN_TROUBLED: usize = 2;
/// The number of probes in a row that must fail for a host to count as isolated.
const ISOLATED_PROBES: u32 = 3;
/// How long endpoints that accept connections may be silent before a host counts as isolated. Sound ones
/// may be silent for a second or so and go on.
const ISOLATED_SILENCE: Duration = Duration::from_millis(1_200);
/// The time after which trouble with an endpoint is forgotten.
const TROUBLE_MEMORY: Duration = Duration::from_secs(2);
/// How long an endpoint that only a relay reached gets its requests by relays before the direct path
/// is tried again.
const RELAYED_MEMORY: Duration = Duration::from_secs(1);
/// The minimum time after which an answer is late.
const MIN_PATIENCE: Duration = Duration::from_millis(100);
/// How long the slowest answer counts as usual.
const DELAY_MEMORY: Duration = Duration::from_secs(10);
/// The number of direct requests under way at which a path counts as restored.
const RESTORED_WINDOW: u32 = 8;
/// The time after which an unanswered direct request no longer delays others on a path that recovers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// The way in which a request gets to its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Over this host's own connection.
    Direct,
    /// By a relay, or directly if no relay reaches the endpoint.
    RelayFirst,
    /// By a relay; if none reaches the endpoint, the request is not sent.
    RelayOnly,
}

/// What happened to a direct request before any answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// No connection could be opened.
    Unconnected,
    /// The connection broke.
    Broken,
    /// The answer is late.
    Late,
}

/// A change in what this host knows about a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The path is in doubt.
    Doubted,
    /// Endpoints answer through a relay, but not directly.
    Cut,
    /// An endpoint answers directly after a doubt: the endpoints in trouble were at fault.
    Cleared,
    /// An endpoint answers directly after a cut.
    Recovering,
    /// The path carries requests as before, after endpoints had not answered directly at all.
    Restored,
}

/// The path from this host to the endpoints of a service.
#[derive(Debug, Default)]
pub struct Path {
    state: State,
    /// When an endpoint last answered a direct request.
    answered_at: Moment,
    /// The longest time that an answer has taken lately, and when.
    slowest: Duration,
    slowest_at: Moment,
    /// The endpoints with trouble, and when it was last seen.
    troubled: IndexMap<EndpointKey, Moment>,
    /// The endpoints that a relay reached when this host did not, and when.
    relayed: IndexMap<EndpointKey, Moment>,
}

#[derive(Debug, Clone, Copy, Default)]
enum State {
    #[default]
    Open,
    Doubted {
        since: Moment,
        has_relay_answered: bool,
        failed_probes: u32,
    },
    Cut {
        since: Moment,
    },
    Recovering {
        since: Moment,
        window: u32,
        unanswered: u32,
        admitted_at: Moment,
    },
}

impl Path {
    /// Returns the route of a request that is about to be sent to an endpoint.
    pub fn route(&mut self, now: Moment, key: EndpointKey) -> Route {
        let relayed_at = self.relayed.get(&key);
        let is_relayed = relayed_at.is_some_and(|at| now - *at < RELAYED_MEMORY);
        match &mut self.state {
            State::Open if is_relayed => Route::RelayFirst,
            State::Open => Route::Direct,
            State::Doubted { failed_probes, .. } if *failed_probes >= ISOLATED_PROBES => {
                Route::RelayOnly
            }
            State::Doubted { .. } => Route::RelayFirst,
            State::Cut { .. } => Route::RelayOnly,
            State::Recovering {
                window,
                unanswered,
                admitted_at,
                ..
            } => {
                let is_overdue = now >= *admitted_at + ANSWER_TIMEOUT;
                if *unanswered < *window || is_overdue {
                    *unanswered += 1;
                    *admitted_at = now;
                    Route::Direct
                } else {
                    Route::RelayFirst
                }
            }
        }
    }

    /// Returns whether this host must not relay requests of others, as its own path is in doubt.
    pub const fn is_in_doubt(&self) -> bool {
        matches!(self.state, State::Doubted { .. } | State::Cut { .. })
    }

    /// Returns whether the path counts as cut.
    pub const fn is_cut(&self) -> bool {
        matches!(self.state, State::Cut { .. })
    }

    /// Returns whether this host reaches no endpoint of the service, whoever is at fault.
    pub const fn is_isolated(&self) -> bool {
        match self.state {
            State::Doubted { failed_probes, .. } => failed_probes >= ISOLATED_PROBES,
            State::Cut { .. } => true,
            State::Open | State::Recovering { .. } => false,
        }
    }

    /// Returns the place of the endpoint to probe, of those that are known, each with the time since its last
    /// announcement. `turn` numbers the probes.
    ///
    /// While the path is in doubt, that is the one that announced itself last of those without trouble: the
    /// others may have ended. Without such an endpoint, or once the path is known to be cut, they take turns.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Path};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let known = [(EndpointKey(1), Duration::ZERO), (EndpointKey(2), Duration::ZERO)];
    /// assert_eq!(Path::default().choose_probe(Moment::ZERO, &known, 1), Some(1));
    /// ```
    pub fn choose_probe(
        &self,
        now: Moment,
        known: &[(EndpointKey, Duration)],
        turn: usize,
    ) -> Option<usize> {
        let is_troubled = |key: EndpointKey| {
            let seen_at = self.troubled.get(&key);
            seen_at.is_some_and(|seen_at| now - *seen_at < TROUBLE_MEMORY)
        };
        let known = known.iter().enumerate();
        let count = known.len();
        let sound = known.filter(|(_, (key, _))| !is_troubled(*key));
        let latest = sound.min_by_key(|(_, (_, age))| *age);
        match (&self.state, latest) {
            (State::Doubted { .. }, Some((place, _))) => Some(place),
            _ => turn.checked_rem(count),
        }
    }

    /// Returns the time after which an answer is late, at most `limit`: twice the longest time that one
    /// has taken lately.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Path};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let (mut path, limit) = (Path::default(), Duration::from_millis(150));
    /// assert_eq!(path.patience(limit), limit);
    /// let sent_at = Moment::from_millis(1_000);
    /// path.record_answer(sent_at + Duration::from_millis(50), EndpointKey(1), sent_at);
    /// assert_eq!(path.patience(limit), Duration::from_millis(100));
    /// ```
    pub fn patience(&self, limit: Duration) -> Duration {
        if self.slowest.is_zero() {
            return limit;
        }
        (self.slowest * 2).max(MIN_PATIENCE).min(limit)
    }

    /// Returns when a direct request was last answered.
    pub const fn answered_at(&self) -> Moment {
        self.answered_at
    }

    /// Returns the number of endpoints with trouble since the last direct answer.
    pub fn troubled(&self) -> usize {
        self.troubled.len()
    }

    /// Records the answer to a request that was sent directly at `sent_at`. Answers on connections from
    /// before a cut do not end it, as such connections may live on while new ones are refused.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Path, Route, Trouble};
    /// # use kumquatdrum_types::Moment;
    ///
    /// let mut path = Path::default();
    /// let now = Moment::from_millis(5_000);
    /// for number in 0..2 {
    ///     path.record_trouble(now, EndpointKey(number), Trouble::Unconnected, now, 3);
    /// }
    /// assert_eq!(path.route(now, EndpointKey(2)), Route::RelayFirst);
    /// path.record_answer(now, EndpointKey(2), now);
    /// assert_eq!(path.route(now, EndpointKey(2)), Route::Direct);
    /// ```
    pub fn record_answer(
        &mut self,
        now: Moment,
        key: EndpointKey,
        sent_at: Moment,
    ) -> Option<Change> {
        let since = match self.state {
            State::Open => Moment::ZERO,
            State::Doubted { since, .. }
            | State::Cut { since }
            | State::Recovering { since, .. } => since,
        };
        if sent_at < since {
            return None;
        }
        self.answered_at = now;
        self.record_delay(now, now - sent_at);
        self.troubled.clear();
        self.relayed.swap_remove(&key);
        match &mut self.state {
            State::Open => None,
            State::Doubted { failed_probes, .. } => {
                let change = if *failed_probes > 0 {
                    Change::Restored
                } else {
                    Change::Cleared
                };
                self.state = State::Open;
                Some(change)
            }
            State::Cut { since } => {
                self.state = State::Recovering {
                    since: *since,
                    window: 1,
                    unanswered: 0,
                    admitted_at: now,
                };
                Some(Change::Recovering)
            }
            State::Recovering {
                window, unanswered, ..
            } => {
                *window *= 2;
                *unanswered = unanswered.saturating_sub(1);
                if *window < RESTORED_WINDOW {
                    return None;
                }
                self.state = State::Open;
                self.relayed.clear();
                Some(Change::Restored)
            }
        }
    }

    fn record_delay(&mut self, now: Moment, delay: Duration) {
        if delay >= self.slowest || now - self.slowest_at > DELAY_MEMORY {
            self.slowest = delay;
            self.slowest_at = now;
        }
    }

    /// Records trouble with a direct request. `from` is when the trouble began, `endpoints` the number
    /// of the service's endpoints. Trouble with one endpoint while another one answers is no evidence.
    pub fn record_trouble(
        &mut self,
        now: Moment,
        key: EndpointKey,
        trouble: Trouble,
        from: Moment,
        endpoints: usize,
    ) -> Option<Change> {
        let is_explained = self.answered_at >= from && self.answered_at > Moment::ZERO;
        if is_explained {
            return None;
        }
        self.troubled
            .retain(|_, seen_at| now - *seen_at < TROUBLE_MEMORY);
        self.troubled.insert(key, now);
        let needed = match trouble {
            // The silence of a service's only endpoint says nothing about the path.
            Trouble::Late => MIN_TROUBLED,
            Trouble::Unconnected | Trouble::Broken => MIN_TROUBLED.min(endpoints.max(1)),
        };
        let is_doubtful = self.troubled.len() >= needed;
        match &mut self.state {
            State::Open if is_doubtful => {
                self.state = State::Doubted {
                    since: now,
                    has_relay_answered: false,
                    failed_probes: 0,
                };
                Some(Change::Doubted)
            }
            State::Recovering { .. } if is_doubtful => Some(self.cut(now)),
            State::Recovering {
                window, unanswered, ..
            } => {
                *window = (*window / 2).max(1);
                *unanswered = unanswered.saturating_sub(1);
                None
            }
            _ => None,
        }
    }

    /// Records that a relay reached an endpoint to which this host had just failed to connect.
    pub fn record_second_opinion(
        &mut self,
        now: Moment,
        key: EndpointKey,
        endpoints: usize,
    ) -> Option<Change> {
        self.relayed.insert(key, now);
        let answered_at = self.answered_at;
        let is_recent = |at: Moment| at > answered_at && now - at < TROUBLE_MEMORY;
        let relayed = self.relayed.values().filter(|at| is_recent(**at)).count();
        match self.state {
            State::Open | State::Doubted { .. }
                if relayed >= MIN_TROUBLED.min(endpoints.max(1)) =>
            {
                Some(self.cut(now))
            }
            _ => None,
        }
    }

    /// Records that an endpoint answered through a relay.
    pub fn record_relayed_answer(&mut self, now: Moment) -> Option<Change> {
        match &mut self.state {
            State::Doubted { failed_probes, .. } if *failed_probes > 0 => Some(self.cut(now)),
            State::Doubted {
                has_relay_answered, ..
            } => {
                *has_relay_answered = true;
                None
            }
            _ => None,
        }
    }

    /// Records that an endpoint did not answer a direct probe, and in which way. Late answers alone
    /// isolate a host only after a longer silence.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Path, Trouble};
    /// # use kumquatdrum_types::Moment;
    ///
    /// let mut path = Path::default();
    /// let at = Moment::from_millis;
    /// for number in 0..2 {
    ///     path.record_trouble(at(5_000), EndpointKey(number), Trouble::Late, at(4_900), 3);
    /// }
    /// for millis in [5_200, 5_450, 5_700, 5_950] {
    ///     path.record_failed_probe(at(millis), Trouble::Late);
    /// }
    /// assert!(!path.is_isolated());
    /// path.record_failed_probe(at(6_500), Trouble::Late);
    /// assert!(path.is_isolated());
    /// ```
    pub fn record_failed_probe(&mut self, now: Moment, trouble: Trouble) -> Option<Change> {
        match &mut self.state {
            State::Doubted {
                has_relay_answered: true,
                ..
            } => Some(self.cut(now)),
            State::Doubted {
                since,
                failed_probes,
                ..
            } => {
                let may_be_silence = trouble == Trouble::Late && now - *since < ISOLATED_SILENCE;
                if !may_be_silence || *failed_probes + 1 < ISOLATED_PROBES {
                    *failed_probes += 1;
                }
                None
            }
            _ => None,
        }
    }

    fn cut(&mut self, now: Moment) -> Change {
        let since = match self.state {
            State::Doubted { since, .. } => since,
            _ => now,
        };
        self.state = State::Cut { since };
        Change::Cut
    }
}
