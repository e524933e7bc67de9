//! Core: the life of one request and the composition of one daemon.
