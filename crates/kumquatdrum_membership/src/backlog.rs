//! Updates that remain to be sent to a peer.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, EndpointId};

/// Number of pushes that carry a leaving notice, in case one is lost.
pub(crate) const LEAVING_TRANSMISSIONS: u8 = 2;

/// Update about an endpoint; a greater one includes the lesser ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Update {
    /// Renewal without load.
    Renewal,
    /// Renewal with load.
    Load,
    /// Full record.
    Record,
    /// Leaving notice, with the number of pushes that still have to carry it.
    Leaving(u8),
}

/// Pending updates for one peer, at most one for each endpoint.
#[derive(Debug, Default)]
pub(crate) struct Backlog {
    pub(crate) endpoints: IndexMap<EndpointId, Update>,
    pub(crate) summaries: Vec<DataCentre>,
}

impl Backlog {
    pub(crate) fn add(&mut self, id: &EndpointId, update: Update) {
        match self.endpoints.get_mut(id) {
            Some(known) => *known = update.max(*known),
            None => {
                self.endpoints.insert(id.clone(), update);
            }
        }
    }

    pub(crate) fn add_summary(&mut self, data_centre: &DataCentre) {
        if !self.summaries.contains(data_centre) {
            self.summaries.push(data_centre.clone());
        }
    }

    pub(crate) fn clear(&mut self) {
        self.endpoints.clear();
        self.summaries.clear();
    }
}
