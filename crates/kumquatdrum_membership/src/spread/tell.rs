//! Telling a version on, and telling control replicas who has it.

use std::time::Duration;

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::machine::{Telling, send};
use super::timing::{
    EXCHANGE_INTERVAL, REPORT_ALL, REPORT_INTERVAL, REPORT_REPEAT, TELL_LIMIT, TELL_RETRY,
};
use super::{Output, Spread};

impl Spread {
    /// Tells the version to the hosts of the data centre that aren't known to have it.
    pub(super) fn tell_near(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let message = self.have(now);
        for to in self.paths.near() {
            let known = self.holdings.get(to);
            if known.is_none_or(|known| known.version < version) {
                send(out, to, message.clone());
            }
        }
    }

    /// The replicas all learn a version by themselves. The first of them by name tells it to the
    /// other data centres; each further one waits a while and only fills in.
    pub(super) fn start_telling(&mut self, now: Moment) {
        let local = &self.config.host;
        let rank = self.control.iter().filter(|host| *host < local).count() as u32;
        let due = now + TELL_RETRY * rank;
        let telling = |id| (id, Telling { count: 0, due });
        self.telling = self.paths.data_centres().into_iter().map(telling).collect();
    }

    /// Tells the version to each data centre that isn't known to have it, a few times.
    pub(super) fn tell_far(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let (paths, holdings) = (&self.paths, &self.holdings);
        self.telling.retain(|id, state| {
            let is_told = paths.hosts_of(id).iter().any(|host| {
                let known = holdings.get(host);
                known.is_some_and(|known| known.version >= version)
            });
            !is_told && state.count < TELL_LIMIT
        });
        let due: Vec<DataCentre> = self
            .telling
            .iter()
            .filter(|(_, state)| state.due <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.tell_data_centre(now, &id, out);
        }
    }

    fn tell_data_centre(&mut self, now: Moment, id: &DataCentre, out: &mut Vec<Output>) {
        let Some(state) = self.telling.get_mut(id) else {
            return;
        };
        // A second telling goes to another host: the contact may have just died.
        let since = match state.count {
            0 => before(now, EXCHANGE_INTERVAL * 2),
            _ => Moment::NEVER,
        };
        state.count += 1;
        state.due = now + TELL_RETRY;
        if let Some(to) = self.paths.contact(id, since) {
            send(out, &to, self.have_with(now, Vec::new(), true));
        }
    }

    /// The relay's exchange with control replicas elsewhere, and with one other data centre.
    pub(super) fn exchange(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = |at: Option<Moment>, interval| at.is_none_or(|at| now - at >= interval);
        if !is_due(self.exchanged_at, EXCHANGE_INTERVAL) {
            return;
        }
        self.exchanged_at = Some(now);
        let is_full = is_due(self.reported_all_at, REPORT_ALL);
        if is_full {
            self.reported_all_at = Some(now);
        }
        let age = if is_full {
            Duration::MAX
        } else {
            REPORT_REPEAT
        };
        let message = self.have_with(now, self.news(now, age), true);
        for to in self.replicas_elsewhere() {
            send(out, &to, message.clone());
        }
        let others = self.paths.data_centres();
        if others.is_empty() {
            return;
        }
        let id = &others[self.exchange_turn % others.len()];
        self.exchange_turn += 1;
        let turn = EXCHANGE_INTERVAL * 2 * others.len() as u32;
        if let Some(to) = self.paths.contact(id, before(now, turn)) {
            send(out, &to, self.have_with(now, Vec::new(), true));
        }
    }

    /// Tells control replicas at once which hosts have got a version.
    pub(super) fn report(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = self
            .reported_at
            .is_none_or(|at| now - at >= REPORT_INTERVAL);
        let last_change = self.holdings.last_change();
        if !is_due || last_change <= self.reported_at {
            return;
        }
        let since = self.reported_at.unwrap_or(Moment::ZERO);
        self.reported_at = Some(now);
        let news = self.news(now, now - since);
        if news.is_empty() {
            return;
        }
        let message = self.have_with(now, news, false);
        for to in self.replicas_elsewhere() {
            send(out, &to, message.clone());
        }
    }

    fn news(&self, now: Moment, age: Duration) -> Vec<(HostId, BootId, Version)> {
        self.holdings.news(now, age, |host| self.paths.is_own(host))
    }

    fn replicas_elsewhere(&self) -> Vec<HostId> {
        self.control
            .iter()
            .filter(|host| !self.paths.is_own(host))
            .cloned()
            .collect()
    }
}

fn before(now: Moment, age: Duration) -> Moment {
    let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
    Moment {
        micros: now.micros.saturating_sub(age),
    }
}
