//! All endpoints that a host knows.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{EndpointId, Moment, ServiceName};

use crate::{Announcement, Update};

/// How long a gone endpoint is remembered, so that its late announcements stay without effect.
/// Announcements are late by seconds; a minute is an order of magnitude above.
const REMEMBERED: Duration = Duration::from_secs(60);

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// An endpoint, or a new incarnation of one, is known from now on.
    New,
    /// It leaves, is gone, or has moved.
    Changed,
    /// It is still there.
    Refreshed,
    /// Older than what is known.
    Stale,
}

/// All endpoints that a host knows.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<EndpointId, Entry>,
}

#[derive(Debug)]
struct Entry {
    announcement: Announcement,
    gone: bool,
    heard: Moment,
}

impl Registry {
    /// Takes what an endpoint says of itself.
    pub fn announce(&mut self, now: Moment, announcement: Announcement) -> Change {
        self.take(now, announcement, false)
    }

    /// Takes an endpoint's farewell; `started` tells which incarnation says it, where it tells.
    /// Nothing is returned where the endpoint is not known.
    pub fn leave(&mut self, now: Moment, id: &EndpointId, started: Option<u64>) -> Option<Update> {
        let entry = self.entries.get_mut(id)?;
        let known = entry.announcement.started;
        if started.is_some_and(|started| started < known) {
            return None;
        }
        entry.gone = true;
        entry.heard = now;
        Some(update(entry, now))
    }

    /// Takes what another host knows.
    pub fn merge(&mut self, now: Moment, update: Update) -> Change {
        let age = Duration::from_millis(update.age_ms).as_micros() as u64;
        let heard = Moment {
            micros: now.micros.saturating_sub(age),
        };
        self.take(heard, update.announcement, update.gone)
    }

    /// A host has met another endpoint at this one's address, or has been told so by it.
    pub fn displaced(&mut self, now: Moment, id: &EndpointId, started: u64) -> Option<Update> {
        let entry = self.entries.get_mut(id)?;
        if entry.gone || entry.announcement.started != started {
            return None;
        }
        entry.gone = true;
        entry.heard = now;
        Some(update(entry, now))
    }

    /// The endpoints that may get new requests of a service, with how long ago each was heard.
    pub fn usable<'a>(
        &'a self,
        now: Moment,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a Announcement, Duration)> + 'a {
        let entries = self.entries.values();
        let usable = entries.filter(move |entry| {
            !entry.gone && !entry.announcement.leaving && entry.announcement.service == *service
        });
        usable.map(move |entry| (&entry.announcement, now - entry.heard))
    }

    /// What to tell another host: all that was heard within `recent`, and all that is going.
    pub fn updates(&self, now: Moment, recent: Duration) -> Vec<Update> {
        let told = |entry: &&Entry| {
            entry.gone || entry.announcement.leaving || now - entry.heard <= recent
        };
        let entries = self.entries.values().filter(told);
        entries.map(|entry| update(entry, now)).collect()
    }

    /// What to tell another host of one endpoint.
    pub fn update(&self, now: Moment, id: &EndpointId) -> Option<Update> {
        self.entries.get(id).map(|entry| update(entry, now))
    }

    /// Forgets what is gone or silent for long; returns what was dropped.
    pub fn sweep(&mut self, now: Moment) -> Vec<EndpointId> {
        let old = |entry: &Entry| now - entry.heard > REMEMBERED;
        let dropped = self.entries.iter().filter(|(_, entry)| old(entry));
        let dropped: Vec<EndpointId> = dropped.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !old(entry));
        dropped
    }

    fn take(&mut self, heard: Moment, announcement: Announcement, gone: bool) -> Change {
        let gone = gone || self.is_displaced(&announcement);
        let change = self.put(heard, &announcement, gone);
        if matches!(change, Change::New) && !gone {
            self.displace(&announcement);
        }
        change
    }

    fn put(&mut self, heard: Moment, announcement: &Announcement, gone: bool) -> Change {
        let Some(entry) = self.entries.get_mut(&announcement.id) else {
            let entry = Entry {
                announcement: announcement.clone(),
                gone,
                heard,
            };
            self.entries.insert(announcement.id.clone(), entry);
            return Change::New;
        };
        let known = &entry.announcement;
        let order = (announcement.started, announcement.sequence);
        match order.cmp(&(known.started, known.sequence)) {
            std::cmp::Ordering::Less if announcement.started < known.started => Change::Stale,
            std::cmp::Ordering::Greater if announcement.started > known.started => {
                entry.announcement = announcement.clone();
                entry.gone = gone;
                entry.heard = heard;
                Change::New
            }
            order => {
                let before = (entry.gone, known.leaving, known.address);
                let leaving = known.leaving || announcement.leaving;
                if order == std::cmp::Ordering::Greater {
                    entry.announcement = announcement.clone();
                    entry.heard = entry.heard.max(heard);
                }
                entry.announcement.leaving = leaving;
                entry.gone |= gone;
                let after = (entry.gone, leaving, entry.announcement.address);
                match order {
                    _ if before != after => Change::Changed,
                    std::cmp::Ordering::Greater => Change::Refreshed,
                    _ => Change::Stale,
                }
            }
        }
    }

    /// An endpoint that started later has this one's address.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        self.entries.values().any(|entry| {
            let other = &entry.announcement;
            other.address == announcement.address
                && other.id != announcement.id
                && other.started > announcement.started
        })
    }

    fn displace(&mut self, announcement: &Announcement) {
        for entry in self.entries.values_mut() {
            let other = &entry.announcement;
            let same = other.address == announcement.address && other.id != announcement.id;
            if same && other.started < announcement.started {
                entry.gone = true;
            }
        }
    }
}

fn update(entry: &Entry, now: Moment) -> Update {
    Update {
        announcement: entry.announcement.clone(),
        gone: entry.gone,
        age_ms: (now - entry.heard).as_millis() as u64,
    }
}
