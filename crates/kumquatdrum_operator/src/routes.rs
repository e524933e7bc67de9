//! The HTTP interface of operators.

use std::fmt;
use std::sync::Arc;

use kumquatdrum_setup::Control;
use rocket::Route;
use slog::Logger;

use crate::auth::Operators;

/// What the routes need; `rocket.manage` it on the operators' listener.
#[derive(Clone)]
pub struct Desk {
    /// The control plane.
    pub control: Arc<dyn Control>,
    /// Who may operate.
    pub operators: Operators,
    /// Where each attempt is logged, without secrets.
    pub logger: Logger,
}

impl fmt::Debug for Desk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Desk")
            .field("operators", &self.operators)
            .finish_non_exhaustive()
    }
}

/// The routes under `/v1`; mount them at `/`, and manage a [`Desk`].
pub fn routes() -> Vec<Route> {
    Vec::new()
}
