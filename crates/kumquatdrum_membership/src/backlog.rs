//! What one peer still has to be told, in the order of its weight.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, EndpointId};

/// How often a leaving notice is told, in case one telling is lost.
pub(crate) const LEAVING_TRANSMISSIONS: u8 = 2;

/// What a peer has to be told of an endpoint; the greater covers the lesser.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Update {
    /// That it renewed its announcement.
    Renewal,
    /// Its load too.
    Load,
    /// Its whole record.
    Record,
    /// That it is leaving, this many times.
    Leaving(u8),
}

/// The needs of one peer; one for each endpoint at most, so that its size is bounded.
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
