//! Hashes that have the same value on all hosts.

use crate::EndpointId;

/// FNV-1a offset basis, the initial value for [`extend`].
pub const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the FNV-1a hash of a text, finalised with [`mix`] because FNV-1a has weak high bits.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::of("entry-1"), hash::of("entry-2"));
/// ```
pub fn of(text: &str) -> u64 {
    mix(extend(OFFSET_BASIS, text.bytes()))
}

/// Returns the hash of a pair of texts, for rendezvous hashing.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::pair("a", "bc"), hash::pair("ab", "c"));
/// ```
pub fn pair(left: &str, right: &str) -> u64 {
    let left = extend(OFFSET_BASIS, left.bytes()).wrapping_mul(FNV_PRIME);
    mix(extend(left, right.bytes()))
}

/// Continues an FNV-1a hash over more bytes.
///
/// ```
/// use kumquatdrum_types::hash;
/// let whole = hash::extend(hash::OFFSET_BASIS, *b"entry");
/// assert_eq!(hash::extend(hash::extend(hash::OFFSET_BASIS, *b"en"), *b"try"), whole);
/// ```
pub fn extend(start: u64, bytes: impl IntoIterator<Item = u8>) -> u64 {
    let bytes = bytes.into_iter();
    bytes.fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Returns the hash of one incarnation of an endpoint.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::incarnation(&"e".into(), 1), hash::incarnation(&"e".into(), 2));
/// ```
pub fn incarnation(endpoint: &EndpointId, number: u64) -> u64 {
    let bytes = endpoint.as_str().bytes().chain(number.to_le_bytes());
    extend(OFFSET_BASIS, bytes)
}

/// Mixes the bits of a number with the finaliser of `MurmurHash3`.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::mix(1) >> 32, hash::mix(2) >> 32);
/// ```
pub const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
