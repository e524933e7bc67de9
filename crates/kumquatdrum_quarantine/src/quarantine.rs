//! The requests that were in flight at endpoints when these crashed.
//!
//! Every request in flight at a crash is a suspect, since a crash does not tell which request caused
//! it. A request that is in flight at several crashes and never completes is blocked.
//!
//! A bystander of the same crashes, of which no copy is left to complete, is probed: a copy is sent
//! to find out whether it completes.
//!
//! The evidence is a set of crashes for each request, identified by the endpoint's incarnation.
//! Hosts merge each other's sets in any order and any number of times with the same result.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::suspect::{Crash, Incarnation, Probe, Suspect};
use crate::{Block, Fingerprint};

/// The score at which a request is blocked.
const BLOCKING_SCORE: u32 = 6;
/// The score of a crash before the first event of the answer.
const EARLY_SCORE: u32 = 2;
/// The score of a crash after the first event: the endpoint had begun to run the request and
/// survived it so far.
const LATE_SCORE: u32 = 1;
/// How long a request stays blocked after its last crash.
const BLOCK_DURATION: Duration = Duration::from_secs(20 * 60);
/// How long a crash is remembered. A request whose block has expired is blocked again by one more
/// crash within this time.
const RETENTION: Duration = Duration::from_secs(60 * 60);
/// The time after the last crash or probe before a first and a second probe.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];
/// The maximum number of suspects.
const MAX_SUSPECTS: usize = 1_024;
/// The maximum number of probes remembered for a suspect.
const MAX_PROBES: usize = 8;
/// The maximum number of crashes remembered for a suspect.
const MAX_CRASHES: usize = 16;

/// Tracks suspects and decides which are blocked.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Fingerprint, Entry>,
    /// The number of changes so far, used as the version of the evidence.
    changes: u64,
}

#[derive(Debug, Default)]
struct Entry {
    crashes: IndexMap<Incarnation, Observation>,
    probes: IndexMap<u64, Observation>,
    /// The value of [`Quarantine::changes`] at the last change.
    changed: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Observation {
    recorded_at: Moment,
    /// The age of the crash when it was recorded.
    initial_age: Duration,
    had_begun: bool,
    is_cleared: bool,
}

impl Quarantine {
    /// Records that a request was in flight at an endpoint that crashed. `had_begun` states whether
    /// the first event of the answer had arrived. Returns the suspect if that is new entry.
    ///
    /// ```
    /// use kumquatdrum_quarantine::{Fingerprint, Incarnation, Quarantine};
    /// # use kumquatdrum_types::Moment;
    ///
    /// let request = Fingerprint::of("POST", "/check/", None, b"text");
    /// let (now, mut quarantine) = (Moment::ZERO, Quarantine::default());
    /// for endpoint in 1..=3 {
    ///     assert!(quarantine.block(now, request).is_none());
    ///     quarantine.record_crash(now, request, Incarnation(endpoint), false);
    /// }
    /// assert_eq!(quarantine.block(now, request).expect("a block").crashes, 3);
    /// ```
    pub fn record_crash(
        &mut self,
        now: Moment,
        request: Fingerprint,
        endpoint: Incarnation,
        had_begun: bool,
    ) -> Option<Suspect> {
        let crash = Crash {
            endpoint,
            age_ms: 0,
            had_begun,
            is_cleared: false,
        };
        let suspect = Suspect {
            request,
            crashes: vec![crash],
            probes: Vec::new(),
        };
        let is_new = self.merge(now, suspect);
        is_new.then(|| self.find(now, request)).flatten()
    }

    /// Records that a request has run to completion, which clears it of the crashes known so far.
    /// Returns the suspect if any was not cleared before.
    pub fn record_completion(&mut self, now: Moment, request: Fingerprint) -> Option<Suspect> {
        let entry = self.suspects.get_mut(&request)?;
        let uncleared = entry.crashes.values_mut().chain(entry.probes.values_mut());
        let uncleared = uncleared.filter(|crash| !crash.is_cleared);
        let cleared = uncleared.map(|crash| crash.is_cleared = true).count();
        if cleared == 0 {
            return None;
        }
        self.changes += 1;
        entry.changed = self.changes;
        self.find(now, request)
    }

    /// Merges another host's evidence about a request. Returns whether it contains anything new.
    pub fn merge(&mut self, now: Moment, suspect: Suspect) -> bool {
        self.expire(now);
        let crashes = suspect.crashes.into_iter();
        let mut recent = crashes.filter(|crash| crash.age() < RETENTION).peekable();
        if recent.peek().is_none() {
            return false;
        }
        let entry = self.suspects.entry(suspect.request).or_default();
        let mut has_changed = false;
        for crash in recent {
            has_changed |= entry.merge(now, &crash);
        }
        for probe in suspect.probes {
            has_changed |= entry.merge_probe(now, &probe);
        }
        if has_changed {
            self.changes += 1;
            entry.changed = self.changes;
            self.evict(now, suspect.request);
        }
        has_changed
    }

    /// Returns the block on a request, or `None` if it may be sent.
    pub fn block(&self, now: Moment, request: Fingerprint) -> Option<Block> {
        self.suspects.get(&request)?.block(now)
    }

    /// Decides whether to send a copy of a blocked request as a probe, with a new id. Only requests
    /// whose crashes another blocked request explains are probed, a limited number of times.
    /// Returns the suspect if the copy is to be sent.
    pub fn try_probe(&mut self, now: Moment, request: Fingerprint, id: u64) -> Option<Suspect> {
        let entry = self.suspects.get(&request)?;
        entry.block(now)?;
        let sent = entry.probes.values().filter(|probe| !probe.is_cleared);
        let ages: Vec<Duration> = sent.map(|probe| probe.age(now)).collect();
        let delay = PROBE_DELAYS.get(ages.len())?;
        let is_due = ages
            .into_iter()
            .chain([entry.age(now)])
            .all(|age| age >= *delay);
        let mut others = self.suspects.iter().filter(|(other, _)| **other != request);
        let is_explained =
            others.any(|(_, other)| other.block(now).is_some() && other.explains(entry));
        if !is_due || !is_explained {
            return None;
        }
        let entry = self.suspects.get_mut(&request)?;
        entry.probes.insert(id, Observation::new(now));
        self.changes += 1;
        entry.changed = self.changes;
        self.find(now, request)
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of changes so far.
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the number of blocked requests.
    pub fn count_blocked(&self, now: Moment) -> usize {
        let blocked = self.suspects.values();
        blocked.filter(|entry| entry.block(now).is_some()).count()
    }

    /// Returns up to `limit` suspects that have changed since a version, in the order of their
    /// changes, and the version that they lead to.
    pub fn changed_since(&self, now: Moment, version: u64, limit: usize) -> (Vec<Suspect>, u64) {
        let changed = self.suspects.iter();
        let mut changed: Vec<_> = changed
            .filter(|(_, entry)| entry.changed > version)
            .collect();
        if changed.is_empty() {
            return (Vec::new(), self.changes);
        }
        changed.sort_by_key(|(_, entry)| entry.changed);
        let is_complete = changed.len() <= limit;
        changed.truncate(limit);
        let last = changed.last().map_or(version, |(_, entry)| entry.changed);
        let suspects = changed.into_iter();
        let suspects = suspects.map(|(request, entry)| entry.suspect(now, *request));
        (
            suspects.collect(),
            if is_complete { self.changes } else { last },
        )
    }

    /// Forgets crashes older than the retention time, and suspects without crashes.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, entry| {
            entry.crashes.retain(|_, crash| crash.age(now) < RETENTION);
            !entry.crashes.is_empty()
        });
    }

    fn find(&self, now: Moment, request: Fingerprint) -> Option<Suspect> {
        let entry = self.suspects.get(&request)?;
        Some(entry.suspect(now, request))
    }

    /// Removes the least suspicious request other than `newest` if there are too many.
    fn evict(&mut self, now: Moment, newest: Fingerprint) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let others = self
            .suspects
            .iter()
            .filter(|(request, _)| **request != newest);
        let least = others.min_by_key(|(request, entry)| {
            (entry.score(), std::cmp::Reverse(entry.age(now)), **request)
        });
        if let Some(request) = least.map(|(request, _)| *request) {
            self.suspects.swap_remove(&request);
        }
    }
}

impl Entry {
    fn merge(&mut self, now: Moment, crash: &Crash) -> bool {
        let received = Observation {
            recorded_at: now,
            initial_age: crash.age(),
            had_begun: crash.had_begun,
            is_cleared: crash.is_cleared,
        };
        let Some(known) = self.crashes.get_mut(&crash.endpoint) else {
            self.crashes.insert(crash.endpoint, received);
            self.drop_oldest(now);
            return self.crashes.contains_key(&crash.endpoint);
        };
        let before = *known;
        known.had_begun &= received.had_begun;
        known.is_cleared |= received.is_cleared;
        let has_changed = *known != before;
        if received.age(now) > known.age(now) {
            known.recorded_at = received.recorded_at;
            known.initial_age = received.initial_age;
        }
        has_changed
    }

    fn merge_probe(&mut self, now: Moment, probe: &Probe) -> bool {
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
    fn explains(&self, other: &Self) -> bool {
        let mut crashes = other.crashes.iter().filter(|(_, crash)| !crash.is_cleared);
        crashes.all(|(endpoint, _)| {
            let own = self.crashes.get(endpoint);
            own.is_some_and(|crash| !crash.is_cleared)
        })
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

    fn score(&self) -> u32 {
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
    fn age(&self, now: Moment) -> Duration {
        let ages = self.uncleared().map(|crash| crash.age(now));
        ages.min().unwrap_or(RETENTION)
    }

    fn block(&self, now: Moment) -> Option<Block> {
        let remaining = BLOCK_DURATION.saturating_sub(self.age(now));
        let is_blocked = self.score() >= BLOCKING_SCORE && remaining > Duration::ZERO;
        is_blocked.then(|| Block {
            crashes: self.uncleared().count(),
            remaining,
        })
    }

    fn suspect(&self, now: Moment, request: Fingerprint) -> Suspect {
        let crashes = self.crashes.iter().map(|(endpoint, crash)| Crash {
            endpoint: *endpoint,
            age_ms: crash.age(now).as_millis() as u64,
            had_begun: crash.had_begun,
            is_cleared: crash.is_cleared,
        });
        let probes = self.probes.iter().map(|(id, probe)| Probe {
            id: *id,
            age_ms: probe.age(now).as_millis() as u64,
            is_cleared: probe.is_cleared,
        });
        Suspect {
            request,
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
        }
    }

    fn age(&self, now: Moment) -> Duration {
        self.initial_age + (now - self.recorded_at)
    }
}
