//! Reservation of several engines for a prompt that exceeds each of them: all or none.
//!
//! Engines are asked one after the other in one order that all owners share, so that two sets
//! never wait for each other in a circle. Whatever may have been reserved is released until the
//! engine confirms it or is gone.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{AttemptId, EndpointId, Moment};

/// How often an unanswered message is sent again, and a busy engine is asked again.
const RESEND: Duration = Duration::from_millis(500);
/// How long an engine keeps a reservation that is not renewed.
pub const TIME_TO_LIVE: Duration = Duration::from_secs(6);
/// How often a reservation is renewed.
const RENEWAL: Duration = Duration::from_secs(2);

/// An engine with the memory to reserve there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub engine: EndpointId,
    /// KV memory, in tokens.
    pub tokens: u64,
}

/// What to tell engines and the caller's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Reserve, or renew what is reserved; idempotent by attempt and engine.
    Reserve {
        /// The attempt.
        attempt: AttemptId,
        /// The engine with its part.
        reservation: Reservation,
        /// When the engine may drop it, if it is not renewed.
        time_to_live: Duration,
    },
    /// Release what may be reserved; idempotent by attempt and engine.
    Release {
        /// The attempt.
        attempt: AttemptId,
        /// The engine.
        engine: EndpointId,
    },
    /// All engines are reserved: the prompt may run.
    Ready(AttemptId),
    /// The reservation failed or was lost; what was reserved is being released.
    Failed(AttemptId),
}

/// An engine's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Reserved or renewed.
    Granted,
    /// No room now.
    Busy,
    /// Nothing is reserved any more.
    Released,
}

/// How one engine stands to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hold {
    /// Never asked.
    Free,
    /// Asked, not answered or busy.
    Asked,
    /// Reserved.
    Held,
    /// Possibly reserved, to be released.
    Releasing,
    /// The engine is gone, and its memory with it.
    Gone,
}

#[derive(Debug)]
struct Member {
    part: Reservation,
    hold: Hold,
    next: Moment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Ready,
    Over,
}

#[derive(Debug)]
struct Gang {
    members: Vec<Member>,
    phase: Phase,
    expires: Moment,
}

/// Splits a prompt over engines of the given memory, in their order and by their size. `None`
/// where they can't hold it together.
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
    let mut before = 0_u128;
    let mut given = 0_u64;
    let part = |&memory: &u64| {
        before += u128::from(memory);
        let until = (u128::from(tokens) * before).div_ceil(total.max(1)) as u64;
        let part = until - given;
        given = until;
        part
    };
    Some(memory.iter().map(part).collect())
}

/// All reservations of one owner.
///
/// ```
/// use kumquatdrum_routing::gang::{Reply, Output, Reservation, Reservations};
/// use kumquatdrum_types::Moment;
///
/// let now = Moment::ZERO;
/// let mut table = Reservations::default();
/// let part = Reservation { engine: "engine-1".into(), tokens: 600_000 };
/// let asked = table.begin(now, "host-1:7".into(), [part], Moment::from_millis(9_000));
/// assert!(matches!(asked[..], [Output::Reserve { .. }]));
/// let ready = table.handle_reply(now, &"host-1:7".into(), &"engine-1".into(), Reply::Granted);
/// assert_eq!(ready, [Output::Ready("host-1:7".into())]);
/// let released = table.end(now, &"host-1:7".into());
/// assert!(matches!(released[..], [Output::Release { .. }]));
/// assert!(!table.is_empty());
/// let _ = table.handle_reply(now, &"host-1:7".into(), &"engine-1".into(), Reply::Released);
/// assert!(table.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Reservations {
    gangs: IndexMap<AttemptId, Gang>,
}

impl Reservations {
    /// Begins to reserve; the parts are asked in the order of the engines' names. Unless all are
    /// reserved by `expires`, the attempt fails.
    #[must_use]
    pub fn begin(
        &mut self,
        now: Moment,
        attempt: AttemptId,
        parts: impl IntoIterator<Item = Reservation>,
        expires: Moment,
    ) -> Vec<Output> {
        let mut members: Vec<Member> = parts.into_iter().map(Member::new).collect();
        members.sort_by(|a, b| a.part.engine.cmp(&b.part.engine));
        let gang = Gang {
            members,
            phase: Phase::Reserving,
            expires,
        };
        self.gangs.insert(attempt.clone(), gang);
        self.advance(now, &attempt)
    }

    /// Takes in an engine's answer. A grant that nobody waits for is released.
    #[must_use]
    pub fn handle_reply(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
        answer: Reply,
    ) -> Vec<Output> {
        let member = self
            .gangs
            .get_mut(attempt)
            .and_then(|gang| gang.member(engine));
        match (member, answer) {
            (Some(member), Reply::Granted) if member.hold == Hold::Asked => {
                member.hold = Hold::Held;
                member.next = now + RENEWAL;
            }
            (Some(member), Reply::Busy) if member.hold == Hold::Asked => {
                member.next = now + RESEND;
            }
            (Some(member), Reply::Released) if member.hold == Hold::Releasing => {
                member.hold = Hold::Free;
            }
            // The engine has dropped what was reserved; without all parts there is nothing.
            (Some(member), Reply::Busy | Reply::Released) if member.hold == Hold::Held => {
                member.hold = Hold::Free;
                return self.fail(now, attempt);
            }
            (Some(member), Reply::Granted)
                if matches!(member.hold, Hold::Free | Hold::Releasing | Hold::Gone) =>
            {
                member.hold = Hold::Releasing;
                member.next = now;
            }
            (None, Reply::Granted) => return self.release_unknown(now, attempt, engine),
            _ => {}
        }
        self.advance(now, attempt)
    }

    /// The engine is dead, and so is what it held. A new life holds nothing.
    #[must_use]
    pub fn remove_engine(&mut self, now: Moment, engine: &EndpointId) -> Vec<Output> {
        let mut touched = Vec::new();
        for (attempt, gang) in &mut self.gangs {
            if let Some(member) = gang.member(engine) {
                member.hold = Hold::Gone;
                touched.push(attempt.clone());
            }
        }
        let fail = |attempt| self.fail(now, attempt);
        touched.iter().flat_map(fail).collect()
    }

    /// Ends an attempt, finished or given up: all is released.
    #[must_use]
    pub fn end(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        if let Some(gang) = self.gangs.get_mut(attempt) {
            gang.release(now);
        }
        self.advance(now, attempt)
    }

    /// Releases what a dead owner may have reserved at an engine.
    #[must_use]
    pub fn take_over(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
    ) -> Vec<Output> {
        self.release_unknown(now, attempt, engine)
    }

    /// Sends again what was not answered, renews, and gives up what has expired.
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

    /// When to call [`Reservations::tick`] at the latest.
    pub fn next_wake(&self) -> Moment {
        let wakes = self.gangs.values().map(Gang::next_wake);
        wakes.min().unwrap_or(Moment::NEVER)
    }

    /// Whether an attempt holds a reservation, or may hold one until its release is confirmed.
    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.gangs.contains_key(attempt)
    }

    /// Whether nothing is reserved and nothing is left to release.
    pub fn is_empty(&self) -> bool {
        self.gangs.is_empty()
    }

    fn fail(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some(gang) = self.gangs.get_mut(attempt) {
            if gang.phase != Phase::Over {
                outputs.push(Output::Failed(attempt.clone()));
            }
            gang.release(now);
        }
        outputs.extend(self.advance(now, attempt));
        outputs
    }

    fn release_unknown(
        &mut self,
        now: Moment,
        attempt: &AttemptId,
        engine: &EndpointId,
    ) -> Vec<Output> {
        let gang = self.gangs.entry(attempt.clone()).or_insert(Gang {
            members: Vec::new(),
            phase: Phase::Over,
            expires: now,
        });
        match gang.member(engine) {
            // It was released before, and may have been granted since.
            Some(member) if matches!(member.hold, Hold::Free | Hold::Gone) => {
                member.hold = Hold::Releasing;
                member.next = now;
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
        let mut outputs = gang.messages(now, attempt);
        if gang.phase == Phase::Reserving && gang.is_whole() {
            gang.phase = Phase::Ready;
            outputs.push(Output::Ready(attempt.clone()));
        }
        if gang.phase == Phase::Over && gang.is_released() {
            self.gangs.swap_remove(attempt);
        }
        outputs
    }
}

impl Member {
    const fn new(part: Reservation) -> Self {
        Self {
            part,
            hold: Hold::Free,
            next: Moment::ZERO,
        }
    }

    fn releasing(engine: &EndpointId) -> Self {
        Self {
            hold: Hold::Releasing,
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
        members.find(|member| member.part.engine == *engine)
    }

    fn is_whole(&self) -> bool {
        self.members.iter().all(|member| member.hold == Hold::Held)
    }

    fn is_released(&self) -> bool {
        let mut members = self.members.iter();
        members.all(|member| matches!(member.hold, Hold::Free | Hold::Gone))
    }

    fn release(&mut self, now: Moment) {
        self.phase = Phase::Over;
        for member in &mut self.members {
            if matches!(member.hold, Hold::Asked | Hold::Held) {
                member.hold = Hold::Releasing;
                member.next = now;
            }
        }
    }

    fn messages(&mut self, now: Moment, attempt: &AttemptId) -> Vec<Output> {
        self.ask_next(now);
        let mut outputs = Vec::new();
        for member in self.members.iter_mut().filter(|member| member.next <= now) {
            match member.hold {
                Hold::Free | Hold::Gone => continue,
                Hold::Asked | Hold::Held => outputs.push(Output::Reserve {
                    attempt: attempt.clone(),
                    reservation: member.part.clone(),
                    time_to_live: TIME_TO_LIVE,
                }),
                Hold::Releasing => outputs.push(Output::Release {
                    attempt: attempt.clone(),
                    engine: member.part.engine.clone(),
                }),
            }
            let pause = if member.hold == Hold::Held {
                RENEWAL
            } else {
                RESEND
            };
            member.next = now + pause;
        }
        outputs
    }

    /// Asks the first engine that is not yet held, once all before it are.
    fn ask_next(&mut self, now: Moment) {
        let is_open = self.phase == Phase::Reserving;
        let mut members = self.members.iter_mut();
        let next = members.find(|member| member.hold != Hold::Held);
        if let Some(member) = next.filter(|member| is_open && member.hold == Hold::Free) {
            member.hold = Hold::Asked;
            member.next = now;
        }
    }

    fn next_wake(&self) -> Moment {
        let busy = self
            .members
            .iter()
            .filter(|member| !matches!(member.hold, Hold::Free | Hold::Gone));
        let next = busy.map(|member| member.next).min();
        let next = next.unwrap_or(Moment::NEVER);
        if self.phase == Phase::Reserving {
            next.min(self.expires)
        } else {
            next
        }
    }
}
