//! Reserves several engines for a prompt that exceeds the memory of each: all of them or none.
//!
//! Engines are reserved one by one in an order common to all owners, which prevents deadlocks. The
//! release of a reservation that may exist is repeated until the engine confirms it or is gone.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{AttemptId, EndpointId, Moment};

/// The interval for repeating unanswered messages and requests to busy engines.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// How long an engine keeps a reservation without renewal.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(6);
/// The interval for renewing reservations.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// An engine and the memory to reserve on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub engine: EndpointId,
    /// The KV memory, in tokens.
    pub tokens: u64,
}

/// Messages to engines and results for the dispatching side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Make or renew a reservation; idempotent by attempt and engine.
    Reserve {
        /// The attempt.
        attempt: AttemptId,
        /// The engine and the memory to reserve.
        reservation: Reservation,
        /// How long the engine keeps the reservation without renewal.
        time_to_live: Duration,
    },
    /// Release a reservation that may exist; idempotent by attempt and engine.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EndpointId,
    },
    /// All engines are reserved; the prompt can be dispatched.
    Ready(AttemptId),
    /// The reservation failed or was lost, and is being released.
    Failed(AttemptId),
}

/// An engine's reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The reservation was made or renewed.
    Granted,
    /// The engine has not enough free memory.
    Busy,
    /// The engine holds no reservation for the attempt.
    Released,
}

/// The state of one engine's reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Not requested yet, or released.
    Free,
    /// Requested, and not granted so far.
    Requested,
    Reserved,
    /// Possibly reserved, and being released.
    Releasing,
    /// The engine is gone, together with the reservation.
    Gone,
}

/// The reservation on one engine and the time of the next message about it.
#[derive(Debug)]
struct Member {
    reservation: Reservation,
    state: State,
    next_message: Moment,
}

/// The state of all reservations of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Ready,
    Ended,
}

/// The reservations of one attempt.
#[derive(Debug)]
struct Gang {
    members: Vec<Member>,
    phase: Phase,
    expires: Moment,
}

/// Splits a prompt over engines in proportion to their memory, in the given order. Returns `None`
/// if they cannot hold it together.
///
/// ```
/// use kumquatdrum_routing::gang::split;
/// assert_eq!(split(600, &[400, 400]), Some(vec![300, 300]));
/// assert_eq!(split(900, &[400, 400]), None);
/// ```
pub fn split(tokens: u64, memory: &[u64]) -> Option<Vec<u64>> {
    let total = memory.iter().map(|&part| u128::from(part)).sum::<u128>();
    if u128::from(tokens) > total {
        return None;
    }
    let mut memory_before = 0_u128;
    let mut assigned = 0_u64;
    let part = |&memory: &u64| {
        memory_before += u128::from(memory);
        let assigned_until = (u128::from(tokens) * memory_before).div_ceil(total.max(1)) as u64;
        let part = assigned_until - assigned;
        assigned = assigned_until;
        part
    };
    Some(memory.iter().map(part).collect())
}

/// The reservations of one owner.
///
/// ```
/// use kumquatdrum_routing::gang::{Output, Reply, Reservation, Reservations};
/// use kumquatdrum_types::Moment;
///
/// let now = Moment::ZERO;
/// let mut reservations = Reservations::default();
/// let reservation = Reservation { engine: "engine-1".into(), tokens: 600_000 };
/// let expires = Moment::from_millis(9_000);
/// let asked = reservations.begin(now, "host-1:7".into(), [reservation], expires);
/// assert!(matches!(asked[..], [Output::Reserve { .. }]));
/// let (attempt, engine) = ("host-1:7".into(), "engine-1".into());
/// let ready = reservations.handle_reply(now, &attempt, &engine, Reply::Granted);
/// assert_eq!(ready, [Output::Ready("host-1:7".into())]);
/// let released = reservations.end(now, &attempt);
/// assert!(matches!(released[..], [Output::Release { .. }]));
/// assert!(!reservations.is_empty());
/// let _ = reservations.handle_reply(now, &attempt, &engine, Reply::Released);
/// assert!(reservations.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Reservations {
    gangs: IndexMap<AttemptId, Gang>,
}

impl Reservations {
    /// Starts to reserve engines, in the order of their names. The attempt fails unless all are
    /// reserved by `expires`.
    #[must_use]
    pub fn begin(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        reservations: impl IntoIterator<Item = Reservation>,
        expires: Moment,
    ) -> Vec<Output> {
        let mut members: Vec<Member> = reservations.into_iter().map(Member::new).collect();
        members.sort_by(|a, b| a.reservation.engine.cmp(&b.reservation.engine));
        let gang = Gang {
            members,
            phase: Phase::Reserving,
            expires,
        };
        self.gangs.insert(attempt.clone(), gang);
        self.advance(now, &attempt)
    }

    /// Handles an engine's reply. An unexpected grant is released.
    #[must_use]
    pub fn handle_reply(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
        reply: Reply,
    ) -> Vec<Output> {
        let member = self
            .gangs
            .get_mut(attempt)
            .and_then(|gang| gang.member(engine));
        match (member, reply) {
            (Some(member), Reply::Granted) if member.state == State::Requested => {
                member.state = State::Reserved;
                member.next_message = now + RENEWAL_INTERVAL;
            }
            (Some(member), Reply::Busy) if member.state == State::Requested => {
                member.next_message = now + RESEND_INTERVAL;
            }
            (Some(member), Reply::Released) if member.state == State::Releasing => {
                member.state = State::Free;
            }
            // The engine dropped the reservation, and the prompt needs all of them.
            (Some(member), Reply::Busy | Reply::Released) if member.state == State::Reserved => {
                member.state = State::Free;
                return self.fail(now, attempt);
            }
            (Some(member), Reply::Granted)
                if matches!(member.state, State::Free | State::Releasing | State::Gone) =>
            {
                member.state = State::Releasing;
                member.next_message = now;
            }
            (None, Reply::Granted) => return self.ensure_release(now, attempt, engine),
            _ => {}
        }
        self.advance(now, attempt)
    }

    /// Drops the reservations of an engine that is gone. Its next incarnation starts without any.
    #[must_use]
    pub fn remove_engine(&mut self, now: Moment, engine: &EndpointId) -> Vec<Output> {
        let mut affected = Vec::new();
        for (attempt, gang) in &mut self.gangs {
            if let Some(member) = gang.member(engine) {
                member.state = State::Gone;
                affected.push(attempt.clone());
            }
        }
        let fail = |attempt| self.fail(now, attempt);
        affected.iter().flat_map(fail).collect()
    }

    /// Ends an attempt and releases its engines.
    #[must_use]
    pub fn end(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        if let Some(gang) = self.gangs.get_mut(attempt) {
            gang.release(now);
        }
        self.advance(now, attempt)
    }

    /// Releases a reservation that the failed owner of an attempt may have made on an engine.
    #[must_use]
    pub fn release_orphan(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
    ) -> Vec<Output> {
        self.ensure_release(now, attempt, engine)
    }

    /// Repeats unanswered messages, renews reservations, and fails expired attempts.
    #[must_use]
    pub fn tick(&mut self, now: Moment) -> Vec<Output> {
        let attempts: Vec<AttemptId> = self.gangs.keys().cloned().collect();
        let mut outputs = Vec::new();
        for attempt in &attempts {
            let gang = &self.gangs[attempt];
            if gang.phase == Phase::Reserving && gang.expires <= now {
                outputs.extend(self.fail(now, attempt));
            } else {
                outputs.extend(self.advance(now, attempt));
            }
        }
        outputs
    }

    /// Returns when to call [`Reservations::tick`] at the latest.
    pub fn next_tick(&self) -> Moment {
        let ticks = self.gangs.values().map(Gang::next_tick);
        ticks.min().unwrap_or(Moment::NEVER)
    }

    /// Returns whether an attempt has, or may have, a reservation.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.gangs.contains_key(attempt)
    }

    /// Returns whether no reservation exists and no release is pending.
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    fn fail(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some(gang) = self.gangs.get_mut(attempt) {
            if gang.phase != Phase::Ended {
                outputs.push(Output::Failed(attempt.clone()));
            }
            gang.release(now);
        }
        outputs.extend(self.advance(now, attempt));
        outputs
    }

    fn ensure_release(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
    ) -> Vec<Output> {
        let gang = self.gangs.entry(attempt.clone()).or_insert(Gang {
            members: Vec::new(),
            phase: Phase::Ended,
            expires: now,
        });
        match gang.member(engine) {
            // The engine may have granted a request after the release.
            Some(member) if matches!(member.state, State::Free | State::Gone) => {
                member.state = State::Releasing;
                member.next_message = now;
            }
            Some(_) => {}
            None => gang.members.push(Member::releasing(engine)),
        }
        self.advance(now, attempt)
    }

    fn advance(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        let Some(gang) = self.gangs.get_mut(attempt) else {
            return Vec::new();
        };
        let mut outputs = gang.due_messages(now, attempt);
        if gang.phase == Phase::Reserving && gang.is_reserved() {
            gang.phase = Phase::Ready;
            outputs.push(Output::Ready(attempt.clone()));
        }
        if gang.phase == Phase::Ended && gang.is_released() {
            self.gangs.swap_remove(attempt);
        }
        outputs
    }
}

impl Member {
    const fn new(reservation: Reservation) -> Self {
        Self {
            reservation,
            state: State::Free,
            next_message: Moment::ZERO,
        }
    }

    fn releasing(engine: &EndpointId) -> Self {
        Self {
            state: State::Releasing,
            ..Self::new(Reservation {
                engine: engine.clone(),
                tokens: 0,
            })
        }
    }
}

impl Gang {
    fn member(&mut self, engine: &EndpointId) -> Option<&mut Member> {
        let mut members = self.members.iter_mut();
        members.find(|member| member.reservation.engine == *engine)
    }

    fn is_reserved(&self) -> bool {
        self.members
            .iter()
            .all(|member| member.state == State::Reserved)
    }

    fn is_released(&self) -> bool {
        let mut members = self.members.iter();
        members.all(|member| matches!(member.state, State::Free | State::Gone))
    }

    fn release(&mut self, now: Moment) {
        self.phase = Phase::Ended;
        for member in &mut self.members {
            if matches!(member.state, State::Requested | State::Reserved) {
                member.state = State::Releasing;
                member.next_message = now;
            }
        }
    }

    fn due_messages(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        self.request_next(now);
        let mut outputs = Vec::new();
        for member in self
            .members
            .iter_mut()
            .filter(|member| member.next_message <= now)
        {
            match member.state {
                State::Free | State::Gone => continue,
                State::Requested | State::Reserved => outputs.push(Output::Reserve {
                    attempt: attempt.clone(),
                    reservation: member.reservation.clone(),
                    time_to_live: TIME_TO_LIVE,
                }),
                State::Releasing => outputs.push(Output::Release {
                    attempt: attempt.clone(),
                    engine: member.reservation.engine.clone(),
                }),
            }
            let interval = if member.state == State::Reserved {
                RENEWAL_INTERVAL
            } else {
                RESEND_INTERVAL
            };
            member.next_message = now + interval;
        }
        outputs
    }

    /// Requests the next reservation, if all engines before it are reserved.
    fn request_next(&mut self, now: Moment) {
        let is_reserving = self.phase == Phase::Reserving;
        let mut members = self.members.iter_mut();
        let next = members.find(|member| member.state != State::Reserved);
        if let Some(member) = next.filter(|member| is_reserving && member.state == State::Free) {
            member.state = State::Requested;
            member.next_message = now;
        }
    }

    fn next_tick(&self) -> Moment {
        let active = self
            .members
            .iter()
            .filter(|member| !matches!(member.state, State::Free | State::Gone));
        let next = active.map(|member| member.next_message).min();
        let next = next.unwrap_or(Moment::NEVER);
        if self.phase == Phase::Reserving {
            next.min(self.expires)
        } else {
            next
        }
    }
}
