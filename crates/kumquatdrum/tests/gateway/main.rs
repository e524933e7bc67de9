//! Gateway hosts as real processes on loopback, in front of stand-in endpoints.

mod cluster;
mod control;
mod crash;
mod endpoint;
mod endpoint_soak;
mod explain;
mod fanout;
mod helpers;
mod limit;
mod path;
mod proxy;
mod reservation;
mod soak;
mod start;
mod stop;
mod streams;
