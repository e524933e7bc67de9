//! The shell of one host: sockets, timers, disk and threads around the daemon's core.
