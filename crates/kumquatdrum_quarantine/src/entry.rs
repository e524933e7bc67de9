//! The evidence against one suspect.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::Block;
use crate::part::{self, Sighting};
use crate::suspect::{Crash, Incarnation, Origin, Probe, Subject, Suspect};

/// The score at which a request is blocked.
const BLOCKING_SCORE: u32 = 6;
/// The score of a crash before the first event of the answer.
const EARLY_SCORE: u32 = 2;
/// The score of a crash after the first event: the endpoint had begun to run the request and
/// survived it so far.
const LATE_SCORE: u32 = 1;
/// How long a crash is remembered. A request whose block has expired is blocked again by one more
/// crash within this time.
pub(crate) const RETENTION: Duration = Duration::from_secs(60 * 60);
/// How long a request stays blocked after its last crash.
const BLOCK_DURATION: Duration = Duration::from_secs(20 * 60);
/// The maximum number of probes remembered for a suspect.
const MAX_PROBES: usize = 8;
/// The maximum number of crashes remembered for a suspect.
const MAX_CRASHES: usize = 16;

/// The evidence against one suspect.
#[derive(Debug, Default)]
pub(crate) struct Entry {
    crashes: IndexMap<Incarnation, Observation>,
    probes: IndexMap<u64, Observation>,
    /// The number of changes of all evidence at the last change.
    pub(crate) changed: u64,
}

/// A crash or a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Observation {
    recorded_at: Moment,
    /// The age of the crash when it was recorded.
    initial_age: Duration,
    had_begun: bool,
    is_cleared: bool,
    origin: Option<Origin>,
    is_shared: bool,
}

impl Entry {
    pub(crate) fn merge(&mut self, now: Moment, crash: &Crash) -> bool {
        let received = Observation {
            recorded_at: now,
            initial_age: crash.age(),
            had_begun: crash.had_begun,
            is_cleared: crash.is_cleared,
            origin: crash.origin,
            is_shared: crash.is_shared,
        };
        let Some(known) = self.crashes.get_mut(&crash.endpoint) else {
            self.crashes.insert(crash.endpoint, received);
            self.drop_oldest(now);
            return self.crashes.contains_key(&crash.endpoint);
        };
        let before = *known;
        known.had_begun &= received.had_begun;
        known.is_cleared |= received.is_cleared;
        known.is_shared |= received.is_shared || known.origin != received.origin;
        known.origin = known.origin.min(received.origin);
        let has_changed = *known != before;
        if received.age(now) > known.age(now) {
            known.recorded_at = received.recorded_at;
            known.initial_age = received.initial_age;
        }
        has_changed
    }

    pub(crate) fn merge_probe(&mut self, now: Moment, probe: &Probe) -> bool {
        let received = Observation {
            initial_age: Duration::from_millis(probe.age_ms),
            is_cleared: probe.is_cleared,
            ..Observation::new(now)
        };
        let has_room = self.probes.len() < MAX_PROBES;
        match self.probes.get_mut(&probe.id) {
            Some(known) => {
                let has_changed = received.is_cleared && !known.is_cleared;
                known.is_cleared |= received.is_cleared;
                has_changed
            }
            None if has_room => {
                self.probes.insert(probe.id, received);
                true
            }
            None => false,
        }
    }

    /// Returns whether the request was in flight at all crashes of another one.
    pub(crate) fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter().filter(|(_, crash)| !crash.is_cleared);
        crashes.all(|(endpoint, _)| {
            let own = self.crashes.get(endpoint);
            own.is_some_and(|crash| !crash.is_cleared)
        })
    }

    /// Clears the suspect of the crashes known so far. Returns whether there were any.
    pub(crate) fn clear(&mut self) -> bool {
        let uncleared = self.crashes.values_mut().chain(self.probes.values_mut());
        let uncleared = uncleared.filter(|crash| !crash.is_cleared);
        uncleared.map(|crash| crash.is_cleared = true).count() > 0
    }

    pub(crate) fn add_probe(&mut self, now: Moment, id: u64) {
        self.probes.insert(id, Observation::new(now));
    }

    /// Forgets crashes older than the retention time. Returns whether any are left.
    pub(crate) fn expire(&mut self, now: Moment) -> bool {
        self.crashes.retain(|_, crash| crash.age(now) < RETENTION);
        !self.crashes.is_empty()
    }

    fn drop_oldest(&mut self, now: Moment) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let oldest = self.crashes.iter();
        let oldest = oldest.max_by_key(|(endpoint, crash)| (crash.age(now), **endpoint));
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.crashes.swap_remove(&endpoint);
        }
    }

    fn uncleared(&self) -> impl Iterator<Item = &Observation> {
        self.crashes.values().filter(|crash| !crash.is_cleared)
    }

    pub(crate) fn score(&self) -> u32 {
        let score = |crash: &Observation| {
            if crash.had_begun {
                LATE_SCORE
            } else {
                EARLY_SCORE
            }
        };
        self.uncleared().map(score).sum()
    }

    /// Returns the time since the last crash.
    pub(crate) fn age(&self, now: Moment) -> Duration {
        let ages = self.uncleared().map(|crash| crash.age(now));
        ages.min().unwrap_or(RETENTION)
    }

    pub(crate) fn block(&self, now: Moment, request: Subject) -> Option<Block> {
        let is_blocked = self.score() >= BLOCKING_SCORE;
        is_blocked.then(|| self.remaining_block(now, request))?
    }

    pub(crate) fn part_block(&self, now: Moment, part: Subject, workspace: u32) -> Option<Block> {
        let is_blocked = part::is_blocked(&self.sightings(now), workspace);
        is_blocked.then(|| self.remaining_block(now, part))?
    }

    pub(crate) fn block_of_any(&self, now: Moment, subject: Subject) -> Option<Block> {
        let Subject::Part(_) = subject else {
            return self.block(now, subject);
        };
        let sightings = self.sightings(now);
        let mut workspaces = sightings.iter().map(|one| one.origin.workspace);
        let is_blocked = workspaces.any(|workspace| part::is_blocked(&sightings, workspace));
        is_blocked.then(|| self.remaining_block(now, subject))?
    }

    fn sightings(&self, now: Moment) -> Vec<Sighting> {
        let sightings = self.uncleared().filter_map(|crash| {
            Some(Sighting {
                age: crash.age(now),
                origin: crash.origin?,
                is_shared: crash.is_shared,
            })
        });
        sightings.collect()
    }

    /// Returns the block on a subject that the evidence blocks, unless it has expired.
    fn remaining_block(&self, now: Moment, subject: Subject) -> Option<Block> {
        let remaining = BLOCK_DURATION.saturating_sub(self.age(now));
        (remaining > Duration::ZERO).then(|| Block {
            subject,
            crashes: self.uncleared().count(),
            remaining,
        })
    }

    /// Returns the time until the next probe, or `None` if there is none. `delays` are the times after
    /// the last crash or probe.
    pub(crate) fn probe_delay(&self, now: Moment, delays: &[Duration]) -> Option<Duration> {
        let sent = self.probes.values().filter(|probe| !probe.is_cleared);
        let ages: Vec<Duration> = sent.map(|probe| probe.age(now)).collect();
        let delay = delays.get(ages.len())?;
        let last = ages.into_iter().chain([self.age(now)]).min()?;
        Some(delay.saturating_sub(last))
    }

    pub(crate) fn suspect(&self, now: Moment, subject: Subject) -> Suspect {
        let crashes = self.crashes.iter().map(|(endpoint, crash)| Crash {
            endpoint: *endpoint,
            age_ms: crash.age(now).as_millis() as u64,
            had_begun: crash.had_begun,
            is_cleared: crash.is_cleared,
            origin: crash.origin,
            is_shared: crash.is_shared,
        });
        let probes = self.probes.iter().map(|(id, probe)| Probe {
            id: *id,
            age_ms: probe.age(now).as_millis() as u64,
            is_cleared: probe.is_cleared,
        });
        Suspect {
            subject,
            crashes: crashes.collect(),
            probes: probes.collect(),
        }
    }
}

impl Observation {
    fn new(now: Moment) -> Self {
        Self {
            recorded_at: now,
            initial_age: Duration::ZERO,
            had_begun: false,
            is_cleared: false,
            origin: None,
            is_shared: false,
        }
    }

    fn age(&self, now: Moment) -> Duration {
        self.initial_age + (now - self.recorded_at)
    }
}
