//! SHA-256 digests in lower-case hexadecimal.

use std::fmt::Write;

use sha2::{Digest, Sha256};

const HEX_DIGITS: usize = 64;

/// Returns whether a text has the format of [`hex`]'s output.
///
/// ```
/// use kumquatdrum_types::digest;
/// assert!(digest::is_hex(&digest::hex(b"salon-key")));
/// assert!(!digest::is_hex("salon-key"));
/// ```
pub fn is_hex(text: &str) -> bool {
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == HEX_DIGITS && text.bytes().all(is_digit)
}

/// Returns the SHA-256 digest of `bytes` as 64 lower-case hexadecimal digits.
///
/// ```
/// let digest = kumquatdrum_types::digest::hex(b"salon-key");
/// assert_eq!(digest.len(), 64);
/// ```
pub fn hex(bytes: &[u8]) -> String {
    Sha256::digest(bytes)
        .iter()
        .fold(String::with_capacity(HEX_DIGITS), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}
