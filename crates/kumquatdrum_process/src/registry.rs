//! A registry of Prometheus metrics.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Result, TextEncoder,
};

/// Creates metrics at zero, registers them by name and encodes them as text.
///
/// ```
/// let registry = kumquatdrum_process::Registry::default();
/// registry.counter("attempts_total", "Attempts.").unwrap().inc();
/// assert!(registry.text().contains("attempts_total 1"));
/// assert!(registry.gauge("attempts_total", "A second one.").is_err());
/// ```
#[derive(Debug, Default)]
pub struct Registry(prometheus::Registry);

impl Registry {
    /// Registers a counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.register(IntCounter::new(name, help)?)
    }

    /// Registers a counter for each combination of label values.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.register(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.register(IntGauge::new(name, help)?)
    }

    /// Registers a gauge for each combination of label values.
    pub fn gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.register(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// Registers a histogram with the given upper bucket bounds.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Result<Histogram> {
        self.register(Histogram::with_opts(options(name, help, bounds))?)
    }

    /// Registers a histogram for each combination of label values.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec> {
        self.register(HistogramVec::new(options(name, help, bounds), labels)?)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.0.gather(), &mut buffer);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    fn register<C: Collector + Clone + 'static>(&self, metric: C) -> Result<C> {
        self.0.register(Box::new(metric.clone()))?;
        Ok(metric)
    }
}

fn options(name: &str, help: &str, bounds: &[f64]) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(bounds.to_vec())
}
