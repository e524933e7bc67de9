//! Comparing tables: what lost messages and dead hosts left out is made up for.

use std::collections::HashSet;
use std::time::Duration;

use kumquatdrum_types::{HostId, Moment};

use crate::key::Key;
use crate::message::{Full, Message};
use crate::push::cut;
use crate::table::State;
use crate::timing::{CHUNK, EXCHANGE_INTERVAL, MISMATCH_AFTER};
use crate::{Membership, Output};

impl Membership {
    /// Sends this host's digest to one host whose table has differed for long.
    pub(crate) fn compare_tables(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = self
            .exchanged_at
            .is_none_or(|at| now - at >= EXCHANGE_INTERVAL);
        if !is_due {
            return;
        }
        let local = &self.local.host;
        let differing = self.hosts.iter_mut().find(|(id, host)| {
            let wait = patience(local, id);
            host.differs_since.is_some_and(|since| now - since >= wait)
        });
        let Some((id, host)) = differing else {
            return;
        };
        host.differs_since = Some(now);
        self.exchanged_at = Some(now);
        let to = id.clone();
        self.send_digest(to, out);
    }

    pub(crate) fn send_digest(&self, to: HostId, out: &mut Vec<Output>) {
        let listed = self
            .table
            .records()
            .filter(|record| record.state != State::Gone);
        let (leaving, staying): (Vec<_>, Vec<_>) =
            listed.partition(|record| record.announcement.leaving);
        let keys = |records: Vec<&crate::Record>| records.iter().map(|record| record.key).collect();
        out.push(Output::Send {
            to,
            message: Message::Digest {
                staying: keys(staying),
                leaving: keys(leaving),
            },
        });
    }

    /// Answers a digest with the records that it lacks, and asks for those that this host lacks.
    pub(crate) fn take_digest(
        &mut self,
        now: Moment,
        from: &HostId,
        staying: &[Key],
        leaving: &[Key],
        out: &mut Vec<Output>,
    ) {
        let staying: HashSet<Key> = staying.iter().copied().collect();
        let leaving: HashSet<Key> = leaving.iter().copied().collect();
        let lacking = self.table.records().filter(|record| {
            let has_left = record.announcement.leaving;
            let is_held =
                leaving.contains(&record.key) || !has_left && staying.contains(&record.key);
            record.state != State::Gone && !is_held
        });
        let records: Vec<Full> = lacking.map(|record| cut(now, record, from)).collect();
        send_records(from, &records, out);
        let mut wanted: Vec<Key> = staying
            .union(&leaving)
            .copied()
            .filter(|key| self.lacks(*key, leaving.contains(key)))
            .collect();
        wanted.sort_unstable();
        if !wanted.is_empty() {
            out.push(Output::Send {
                to: from.clone(),
                message: Message::Want(wanted),
            });
        }
    }

    fn lacks(&self, key: Key, is_leaving: bool) -> bool {
        match self.table.by_key(key).and_then(|id| self.table.get(id)) {
            Some(record) => {
                is_leaving && !record.announcement.leaving && record.state != State::Gone
            }
            None => true,
        }
    }

    /// Answers with the records of some keys.
    pub(crate) fn take_want(
        &mut self,
        now: Moment,
        from: &HostId,
        keys: &[Key],
        out: &mut Vec<Output>,
    ) {
        let records: Vec<Full> = keys
            .iter()
            .flat_map(|key| self.table.with_key(*key))
            .filter_map(|id| self.full(now, id, from))
            .collect();
        send_records(from, &records, out);
    }

    pub(crate) fn take_records(
        &mut self,
        now: Moment,
        from: &HostId,
        records: Vec<Full>,
        out: &mut Vec<Output>,
    ) {
        for full in records {
            self.take_full(now, from, full, out);
        }
    }
}

/// The host that is later by name waits longer, so that two don't compare the same at once.
fn patience(local: &HostId, other: &HostId) -> Duration {
    if local < other {
        MISMATCH_AFTER
    } else {
        MISMATCH_AFTER * 5 / 2
    }
}

fn send_records(to: &HostId, records: &[Full], out: &mut Vec<Output>) {
    for chunk in records.chunks(CHUNK) {
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Records(chunk.to_vec()),
        });
    }
}
