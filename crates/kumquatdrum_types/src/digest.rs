//! Digests of secrets and contents, as lower-case hexadecimal SHA-256.

use std::fmt::Write;

use sha2::{Digest, Sha256};

/// The SHA-256 digest of some bytes, 64 lower-case hexadecimal digits.
///
/// ```
/// let digest = kumquatdrum_types::digest::hex(b"salon-key");
/// assert_eq!(digest.len(), 64);
/// ```
pub fn hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .fold(String::with_capacity(64), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
