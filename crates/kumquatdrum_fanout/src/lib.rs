//! Core: how what concerns all hosts reaches them, without clock or network.
//!
//! Answers load: each dispatch concerns every host that places on the same engines, and each
//! announcement of an endpoint all hosts. Told by one host to each of the others, what a host sends
//! grows with their number, and most of it crosses to other data centres. Here a host tells those of
//! its own data centre itself, and one [`Relay`] in each other data centre, which passes it on there;
//! dispatches in a [`Bundle`].

mod audience;
mod bundle;

pub use audience::{Audience, Place, Relay};
pub use bundle::{Bundle, Urgency};
