//! Endpoints in evacuated data centres, which the pool does not offer.

use kumquatdrum_registry::Announcement;

use super::{Pool, Service};

impl Pool {
    /// Removes endpoints in evacuated data centres from a list. Returns whether there were any.
    pub(super) fn remove_evacuated<T>(
        &self,
        endpoints: &mut Vec<T>,
        announcement: impl Fn(&T) -> &Announcement,
    ) -> bool {
        let current = self.dependencies.evacuations.current();
        let before = endpoints.len();
        endpoints.retain(|endpoint| !current.is_active(&announcement(endpoint).data_centre));
        endpoints.len() < before
    }
}

impl Service {
    /// Returns whether all endpoints are in evacuated data centres.
    pub(super) fn is_evacuated(&self) -> bool {
        self.state.lock().is_evacuated
    }
}
