//! The order of owners before an endpoint.

use kumquatdrum_types::{EndpointId, hash};

use crate::Settings;

/// How many other owners come before this one at an endpoint.
pub(crate) fn of(settings: &Settings, endpoint: &EndpointId) -> u32 {
    let mine = hash::pair(&settings.owner, endpoint.as_str());
    let others = settings.owners.iter();
    let before = others.filter(|owner| hash::pair(owner, endpoint.as_str()) > mine);
    before.count() as u32
}
