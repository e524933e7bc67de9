//! Registry of endpoints, built from their announcements without I/O.
//!
//! Announcements can arrive late, duplicated or out of order, directly or through other hosts. They
//! are ordered by the endpoint's incarnation, then by its sequence number. An endpoint that has
//! announced that it is leaving stays unavailable until its next incarnation.

mod announcement;
mod registry;

pub use announcement::{Announcement, News, Refresh, Update};
pub use registry::{Change, Presence, Registry};
