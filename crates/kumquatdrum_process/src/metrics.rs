//! Metrics in the prometheus format. Names carry their units; docs/OPERATORS.md lists them.

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::Registry;

/// Bounds of the first-token histogram, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 3.0, 10.0, 60.0,
];

/// Everything that one daemon counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that got past authentication and checks.
    pub admitted: IntCounter,
    /// Requests by how they ended: `finished`, `not_run`, `failed`, `unknown`, `caller_gone`.
    pub ended: IntCounterVec,
    /// Refusals by their code.
    pub refused: IntCounterVec,
    /// Attempts sent to endpoints.
    pub attempts: IntCounter,
    /// Attempts after the first of a request.
    pub retries: IntCounter,
    /// Answers followed further over a new connection.
    pub resumes: IntCounter,
    /// Cancels that await an engine's confirmation.
    pub cancels_pending: IntGauge,
    /// Requests under way.
    pub in_flight: IntGauge,
    /// Bytes of request bodies held.
    pub body_bytes: IntGauge,
    /// From a request's arrival to its first token, in seconds.
    pub first_token: Histogram,
    /// The version of the declaration in force on this host.
    pub version: IntGauge,
    /// 1 where this host can't hear from a majority of the control replicas.
    pub cut_off: IntGauge,
    /// Endpoints known, by state.
    pub endpoints: IntGaugeVec,
    /// 1 where this host leads the control replicas.
    pub leader: IntGauge,
    /// Bytes sent to and received from other daemons, by channel and direction.
    pub peer_bytes: IntGaugeVec,
}

impl Metrics {
    /// All metrics at zero.
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
                &FIRST_TOKEN_BOUNDS,
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

    /// The metrics as text for the platform.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
