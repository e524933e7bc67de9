//! The platform: health, signals, metrics and draining.
