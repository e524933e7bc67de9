//! Claims of idempotency keys: who may run a request that must not run twice.
//!
//! A key is claimed before its request is dispatched. The first claim is granted; later ones
//! learn what became of the first. An attempt that never ran frees the key again.

use std::collections::BTreeSet;

use indexmap::IndexMap;
use kumquatdrum_types::{AttemptId, HostId, IdempotencyKey, WorkspaceName};
use serde::{Deserialize, Serialize};

use crate::Digest;

/// The most claims that the table holds; further ones are answered [`ClaimAnswer::Full`].
pub const MAX_CLAIMS: usize = 1 << 18;
/// The most claims of one workspace, so that one alone can't take the keys of all others.
pub const MAX_CLAIMS_OF_WORKSPACE: usize = MAX_CLAIMS / 4;

/// A host's wish to run a keyed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Whose key.
    pub workspace: WorkspaceName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of what the caller asked for; a resend has the same one.
    pub fingerprint: Digest,
    /// The host that would dispatch.
    pub host: HostId,
    /// The attempt that it would dispatch.
    pub attempt: AttemptId,
    /// What is left of the request's deadline. The host dispatches no later than that.
    pub deadline_ms: u64,
    /// How long the outcome is kept after the deadline.
    pub retain_ms: u64,
}

/// What is known of a claimed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settled {
    /// Granted, and not settled yet.
    Running,
    /// It ran to its end.
    Finished,
    /// It never ran and never will; the key is free.
    NotRun,
    /// Nobody could learn whether it ran.
    Unknown,
}

/// A claim as the table keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The host that holds it.
    pub host: HostId,
    /// The attempt that was granted.
    pub attempt: AttemptId,
    /// What is known of the attempt.
    pub settled: Settled,
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The attempt may be dispatched, once.
    Granted,
    /// Another attempt holds the key, or this one has been settled.
    Held(Held),
    /// The key was used for another request.
    Mismatch,
    /// The table, or the workspace's part of it, is full; the request must not run.
    Full,
}

/// What a host has learnt of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Whose key.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// Who says so: the claim's host, or one that took over from it.
    pub by: HostId,
    /// How it ended; `Running` says nothing and is refused.
    pub settled: Settled,
}

/// The answer to a settlement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettleAnswer {
    /// The attempt counts as settled that way, now or before.
    Settled,
    /// It had been settled otherwise, and stays so.
    Stands(Held),
    /// Another host may not say "not run" yet, as the claim's host could still dispatch.
    TooEarly {
        /// What is left until it may.
        wait_ms: u64,
    },
    /// No such claim, or the key has passed to another attempt.
    NoClaim,
}

/// A claim with what the table needs to judge later ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What was claimed.
    pub claim: Claim,
    /// What is known of it.
    pub settled: Settled,
    /// The state's clock when it was granted.
    pub granted_ms: u64,
    /// The state's clock when it is forgotten, or given up on if it still runs.
    pub expires_ms: u64,
}

type Name = (WorkspaceName, IdempotencyKey);

/// All claims that are not yet forgotten.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Table {
    entries: IndexMap<Name, Entry>,
    expiries: BTreeSet<(u64, Name)>,
    counts: IndexMap<WorkspaceName, usize>,
}

impl Entry {
    fn name(&self) -> Name {
        (self.claim.workspace.clone(), self.claim.key.clone())
    }

    /// The claim as callers may see it.
    pub fn held(&self) -> Held {
        Held {
            host: self.claim.host.clone(),
            attempt: self.claim.attempt.clone(),
            settled: self.settled,
        }
    }

    /// Until when the claim's own host could still dispatch.
    fn dispatch_end_ms(&self) -> u64 {
        self.granted_ms.saturating_add(self.claim.deadline_ms)
    }
}

impl Table {
    /// How many claims there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a key.
    pub fn get(&self, workspace: &WorkspaceName, key: &IdempotencyKey) -> Option<&Entry> {
        self.entries.get(&(workspace.clone(), key.clone()))
    }

    /// The claims of a host that have not been settled, for the host that takes over.
    pub fn running_of<'a>(&'a self, host: &'a HostId) -> impl Iterator<Item = &'a Entry> {
        self.entries
            .values()
            .filter(move |entry| entry.settled == Settled::Running && entry.claim.host == *host)
    }

    /// Claims a key at `now_ms` of the state's clock.
    pub(crate) fn claim(&mut self, now_ms: u64, claim: &Claim) -> ClaimAnswer {
        let name = (claim.workspace.clone(), claim.key.clone());
        match self.entries.get(&name) {
            Some(entry)
                if entry.claim.attempt == claim.attempt && entry.claim.host == claim.host =>
            {
                repeat(entry)
            }
            Some(entry) if entry.settled == Settled::NotRun => self.grant(now_ms, name, claim),
            Some(entry) if entry.claim.fingerprint != claim.fingerprint => ClaimAnswer::Mismatch,
            Some(entry) => ClaimAnswer::Held(entry.held()),
            None if self.is_full(&claim.workspace) => ClaimAnswer::Full,
            None => self.grant(now_ms, name, claim),
        }
    }

    fn is_full(&self, workspace: &WorkspaceName) -> bool {
        let count = self.counts.get(workspace).copied().unwrap_or_default();
        self.entries.len() >= MAX_CLAIMS || count >= MAX_CLAIMS_OF_WORKSPACE
    }

    fn grant(&mut self, now_ms: u64, name: Name, claim: &Claim) -> ClaimAnswer {
        let expires_ms = now_ms
            .saturating_add(claim.deadline_ms)
            .saturating_add(claim.retain_ms);
        let entry = Entry {
            claim: claim.clone(),
            settled: Settled::Running,
            granted_ms: now_ms,
            expires_ms,
        };
        match self.entries.insert(name.clone(), entry) {
            Some(previous) => {
                self.expiries.remove(&(previous.expires_ms, name.clone()));
            }
            None => *self.counts.entry(name.0.clone()).or_default() += 1,
        }
        self.expiries.insert((expires_ms, name));
        ClaimAnswer::Granted
    }

    /// Settles an attempt at `now_ms` of the state's clock.
    pub(crate) fn settle(&mut self, now_ms: u64, settlement: &Settlement) -> SettleAnswer {
        let name = (settlement.workspace.clone(), settlement.key.clone());
        let Some(entry) = self.entries.get_mut(&name) else {
            return SettleAnswer::NoClaim;
        };
        let wait_ms = entry.dispatch_end_ms().saturating_sub(now_ms);
        let is_takeover = settlement.by != entry.claim.host;
        match (entry.settled, settlement.settled) {
            _ if entry.claim.attempt != settlement.attempt => SettleAnswer::NoClaim,
            (before, after) if before == after => SettleAnswer::Settled,
            (Settled::Finished | Settled::NotRun, _) | (_, Settled::Running) => {
                SettleAnswer::Stands(entry.held())
            }
            (_, Settled::NotRun) if is_takeover && wait_ms > 0 => {
                SettleAnswer::TooEarly { wait_ms }
            }
            (_, after) => {
                entry.settled = after;
                SettleAnswer::Settled
            }
        }
    }

    /// Forgets what has expired by `now_ms` of the state's clock. An attempt that still runs is
    /// kept for another while as unknown, so that its key is never freed by time alone.
    pub(crate) fn expire(&mut self, now_ms: u64) {
        while let Some((expires_ms, name)) = self.expiries.first().cloned()
            && expires_ms <= now_ms
        {
            self.expiries.pop_first();
            self.expire_one(now_ms, name);
        }
    }

    fn expire_one(&mut self, now_ms: u64, name: Name) {
        match self.entries.get_mut(&name) {
            Some(entry) if entry.settled == Settled::Running => {
                entry.settled = Settled::Unknown;
                entry.expires_ms = now_ms.saturating_add(entry.claim.retain_ms.max(1));
                self.expiries.insert((entry.expires_ms, name));
            }
            _ => {
                self.entries.swap_remove(&name);
                self.uncount(&name.0);
            }
        }
    }

    fn uncount(&mut self, workspace: &WorkspaceName) {
        match self.counts.get_mut(workspace) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                self.counts.swap_remove(workspace);
            }
        }
    }

    /// All entries, for a snapshot.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Puts a table together again, in the same order.
    pub(crate) fn restore(entries: Vec<Entry>) -> Self {
        let mut table = Self::default();
        for entry in entries {
            let name = entry.name();
            table.expiries.insert((entry.expires_ms, name.clone()));
            *table.counts.entry(name.0.clone()).or_default() += 1;
            table.entries.insert(name, entry);
        }
        table
    }
}

/// The same attempt claims once more, as its host lost the answer.
fn repeat(entry: &Entry) -> ClaimAnswer {
    match entry.settled {
        Settled::Running => ClaimAnswer::Granted,
        _ => ClaimAnswer::Held(entry.held()),
    }
}
