//! Meters under their names, and all of them as text in the prometheus format.

use prometheus::core::Collector;
use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Result, TextEncoder,
};

/// Meters under their names. Each is made, registered and handed out, at zero.
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
    /// A counter.
    pub fn counter(&self, name: &str, help: &str) -> Result<IntCounter> {
        self.add(IntCounter::new(name, help)?)
    }

    /// Counters, one for each combination of labels.
    pub fn counter_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntCounterVec> {
        self.add(IntCounterVec::new(Opts::new(name, help), labels)?)
    }

    /// A gauge.
    pub fn gauge(&self, name: &str, help: &str) -> Result<IntGauge> {
        self.add(IntGauge::new(name, help)?)
    }

    /// Gauges, one for each combination of labels.
    pub fn gauge_vec(&self, name: &str, help: &str, labels: &[&str]) -> Result<IntGaugeVec> {
        self.add(IntGaugeVec::new(Opts::new(name, help), labels)?)
    }

    /// A histogram with the given upper bounds.
    pub fn histogram(&self, name: &str, help: &str, bounds: &[f64]) -> Result<Histogram> {
        self.add(Histogram::with_opts(options(name, help, bounds))?)
    }

    /// Histograms, one for each combination of labels.
    pub fn histogram_vec(
        &self,
        name: &str,
        help: &str,
        bounds: &[f64],
        labels: &[&str],
    ) -> Result<HistogramVec> {
        self.add(HistogramVec::new(options(name, help, bounds), labels)?)
    }

    /// All meters as text.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.0.gather(), &mut buffer);
        match encoded {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(error) => format!("# {error}\n"),
        }
    }

    fn add<C: Collector + Clone + 'static>(&self, meter: C) -> Result<C> {
        self.0.register(Box::new(meter.clone()))?;
        Ok(meter)
    }
}

fn options(name: &str, help: &str, bounds: &[f64]) -> HistogramOpts {
    HistogramOpts::new(name, help).buckets(bounds.to_vec())
}
