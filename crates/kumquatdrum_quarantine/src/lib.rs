//! Detects requests that crash the endpoints that run them, without clock or network.

mod fingerprint;

pub use fingerprint::Fingerprint;
