//! Plain services: calls passed on over HTTP.
