//! Latency statistics.

use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest latency in a histogram: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Precision of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

const MICROS_PER_MILLI: f64 = 1_000.0;

/// A histogram of latencies, in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self::new()
    }
}

impl Latencies {
    /// An empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self { histogram: histogram.expect("the bounds are valid") }
    }

    /// Records a latency; values above ten minutes count as ten minutes.
    pub fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// Records several latencies.
    pub fn record_all(&mut self, latencies: &[Duration]) {
        latencies.iter().for_each(|latency| self.record(*latency));
    }

    /// Adds the values of another histogram.
    pub fn merge(&mut self, other: &Self) {
        self.histogram += &other.histogram;
    }

    /// The quantile `q`, from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, q: f64) -> f64 {
        self.histogram.value_at_quantile(q) as f64 / MICROS_PER_MILLI
    }

    /// The mean in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.histogram.mean() / MICROS_PER_MILLI
    }

    /// The number of recorded latencies.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }
}

/// Total stall of a response: the sum of the times between tokens in excess of `target`.
pub fn total_stall(inter_token: &[Duration], target: Duration) -> Duration {
    inter_token.iter().map(|time| time.saturating_sub(target)).sum()
}
