//! Pushes: periodic heartbeats with updates, bounded in size.

use std::time::Duration;

use kumquatdrum_types::{Announcement, BootId, EndpointId, HostId, Load, Moment, endpoint};
use postcard::experimental::serialized_size;
use serde::Serialize;

use crate::backlog::{Backlog, Update};
use crate::message::{Departure, Message, Push, Renewal, Snapshot};
use crate::table::{self, Record, Table};
use crate::timing::{
    PUSH_BYTES, PUSH_BYTES_PER_ENDPOINT, PUSH_INTERVAL_MAX, PUSH_INTERVAL_MIN, PUSH_SUMMARY_BYTES,
    TICK_INTERVAL,
};
use crate::{Key, Membership, Output, Summary};

/// Encoded size of a renewal without load, for sequence numbers of up to 28 bits.
const RENEWAL_BYTES: usize = 9;
/// Separates the host name from the suffix in the name of an owner.
const OWNER_SEPARATOR: char = '/';

impl Membership {
    /// Returns the interval between two pushes to one host: one push per tick over all hosts,
    /// within bounds.
    fn push_interval(&self) -> Duration {
        let count = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        TICK_INTERVAL
            .saturating_mul(count)
            .clamp(PUSH_INTERVAL_MIN, PUSH_INTERVAL_MAX)
    }

    /// Distributes the first pushes over one interval.
    pub(crate) fn stagger_pushes(&mut self, now: Moment) {
        let interval = self.push_interval();
        let count = self.hosts.len().max(1) as u32;
        for (index, host) in self.hosts.values_mut().enumerate() {
            host.next_push = now + interval * index as u32 / count;
        }
    }

    /// Sends a push to each host that is due.
    pub(crate) fn send_due_pushes(&mut self, now: Moment, out: &mut Vec<Output>) {
        let interval = self.push_interval();
        for index in 0..self.hosts.len() {
            if self.hosts[index].next_push > now {
                continue;
            }
            self.hosts[index].next_push = now + interval;
            let push = self.build_push(now, index);
            out.push(Output::Send {
                to: self.hosts[index].member.host.clone(),
                message: Message::Push(push),
            });
        }
    }

    fn build_push(&mut self, now: Moment, index: usize) -> Push {
        let is_relay = self.is_relay();
        let silent = self.silent_hosts(now);
        let unreachable = is_relay.then(|| self.unreachable_remote_data_centres());
        let host = &mut self.hosts[index];
        host.last_push_sent += 1;
        let mut push = Push {
            sequence: host.last_push_sent,
            table: self.table.digest(),
            roster: self.roster_digest,
            silent,
            unreachable,
            setup: self.setup_status,
            leaving: Vec::new(),
            records: Vec::new(),
            renewals: Vec::new(),
            summaries: Vec::new(),
        };
        let limit = PUSH_BYTES.max(PUSH_BYTES_PER_ENDPOINT * self.table.len());
        let mut packer = Packer {
            now,
            table: &self.table,
            receiver: &host.member.host,
            remaining: limit.saturating_sub(encoded_size(&push)),
        };
        packer.pack_leaving(&mut host.backlog, &mut push.leaving);
        packer.pack_records(&mut host.backlog, &mut push.records);
        packer.pack_renewals(&mut host.backlog, &mut push.renewals);
        let remaining = packer.remaining.min(PUSH_SUMMARY_BYTES);
        push.summaries = self.pack_summaries(index, remaining);
        push
    }

    fn silent_hosts(&self, now: Moment) -> Vec<HostId> {
        self.hosts
            .values()
            .filter(|host| host.is_silent(now))
            .map(|host| host.member.host.clone())
            .collect()
    }

    fn pack_summaries(&mut self, index: usize, mut remaining: usize) -> Vec<Summary> {
        let mut packed = Vec::new();
        let summaries = &mut self.hosts[index].backlog.summaries;
        while let Some(id) = summaries.first() {
            let summary = self
                .remote_data_centres
                .get(id)
                .and_then(|data_centre| data_centre.summary.clone());
            let bytes = summary.as_ref().map_or(0, encoded_size);
            // A summary larger than the limit is sent on its own.
            if bytes > remaining && !packed.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(bytes);
            packed.extend(summary);
            summaries.remove(0);
        }
        packed
    }

    /// Merges a push and requests records that are not known.
    pub(crate) fn handle_push(
        &mut self,
        now: Moment,
        from: &HostId,
        boot: BootId,
        push: Push,
        out: &mut Vec<Output>,
    ) {
        let mut wanted = Vec::new();
        for snapshot in push.records {
            self.merge_snapshot(now, from, snapshot, out);
        }
        for departure in push.leaving {
            match self
                .table
                .merge_leaving(departure.key, departure.sequence, out)
            {
                Some(outcome) => self.enqueue_update_by_key(departure.key, outcome, from),
                None => wanted.push(departure.key),
            }
        }
        for renewal in push.renewals {
            let load = renewal
                .load
                .map(|load| restore_load(load, &self.local.host));
            let (key, sequence) = (renewal.key, renewal.sequence);
            let merged = self
                .table
                .merge_renewal(now, key, sequence, load, from, out);
            if merged.is_none() {
                wanted.push(renewal.key);
            }
        }
        if !wanted.is_empty() {
            out.push(Output::Send {
                to: from.clone(),
                message: Message::Want(wanted),
            });
        }
        out.extend(push.setup.map(|status| Output::SetupStatus {
            from: from.clone(),
            boot,
            status,
        }));
        self.compare_roster(now, from, push.roster, out);
        let is_equal = push.table == self.table.digest();
        let Some(host) = self.hosts.get_mut(from) else {
            return;
        };
        // A reordered push has outdated digests and lists.
        if push.sequence <= host.last_push_received {
            return;
        }
        host.last_push_received = push.sequence;
        host.silent_hosts = push.silent.into_iter().collect();
        host.differs_since = match (is_equal, host.differs_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        self.handle_relayed(from, push.unreachable, push.summaries, out);
    }

    /// Merges a full record from a peer.
    pub(crate) fn merge_snapshot(
        &mut self,
        now: Moment,
        from: &HostId,
        snapshot: Snapshot,
        out: &mut Vec<Output>,
    ) {
        let id = snapshot.announcement.endpoint.clone();
        let age = Duration::from_millis(snapshot.age_ms.into());
        let announcement = map_load(snapshot.announcement, |load| {
            restore_load(load, &self.local.host)
        });
        let outcome = self
            .table
            .merge(now, announcement, age, Some(from.clone()), out);
        self.enqueue_update(&id, outcome, Some(from));
    }

    fn enqueue_update_by_key(&mut self, key: Key, outcome: table::Outcome, from: &HostId) {
        if let Some(id) = self.table.endpoint_with_key(key).cloned() {
            self.enqueue_update(&id, outcome, Some(from));
        }
    }

    /// Returns an endpoint's full record for one receiver.
    pub(crate) fn snapshot(&self, now: Moment, id: &EndpointId, to: &HostId) -> Option<Snapshot> {
        self.table
            .get(id)
            .map(|record| snapshot_for(now, record, to))
    }
}

/// Fills a push with updates in order of priority.
struct Packer<'a> {
    now: Moment,
    table: &'a Table,
    receiver: &'a HostId,
    remaining: usize,
}

impl Packer<'_> {
    /// Adds leaving notices, which come first and have no limit because they are small.
    fn pack_leaving(&mut self, backlog: &mut Backlog, packed: &mut Vec<Departure>) {
        let table = self.table;
        backlog.endpoints.retain(|id, update| {
            let (Update::Leaving(count), Some(record)) = (*update, table.get(id)) else {
                return true;
            };
            packed.push(Departure {
                key: record.key,
                sequence: record.announcement.sequence,
            });
            *update = Update::Leaving(count.saturating_sub(1));
            count > 1
        });
        self.remaining = self.remaining.saturating_sub(encoded_size(packed));
    }

    /// Adds new records, which take at most half of the remaining bytes so that they don't delay
    /// renewals. A record that doesn't fit is sent as a renewal, and the receiver requests it.
    fn pack_records(&mut self, backlog: &mut Backlog, packed: &mut Vec<Snapshot>) {
        let (now, table, receiver) = (self.now, self.table, self.receiver);
        let mut remaining = self.remaining / 2;
        backlog.endpoints.retain(|id, update| {
            let (Update::Record, Some(record)) = (*update, table.get(id)) else {
                return true;
            };
            let snapshot = snapshot_for(now, record, receiver);
            let bytes = encoded_size(&snapshot);
            if bytes > remaining {
                *update = Update::Load;
                return true;
            }
            remaining -= bytes;
            packed.push(snapshot);
            false
        });
        self.remaining = self.remaining.saturating_sub(encoded_size(packed));
    }

    /// Adds renewals first, because liveness depends on them, and loads to the remaining bytes. A
    /// renewal whose load doesn't fit is queued again at the end.
    fn pack_renewals(&mut self, backlog: &mut Backlog, packed: &mut Vec<Renewal>) {
        let updates: Vec<(EndpointId, Update)> = backlog
            .endpoints
            .iter()
            .filter(|(_, update)| **update <= Update::Load)
            .map(|(id, update)| (id.clone(), *update))
            .take(self.remaining / RENEWAL_BYTES)
            .collect();
        let mut remaining_for_loads = self.remaining - updates.len() * RENEWAL_BYTES;
        for (id, update) in updates {
            backlog.endpoints.shift_remove(&id);
            let Some(record) = self.table.get(&id) else {
                continue;
            };
            let mut renewal = renewal_of(record);
            let load = load_of(&record.announcement)
                .filter(|_| update == Update::Load)
                .map(|load| strip_load(load.clone(), self.receiver));
            let bytes = load.as_ref().map_or(0, encoded_size);
            if bytes <= remaining_for_loads {
                remaining_for_loads -= bytes;
                renewal.load = load;
            } else {
                backlog.add(&id, Update::Load);
            }
            self.remaining = self.remaining.saturating_sub(encoded_size(&renewal));
            packed.push(renewal);
        }
    }
}

fn renewal_of(record: &Record) -> Renewal {
    Renewal {
        key: record.key,
        sequence: record.announcement.sequence,
        load: None,
    }
}

fn load_of(announcement: &Announcement) -> Option<&Load> {
    match &announcement.kind {
        endpoint::Kind::Engine(engine) => engine.load.as_ref(),
        endpoint::Kind::Plain => None,
    }
}

/// Returns a record for one receiver.
pub(crate) fn snapshot_for(now: Moment, record: &Record, receiver: &HostId) -> Snapshot {
    let age = (now - record.renewed_at).as_millis();
    let announcement = record.announcement.clone();
    Snapshot {
        announcement: map_load(announcement, |load| strip_load(load, receiver)),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn map_load(mut announcement: Announcement, map: impl FnOnce(Load) -> Load) -> Announcement {
    if let endpoint::Kind::Engine(engine) = &mut announcement.kind {
        engine.load = engine.load.take().map(map);
    }
    announcement
}

/// Reduces the `seen` counters to those of the receiver, and removes its name from the owners.
fn strip_load(mut load: Load, receiver: &HostId) -> Load {
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

fn restore_load(mut load: Load, local: &HostId) -> Load {
    for (owner, _) in &mut load.seen {
        owner.insert_str(0, local.as_str());
    }
    load
}

/// Returns the encoded size of a value in bytes.
fn encoded_size<T: Serialize>(value: &T) -> usize {
    serialized_size(value).unwrap_or(0)
}
