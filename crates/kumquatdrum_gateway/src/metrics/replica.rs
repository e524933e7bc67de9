//! Metrics of a control host's replica.

use kumquatdrum_process::Registry;
use prometheus::{IntCounterVec, IntGauge};

/// The metrics of a control host's replica.
#[derive(Debug)]
pub struct Replica {
    /// 1 while the replica runs, 0 else.
    pub up: IntGauge,
    /// Seconds for which a control host has had no replica.
    pub down_seconds: IntGauge,
    /// Failures, by reason.
    pub failures: IntCounterVec,
    /// The voters, on the leader.
    pub voters: IntGauge,
    /// The voters that answer the leader, itself included, on the leader.
    pub voters_following: IntGauge,
}

impl Replica {
    /// Registers the metrics with zero values.
    pub(super) fn new(registry: &Registry) -> prometheus::Result<Self> {
        Ok(Self {
            up: registry.gauge(
                "kumquatdrum_gateway_replica_up",
                "1 while the replica of this host runs.",
            )?,
            down_seconds: registry.gauge(
                "kumquatdrum_gateway_replica_down_seconds",
                "Seconds for which a control host has had no replica; 0 while it runs.",
            )?,
            failures: registry.counter_vec(
                "kumquatdrum_gateway_replica_failures_total",
                "Failures of the replica of this host, and failed attempts to start it, by reason.",
                &["reason"],
            )?,
            voters: registry.gauge(
                "kumquatdrum_gateway_voters",
                "Voters, as the leader knows them; 0 elsewhere.",
            )?,
            voters_following: registry.gauge(
                "kumquatdrum_gateway_voters_following",
                "Voters that answer the leader, itself included; 0 elsewhere.",
            )?,
        })
    }
}
