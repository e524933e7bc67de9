//! KV memory in tokens: what attempts, reservations and exported or imported KV hold of it.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Memory held by name, apart from running attempts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The name that frees it.
    pub id: String,
    /// The host that asked for it.
    pub owner: String,
    /// Tokens held.
    pub tokens: u64,
}

/// Why memory can't be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HoldError {
    /// Not enough memory is free.
    #[error("not enough memory is free")]
    Full,
    /// The name holds memory already, of another size or owner.
    #[error("the name is taken")]
    Taken,
    /// No such attempt or name.
    #[error("no such attempt or name")]
    Unknown,
}

#[derive(Debug)]
pub(super) struct Ledger {
    limit: u64,
    attempts: u64,
    reservations: IndexMap<String, (Hold, Moment)>,
    kv: IndexMap<String, Hold>,
}

impl Ledger {
    pub(super) fn new(limit: u64) -> Self {
        Self {
            limit,
            attempts: 0,
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
        self.attempts + reserved + stored
    }

    pub(super) fn has_room(&self, tokens: u64) -> bool {
        self.used() + tokens <= self.limit
    }

    pub(super) fn take(&mut self, tokens: u64) {
        self.attempts += tokens;
    }

    pub(super) fn give_back(&mut self, tokens: u64) {
        self.attempts -= tokens;
    }

    /// Reserves memory until `now + ttl`; the same reservation again renews it.
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

    /// Frees a reservation; the tokens that it held.
    pub(super) fn release(&mut self, id: &str) -> Option<u64> {
        let (hold, _) = self.reservations.swap_remove(id)?;
        Some(hold.tokens)
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.reservations.retain(|_, (_, until)| *until > now);
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
