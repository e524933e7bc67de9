//! Core: the replicated setup in force, its audit trail and the idempotency claims.
