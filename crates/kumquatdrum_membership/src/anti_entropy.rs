//! Anti-entropy: compares endpoint tables between hosts and transfers missing records.

use std::collections::HashSet;
use std::time::Duration;

use kumquatdrum_types::{HostId, Moment};

use crate::key::Key;
use crate::message::{Message, Snapshot};
use crate::push::snapshot_for;
use crate::table::Liveness;
use crate::timing::{ITEMS_PER_MESSAGE, MISMATCH_AFTER, TABLE_COMPARISON_INTERVAL};
use crate::{Membership, Output};

impl Membership {
    /// Sends this host's digest to one host whose table has differed for a while.
    pub(crate) fn compare_tables(&mut self, now: Moment, out: &mut Vec<Output>) {
        let is_due = self
            .digest_sent_at
            .is_none_or(|at| now - at >= TABLE_COMPARISON_INTERVAL);
        if !is_due {
            return;
        }
        let local = &self.local.host;
        let differing = self.hosts.iter_mut().find(|(id, host)| {
            let wait = mismatch_delay(local, id);
            host.differs_since.is_some_and(|since| now - since >= wait)
        });
        let Some((id, host)) = differing else {
            return;
        };
        host.differs_since = Some(now);
        self.digest_sent_at = Some(now);
        let to = id.clone();
        self.send_digest(to, out);
    }

    pub(crate) fn send_digest(&self, to: HostId, out: &mut Vec<Output>) {
        let listed = self
            .table
            .records()
            .filter(|record| record.liveness != Liveness::Gone);
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

    /// Sends the records that a digest lacks, and requests those that this host lacks.
    pub(crate) fn handle_digest(
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
            let is_leaving = record.announcement.leaving;
            let is_held =
                leaving.contains(&record.key) || !is_leaving && staying.contains(&record.key);
            record.liveness != Liveness::Gone && !is_held
        });
        let records: Vec<Snapshot> = lacking
            .map(|record| snapshot_for(now, record, from))
            .collect();
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
        match self
            .table
            .endpoint_with_key(key)
            .and_then(|id| self.table.get(id))
        {
            Some(record) => {
                is_leaving && !record.announcement.leaving && record.liveness != Liveness::Gone
            }
            None => true,
        }
    }

    /// Sends the records with the requested keys.
    pub(crate) fn handle_want(
        &mut self,
        now: Moment,
        from: &HostId,
        keys: &[Key],
        out: &mut Vec<Output>,
    ) {
        let records: Vec<Snapshot> = keys
            .iter()
            .flat_map(|key| self.table.endpoints_with_key(*key))
            .filter_map(|id| self.snapshot(now, id, from))
            .collect();
        send_records(from, &records, out);
    }

    pub(crate) fn handle_records(
        &mut self,
        now: Moment,
        from: &HostId,
        records: Vec<Snapshot>,
        out: &mut Vec<Output>,
    ) {
        for snapshot in records {
            self.merge_snapshot(now, from, snapshot, out);
        }
    }
}

/// Returns how long the tables of two hosts may differ before `local` sends its digest. The host
/// that sorts later waits longer, so that only one of the two sends it.
fn mismatch_delay(local: &HostId, other: &HostId) -> Duration {
    if local < other {
        MISMATCH_AFTER
    } else {
        MISMATCH_AFTER * 5 / 2
    }
}

fn send_records(to: &HostId, records: &[Snapshot], out: &mut Vec<Output>) {
    for chunk in records.chunks(ITEMS_PER_MESSAGE) {
        out.push(Output::Send {
            to: to.clone(),
            message: Message::Records(chunk.to_vec()),
        });
    }
}
