//! Between data centres: one relay a data centre tells its summary to the others' relays, and
//! passes theirs on within its own.

use kumquatdrum_types::{BootId, DataCentre, HostId, Moment};

use crate::data_centre::Distant;
use crate::machine::condition;
use crate::message::{Message, Report};
use crate::summary;
use crate::{Condition, Member, Membership, Output, Reach, Summary, View};

/// A host of another data centre.
#[derive(Debug)]
pub(crate) struct Remote {
    pub(crate) member: Member,
    boot: BootId,
    condition: Condition,
}

impl Remote {
    pub(crate) fn new(member: Member) -> Self {
        Self {
            member,
            boot: BootId(0),
            condition: Condition::Alive,
        }
    }

    pub(crate) fn view(&self) -> View<'_> {
        View {
            member: &self.member,
            condition: self.condition,
        }
    }
}

impl Membership {
    /// Notes the life of a remote host's daemon; false where a former one spoke.
    pub(crate) fn hear_remote(&mut self, from: &HostId, boot: BootId) -> bool {
        match self.remote.get_mut(from) {
            Some(remote) if boot >= remote.boot => {
                remote.boot = boot;
                true
            }
            _ => false,
        }
    }

    /// What a relay has to do at each tick.
    pub(crate) fn relay_duties(&mut self, now: Moment, may_judge: bool, out: &mut Vec<Output>) {
        let is_relay = self.is_relay();
        let was_relay = std::mem::replace(&mut self.was_relay, is_relay);
        if !is_relay {
            return;
        }
        if !was_relay {
            self.distant
                .values_mut()
                .for_each(|distant| distant.take_over(now));
        }
        self.send_reports(now, out);
        self.pass_summaries(now);
        let judged: Vec<(DataCentre, Reach)> = self
            .distant
            .values()
            .map(|distant| (distant.id.clone(), distant.judge(now)))
            .filter(|(_, reach)| may_judge || *reach == Reach::Reachable)
            .collect();
        for (id, reach) in judged {
            self.set_reach(&id, reach, out);
        }
    }

    pub(crate) fn unreachable(&self) -> Vec<DataCentre> {
        self.distant
            .values()
            .filter(|distant| distant.reach == Reach::CutOff)
            .map(|distant| distant.id.clone())
            .collect()
    }

    /// Takes the report of another data centre; a host that isn't the relay hands it on.
    pub(crate) fn take_report(
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
        if !self.is_relay() && self.remote.contains_key(from) {
            out.push(Output::Send {
                to: self.relay().clone(),
                message: Message::Summary(Box::new(report.clone())),
            });
        }
        self.compare_roster(now, from, report.roster, out);
        let distant = self
            .distant
            .entry(id.clone())
            .or_insert_with_key(|id| Distant::new(id.clone(), now));
        if distant.take(now, report.summary.clone(), report.relay) {
            out.push(Output::Summary(report.summary));
        }
        self.judge_remote(&id, out);
    }

    /// Takes what the own data centre's relay says of the others.
    pub(crate) fn take_relayed(
        &mut self,
        from: &HostId,
        cut_off: Option<Vec<DataCentre>>,
        summaries: Vec<Summary>,
        out: &mut Vec<Output>,
    ) {
        for summary in summaries {
            let id = summary.data_centre.clone();
            if let Some(distant) = self.distant.get_mut(&id)
                && distant.summary.as_ref() != Some(&summary)
            {
                distant.summary = Some(summary.clone());
                out.push(Output::Summary(summary));
            }
            self.judge_remote(&id, out);
        }
        let Some(cut_off) = cut_off.filter(|_| self.relay() == from) else {
            return;
        };
        let ids: Vec<DataCentre> = self.distant.keys().cloned().collect();
        for id in ids {
            let reach = if cut_off.contains(&id) {
                Reach::CutOff
            } else {
                Reach::Reachable
            };
            self.set_reach(&id, reach, out);
        }
    }

    fn send_reports(&mut self, now: Moment, out: &mut Vec<Output>) {
        let mut contacts = Vec::new();
        for (id, distant) in &mut self.distant {
            let hosts: Vec<&HostId> = self
                .remote
                .values()
                .filter(|remote| remote.member.data_centre == *id)
                .map(|remote| &remote.member.host)
                .collect();
            contacts.extend(distant.contact(now, &hosts));
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
            roster: self.roster,
            summary: Summary {
                data_centre: self.local.data_centre.clone(),
                services: summary::services(self.table.records()),
                down,
            },
        }
    }

    fn pass_summaries(&mut self, now: Moment) {
        for distant in self.distant.values_mut() {
            if !distant.pass(now) {
                continue;
            }
            for host in self.hosts.values_mut() {
                if host.condition != Condition::Dead {
                    host.backlog.add_summary(&distant.id);
                }
            }
        }
    }

    /// A host is back, or its daemon has restarted: it lacks the summaries.
    pub(crate) fn pass_summaries_to(&mut self, host: &HostId) {
        let is_relay = self.is_relay();
        let Some(host) = self.hosts.get_mut(host).filter(|_| is_relay) else {
            return;
        };
        for id in self.distant.keys() {
            host.backlog.add_summary(id);
        }
    }

    fn set_reach(&mut self, id: &DataCentre, reach: Reach, out: &mut Vec<Output>) {
        let Some(distant) = self.distant.get_mut(id) else {
            return;
        };
        if distant.reach != reach {
            distant.reach = reach;
            out.push(Output::DataCentre {
                id: id.clone(),
                reach,
            });
        }
        self.judge_remote(id, out);
    }

    /// Derives the condition of a data centre's hosts from its reach and its summary.
    fn judge_remote(&mut self, id: &DataCentre, out: &mut Vec<Output>) {
        let Some(distant) = self.distant.get(id) else {
            return;
        };
        let down = distant.summary.as_ref().map(|summary| &summary.down);
        let remotes = self
            .remote
            .values_mut()
            .filter(|remote| remote.member.data_centre == *id);
        for remote in remotes {
            let host = &remote.member.host;
            let judged = match distant.reach {
                Reach::CutOff => Condition::Suspect,
                Reach::Reachable if down.is_some_and(|down| down.contains(host)) => Condition::Dead,
                Reach::Reachable => Condition::Alive,
            };
            if judged != remote.condition {
                remote.condition = judged;
                out.push(condition(host, judged));
            }
        }
    }
}
