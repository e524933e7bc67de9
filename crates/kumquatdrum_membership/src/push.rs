//! Pushes: heartbeat and news to each host of the data centre in turn, in bounded bytes.

use std::time::Duration;

use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, BootId, EndpointId, HostId, Load, Moment};
use postcard::experimental::serialized_size;
use serde::Serialize;

use crate::backlog::{Backlog, Need};
use crate::message::{Full, Message, Note, Push, Refresh};
use crate::table::{Record, Table};
use crate::timing::{
    PUSH_BYTES, PUSH_BYTES_PER_ENDPOINT, PUSH_INTERVAL_MAX, PUSH_INTERVAL_MIN, PUSH_SUMMARY_BYTES,
    SLOT,
};
use crate::{Key, Membership, Output, Summary};

/// The most bytes of a renewal without load.
const RENEWAL_BYTES: usize = 9;
/// Separates a host's name from what an owner's name has beyond it.
const OWNER_SEPARATOR: char = '/';

impl Membership {
    /// How often each host of the data centre is pushed to: one a slot, within bounds.
    fn push_interval(&self) -> Duration {
        let count = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        SLOT.saturating_mul(count)
            .clamp(PUSH_INTERVAL_MIN, PUSH_INTERVAL_MAX)
    }

    /// Spreads the first pushes over one interval.
    pub(crate) fn stagger(&mut self, now: Moment) {
        let interval = self.push_interval();
        let count = self.hosts.len().max(1) as u32;
        for (index, host) in self.hosts.values_mut().enumerate() {
            host.push_due = now + interval * index as u32 / count;
        }
    }

    /// Pushes to the hosts whose turn it is.
    pub(crate) fn push_due(&mut self, now: Moment, out: &mut Vec<Output>) {
        let interval = self.push_interval();
        for index in 0..self.hosts.len() {
            if self.hosts[index].push_due > now {
                continue;
            }
            self.hosts[index].push_due = now + interval;
            let push = self.make_push(now, index);
            out.push(Output::Send {
                to: self.hosts[index].member.host.clone(),
                message: Message::Push(push),
            });
        }
    }

    fn make_push(&mut self, now: Moment, index: usize) -> Push {
        let is_relay = self.is_relay();
        let silent = self.silent(now);
        let cut_off = is_relay.then(|| self.unreachable());
        let host = &mut self.hosts[index];
        host.push_sent += 1;
        let mut push = Push {
            sequence: host.push_sent,
            table: self.table.digest(),
            roster: self.roster,
            silent,
            cut_off,
            setup: self.setup,
            leaving: Vec::new(),
            records: Vec::new(),
            refreshes: Vec::new(),
            summaries: Vec::new(),
        };
        let limit = PUSH_BYTES.max(PUSH_BYTES_PER_ENDPOINT * self.table.len());
        let mut packer = Packer {
            now,
            table: &self.table,
            receiver: &host.member.host,
            room: limit.saturating_sub(size(&push)),
        };
        packer.pack_leaving(&mut host.backlog, &mut push.leaving);
        packer.pack_records(&mut host.backlog, &mut push.records);
        packer.pack_refreshes(&mut host.backlog, &mut push.refreshes);
        let room = packer.room.min(PUSH_SUMMARY_BYTES);
        push.summaries = self.pack_summaries(index, room);
        push
    }

    fn silent(&self, now: Moment) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|host| host.is_silent(now))
            .map(|host| host.member.host.clone())
            .collect()
    }

    fn pack_summaries(&mut self, index: usize, mut room: usize) -> Vec<Summary> {
        let mut packed = Vec::new();
        let summaries = &mut self.hosts[index].backlog.summaries;
        while let Some(id) = summaries.first() {
            let summary = self.distant.get(id).and_then(|one| one.summary.clone());
            let bytes = summary.as_ref().map_or(0, size);
            // One that exceeds the room by itself goes alone.
            if bytes > room && !packed.is_empty() {
                break;
            }
            room = room.saturating_sub(bytes);
            packed.extend(summary);
            summaries.remove(0);
        }
        packed
    }

    /// Takes a push.
    pub(crate) fn take_push(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        push: Push,
        out: &mut Vec<Output>,
    ) {
        let mut wanted = Vec::new();
        for full in push.records {
            self.take_full(now, from, full, out);
        }
        for note in push.leaving {
            match self.table.merge_leaving(note.key, note.sequence, out) {
                Some(novelty) => self.pass_on_key(note.key, novelty, from),
                None => wanted.push(note.key),
            }
        }
        for refresh in push.refreshes {
            let load = refresh.load.map(|load| restored(load, &self.local.host));
            let (key, sequence) = (refresh.key, refresh.sequence);
            let merged = self
                .table
                .merge_refresh(now, key, sequence, load, from, out);
            if merged.is_none() {
                wanted.push(refresh.key);
            }
        }
        if !wanted.is_empty() {
            out.push(Output::Send {
                to: from.clone(),
                message: Message::Want(wanted),
            });
        }
        out.extend(push.setup.map(|status| Output::Setup {
            from: from.clone(),
            boot,
            status,
        }));
        self.compare_roster(now, from, push.roster, out);
        let is_equal = push.table == self.table.digest();
        let Some(host) = self.hosts.get_mut(from) else {
            return;
        };
        // A push that was overtaken says nothing about the present.
        if push.sequence <= host.push_taken {
            return;
        }
        host.push_taken = push.sequence;
        host.silent = push.silent.into_iter().collect();
        host.differs_since = match (is_equal, host.differs_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        self.take_relayed(from, push.cut_off, push.summaries, out);
    }

    /// Takes a whole record from a peer.
    pub(crate) fn take_full(
        &mut self,
        now: Moment,
        from: &HostId,
        full: Full,
        out: &mut Vec<Output>,
    ) {
        let id = full.announcement.endpoint.clone();
        let age = Duration::from_millis(full.age_millis.into());
        let announcement = map_load(full.announcement, |load| restored(load, &self.local.host));
        let novelty = self
            .table
            .merge(now, announcement, age, Some(from.clone()), out);
        self.pass_on(&id, novelty, Some(from));
    }

    fn pass_on_key(&mut self, key: Key, novelty: crate::table::Novelty, from: &HostId) {
        if let Some(id) = self.table.by_key(key).cloned() {
            self.pass_on(&id, novelty, Some(from));
        }
    }

    /// An endpoint's whole record, cut for its receiver.
    pub(crate) fn full(&self, now: Moment, id: &EndpointId, to: &HostId) -> Option<Full> {
        self.table.get(id).map(|record| cut(now, record, to))
    }
}

/// Fills a push by the weight of its parts.
struct Packer<'a> {
    now: Moment,
    table: &'a Table,
    receiver: &'a HostId,
    room: usize,
}

impl Packer<'_> {
    /// Leaving notices go before all else and without a limit of their own; each is short.
    fn pack_leaving(&mut self, backlog: &mut Backlog, packed: &mut Vec<Note>) {
        let table = self.table;
        backlog.endpoints.retain(|id, need| {
            let (Need::Leaving(count), Some(record)) = (*need, table.get(id)) else {
                return true;
            };
            packed.push(Note {
                key: record.key,
                sequence: record.announcement.sequence,
            });
            *need = Need::Leaving(count.saturating_sub(1));
            count > 1
        });
        self.room = self.room.saturating_sub(size(packed));
    }

    /// New records take half of the room at most, so that renewals never wait for them. One that
    /// doesn't fit goes as a renewal: whoever lacks its key asks for the record.
    fn pack_records(&mut self, backlog: &mut Backlog, packed: &mut Vec<Full>) {
        let (now, table, receiver) = (self.now, self.table, self.receiver);
        let mut room = self.room / 2;
        backlog.endpoints.retain(|id, need| {
            let (Need::Record, Some(record)) = (*need, table.get(id)) else {
                return true;
            };
            let full = cut(now, record, receiver);
            let bytes = size(&full);
            if bytes > room {
                *need = Need::Load;
                return true;
            }
            room -= bytes;
            packed.push(full);
            false
        });
        self.room = self.room.saturating_sub(size(packed));
    }

    /// Renewals come first, as they say who lives; loads fill what is left. A renewal that went
    /// without its load goes to the end and takes its load along at the next occasion.
    fn pack_refreshes(&mut self, backlog: &mut Backlog, packed: &mut Vec<Refresh>) {
        let needs: Vec<(EndpointId, Need)> = backlog
            .endpoints
            .iter()
            .filter(|(_, need)| **need <= Need::Load)
            .map(|(id, need)| (id.clone(), *need))
            .take(self.room / RENEWAL_BYTES)
            .collect();
        let mut room_for_loads = self.room - needs.len() * RENEWAL_BYTES;
        for (id, need) in needs {
            backlog.endpoints.shift_remove(&id);
            let Some(record) = self.table.get(&id) else {
                continue;
            };
            let mut refresh = renewal(record);
            let load = load_of(&record.announcement)
                .filter(|_| need == Need::Load)
                .map(|load| cut_load(load.clone(), self.receiver));
            let bytes = load.as_ref().map_or(0, size);
            if bytes <= room_for_loads {
                room_for_loads -= bytes;
                refresh.load = load;
            } else {
                backlog.add(&id, Need::Load);
            }
            self.room = self.room.saturating_sub(size(&refresh));
            packed.push(refresh);
        }
    }
}

fn renewal(record: &Record) -> Refresh {
    Refresh {
        key: record.key,
        sequence: record.announcement.sequence,
        load: None,
    }
}

fn load_of(announcement: &Announcement) -> Option<&Load> {
    match &announcement.kind {
        Kind::Engine(engine) => engine.load.as_ref(),
        Kind::Plain => None,
    }
}

/// A record for one receiver.
pub(crate) fn cut(now: Moment, record: &Record, receiver: &HostId) -> Full {
    let age = (now - record.renewed).as_millis();
    let announcement = record.announcement.clone();
    Full {
        announcement: map_load(announcement, |load| cut_load(load, receiver)),
        age_millis: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn map_load(mut announcement: Announcement, map: impl FnOnce(Load) -> Load) -> Announcement {
    if let Kind::Engine(engine) = &mut announcement.kind {
        engine.load = engine.load.take().map(map);
    }
    announcement
}

/// Keeps only what the receiver sent, and leaves its name out: nobody else needs that counter.
fn cut_load(mut load: Load, receiver: &HostId) -> Load {
    load.seen = load
        .seen
        .into_iter()
        .filter_map(|(owner, counter)| {
            let rest = owner.strip_prefix(receiver.as_str())?;
            let is_own = rest.is_empty() || rest.starts_with(OWNER_SEPARATOR);
            is_own.then(|| (rest.to_owned(), counter))
        })
        .collect();
    load
}

fn restored(mut load: Load, local: &HostId) -> Load {
    for (owner, _) in &mut load.seen {
        owner.insert_str(0, local.as_str());
    }
    load
}

/// The bytes of a value on the wire.
fn size<T: Serialize>(value: &T) -> usize {
    serialized_size(value).unwrap_or(0)
}
