//! What is counted, in the prometheus format.

use kumquatdrum_peer::{Channel, Counters};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds in seconds: around the times that callers wait for a first token.
const BOUNDS: [f64; 12] = [
    0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0,
];

/// What is counted.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    /// Requests by how they ended.
    pub ended: IntCounterVec,
    /// Requests sent to endpoints, by what became of them.
    pub attempts: IntCounterVec,
    /// Seconds to the first event or the whole answer, by the length of the prompt.
    pub first: HistogramVec,
    /// Requests under way.
    pub under_way: IntGauge,
    /// The revision in force.
    pub revision: IntGauge,
    /// 1 on the leading replica.
    pub leader: IntGauge,
    /// Hosts heard lately.
    pub hosts: IntGauge,
    /// Bytes of frames to and from other hosts, by channel and direction.
    pub peer_bytes: IntCounterVec,
}

impl Meters {
    /// All at zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let ended = Opts::new("kumquatdrum_gateway_ended_total", "Requests by their end.");
        let ended = IntCounterVec::new(ended, &["end"])?;
        let attempts = Opts::new(
            "kumquatdrum_gateway_attempts_total",
            "Requests sent to endpoints, by outcome.",
        );
        let attempts = IntCounterVec::new(attempts, &["outcome"])?;
        let first = HistogramOpts::new(
            "kumquatdrum_gateway_first_seconds",
            "Seconds to the first event or the whole answer, by length of the prompt.",
        );
        let first = HistogramVec::new(first.buckets(BOUNDS.to_vec()), &["prompt"])?;
        let peer_bytes = Opts::new(
            "kumquatdrum_gateway_peer_bytes_total",
            "Bytes of frames to and from other hosts, by channel.",
        );
        let peer_bytes = IntCounterVec::new(peer_bytes, &["channel", "direction"])?;
        let gauge = |name: &str, help: &str| IntGauge::new(name, help);
        let meters = Self {
            ended,
            attempts,
            first,
            under_way: gauge("kumquatdrum_gateway_under_way", "Requests under way.")?,
            revision: gauge("kumquatdrum_gateway_revision", "The revision in force.")?,
            leader: gauge("kumquatdrum_gateway_leader", "1 on the leading replica.")?,
            hosts: gauge("kumquatdrum_gateway_hosts", "Hosts heard lately.")?,
            peer_bytes,
            registry,
        };
        let r = &meters.registry;
        r.register(Box::new(meters.ended.clone()))?;
        r.register(Box::new(meters.attempts.clone()))?;
        r.register(Box::new(meters.first.clone()))?;
        r.register(Box::new(meters.peer_bytes.clone()))?;
        for gauge in [
            &meters.under_way,
            &meters.revision,
            &meters.leader,
            &meters.hosts,
        ] {
            r.register(Box::new(gauge.clone()))?;
        }
        Ok(meters)
    }

    /// Takes over what the way to other hosts has counted.
    pub fn count_peers(&self, counters: &Counters) {
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

    /// The text that a metrics listener serves.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }
}
