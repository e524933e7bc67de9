//! The endpoints of the data centre: the newest announcement of each, and whether it lives.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, EndpointId, HostId, Load, Moment};

use crate::timing::{
    FAILURE_HOLD, FAILURE_LIMIT, FAILURE_WINDOW, FORGET_AFTER, GONE_AFTER, HANDOVER, LATE_AFTER,
    SUSPECT_AFTER,
};
use crate::{Change, Key, Output};

/// Whether an endpoint lives, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// It renews its announcement.
    Alive,
    /// It doesn't, or dispatches to it fail.
    Suspect,
    /// It didn't for long.
    Gone,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Record {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// Whether it lives.
    pub state: State,
    pub(crate) key: Key,
    pub(crate) renewed: Moment,
    /// The host that took the newest announcement; none where it was this one.
    taker: Option<HostId>,
    failures: Failures,
}

#[derive(Debug, Clone, Copy, Default)]
struct Failures {
    count: u32,
    since: Moment,
    last: Option<Moment>,
}

/// What a merge brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Novelty {
    /// Nothing new.
    Stale,
    /// A renewal; with a new load or without.
    Renewed { load: bool },
    /// A new endpoint, a new life, or a changed record.
    Joined,
    /// A leaving notice.
    Left,
}

/// All endpoints of the data centre.
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

    /// The digest of all endpoints that aren't gone.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// The endpoints with this key; more than one where keys collide.
    pub(crate) fn with_key(&self, key: Key) -> &[EndpointId] {
        self.keys.get(&key).map_or(&[], Vec::as_slice)
    }

    /// The endpoint with this key, where there is exactly one.
    pub(crate) fn by_key(&self, key: Key) -> Option<&EndpointId> {
        match self.with_key(key) {
            [id] => Some(id),
            _ => None,
        }
    }

    /// Takes an announcement that is `age` old, unless a newer one is known.
    pub(crate) fn merge(
        &mut self,
        now: Moment,
        announcement: Announcement,
        age: Duration,
        taker: Option<HostId>,
        out: &mut Vec<Output>,
    ) -> Novelty {
        let renewed = before(now, age);
        let known = self.records.get(&announcement.endpoint);
        match known.map(|record| (order(record), record.state)) {
            // Late, but a leaving notice counts whenever it comes.
            Some(((boot, sequence), _))
                if announcement.boot == boot && announcement.sequence <= sequence =>
            {
                if announcement.leaving {
                    self.leave(&announcement.endpoint, out)
                } else {
                    Novelty::Stale
                }
            }
            Some(((boot, _), _)) if announcement.boot < boot => Novelty::Stale,
            Some((_, State::Gone)) | None if age >= GONE_AFTER => Novelty::Stale,
            Some(((boot, _), state)) if announcement.boot == boot && state != State::Gone => {
                self.renew(now, announcement, renewed, taker, out)
            }
            Some((_, State::Gone)) | None => {
                self.join(now, announcement, renewed, taker, out);
                Novelty::Joined
            }
            Some(_) => {
                tell(out, &announcement.endpoint, Change::Gone);
                self.join(now, announcement, renewed, taker, out);
                Novelty::Joined
            }
        }
    }

    /// Takes a renewal of the record with this key; `None` where it isn't known.
    pub(crate) fn merge_refresh(
        &mut self,
        now: Moment,
        key: Key,
        sequence: u64,
        load: Option<Load>,
        taker: &HostId,
        out: &mut Vec<Output>,
    ) -> Option<Novelty> {
        let id = self.by_key(key)?;
        let mut announcement = self.records.get(id)?.announcement.clone();
        announcement.sequence = sequence;
        if let (Kind::Engine(engine), Some(load)) = (&mut announcement.kind, load) {
            engine.load = Some(load);
        }
        Some(self.merge(now, announcement, Duration::ZERO, Some(taker.clone()), out))
    }

    /// Takes a leaving notice on the record with this key; `None` where it isn't known.
    pub(crate) fn merge_leaving(
        &mut self,
        key: Key,
        sequence: u64,
        out: &mut Vec<Output>,
    ) -> Option<Novelty> {
        let id = self.by_key(key)?.clone();
        let record = self.records.get_mut(&id)?;
        record.announcement.sequence = record.announcement.sequence.max(sequence);
        Some(self.leave(&id, out))
    }

    /// Notes a failed dispatch.
    pub(crate) fn fail(&mut self, now: Moment, id: &EndpointId, out: &mut Vec<Output>) {
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
        let late = now - record.renewed > LATE_AFTER;
        if record.state == State::Alive && (late || record.failures.count >= FAILURE_LIMIT) {
            record.state = State::Suspect;
            tell(out, id, Change::Suspect);
        }
    }

    /// Suspects and buries endpoints that weren't renewed. `is_silent` tells whether a host that
    /// took a renewal has fallen silent since.
    pub(crate) fn expire(
        &mut self,
        now: Moment,
        is_silent: impl Fn(&HostId) -> bool,
        out: &mut Vec<Output>,
    ) {
        let mut forgotten = Vec::new();
        for (id, record) in &mut self.records {
            let silence = now - record.renewed;
            let grace = match &record.taker {
                Some(taker) if is_silent(taker) => HANDOVER,
                _ => Duration::ZERO,
            };
            match record.state {
                State::Alive if silence > SUSPECT_AFTER + grace => {
                    record.state = State::Suspect;
                    tell(out, id, Change::Suspect);
                }
                State::Suspect if silence > GONE_AFTER + grace => {
                    self.digest ^= weight(record);
                    record.state = State::Gone;
                    tell(out, id, Change::Gone);
                }
                State::Gone if silence > FORGET_AFTER => forgotten.push(id.clone()),
                _ => {}
            }
        }
        for id in forgotten {
            self.remove(&id);
        }
    }

    fn renew(
        &mut self,
        now: Moment,
        announcement: Announcement,
        renewed: Moment,
        taker: Option<HostId>,
        out: &mut Vec<Output>,
    ) -> Novelty {
        let id = announcement.endpoint.clone();
        let key = Key::of(&announcement);
        let Some(record) = self.records.get_mut(&id) else {
            return Novelty::Stale;
        };
        let (changed, left) = (
            record.key != key,
            announcement.leaving && !record.announcement.leaving,
        );
        let had = record.announcement.leaving;
        self.digest ^= weight(record);
        let load = replace(&mut record.announcement, announcement);
        // A life that has begun to leave doesn't come back.
        record.announcement.leaving |= had;
        let old_key = std::mem::replace(&mut record.key, key);
        self.digest ^= weight(record);
        record.renewed = record.renewed.max(renewed);
        record.taker = taker;
        record.revive(now, out);
        tell(out, &id, Change::Refreshed(record.announcement.clone()));
        if left {
            tell(out, &id, Change::Leaving);
        }
        if changed {
            self.unlink(old_key, &id);
            self.keys.entry(key).or_default().push(id);
        }
        match (left, changed) {
            (true, _) => Novelty::Left,
            (_, true) => Novelty::Joined,
            _ => Novelty::Renewed { load },
        }
    }

    fn join(
        &mut self,
        now: Moment,
        announcement: Announcement,
        renewed: Moment,
        taker: Option<HostId>,
        out: &mut Vec<Output>,
    ) {
        let id = announcement.endpoint.clone();
        self.remove(&id);
        let leaving = announcement.leaving;
        tell(out, &id, Change::Joined(announcement.clone()));
        if leaving {
            tell(out, &id, Change::Leaving);
        }
        let state = if now - renewed > SUSPECT_AFTER {
            State::Suspect
        } else {
            State::Alive
        };
        if state == State::Suspect {
            tell(out, &id, Change::Suspect);
        }
        let record = Record {
            key: Key::of(&announcement),
            announcement,
            state,
            renewed,
            taker,
            failures: Failures::default(),
        };
        self.digest ^= weight(&record);
        self.keys.entry(record.key).or_default().push(id.clone());
        self.records.insert(id, record);
    }

    fn leave(&mut self, id: &EndpointId, out: &mut Vec<Output>) -> Novelty {
        match self.records.get_mut(id) {
            Some(record) if !record.announcement.leaving && record.state != State::Gone => {
                self.digest ^= weight(record);
                record.announcement.leaving = true;
                self.digest ^= weight(record);
                tell(out, id, Change::Leaving);
                Novelty::Left
            }
            _ => Novelty::Stale,
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        let Some(record) = self.records.swap_remove(id) else {
            return;
        };
        if record.state != State::Gone {
            self.digest ^= weight(&record);
        }
        self.unlink(record.key, id);
    }

    fn unlink(&mut self, key: Key, id: &EndpointId) {
        if let Some(ids) = self.keys.get_mut(&key) {
            ids.retain(|other| other != id);
        }
        if self.with_key(key).is_empty() {
            self.keys.swap_remove(&key);
        }
    }
}

impl Record {
    fn revive(&mut self, now: Moment, out: &mut Vec<Output>) {
        let held = self
            .failures
            .last
            .is_some_and(|last| now - last < FAILURE_HOLD);
        let fresh = now - self.renewed <= SUSPECT_AFTER;
        if self.state == State::Suspect && fresh && !held {
            self.state = State::Alive;
            self.failures = Failures::default();
            tell(out, &self.announcement.endpoint, Change::Returned);
        }
    }
}

fn order(record: &Record) -> (kumquatdrum_types::BootId, u64) {
    (record.announcement.boot, record.announcement.sequence)
}

fn weight(record: &Record) -> u32 {
    record.key.weight(record.announcement.leaving)
}

fn tell(out: &mut Vec<Output>, id: &EndpointId, change: Change) {
    out.push(Output::Endpoint {
        id: id.clone(),
        change,
    });
}

/// Replaces an announcement by a newer one of the same life, but keeps the newer load of the two.
/// Returns whether the load is new.
fn replace(old: &mut Announcement, mut new: Announcement) -> bool {
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
        Kind::Engine(engine) => Some(&mut engine.load),
        Kind::Plain => None,
    }
}

fn before(now: Moment, age: Duration) -> Moment {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Moment {
        micros: now.micros.saturating_sub(age),
    }
}
