//! Callers: HTTP in, streams, deadlines and errors.
