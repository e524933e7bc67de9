//! The daemon's metrics in the Prometheus format; docs/OPERATORS.md lists them.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::Registry;

/// The bucket bounds of the first-token histogram.
const FIRST_TOKEN_BOUNDS_SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 3.0, 10.0, 60.0,
];

/// The metrics of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that passed authentication and validation.
    pub admitted: IntCounter,
    /// Requests by outcome: `finished`, `not_run`, `failed`, `unknown`, `caller_gone`.
    pub ended: IntCounterVec,
    /// Refused requests by error code.
    pub refused: IntCounterVec,
    /// Attempts sent to endpoints.
    pub attempts: IntCounter,
    /// Attempts after a request's first one.
    pub retries: IntCounter,
    /// Answers resumed over a new connection.
    pub resumes: IntCounter,
    /// Cancellations that an engine has not confirmed yet.
    pub cancels_pending: IntGauge,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Bytes of request bodies held in memory.
    pub body_bytes: IntGauge,
    /// Seconds from a request's arrival to its first token.
    pub first_token: Histogram,
    /// The version of the declaration that is active on this host.
    pub version: IntGauge,
    /// 1 if this host can't reach a majority of the control replicas, else 0.
    pub cut_off: IntGauge,
    /// Known endpoints by state.
    pub endpoints: IntGaugeVec,
    /// 1 if this host is the leader of the control replicas, else 0.
    pub leader: IntGauge,
    /// Bytes sent to and received from other daemons, by channel and direction.
    pub peer_bytes: IntGaugeVec,
}

impl Metrics {
    /// Registers all metrics, at zero.
    ///
    /// ```
    /// let metrics = kumquatdrum_process::Metrics::new().unwrap();
    /// metrics.admitted.inc();
    /// assert!(metrics.text().contains("kumquatdrum_requests_admitted_total 1"));
    /// ```
    pub fn new() -> prometheus::Result<Self> {
        let r = Registry::default();
        Ok(Self {
            admitted: r.counter("kumquatdrum_requests_admitted_total", "Requests admitted.")?,
            ended: r.counter_vec(
                "kumquatdrum_requests_ended_total",
                "Requests by ending.",
                &["ending"],
            )?,
            refused: r.counter_vec("kumquatdrum_refusals_total", "Refusals by code.", &["code"])?,
            attempts: r.counter("kumquatdrum_attempts_total", "Attempts sent to endpoints.")?,
            retries: r.counter(
                "kumquatdrum_retries_total",
                "Attempts after a request's first.",
            )?,
            resumes: r.counter("kumquatdrum_resumes_total", "Answers resumed elsewhere.")?,
            cancels_pending: r.gauge("kumquatdrum_cancels_pending", "Cancels unconfirmed.")?,
            in_flight: r.gauge("kumquatdrum_requests_in_flight", "Requests under way.")?,
            body_bytes: r.gauge("kumquatdrum_body_bytes", "Bytes of request bodies held.")?,
            first_token: r.histogram(
                "kumquatdrum_first_token_seconds",
                "Seconds from arrival to the first token.",
                &FIRST_TOKEN_BOUNDS_SECONDS,
            )?,
            version: r.gauge("kumquatdrum_declaration_version", "Version in force here.")?,
            cut_off: r.gauge("kumquatdrum_cut_off", "1 without a majority of replicas.")?,
            endpoints: r.gauge_vec("kumquatdrum_endpoints", "Endpoints by state.", &["state"])?,
            leader: r.gauge("kumquatdrum_control_leader", "1 on the control leader.")?,
            peer_bytes: r.gauge_vec(
                "kumquatdrum_peer_bytes",
                "Bytes exchanged with other daemons since the start.",
                &["channel", "direction"],
            )?,
            registry: r,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
