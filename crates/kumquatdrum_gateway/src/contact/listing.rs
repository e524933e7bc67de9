//! When a hello requests a listing of hosts and the changed endpoints, and of which contact.

use std::time::Duration;

use kumquatdrum_types::{HostId, Moment};

use super::{Contact, Schedule};

/// The age at which a contact's listing is requested again, with its next hello. A host that is lost
/// counts as live until each contact says so, so none may wait for the others' turns.
const LISTING_AGE: Duration = Duration::from_millis(900);
/// The time after which a missing listing of changes is requested from another control host. Without
/// listings, hosts count as lost after 2 s.
const LISTING_PATIENCE: Duration = Duration::from_millis(600);

/// The interval at which changed endpoints are requested of another source than the first, so that it
/// can replace that one at any time.
const STANDBY_INTERVAL: Duration = Duration::from_secs(4);
/// The time without changes from the first source after which any one is asked. Endpoints count as silent
/// later than that.
const CHANGES_PATIENCE: Duration = Duration::from_millis(1_500);

impl Schedule {
    /// Returns whether a listing that is requested now of a contact comes with the changed endpoints.
    /// Control hosts publish these to each other.
    pub(super) fn is_change_due(&self, now: Moment, from: &HostId) -> bool {
        let endpoints = &self.endpoints;
        let Some(place) = endpoints.sources.iter().position(|source| source == from) else {
            return false;
        };
        let requested = endpoints.changes_requested.get(from);
        !self.is_control
            && (place == 0
                || now - endpoints.changes_received >= CHANGES_PATIENCE
                || requested.is_none_or(|at| now - *at >= STANDBY_INTERVAL))
    }

    /// Returns whether a host that has had endpoints gets no changes, as none of its sources answers.
    pub(super) fn lacks_source(&self, now: Moment) -> bool {
        let endpoints = &self.endpoints;
        let answers = |source: &HostId| {
            let contact = self.contacts.get(source);
            contact.is_some_and(|contact| contact.is_answering)
        };
        !self.is_control
            && endpoints.received > 0
            && now - endpoints.changes_received >= CHANGES_PATIENCE
            && !endpoints.sources.iter().any(answers)
    }

    /// Makes the hello due that requests the first listing or an overdue one. Control hosts request
    /// their first ones of each other.
    pub(super) fn expedite_listing(&mut self, now: Moment) {
        if self.is_control {
            let contacts = self.contacts.values_mut();
            let unlisted =
                |contact: &&mut Contact| contact.is_answering && contact.listed == Moment::ZERO;
            contacts
                .filter(unlisted)
                .for_each(|contact| contact.due = contact.due.min(now));
            return;
        }
        let source = match self.listing.is_received {
            true if self.overdue_at().is_some_and(|at| at <= now) => self.next_listed(),
            false if !self.listing.is_in_flight => self.source(now, &[]),
            _ => None,
        };
        if let Some(contact) = source.and_then(|source| self.contacts.get_mut(&source)) {
            contact.due = contact.due.min(now);
        }
    }

    /// Returns whether a hello that is sent now to a control host requests a listing. The first
    /// listing is complete and awaited; later ones contain changes and come from all contacts, so
    /// that a partitioned one does not hide hosts for long.
    pub(super) fn is_listing_due(&self, now: Moment, to: &HostId) -> bool {
        let Some(contact) = self.contacts.get(to) else {
            return false;
        };
        if contact.listing.is_some() {
            return false;
        }
        if !contact.is_answering || self.is_control {
            // A contact in place of others that do not answer is asked with its first hello.
            let is_overdue = self.overdue_at().is_some_and(|at| at <= now);
            return contact.is_answering || (is_overdue && contact.missing == 0);
        }
        if !self.listing.is_received {
            return !self.listing.is_in_flight && self.source(now, &[]).as_ref() == Some(to);
        }
        let is_overdue = self.overdue_at().is_some_and(|at| at <= now);
        now - contact.listed >= LISTING_AGE
            || (is_overdue && self.next_listed().as_ref() == Some(to))
    }

    /// Returns when a new listing is due at the latest, after the first one.
    pub(super) fn overdue_at(&self) -> Option<Moment> {
        let asked = self.listing.asked.as_ref();
        let asked = asked.filter(|_| self.listing.is_received && !self.is_control);
        asked.map(|(_, at)| *at + LISTING_PATIENCE)
    }

    /// Returns the control host whose listing is the oldest of those that could be sent a hello, or the
    /// one that answered last while a listing is missing, as others may be frozen too.
    fn next_listed(&self) -> Option<HostId> {
        let idle = self.contacts.iter();
        let idle = idle.filter(|(_, contact)| {
            contact.is_answering && contact.hello.is_none() && contact.listing.is_none()
        });
        let next = if self.listing.is_in_flight || self.listing.is_missing {
            idle.max_by_key(|(_, contact)| contact.answered)
        } else {
            idle.min_by_key(|(_, contact)| contact.listed)
        };
        next.map(|(host, _)| host.clone())
    }
}
