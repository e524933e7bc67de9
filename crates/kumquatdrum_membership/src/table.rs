//! Table of the data centre's endpoints, with the newest announcement and liveness of each.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Announcement, EndpointId, HostId, Load, Moment, endpoint};

use crate::timing::{
    FAILURE_HOLD, FAILURE_LIMIT, FAILURE_WINDOW, FORGET_AFTER, GONE_AFTER, HANDOVER_GRACE,
    LATE_AFTER, SUSPECT_AFTER,
};
use crate::{Change, Key, Output};

/// Liveness of an endpoint from this host's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The endpoint renews its announcement.
    Alive,
    /// Renewals are overdue, or dispatches to the endpoint fail.
    Suspect,
    /// Renewals have been missing for [`GONE_AFTER`].
    Gone,
}

/// Record of an endpoint.
#[derive(Debug, Clone)]
pub struct Record {
    /// Newest announcement of the endpoint.
    pub announcement: Announcement,
    /// Liveness of the endpoint.
    pub liveness: Liveness,
    pub(crate) key: Key,
    pub(crate) renewed_at: Moment,
    /// Host that the newest announcement came from; `None` if the endpoint sent it to this host.
    source: Option<HostId>,
    failures: Failures,
}

#[derive(Debug, Clone, Copy, Default)]
struct Failures {
    count: u32,
    since: Moment,
    last: Option<Moment>,
}

/// Result of merging an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The announcement contained nothing new.
    Stale,
    /// The announcement was renewed.
    Renewed { has_new_load: bool },
    /// The endpoint or its incarnation is new, or its record changed.
    Joined,
    /// The endpoint began to leave.
    Leaving,
}

/// Endpoints of the data centre.
#[derive(Debug, Default)]
pub(crate) struct Table {
    records: IndexMap<EndpointId, Record>,
    keys: IndexMap<Key, Vec<EndpointId>>,
    digest: u32,
}

impl Table {
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn get(&self, id: &EndpointId) -> Option<&Record> {
        self.records.get(id)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Returns the digest of all endpoints that aren't gone.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the endpoints with a key; several if keys collide.
    pub(crate) fn endpoints_with_key(&self, key: Key) -> &[EndpointId] {
        self.keys.get(&key).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoint with a key, or `None` unless there is exactly one.
    pub(crate) fn endpoint_with_key(&self, key: Key) -> Option<&EndpointId> {
        match self.endpoints_with_key(key) {
            [id] => Some(id),
            _ => None,
        }
    }

    /// Merges an announcement that was renewed `age` ago, unless a newer one is known.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        announcement: Announcement,
        age: Duration,
        source: Option<HostId>,
        out: &mut Vec<Output>,
    ) -> Outcome {
        let renewed_at = now.saturating_sub(age);
        let known = self.records.get(&announcement.endpoint);
        match known.map(|record| (ordering_key(record), record.liveness)) {
            // A leaving notice is never outdated within an incarnation.
            Some(((boot, sequence), _))
                if announcement.boot == boot && announcement.sequence <= sequence =>
            {
                if announcement.leaving {
                    self.mark_leaving(&announcement.endpoint, out)
                } else {
                    Outcome::Stale
                }
            }
            Some(((boot, _), _)) if announcement.boot < boot => Outcome::Stale,
            Some((_, Liveness::Gone)) | None if age >= GONE_AFTER => Outcome::Stale,
            Some(((boot, _), liveness))
                if announcement.boot == boot && liveness != Liveness::Gone =>
            {
                self.renew(now, announcement, renewed_at, source, out)
            }
            Some((_, Liveness::Gone)) | None => {
                self.join(now, announcement, renewed_at, source, out);
                Outcome::Joined
            }
            Some(_) => {
                emit(out, &announcement.endpoint, Change::Gone);
                self.join(now, announcement, renewed_at, source, out);
                Outcome::Joined
            }
        }
    }

    /// Merges a renewal of the record with a key. Returns `None` if the key is unknown.
    pub(crate) fn merge_renewal(
        &mut self,
        now: Moment,
        key: Key,
        sequence: u64,
        load: Option<Load>,
        source: &HostId,
        out: &mut Vec<Output>,
    ) -> Option<Outcome> {
        let id = self.endpoint_with_key(key)?;
        let mut announcement = self.records.get(id)?.announcement.clone();
        announcement.sequence = sequence;
        if let (endpoint::Kind::Engine(engine), Some(load)) = (&mut announcement.kind, load) {
            engine.load = Some(load);
        }
        Some(self.merge(now, announcement, Duration::ZERO, Some(source.clone()), out))
    }

    /// Merges a leaving notice for the record with a key. Returns `None` if the key is unknown.
    pub(crate) fn merge_leaving(
        &mut self,
        key: Key,
        sequence: u64,
        out: &mut Vec<Output>,
    ) -> Option<Outcome> {
        let id = self.endpoint_with_key(key)?.clone();
        let record = self.records.get_mut(&id)?;
        record.announcement.sequence = record.announcement.sequence.max(sequence);
        Some(self.mark_leaving(&id, out))
    }

    /// Records a failed dispatch.
    pub(crate) fn record_failure(&mut self, now: Moment, id: &EndpointId, out: &mut Vec<Output>) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        if now - record.failures.since > FAILURE_WINDOW {
            record.failures = Failures {
                since: now,
                ..Failures::default()
            };
        }
        record.failures.count += 1;
        record.failures.last = Some(now);
        let is_late = now - record.renewed_at > LATE_AFTER;
        if record.liveness == Liveness::Alive && (is_late || record.failures.count >= FAILURE_LIMIT)
        {
            record.liveness = Liveness::Suspect;
            emit(out, id, Change::Suspect);
        }
    }

    /// Marks endpoints without renewals as suspect or gone, and removes those that have been gone
    /// for long. `is_silent` returns whether the host that a renewal came from is silent.
    pub(crate) fn expire(
        &mut self,
        now: Moment,
        is_silent: impl Fn(&HostId) -> bool,
        out: &mut Vec<Output>,
    ) {
        let mut expired = Vec::new();
        for (id, record) in &mut self.records {
            let silence = now - record.renewed_at;
            let grace = match &record.source {
                Some(source) if is_silent(source) => HANDOVER_GRACE,
                _ => Duration::ZERO,
            };
            match record.liveness {
                Liveness::Alive if silence > SUSPECT_AFTER + grace => {
                    record.liveness = Liveness::Suspect;
                    emit(out, id, Change::Suspect);
                }
                Liveness::Suspect if silence > GONE_AFTER + grace => {
                    self.digest ^= digest_contribution(record);
                    record.liveness = Liveness::Gone;
                    emit(out, id, Change::Gone);
                }
                Liveness::Gone if silence > FORGET_AFTER => expired.push(id.clone()),
                _ => {}
            }
        }
        for id in expired {
            self.remove(&id);
        }
    }

    fn renew(
        &mut self,
        now: Moment,
        announcement: Announcement,
        renewed_at: Moment,
        source: Option<HostId>,
        out: &mut Vec<Output>,
    ) -> Outcome {
        let id = announcement.endpoint.clone();
        let key = Key::of(&announcement);
        let Some(record) = self.records.get_mut(&id) else {
            return Outcome::Stale;
        };
        let (has_new_key, starts_leaving) = (
            record.key != key,
            announcement.leaving && !record.announcement.leaving,
        );
        let was_leaving = record.announcement.leaving;
        self.digest ^= digest_contribution(record);
        let has_new_load = replace_announcement(&mut record.announcement, announcement);
        // Leaving is final within an incarnation.
        record.announcement.leaving |= was_leaving;
        let old_key = std::mem::replace(&mut record.key, key);
        self.digest ^= digest_contribution(record);
        record.renewed_at = record.renewed_at.max(renewed_at);
        record.source = source;
        record.clear_suspicion(now, out);
        emit(out, &id, Change::Renewed(record.announcement.clone()));
        if starts_leaving {
            emit(out, &id, Change::Leaving);
        }
        if has_new_key {
            self.unlink(old_key, &id);
            self.keys.entry(key).or_default().push(id);
        }
        match (starts_leaving, has_new_key) {
            (true, _) => Outcome::Leaving,
            (_, true) => Outcome::Joined,
            _ => Outcome::Renewed { has_new_load },
        }
    }

    fn join(
        &mut self,
        now: Moment,
        announcement: Announcement,
        renewed_at: Moment,
        source: Option<HostId>,
        out: &mut Vec<Output>,
    ) {
        let id = announcement.endpoint.clone();
        self.remove(&id);
        let leaving = announcement.leaving;
        emit(out, &id, Change::Joined(announcement.clone()));
        if leaving {
            emit(out, &id, Change::Leaving);
        }
        let liveness = if now - renewed_at > SUSPECT_AFTER {
            Liveness::Suspect
        } else {
            Liveness::Alive
        };
        if liveness == Liveness::Suspect {
            emit(out, &id, Change::Suspect);
        }
        let record = Record {
            key: Key::of(&announcement),
            announcement,
            liveness,
            renewed_at,
            source,
            failures: Failures::default(),
        };
        self.digest ^= digest_contribution(&record);
        self.keys.entry(record.key).or_default().push(id.clone());
        self.records.insert(id, record);
    }

    fn mark_leaving(&mut self, id: &EndpointId, out: &mut Vec<Output>) -> Outcome {
        match self.records.get_mut(id) {
            Some(record) if !record.announcement.leaving && record.liveness != Liveness::Gone => {
                self.digest ^= digest_contribution(record);
                record.announcement.leaving = true;
                self.digest ^= digest_contribution(record);
                emit(out, id, Change::Leaving);
                Outcome::Leaving
            }
            _ => Outcome::Stale,
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        let Some(record) = self.records.swap_remove(id) else {
            return;
        };
        if record.liveness != Liveness::Gone {
            self.digest ^= digest_contribution(&record);
        }
        self.unlink(record.key, id);
    }

    fn unlink(&mut self, key: Key, id: &EndpointId) {
        if let Some(ids) = self.keys.get_mut(&key) {
            ids.retain(|other| other != id);
        }
        if self.endpoints_with_key(key).is_empty() {
            self.keys.swap_remove(&key);
        }
    }
}

impl Record {
    fn clear_suspicion(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_held = self
            .failures
            .last
            .is_some_and(|last| now - last < FAILURE_HOLD);
        let is_fresh = now - self.renewed_at <= SUSPECT_AFTER;
        if self.liveness == Liveness::Suspect && is_fresh && !is_held {
            self.liveness = Liveness::Alive;
            self.failures = Failures::default();
            emit(out, &self.announcement.endpoint, Change::Recovered);
        }
    }
}

fn ordering_key(record: &Record) -> (kumquatdrum_types::BootId, u64) {
    (record.announcement.boot, record.announcement.sequence)
}

fn digest_contribution(record: &Record) -> u32 {
    record.key.digest_contribution(record.announcement.leaving)
}

fn emit(out: &mut Vec<Output>, id: &EndpointId, change: Change) {
    out.push(Output::Endpoint {
        id: id.clone(),
        change,
    });
}

/// Replaces an announcement by a newer one of the same incarnation and keeps the newer load.
/// Returns whether the load is new.
fn replace_announcement(old: &mut Announcement, mut new: Announcement) -> bool {
    let known = load_mut(old).and_then(Option::take);
    let is_new = match (load_mut(&mut new), known) {
        (Some(Some(load)), Some(known)) if load.sequence <= known.sequence => {
            *load = known;
            false
        }
        (Some(Some(_)), _) => true,
        (Some(load), known) => {
            *load = known;
            false
        }
        (None, _) => false,
    };
    *old = new;
    is_new
}

fn load_mut(announcement: &mut Announcement) -> Option<&mut Option<Load>> {
    match &mut announcement.kind {
        endpoint::Kind::Engine(engine) => Some(&mut engine.load),
        endpoint::Kind::Plain => None,
    }
}
