//! Latencies and their quantiles.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum recorded latency: one hour.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of latencies.
#[derive(Debug, Clone)]
pub struct Recorder(Histogram<u64>);

/// Quantiles of a set of latencies, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of latencies.
    pub count: u64,
    /// The 50th percentile.
    pub p50_us: u64,
    /// The 95th percentile.
    pub p95_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
}

/// Quantiles of one set of latencies divided by those of another.
///
/// Ratios are rounded to three decimals so that they survive a round trip through JSON.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Ratio {
    /// Ratio of the 50th percentiles.
    pub p50: f64,
    /// Ratio of the 95th percentiles.
    pub p95: f64,
    /// Ratio of the 99th percentiles.
    pub p99: f64,
}

impl Default for Recorder {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Recorder {
    /// Records a latency, capped at one hour.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros.max(1));
    }

    /// Returns the quantiles of the recorded latencies.
    ///
    /// ```
    /// use kumquatdrum_replay::latency::Recorder;
    /// let mut recorder = Recorder::default();
    /// recorder.record(std::time::Duration::from_millis(2));
    /// assert_eq!(recorder.quantiles().count, 1);
    /// ```
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            count: self.0.len(),
            p50_us: self.0.value_at_quantile(0.50),
            p95_us: self.0.value_at_quantile(0.95),
            p99_us: self.0.value_at_quantile(0.99),
        }
    }
}

impl Quantiles {
    /// Returns these quantiles divided by those of `base`, or `None` if either set is empty.
    ///
    /// ```
    /// use kumquatdrum_replay::latency::Quantiles;
    /// let slow = Quantiles { count: 1, p50_us: 30, p95_us: 30, p99_us: 30 };
    /// let fast = Quantiles { count: 1, p50_us: 10, p95_us: 15, p99_us: 30 };
    /// assert!((slow.ratio_to(&fast).unwrap().p95 - 2.0).abs() < 1e-9);
    /// ```
    pub fn ratio_to(&self, base: &Self) -> Option<Ratio> {
        let ratio = |top: u64, bottom: u64| round(top as f64 / bottom.max(1) as f64);
        (self.count > 0 && base.count > 0).then(|| Ratio {
            p50: ratio(self.p50_us, base.p50_us),
            p95: ratio(self.p95_us, base.p95_us),
            p99: ratio(self.p99_us, base.p99_us),
        })
    }
}

fn round(ratio: f64) -> f64 {
    const DECIMALS: f64 = 1_000.0;
    (ratio * DECIMALS).round() / DECIMALS
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |micros: u64| micros as f64 / 1_000.0;
        write!(
            f,
            "{:>8} {:>10.2} {:>10.2} {:>10.2}",
            self.count,
            millis(self.p50_us),
            millis(self.p95_us),
            millis(self.p99_us)
        )
    }
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "p50 {:.2} p95 {:.2} p99 {:.2}",
            self.p50, self.p95, self.p99
        )
    }
}
