//! Model engines: streams, resume, cancel, load and cache events.
