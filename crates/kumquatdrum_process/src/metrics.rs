//! Metrics in the prometheus format. Names carry their units; docs/OPERATORS.md lists them.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

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
    pub endpoints: prometheus::IntGaugeVec,
    /// 1 where this host leads the control replicas.
    pub leader: IntGauge,
    /// Bytes sent to and received from other daemons, by channel and direction.
    pub peer_bytes: prometheus::IntGaugeVec,
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauges(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<prometheus::IntGaugeVec> {
    let gauges = prometheus::IntGaugeVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(gauges.clone()))?;
    Ok(gauges)
}

fn histogram(registry: &Registry, name: &str, help: &str) -> prometheus::Result<Histogram> {
    let options = HistogramOpts::new(name, help).buckets(FIRST_TOKEN_BOUNDS.to_vec());
    let histogram = Histogram::with_opts(options)?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
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
        let r = &Registry::new();
        Ok(Self {
            registry: r.clone(),
            admitted: counter(
                r,
                "kumquatdrum_requests_admitted_total",
                "Requests admitted.",
            )?,
            ended: counters(
                r,
                "kumquatdrum_requests_ended_total",
                "Requests by ending.",
                "ending",
            )?,
            refused: counters(r, "kumquatdrum_refusals_total", "Refusals by code.", "code")?,
            attempts: counter(
                r,
                "kumquatdrum_attempts_total",
                "Attempts sent to endpoints.",
            )?,
            retries: counter(
                r,
                "kumquatdrum_retries_total",
                "Attempts after a request's first.",
            )?,
            resumes: counter(r, "kumquatdrum_resumes_total", "Answers resumed elsewhere.")?,
            cancels_pending: gauge(r, "kumquatdrum_cancels_pending", "Cancels unconfirmed.")?,
            in_flight: gauge(r, "kumquatdrum_requests_in_flight", "Requests under way.")?,
            body_bytes: gauge(r, "kumquatdrum_body_bytes", "Bytes of request bodies held.")?,
            first_token: histogram(
                r,
                "kumquatdrum_first_token_seconds",
                "Seconds from arrival to the first token.",
            )?,
            version: gauge(
                r,
                "kumquatdrum_declaration_version",
                "Version in force here.",
            )?,
            cut_off: gauge(
                r,
                "kumquatdrum_cut_off",
                "1 without a majority of replicas.",
            )?,
            endpoints: gauges(
                r,
                "kumquatdrum_endpoints",
                "Endpoints by state.",
                &["state"],
            )?,
            leader: gauge(r, "kumquatdrum_control_leader", "1 on the control leader.")?,
            peer_bytes: gauges(
                r,
                "kumquatdrum_peer_bytes",
                "Bytes exchanged with other daemons since the start.",
                &["channel", "direction"],
            )?,
        })
    }

    /// The metrics as text for the platform.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
