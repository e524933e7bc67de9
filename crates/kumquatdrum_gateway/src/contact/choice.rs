//! The choice of the control hosts that a host sends hellos to.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::{HostId, Moment, hash};

use super::{Contact, MAX_ENDPOINT_DURATION, Schedule};

/// The number of control hosts that a host sends hellos to. Two may be lost at once.
const CONTACTS: usize = 3;
/// The number of contacts that did not fail at most. Another one makes up for each that is slow, has not
/// answered yet or knows no endpoints.
const MAX_CONTACTS: usize = 2 * CONTACTS;
/// The number of contacts that are of the local data centre if it has as many control hosts. The others
/// tell a host in a data centre that is cut off from those outside.
const NEAR_CONTACTS: usize = 2;
/// The time for which a contact that has answered before may take to answer a hello until another
/// control host becomes a contact as well. A frozen one is noticed by then, before its hello times out.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(500);

impl Contact {
    /// Returns when a hello in flight to a control host that has answered before counts as slow.
    pub(super) fn slow_at(&self) -> Option<Moment> {
        let sent = self.hello.filter(|_| self.answered.is_some());
        sent.map(|(_, sent)| sent + USUAL_RESPONSE_TIME)
    }

    fn is_slow(&self, now: Moment) -> bool {
        self.slow_at().is_some_and(|at| at <= now)
    }
}

impl Schedule {
    /// Returns the control hosts that hellos are sent to.
    pub fn active_contacts(&self) -> impl Iterator<Item = &HostId> + Clone {
        let active = self.contacts.iter();
        let active = active.filter(|(_, contact)| contact.is_active);
        active.map(|(host, _)| host)
    }

    /// Chooses the contacts: the preferred control hosts of those that didn't fail to answer, and for each
    /// that is slow, has not answered yet or knows no endpoints another one, those that answer first.
    /// Preferred ones that failed are tried again. A control host contacts all, and so does a host that
    /// knows only seeds yet.
    pub(super) fn choose_contacts(&mut self, now: Moment) {
        if now < self.reconsider_at {
            return;
        }
        let mut active = self.preferred();
        active.extend(self.substitutes(now, &active));
        for (place, contact) in self.contacts.values_mut().enumerate() {
            let is_active = active.contains(&place);
            if is_active && !contact.is_active && contact.missing == 0 {
                contact.due = contact.due.min(now);
            }
            contact.is_active = is_active;
            contact.is_answering &= is_active;
        }
        let contacts = &self.contacts;
        let is_active = |host: &HostId| contacts.get(host).is_some_and(|it| it.is_active);
        self.endpoints.sources.retain(is_active);
        self.endpoints.empty.retain(is_active);
        let slow_at = contacts.values().filter_map(Contact::slow_at);
        let slow_at = slow_at.filter(|at| *at > now).min();
        self.reconsider_at = slow_at.unwrap_or(Moment::NEVER);
    }

    /// Returns the places of the preferred contacts, and of those before them that failed, which are tried
    /// again.
    fn preferred(&self) -> IndexSet<usize> {
        let mut wanted = if self.is_control || self.is_searching() {
            self.order.len()
        } else {
            CONTACTS
        };
        let places = self.order.iter().copied();
        let places = places.take_while(|place| {
            let is_wanted = wanted > 0;
            wanted -= usize::from(is_wanted && self.contacts[*place].missing == 0);
            is_wanted
        });
        places.collect()
    }

    /// Returns the places of the contacts that make up for preferred ones, those that answer first.
    fn substitutes(&self, now: Moment, preferred: &IndexSet<usize>) -> Vec<usize> {
        let is_failing = |place: &usize| self.contacts[*place].missing > 0;
        let sound = preferred.iter().filter(|place| !is_failing(place));
        let most = MAX_CONTACTS.saturating_sub(sound.clone().count());
        let mut useful = sound.filter(|place| self.is_useful(now, **place)).count();
        let others = self.order.iter().copied();
        let others = others.filter(|place| !preferred.contains(place) && !is_failing(place));
        let mut others: Vec<usize> = others.collect();
        others.sort_by_key(|place| !self.contacts[*place].is_answering);
        let substitutes = others.into_iter().take(most);
        let substitutes = substitutes.take_while(|place| {
            let is_wanted = useful < CONTACTS;
            useful += usize::from(!self.is_doubtful(now, *place));
            is_wanted
        });
        substitutes.collect()
    }

    /// Returns whether a contact answers in the usual time and knows endpoints.
    fn is_useful(&self, now: Moment, place: usize) -> bool {
        self.contacts[place].is_answering && !self.is_doubtful(now, place)
    }

    /// Returns whether a control host is slow, or knows no endpoints while this host starts.
    fn is_doubtful(&self, now: Moment, place: usize) -> bool {
        let is_starting = now - self.started < MAX_ENDPOINT_DURATION;
        let contact = self.contacts.get_index(place);
        contact.is_none_or(|(host, contact)| {
            contact.is_slow(now) || (is_starting && self.endpoints.empty.contains(host))
        })
    }

    /// Returns the places of the control hosts in the order of preference: the nearest two by rendezvous
    /// hashing, so that hosts spread over them, one of another data centre, and the others.
    pub(super) fn sorted_places(&self) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.contacts.len()).collect();
        places.sort_by_cached_key(|place| {
            let contact = self.contacts.get_index(*place);
            contact.map(|(host, contact)| {
                let weight = hash::pair(self.local.as_str(), host.as_str());
                (contact.is_remote, weight)
            })
        });
        let is_remote = |place: &&usize| self.contacts[**place].is_remote;
        let near = places.len() - places.iter().filter(is_remote).count();
        if near > NEAR_CONTACTS && near < places.len() {
            places[NEAR_CONTACTS..=near].rotate_right(1);
        }
        places
    }
}
