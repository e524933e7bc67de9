//! The membership core: takes inputs, keeps the state, gives out messages and changes.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId, Moment};

use crate::backlog::{LEAVING_TELLINGS, Need};
use crate::data_centre::Distant;
use crate::host::{Hearsay, Host};
use crate::notice::Notice;
use crate::relay::Remote;
use crate::spread::Status;
use crate::table::{Novelty, Record, Table};
use crate::timing::{STALL, SUSPECT_AFTER};
use crate::{Condition, Input, Member, Message, Output, Reach, Reason, Summary, View};

/// Hosts and endpoints, as one host knows them.
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
    /// The other hosts of the data centre.
    pub(crate) hosts: IndexMap<HostId, Host>,
    /// The hosts of other data centres.
    pub(crate) remote: IndexMap<HostId, Remote>,
    pub(crate) distant: IndexMap<DataCentre, Distant>,
    pub(crate) table: Table,
    pub(crate) setup: Option<Status>,
    pub(crate) roster: u32,
    pub(crate) roster_at: Option<Moment>,
    pub(crate) exchanged_at: Option<Moment>,
    pub(crate) was_relay: bool,
    notices: Vec<Notice>,
    own_reach: Reach,
    ticked: Option<Moment>,
    grace_until: Moment,
}

impl Membership {
    /// The core of a host that knows of these others by its settings; `local` carries the life of
    /// its own daemon.
    pub fn new(local: Member, others: impl IntoIterator<Item = Member>) -> Self {
        let mut membership = Self {
            local,
            hosts: IndexMap::new(),
            remote: IndexMap::new(),
            distant: IndexMap::new(),
            table: Table::default(),
            setup: None,
            roster: 0,
            roster_at: None,
            exchanged_at: None,
            was_relay: false,
            notices: Vec::new(),
            own_reach: Reach::Reachable,
            ticked: None,
            grace_until: Moment::ZERO,
        };
        for member in others {
            membership.add_member(Moment::ZERO, member);
        }
        membership.renew_roster();
        membership
    }

    /// Takes one input. `now` never goes back.
    pub fn step(&mut self, now: Moment, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Announce(announcement) => self.take_announcement(now, announcement, out),
            Input::Peer {
                from,
                boot,
                message,
            } => self.take_message(now, &from, boot, message, out),
            Input::Failed { endpoint } => self.table.fail(now, &endpoint, out),
            Input::Setup(status) => self.setup = Some(status),
            Input::Tick => self.tick(now, out),
        }
    }

    /// The endpoints of the data centre, gone ones that are still remembered among them.
    pub fn endpoints(&self) -> impl Iterator<Item = &Record> {
        self.table.records()
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &EndpointId) -> Option<&Record> {
        self.table.get(id)
    }

    /// All other hosts.
    pub fn hosts(&self) -> impl Iterator<Item = View<'_>> {
        let near = self.hosts.values().map(|host| View {
            member: &host.member,
            condition: host.condition,
        });
        near.chain(self.remote.values().map(Remote::view))
    }

    /// What is known of the other data centres.
    pub fn summaries(&self) -> impl Iterator<Item = &Summary> {
        self.distant
            .values()
            .filter_map(|distant| distant.summary.as_ref())
    }

    /// The data centres that can't be reached; the own one where no other host of it is heard.
    pub fn cut_off(&self) -> impl Iterator<Item = &DataCentre> {
        let own = (self.own_reach == Reach::CutOff).then_some(&self.local.data_centre);
        let distant = self
            .distant
            .values()
            .filter(|distant| distant.reach == Reach::CutOff);
        own.into_iter().chain(distant.map(|distant| &distant.id))
    }

    /// The host that speaks for the data centre to the others: the first one alive, by name.
    pub fn relay(&self) -> &HostId {
        self.hosts
            .values()
            .filter(|host| host.condition == Condition::Alive)
            .map(|host| &host.member.host)
            .fold(&self.local.host, std::cmp::min)
    }

    /// Whether this host speaks for the data centre.
    pub fn is_relay(&self) -> bool {
        *self.relay() == self.local.host
    }

    pub(crate) fn alive(&self) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|host| host.condition == Condition::Alive)
            .map(|host| host.member.host.clone())
            .collect()
    }

    /// Passes on what a merge brought: a host's own takings to all, a leaving notice in any case.
    pub(crate) fn pass_on(&mut self, id: &EndpointId, novelty: Novelty, source: Option<&HostId>) {
        let need = match (novelty, source) {
            (Novelty::Left, _) => Need::Leaving(LEAVING_TELLINGS),
            (Novelty::Joined, None) => Need::Record,
            (Novelty::Renewed { load: true }, None) => Need::Load,
            (Novelty::Renewed { load: false }, None) => Need::Renewal,
            (Novelty::Stale, _) | (_, Some(_)) => return,
        };
        for (host, state) in &mut self.hosts {
            if state.condition != Condition::Dead && Some(host) != source {
                state.backlog.add(id, need);
            }
        }
    }

    fn take_announcement(
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
                Some(Reason::OtherDataCentre)
            }
            Some(known) if known > boot => Some(Reason::OldBoot),
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
        let novelty = self
            .table
            .merge(now, announcement, Duration::ZERO, None, out);
        self.pass_on(&id, novelty, None);
        if is_leaving {
            self.start_notice(now, id, boot, sequence);
            self.drive_notices(now, out);
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
            notice.waiting.push(sequence);
            return;
        }
        let mut notice = Notice::new(id, boot, now);
        notice.waiting.push(sequence);
        self.notices.push(notice);
    }

    fn drive_notices(&mut self, now: Moment, out: &mut Vec<Output>) {
        let alive = self.alive();
        let mut notices = std::mem::take(&mut self.notices);
        for notice in &mut notices {
            for to in notice.receivers(now, &alive) {
                let full = self.full(now, &notice.endpoint, &to);
                let message = full.map(Message::Leaving);
                out.extend(message.map(|message| Output::Send { to, message }));
            }
            notice.settle(&alive, out);
        }
        notices.retain(|notice| !notice.is_over(now, &alive));
        self.notices = notices;
    }

    fn take_message(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Members { members, wanted } => {
                self.take_members(now, from, members, wanted, out);
                self.hear(now, from, boot, out);
            }
            _ if !self.is_known(from) => self.ask_members(from, out),
            _ if !self.hear(now, from, boot, out) => {}
            Message::Push(push) => self.take_push(now, from, boot, push, out),
            Message::Leaving(full) => self.take_leaving(now, from, full, out),
            Message::Confirm { endpoint, boot } => {
                for notice in &mut self.notices {
                    if notice.endpoint == endpoint && notice.boot == boot {
                        notice.confirm(from.clone());
                    }
                }
                self.drive_notices(now, out);
            }
            Message::Digest { staying, leaving } => {
                self.take_digest(now, from, &staying, &leaving, out);
            }
            Message::Want(keys) => self.take_want(now, from, &keys, out),
            Message::Records(records) => self.take_records(now, from, records, out),
            Message::Summary(report) => self.take_report(now, from, *report, out),
        }
    }

    /// Notes that a host spoke; false where it was a former life of its daemon.
    fn hear(&mut self, now: Moment, from: &HostId, boot: BootId, out: &mut Vec<Output>) -> bool {
        let Some(host) = self.hosts.get_mut(from) else {
            return self.hear_remote(from, boot);
        };
        if boot < host.boot {
            return false;
        }
        let is_new = boot > host.boot;
        if is_new {
            host.restart();
            host.boot = boot;
        }
        host.heard = now;
        let was = std::mem::replace(&mut host.condition, Condition::Alive);
        if was != Condition::Alive {
            out.push(condition(from, Condition::Alive));
        }
        if is_new || was == Condition::Dead {
            self.pass_summaries_to(from);
        }
        true
    }

    fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        match self.ticked.replace(now) {
            None => self.begin(now, out),
            // The daemon itself stood still: what it didn't hear meanwhile says nothing.
            Some(ticked) if now - ticked > STALL => self.grace_until = now + SUSPECT_AFTER,
            Some(_) => {}
        }
        if now >= self.grace_until {
            self.judge_hosts(now, out);
            let hosts = &self.hosts;
            let is_silent = |host: &HostId| hosts.get(host).is_none_or(|host| !host.is_recent(now));
            self.table.expire(now, is_silent, out);
        }
        self.drive_notices(now, out);
        self.compare_tables(now, out);
        self.relay_duties(now, now >= self.grace_until, out);
        self.push_due(now, out);
    }

    /// The first tick: asks neighbours for what they know.
    fn begin(&mut self, now: Moment, out: &mut Vec<Output>) {
        self.stagger(now);
        for host in self.hosts.values_mut() {
            host.heard = now;
        }
        for distant in self.distant.values_mut() {
            distant.take_over(now);
        }
        let neighbours: Vec<HostId> = self.hosts.keys().take(2).cloned().collect();
        for to in neighbours {
            self.send_digest(to, out);
        }
    }

    fn judge_hosts(&mut self, now: Moment, out: &mut Vec<Output>) {
        for index in 0..self.hosts.len() {
            let hearsay = self.hearsay(now, index);
            let (id, host) = self.hosts.get_index_mut(index).expect("in bounds");
            let judged = host.judge(now, hearsay);
            if judged == host.condition {
                continue;
            }
            host.condition = judged;
            if judged == Condition::Dead {
                host.backlog.clear();
            }
            out.push(condition(id, judged));
        }
        self.judge_own(now, out);
    }

    fn hearsay(&self, now: Moment, index: usize) -> Hearsay {
        let (id, _) = self.hosts.get_index(index).expect("in bounds");
        let is_heard = self
            .hosts
            .iter()
            .filter(|(other, host)| *other != id && host.is_recent(now))
            .any(|(_, host)| !host.silent.contains(id));
        if is_heard {
            Hearsay::Heard
        } else {
            Hearsay::Silent
        }
    }

    fn judge_own(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_alone =
            !self.hosts.is_empty() && self.hosts.values().all(|host| host.is_silent(now));
        let reach = if is_alone {
            Reach::CutOff
        } else {
            Reach::Reachable
        };
        if reach != self.own_reach {
            self.own_reach = reach;
            out.push(Output::DataCentre {
                id: self.local.data_centre.clone(),
                reach,
            });
        }
    }

    fn take_leaving(
        &mut self,
        now: Moment,
        from: &HostId,
        full: crate::Full,
        out: &mut Vec<Output>,
    ) {
        let (endpoint, boot) = (full.announcement.endpoint.clone(), full.announcement.boot);
        self.take_full(now, from, full, out);
        out.push(Output::Send {
            to: from.clone(),
            message: Message::Confirm { endpoint, boot },
        });
    }
}

pub(crate) fn condition(id: &HostId, condition: Condition) -> Output {
    Output::Host {
        id: id.clone(),
        condition,
    }
}
