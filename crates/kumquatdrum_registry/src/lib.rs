//! Core: endpoints as they announce themselves.
//!
//! Announcements arrive late, twice and out of order, at any host, and hosts pass them on. What
//! holds is told by the endpoint's own numbers alone: a later start replaces an earlier one, and
//! within one start the higher sequence number wins. An endpoint that has said that it leaves does
//! not come back within the same start.

mod announcement;
mod registry;

pub use announcement::{Announcement, Update};
pub use registry::{Change, Registry};
