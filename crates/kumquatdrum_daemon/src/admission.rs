//! Turning what a caller sent into a request, or a refusal.
