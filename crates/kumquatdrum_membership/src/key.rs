//! Compact keys that identify endpoint records in gossip messages.

use std::fmt::Write;

use kumquatdrum_types::{Announcement, endpoint, hash};
use serde::{Deserialize, Serialize};

/// Digest of an announcement without its sequence number, load and leaving flag. Keys may collide,
/// so the response to a request for a key contains all records with that key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key([u8; 4]);

impl Key {
    /// Returns the key of an announcement.
    pub fn of(announcement: &Announcement) -> Self {
        let mut fnv = Fnv(hash::OFFSET_BASIS);
        let _ = write!(
            fnv,
            "{}\0{}\0{}\0{}\0{}\0",
            announcement.endpoint,
            announcement.boot,
            announcement.service,
            announcement.address,
            announcement.data_centre,
        );
        if let endpoint::Kind::Engine(engine) = &announcement.kind {
            let _ = write!(
                fnv,
                "{}\0{}\0{}\0{}",
                engine.model,
                engine.memory_tokens,
                engine.batch_limit,
                engine.prefill_tokens_per_second,
            );
        }
        Self(fold(mix(fnv.0)).to_le_bytes())
    }

    /// Returns the value that a record with this key contributes to the digest of a table.
    pub(crate) fn digest_contribution(self, leaving: bool) -> u32 {
        let number = u64::from(u32::from_le_bytes(self.0));
        fold(mix(number << 1 | u64::from(leaving)))
    }
}

/// Returns a 32-bit digest of a formatted text.
pub(crate) fn digest(text: std::fmt::Arguments<'_>) -> u32 {
    let mut fnv = Fnv(hash::OFFSET_BASIS);
    let _ = fnv.write_fmt(text);
    fold(mix(fnv.0))
}

struct Fnv(u64);

impl Write for Fnv {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0 = hash::extend(self.0, text.bytes());
        Ok(())
    }
}

/// Mixes the bits of a number with the finaliser of `SplitMix64`.
fn mix(mut number: u64) -> u64 {
    number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

fn fold(number: u64) -> u32 {
    (number ^ (number >> 32)) as u32
}
