//! Gateway hosts as real processes on loopback, before stand-ins of the platform's endpoints.

mod cluster;
mod control;
mod endpoint;
mod explain;
mod fanout;
mod path;
mod proxy;
mod soak;
mod stop;
mod streams;
