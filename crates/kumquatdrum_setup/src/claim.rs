//! Claims of idempotency keys, so that a request with a key is dispatched at most once.
//!
//! A host claims the key before it dispatches the request. The first claim is granted; later ones
//! are answered with the status of the first attempt. An attempt that never ran frees the key.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use kumquatdrum_types::{AttemptId, HostId, IdempotencyKey, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::Digest;

/// Maximum number of claims in the table; further ones are answered with [`ClaimAnswer::Full`].
pub const MAX_CLAIMS: usize = 1 << 18;
/// Maximum number of claims of one workspace, so that no workspace can fill the table alone.
pub const MAX_CLAIMS_PER_WORKSPACE: usize = MAX_CLAIMS / 4;

/// A host's claim of the key of a request that it is about to dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The workspace of the key.
    pub workspace: WorkspaceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of the request; a resend has the same one.
    pub fingerprint: Digest,
    /// The host that claims the key.
    pub host: HostId,
    /// The attempt to dispatch.
    pub attempt: AttemptId,
    /// The time left until the request's deadline, after which the host doesn't dispatch.
    pub deadline_ms: u64,
    /// The retention of the outcome after the deadline.
    pub retain_ms: u64,
}

/// The status of a claimed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptStatus {
    /// The claim is granted and not settled.
    Running,
    /// The attempt has completed.
    Finished,
    /// The attempt never ran and never will; the key is free.
    NotRun,
    /// It is not known whether the attempt ran.
    Unknown,
}

/// The holder of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The host whose claim was granted.
    pub host: HostId,
    /// The attempt that was granted.
    pub attempt: AttemptId,
    /// The status of the attempt.
    pub settled: AttemptStatus,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The attempt may be dispatched, once.
    Granted,
    /// Another attempt holds the key, or this one is settled.
    Held(Holder),
    /// The key was used for another request.
    Mismatch,
    /// The table or the workspace's share of it is full; the request must not run.
    Full,
}

/// The outcome of a claimed attempt, as reported by a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The workspace of the key.
    pub workspace: WorkspaceName,
    /// The claimed key.
    pub key: IdempotencyKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The reporting host: the claim's host, or one that has taken over from it.
    pub by: HostId,
    /// The outcome; `Running` is not an outcome and has no effect.
    pub settled: AttemptStatus,
}

/// The answer to a settlement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleAnswer {
    /// The attempt is settled with the reported outcome, now or before.
    Settled,
    /// The attempt keeps another outcome, with which it was settled before.
    #[serde(rename = "stands")]
    AlreadySettled(Holder),
    /// Another host can't report "not run" yet, as the claim's host may still dispatch.
    TooEarly {
        /// The time left until it can report that.
        wait_ms: u64,
    },
    /// The claim doesn't exist, or another attempt holds the key.
    NoClaim,
}

/// A granted claim in the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The claim.
    pub claim: Claim,
    /// The status of the attempt.
    pub settled: AttemptStatus,
    /// When the claim was granted, by the state's clock.
    pub granted_ms: u64,
    /// When the claim expires, by the state's clock; a running attempt then becomes unknown.
    pub expires_ms: u64,
}

type Key = (WorkspaceName, IdempotencyKey);

/// All claims that have not expired.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    entries: IndexMap<Key, Entry>,
    expiries: BTreeSet<(u64, Key)>,
    counts: IndexMap<WorkspaceName, usize>,
}

impl Entry {
    fn key(&self) -> Key {
        (self.claim.workspace.clone(), self.claim.key.clone())
    }

    /// Returns the holder of the key, as shown to callers.
    pub fn holder(&self) -> Holder {
        Holder {
            host: self.claim.host.clone(),
            attempt: self.claim.attempt.clone(),
            settled: self.settled,
        }
    }

    /// Returns the end of the time in which the claim's own host may dispatch.
    fn dispatch_deadline_ms(&self) -> u64 {
        self.granted_ms.saturating_add(self.claim.deadline_ms)
    }
}

impl Table {
    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of a key.
    pub fn get(&self, workspace: &WorkspaceName, key: &IdempotencyKey) -> Option<&Entry> {
        self.entries.get(&(workspace.clone(), key.clone()))
    }

    /// Returns the unsettled claims of a host, for the host that takes over.
    pub fn running_claims_of<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a Entry> {
        self.entries.values().filter(move |entry| {
            entry.settled == AttemptStatus::Running && entry.claim.host == *host
        })
    }

    /// Claims a key at `now_ms` of the state's clock.
    pub(crate) fn claim(&mut self, now_ms: u64, claim: &Claim) -> ClaimAnswer {
        let key = (claim.workspace.clone(), claim.key.clone());
        match self.entries.get(&key) {
            Some(entry)
                if entry.claim.attempt == claim.attempt && entry.claim.host == claim.host =>
            {
                answer_resend(entry)
            }
            Some(entry) if entry.settled == AttemptStatus::NotRun => self.grant(now_ms, key, claim),
            Some(entry) if entry.claim.fingerprint != claim.fingerprint => ClaimAnswer::Mismatch,
            Some(entry) => ClaimAnswer::Held(entry.holder()),
            None if self.is_full(&claim.workspace) => ClaimAnswer::Full,
            None => self.grant(now_ms, key, claim),
        }
    }

    fn is_full(&self, workspace: &WorkspaceName) -> bool {
        let count = self.counts.get(workspace).copied().unwrap_or_default();
        self.entries.len() >= MAX_CLAIMS || count >= MAX_CLAIMS_PER_WORKSPACE
    }

    fn grant(&mut self, now_ms: u64, key: Key, claim: &Claim) -> ClaimAnswer {
        let expires_ms = now_ms
            .saturating_add(claim.deadline_ms)
            .saturating_add(claim.retain_ms);
        let entry = Entry {
            claim: claim.clone(),
            settled: AttemptStatus::Running,
            granted_ms: now_ms,
            expires_ms,
        };
        match self.entries.insert(key.clone(), entry) {
            Some(previous) => {
                self.expiries.remove(&(previous.expires_ms, key.clone()));
            }
            None => *self.counts.entry(key.0.clone()).or_default() += 1,
        }
        self.expiries.insert((expires_ms, key));
        ClaimAnswer::Granted
    }

    /// Settles an attempt at `now_ms` of the state's clock.
    pub(crate) fn settle(&mut self, now_ms: u64, settlement: &Settlement) -> SettleAnswer {
        let key = (settlement.workspace.clone(), settlement.key.clone());
        let Some(entry) = self.entries.get_mut(&key) else {
            return SettleAnswer::NoClaim;
        };
        let wait_ms = entry.dispatch_deadline_ms().saturating_sub(now_ms);
        let is_takeover = settlement.by != entry.claim.host;
        match (entry.settled, settlement.settled) {
            _ if entry.claim.attempt != settlement.attempt => SettleAnswer::NoClaim,
            (before, after) if before == after => SettleAnswer::Settled,
            (AttemptStatus::Finished | AttemptStatus::NotRun, _) | (_, AttemptStatus::Running) => {
                SettleAnswer::AlreadySettled(entry.holder())
            }
            (_, AttemptStatus::NotRun) if is_takeover && wait_ms > 0 => {
                SettleAnswer::TooEarly { wait_ms }
            }
            (_, after) => {
                entry.settled = after;
                SettleAnswer::Settled
            }
        }
    }

    /// Removes the claims that have expired by `now_ms` of the state's clock. A running attempt
    /// becomes unknown, and its claim is kept for another retention period.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, key)) = self.expiries.first().cloned()
            && expires_ms <= now_ms
        {
            self.expiries.pop_first();
            self.expire_claim(now_ms, key);
        }
    }

    fn expire_claim(&mut self, now_ms: u64, key: Key) {
        match self.entries.get_mut(&key) {
            Some(entry) if entry.settled == AttemptStatus::Running => {
                entry.settled = AttemptStatus::Unknown;
                entry.expires_ms = now_ms.saturating_add(entry.claim.retain_ms.max(1));
                self.expiries.insert((entry.expires_ms, key));
            }
            _ => {
                self.entries.swap_remove(&key);
                self.decrement_count(&key.0);
            }
        }
    }

    fn decrement_count(&mut self, workspace: &WorkspaceName) {
        match self.counts.get_mut(workspace) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                self.counts.swap_remove(workspace);
            }
        }
    }

    /// Returns all entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Restores a table from its entries, in the same order.
    pub(crate) fn restore(entries: Vec<Entry>) -> Self {
        let mut table = Self::default();
        for entry in entries {
            let key = entry.key();
            table.expiries.insert((entry.expires_ms, key.clone()));
            *table.counts.entry(key.0.clone()).or_default() += 1;
            table.entries.insert(key, entry);
        }
        table
    }
}

/// Answers a repeated claim of the same attempt, whose host may have lost the first answer.
fn answer_resend(entry: &Entry) -> ClaimAnswer {
    match entry.settled {
        AttemptStatus::Running => ClaimAnswer::Granted,
        _ => ClaimAnswer::Held(entry.holder()),
    }
}
