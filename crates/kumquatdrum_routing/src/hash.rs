//! Hashes that are equal on all daemons.

use kumquatdrum_types::EndpointId;

use crate::Settings;

const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// The hash of a text: FNV-1a with a final mix, as its high bits alone are weak.
pub(crate) fn of(text: &str) -> u64 {
    mix(feed(OFFSET, text))
}

/// The hash of a pair of texts, for rendezvous hashing.
pub(crate) fn pair(left: &str, right: &str) -> u64 {
    mix(feed(feed(OFFSET, left).wrapping_mul(PRIME), right))
}

/// How many other owners come before this one at an endpoint.
pub(crate) fn rank(settings: &Settings, endpoint: &EndpointId) -> u32 {
    let mine = pair(&settings.owner, endpoint.as_str());
    let others = settings.owners.iter();
    let before = others.filter(|owner| pair(owner, endpoint.as_str()) > mine);
    before.count() as u32
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
