//! Notifications about a new version, and reports to control replicas about hosts that have it.

use std::time::Duration;

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment, Version};

use super::machine::{Notification, send};
use super::timing::{
    EXCHANGE_INTERVAL, FULL_REPORT_INTERVAL, NOTIFICATION_LIMIT, NOTIFICATION_RETRY,
    REPORT_INTERVAL, REPORT_REPEAT_WINDOW,
};
use super::{Output, Propagation};

impl Propagation {
    /// Notifies the hosts of the data centre that aren't known to have the version.
    pub(super) fn notify_data_centre(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let message = self.have_message(now);
        for to in self.topology.local_hosts() {
            let known = self.installations.get(to);
            if known.is_none_or(|known| known.version < version) {
                send(out, to, message.clone());
            }
        }
    }

    /// Schedules notifications to the other data centres. Each replica applies a version on its
    /// own: the first one by name notifies at once, the others are delayed as a fallback.
    pub(super) fn schedule_notifications(&mut self, now: Moment) {
        let local = &self.config.host;
        let rank = self
            .control_replicas
            .iter()
            .filter(|host| *host < local)
            .count() as u32;
        let due = now + NOTIFICATION_RETRY * rank;
        let notifications = |id| (id, Notification { count: 0, due });
        self.notifications = self
            .topology
            .data_centres()
            .into_iter()
            .map(notifications)
            .collect();
    }

    /// Notifies each data centre that isn't known to have the version, up to
    /// [`NOTIFICATION_LIMIT`] times.
    pub(super) fn notify_remote_data_centres(&mut self, now: Moment, out: &mut Vec<Output>) {
        let version = self.version();
        let (topology, installations) = (&self.topology, &self.installations);
        self.notifications.retain(|id, notification| {
            let is_notified = topology.hosts_of(id).iter().any(|host| {
                let known = installations.get(host);
                known.is_some_and(|known| known.version >= version)
            });
            !is_notified && notification.count < NOTIFICATION_LIMIT
        });
        let due: Vec<DataCentre> = self
            .notifications
            .iter()
            .filter(|(_, notification)| notification.due <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.notify_remote_data_centre(now, &id, out);
        }
    }

    fn notify_remote_data_centre(&mut self, now: Moment, id: &DataCentre, out: &mut Vec<Output>) {
        let Some(notification) = self.notifications.get_mut(id) else {
            return;
        };
        // A retry goes to another host, because the contact may be dead.
        let since = match notification.count {
            0 => now.saturating_sub(EXCHANGE_INTERVAL * 2),
            _ => Moment::NEVER,
        };
        notification.count += 1;
        notification.due = now + NOTIFICATION_RETRY;
        if let Some(to) = self.topology.select_contact(id, since) {
            send(out, &to, self.have_message_with(now, Vec::new(), true));
        }
    }

    /// Exchanges versions with remote control replicas and with one other data centre in turn.
    pub(super) fn exchange(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = |at: Option<Moment>, interval| at.is_none_or(|at| now - at >= interval);
        if !is_due(self.last_exchange, EXCHANGE_INTERVAL) {
            return;
        }
        self.last_exchange = Some(now);
        let is_full = is_due(self.last_full_report, FULL_REPORT_INTERVAL);
        if is_full {
            self.last_full_report = Some(now);
        }
        let age = if is_full {
            Duration::MAX
        } else {
            REPORT_REPEAT_WINDOW
        };
        let message = self.have_message_with(now, self.recent_changes(now, age), true);
        for to in self.remote_replicas() {
            send(out, &to, message.clone());
        }
        let others = self.topology.data_centres();
        if others.is_empty() {
            return;
        }
        let id = &others[self.next_exchange % others.len()];
        self.next_exchange += 1;
        let max_contact_age = EXCHANGE_INTERVAL * 2 * others.len() as u32;
        if let Some(to) = self
            .topology
            .select_contact(id, now.saturating_sub(max_contact_age))
        {
            send(out, &to, self.have_message_with(now, Vec::new(), true));
        }
    }

    /// Reports recent version changes of the data centre's hosts to remote control replicas.
    pub(super) fn report(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = self
            .last_report
            .is_none_or(|at| now - at >= REPORT_INTERVAL);
        let last_change = self.installations.last_change();
        if !is_due || last_change <= self.last_report {
            return;
        }
        let since = self.last_report.unwrap_or(Moment::ZERO);
        self.last_report = Some(now);
        let recent_changes = self.recent_changes(now, now - since);
        if recent_changes.is_empty() {
            return;
        }
        let message = self.have_message_with(now, recent_changes, false);
        for to in self.remote_replicas() {
            send(out, &to, message.clone());
        }
    }

    fn recent_changes(&self, now: Moment, age: Duration) -> Vec<(HostId, BootId, Version)> {
        self.installations
            .recent_changes(now, age, |host| self.topology.is_local(host))
    }

    fn remote_replicas(&self) -> Vec<HostId> {
        self.control_replicas
            .iter()
            .filter(|host| !self.topology.is_local(host))
            .cloned()
            .collect()
    }
}
