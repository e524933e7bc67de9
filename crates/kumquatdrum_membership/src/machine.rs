//! The membership state machine.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId, Moment};

use crate::backlog::{LEAVING_TRANSMISSIONS, Update};
use crate::data_centre;
use crate::host::{Evidence, Host};
use crate::notice::Notice;
use crate::propagation::Status;
use crate::relay::RemoteHost;
use crate::table::{self, Record, Table};
use crate::timing::{STALL_THRESHOLD, SUSPECT_AFTER};
use crate::{Condition, Input, Member, Message, Output, Peer, Reachability, Refusal, Summary};

/// Hosts and endpoints from the point of view of one host.
///
/// ```
/// use kumquatdrum_membership::{Input, Member, Membership};
/// use kumquatdrum_types::{BootId, DataCentre, HostId, Moment};
///
/// let member = |name: &str, port| Member {
///     host: HostId::new(name),
///     data_centre: DataCentre::new("ikeja"),
///     address: ([127, 0, 0, 1], port).into(),
///     boot: BootId(0),
/// };
/// let mut membership = Membership::new(member("entry-1", 1), [member("entry-2", 2)]);
/// let mut out = Vec::new();
/// membership.step(Moment::from_millis(40), Input::Tick, &mut out);
/// assert!(!out.is_empty());
/// assert!(membership.is_relay());
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(crate) local: Member,
    /// Other hosts of the data centre.
    pub(crate) hosts: IndexMap<HostId, Host>,
    /// Hosts of other data centres.
    pub(crate) remote_hosts: IndexMap<HostId, RemoteHost>,
    pub(crate) remote_data_centres: IndexMap<DataCentre, data_centre::Remote>,
    pub(crate) table: Table,
    pub(crate) setup_status: Option<Status>,
    pub(crate) roster_digest: u32,
    pub(crate) roster_sent_at: Option<Moment>,
    pub(crate) digest_sent_at: Option<Moment>,
    pub(crate) was_relay: bool,
    notices: Vec<Notice>,
    own_reachability: Reachability,
    last_tick: Option<Moment>,
    /// End of the suspension of suspicions after a stall of this daemon.
    grace_until: Moment,
}

impl Membership {
    /// Creates the state machine of host `local`, with the other hosts listed in its settings.
    /// `local.boot` is the incarnation of its daemon.
    pub fn new(local: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let mut membership = Self {
            local,
            hosts: IndexMap::new(),
            remote_hosts: IndexMap::new(),
            remote_data_centres: IndexMap::new(),
            table: Table::default(),
            setup_status: None,
            roster_digest: 0,
            roster_sent_at: None,
            digest_sent_at: None,
            was_relay: false,
            notices: Vec::new(),
            own_reachability: Reachability::Reachable,
            last_tick: None,
            grace_until: Moment::ZERO,
        };
        for member in others {
            membership.add_member(Moment::ZERO, member);
        }
        membership.update_roster_digest();
        membership
    }

    /// Processes one input. `now` must not decrease between calls.
    pub fn step(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Announce(announcement) => self.handle_announcement(now, announcement, out),
            Input::Peer {
                from,
                boot,
                message,
            } => self.handle_message(now, &from, boot, message, out),
            Input::DispatchFailed { endpoint } => self.table.record_failure(now, &endpoint, out),
            Input::SetupStatus(status) => self.setup_status = Some(status),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Returns the endpoints of the data centre, including gone ones that are still remembered.
    pub fn endpoints(&self) -> impl Iterator<Item = &Record> {
        self.table.records()
    }

    /// Returns the record of an endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Record> {
        self.table.get(id)
    }

    /// Returns all other hosts.
    pub fn hosts(&self) -> impl Iterator<Item = Peer<'_>> {
        let local = self.hosts.values().map(|host| Peer {
            member: &host.member,
            condition: host.condition,
        });
        local.chain(self.remote_hosts.values().map(RemoteHost::peer))
    }

    /// Returns the known summaries of the other data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.remote_data_centres
            .values()
            .filter_map(|data_centre| data_centre.summary.as_ref())
    }

    /// Returns the unreachable data centres, including this host's own if this host is isolated
    /// within it.
    pub fn unreachable_data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        let own =
            (self.own_reachability == Reachability::CutOff).then_some(&self.local.data_centre);
        let remote = self
            .remote_data_centres
            .values()
            .filter(|data_centre| data_centre.reachability == Reachability::CutOff);
        own.into_iter()
            .chain(remote.map(|data_centre| &data_centre.id))
    }

    /// Returns the relay, which represents the data centre towards the others: the first live
    /// host by name.
    pub fn relay(&self) -> &HostId {
        self.hosts
            .values()
            .filter(|host| host.condition == Condition::Alive)
            .map(|host| &host.member.host)
            .fold(&self.local.host, std::cmp::min)
    }

    /// Returns whether this host is the relay of its data centre.
    pub fn is_relay(&self) -> bool {
        *self.relay() == self.local.host
    }

    pub(crate) fn alive_hosts(&self) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|host| host.condition == Condition::Alive)
            .map(|host| host.member.host.clone())
            .collect()
    }

    /// Queues the result of a merge for the other hosts. If it came from another host (`source`),
    /// only a leaving notice is forwarded.
    pub(crate) fn enqueue_update(
        &mut self,
        id: &EndpointId,
        outcome: table::Outcome,
        source: Option<&HostId>,
    ) {
        let update = match (outcome, source) {
            (table::Outcome::Leaving, _) => Update::Leaving(LEAVING_TRANSMISSIONS),
            (table::Outcome::Joined, None) => Update::Record,
            (table::Outcome::Renewed { has_new_load: true }, None) => Update::Load,
            (
                table::Outcome::Renewed {
                    has_new_load: false,
                },
                None,
            ) => Update::Renewal,
            (table::Outcome::Stale, _) | (_, Some(_)) => return,
        };
        for (host, state) in &mut self.hosts {
            if state.condition != Condition::Dead && Some(host) != source {
                state.backlog.add(id, update);
            }
        }
    }

    fn handle_announcement(
        &mut self,
        now: Moment,
        announcement: Announcement,
        out: &mut Vec<Output>,
    ) {
        let (id, boot, sequence) = (
            announcement.endpoint.clone(),
            announcement.boot,
            announcement.sequence,
        );
        let known_boot = self.table.get(&id).map(|record| record.announcement.boot);
        let refusal = match known_boot {
            _ if announcement.data_centre != self.local.data_centre => {
                Some(Refusal::OtherDataCentre)
            }
            Some(known) if known > boot => Some(Refusal::OldBoot),
            _ => None,
        };
        if let Some(reason) = refusal {
            out.push(Output::RefuseAnnounce {
                endpoint: id,
                boot,
                sequence,
                reason,
            });
            return;
        }
        let is_leaving = announcement.leaving;
        let outcome = self
            .table
            .merge(now, announcement, Duration::ZERO, None, out);
        self.enqueue_update(&id, outcome, None);
        if is_leaving {
            self.start_notice(now, id, boot, sequence);
            self.advance_notices(now, out);
        } else {
            out.push(Output::AckAnnounce {
                endpoint: id,
                boot,
                sequence,
            });
        }
    }

    fn start_notice(&mut self, now: Moment, id: EndpointId, boot: BootId, sequence: u64) {
        let known = self
            .notices
            .iter_mut()
            .find(|notice| notice.endpoint == id && notice.boot == boot);
        if let Some(notice) = known {
            notice.unacknowledged.push(sequence);
            return;
        }
        let mut notice = Notice::new(id, boot, now);
        notice.unacknowledged.push(sequence);
        self.notices.push(notice);
    }

    fn advance_notices(&mut self, now: Moment, out: &mut Vec<Output>) {
        let alive = self.alive_hosts();
        let mut notices = std::mem::take(&mut self.notices);
        for notice in &mut notices {
            for to in notice.due_receivers(now, &alive) {
                let snapshot = self.snapshot(now, &notice.endpoint, &to);
                let message = snapshot.map(Message::Leaving);
                out.extend(message.map(|message| Output::Send { to, message }));
            }
            notice.acknowledge(&alive, out);
        }
        notices.retain(|notice| !notice.is_complete(now, &alive));
        self.notices = notices;
    }

    fn handle_message(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Members { members, wanted } => {
                self.handle_members(now, from, members, wanted, out);
                self.record_contact(now, from, boot, out);
            }
            _ if !self.is_known(from) => self.request_members(from, out),
            _ if !self.record_contact(now, from, boot, out) => {}
            Message::Push(push) => self.handle_push(now, from, boot, push, out),
            Message::Leaving(snapshot) => self.handle_leaving(now, from, snapshot, out),
            Message::Confirm { endpoint, boot } => {
                for notice in &mut self.notices {
                    if notice.endpoint == endpoint && notice.boot == boot {
                        notice.confirm(from.clone());
                    }
                }
                self.advance_notices(now, out);
            }
            Message::Digest { staying, leaving } => {
                self.handle_digest(now, from, &staying, &leaving, out);
            }
            Message::Want(keys) => self.handle_want(now, from, &keys, out),
            Message::Records(records) => self.handle_records(now, from, records, out),
            Message::Summary(report) => self.handle_report(now, from, *report, out),
        }
    }

    /// Records a message from a host. Returns `false` for an earlier incarnation of its daemon.
    fn record_contact(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(host) = self.hosts.get_mut(from) else {
            return self.record_remote_contact(from, boot);
        };
        if boot < host.boot {
            return false;
        }
        let is_new = boot > host.boot;
        if is_new {
            host.reset_for_boot();
            host.boot = boot;
        }
        host.last_heard = now;
        let previous_condition = std::mem::replace(&mut host.condition, Condition::Alive);
        if previous_condition != Condition::Alive {
            out.push(condition_output(from, Condition::Alive));
        }
        if is_new || previous_condition == Condition::Dead {
            self.enqueue_summaries_for(from);
        }
        true
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        match self.last_tick.replace(now) {
            None => self.handle_first_tick(now, out),
            // This daemon was stalled, so silence in the meantime is no evidence of failure.
            Some(last) if now - last > STALL_THRESHOLD => self.grace_until = now + SUSPECT_AFTER,
            Some(_) => {}
        }
        if now >= self.grace_until {
            self.update_conditions(now, out);
            let hosts = &self.hosts;
            let is_silent = |host: &HostId| {
                hosts
                    .get(host)
                    .is_none_or(|host| !host.is_recently_heard(now))
            };
            self.table.expire(now, is_silent, out);
        }
        self.advance_notices(now, out);
        self.compare_tables(now, out);
        self.run_relay(now, now >= self.grace_until, out);
        self.send_due_pushes(now, out);
    }

    /// Starts all timers and requests the tables of two hosts.
    fn handle_first_tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.stagger_pushes(now);
        for host in self.hosts.values_mut() {
            host.last_heard = now;
        }
        for data_centre in self.remote_data_centres.values_mut() {
            data_centre.reset_for_takeover(now);
        }
        let receivers: Vec<HostId> = self.hosts.keys().take(2).cloned().collect();
        for to in receivers {
            self.send_digest(to, out);
        }
    }

    fn update_conditions(&mut self, now: Moment, out: &mut Vec<Output>) {
        for index in 0..self.hosts.len() {
            let indirect_evidence = self.indirect_evidence(now, index);
            let (id, host) = self.hosts.get_index_mut(index).expect("in bounds");
            let condition = host.evaluate(now, indirect_evidence);
            if condition == host.condition {
                continue;
            }
            host.condition = condition;
            if condition == Condition::Dead {
                host.backlog.clear();
            }
            out.push(condition_output(id, condition));
        }
        self.update_own_reachability(now, out);
    }

    fn indirect_evidence(&self, now: Moment, index: usize) -> Evidence {
        let (id, _) = self.hosts.get_index(index).expect("in bounds");
        let is_heard = self
            .hosts
            .iter()
            .filter(|(other, host)| *other != id && host.is_recently_heard(now))
            .any(|(_, host)| !host.silent_hosts.contains(id));
        if is_heard {
            Evidence::Heard
        } else {
            Evidence::Silent
        }
    }

    fn update_own_reachability(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_isolated =
            !self.hosts.is_empty() && self.hosts.values().all(|host| host.is_silent(now));
        let reachability = if is_isolated {
            Reachability::CutOff
        } else {
            Reachability::Reachable
        };
        if reachability != self.own_reachability {
            self.own_reachability = reachability;
            out.push(Output::DataCentre {
                id: self.local.data_centre.clone(),
                reachability,
            });
        }
    }

    fn handle_leaving(
        &mut self,
        now: Moment,
        from: &HostId,
        snapshot: crate::Snapshot,
        out: &mut Vec<Output>,
    ) {
        let (endpoint, boot) = (
            snapshot.announcement.endpoint.clone(),
            snapshot.announcement.boot,
        );
        self.merge_snapshot(now, from, snapshot, out);
        out.push(Output::Send {
            to: from.clone(),
            message: Message::Confirm { endpoint, boot },
        });
    }
}

pub(crate) fn condition_output(id: &HostId, condition: Condition) -> Output {
    Output::Host {
        id: id.clone(),
        condition,
    }
}
