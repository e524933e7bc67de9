//! Plain services: calls passed on over HTTP.

pub mod http;
pub mod plain;

pub use http::Client;
pub use plain::Plain;
