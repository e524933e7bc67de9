//! What one data centre tells the others of itself.

use indexmap::IndexMap;
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{DataCentre, HostId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::table::{Record, State};

/// The state of a data centre. Sums are rounded down to two significant bits, so that small
/// movements cost no messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its services, by name.
    pub services: Vec<Part>,
    /// Its hosts that are not alive.
    pub down: Vec<HostId>,
}

/// One service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Endpoints that take new work.
    pub alive: u32,
    /// KV memory that they have free, in tokens, rounded.
    pub free_memory_tokens: u64,
    /// Requests that they run or queue, rounded.
    pub requests: u64,
    /// Prompt tokens that they still have to compute, rounded.
    pub prefill_tokens: u64,
}

/// Sums up the endpoints that take new work.
pub(crate) fn services<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Part> {
    let mut parts: IndexMap<&ServiceName, Part> = IndexMap::new();
    for record in records {
        if record.state != State::Alive || record.announcement.leaving {
            continue;
        }
        let service = &record.announcement.service;
        let part = parts.entry(service).or_insert_with(|| empty(service));
        add(part, &record.announcement.kind);
    }
    parts.sort_unstable_keys();
    parts.into_values().map(rounded).collect()
}

fn empty(service: &ServiceName) -> Part {
    Part {
        service: service.clone(),
        alive: 0,
        free_memory_tokens: 0,
        requests: 0,
        prefill_tokens: 0,
    }
}

fn add(part: &mut Part, kind: &Kind) {
    part.alive += 1;
    let Kind::Engine(engine) = kind else {
        return;
    };
    let load = engine.load.clone().unwrap_or_default();
    part.free_memory_tokens += engine.memory_tokens.saturating_sub(load.memory_used_tokens);
    part.requests += u64::from(load.running) + u64::from(load.waiting);
    part.prefill_tokens += load.prefill_tokens;
}

fn rounded(part: Part) -> Part {
    Part {
        free_memory_tokens: round(part.free_memory_tokens),
        requests: round(part.requests),
        prefill_tokens: round(part.prefill_tokens),
        ..part
    }
}

/// Keeps the two highest bits.
fn round(number: u64) -> u64 {
    let low = (u64::BITS - number.leading_zeros()).saturating_sub(2);
    number >> low << low
}
