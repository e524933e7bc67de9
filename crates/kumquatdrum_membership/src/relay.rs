//! Exchange between data centres: the relay of each data centre sends its summary to the other
//! relays and forwards theirs to the hosts of its own data centre.

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment};

use crate::data_centre;
use crate::machine::condition_output;
use crate::message::{Message, Report};
use crate::summary;
use crate::{Condition, Member, Membership, Output, Peer, Reachability, Summary};

/// State of a host of another data centre.
#[derive(Debug)]
pub(crate) struct RemoteHost {
    pub(crate) member: Member,
    boot: BootId,
    condition: Condition,
}

impl RemoteHost {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            boot: BootId(0),
            condition: Condition::Alive,
        }
    }

    pub(crate) fn peer(&self) -> Peer<'_> {
        Peer {
            member: &self.member,
            condition: self.condition,
        }
    }
}

impl Membership {
    /// Records a message from a remote host. Returns `false` for an earlier incarnation of its
    /// daemon or an unknown host.
    pub(crate) fn record_remote_contact(&mut self, from: &HostId, boot: BootId) -> bool {
        match self.remote_hosts.get_mut(from) {
            Some(remote) if boot >= remote.boot => {
                remote.boot = boot;
                true
            }
            _ => false,
        }
    }

    /// Performs the periodic work of the relay, if this host is the relay.
    pub(crate) fn run_relay(&mut self, now: Moment, may_suspect: bool, out: &mut Vec<Output>) {
        let is_relay = self.is_relay();
        let was_relay = std::mem::replace(&mut self.was_relay, is_relay);
        if !is_relay {
            return;
        }
        if !was_relay {
            self.remote_data_centres
                .values_mut()
                .for_each(|data_centre| data_centre.reset_for_takeover(now));
        }
        self.send_reports(now, out);
        self.enqueue_summaries(now);
        let reachabilities: Vec<(DataCentre, Reachability)> = self
            .remote_data_centres
            .values()
            .map(|data_centre| (data_centre.id.clone(), data_centre.reachability(now)))
            .filter(|(_, reachability)| may_suspect || *reachability == Reachability::Reachable)
            .collect();
        for (id, reachability) in reachabilities {
            self.set_reachability(&id, reachability, out);
        }
    }

    /// Returns the unreachable data centres other than this host's own.
    pub(crate) fn unreachable_remote_data_centres(&self) -> Vec<DataCentre> {
        self.remote_data_centres
            .values()
            .filter(|data_centre| data_centre.reachability == Reachability::CutOff)
            .map(|data_centre| data_centre.id.clone())
            .collect()
    }

    /// Processes the report of another data centre, and forwards it to the relay if this host
    /// isn't the relay.
    pub(crate) fn handle_report(
        &mut self,
        now: Moment,
        from: &HostId,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        let id = report.summary.data_centre.clone();
        if id == self.local.data_centre {
            return;
        }
        if !self.is_relay() && self.remote_hosts.contains_key(from) {
            out.push(Output::Send {
                to: self.relay().clone(),
                message: Message::Summary(Box::new(report.clone())),
            });
        }
        self.compare_roster(now, from, report.roster, out);
        let data_centre = self
            .remote_data_centres
            .entry(id.clone())
            .or_insert_with_key(|id| data_centre::Remote::new(id.clone(), now));
        if data_centre.update(now, report.summary.clone(), report.relay) {
            out.push(Output::Summary(report.summary));
        }
        self.update_remote_conditions(&id, out);
    }

    /// Processes the state of other data centres that this data centre's relay forwarded.
    pub(crate) fn handle_relayed(
        &mut self,
        from: &HostId,
        unreachable: Option<Vec<DataCentre>>,
        summaries: Vec<Summary>,
        out: &mut Vec<Output>,
    ) {
        for summary in summaries {
            let id = summary.data_centre.clone();
            if let Some(data_centre) = self.remote_data_centres.get_mut(&id)
                && data_centre.summary.as_ref() != Some(&summary)
            {
                data_centre.summary = Some(summary.clone());
                out.push(Output::Summary(summary));
            }
            self.update_remote_conditions(&id, out);
        }
        let Some(unreachable) = unreachable.filter(|_| self.relay() == from) else {
            return;
        };
        let ids: Vec<DataCentre> = self.remote_data_centres.keys().cloned().collect();
        for id in ids {
            let reachability = if unreachable.contains(&id) {
                Reachability::CutOff
            } else {
                Reachability::Reachable
            };
            self.set_reachability(&id, reachability, out);
        }
    }

    fn send_reports(&mut self, now: Moment, out: &mut Vec<Output>) {
        let mut contacts = Vec::new();
        for (id, data_centre) in &mut self.remote_data_centres {
            let hosts: Vec<&HostId> = self
                .remote_hosts
                .values()
                .filter(|remote| remote.member.data_centre == *id)
                .map(|remote| &remote.member.host)
                .collect();
            contacts.extend(data_centre.select_contact(now, &hosts));
        }
        if contacts.is_empty() {
            return;
        }
        let report = self.report();
        for to in contacts {
            out.push(Output::Send {
                to,
                message: Message::Summary(Box::new(report.clone())),
            });
        }
    }

    fn report(&self) -> Report {
        let down = self
            .hosts
            .values()
            .filter(|host| host.condition != Condition::Alive)
            .map(|host| host.member.host.clone())
            .collect();
        Report {
            relay: self.local.host.clone(),
            roster: self.roster_digest,
            summary: Summary {
                data_centre: self.local.data_centre.clone(),
                services: summary::services(self.table.records()),
                down,
            },
        }
    }

    fn enqueue_summaries(&mut self, now: Moment) {
        for data_centre in self.remote_data_centres.values_mut() {
            if !data_centre.start_forwarding(now) {
                continue;
            }
            for host in self.hosts.values_mut() {
                if host.condition != Condition::Dead {
                    host.backlog.add_summary(&data_centre.id);
                }
            }
        }
    }

    /// Queues all summaries for a host that has returned or restarted.
    pub(crate) fn enqueue_summaries_for(&mut self, host: &HostId) {
        let is_relay = self.is_relay();
        let Some(host) = self.hosts.get_mut(host).filter(|_| is_relay) else {
            return;
        };
        for id in self.remote_data_centres.keys() {
            host.backlog.add_summary(id);
        }
    }

    fn set_reachability(
        &mut self,
        id: &DataCentre,
        reachability: Reachability,
        out: &mut Vec<Output>,
    ) {
        let Some(data_centre) = self.remote_data_centres.get_mut(id) else {
            return;
        };
        if data_centre.reachability != reachability {
            data_centre.reachability = reachability;
            out.push(Output::DataCentre {
                id: id.clone(),
                reachability,
            });
        }
        self.update_remote_conditions(id, out);
    }

    /// Derives the conditions of a data centre's hosts from its reachability and its summary.
    fn update_remote_conditions(&mut self, id: &DataCentre, out: &mut Vec<Output>) {
        let Some(data_centre) = self.remote_data_centres.get(id) else {
            return;
        };
        let down = data_centre.summary.as_ref().map(|summary| &summary.down);
        let hosts = self
            .remote_hosts
            .values_mut()
            .filter(|remote| remote.member.data_centre == *id);
        for remote in hosts {
            let host = &remote.member.host;
            let condition = match data_centre.reachability {
                Reachability::CutOff => Condition::Suspect,
                Reachability::Reachable if down.is_some_and(|down| down.contains(host)) => {
                    Condition::Dead
                }
                Reachability::Reachable => Condition::Alive,
            };
            if condition != remote.condition {
                remote.condition = condition;
                out.push(condition_output(host, condition));
            }
        }
    }
}
