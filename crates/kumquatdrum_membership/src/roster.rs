//! Roster of all hosts, from settings and from other hosts.

use kumquatdrum_types::{HostId, Moment};

use crate::data_centre;
use crate::host::Host;
use crate::relay::RemoteHost;
use crate::timing::{ITEMS_PER_MESSAGE, ROSTER_INTERVAL};
use crate::{Member, Membership, Message, Output, key};

impl Membership {
    pub(crate) fn is_known(&self, host: &HostId) -> bool {
        self.hosts.contains_key(host) || self.remote_hosts.contains_key(host)
    }

    /// Requests the roster of an unknown host.
    pub(crate) fn request_members(&self, from: &HostId, out: &mut Vec<Output>) {
        self.send_members(from, true, out);
    }

    /// Merges the roster of another host. An entry that a host published about itself carries its
    /// incarnation and therefore overrides one from settings.
    pub(crate) fn handle_members(
        &mut self,
        now: Moment,
        from: &HostId,
        members: Vec<Member>,
        wanted: bool,
        out: &mut Vec<Output>,
    ) {
        for member in members {
            if member.host != self.local.host && self.add_member(now, member.clone()) {
                out.push(Output::Member(member));
            }
        }
        self.update_roster_digest();
        if wanted {
            self.send_members(from, false, out);
        }
    }

    /// Exchanges rosters with a host whose digest differs.
    pub(crate) fn compare_roster(
        &mut self,
        now: Moment,
        from: &HostId,
        roster: u32,
        out: &mut Vec<Output>,
    ) {
        let is_due = self
            .roster_sent_at
            .is_none_or(|at| now - at >= ROSTER_INTERVAL);
        if roster != self.roster_digest && is_due {
            self.roster_sent_at = Some(now);
            self.send_members(from, true, out);
        }
    }

    /// Adds or updates a member. Returns whether its address or data centre changed.
    pub(crate) fn add_member(&mut self, now: Moment, member: Member) -> bool {
        match self.member(&member.host) {
            Some(known) if !is_newer(&member, known) => return false,
            Some(known) if known.data_centre == member.data_centre => {
                let is_moved = known.address != member.address;
                self.replace_member(member);
                return is_moved;
            }
            Some(_) => {
                self.hosts.shift_remove(&member.host);
                self.remote_hosts.shift_remove(&member.host);
            }
            None => {}
        }
        let host = member.host.clone();
        if member.data_centre == self.local.data_centre {
            self.hosts.insert(host, Host::new(member, now));
        } else {
            self.remote_data_centres
                .entry(member.data_centre.clone())
                .or_insert_with_key(|id| data_centre::Remote::new(id.clone(), now));
            self.remote_hosts.insert(host, RemoteHost::new(member));
        }
        true
    }

    pub(crate) fn update_roster_digest(&mut self) {
        let others = self.hosts.values().map(|host| &host.member);
        let remote = self.remote_hosts.values().map(|remote| &remote.member);
        self.roster_digest = others
            .chain(remote)
            .chain([&self.local])
            .fold(0, |digest, member| digest ^ digest_contribution(member));
    }

    fn member(&self, host: &HostId) -> Option<&Member> {
        let local = self.hosts.get(host).map(|host| &host.member);
        local.or_else(|| self.remote_hosts.get(host).map(|remote| &remote.member))
    }

    fn replace_member(&mut self, member: Member) {
        if let Some(host) = self.hosts.get_mut(&member.host) {
            host.member = member;
        } else if let Some(remote) = self.remote_hosts.get_mut(&member.host) {
            remote.member = member;
        }
    }

    fn send_members(&self, to: &HostId, wanted: bool, out: &mut Vec<Output>) {
        let local = self.hosts.values().map(|host| &host.member);
        let remote = self.remote_hosts.values().map(|remote| &remote.member);
        let members: Vec<Member> = local.chain(remote).chain([&self.local]).cloned().collect();
        let last = members.chunks(ITEMS_PER_MESSAGE).count() - 1;
        for (index, chunk) in members.chunks(ITEMS_PER_MESSAGE).enumerate() {
            out.push(Output::Send {
                to: to.clone(),
                message: Message::Members {
                    members: chunk.to_vec(),
                    wanted: wanted && index == last,
                },
            });
        }
    }
}

fn is_newer(member: &Member, known: &Member) -> bool {
    (member.boot, std::cmp::Reverse(member.address))
        > (known.boot, std::cmp::Reverse(known.address))
}

fn digest_contribution(member: &Member) -> u32 {
    key::digest(format_args!(
        "{}\0{}\0{}",
        member.host, member.data_centre, member.address
    ))
}
