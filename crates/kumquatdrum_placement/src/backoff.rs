//! Back-offs that endpoints request of this host.
//!
//! An endpoint that has too much to do rejects a request and asks the host for no further ones for
//! some time. It has not failed: it gets nothing until then, and its share again afterwards. The
//! load: an overloaded service rejects the requests of many hosts, so that back-offs end at about
//! the same time and many jobs wait for it. Hosts spread the ends, and each host increases its
//! requests step by step.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, hash};

use crate::EndpointKey;

/// The longest back-off, so that an invalid value does not exclude an endpoint for good.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// The longest time by which a host extends a back-off to spread the ends.
const MAX_SPREAD: Duration = Duration::from_millis(250);
/// The share of a back-off by which a host extends it at most.
const SPREAD_SHARE: f64 = 0.125;
/// The number of unanswered requests that a recovering endpoint may have at first. Each response
/// allows one more.
const INITIAL_WINDOW: u32 = 1;
/// The number of unanswered requests at which an endpoint has recovered.
const RECOVERED_WINDOW: u32 = 16;
/// The time after which an unanswered request no longer delays others to a recovering endpoint.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which a back-off of an endpoint that gets no requests is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The back-offs that are in force on this host, and the endpoints that recover from one.
#[derive(Debug)]
pub struct Backoffs {
    local: u32,
    states: IndexMap<EndpointKey, State>,
}

#[derive(Debug, Clone, Copy)]
struct State {
    until: Moment,
    /// The number of unanswered requests allowed after the back-off.
    window: u32,
    unanswered: u32,
    admitted_at: Moment,
}

impl Backoffs {
    /// Creates the state of the host with this number, without back-offs.
    pub fn new(local: u32) -> Self {
        Self {
            local,
            states: IndexMap::new(),
        }
    }

    /// Returns whether no endpoint is in a back-off or recovers from one.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Records that an endpoint requests a back-off. Of several back-offs the one that ends last
    /// holds, since responses overtake each other. Returns when the back-off ends, or `None` if the
    /// response asks for none.
    ///
    /// ```
    /// use kumquatdrum_placement::{Backoffs, EndpointKey};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let (key, now) = (EndpointKey(1), Moment::from_millis(1_000));
    /// let mut backoffs = Backoffs::new(7);
    /// backoffs.request(now, key, Duration::from_secs(2));
    /// assert!(backoffs.end(now + Duration::from_millis(1_999), key).is_some());
    /// assert!(backoffs.end(now + Duration::from_millis(2_250), key).is_none());
    /// ```
    pub fn request(&mut self, now: Moment, key: EndpointKey, delay: Duration) -> Option<Moment> {
        if delay.is_zero() {
            return None;
        }
        self.forget_old(now);
        let delay = delay.min(MAX_BACKOFF);
        let until = now + delay + self.spread(key, delay);
        let state = self.states.entry(key).or_insert(State::new(until));
        *state = State::new(until.max(state.until));
        Some(state.until)
    }

    /// Returns the end of an endpoint's back-off, if it is in one.
    pub fn end(&self, now: Moment, key: EndpointKey) -> Option<Moment> {
        let state = self.states.get(&key);
        let until = state.map(|state| state.until);
        until.filter(|until| now < *until)
    }

    /// Returns until when an endpoint gets no further request: until the end of its back-off or,
    /// while it recovers, the time by which it should have answered.
    ///
    /// ```
    /// use kumquatdrum_placement::{Backoffs, EndpointKey};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let (key, now) = (EndpointKey(1), Moment::from_millis(1_000));
    /// let mut backoffs = Backoffs::new(7);
    /// let until = backoffs.request(now, key, Duration::from_secs(2)).expect("a back-off");
    /// assert_eq!(backoffs.held_until(until, key), None);
    /// // One request finds out whether the endpoint has recovered.
    /// backoffs.admit(until, key);
    /// assert!(backoffs.held_until(until, key).is_some());
    /// ```
    pub fn held_until(&self, now: Moment, key: EndpointKey) -> Option<Moment> {
        let state = self.states.get(&key)?;
        let answered_by = state.admitted_at + RESPONSE_TIMEOUT;
        match state {
            state if now < state.until => Some(state.until),
            state if state.unanswered >= state.window && now < answered_by => Some(answered_by),
            _ => None,
        }
    }

    /// Returns whether an endpoint's back-off has ended and the endpoint may still reject requests.
    pub fn is_recovering(&self, now: Moment, key: EndpointKey) -> bool {
        let state = self.states.get(&key);
        state.is_some_and(|state| now >= state.until)
    }

    /// Records a request that is about to be sent to an endpoint.
    pub fn admit(&mut self, now: Moment, key: EndpointKey) {
        if let Some(state) = self.states.get_mut(&key) {
            state.unanswered += 1;
            state.admitted_at = now;
        }
    }

    /// Records a response that requests no back-off. It does not end one: the request may have been
    /// sent before.
    pub fn record_response(&mut self, now: Moment, key: EndpointKey) {
        let Some(state) = self.states.get_mut(&key).filter(|state| now >= state.until) else {
            return;
        };
        state.unanswered = state.unanswered.saturating_sub(1);
        state.window += 1;
        if state.window >= RECOVERED_WINDOW {
            self.states.swap_remove(&key);
        }
    }

    fn forget_old(&mut self, now: Moment) {
        self.states
            .retain(|_, state| now < state.until + FORGET_AFTER);
    }

    /// Returns the time by which this host extends a back-off.
    fn spread(&self, key: EndpointKey, delay: Duration) -> Duration {
        let hash = hash::mix(key.0 ^ hash::mix(u64::from(self.local)));
        let fraction = (hash >> 32) as f64 / f64::from(u32::MAX);
        let longest = MAX_SPREAD.min(delay.mul_f64(SPREAD_SHARE));
        longest.mul_f64(fraction.min(1.0))
    }
}

impl State {
    const fn new(until: Moment) -> Self {
        Self {
            until,
            window: INITIAL_WINDOW,
            unanswered: 0,
            admitted_at: Moment::ZERO,
        }
    }
}
