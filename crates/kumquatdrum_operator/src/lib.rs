//! Operators: apply, read back, audit and status.
