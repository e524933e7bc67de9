//! Gateway hosts as real processes on loopback, in front of stand-in endpoints.

mod backoff;
mod cluster;
mod cold;
mod control;
mod crash;
mod crash_part;
mod diagnosis;
mod ending_cases;
mod ending_soak;
mod endings;
mod endpoint;
mod endpoint_soak;
mod explain;
mod fanout;
mod helpers;
mod leaving;
mod limit;
mod outage;
mod path;
mod proxy;
mod raw;
mod reservation;
mod soak;
mod start;
mod stop;
mod streams;
