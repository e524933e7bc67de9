//! Accounts for the KV memory held by attempts, reservations and exported or imported KV.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Memory held under a name, independent of running attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// Name under which the memory is released.
    pub id: String,
    /// Host that requested the memory.
    pub owner: String,
    /// Amount of memory, in tokens.
    pub tokens: u64,
}

/// Reason why memory can't be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HoldError {
    /// Too little free memory.
    #[error("not enough memory is free")]
    Full,
    /// The name already holds memory of another size or owner.
    #[error("the name is taken")]
    Taken,
    /// Unknown attempt or name.
    #[error("no such attempt or name")]
    Unknown,
}

#[derive(Debug)]
pub(super) struct Ledger {
    limit_tokens: u64,
    attempt_tokens: u64,
    reservations: IndexMap<String, (Hold, Moment)>,
    kv: IndexMap<String, Hold>,
}

impl Ledger {
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            attempt_tokens: 0,
            reservations: IndexMap::new(),
            kv: IndexMap::new(),
        }
    }

    pub(super) fn used(&self) -> u64 {
        let reserved: u64 = self
            .reservations
            .values()
            .map(|(hold, _)| hold.tokens)
            .sum();
        let stored: u64 = self.kv.values().map(|hold| hold.tokens).sum();
        self.attempt_tokens + reserved + stored
    }

    pub(super) fn has_room(&self, tokens: u64) -> bool {
        self.used() + tokens <= self.limit_tokens
    }

    /// Allocates memory to attempts.
    pub(super) fn allocate(&mut self, tokens: u64) {
        self.attempt_tokens += tokens;
    }

    /// Frees memory of attempts.
    pub(super) fn free(&mut self, tokens: u64) {
        self.attempt_tokens -= tokens;
    }

    /// Reserves memory until `now + ttl`; an identical reservation is renewed.
    pub(super) fn reserve(
        &mut self,
        now: Moment,
        hold: Hold,
        ttl: Duration,
    ) -> Result<(), HoldError> {
        let known = self.reservations.get(&hold.id).map(|(known, _)| known);
        match known {
            Some(known) if *known != hold => return Err(HoldError::Taken),
            None if !self.has_room(hold.tokens) => return Err(HoldError::Full),
            _ => {}
        }
        self.reservations.insert(hold.id.clone(), (hold, now + ttl));
        Ok(())
    }

    /// Frees a reservation and returns its tokens.
    pub(super) fn release(&mut self, id: &str) -> Option<u64> {
        let (hold, _) = self.reservations.swap_remove(id)?;
        Some(hold.tokens)
    }

    /// Drops expired reservations.
    pub(super) fn expire(&mut self, now: Moment) {
        self.reservations
            .retain(|_, (_, expires_at)| *expires_at > now);
    }

    pub(super) fn store_kv(&mut self, hold: Hold) -> Result<(), HoldError> {
        match self.kv.get(&hold.id) {
            Some(known) if *known == hold => return Ok(()),
            Some(_) => return Err(HoldError::Taken),
            None if !self.has_room(hold.tokens) => return Err(HoldError::Full),
            None => {}
        }
        self.kv.insert(hold.id.clone(), hold);
        Ok(())
    }

    pub(super) fn drop_kv(&mut self, id: &str) -> Option<Hold> {
        self.kv.swap_remove(id)
    }

    pub(super) fn reservations(&self) -> impl Iterator<Item = &Hold> {
        self.reservations.values().map(|(hold, _)| hold)
    }

    pub(super) fn kv(&self) -> impl Iterator<Item = &Hold> {
        self.kv.values()
    }
}
