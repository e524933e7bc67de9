//! Recorded traces: generation, replay against a running system, judgement and report.
