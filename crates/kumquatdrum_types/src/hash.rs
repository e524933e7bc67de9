//! Hashes that are equal on all hosts.

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The hash of a text: FNV-1a with a final mix, as its high bits alone are weak.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::of("entry-1"), hash::of("entry-2"));
/// ```
pub fn of(text: &str) -> u64 {
    mix(feed(OFFSET, text))
}

/// The hash of a pair of texts, for rendezvous hashing.
///
/// ```
/// use kumquatdrum_types::hash;
/// assert_ne!(hash::pair("a", "bc"), hash::pair("ab", "c"));
/// ```
pub fn pair(left: &str, right: &str) -> u64 {
    mix(feed(feed(OFFSET, left).wrapping_mul(PRIME), right))
}

fn feed(start: u64, text: &str) -> u64 {
    text.bytes().fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

const fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
