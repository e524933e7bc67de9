//! Numbers that differ from host to host, also where all start in the same moment.

use std::hash::{BuildHasher, RandomState};

/// A number drawn from the operating system's randomness.
///
/// ```
/// use kumquatdrum_process::random;
/// assert_ne!(random::number(), random::number());
/// ```
pub fn number() -> u64 {
    RandomState::new().hash_one(())
}
