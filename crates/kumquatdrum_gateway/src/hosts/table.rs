//! What a host knows of the others, without clock and network.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_consensus::{Replicas, replacement};
use kumquatdrum_types::{Checkpoint, HostId, Moment};

use super::reports::Reports;
use crate::contact::Target;
use crate::message::{Host, Listing, Member, Selection};

/// The silence after which a host counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(2);
/// The silence after which a host is removed.
pub(super) const EXPIRE_AFTER: Duration = Duration::from_secs(20);

/// The hosts known to one host.
#[derive(Debug)]
pub struct Table {
    pub(super) local: Host,
    seeds: Vec<HostId>,
    /// The replicas that the log of this host's replica names.
    replicas: Replicas,
    pub(super) others: IndexMap<HostId, Entry>,
    pub(super) reports: Reports,
    /// The number of changes so far, used as the version of the listings.
    changes: u64,
}

/// Another host.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) host: Host,
    /// When the host was last heard from, directly or by a listing.
    last_contact: Moment,
    /// When this host itself last heard from it.
    direct_contact: Option<Moment>,
    is_lost: bool,
    /// Whether this host has heard from it directly within [`LOST_AFTER`].
    is_direct: bool,
    /// Whether a control host was in contact with a majority of the control hosts at its last answer.
    has_majority: bool,
    /// The value of [`Table::changes`] at the host's last change.
    changed: u64,
}

/// How this host knows of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// By a message from it.
    Direct,
    /// By a control host's listing, with the time since the host was last heard from.
    Listing(Duration),
}

/// A change that a message brings.
#[derive(Debug)]
pub enum Event {
    /// The host was not known before.
    Known(Host),
    /// The host counted as lost.
    Back,
}

/// A change that time brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expiry {
    /// The host counted as lost, and a control host reports it as live.
    Back,
    /// The host counts as lost after this silence.
    Lost(Duration),
    /// The host was removed.
    Removed,
}

impl Entry {
    /// Returns the time since the host was last heard from, directly or through a control host's report.
    fn age(&self, now: Moment, reports: &Reports) -> Duration {
        let direct = now - self.last_contact;
        let reported = reports.age(now, &self.host.id);
        reported.map_or(direct, |reported| reported.min(direct))
    }

    /// Counts a change of the host.
    fn record_change(&mut self, changes: &mut u64) {
        *changes += 1;
        self.changed = *changes;
    }

    /// Returns the time since this host itself heard from the host.
    fn direct_age(&self, now: Moment) -> Option<Duration> {
        self.direct_contact.map(|at| now - at)
    }

    /// Returns whether this host itself has heard from the host within [`LOST_AFTER`].
    fn is_heard(&self, now: Moment) -> bool {
        self.direct_age(now).is_some_and(|age| age <= LOST_AFTER)
    }
}

impl Table {
    /// Creates the table of a host that knows no other one.
    pub fn new(local: Host) -> Self {
        Self {
            local,
            seeds: Vec::new(),
            replicas: Replicas::default(),
            others: IndexMap::new(),
            reports: Reports::default(),
            changes: 0,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<HostId>) {
        self.seeds = seeds;
    }

    /// Replaces the replicas that the log names.
    pub fn set_replicas(&mut self, replicas: Replicas) {
        self.replicas = replicas;
    }

    /// Returns whether a host's address stays known although the host is silent: it is a seed, or the log
    /// names its replica.
    pub fn is_pinned(&self, host: &HostId) -> bool {
        self.seeds.contains(host) || self.hosts_in_log().any(|named| named == host)
    }

    fn hosts_in_log(&self) -> impl Iterator<Item = &HostId> {
        let members = self.replicas.members().into_iter();
        members.map(|member| &member.id.host)
    }

    /// Returns whether this host's replica votes although a spare could take its place.
    pub fn can_give_up_vote(&self, now: Moment) -> bool {
        let voters = &self.replicas.voters;
        let is_voting = |host: &HostId| voters.iter().any(|voter| voter.id.host == *host);
        let mut others = self.replica_hosts(now).into_iter();
        let is_spare = |host: replacement::Host| {
            host.is_available() && host.replica.is_some() && !is_voting(&host.id)
        };
        is_voting(&self.local.id) && others.any(is_spare)
    }

    /// Records a message from a host.
    pub fn record_contact(&mut self, now: Moment, host: Host) -> Option<Event> {
        self.observe(now, host, Source::Direct)
    }

    /// Records whether a control host was in contact with a majority of the control hosts when it
    /// answered.
    pub fn record_majority(&mut self, from: &HostId, has_majority: bool) {
        if let Some(entry) = self.others.get_mut(from) {
            entry.has_majority = has_majority;
        }
    }

    /// Merges a control host's listing, and returns the changes.
    pub fn merge_listing(
        &mut self,
        now: Moment,
        from: &HostId,
        listing: Listing,
    ) -> Vec<(HostId, Event)> {
        self.reports.apply(now, from, &listing, LOST_AFTER);
        let members = listing.hosts.into_iter();
        let events = members.filter_map(|Member { host, age_ms }| {
            let id = host.id.clone();
            let source = Source::Listing(Duration::from_millis(age_ms));
            self.observe(now, host, source).map(|event| (id, event))
        });
        events.collect()
    }

    /// Returns the selection to request from a control host: the changes since its last listing.
    pub fn listing_selection(&self, from: &HostId) -> Selection {
        let version = self.reports.version(from);
        version.map_or(Selection::All, Selection::Since)
    }

    /// Returns a listing of the selected hosts for another host. Control hosts list to each other only
    /// the hosts that they themselves hear from: what they repeated of each other's listings would keep
    /// a lost host alive.
    pub fn listing(&self, now: Moment, selection: Selection, for_control: bool) -> Option<Listing> {
        let version = Checkpoint {
            boot: self.local.boot,
            changes: self.changes,
        };
        let since = match selection {
            Selection::Nothing => return None,
            Selection::Since(known) if known.boot == version.boot => Some(known.changes),
            Selection::Since(_) | Selection::All | Selection::ControlHosts => None,
        };
        let is_partial = selection == Selection::ControlHosts;
        let local = Member {
            host: self.local.clone(),
            age_ms: 0,
        };
        let is_selected = |entry: &Entry| {
            since.is_none_or(|since| entry.changed > since)
                && (entry.host.is_control || !is_partial)
        };
        let others = self.others.values().filter(|entry| is_selected(entry));
        let others = others.filter_map(|entry| {
            let age = if for_control {
                entry.direct_age(now)?
            } else {
                entry.age(now, &self.reports)
            };
            Some(Member {
                host: entry.host.clone(),
                age_ms: age.as_millis() as u64,
            })
        });
        Some(Listing {
            version,
            is_complete: since.is_none() && !is_partial,
            hosts: std::iter::once(local).chain(others).collect(),
        })
    }

    /// Marks silent hosts as lost, and others as live again, and removes hosts that have been silent for
    /// too long.
    pub fn expire_silent(&mut self, now: Moment) -> Vec<(HostId, Expiry)> {
        let Self {
            others,
            reports,
            changes,
            ..
        } = self;
        let mut events = Vec::new();
        others.retain(|id, entry| {
            let age = entry.age(now, reports);
            if entry.is_direct && !entry.is_heard(now) {
                entry.is_direct = false;
                entry.record_change(changes);
            }
            // A host is back without a message if a control host is heard again that lists it as live.
            if entry.is_lost != (age > LOST_AFTER) {
                entry.is_lost = !entry.is_lost;
                entry.record_change(changes);
                let expiry = if entry.is_lost {
                    Expiry::Lost(age)
                } else {
                    Expiry::Back
                };
                events.push((id.clone(), expiry));
            }
            let is_kept = age <= EXPIRE_AFTER;
            if !is_kept {
                events.push((id.clone(), Expiry::Removed));
            }
            is_kept
        });
        reports.retain(|id| others.contains_key(id));
        events
    }

    /// Returns whether this host has recently heard from a majority of the control hosts, itself
    /// included, if it is one. For other hosts, a control host that they hear from says so.
    pub fn has_control_majority(&self, now: Moment) -> bool {
        let control = self.others.values().filter(|entry| entry.host.is_control);
        let mut heard = control.filter(|entry| entry.is_heard(now));
        if self.local.is_control {
            (heard.count() + 1) * 2 > self.count_control_hosts()
        } else {
            heard.any(|entry| entry.has_majority)
        }
    }

    /// Returns the hosts that hellos may be sent to: the other control hosts, and unknown ones that are seeds
    /// or that the log names.
    pub fn contact_targets(&self) -> Vec<Target> {
        let known = self.others.values().map(|entry| &entry.host);
        let known = known.filter(|host| host.is_control);
        let known = known.map(|host| Target {
            host: host.id.clone(),
            is_remote: host.data_centre != self.local.data_centre,
        });
        let is_unknown =
            |seed: &&HostId| !self.others.contains_key(*seed) && **seed != self.local.id;
        let named: IndexSet<&HostId> = self.seeds.iter().chain(self.hosts_in_log()).collect();
        let unknown = named.into_iter().filter(is_unknown).map(|host| Target {
            host: host.clone(),
            is_remote: false,
        });
        known.chain(unknown).collect()
    }

    /// Returns the number of known control hosts, including this one if it is one.
    pub(super) fn count_control_hosts(&self) -> usize {
        let others = self.others.values().filter(|entry| entry.host.is_control);
        let known = others.count() + usize::from(self.local.is_control);
        known.max(self.seeds.len())
    }

    /// Returns the other hosts, each with the time since it was last heard from.
    pub(super) fn aged(&self, now: Moment) -> impl Iterator<Item = (&Entry, Duration)> {
        let others = self.others.values();
        others.map(move |entry| (entry, entry.age(now, &self.reports)))
    }

    /// Returns whether this host itself has lately heard from another one.
    pub fn hears(&self, now: Moment, host: &HostId) -> bool {
        let entry = self.others.get(host);
        entry.is_some_and(|entry| entry.is_heard(now))
    }

    /// Returns the other live hosts.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &Host> {
        let live = self.aged(now).filter(|(_, age)| *age <= LOST_AFTER);
        live.map(|(entry, _)| &entry.host)
    }

    /// Returns the other control hosts from which this host has heard itself, with their replicas.
    pub fn replica_hosts(&self, now: Moment) -> Vec<replacement::Host> {
        let control = self.others.values().filter(|entry| entry.host.is_control);
        let heard = control.filter_map(|entry| {
            Some(replacement::Host {
                id: entry.host.id.clone(),
                heard_at: entry.direct_contact?,
                replica: entry.host.replica.clone(),
                is_live: entry.is_heard(now),
                is_stopping: entry.host.is_stopping,
            })
        });
        heard.collect()
    }

    /// Returns the other live control hosts, each with whether its data centre is a remote one.
    pub(super) fn live_control_hosts(&self, now: Moment) -> impl Iterator<Item = (bool, &Host)> {
        let control = self.others.values().filter(|entry| entry.host.is_control);
        let live = control.filter(move |entry| entry.age(now, &self.reports) <= LOST_AFTER);
        let is_remote = |host: &Host| host.data_centre != self.local.data_centre;
        live.map(move |entry| (is_remote(&entry.host), &entry.host))
    }

    fn observe(&mut self, now: Moment, mut host: Host, source: Source) -> Option<Event> {
        let age = match source {
            Source::Direct => Duration::ZERO,
            Source::Listing(age) => age,
        };
        let direct_contact = (source == Source::Direct).then_some(now);
        let last_contact = now.saturating_sub(age);
        if host.id == self.local.id || age > EXPIRE_AFTER {
            return None;
        }
        let change = self.changes + 1;
        let Some(entry) = self.others.get_mut(&host.id) else {
            let entry = Entry {
                host: host.clone(),
                last_contact,
                direct_contact,
                is_lost: false,
                is_direct: direct_contact.is_some(),
                has_majority: false,
                changed: change,
            };
            self.others.insert(host.id.clone(), entry);
            self.changes = change;
            return Some(Event::Known(host));
        };
        // A boot number is a time of day, which may go back between two starts.
        if host.boot != entry.host.boot && last_contact <= entry.last_contact {
            return None;
        }
        // A host that stops never runs on, so listings of different ages agree on that.
        let is_same = host.boot == entry.host.boot;
        host.is_stopping |= is_same && entry.host.is_stopping;
        let is_newer = last_contact > entry.last_contact
            || !is_same
            || host.is_stopping != entry.host.is_stopping;
        let mut has_changed = is_newer && entry.host != host;
        if is_newer {
            entry.host = host;
            entry.last_contact = entry.last_contact.max(last_contact);
        }
        entry.direct_contact = direct_contact.or(entry.direct_contact);
        if !entry.is_direct && entry.is_heard(now) {
            entry.is_direct = true;
            has_changed = true;
        }
        let is_back = entry.is_lost && now - entry.last_contact <= LOST_AFTER;
        if is_back {
            entry.is_lost = false;
            has_changed = true;
        }
        if has_changed {
            entry.changed = change;
            self.changes = change;
        }
        is_back.then_some(Event::Back)
    }
}
