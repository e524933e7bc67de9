//! The requests, and the parts of their prompts, that were in flight at endpoints when these crashed.
//!
//! Every request in flight at a crash is a suspect, since a crash does not tell which request caused
//! it, and so is each part of its prompt. A request that is in flight at several crashes and never
//! completes is blocked. So is a part: see the module `part`.
//!
//! A bystander of the same crashes, of which no copy is left to complete, is probed: a copy is sent
//! to find out whether it completes.
//!
//! The evidence is a set of crashes for each suspect, identified by the endpoint's incarnation.
//! Hosts merge each other's sets in any order and any number of times with the same result.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::entry::{Entry, RETENTION};
use crate::suspect::{Crash, Incarnation, Subject, Suspect};
use crate::{Block, Fingerprint, Identity, SURVIVAL_TIME};

/// The time after the last crash or probe before a first and a second probe.
const PROBE_DELAYS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(10)];
/// The same for parts. The first probe comes early, since parts of sound prompts are blocked as well
/// if all endpoints of a service end one after another.
const PART_PROBE_DELAYS: [Duration; 3] = [
    Duration::from_millis(500),
    Duration::from_secs(10),
    Duration::from_secs(60),
];
/// The maximum number of suspects of either kind.
const MAX_SUSPECTS: usize = 1_024;

/// Tracks suspects and decides which are blocked.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: IndexMap<Subject, Entry>,
    /// The number of changes so far, used as the version of the evidence.
    changes: u64,
}

impl Quarantine {
    /// Records that a request was in flight at an endpoint that crashed, and that its first event had
    /// arrived `begun` ago, if at all. Returns the suspects with new entries.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_quarantine::{Fingerprint, Identity, Incarnation, Quarantine};
    /// # use kumquatdrum_types::Moment;
    ///
    /// let part = Fingerprint::of_part("llm", None, 7);
    /// let request = |text: &[u8]| {
    ///     let request = Fingerprint::of("POST", "/check/", None, text);
    ///     Identity::new(request, None, vec![part])
    /// };
    /// let mut quarantine = Quarantine::default();
    /// for number in 1..=3 {
    ///     let now = Moment::from_millis(500 * number);
    ///     let sent = request(&number.to_le_bytes());
    ///     assert!(quarantine.find_block(now, &sent).is_none());
    ///     quarantine.record_crash_of(now, &sent, Incarnation(number), None);
    /// }
    /// let now = Moment::from_millis(1_500);
    /// assert!(quarantine.find_block(now, &request(b"another")).is_some());
    /// ```
    pub fn record_crash_of(
        &mut self,
        now: Moment,
        request: &Identity,
        endpoint: Incarnation,
        begun: Option<Duration>,
    ) -> Vec<Suspect> {
        let has_survived = begun.is_some_and(|begun| begun >= SURVIVAL_TIME);
        let own = self.record_crash(now, request.request, endpoint, begun.is_some());
        let mut suspects: Vec<Suspect> = own.into_iter().collect();
        for part in &request.parts {
            let crash = Crash {
                endpoint,
                age_ms: 0,
                had_begun: begun.is_some(),
                is_cleared: has_survived,
                origin: Some(request.origin()),
                is_shared: false,
            };
            suspects.extend(self.record(now, Subject::Part(*part), crash));
        }
        suspects
    }

    /// Records that a request has run to completion, which clears it and the parts of its prompt.
    /// Returns the suspects that were not cleared before.
    pub fn record_completion_of(&mut self, now: Moment, request: &Identity) -> Vec<Suspect> {
        let own = self.record_completion(now, request.request);
        let mut cleared: Vec<Suspect> = own.into_iter().collect();
        cleared.extend(self.record_survival_of(now, request));
        cleared
    }

    /// Records that an endpoint has survived the parts of a request's prompt, which clears them. Returns
    /// the suspects that were not cleared before.
    pub fn record_survival_of(&mut self, now: Moment, request: &Identity) -> Vec<Suspect> {
        let parts = request.parts.iter();
        let cleared = parts.filter_map(|part| self.record_completion(now, Subject::Part(*part)));
        cleared.collect()
    }

    /// Returns the block on a request or on a part of its prompt.
    pub fn find_block(&self, now: Moment, request: &Identity) -> Option<Block> {
        let own = self.block(now, request.request);
        own.or_else(|| self.blocked_parts(now, request).next())
    }

    /// Decides whether to send a blocked request as a probe, with a new id. `is_prober` tells whether
    /// this host probes a subject. Returns the suspect if the request is to be sent.
    pub fn try_probe_of(
        &mut self,
        now: Moment,
        request: &Identity,
        id: u64,
        is_prober: impl Fn(Fingerprint) -> bool,
    ) -> Option<Suspect> {
        if self.block(now, request.request).is_some() {
            let is_prober = is_prober(request.request);
            return is_prober.then(|| self.try_probe(now, request.request, id))?;
        }
        let mut parts = self.blocked_parts(now, request);
        // With two blocked parts, a crash would not tell which one caused it.
        let (Some(block), None) = (parts.next(), parts.next()) else {
            return None;
        };
        drop(parts);
        let part = block.subject;
        let delay = self
            .suspects
            .get(&part)?
            .probe_delay(now, &PART_PROBE_DELAYS);
        let is_due = delay.is_some_and(|delay| delay.is_zero());
        (is_due && is_prober(part.fingerprint())).then(|| self.record_probe(now, part, id))?
    }

    fn blocked_parts(
        &self,
        now: Moment,
        request: &Identity,
    ) -> impl Iterator<Item = Block> + use<'_> {
        let workspace = request.workspace;
        let parts = request.parts.clone().into_iter();
        parts.filter_map(move |part| {
            let part = Subject::Part(part);
            self.suspects.get(&part)?.part_block(now, part, workspace)
        })
    }

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
            origin: None,
            is_shared: false,
        };
        self.record(now, request.into(), crash)
    }

    fn record(&mut self, now: Moment, subject: Subject, crash: Crash) -> Option<Suspect> {
        let suspect = Suspect {
            subject,
            crashes: vec![crash],
            probes: Vec::new(),
        };
        let is_new = self.merge(now, suspect);
        is_new.then(|| self.find(now, subject)).flatten()
    }

    /// Records that a request has run to completion, which clears it of the crashes known so far.
    /// Returns the suspect if any was not cleared before.
    pub fn record_completion(
        &mut self,
        now: Moment,
        subject: impl Into<Subject>,
    ) -> Option<Suspect> {
        let subject = subject.into();
        let entry = self.suspects.get_mut(&subject)?;
        if !entry.clear() {
            return None;
        }
        self.changes += 1;
        entry.changed = self.changes;
        self.find(now, subject)
    }

    /// Merges another host's evidence about a suspect. Returns whether it contains anything new.
    pub fn merge(&mut self, now: Moment, suspect: Suspect) -> bool {
        self.expire(now);
        let crashes = suspect.crashes.into_iter();
        let mut recent = crashes.filter(|crash| crash.age() < RETENTION).peekable();
        if recent.peek().is_none() {
            return false;
        }
        let entry = self.suspects.entry(suspect.subject).or_default();
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
            self.evict(now, suspect.subject);
        }
        has_changed
    }

    /// Returns the block on a request, or `None` if it may be sent.
    pub fn block(&self, now: Moment, request: Fingerprint) -> Option<Block> {
        let subject = Subject::Request(request);
        self.suspects.get(&subject)?.block(now, subject)
    }

    /// Decides whether to send a copy of a blocked request as a probe, with a new id. Only requests
    /// whose crashes another blocked request explains are probed, a limited number of times.
    /// Returns the suspect if the copy is to be sent.
    pub fn try_probe(&mut self, now: Moment, request: Fingerprint, id: u64) -> Option<Suspect> {
        let subject = Subject::Request(request);
        let entry = self.suspects.get(&subject)?;
        entry.block(now, subject)?;
        let is_due = entry.probe_delay(now, &PROBE_DELAYS)?.is_zero();
        let mut others = self.suspects.iter().filter(|(other, _)| **other != subject);
        let is_explained = others.any(|(other, entry_of_other)| {
            entry_of_other.block(now, *other).is_some() && entry_of_other.explains(entry)
        });
        if !is_due || !is_explained {
            return None;
        }
        self.record_probe(now, subject, id)
    }

    fn record_probe(&mut self, now: Moment, subject: Subject, id: u64) -> Option<Suspect> {
        let entry = self.suspects.get_mut(&subject)?;
        entry.add_probe(now, id);
        self.changes += 1;
        entry.changed = self.changes;
        self.find(now, subject)
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

    /// Returns the block on a subject, or for a part, on any workspace's prompts with it.
    pub fn block_of_any(&self, now: Moment, subject: Subject) -> Option<Block> {
        self.suspects.get(&subject)?.block_of_any(now, subject)
    }

    /// Returns the number of blocked requests and parts.
    pub fn count_blocked(&self, now: Moment) -> usize {
        let suspects = self.suspects.iter();
        let blocked = suspects.filter_map(|(subject, entry)| entry.block_of_any(now, *subject));
        blocked.count()
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
        let suspects = suspects.map(|(subject, entry)| entry.suspect(now, *subject));
        (
            suspects.collect(),
            if is_complete { self.changes } else { last },
        )
    }

    /// Forgets crashes older than the retention time, and suspects without crashes.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, entry| entry.expire(now));
    }

    fn find(&self, now: Moment, subject: Subject) -> Option<Suspect> {
        let entry = self.suspects.get(&subject)?;
        Some(entry.suspect(now, subject))
    }

    /// Removes the least suspicious subject other than `newest` if there are too many of its kind.
    fn evict(&mut self, now: Moment, newest: Subject) {
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let others = self.suspects.iter();
        let others = others.filter(|(subject, _)| subject.is_same_kind(newest));
        if others.clone().count() <= MAX_SUSPECTS {
            return;
        }
        let others = others.filter(|(subject, _)| **subject != newest);
        let least = others.min_by_key(|(subject, entry)| {
            (entry.score(), std::cmp::Reverse(entry.age(now)), **subject)
        });
        if let Some(subject) = least.map(|(subject, _)| *subject) {
            self.suspects.swap_remove(&subject);
        }
    }
}
