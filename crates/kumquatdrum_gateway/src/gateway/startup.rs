//! What a host has learned since its start.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;

use kumquatdrum_types::Moment;
use parking_lot::Mutex;

use crate::allowance::Allowance;
use crate::backlog::Backlog;

/// The progress of a host's start, and the requests that wait for it.
#[derive(Debug, Default)]
pub(super) struct Startup {
    /// Whether this host had the newest known setup while in contact with a majority of the control
    /// hosts.
    pub(super) has_confirmed_setup: AtomicBool,
    /// Whether a control host has sent all endpoints to this host.
    pub(super) has_initial_endpoints: AtomicBool,
    /// When the first setup came into force.
    pub(super) setup_known_at: OnceLock<Moment>,
    /// The requests that wait until they can be placed.
    pub(super) backlog: Backlog,
    /// What a control host may send to other hosts that start.
    pub(super) allowance: Mutex<Allowance>,
}
