//! Core: how events reach all hosts that take callers, without clock or network.
//!
//! Answers load: each dispatch concerns every host that places on the same engines. Told by its own
//! host to each of them, what a host sends and receives grows with their number, and most of it
//! crosses to other data centres. Here a host tells those of its own data centre itself, and one
//! [`Relay`] in each other data centre, which passes events on in a [`Bundle`].

mod audience;
mod bundle;

pub use audience::{Audience, Place, Relay};
pub use bundle::{Bundle, Urgency};
