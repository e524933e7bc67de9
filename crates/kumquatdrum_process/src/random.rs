//! Random numbers that differ between hosts that start at the same moment.

use std::hash::{BuildHasher, RandomState};

/// Returns a random number, seeded by the operating system's random source.
///
/// ```
/// use kumquatdrum_process::random;
/// assert_ne!(random::number(), random::number());
/// ```
pub fn number() -> u64 {
    RandomState::new().hash_one(())
}
