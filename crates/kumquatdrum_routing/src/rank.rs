//! Ranks the owners at each endpoint, so that daemons prefer different endpoints.

use kumquatdrum_types::{EndpointId, hash};

use crate::Settings;

/// Returns the number of owners with precedence over this one at an endpoint.
pub(crate) fn compute(settings: &Settings, endpoint: &EndpointId) -> u32 {
    let own_hash = hash::pair(&settings.owner, endpoint.as_str());
    let others = settings.owners.iter();
    let preceding = others.filter(|owner| hash::pair(owner, endpoint.as_str()) > own_hash);
    preceding.count() as u32
}
