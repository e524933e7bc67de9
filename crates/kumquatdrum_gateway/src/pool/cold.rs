//! Endpoints that may be cold.

use kumquatdrum_types::DataCentre;
use slog::debug;

use super::Pool;

impl Pool {
    /// Records that the endpoints of a data centre may be cold, as its evacuation has ended.
    pub fn expect_cold(&self, data_centre: &DataCentre) {
        debug!(self.dependencies.logger, "cold_expected"; "event" => "cold_expected",
            "data_centre" => data_centre.as_str());
    }
}
