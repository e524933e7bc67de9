//! Metrics of a gateway host in the Prometheus format.

use kumquatdrum_peer::{Channel, Counters};
use kumquatdrum_process::Registry;
use prometheus::{HistogramVec, IntCounter, IntCounterVec, IntGauge};

mod replica;

pub use replica::Replica;

/// The bucket bounds in seconds, around the expected times to the first token.
const BUCKET_BOUNDS_SECONDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0,
];

/// The metrics of a gateway host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by the way they ended.
    pub ended: IntCounterVec,
    /// Connections of callers that ended with a request in them, by its phase and the cause.
    pub connections_ended: IntCounterVec,
    /// Requests sent to endpoints, by outcome.
    pub attempts: IntCounterVec,
    /// Seconds to the first event or the complete response, by prompt length.
    pub first_event: HistogramVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Bytes that are reserved for the bodies of requests.
    pub body_bytes: IntGauge,
    /// The active revision.
    pub revision: IntGauge,
    /// 1 on the leader's host, 0 elsewhere.
    pub leader: IntGauge,
    /// This host's replica, and the voters that follow it.
    pub replica: Replica,
    /// The number of live hosts.
    pub hosts: IntGauge,
    /// The control hosts that this host sends hellos to.
    pub contacts: IntGauge,
    /// Milliseconds since the last listing of hosts.
    pub listing_age_ms: IntGauge,
    /// Requests that were in flight at an endpoint that crashed.
    pub suspects: IntGauge,
    /// Requests that are blocked because they crash endpoints.
    pub blocked: IntGauge,
    /// Responses that keep further requests from their endpoint, by reason.
    pub holds: IntCounterVec,
    /// Evacuated data centres.
    pub evacuated: IntGauge,
    /// This host's requests that run in evacuated data centres.
    pub evacuated_running: IntGauge,
    /// Cold endpoints.
    pub cold: IntGauge,
    /// Requests that were placed while a cold endpoint could not get them.
    pub moved_from_cold: IntCounter,
    /// Requests that were sent through another host, by outcome.
    pub relayed: IntCounterVec,
    /// Changes of what this host reaches, by kind.
    pub path_changes: IntCounterVec,
    /// The number of services that this host does not reach directly.
    pub cut_services: IntGauge,
    /// Datagrams to and from other hosts, by direction.
    pub datagrams: IntCounterVec,
    /// Bytes of frames to and from other hosts, by channel and direction.
    pub peer_bytes: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics with zero values.
    pub fn new() -> prometheus::Result<Self> {
        let r = Registry::default();
        Ok(Self {
            ended: r.counter_vec(
                "kumquatdrum_gateway_ended_total",
                "Requests by their end.",
                &["end"],
            )?,
            connections_ended: r.counter_vec(
                "kumquatdrum_gateway_connections_ended_total",
                "Connections of callers that ended with a request in them, by its phase and the cause.",
                &["phase", "cause"],
            )?,
            attempts: r.counter_vec(
                "kumquatdrum_gateway_attempts_total",
                "Requests sent to endpoints, by outcome.",
                &["outcome"],
            )?,
            first_event: r.histogram_vec(
                "kumquatdrum_gateway_first_seconds",
                "Seconds to the first event or the whole answer, by length of the prompt.",
                &BUCKET_BOUNDS_SECONDS,
                &["prompt"],
            )?,
            in_flight: r.gauge("kumquatdrum_gateway_under_way", "Requests under way.")?,
            body_bytes: r.gauge(
                "kumquatdrum_gateway_body_bytes",
                "Bytes reserved for the bodies of requests over 64 KiB.",
            )?,
            revision: r.gauge("kumquatdrum_gateway_revision", "The revision in force.")?,
            leader: r.gauge("kumquatdrum_gateway_leader", "1 on the leading replica.")?,
            replica: Replica::new(&r)?,
            hosts: r.gauge("kumquatdrum_gateway_hosts", "Hosts heard lately.")?,
            contacts: r.gauge(
                "kumquatdrum_gateway_contacts",
                "Control hosts that this host sends hellos to.",
            )?,
            listing_age_ms: r.gauge(
                "kumquatdrum_gateway_listing_age_ms",
                "Milliseconds since the last listing of hosts.",
            )?,
            suspects: r.gauge(
                "kumquatdrum_gateway_suspects",
                "Requests that were in flight at an endpoint that crashed.",
            )?,
            blocked: r.gauge(
                "kumquatdrum_gateway_blocked",
                "Requests that are blocked because they crash endpoints.",
            )?,
            holds: r.counter_vec(
                "kumquatdrum_gateway_endpoint_holds_total",
                "Responses that keep further requests from their endpoint, by reason.",
                &["reason"],
            )?,
            evacuated: r.gauge(
                "kumquatdrum_gateway_evacuated_data_centres",
                "Data centres whose endpoints get no requests, by an operator's order.",
            )?,
            evacuated_running: r.gauge(
                "kumquatdrum_gateway_evacuated_running",
                "Requests of this host that run in evacuated data centres.",
            )?,
            cold: r.gauge("kumquatdrum_gateway_cold_endpoints", "Cold endpoints.")?,
            moved_from_cold: r.counter(
                "kumquatdrum_gateway_moved_from_cold_total",
                "Requests placed elsewhere while a cold endpoint had had its share.",
            )?,
            relayed: r.counter_vec(
                "kumquatdrum_gateway_relayed_total",
                "Requests that were sent through another host, by outcome.",
                &["outcome"],
            )?,
            path_changes: r.counter_vec(
                "kumquatdrum_gateway_path_changes_total",
                "Changes of what this host reaches, by kind.",
                &["change"],
            )?,
            cut_services: r.gauge(
                "kumquatdrum_gateway_cut_services",
                "Services that this host does not reach directly.",
            )?,
            datagrams: r.counter_vec(
                "kumquatdrum_gateway_datagrams_total",
                "Datagrams sent, of them relayed, received, and received but unreadable.",
                &["direction"],
            )?,
            peer_bytes: r.counter_vec(
                "kumquatdrum_gateway_peer_bytes_total",
                "Bytes of frames to and from other hosts, by channel.",
                &["channel", "direction"],
            )?,
            registry: r,
        })
    }

    /// Updates [`Self::peer_bytes`] from the counters of the peer connections.
    pub fn update_peer_bytes(&self, counters: &Counters) {
        for channel in Channel::ALL {
            let traffic = counters.read(channel);
            let directions = [
                ("sent", traffic.bytes_sent),
                ("received", traffic.bytes_received),
            ];
            for (direction, bytes) in directions {
                let counter = self
                    .peer_bytes
                    .with_label_values(&[channel.name(), direction]);
                counter.inc_by(bytes.saturating_sub(counter.get()));
            }
        }
    }

    /// Renders the metrics as text.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
