//! The registry of the endpoints known to a host.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, EndpointId, Moment, ServiceName};

use crate::{Announcement, News, Refresh, Update};

/// How long an entry is kept after its last announcement. Entries of endpoints that have left are
/// kept as tombstones, so that delayed announcements are rejected. These arrive seconds late; a
/// minute is an order of magnitude more.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// The effect of an announcement on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The endpoint or its incarnation was not known before.
    New,
    /// The endpoint is leaving, has left, or has a new address.
    Changed,
    /// The endpoint has turned cold.
    Cooled,
    /// The endpoint has announced itself after a silence.
    Heard,
    /// The announcement is newer but changes nothing else.
    Refreshed,
    /// The announcement is not newer than the registered one.
    Stale,
}

impl Change {
    /// Returns whether anything but the age of the announcement has changed.
    pub const fn is_news(self) -> bool {
        matches!(self, Self::New | Self::Changed | Self::Cooled | Self::Heard)
    }
}

/// Whether an endpoint stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The endpoint gets requests.
    Staying,
    /// The endpoint is leaving. Until this time it gets requests that no other endpoint can serve.
    LeavingAt(Moment),
    /// The endpoint has left, or was replaced by another incarnation.
    Gone,
}

/// Tracks the endpoints known to a host.
#[derive(Debug, Default)]
pub struct Registry {
    entries: IndexMap<EndpointId, Entry>,
    /// The time between two announcements above which the later one is news. `None` if it never is.
    max_gap: Option<Duration>,
    /// The number of changes so far.
    changes: u64,
    /// The value of `changes` at the last change of an endpoint that is leaving or gone.
    last_departure: u64,
}

#[derive(Debug)]
struct Entry {
    announcement: Announcement,
    is_gone: bool,
    /// Whether another endpoint has answered at the address since the last announcement. Unlike
    /// `is_gone`, this is what this host has found, and other hosts don't learn of it.
    is_displaced: bool,
    heard_at: Moment,
    /// The value of [`Registry::changes`] at the last change of anything but age and sequence number.
    changed: u64,
    /// The same at the last newer announcement.
    refreshed: u64,
    /// When this host first knew that the endpoint is leaving.
    leaving_since: Option<Moment>,
}

impl Registry {
    /// Creates an empty registry in which an announcement is news if it was made more than `max_gap`
    /// after the one before. In the default registry, this makes none news.
    ///
    /// ```
    /// use kumquatdrum_registry::Registry;
    /// # use std::time::Duration;
    ///
    /// let registry = Registry::with_max_gap(Duration::from_millis(1_500));
    /// ```
    pub fn with_max_gap(max_gap: Duration) -> Self {
        Self {
            entries: IndexMap::new(),
            max_gap: Some(max_gap),
            changes: 0,
            last_departure: 0,
        }
    }

    /// Returns the number of changes so far, for [`Self::news_since`].
    pub const fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns what has changed since the registry had a number of changes: updates for endpoints of
    /// which more than the age and the sequence number has changed, and refreshes for others.
    ///
    /// ```
    /// use kumquatdrum_registry::Registry;
    /// # use kumquatdrum_types::Moment;
    ///
    /// let registry = Registry::default();
    /// assert!(registry.news_since(Moment::ZERO, 0).updates.is_empty());
    /// ```
    pub fn news_since(&self, now: Moment, changes: u64) -> News {
        let mut news = News::default();
        for entry in self.entries.values() {
            if entry.changed > changes {
                news.updates.push(to_update(entry, now));
            } else if entry.refreshed > changes {
                news.refreshes.push(Refresh {
                    id: entry.announcement.id.clone(),
                    started: entry.announcement.started,
                    sequence: entry.announcement.sequence,
                    age_ms: entry.age_ms(now),
                });
            }
        }
        news
    }

    /// Applies a later announcement of a known incarnation that changes nothing else. Returns `None` if
    /// the incarnation is not known.
    pub fn refresh(&mut self, now: Moment, refresh: &Refresh) -> Option<Change> {
        let entry = self.entries.get(&refresh.id)?;
        let announcement = match entry.announcement.started.cmp(&refresh.started) {
            std::cmp::Ordering::Less => return None,
            std::cmp::Ordering::Equal => Announcement {
                sequence: refresh.sequence,
                ..entry.announcement.clone()
            },
            std::cmp::Ordering::Greater => return Some(Change::Stale),
        };
        let heard_at = now.saturating_sub(Duration::from_millis(refresh.age_ms));
        Some(self.upsert(heard_at, &announcement, false))
    }

    /// Applies an announcement received from the endpoint itself.
    pub fn announce(&mut self, now: Moment, announcement: Announcement) -> Change {
        self.apply(now, announcement, false)
    }

    /// Marks an endpoint as gone at its own request. Returns `None` if the endpoint is unknown or
    /// `incarnation` is older than the registered one.
    pub fn leave(
        &mut self,
        now: Moment,
        id: &EndpointId,
        incarnation: Option<u64>,
    ) -> Option<Update> {
        let entry = self.entries.get_mut(id)?;
        let known = entry.announcement.started;
        if incarnation.is_some_and(|incarnation| incarnation < known) {
            return None;
        }
        entry.is_gone = true;
        entry.heard_at = now;
        entry.record_change(&mut self.changes);
        self.last_departure = self.changes;
        Some(to_update(entry, now))
    }

    /// Applies an update received from another host.
    pub fn merge(&mut self, now: Moment, update: Update) -> Change {
        let heard_at = now.saturating_sub(Duration::from_millis(update.age_ms));
        self.apply(heard_at, update.announcement, update.gone)
    }

    /// Marks an incarnation as absent until its next announcement because another endpoint answers at
    /// its address. Returns whether this is news.
    ///
    /// ```
    /// use kumquatdrum_registry::Registry;
    ///
    /// let mut registry = Registry::default();
    /// assert!(!registry.mark_displaced(&"e".into(), 1));
    /// ```
    pub fn mark_displaced(&mut self, id: &EndpointId, incarnation: u64) -> bool {
        let entry = self.entries.get_mut(id);
        let entry =
            entry.filter(|entry| !entry.is_absent() && entry.announcement.started == incarnation);
        entry.is_some_and(|entry| {
            entry.is_displaced = true;
            true
        })
    }

    /// Marks an incarnation as leaving because one of its responses says so. Returns `None` if this is
    /// no news.
    ///
    /// ```
    /// use kumquatdrum_registry::Registry;
    /// # use kumquatdrum_types::Moment;
    ///
    /// let mut registry = Registry::default();
    /// assert_eq!(registry.mark_leaving(Moment::ZERO, &"e".into(), 1), None);
    /// ```
    pub fn mark_leaving(
        &mut self,
        now: Moment,
        id: &EndpointId,
        incarnation: u64,
    ) -> Option<Update> {
        let entry = self.entries.get_mut(id)?;
        let known = &mut entry.announcement;
        if entry.is_gone || known.leaving || known.started != incarnation {
            return None;
        }
        known.leaving = true;
        entry.leaving_since = Some(now);
        entry.record_change(&mut self.changes);
        self.last_departure = self.changes;
        Some(to_update(entry, now))
    }

    /// Returns whether an endpoint stays. One that is not known counts as staying.
    pub fn presence(&self, endpoint: &Announcement, grace: Duration) -> Presence {
        let Some(entry) = self.entries.get(&endpoint.id) else {
            return Presence::Staying;
        };
        let is_superseded = entry.announcement.started > endpoint.started;
        match entry.serves_until(grace) {
            _ if entry.is_absent() || is_superseded => Presence::Gone,
            Some(until) => Presence::LeavingAt(until),
            None => Presence::Staying,
        }
    }

    /// Returns the endpoints of a service that are leaving and serve until the `grace` time after
    /// this host knew, each with the time since its last announcement and that time's end.
    pub fn leaving<'a>(
        &'a self,
        now: Moment,
        service: &'a ServiceName,
        grace: Duration,
    ) -> impl Iterator<Item = (&'a Announcement, Duration, Moment)> + 'a {
        let entries = self.entries.values();
        let of_service = entries
            .filter(move |entry| !entry.is_absent() && entry.announcement.service == *service);
        of_service.filter_map(move |entry| {
            let until = entry.serves_until(grace).filter(|until| now < *until)?;
            Some((&entry.announcement, now - entry.heard_at, until))
        })
    }

    /// Returns the endpoints that accept new requests for a service, each with the time since its
    /// last announcement.
    pub fn usable<'a>(
        &'a self,
        now: Moment,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = (&'a Announcement, Duration)> + 'a {
        let entries = self.entries.values();
        let usable = entries.filter(move |entry| {
            !entry.is_absent()
                && !entry.announcement.leaving
                && entry.announcement.service == *service
        });
        usable.map(move |entry| (&entry.announcement, now - entry.heard_at))
    }

    /// Returns updates for all endpoints.
    pub fn updates(&self, now: Moment) -> Vec<Update> {
        let entries = self.entries.values();
        entries.map(|entry| to_update(entry, now)).collect()
    }

    /// Returns whether any known endpoint is in a data centre.
    pub fn has_data_centre(&self, data_centre: &DataCentre) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| entry.announcement.data_centre == *data_centre)
    }

    /// Returns updates for the endpoints that are leaving or gone and have changed since the registry
    /// had a number of changes.
    ///
    /// ```
    /// use kumquatdrum_registry::Registry;
    /// # use kumquatdrum_types::Moment;
    ///
    /// let registry = Registry::default();
    /// assert!(registry.departures_since(Moment::ZERO, 0).is_empty());
    /// ```
    pub fn departures_since(&self, now: Moment, changes: u64) -> Vec<Update> {
        // Almost all calls are made while nothing departs, and find that without a scan.
        if self.last_departure <= changes {
            return Vec::new();
        }
        let entries = self.entries.values();
        let departed = entries.filter(|entry| entry.changed > changes && entry.has_departed());
        departed.map(|entry| to_update(entry, now)).collect()
    }

    /// Returns the update for one endpoint.
    pub fn update_for(&self, now: Moment, id: &EndpointId) -> Option<Update> {
        self.entries.get(id).map(|entry| to_update(entry, now))
    }

    /// Removes entries older than the time to live and returns their ids.
    pub fn evict_expired(&mut self, now: Moment) -> Vec<EndpointId> {
        let is_expired = |entry: &Entry| now - entry.heard_at > ENTRY_TTL;
        let evicted = self.entries.iter().filter(|(_, entry)| is_expired(entry));
        let evicted: Vec<EndpointId> = evicted.map(|(id, _)| id.clone()).collect();
        self.entries.retain(|_, entry| !is_expired(entry));
        evicted
    }

    fn apply(&mut self, heard_at: Moment, announcement: Announcement, is_gone: bool) -> Change {
        // A known incarnation was compared with all others when it took its address.
        let is_known = self.is_known_at(&announcement);
        let is_gone = is_gone || (!is_known && self.is_displaced(&announcement));
        let change = self.upsert(heard_at, &announcement, is_gone);
        if matches!(change, Change::New) && !is_gone {
            self.displace_earlier(&announcement);
        }
        change
    }

    fn upsert(&mut self, heard_at: Moment, announcement: &Announcement, is_gone: bool) -> Change {
        let change = self.update_entry(heard_at, announcement, is_gone);
        self.record_departure(&announcement.id);
        change
    }

    fn update_entry(
        &mut self,
        heard_at: Moment,
        announcement: &Announcement,
        is_gone: bool,
    ) -> Change {
        let change = self.changes + 1;
        let Some(entry) = self.entries.get_mut(&announcement.id) else {
            let entry = Entry {
                announcement: announcement.clone(),
                is_gone,
                is_displaced: false,
                heard_at,
                changed: change,
                refreshed: change,
                leaving_since: announcement.leaving.then_some(heard_at),
            };
            self.entries.insert(announcement.id.clone(), entry);
            self.changes = change;
            return Change::New;
        };
        let known = &entry.announcement;
        let order = (announcement.started, announcement.sequence);
        match order.cmp(&(known.started, known.sequence)) {
            std::cmp::Ordering::Less if announcement.started < known.started => Change::Stale,
            std::cmp::Ordering::Greater if announcement.started > known.started => {
                entry.announcement = announcement.clone();
                entry.is_gone = is_gone;
                entry.is_displaced = false;
                entry.heard_at = heard_at;
                entry.leaving_since = announcement.leaving.then_some(heard_at);
                entry.changed = change;
                entry.refreshed = change;
                self.changes = change;
                Change::New
            }
            order => {
                let before = (entry.is_gone, known.leaving, known.address);
                let leaving = known.leaving || announcement.leaving;
                let gap = heard_at - entry.heard_at;
                let ends_silence = self.max_gap.is_some_and(|max_gap| gap > max_gap);
                let has_cooled = known.warming_ms == 0 && announcement.warming_ms > 0;
                let is_newer = order == std::cmp::Ordering::Greater;
                let returns = is_newer && std::mem::take(&mut entry.is_displaced);
                let has_new_terms = is_newer && !known.has_same_terms(announcement);
                if is_newer {
                    entry.announcement = announcement.clone();
                    entry.heard_at = entry.heard_at.max(heard_at);
                    entry.refreshed = change;
                    self.changes = change;
                }
                entry.announcement.leaving = leaving;
                if leaving {
                    entry.leaving_since.get_or_insert(heard_at);
                }
                entry.is_gone |= is_gone;
                let after = (entry.is_gone, leaving, entry.announcement.address);
                if before != after || has_new_terms {
                    entry.changed = change;
                    self.changes = change;
                }
                match order {
                    _ if before != after => Change::Changed,
                    _ if returns => Change::Heard,
                    std::cmp::Ordering::Greater if has_cooled => Change::Cooled,
                    std::cmp::Ordering::Greater if ends_silence => Change::Heard,
                    std::cmp::Ordering::Greater => Change::Refreshed,
                    _ => Change::Stale,
                }
            }
        }
    }

    /// Counts the last change as a departure if it is one of an endpoint that is leaving or gone.
    fn record_departure(&mut self, id: &EndpointId) {
        let entry = self.entries.get(id).filter(|entry| entry.has_departed());
        if entry.is_some_and(|entry| entry.changed == self.changes) {
            self.last_departure = self.changes;
        }
    }

    /// Returns whether an incarnation is known at the address that it announces.
    fn is_known_at(&self, announcement: &Announcement) -> bool {
        let known = self.entries.get(&announcement.id);
        known.is_some_and(|entry| {
            let known = &entry.announcement;
            known.started == announcement.started && known.address == announcement.address
        })
    }

    /// Returns whether another endpoint, started later, uses the announced address.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        self.entries.values().any(|entry| {
            let other = &entry.announcement;
            other.address == announcement.address
                && other.id != announcement.id
                && other.started > announcement.started
        })
    }

    /// Marks other endpoints at the announced address as gone if they were started earlier.
    fn displace_earlier(&mut self, announcement: &Announcement) {
        for entry in self.entries.values_mut() {
            let other = &entry.announcement;
            let has_same_address =
                other.address == announcement.address && other.id != announcement.id;
            if has_same_address && other.started < announcement.started {
                entry.is_gone = true;
                entry.record_change(&mut self.changes);
                self.last_departure = self.changes;
            }
        }
    }
}

impl Entry {
    /// Returns whether the endpoint has left or another one answers at its address.
    const fn is_absent(&self) -> bool {
        self.is_gone || self.is_displaced
    }

    /// Returns whether the endpoint is leaving or has left.
    const fn has_departed(&self) -> bool {
        self.is_gone || self.announcement.leaving
    }

    /// Counts a change of more than age and sequence number.
    fn record_change(&mut self, changes: &mut u64) {
        *changes += 1;
        self.changed = *changes;
    }

    /// Returns the time since the last announcement, in milliseconds.
    fn age_ms(&self, now: Moment) -> u64 {
        (now - self.heard_at).as_millis() as u64
    }

    /// Returns until when the endpoint serves if it is leaving.
    fn serves_until(&self, grace: Duration) -> Option<Moment> {
        self.leaving_since.map(|since| since + grace)
    }
}

fn to_update(entry: &Entry, now: Moment) -> Update {
    Update {
        announcement: entry.announcement.clone(),
        gone: entry.is_gone,
        age_ms: entry.age_ms(now),
    }
}
