//! Client of plain services over HTTP.

pub mod http;
pub mod service;

pub use http::Client;
pub use service::Service;
