//! Core: admission, limits, queueing, placement and retries.
